//! Allocation of the call rates of one service's targets, on the one node that performs it for the
//! whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::LimitObservation;
use turnford_policy::LimitState;
use turnford_policy::ProcessStart;
use turnford_policy::TargetId;

use crate::limit_bucket::LimitBucket;
use crate::limit_record::LimitRecord;
use crate::permit_queue::CallSupply;
use crate::Moment;
use crate::PermitDecision;
use crate::PermitPurpose;
use crate::PermitQueue;
use crate::PermitRanks;
use crate::QueuedRequest;

/// Validity of a permit, measured by the requester from before its request. Bounds the calls that
/// may still be sent after another node has taken over the allocation.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// Time after a takeover during which only a fraction of the limits is allocated, because the
/// previous allocator may not know yet that it was replaced.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of the limits that is allocated while another node may be allocating as well. Together
/// with the full allocation of that node, it stays within the 50 % by which a target tolerates
/// calls above its limit.
const TAKEOVER_RATIO: f64 = 0.5;

/// Minimum time without a call after which a target is probed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);

/// Maximum such time, for targets that accept a call only every few minutes.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);

/// Number of calls that a target must have been able to accept during the idle time.
const IDLE_CALLS: f64 = 2.0;

/// Time for which the end of a limit is announced to nodes that missed it.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(60);

/// Limit of one target as announced by the allocator.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitEntry {
    /// Id of the target.
    pub target: String,
    /// Start of the target's process in milliseconds of the time of day; 0 if the target does not
    /// report it.
    pub process_start: ProcessStart,
    /// Sequence number of the entry, increasing within a term.
    pub sequence: u64,
    /// Current state of the limit.
    pub state: LimitState,
}

/// State of one target.
#[derive(Clone, Debug)]
struct LimitedTarget {
    process_start: ProcessStart,
    record: LimitRecord,
    bucket: LimitBucket,
    /// State that was announced last.
    announced: LimitState,
    sequence: u64,
    changed_at: Moment,
}

/// Allocates the limits of one service's targets.
#[derive(Clone, Debug)]
pub struct LimitAllocator {
    started_at: Moment,
    /// Whether this node reaches at least half of the nodes that may be alive.
    reaches_half: bool,
    sequence: u64,
    targets: BTreeMap<TargetId, LimitedTarget>,
    queue: PermitQueue,
}

impl LimitAllocator {
    /// Starts to allocate.
    pub fn new(now: Moment) -> Self {
        Self {
            started_at: now,
            reaches_half: true,
            sequence: 0,
            targets: BTreeMap::new(),
            queue: PermitQueue::default(),
        }
    }

    /// Adopts the limit of a target as known to a requesting node, unless this node knows the
    /// target's limit itself. A new allocator may have missed it.
    pub fn adopt(
        &mut self,
        now: Moment,
        target: &TargetId,
        process_start: ProcessStart,
        state: LimitState,
    ) {
        let known = self.targets.get(target);
        let is_known = known.is_some_and(|known| known.process_start == process_start);
        if is_known || !state.needs_permit() {
            return;
        }
        let record = LimitRecord::new(now, state, now);
        self.insert(now, target, process_start, record);
    }

    /// Sets whether this node reaches at least half of the nodes that may be alive. A disconnected
    /// part of the fleet may elect its own allocator.
    pub fn set_reaches_half(&mut self, reaches_half: bool) {
        self.reaches_half = reaches_half;
    }

    /// Records a limit signal of a target as observed by any node.
    pub fn observe(
        &mut self,
        now: Moment,
        target: &TargetId,
        process_start: ProcessStart,
        observation: LimitObservation,
    ) {
        let known = self.targets.get(target);
        let is_known = known.is_some_and(|known| known.process_start == process_start);
        if !is_known {
            if observation.signal.rate().is_none() {
                return;
            }
            // Calls sent until now did not need a permit.
            let record = LimitRecord::new(now, LimitState::Free, Moment::ZERO);
            self.insert(now, target, process_start, record);
        }
        if let Some(known) = self.targets.get_mut(target) {
            known.record.observe(now, observation);
        }
        self.advance(now, target);
    }

    fn insert(
        &mut self,
        now: Moment,
        target: &TargetId,
        process_start: ProcessStart,
        record: LimitRecord,
    ) {
        let limited = LimitedTarget {
            process_start,
            record,
            bucket: LimitBucket::new(now),
            announced: LimitState::Free,
            sequence: 0,
            changed_at: now,
        };
        self.targets.insert(target.clone(), limited);
        self.advance(now, target);
    }

    /// Drops targets that are no longer listed or have restarted.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId, ProcessStart) -> bool) {
        self.targets
            .retain(|target, limited| is_listed(target, limited.process_start));
    }

    /// Returns the entries that changed since the last call.
    pub fn take_updates(&mut self, now: Moment) -> Vec<LimitEntry> {
        let mut updates = Vec::new();
        for (target, limited) in &mut self.targets {
            let state = limited.record.state(now);
            if limited.announced != state {
                self.sequence += 1;
                limited.announced = state;
                limited.sequence = self.sequence;
                limited.changed_at = now;
                updates.push(entry_for(target, limited));
            }
        }
        self.targets.retain(|_, limited| {
            limited.announced.needs_permit()
                || now.saturating_sub(limited.changed_at) < ANNOUNCE_PERIOD
        });
        updates
    }

    /// Returns the announced entries of all targets.
    pub fn entries(&self) -> Vec<LimitEntry> {
        let targets = self.targets.iter();
        targets
            .map(|(target, limited)| entry_for(target, limited))
            .collect()
    }

    /// Returns whether calls to a target need a permit.
    pub fn is_limited(&self, now: Moment, target: &str) -> bool {
        let limited = self.targets.get(target);
        limited.is_some_and(|limited| limited.record.rate(now).is_some())
    }

    /// Returns whether a call to a target is permitted now.
    pub fn has_capacity(&mut self, now: Moment, target: &str) -> bool {
        self.advance(now, target);
        let limited = self.targets.get(target);
        limited.is_none_or(|limited| {
            limited.record.rate(now).is_none() || limited.bucket.tokens() >= 1.0
        })
    }

    /// Takes a permit for a call to a target.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit becomes available.
    pub fn take(
        &mut self,
        now: Moment,
        target: &str,
        purpose: PermitPurpose,
    ) -> Result<(), Duration> {
        self.advance(now, target);
        let limited = self.targets.get_mut(target);
        let limited = limited.filter(|limited| limited.record.rate(now).is_some());
        let Some(limited) = limited else {
            return Ok(());
        };
        if limited.bucket.take(now, purpose) {
            return Ok(());
        }
        Err(limited.bucket.wait(purpose))
    }

    /// Requests a permit for a request whose eligible targets are all limited.
    pub fn request_permit(
        &mut self,
        now: Moment,
        request: &QueuedRequest,
        targets: &[TargetId],
    ) -> PermitDecision {
        let supply = self.supply(now, targets);
        self.queue.request(now, request, supply)
    }

    /// Estimates the time until a request of these ranks gets a permit, behind `upcoming` requests
    /// that were admitted before it and have not asked yet. Returns `None` if one of the targets
    /// needs no permit.
    pub fn forecast(
        &mut self,
        now: Moment,
        ranks: PermitRanks,
        upcoming: usize,
        targets: &[TargetId],
    ) -> Option<Duration> {
        let is_limited = |target: &TargetId| self.is_limited(now, target);
        if targets.is_empty() || !targets.iter().all(is_limited) {
            return None;
        }
        let supply = self.supply(now, targets);
        Some(self.queue.forecast(now, ranks, upcoming, supply))
    }

    /// Returns the delay after which a request that would miss its deadline by `lateness` should be
    /// retried.
    pub fn schedule_retry(
        &mut self,
        now: Moment,
        lateness: Duration,
        targets: &[TargetId],
    ) -> Duration {
        let rate = self.supply(now, targets).rate();
        self.queue.schedule_retry(now, lateness, rate)
    }

    /// Returns the targets that had no call for some time. Each may be probed now; without a call
    /// nobody would notice that the target has recovered.
    pub fn take_idle(&mut self, now: Moment) -> Vec<TargetId> {
        let allocated_ratio = self.allocated_ratio(now);
        let mut idle = Vec::new();
        for (target, limited) in &mut self.targets {
            let Some(rate) = limited.record.rate(now) else {
                continue;
            };
            limited.bucket.advance(now, rate * allocated_ratio);
            let idle_time = Duration::try_from_secs_f64(IDLE_CALLS / rate).unwrap_or(MIN_IDLE_TIME);
            let idle_time = idle_time.clamp(MIN_IDLE_TIME, MAX_IDLE_TIME);
            if now.saturating_sub(limited.bucket.granted_at) >= idle_time {
                limited.bucket.take_probe(now);
                idle.push(target.clone());
            }
        }
        idle
    }

    /// Returns the allocated calls per second, and the number of waiting requests.
    pub fn load(&self, now: Moment) -> (CallRate, usize) {
        let rates = self.targets.values();
        let rates = rates.filter_map(|limited| limited.record.rate(now));
        (
            rates.sum::<f64>() * self.allocated_ratio(now),
            self.queue.len(),
        )
    }

    fn allocated_ratio(&self, now: Moment) -> f64 {
        let is_recent = now.saturating_sub(self.started_at) < TAKEOVER_PERIOD;
        if is_recent || !self.reaches_half {
            TAKEOVER_RATIO
        } else {
            1.0
        }
    }

    fn advance(&mut self, now: Moment, target: &str) {
        let allocated_ratio = self.allocated_ratio(now);
        if let Some(limited) = self.targets.get_mut(target) {
            let rate = limited.record.rate(now).unwrap_or(0.0);
            limited.bucket.advance(now, rate * allocated_ratio);
        }
    }

    fn supply(&mut self, now: Moment, targets: &[TargetId]) -> CallSupply {
        let allocated_ratio = self.allocated_ratio(now);
        let mut supply = CallSupply::default();
        for target in targets {
            self.advance(now, target);
            if let Some(limited) = self.targets.get(target) {
                let rate = limited.record.rate(now).unwrap_or(0.0) * allocated_ratio;
                supply.add(limited.bucket.tokens(), rate);
            }
        }
        supply
    }
}

fn entry_for(target: &TargetId, limited: &LimitedTarget) -> LimitEntry {
    LimitEntry {
        target: target.to_string(),
        process_start: limited.process_start,
        sequence: limited.sequence,
        state: limited.announced,
    }
}
