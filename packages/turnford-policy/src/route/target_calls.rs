//! Batched calls in flight at one target.

use crate::Moment;

use super::ProcessStart;

/// Calls in flight at one target, and what is known of its usage.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetCalls {
    /// Start of the target's process, once known.
    pub(super) process_start: Option<ProcessStart>,
    /// Calls in flight to an earlier process whose ends have not been recorded yet.
    pub(super) stale: usize,
    /// Expected ends of the calls, in the order of their start.
    pub(super) ends: Vec<Moment>,
    pub(super) paused_until: Moment,
    /// Consecutive refusals.
    pub(super) refusals: u32,
    /// Until when the target's usage is known. `None` before its first report.
    pub(super) report_valid_until: Option<Moment>,
    /// Whether a report has been requested.
    pub(super) report_requested: bool,
}

impl TargetCalls {
    /// Returns whether the target's usage is known.
    pub(super) fn is_usage_known(&self, now: Moment) -> bool {
        !self.ends.is_empty() || self.report_valid_until.is_some_and(|until| until > now)
    }

    /// Returns whether the target takes another call with this number of slots.
    pub(super) fn has_free_slot(&self, now: Moment, slots: usize) -> bool {
        self.ends.len() < slots.max(1) && self.paused_until <= now
    }
}
