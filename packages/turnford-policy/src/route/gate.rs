//! Whether a target takes calls of this node, according to its responses.

use std::time::Duration;

use crate::Moment;

/// Interval of probes to a target that announced that it is leaving but is still listed as ready.
/// The store entry of one that leaves says so, or is removed, within seconds, so a longer mismatch
/// may mean that the target stays.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum jitter of the probe interval, as a fraction of it. All nodes learn of the announcement
/// within milliseconds, and simultaneous probes of a large fleet would fill a small target.
const PROBE_JITTER: f64 = 0.6;

/// Concurrent calls allowed after a backoff ends. Each success allows one more, so the limit
/// doubles with each round. Sending all waiting calls at once would cause the next backoff.
const INITIAL_CALL_LIMIT: u32 = 1;

/// State that a target announced, and the resulting limit on this node's calls.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetGate {
    /// When the target last announced that it is leaving, or was last probed without a response
    /// that it stays.
    last_leaving_at: Option<Moment>,
    /// End of the backoff for this node.
    backoff_until: Moment,
    /// End of the backoff for the node that batches its calls, as reported by that node.
    batcher_backoff_until: Moment,
    /// Limit on concurrent calls after a backoff. `None` for no limit.
    call_limit: Option<u32>,
}

impl TargetGate {
    /// Records that the target is leaving. Returns true if this was not known.
    pub(super) fn record_leaving(&mut self, now: Moment) -> bool {
        self.last_leaving_at.replace(now).is_none()
    }

    /// Records that the target is active again.
    pub(super) fn record_active(&mut self) {
        self.last_leaving_at = None;
    }

    /// Returns whether the target announced that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.last_leaving_at.is_some()
    }

    /// Returns whether the target should be probed. `jitter` is a fixed number of this node from 0
    /// to 1 that spreads the probes of all nodes.
    pub(super) fn is_probe_due(&self, now: Moment, jitter: f64) -> bool {
        let leaving_at = self.last_leaving_at.filter(|_| !self.is_backing_off(now));
        leaving_at.is_some_and(|at| {
            now.saturating_sub(at) >= PROBE_INTERVAL.mul_f64(1.0 + PROBE_JITTER * jitter)
        })
    }

    /// Records that the target asked this node to back off. A shorter backoff does not cut the
    /// current one.
    pub(super) fn record_backoff(&mut self, now: Moment, duration: Duration) {
        self.backoff_until = self.backoff_until.max(now.saturating_add(duration));
        self.call_limit = Some(INITIAL_CALL_LIMIT);
    }

    /// Records that the target asked the node that batches its calls to back off.
    pub(super) fn record_batcher_backoff(&mut self, now: Moment, duration: Duration) {
        self.batcher_backoff_until = self.batcher_backoff_until.max(now.saturating_add(duration));
    }

    /// Returns when the backoff for this node or for the node that batches calls ends, whichever is
    /// later.
    pub(super) fn any_backoff_until(&self) -> Moment {
        self.backoff_until.max(self.batcher_backoff_until)
    }

    /// Returns whether this node has to back off.
    pub(super) fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Returns when the backoff for this node ends. The moment is in the past if it has ended.
    pub(super) fn backoff_until(&self) -> Moment {
        self.backoff_until
    }

    /// Returns whether the target takes this number of concurrent calls.
    pub(super) fn allows(&self, now: Moment, calls: u32) -> bool {
        !self.is_backing_off(now) && self.call_limit.is_none_or(|limit| calls <= limit)
    }

    /// Records a successful response of a target with this number of slots.
    pub(super) fn record_success(&mut self, now: Moment, slots: u32) {
        if self.is_backing_off(now) {
            return;
        }
        let limit = self.call_limit.map(|limit| limit.saturating_add(1));
        self.call_limit = limit.filter(|limit| *limit <= slots);
    }
}
