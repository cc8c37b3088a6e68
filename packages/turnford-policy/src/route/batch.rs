//! Batches pieces of stages into calls to targets.
//!
//! A call has a fixed overhead whatever its size, so the pieces that arrive while a target is busy
//! are collected for its next call.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::capacity::CapacityLedger;
use super::target_calls::TargetCalls;
use super::BatchPlan;
use super::BatchSpec;
use super::PieceTicket;
use super::PieceWork;
use super::TargetSpec;
use super::TargetTable;

/// Weight of the newest call in the moving average of batch sizes.
const BATCH_SIZE_WEIGHT: f64 = 0.1;

/// Number of account ranks that expected waits are reported for.
pub const RANK_COUNT: usize = 4;

/// Initial backoff after a target refused a call because it was full. Doubles with each further
/// refusal.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Time after its last use for which a target's usage is known without a report. Another node takes
/// over a target only after this node has stopped batching for it.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Time for which results of other nodes count after a target reported them. They are released one
/// by one, and a new report is cheap.
const PEER_USAGE_TTL: Duration = Duration::from_millis(1500);

/// Slowness from which a target is used only if the others have more than one round of calls to do.
const SLOW_FACTOR: f64 = 1.8;

/// Share of the result capacity that is planned with. The sizes of results are estimates.
const USABLE_CAPACITY: f64 = 0.92;

/// A result that did not fit is assumed to take at most this fraction (1/n) of the whole capacity.
const MAX_RESULT_DIVISOR: u64 = 4;

#[derive(Clone, Debug)]
struct QueuedPiece {
    ticket: PieceTicket,
    work: PieceWork,
}

/// Queue of pieces for the targets of one service, and the calls in flight.
#[derive(Debug)]
pub struct BatchScheduler {
    spec: BatchSpec,
    queue: Vec<QueuedPiece>,
    calls: BTreeMap<TargetId, TargetCalls>,
    capacity: CapacityLedger,
    next_ticket: PieceTicket,
    /// Moving average of the number of pieces in calls that left others queued.
    saturated_batch_size: f64,
}

impl BatchScheduler {
    /// Creates a scheduler for a service.
    pub fn new(spec: BatchSpec) -> Self {
        Self {
            saturated_batch_size: spec.max_pieces.max(1) as f64,
            spec,
            queue: Vec::new(),
            calls: BTreeMap::new(),
            capacity: CapacityLedger::default(),
            next_ticket: 1,
        }
    }

    /// Applies a changed configuration of the service.
    pub fn set_spec(&mut self, spec: &BatchSpec) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
    }

    /// Adds a piece to the queue.
    pub fn push(&mut self, work: PieceWork) -> PieceTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queue.push(QueuedPiece { ticket, work });
        ticket
    }

    /// Puts a piece back into the queue whose call ended without a result for it.
    pub fn requeue(&mut self, ticket: PieceTicket, work: PieceWork) {
        self.queue.push(QueuedPiece { ticket, work });
    }

    /// Puts a piece back into the queue whose result did not fit, and raises its estimated size. The
    /// result may be larger than configured.
    pub fn requeue_larger(&mut self, ticket: PieceTicket, work: PieceWork) {
        let larger = work.result_bytes + work.result_bytes / 2;
        let max_bytes = self.spec.result_capacity / MAX_RESULT_DIVISOR;
        let result_bytes = larger.min(max_bytes.max(work.result_bytes));
        let work = PieceWork {
            result_bytes,
            ..work
        };
        self.requeue(ticket, work);
    }

    /// Removes a piece from the queue. Returns false if it is in a call or unknown.
    pub fn cancel(&mut self, ticket: PieceTicket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|piece| piece.ticket != ticket);
        before != self.queue.len()
    }

    /// Removes all pieces from the queue.
    pub fn drain(&mut self) -> Vec<PieceTicket> {
        let queue = std::mem::take(&mut self.queue);
        queue.into_iter().map(|piece| piece.ticket).collect()
    }

    /// Returns the targets that have to report their usage before they get a call. Each one is
    /// returned once.
    pub fn take_unreported(&mut self, now: Moment, targets: &[TargetSpec]) -> Vec<TargetSpec> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut unreported = Vec::new();
        for target in targets.iter().filter(|target| !target.leaving) {
            let calls = self.calls.entry(target.id.clone()).or_default();
            calls.process_start.get_or_insert(target.process_start);
            let is_due = !calls.is_usage_known(now) && calls.paused_until <= now;
            if is_due && !std::mem::replace(&mut calls.report_requested, true) {
                unreported.push(target.clone());
            }
        }
        unreported
    }

    /// Records the free result capacity that a target reported, in bytes.
    pub fn record_report(&mut self, now: Moment, target: &TargetId, free_bytes: u64) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.report_requested = false;
        calls.report_valid_until = Some(now + REPORT_TTL);
        let used_bytes = self.spec.result_capacity.saturating_sub(free_bytes);
        let until = now + PEER_USAGE_TTL;
        self.capacity.record_usage(now, target, used_bytes, until);
    }

    /// Records that a target did not report. It gets no call and no further question until its
    /// backoff ends.
    pub fn record_report_failure(&mut self, now: Moment, target: &TargetId) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.report_requested = false;
        self.record_refusal(now, target);
    }

    /// Proceeds without a report from a target whose limit leaves no call for one. If other nodes'
    /// results fill it, it refuses the call.
    pub fn assume_report(&mut self, now: Moment, target: &TargetId) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.report_valid_until = Some(now + REPORT_TTL);
    }

    /// Returns whether pieces are queued and the target has a free slot.
    pub fn has_work_for(&self, now: Moment, target: &str) -> bool {
        let calls = self.calls.get(target);
        let is_free = calls.is_none_or(|calls| calls.has_free_slot(now, self.spec.slots));
        is_free && !self.queue.is_empty()
    }

    /// Discards the last report of a target that holds more than was known, so that it has to
    /// report before its next call.
    pub fn invalidate_report(&mut self, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            calls.report_valid_until = None;
        }
    }

    /// Returns the number of queued pieces.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the expected duration of a call with this number of pieces.
    pub fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.spec.call_overhead + self.spec.piece_time * pieces
    }

    /// Returns the expected duration of a full call.
    pub fn full_call_time(&self) -> Duration {
        self.call_time(self.spec.max_pieces)
    }

    /// Returns how long new pieces of each account rank would wait for a call to these targets. The
    /// last rank stands for all ranks below it.
    pub fn expected_waits(
        &self,
        now: Moment,
        table: &TargetTable,
        targets: &[TargetSpec],
    ) -> [Duration; RANK_COUNT] {
        // Measured size of calls while pieces are queued, which may be bound by the result
        // capacity.
        let batch_size = self.saturated_batch_size.max(1.0);
        let full_call_time =
            self.spec.call_overhead.as_secs_f64() + self.spec.piece_time.as_secs_f64() * batch_size;
        let full_call_time = full_call_time.max(0.001);
        let open = targets.iter().filter(|target| !target.leaving);
        let unpaused = open.filter(|target| !table.is_paused(now, &target.id));
        let rates =
            unpaused.map(|target| batch_size / full_call_time / table.slowness(now, &target.id));
        let rate: f64 = rates.sum::<f64>().max(1.0 / full_call_time);
        let until_free = self.time_until_free(now, targets.len()).as_secs_f64();
        let mut waits = [Duration::ZERO; RANK_COUNT];
        for (rank, wait) in waits.iter_mut().enumerate() {
            let is_last = rank + 1 == RANK_COUNT;
            let goes_before = |piece: &&QueuedPiece| {
                let is_overdue = piece.work.due < now + self.spec.call_overhead;
                !is_overdue && (is_last || usize::from(piece.work.ranks.0) <= rank)
            };
            let ahead = self.queue.iter().filter(goes_before).count() as f64;
            *wait = Duration::from_secs_f64(until_free + ahead / rate);
        }
        waits
    }

    /// Returns the time until the first target is free.
    fn time_until_free(&self, now: Moment, target_count: usize) -> Duration {
        let ends = self.calls.values().filter_map(|calls| calls.ends.first());
        if ends.clone().count() < target_count {
            return Duration::ZERO;
        }
        let next = ends.min().copied().unwrap_or(now);
        next.saturating_sub(now)
    }

    /// Plans the calls that can start now at these targets. Also returns the pieces whose deadline
    /// has passed.
    pub fn plan(
        &mut self,
        now: Moment,
        table: &TargetTable,
        targets: &[TargetSpec],
    ) -> (Vec<BatchPlan>, Vec<PieceTicket>) {
        let expired = self.take_expired(now);
        let mut plans = Vec::new();
        let call_overhead = self.spec.call_overhead;
        self.queue.sort_by_key(|piece| {
            // Overdue pieces go after those that can still be in time.
            let is_overdue = piece.work.due < now + call_overhead;
            (is_overdue, piece.work.ranks, piece.work.due, piece.ticket)
        });
        let mut idle = self.idle_targets(now, table, targets);
        // If more pieces are queued than one round of calls takes, targets don't stay idle to wait
        // for local pieces.
        let round_size = self.spec.max_pieces * targets.len();
        let is_backlogged = self.queue.len() > round_size;
        // Pieces that prefer the hall of an idle target are placed first.
        for only_local in [true, false] {
            idle.retain(|target| {
                let plan = self.fill_batch(now, target, only_local, is_backlogged);
                let is_free = plan.is_none();
                plans.extend(plan);
                is_free
            });
        }
        (plans, expired)
    }

    /// Returns when calls should be planned next if no event occurs before.
    pub fn next_wakeup(&mut self, now: Moment) -> Option<Moment> {
        let capacity = self.capacity.expire(now);
        if self.queue.is_empty() {
            return None;
        }
        let backoffs = self.calls.values().map(|calls| calls.paused_until);
        let deadlines = self.queue.iter().map(|piece| piece.work.deadline);
        let halls = self.queue.iter().map(|piece| piece.work.hall_deadline);
        let wakeups = backoffs.chain(deadlines).chain(halls).chain(capacity);
        wakeups.filter(|at| *at > now).min()
    }

    /// Records the end of a call, with the results that its target stores and their sizes in bytes.
    pub fn record_end<'a>(
        &mut self,
        now: Moment,
        target: &TargetId,
        reserved: u64,
        results: impl Iterator<Item = (&'a str, u64)>,
    ) {
        if let Some(calls) = self.calls.get_mut(target) {
            if calls.stale > 0 {
                calls.stale -= 1;
            } else if !calls.ends.is_empty() {
                calls.ends.remove(0);
            }
        }
        self.capacity.release_reservation(target, reserved);
        let mut results = results.peekable();
        if let (Some(_), Some(calls)) = (results.peek(), self.calls.get_mut(target)) {
            calls.refusals = 0;
        }
        for (handle, bytes) in results {
            let until = now + self.spec.result_ttl;
            self.capacity.record_result(handle, target, bytes, until);
        }
    }

    /// Records that a result was released.
    pub fn record_release(&mut self, handle: &str) {
        self.capacity.release(handle);
    }

    /// Records that a target refused a call, and starts its backoff.
    pub fn record_refusal(&mut self, now: Moment, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            calls.paused_until = now + INITIAL_BACKOFF * 2_u32.pow(calls.refusals);
            calls.refusals = (calls.refusals + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// Forgets targets that are no longer listed and have no call in flight, and the state of
    /// targets whose process restarted.
    pub fn retain_listed(&mut self, table: &TargetTable) {
        for (id, calls) in &mut self.calls {
            let Some(listed) = table.get(id) else {
                continue;
            };
            let old = calls.process_start.replace(listed.process_start);
            if old.is_some_and(|old| old != listed.process_start) {
                self.capacity.remove_target(id);
                *calls = TargetCalls {
                    process_start: calls.process_start,
                    stale: calls.stale + calls.ends.len(),
                    ..TargetCalls::default()
                };
            }
        }
        self.calls
            .retain(|id, calls| !calls.ends.is_empty() || table.get(id).is_some());
    }

    fn take_expired(&mut self, now: Moment) -> Vec<PieceTicket> {
        let is_expired = |piece: &QueuedPiece| piece.work.deadline <= now;
        let expired = self.queue.iter().filter(|piece| is_expired(piece));
        let expired: Vec<PieceTicket> = expired.map(|piece| piece.ticket).collect();
        self.queue.retain(|piece| !is_expired(piece));
        expired
    }

    /// Returns the targets with a free slot, the least loaded by other nodes first.
    fn idle_targets(
        &self,
        now: Moment,
        table: &TargetTable,
        targets: &[TargetSpec],
    ) -> Vec<TargetSpec> {
        let is_free = |target: &&TargetSpec| {
            let calls = self.calls.get(&target.id);
            let has_slot = calls.is_some_and(|calls| {
                calls.has_free_slot(now, self.spec.slots) && calls.is_usage_known(now)
            });
            has_slot && !target.leaving && !table.is_paused(now, &target.id)
        };
        let slowness = |id: &TargetId| table.slowness(now, id);
        let fast = targets
            .iter()
            .filter(|target| slowness(&target.id) < SLOW_FACTOR);
        // A slow target helps only if the others would not get to a piece any sooner.
        let round_size = fast.count() * self.spec.max_pieces;
        let needs_slow = self.queue.len() > round_size;
        let is_useful = |target: &&TargetSpec| needs_slow || slowness(&target.id) < SLOW_FACTOR;
        let idle = targets.iter().filter(is_free).filter(is_useful);
        let mut idle: Vec<TargetSpec> = idle.cloned().collect();
        let cost = |id: &TargetId| table.load(now, id) + slowness(id);
        idle.sort_by(|left, right| cost(&left.id).total_cmp(&cost(&right.id)));
        idle
    }

    /// Takes the pieces for one call from the queue, in order.
    fn fill_batch(
        &mut self,
        now: Moment,
        target: &TargetSpec,
        only_local: bool,
        is_backlogged: bool,
    ) -> Option<BatchPlan> {
        let hall = &*target.hall;
        let has_local = self.queue.iter().any(|piece| piece.work.is_local(hall));
        if only_local && !has_local {
            return None;
        }
        let used = self.capacity.used(now, &target.id);
        let usable = (self.spec.result_capacity as f64 * USABLE_CAPACITY) as u64;
        let mut remaining = usable.saturating_sub(used);
        let mut batch: Vec<(PieceTicket, PieceWork)> = Vec::new();
        let mut rest = Vec::new();
        for piece in std::mem::take(&mut self.queue) {
            let bytes = piece.work.result_bytes;
            // A result larger than the whole capacity is tried on an otherwise empty target.
            let fits = bytes <= remaining || (used == 0 && batch.is_empty());
            let has_slot = batch.len() < self.spec.max_pieces.max(1);
            let first_piece = batch.first();
            let can_share = first_piece.is_none_or(|(_, other)| piece.work.can_share_batch(other));
            if has_slot && fits && can_share && piece.work.can_run_in(now, hall, is_backlogged) {
                remaining = remaining.saturating_sub(bytes);
                batch.push((piece.ticket, piece.work));
            } else {
                rest.push(piece);
            }
        }
        self.queue = rest;
        if batch.is_empty() {
            return None;
        }
        if !self.queue.is_empty() {
            self.saturated_batch_size +=
                BATCH_SIZE_WEIGHT * (batch.len() as f64 - self.saturated_batch_size);
        }
        let end = now + self.call_time(batch.len());
        let calls = self.calls.entry(target.id.clone()).or_default();
        calls.process_start.get_or_insert(target.process_start);
        calls.ends.push(end);
        calls.report_valid_until = Some(end + REPORT_TTL);
        let plan = BatchPlan {
            target: target.id.clone(),
            pieces: batch,
        };
        self.capacity.reserve(&target.id, plan.result_bytes());
        Some(plan)
    }
}
