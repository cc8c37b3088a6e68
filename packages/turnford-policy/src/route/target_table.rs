//! The targets of one service as seen by one node, and the choice among them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::config::ProcessStart;
use super::target_record::LoadSample;
use super::target_record::TargetRecord;
use super::TargetSpec;

/// Weight of the newest sample in the moving average of failures.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Weight of the newest slowness sample. Two calls are enough to tell a slow target.
const SLOWNESS_WEIGHT: f64 = 0.6;

/// Half-life of a measured slowness above 1.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// Initial pause of a target that refused a call. Doubles with each further refusal in a row.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause of a target that refuses calls.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Failure rate from which a target is used only if no other can take the call.
const FAILURE_THRESHOLD: f64 = 0.3;

/// Cost of a target that fails all its calls, as time.
const FAILURE_COST: Duration = Duration::from_secs(2);

/// Costs that differ by less than this rounding error count as equal, in seconds.
const COST_TOLERANCE: f64 = 1e-6;

/// State of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    records: BTreeMap<TargetId, TargetRecord>,
    /// Rotates through targets of equal cost. If each node took the first one, all nodes would
    /// choose the same target.
    next_tie: Cell<usize>,
}

impl TargetTable {
    /// Replaces the list of targets. State of targets that remain is kept. A target whose process
    /// restarted counts as a new one, even with the same id.
    pub fn set_targets<'a>(&mut self, specs: impl Iterator<Item = &'a TargetSpec>) {
        let mut old = std::mem::take(&mut self.records);
        for spec in specs {
            let known = old.remove(&spec.id);
            let known = known.filter(|record| spec.is_same_process(&record.spec));
            let mut record = known.unwrap_or_else(|| TargetRecord::new(spec.clone()));
            record.update_spec(spec);
            self.records.insert(spec.id.clone(), record);
        }
    }

    /// Returns the number of targets that accept new work.
    pub fn open_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| !record.spec.leaving).count()
    }

    /// Returns a target by its id, including one that is leaving.
    pub fn get(&self, id: &str) -> Option<&TargetSpec> {
        self.records.get(id).map(|record| &record.spec)
    }

    /// Returns all targets, including those that are leaving.
    pub fn all_targets(&self) -> impl Iterator<Item = &TargetSpec> {
        self.records.values().map(|record| &record.spec)
    }

    /// Returns the targets that accept new work.
    pub fn open_targets(&self) -> impl Iterator<Item = &TargetSpec> {
        let specs = self.records.values().map(|record| &record.spec);
        specs.filter(|spec| !spec.leaving)
    }

    /// Records that a target's process announced that it is leaving. Returns true if this was not
    /// known. The target gets no new work from then on, even if its store entry, which may be
    /// delayed, says that it is ready.
    pub fn record_leaving(&mut self, now: Moment, id: &str, process_start: ProcessStart) -> bool {
        let record = self.records.get_mut(id);
        let Some(record) = record.filter(|record| record.spec.process_start == process_start)
        else {
            return false;
        };
        record.spec.leaving = true;
        record.gate.record_leaving(now)
    }

    /// Records that a target that announced that it is leaving is active again.
    pub fn record_active(&mut self, id: &str, process_start: ProcessStart) {
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|record| record.spec.process_start == process_start) {
            record.gate.record_active();
            record.spec.leaving = record.is_listed_leaving;
        }
    }

    /// Records that a target's process asked this node to back off for a time.
    pub fn record_backoff(
        &mut self,
        now: Moment,
        id: &str,
        process_start: ProcessStart,
        duration: Duration,
    ) {
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|record| record.spec.process_start == process_start) {
            record.gate.record_backoff(now, duration);
        }
    }

    /// Records that a target's process asked the node that batches its calls to back off for a
    /// time.
    pub fn record_batcher_backoff(
        &mut self,
        now: Moment,
        id: &str,
        process_start: ProcessStart,
        duration: Duration,
    ) {
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|record| record.spec.process_start == process_start) {
            record.gate.record_batcher_backoff(now, duration);
        }
    }

    /// Returns the ids of targets that accept new work, without those already tried.
    pub fn untried_targets(&self, tried: &[TargetId]) -> Vec<TargetId> {
        let left = self.untried(tried);
        left.map(|record| record.spec.id.clone()).collect()
    }

    /// Returns when a target's backoff for this node ends. Returns `None` if it takes calls.
    pub fn backoff_until(&self, now: Moment, id: &str) -> Option<Moment> {
        let record = self.records.get(id)?;
        record
            .gate
            .is_backing_off(now)
            .then(|| record.gate.backoff_until())
    }

    /// Returns whether a target takes the calls in flight of this node, including those about to be
    /// sent.
    pub fn is_within_limit(&self, now: Moment, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.gate.allows(now, record.inflight))
    }

    /// Returns whether a target takes one more call of this node.
    pub fn is_open(&self, now: Moment, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.is_open(now))
    }

    /// Returns whether any untried target takes one more call of this node.
    pub fn has_open(&self, now: Moment, tried: &[TargetId]) -> bool {
        let mut left = self.untried(tried);
        left.any(|record| record.is_open(now))
    }

    /// Returns the targets that take no further call of this node now although they aren't leaving.
    pub fn closed_targets(&self, now: Moment) -> Vec<TargetId> {
        let left = self.untried(&[]);
        let closed = left.filter(|record| !record.is_open(now));
        closed.map(|record| record.spec.id.clone()).collect()
    }

    /// Returns when the first untried target takes calls of this node, at the earliest now. Returns
    /// `None` if all others are leaving.
    pub fn opens_at(&self, now: Moment, tried: &[TargetId]) -> Option<Moment> {
        let ends = self
            .untried(tried)
            .map(|record| record.gate.backoff_until());
        ends.min().map(|end| end.max(now))
    }

    /// Returns when the first target takes calls of the node that batches for it, at the earliest
    /// now.
    pub fn opens_for_batcher_at(&self, now: Moment) -> Option<Moment> {
        let ends = self
            .untried(&[])
            .map(|record| record.gate.any_backoff_until());
        ends.min().map(|end| end.max(now))
    }

    /// Returns whether a target asked this node, or the node that batches its calls, to back off.
    pub fn has_any_backoff(&self, now: Moment, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| now < record.gate.any_backoff_until())
    }

    /// Returns the number of concurrent requests of all untried targets together.
    pub fn total_slots(&self, tried: &[TargetId]) -> u32 {
        self.untried(tried).map(|record| record.spec.slots).sum()
    }

    fn untried<'a>(&'a self, tried: &'a [TargetId]) -> impl Iterator<Item = &'a TargetRecord> {
        let open = self.records.values().filter(|record| !record.spec.leaving);
        open.filter(|record| !tried.contains(&record.spec.id))
    }

    /// Returns the targets to probe for whether they are still leaving, each at intervals: they
    /// announced that they leave but their store entries say that they are ready. `jitter` is a
    /// fixed number of this node from 0 to 1 that spreads the probes of all nodes.
    pub fn take_due_probes(&mut self, now: Moment, jitter: f64) -> Vec<TargetSpec> {
        let records = self.records.values_mut();
        let due = records
            .filter(|record| !record.is_listed_leaving && record.gate.is_probe_due(now, jitter));
        let probes = due.map(|record| {
            record.gate.record_leaving(now);
            record.spec.clone()
        });
        probes.collect()
    }

    /// Returns whether a target is paused after recent refusals.
    pub fn is_paused(&self, now: Moment, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.paused_until > now)
    }

    /// Returns the expected load of a target: its running and waiting calls, including those of
    /// this node.
    pub fn load(&self, now: Moment, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.load(now))
    }

    /// Returns the number of calls of this node in flight at a target.
    pub fn inflight(&self, id: &str) -> u32 {
        self.records.get(id).map_or(0, |record| record.inflight)
    }

    /// Chooses the untried target with the lowest cost.
    ///
    /// `cost_of` returns the cost of a target in seconds for its load. The cost of its failures is
    /// added to that. Paused targets are chosen only if nothing else is left.
    pub fn choose(
        &self,
        now: Moment,
        tried: &[TargetId],
        cost_of: impl Fn(&TargetSpec, f64) -> f64,
    ) -> Option<TargetSpec> {
        let untried: Vec<&TargetRecord> = self.untried(tried).collect();
        let unpaused = untried.iter().filter(|record| record.paused_until <= now);
        let healthy = unpaused
            .clone()
            .filter(|record| record.failure_rate < FAILURE_THRESHOLD);
        let cost = |record: &TargetRecord| {
            let base = cost_of(&record.spec, record.load(now));
            base + record.failure_rate * FAILURE_COST.as_secs_f64()
        };
        let chosen = self
            .pick_cheapest(healthy.copied(), cost)
            .or_else(|| self.pick_cheapest(unpaused.copied(), cost))
            .or_else(|| {
                untried
                    .iter()
                    .copied()
                    .min_by_key(|record| record.paused_until)
            });
        chosen.map(|record| record.spec.clone())
    }

    /// Returns one of the targets with the lowest cost, in rotation.
    fn pick_cheapest<'a>(
        &self,
        records: impl Iterator<Item = &'a TargetRecord>,
        cost: impl Fn(&TargetRecord) -> f64,
    ) -> Option<&'a TargetRecord> {
        let costs = records.map(|record| (cost(record), record));
        let costs: Vec<(f64, &TargetRecord)> = costs.collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let is_equal = |(cost, _): &&(f64, &TargetRecord)| *cost <= least + COST_TOLERANCE;
        let equal: Vec<&(f64, &TargetRecord)> = costs.iter().filter(is_equal).collect();
        let next = self.next_tie.get();
        self.next_tie.set(next.wrapping_add(1));
        equal.get(next % equal.len()).map(|(_, record)| *record)
    }

    /// Returns the duration of a target's calls relative to the expected one. The measured value
    /// decays towards 1, so that a slow target is tried again.
    pub fn slowness(&self, now: Moment, id: &str) -> f64 {
        let measured = self.records.get(id).and_then(|record| record.slowness);
        let Some((slowness, at)) = measured else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (slowness - 1.0).max(0.0) * 0.5_f64.powf(age)
    }

    /// Returns the measured slowness without decay. Returns `None` if the last sample is older than
    /// the half-life.
    pub fn measured_slowness(&self, now: Moment, id: &str) -> Option<f64> {
        let (slowness, at) = self.records.get(id)?.slowness?;
        let is_recent = now.saturating_sub(at) < SLOWNESS_HALF_LIFE;
        is_recent.then_some(slowness)
    }

    /// Records that a call of this node is sent to a target.
    pub fn record_start(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.inflight += 1;
        }
    }

    /// Records that a call of this node ended, with any outcome.
    pub fn record_end(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.inflight = record.inflight.saturating_sub(1);
        }
    }

    /// Records the load reported by a target.
    pub fn record_load(&mut self, now: Moment, id: &str, sample: LoadSample) {
        if let Some(record) = self.records.get_mut(id) {
            record.reported_load = Some((now, sample, record.inflight));
        }
    }

    /// Records a successful call.
    pub fn record_success(&mut self, now: Moment, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.gate.record_success(now, record.spec.slots);
        record.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        record.consecutive_refusals = 0;
        record.paused_until = Moment::ZERO;
    }

    /// Records the duration of a call relative to the expected one, where 1 is as expected.
    pub fn record_slowness(&mut self, now: Moment, id: &str, sample: f64) {
        if let Some(record) = self.records.get_mut(id) {
            let old = record.slowness.map_or(sample, |(old, _)| old);
            let new = old + SLOWNESS_WEIGHT * (sample - old);
            record.slowness = Some((new, now));
        }
    }

    /// Records a failed call that the target is to blame for.
    pub fn record_failure(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.failure_rate += SAMPLE_WEIGHT * (1.0 - record.failure_rate);
        }
    }

    /// Records that a target could not be reached or is full, and pauses it.
    pub fn record_refusal(&mut self, now: Moment, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let doublings = record.consecutive_refusals.min(8);
        let pause = (INITIAL_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        record.consecutive_refusals += 1;
        record.paused_until = now + pause;
    }
}
