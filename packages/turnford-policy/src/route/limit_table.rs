//! Limits of one service's targets as known to one node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::limit_view::LimitView;
use super::LimitObservation;
use super::LimitState;
use super::ProcessStart;
use super::TargetTable;

/// Time for which a target's limit is kept while its store entry is missing. The entry may have
/// lapsed, which does not end the limit.
const MISSING_ENTRY_TTL: Duration = Duration::from_secs(60);

/// Limits of one service's targets. Targets that never named a limit are absent.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    views: BTreeMap<TargetId, LimitView>,
    /// Process starts according to the targets' store entries.
    process_starts: BTreeMap<TargetId, ProcessStart>,
    /// Since when the store entries of targets are missing.
    missing: BTreeMap<TargetId, Moment>,
}

impl LimitTable {
    /// Removes the limits of targets that are no longer listed or whose process restarted.
    pub fn retain_listed(&mut self, now: Moment, table: &TargetTable) {
        let listed = table.all_targets();
        self.process_starts = listed
            .map(|target| (target.id.clone(), target.process_start))
            .collect();
        let missing = &mut self.missing;
        self.views.retain(|id, view| match table.get(id) {
            Some(target) => {
                missing.remove(id);
                target.process_start == view.process_start
            }
            None => {
                let since = *missing.entry(id.clone()).or_insert(now);
                now.saturating_sub(since) < MISSING_ENTRY_TTL
            }
        });
        let views = &self.views;
        missing.retain(|id, _| views.contains_key(id));
    }

    /// Records the limit that a target's response to this node named. Returns the previous state if
    /// the allocator should be informed.
    pub fn observe(
        &mut self,
        id: &TargetId,
        process_start: ProcessStart,
        observation: LimitObservation,
    ) -> Option<LimitState> {
        let is_known = self.views.contains_key(id);
        if self.is_other_process(id, process_start)
            || (!is_known && observation.signal.rate().is_none())
        {
            return None;
        }
        let view = self.view_mut(id, process_start);
        let before = view.state;
        view.observe(observation).then_some(before)
    }

    /// Applies the state of a target's limit announced by the allocator. Returns true if it is new.
    pub fn apply(
        &mut self,
        now: Moment,
        id: &TargetId,
        process_start: ProcessStart,
        sequence: u64,
        state: LimitState,
    ) -> bool {
        if self.is_other_process(id, process_start) {
            return false;
        }
        let view = self.view_mut(id, process_start);
        if view.sequence >= sequence {
            return false;
        }
        view.apply(now, sequence, state);
        true
    }

    /// Returns whether the target's id now belongs to another process.
    fn is_other_process(&self, id: &str, process_start: ProcessStart) -> bool {
        self.process_starts
            .get(id)
            .is_some_and(|listed| *listed != process_start)
    }

    fn view_mut(&mut self, id: &TargetId, process_start: ProcessStart) -> &mut LimitView {
        let view = self.views.entry(id.clone());
        let view = view.or_insert_with(|| LimitView::new(process_start));
        if view.process_start != process_start {
            *view = LimitView::new(process_start);
        }
        view
    }

    /// Resets the sequence numbers, since a new allocator starts its own.
    pub fn reset_sequences(&mut self) {
        for view in self.views.values_mut() {
            view.sequence = 0;
        }
    }

    /// Returns whether a target's process has named a limit, as far as this node knows.
    pub fn is_known(&self, id: &str, process_start: ProcessStart) -> bool {
        self.views
            .get(id)
            .is_some_and(|view| view.process_start == process_start)
    }

    /// Returns the state of a target's limit.
    pub fn state(&self, id: &str) -> LimitState {
        self.views
            .get(id)
            .map_or(LimitState::Free, |view| view.state)
    }

    /// Returns the observation that a target's state is based on, if there is one.
    pub fn observation(&self, id: &str) -> Option<LimitObservation> {
        self.views.get(id)?.observation
    }

    /// Returns the targets whose calls need permits.
    pub fn limited(&self) -> impl Iterator<Item = (&TargetId, ProcessStart, LimitState)> {
        let views = self.views.iter();
        let limited = views.filter(|(_, view)| view.state.needs_permit());
        limited.map(|(id, view)| (id, view.process_start, view.state))
    }

    /// Returns the latest state of each target announced by the allocator, with its sequence
    /// number.
    pub fn announced(&self) -> impl Iterator<Item = (&TargetId, ProcessStart, u64, LimitState)> {
        let views = self.views.iter();
        let announced = views.filter(|(_, view)| view.sequence > 0);
        announced.map(|(id, view)| (id, view.process_start, view.sequence, view.state))
    }

    /// Returns whether calls to any target need permits.
    pub fn has_limits(&self) -> bool {
        self.limited().next().is_some()
    }

    /// Adds a permit for a call to a target that is valid until a moment.
    pub fn add_permit(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.add_permit(until);
        }
    }

    /// Records that there is no permit for a target until a moment.
    pub fn record_denial(&mut self, id: &str, until: Moment) {
        if let Some(view) = self.views.get_mut(id) {
            view.record_denial(until);
        }
    }

    /// Returns whether a target's limit allows a call of this node now.
    pub fn is_open(&self, now: Moment, id: &str) -> bool {
        self.views.get(id).is_none_or(|view| view.is_open(now))
    }

    /// Returns whether a target's limit allows a call, or a permit can be requested.
    pub fn may_open(&self, now: Moment, id: &str) -> bool {
        let view = self.views.get(id);
        view.is_none_or(|view| view.is_open(now) || view.can_request(now))
    }

    /// Uses up a permit for a call to a target if one is needed. Returns false if there is none.
    pub fn try_acquire(&mut self, now: Moment, id: &str) -> bool {
        self.views
            .get_mut(id)
            .is_none_or(|view| view.try_acquire(now))
    }
}
