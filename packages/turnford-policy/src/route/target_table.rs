//! The targets of one service as one node sees them, and the choice between them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::config::ProcessStart;
use super::target_record::BoardEntry;
use super::target_record::LoadSample;
use super::TargetSpec;

/// Weight of the newest sample in averages of failures and times.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Weight of the newest sample of slowness; two calls tell.
const SLOWNESS_WEIGHT: f64 = 0.6;

/// Time after which half of a measured slowness no longer counts.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// First pause of a target that failed; it doubles with each further failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause of a failing target.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Part of failed calls over which a target is used only if no other can take the call.
const BAD_FAILURE: f64 = 0.3;

/// Cost of a target that fails all its calls, in the unit of times.
const FAILURE_COST: Duration = Duration::from_secs(2);

/// Costs that differ by less are the same but for rounding.
const EQUAL_COST: f64 = 1e-6;

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<TargetId, BoardEntry>,
    /// Which of several equal targets is chosen next. Nodes that took the first would all choose alike.
    turn: Cell<usize>,
}

impl TargetTable {
    /// Takes a new list of targets. What was learned of those that stay is kept; one that started again
    /// is another target, whatever its id.
    pub fn set_targets<'a>(&mut self, specs: impl Iterator<Item = &'a TargetSpec>) {
        let mut old = std::mem::take(&mut self.entries);
        for spec in specs {
            let known = old.remove(&spec.id);
            let known = known.filter(|entry| spec.is_same_process(&entry.spec));
            let mut entry = known.unwrap_or_else(|| BoardEntry::new(spec.clone()));
            entry.take_spec(spec);
            self.entries.insert(spec.id.clone(), entry);
        }
    }

    /// Returns the number of targets that take new work.
    pub fn open_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.spec.leaving).count()
    }

    /// Returns a target by its id, leaving ones too.
    pub fn get(&self, id: &str) -> Option<&TargetSpec> {
        self.entries.get(id).map(|entry| &entry.spec)
    }

    /// Returns every target, leaving ones too.
    pub fn all_targets(&self) -> impl Iterator<Item = &TargetSpec> {
        self.entries.values().map(|entry| &entry.spec)
    }

    /// Returns the targets that take new work.
    pub fn open_targets(&self) -> impl Iterator<Item = &TargetSpec> {
        let specs = self.entries.values().map(|entry| &entry.spec);
        specs.filter(|spec| !spec.leaving)
    }

    /// Notes that a target's process said that it leaves; true if that is new here. It takes no new work
    /// from then on, whatever its entry says: that may wait for the store, or lag.
    pub fn record_leaving(&mut self, now: Moment, id: &str, born: ProcessStart) -> bool {
        let entry = self.entries.get_mut(id);
        let Some(entry) = entry.filter(|entry| entry.spec.process_start == born) else {
            return false;
        };
        entry.spec.leaving = true;
        entry.gate.note_leaving(now)
    }

    /// Notes that a target that said that it leaves stays.
    pub fn record_active(&mut self, id: &str, born: ProcessStart) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|entry| entry.spec.process_start == born) {
            entry.gate.note_staying();
            entry.spec.leaving = entry.is_listed_leaving;
        }
    }

    /// Notes that a target's process wants nothing of this node for so long.
    pub fn record_backoff(&mut self, now: Moment, id: &str, born: ProcessStart, span: Duration) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|entry| entry.spec.process_start == born) {
            entry.gate.note_rest(now, span);
        }
    }

    /// Notes that a target's process wants nothing for so long of the node that gathers for it.
    pub fn record_batcher_backoff(
        &mut self,
        now: Moment,
        id: &str,
        born: ProcessStart,
        span: Duration,
    ) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|entry| entry.spec.process_start == born) {
            entry.gate.note_told_rest(now, span);
        }
    }

    /// Returns the targets that take new work beside these.
    pub fn untried_targets(&self, tried: &[TargetId]) -> Vec<TargetId> {
        let left = self.untried(tried);
        left.map(|entry| entry.spec.id.clone()).collect()
    }

    /// Tells until when a target wants nothing of this node, `None` if it takes calls.
    pub fn backoff_until(&self, now: Moment, id: &str) -> Option<Moment> {
        let entry = self.entries.get(id)?;
        entry.gate.rests(now).then(|| entry.gate.rests_until())
    }

    /// Tells whether a target takes the calls of this node that are under way there, those that are about
    /// to be sent among them.
    pub fn is_within_limit(&self, now: Moment, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.gate.has_room(now, entry.in_flight))
    }

    /// Tells whether a target takes one more call of this node.
    pub fn is_open(&self, now: Moment, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.is_open(now))
    }

    /// Tells whether any target beside these takes one more call of this node.
    pub fn has_open(&self, now: Moment, tried: &[TargetId]) -> bool {
        let mut left = self.untried(tried);
        left.any(|entry| entry.is_open(now))
    }

    /// Returns the targets that take no further call of this node now, though they don't leave.
    pub fn closed_targets(&self, now: Moment) -> Vec<TargetId> {
        let left = self.untried(&[]);
        let closed = left.filter(|entry| !entry.is_open(now));
        closed.map(|entry| entry.spec.id.clone()).collect()
    }

    /// Returns when the first target beside these takes calls of this node, at the earliest now; `None`
    /// if there is none that doesn't leave.
    pub fn opens_at(&self, now: Moment, tried: &[TargetId]) -> Option<Moment> {
        let ends = self.untried(tried).map(|entry| entry.gate.rests_until());
        ends.min().map(|end| end.max(now))
    }

    /// Returns when the first target takes calls of the node that gathers for it, at the earliest now.
    pub fn opens_for_batcher_at(&self, now: Moment) -> Option<Moment> {
        let ends = self.untried(&[]).map(|entry| entry.gate.any_rest_until());
        ends.min().map(|end| end.max(now))
    }

    /// Tells whether a target rests towards the node that gathers for it.
    pub fn has_any_backoff(&self, now: Moment, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| now < entry.gate.any_rest_until())
    }

    /// Returns the requests that the targets beside these work on at a time.
    pub fn total_slots(&self, tried: &[TargetId]) -> u32 {
        self.untried(tried).map(|entry| entry.spec.slots).sum()
    }

    fn untried<'a>(&'a self, tried: &'a [TargetId]) -> impl Iterator<Item = &'a BoardEntry> {
        let open = self.entries.values().filter(|entry| !entry.spec.leaving);
        open.filter(|entry| !tried.contains(&entry.spec.id))
    }

    /// Returns the targets to be asked whether they stay, each once in a while: they said that they
    /// leave, and their entries still say that they are ready. `later` is this node's own number from 0 to
    /// 1, so that nodes ask one after the other.
    pub fn take_due_probes(&mut self, now: Moment, later: f64) -> Vec<TargetSpec> {
        let entries = self.entries.values_mut();
        let due =
            entries.filter(|entry| !entry.is_listed_leaving && entry.gate.is_ask_due(now, later));
        let asks = due.map(|entry| {
            entry.gate.note_leaving(now);
            entry.spec.clone()
        });
        asks.collect()
    }

    /// Tells whether a target failed so lately that it is passed over.
    pub fn is_paused(&self, now: Moment, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.paused_until > now)
    }

    /// Returns the expected load of a target: calls under way and waiting, this node's among them.
    pub fn load(&self, now: Moment, id: &str) -> f64 {
        self.entries.get(id).map_or(0.0, |entry| entry.load(now))
    }

    /// Returns the calls of this node that are under way at a target.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.entries.get(id).map_or(0, |entry| entry.in_flight)
    }

    /// Chooses the target with the least cost, among those not tried yet.
    ///
    /// `cost_of` gives the cost of a target in seconds from its load; the board adds what the
    /// target's failures make likely. Paused targets are chosen only where nothing else is left.
    pub fn choose(
        &self,
        now: Moment,
        tried: &[TargetId],
        cost_of: impl Fn(&TargetSpec, f64) -> f64,
    ) -> Option<TargetSpec> {
        let left: Vec<&BoardEntry> = self.untried(tried).collect();
        let awake = left.iter().filter(|entry| entry.paused_until <= now);
        let sound = awake.clone().filter(|entry| entry.failure < BAD_FAILURE);
        let cost = |entry: &BoardEntry| {
            let own = cost_of(&entry.spec, entry.load(now));
            own + entry.failure * FAILURE_COST.as_secs_f64()
        };
        let chosen = self
            .take_cheapest(sound.copied(), cost)
            .or_else(|| self.take_cheapest(awake.copied(), cost))
            .or_else(|| left.iter().copied().min_by_key(|entry| entry.paused_until));
        chosen.map(|entry| entry.spec.clone())
    }

    /// Returns one of those that cost the least, another one each time.
    fn take_cheapest<'a>(
        &self,
        entries: impl Iterator<Item = &'a BoardEntry>,
        cost: impl Fn(&BoardEntry) -> f64,
    ) -> Option<&'a BoardEntry> {
        let costs = entries.map(|entry| (cost(entry), entry));
        let costs: Vec<(f64, &BoardEntry)> = costs.collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let is_equal = |(cost, _): &&(f64, &BoardEntry)| *cost <= least + EQUAL_COST;
        let equal: Vec<&(f64, &BoardEntry)> = costs.iter().filter(is_equal).collect();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        equal.get(turn % equal.len()).map(|(_, entry)| *entry)
    }

    /// Returns the time of a target's calls against what is expected of them. What was measured
    /// long ago counts less, so that a slow target is tried again.
    pub fn slowness(&self, now: Moment, id: &str) -> f64 {
        let measured = self.entries.get(id).and_then(|entry| entry.slowness);
        let Some((slowness, at)) = measured else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (slowness - 1.0).max(0.0) * 0.5_f64.powf(age)
    }

    /// Returns the same where it was measured lately, `None` otherwise.
    pub fn measured_slowness(&self, now: Moment, id: &str) -> Option<f64> {
        let (slowness, at) = self.entries.get(id)?.slowness?;
        let is_recent = now.saturating_sub(at) < SLOWNESS_HALF_LIFE;
        is_recent.then_some(slowness)
    }

    /// Notes that a call of this node goes to a target.
    pub fn record_start(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.in_flight += 1;
        }
    }

    /// Notes that a call of this node ended, however it did.
    pub fn record_end(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load that a target told.
    pub fn record_load(&mut self, now: Moment, id: &str, mark: LoadSample) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.mark = Some((now, mark, entry.in_flight));
        }
    }

    /// Notes a call that went well.
    pub fn record_success(&mut self, now: Moment, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.gate.note_success(now, entry.spec.slots);
        entry.failure *= 1.0 - SAMPLE_WEIGHT;
        entry.failures_in_row = 0;
        entry.paused_until = Moment::ZERO;
    }

    /// Notes the time of a call against what was expected of it; 1 is as expected.
    pub fn record_slowness(&mut self, now: Moment, id: &str, sample: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            let old = entry.slowness.map_or(sample, |(old, _)| old);
            let new = old + SLOWNESS_WEIGHT * (sample - old);
            entry.slowness = Some((new, now));
        }
    }

    /// Notes a call that failed in a way that speaks against the target itself.
    pub fn record_failure(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failure += SAMPLE_WEIGHT * (1.0 - entry.failure);
        }
    }

    /// Notes that a target could not be reached or is full: it gets a pause.
    pub fn record_refusal(&mut self, now: Moment, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let doublings = entry.failures_in_row.min(8);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        entry.failures_in_row += 1;
        entry.paused_until = now + pause;
    }
}
