//! The limits of one service's targets, as one node knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::limit_view::LimitView;
use super::LimitObservation;
use super::LimitState;
use super::ProcessStart;
use super::TargetTable;

/// Time for which a target's limit is remembered while its entry is missing: it may have lapsed, and a
/// limit does not end with an entry.
const MISSING_SPAN: Duration = Duration::from_secs(60);

/// The limits of one service's targets. A target without one has no place here.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    views: BTreeMap<TargetId, LimitView>,
    /// Starts of the processes that the targets' entries tell.
    births: BTreeMap<TargetId, ProcessStart>,
    /// Since when targets' entries are missing.
    missing: BTreeMap<TargetId, Moment>,
}

impl LimitTable {
    /// Forgets the limits of targets that are gone, and of those that started again.
    pub fn retain_listed(&mut self, now: Moment, board: &TargetTable) {
        let listed = board.all_targets();
        self.births = listed
            .map(|target| (target.id.clone(), target.process_start))
            .collect();
        let missing = &mut self.missing;
        self.views.retain(|id, view| match board.get(id) {
            Some(target) => {
                missing.remove(id);
                target.process_start == view.born
            }
            None => {
                let since = *missing.entry(id.clone()).or_insert(now);
                now.saturating_sub(since) < MISSING_SPAN
            }
        });
        let views = &self.views;
        missing.retain(|id, _| views.contains_key(id));
    }

    /// Takes what an answer to this node said of a target's limit; returns what held before if the node that
    /// divides should know it.
    pub fn observe(
        &mut self,
        id: &TargetId,
        born: ProcessStart,
        heard: LimitObservation,
    ) -> Option<LimitState> {
        let is_known = self.views.contains_key(id);
        if self.is_other(id, born) || (!is_known && heard.signal.rate().is_none()) {
            return None;
        }
        let view = self.view(id, born);
        let before = view.state;
        view.hear(heard).then_some(before)
    }

    /// Takes what the node that divides says of a target's limit; true if it is new.
    pub fn apply(
        &mut self,
        now: Moment,
        id: &TargetId,
        born: ProcessStart,
        sequence: u64,
        state: LimitState,
    ) -> bool {
        if self.is_other(id, born) {
            return false;
        }
        let view = self.view(id, born);
        if view.sequence >= sequence {
            return false;
        }
        view.set(now, sequence, state);
        true
    }

    /// Tells whether another process runs under a target's id by now.
    fn is_other(&self, id: &str, born: ProcessStart) -> bool {
        self.births.get(id).is_some_and(|listed| *listed != born)
    }

    fn view(&mut self, id: &TargetId, born: ProcessStart) -> &mut LimitView {
        let view = self.views.entry(id.clone());
        let view = view.or_insert_with(|| LimitView::new(born));
        if view.born != born {
            *view = LimitView::new(born);
        }
        view
    }

    /// Notes that another node divides from now on, whose words are numbered anew.
    pub fn reset_sequences(&mut self) {
        for view in self.views.values_mut() {
            view.sequence = 0;
        }
    }

    /// Tells whether a target's process ever named a limit, as far as this node knows.
    pub fn is_known(&self, id: &str, born: ProcessStart) -> bool {
        self.views.get(id).is_some_and(|view| view.born == born)
    }

    /// Returns what holds of a target's limit.
    pub fn state(&self, id: &str) -> LimitState {
        self.views
            .get(id)
            .map_or(LimitState::Free, |view| view.state)
    }

    /// Returns what a target's limit follows from, where an answer or another node told of one.
    pub fn observation(&self, id: &str) -> Option<LimitObservation> {
        self.views.get(id)?.heard
    }

    /// Returns the targets whose calls need permits.
    pub fn limited(&self) -> impl Iterator<Item = (&TargetId, ProcessStart, LimitState)> {
        let views = self.views.iter();
        let limited = views.filter(|(_, view)| view.state.needs_permit());
        limited.map(|(id, view)| (id, view.born, view.state))
    }

    /// Returns what the node that divides said last of each target, with the number of its word.
    pub fn announced(&self) -> impl Iterator<Item = (&TargetId, ProcessStart, u64, LimitState)> {
        let views = self.views.iter();
        let told = views.filter(|(_, view)| view.sequence > 0);
        told.map(|(id, view)| (id, view.born, view.sequence, view.state))
    }

    /// Tells whether calls to any target need permits.
    pub fn has_limits(&self) -> bool {
        self.limited().next().is_some()
    }

    /// Takes a permit for a call to a target, which holds until a moment.
    pub fn add_permit(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.add_permit(until);
        }
    }

    /// Notes that there is no permit for a target until a moment.
    pub fn record_denial(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.note_denied(until);
        }
    }

    /// Tells whether a target's limit lets a call of this node through now.
    pub fn is_open(&self, now: Moment, id: &str) -> bool {
        self.views.get(id).is_none_or(|view| view.is_open(now))
    }

    /// Tells whether a target's limit may let a call through: it is open, or a permit can be asked for.
    pub fn may_open(&self, now: Moment, id: &str) -> bool {
        let view = self.views.get(id);
        view.is_none_or(|view| view.is_open(now) || view.may_ask(now))
    }

    /// Lets a call of this node through a target's limit, and uses up its permit; false if there is none.
    pub fn try_acquire(&mut self, now: Moment, id: &str) -> bool {
        self.views.get_mut(id).is_none_or(|view| view.enter(now))
    }
}
