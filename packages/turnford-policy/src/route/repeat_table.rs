//! Targets that repeat responses on kept connections, as observed by all nodes together.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

/// Time after a repeated response for which its target is expected to repeat others. Faults of targets last some
/// seconds.
const REPEAT_MEMORY: Duration = Duration::from_secs(30);

/// Minimum time between two observations of a target that other nodes are notified of. It leaves them time to hear
/// of the later one before they forget the earlier one.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of observations in one message.
const MESSAGE_REPEATS: usize = 16;

/// Minimum average interval between two messages.
const MESSAGE_INTERVAL: Duration = Duration::from_secs(4);

/// Number of messages that may follow each other without that interval.
const MESSAGE_BURST: u32 = 8;

/// What is known of one target.
#[derive(Clone, Copy, Debug)]
struct RepeatRecord {
    /// Last observation of any node.
    last: Moment,
    /// Last observation that other nodes are notified of.
    announced: Moment,
    /// Whether the target waits for a message.
    is_pending: bool,
}

/// Targets that were observed to repeat a response, and which observations other nodes still have to be notified
/// of. It keeps one record for each target, for as long as the target is expected to repeat responses.
#[derive(Clone, Debug, Default)]
pub struct RepeatTable {
    records: BTreeMap<TargetId, RepeatRecord>,
    /// Targets that wait for a message, the longest waiting first.
    pending: VecDeque<TargetId>,
    /// Time at which messages without a burst may go on.
    paced_until: Moment,
}

impl RepeatTable {
    /// Records an observation from `at`, of this node or of another one. Returns whether other nodes have to be
    /// notified: they know nothing of the target, or may soon forget it.
    pub fn record_repeat(&mut self, now: Moment, target: &str, at: Moment) -> bool {
        let is_recent = |at: Moment| now.saturating_sub(at) < REPEAT_MEMORY;
        self.retain_records(|_, record| is_recent(record.last));
        if !is_recent(at) {
            return false;
        }
        if let Some(record) = self.records.get_mut(target) {
            record.last = record.last.max(at);
            // Observations that are close to each other are one observation that was delayed on its way.
            if record.is_pending || at < record.announced + RENEW_INTERVAL {
                return false;
            }
        }
        let target = TargetId::from(target);
        let record = RepeatRecord {
            last: at,
            announced: at,
            is_pending: true,
        };
        self.records.insert(target.clone(), record);
        self.pending.push_back(target);
        true
    }

    /// Removes the records of targets that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.retain_records(|id, _| is_listed(id));
    }

    fn retain_records(&mut self, is_kept: impl Fn(&TargetId, &RepeatRecord) -> bool) {
        let count = self.records.len();
        self.records.retain(|id, record| is_kept(id, record));
        if self.records.len() < count {
            self.pending.retain(|id| self.records.contains_key(id));
        }
    }

    /// Returns whether a target is expected to repeat responses.
    pub fn is_expected(&self, now: Moment, target: &str) -> bool {
        let record = self.records.get(target);
        record.is_some_and(|record| now.saturating_sub(record.last) < REPEAT_MEMORY)
    }

    /// Returns the number of targets that are expected to repeat responses.
    pub fn expected_count(&self, now: Moment) -> usize {
        let records = self.records.values();
        records
            .filter(|record| now.saturating_sub(record.last) < REPEAT_MEMORY)
            .count()
    }

    /// Returns the time until the next message may be sent, or `None` if there is nothing to send.
    pub fn message_wait(&self, now: Moment) -> Option<Duration> {
        let burst = MESSAGE_INTERVAL * (MESSAGE_BURST - 1);
        let wait = self.paced_until.saturating_sub(now + burst);
        (!self.pending.is_empty()).then_some(wait)
    }

    /// Takes the observations of one message: targets, each with the time of its last observation.
    pub fn take_message(&mut self, now: Moment) -> Vec<(TargetId, Moment)> {
        self.paced_until = self.paced_until.max(now) + MESSAGE_INTERVAL;
        let mut message = Vec::new();
        while message.len() < MESSAGE_REPEATS {
            let Some(target) = self.pending.pop_front() else {
                break;
            };
            if let Some(record) = self.records.get_mut(&target) {
                record.is_pending = false;
                record.announced = record.last;
                message.push((target, record.last));
            }
        }
        message
    }
}
