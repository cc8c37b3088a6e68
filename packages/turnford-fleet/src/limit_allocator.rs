//! The limits of one service's targets, as the one node divides them that does so for all.

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

/// Time for which a permit holds, counted by who asked for it from before it asked. It bounds what may
/// still be sent when another node divides.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// Time in which a node that begins to divide gives out a part only: the one before it may not know yet
/// that it does so no longer.
const TAKEOVER_SPAN: Duration = Duration::from_secs(2);

/// Part of the limits that is given out while another node may divide as well. With the whole of that
/// one it stays within the half that a target bears beyond its limit.
const CAUTIOUS_PART: f64 = 0.5;

/// Least time without a call after which a target is asked how it is.
const IDLE_SPAN: Duration = Duration::from_secs(3);

/// Longest such time, for targets that take a call in minutes.
const LONGEST_IDLE: Duration = Duration::from_secs(30);

/// Calls that a target could have had in that time.
const IDLE_CALLS: f64 = 2.0;

/// Time for which the end of a limit is told to those that missed it.
const TELL_SPAN: Duration = Duration::from_secs(60);

/// What the divider says of a target.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitEntry {
    /// The target's id.
    pub target: String,
    /// Start of its process, in milliseconds of the time of day; 0 where it does not tell.
    pub born: ProcessStart,
    /// Number of this word; it rises within a term.
    pub sequence: u64,
    /// What holds.
    pub state: LimitState,
}

/// One target.
#[derive(Clone, Debug)]
struct DividedTarget {
    born: ProcessStart,
    record: LimitRecord,
    bucket: LimitBucket,
    /// What was told last.
    told: LimitState,
    sequence: u64,
    changed_at: Moment,
}

/// Divides the limits of one service's targets.
#[derive(Clone, Debug)]
pub struct LimitAllocator {
    began: Moment,
    /// Whether this node reaches at least half of those that may be alive.
    reaches_half: bool,
    sequence: u64,
    targets: BTreeMap<TargetId, DividedTarget>,
    line: PermitQueue,
}

impl LimitAllocator {
    /// Begins to divide.
    pub fn new(now: Moment) -> Self {
        Self {
            began: now,
            reaches_half: true,
            sequence: 0,
            targets: BTreeMap::new(),
            line: PermitQueue::default(),
        }
    }

    /// Takes what a node that asks knows of a target's limit, where nothing was heard of it here. A node that
    /// begins to divide may have missed it.
    pub fn adopt(&mut self, now: Moment, target: &TargetId, born: ProcessStart, state: LimitState) {
        let known = self.targets.get(target);
        let is_known = known.is_some_and(|known| known.born == born);
        if is_known || !state.needs_permit() {
            return;
        }
        let record = LimitRecord::new(now, state, now);
        self.insert(now, target, born, record);
    }

    /// Notes whether this node reaches at least half of those that may be alive. A part of the fleet that is cut off
    /// may divide for itself.
    pub fn set_reaches_half(&mut self, reaches_half: bool) {
        self.reaches_half = reaches_half;
    }

    /// Takes a target's word as some node heard it.
    pub fn observe(
        &mut self,
        now: Moment,
        target: &TargetId,
        born: ProcessStart,
        heard: LimitObservation,
    ) {
        let known = self.targets.get(target);
        let is_known = known.is_some_and(|known| known.born == born);
        if !is_known {
            if heard.signal.rate().is_none() {
                return;
            }
            // Whoever sent calls until now had no permit.
            let record = LimitRecord::new(now, LimitState::Free, Moment::ZERO);
            self.insert(now, target, born, record);
        }
        if let Some(known) = self.targets.get_mut(target) {
            known.record.note(now, heard);
        }
        self.advance(now, target);
    }

    fn insert(&mut self, now: Moment, target: &TargetId, born: ProcessStart, record: LimitRecord) {
        let divided = DividedTarget {
            born,
            record,
            bucket: LimitBucket::new(now),
            told: LimitState::Free,
            sequence: 0,
            changed_at: now,
        };
        self.targets.insert(target.clone(), divided);
        self.advance(now, target);
    }

    /// Forgets targets that are gone or started again.
    pub fn retain_listed(&mut self, is_there: impl Fn(&TargetId, ProcessStart) -> bool) {
        self.targets
            .retain(|target, divided| is_there(target, divided.born));
    }

    /// Returns what is new since the last such call.
    pub fn take_updates(&mut self, now: Moment) -> Vec<LimitEntry> {
        let mut news = Vec::new();
        for (target, divided) in &mut self.targets {
            let state = divided.record.state(now);
            if divided.told != state {
                self.sequence += 1;
                divided.told = state;
                divided.sequence = self.sequence;
                divided.changed_at = now;
                news.push(entry_of(target, divided));
            }
        }
        self.targets.retain(|_, divided| {
            divided.told.needs_permit() || now.saturating_sub(divided.changed_at) < TELL_SPAN
        });
        news
    }

    /// Returns what was told of all targets.
    pub fn entries(&self) -> Vec<LimitEntry> {
        let targets = self.targets.iter();
        targets
            .map(|(target, divided)| entry_of(target, divided))
            .collect()
    }

    /// Tells whether calls to a target need a permit.
    pub fn is_limited(&self, now: Moment, target: &str) -> bool {
        let divided = self.targets.get(target);
        divided.is_some_and(|divided| divided.record.rate(now).is_some())
    }

    /// Tells whether a call to a target is free now.
    pub fn has_capacity(&mut self, now: Moment, target: &str) -> bool {
        self.advance(now, target);
        let divided = self.targets.get(target);
        divided.is_none_or(|divided| {
            divided.record.rate(now).is_none() || divided.bucket.tokens() >= 1.0
        })
    }

    /// Lets a call to a target through.
    ///
    /// # Errors
    ///
    /// Returns the time until one is free.
    pub fn take(
        &mut self,
        now: Moment,
        target: &str,
        purpose: PermitPurpose,
    ) -> Result<(), Duration> {
        self.advance(now, target);
        let divided = self.targets.get_mut(target);
        let limited = divided.filter(|divided| divided.record.rate(now).is_some());
        let Some(divided) = limited else {
            return Ok(());
        };
        if divided.bucket.take(now, purpose) {
            return Ok(());
        }
        Err(divided.bucket.wait(purpose))
    }

    /// Tells a request whether it is its turn at these targets, which all have limits.
    pub fn request_permit(
        &mut self,
        now: Moment,
        ask: &QueuedRequest,
        targets: &[TargetId],
    ) -> PermitDecision {
        let supply = self.supply(now, targets);
        self.line.request(now, ask, supply)
    }

    /// Returns the time until the turn of a request like this comes, with so many that were let in before
    /// it and don't ask yet; `None` if there is a target that needs no permit.
    pub fn forecast(
        &mut self,
        now: Moment,
        ranks: PermitRanks,
        coming: usize,
        targets: &[TargetId],
    ) -> Option<Duration> {
        let is_limited = |target: &TargetId| self.is_limited(now, target);
        if targets.is_empty() || !targets.iter().all(is_limited) {
            return None;
        }
        let supply = self.supply(now, targets);
        Some(self.line.forecast(now, ranks, coming, supply))
    }

    /// Chooses when a request should come back that would be late by so much.
    pub fn schedule_retry(
        &mut self,
        now: Moment,
        late: Duration,
        targets: &[TargetId],
    ) -> Duration {
        let rate = self.supply(now, targets).rate();
        self.line.schedule_retry(now, late, rate)
    }

    /// Returns the targets that had no call for a while, so that nobody would hear that they are well
    /// again; each may be asked now.
    pub fn take_idle(&mut self, now: Moment) -> Vec<TargetId> {
        let part = self.part(now);
        let mut idle = Vec::new();
        for (target, divided) in &mut self.targets {
            let Some(rate) = divided.record.rate(now) else {
                continue;
            };
            divided.bucket.advance(now, rate * part);
            let span = Duration::try_from_secs_f64(IDLE_CALLS / rate).unwrap_or(IDLE_SPAN);
            let span = span.clamp(IDLE_SPAN, LONGEST_IDLE);
            if now.saturating_sub(divided.bucket.granted_at) >= span {
                divided.bucket.take_question(now);
                idle.push(target.clone());
            }
        }
        idle
    }

    /// Returns the calls a second that are given out, and the requests that wait.
    pub fn load(&self, now: Moment) -> (CallRate, usize) {
        let rates = self.targets.values();
        let rates = rates.filter_map(|divided| divided.record.rate(now));
        (rates.sum::<f64>() * self.part(now), self.line.len())
    }

    fn part(&self, now: Moment) -> f64 {
        let is_new = now.saturating_sub(self.began) < TAKEOVER_SPAN;
        if is_new || !self.reaches_half {
            CAUTIOUS_PART
        } else {
            1.0
        }
    }

    fn advance(&mut self, now: Moment, target: &str) {
        let part = self.part(now);
        if let Some(divided) = self.targets.get_mut(target) {
            let rate = divided.record.rate(now).unwrap_or(0.0);
            divided.bucket.advance(now, rate * part);
        }
    }

    fn supply(&mut self, now: Moment, targets: &[TargetId]) -> CallSupply {
        let part = self.part(now);
        let mut supply = CallSupply::default();
        for target in targets {
            self.advance(now, target);
            if let Some(divided) = self.targets.get(target) {
                let rate = divided.record.rate(now).unwrap_or(0.0) * part;
                supply.add(divided.bucket.tokens(), rate);
            }
        }
        supply
    }
}

fn entry_of(target: &TargetId, divided: &DividedTarget) -> LimitEntry {
    LimitEntry {
        target: target.to_string(),
        born: divided.born,
        sequence: divided.sequence,
        state: divided.told,
    }
}
