//! The targets of one service as one node of the own interface sees them, and which of them are out.

use std::collections::HashMap;

use crate::HealthSettings;
use crate::Moment;
use crate::TargetFacts;
use crate::TargetId;
use crate::TargetView;

/// The views of one service's targets.
#[derive(Debug, Default)]
pub(crate) struct ViewTable {
    views: Vec<TargetView>,
    index: HashMap<TargetId, usize>,
    /// Targets that may be out; without any, no look at all of them is needed.
    ejections: usize,
}

impl ViewTable {
    /// Returns the views in the order of their targets' names.
    pub(crate) fn all(&self) -> &[TargetView] {
        &self.views
    }

    /// Returns the view at a place.
    pub(crate) fn at_mut(&mut self, place: usize) -> &mut TargetView {
        &mut self.views[place]
    }

    /// Returns a target's place.
    pub(crate) fn place_of(&self, target: &str) -> Option<usize> {
        self.index.get(target).copied()
    }

    /// Takes the targets of a VM list. Views of targets that stay keep what was learned.
    pub(crate) fn apply_list(&mut self, list: Vec<TargetFacts>) {
        let mut old: HashMap<TargetId, TargetView> = HashMap::new();
        for view in self.views.drain(..) {
            old.insert(view.facts.id.clone(), view);
        }
        for facts in list {
            let view = match old.remove(&facts.id) {
                Some(mut view) => {
                    // The target's own report of its models is newer than the list's.
                    let models = std::mem::take(&mut view.facts.models);
                    view.facts = TargetFacts { models, ..facts };
                    view
                }
                None => TargetView::new(facts),
            };
            self.views.push(view);
        }
        // A target that is gone from the list but still runs calls of this node stays as leaving.
        let running = old.into_values().filter(|view| view.own_inflight() > 0);
        self.views.extend(running.map(|mut view| {
            view.leaving = true;
            view.listed_leaving = true;
            view
        }));
        self.views
            .sort_by(|left, right| left.facts.id.cmp(&right.facts.id));
        self.reindex();
    }

    /// Returns a target's view.
    pub(crate) fn get_mut(&mut self, target: &str) -> Option<&mut TargetView> {
        let at = self.index.get(target).copied()?;
        self.views.get_mut(at)
    }

    /// Lets targets back in whose time out is over.
    pub(crate) fn refresh_health(&mut self, now: Moment) {
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

    /// Takes a target out if it is bad next to its peers and the pool can spare it.
    pub(crate) fn judge(&mut self, now: Moment, at: usize, settings: &HealthSettings) {
        let health = &self.views[at].health;
        if health.is_ejected() || !health.may_be_outlier(settings) {
            return;
        }
        let (failure, slowness) = self.peer_medians(at);
        let bad = self.views[at]
            .health
            .is_outlier(settings, failure, slowness);
        let bad = bad || self.views[at].health.fails_probation(settings);
        if bad && self.can_spare(settings) {
            self.views[at].health.eject(now, settings);
            self.ejections += 1;
        }
    }

    /// Returns the median failure and slowness of the other targets of the same hardware class, or
    /// of all others if the class has no other.
    fn peer_medians(&self, at: usize) -> (f64, f64) {
        let hardware = &self.views[at].facts.hardware;
        let others = || {
            self.views
                .iter()
                .enumerate()
                .filter(|(place, _)| *place != at)
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
        let failures = peers
            .iter()
            .map(|view| view.health.failure_rate())
            .collect();
        let slownesses = peers.iter().map(|view| view.health.slowness()).collect();
        (median(failures, 0.0), median(slownesses, 1.0))
    }

    fn can_spare(&self, settings: &HealthSettings) -> bool {
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

    fn reindex(&mut self) {
        let places = self.views.iter().enumerate();
        self.index = places
            .map(|(at, view)| (view.facts.id.clone(), at))
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
