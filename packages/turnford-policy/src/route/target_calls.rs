//! Calls of pieces that are under way at one target.

use crate::Moment;

use super::ProcessStart;

/// Calls of one target that are under way.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetCalls {
    /// Start of the target's process, once it was looked up.
    pub(super) born: Option<ProcessStart>,
    /// Calls under way at its process of before, whose ends are still to come.
    pub(super) stale: usize,
    /// Ends that the calls are expected to have, in the order of their start.
    pub(super) ends: Vec<Moment>,
    pub(super) paused_until: Moment,
    /// Refusals in a row.
    pub(super) refusals: u32,
    /// Until when this board knows what the target holds; `None` before its first report.
    pub(super) known_until: Option<Moment>,
    /// Whether a report is on its way.
    pub(super) is_asked: bool,
}

impl TargetCalls {
    /// Tells whether it is known what the target holds.
    pub(super) fn is_known(&self, now: Moment) -> bool {
        !self.ends.is_empty() || self.known_until.is_some_and(|until| until > now)
    }

    /// Tells whether the target could be sent a call, of so many at once.
    pub(super) fn has_place(&self, now: Moment, slots: usize) -> bool {
        self.ends.len() < slots.max(1) && self.paused_until <= now
    }
}
