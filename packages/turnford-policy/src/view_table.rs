//! The targets of one service as seen by one node of the own interface, and their ejection.

use std::collections::HashMap;

use crate::HealthSettings;
use crate::Moment;
use crate::TargetFacts;
use crate::TargetId;
use crate::TargetView;

/// The target views of one service, sorted by target name.
#[derive(Debug, Default)]
pub(crate) struct ViewTable {
    views: Vec<TargetView>,
    index: HashMap<TargetId, usize>,
    /// Upper bound of the number of ejected targets; at zero, expired ejections need no scan.
    ejections: usize,
}

impl ViewTable {
    /// Returns the views, sorted by target name.
    pub(crate) fn as_slice(&self) -> &[TargetView] {
        &self.views
    }

    /// Returns the view at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub(crate) fn view_mut(&mut self, index: usize) -> &mut TargetView {
        &mut self.views[index]
    }

    /// Returns the index of a target's view.
    pub(crate) fn position(&self, target: &str) -> Option<usize> {
        self.index.get(target).copied()
    }

    /// Replaces the targets by those of a VM list. Targets that remain keep their measurements.
    pub(crate) fn apply_list(&mut self, list: Vec<TargetFacts>) {
        let mut previous: HashMap<TargetId, TargetView> = HashMap::new();
        for view in self.views.drain(..) {
            previous.insert(view.facts.id.clone(), view);
        }
        for facts in list {
            let view = match previous.remove(&facts.id) {
                Some(mut view) => {
                    // Models reported by the target itself are more recent than those of the list.
                    let models = std::mem::take(&mut view.facts.models);
                    view.facts = TargetFacts { models, ..facts };
                    view
                }
                None => TargetView::new(facts),
            };
            self.views.push(view);
        }
        // A target that is no longer listed but still runs calls of this node remains as leaving.
        let running = previous
            .into_values()
            .filter(|view| view.own_inflight() > 0);
        self.views.extend(running.map(|mut view| {
            view.leaving = true;
            view.listed_leaving = true;
            view
        }));
        self.views
            .sort_by(|left, right| left.facts.id.cmp(&right.facts.id));
        self.rebuild_index();
    }

    /// Returns a target's view.
    pub(crate) fn get_mut(&mut self, target: &str) -> Option<&mut TargetView> {
        let index = self.index.get(target).copied()?;
        self.views.get_mut(index)
    }

    /// Ends expired ejections.
    pub(crate) fn expire_ejections(&mut self, now: Moment) {
        if self.ejections == 0 {
            return;
        }
        for view in &mut self.views {
            view.health.expire_ejection(now);
        }
        self.ejections = self
            .views
            .iter()
            .filter(|view| view.health.is_ejected())
            .count();
    }

    /// Ejects a target if it is an outlier among its peers and the ejection limit allows it.
    pub(crate) fn eject_if_outlier(
        &mut self,
        now: Moment,
        index: usize,
        settings: &HealthSettings,
    ) {
        let health = &self.views[index].health;
        if health.is_ejected() || !health.may_be_outlier(settings) {
            return;
        }
        let (failure_rate, slowness) = self.peer_medians(index);
        let is_outlier = self.views[index]
            .health
            .is_outlier(settings, failure_rate, slowness);
        let is_outlier = is_outlier || self.views[index].health.fails_probation(settings);
        if is_outlier && self.may_eject(settings) {
            self.views[index].health.eject(now, settings);
            self.ejections += 1;
        }
    }

    /// Returns the median failure rate and slowness of the other targets of the same hardware
    /// class, or of all other targets if the class has no other.
    fn peer_medians(&self, index: usize) -> (f64, f64) {
        let hardware = &self.views[index].facts.hardware;
        let others = || {
            self.views
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
        };
        let same: Vec<&TargetView> = others()
            .filter(|(_, view)| view.facts.hardware == *hardware)
            .map(|(_, view)| view)
            .collect();
        let peers = if same.is_empty() {
            others().map(|(_, view)| view).collect()
        } else {
            same
        };
        let failure_rates = peers
            .iter()
            .map(|view| view.health.failure_rate())
            .collect();
        let slowness_values = peers.iter().map(|view| view.health.slowness()).collect();
        (median(failure_rates, 0.0), median(slowness_values, 1.0))
    }

    fn may_eject(&self, settings: &HealthSettings) -> bool {
        let live = self.views.iter().filter(|view| !view.leaving).count();
        let ejected = self
            .views
            .iter()
            .filter(|view| view.health.is_ejected())
            .count();
        let allowed = (live as f64 * settings.max_ejected_ratio).floor() as usize;
        let allowed = if live >= 2 { allowed.max(1) } else { 0 };
        ejected < allowed
    }

    fn rebuild_index(&mut self) {
        let entries = self.views.iter().enumerate();
        self.index = entries
            .map(|(index, view)| (view.facts.id.clone(), index))
            .collect();
    }
}

fn median(mut values: Vec<f64>, fallback: f64) -> f64 {
    if values.is_empty() {
        return fallback;
    }
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
