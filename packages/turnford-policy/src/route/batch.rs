//! Pieces of stages, gathered into calls of many.
//!
//! A call takes a fixed time whatever it holds, so a target that is busy gathers the pieces that
//! come meanwhile for its next call.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::capacity::RoomLedger;
use super::target_calls::TargetCalls;
use super::BatchPlan;
use super::BatchSpec;
use super::PieceTicket;
use super::PieceWork;
use super::TargetSpec;
use super::TargetTable;

/// Weight of the newest call in the average size of calls.
const SIZE_WEIGHT: f64 = 0.1;

/// Account ranks that waits are told for.
pub const RANK_COUNT: usize = 4;

/// First pause after a target refused a call because it was full, before it is offered another; it
/// doubles with each further refusal.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Doublings of the pause at most.
const FULL_DOUBLINGS: u32 = 3;

/// Time after its last use for which a target is known without asking it: others use it only after
/// this node has stopped gathering for it.
const KNOWN_SPAN: Duration = Duration::from_secs(5);

/// Time for which others' results are reckoned with after a target told of them. They are given up
/// one by one; asking again is cheap.
const FOREIGN_SPAN: Duration = Duration::from_millis(1500);

/// Times that a target takes against the others over which it is used only where they have more
/// than a round of calls to do.
const SLOW_FACTOR: f64 = 1.8;

/// Part of the room for results that is planned with, since their sizes are known roughly.
const ROOM_PART: f64 = 0.92;

/// A result that found no room is taken for one in so many of all the room at most.
const LARGEST_PART: u64 = 4;

#[derive(Clone, Debug)]
struct QueuedPiece {
    ticket: PieceTicket,
    work: PieceWork,
}

/// The pieces that wait for one service's targets, and the calls under way.
#[derive(Debug)]
pub struct BatchScheduler {
    spec: BatchSpec,
    waiting: Vec<QueuedPiece>,
    calls: BTreeMap<TargetId, TargetCalls>,
    room: RoomLedger,
    next_ticket: PieceTicket,
    /// Average number of pieces of calls that left others waiting.
    busy_size: f64,
}

impl BatchScheduler {
    /// Makes a board for a service.
    pub fn new(spec: BatchSpec) -> Self {
        Self {
            busy_size: spec.max_pieces.max(1) as f64,
            spec,
            waiting: Vec::new(),
            calls: BTreeMap::new(),
            room: RoomLedger::default(),
            next_ticket: 1,
        }
    }

    /// Takes what the configuration says of the service now.
    pub fn set_spec(&mut self, spec: &BatchSpec) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
    }

    /// Puts a piece into the queue.
    pub fn push(&mut self, work: PieceWork) -> PieceTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(QueuedPiece { ticket, work });
        ticket
    }

    /// Puts a piece back into the queue that a call gave no end.
    pub fn requeue(&mut self, ticket: PieceTicket, work: PieceWork) {
        self.waiting.push(QueuedPiece { ticket, work });
    }

    /// Puts a piece back whose result found no room: it may be larger than the configuration says.
    pub fn requeue_larger(&mut self, ticket: PieceTicket, work: PieceWork) {
        let larger = work.result_bytes + work.result_bytes / 2;
        let most = self.spec.result_capacity / LARGEST_PART;
        let result_bytes = larger.min(most.max(work.result_bytes));
        let work = PieceWork {
            result_bytes,
            ..work
        };
        self.requeue(ticket, work);
    }

    /// Takes a piece out of the queue; false if it is in a call or gone.
    pub fn cancel(&mut self, ticket: PieceTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|piece| piece.ticket != ticket);
        before != self.waiting.len()
    }

    /// Takes all pieces out of the queue.
    pub fn drain(&mut self) -> Vec<PieceTicket> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|piece| piece.ticket).collect()
    }

    /// Returns the targets whose report is needed before they get a call; each is returned once.
    pub fn take_unreported(&mut self, now: Moment, targets: &[TargetSpec]) -> Vec<TargetSpec> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut unknown = Vec::new();
        for target in targets.iter().filter(|target| !target.leaving) {
            let calls = self.calls.entry(target.id.clone()).or_default();
            calls.born.get_or_insert(target.process_start);
            let is_due = !calls.is_known(now) && calls.paused_until <= now;
            if is_due && !std::mem::replace(&mut calls.is_asked, true) {
                unknown.push(target.clone());
            }
        }
        unknown
    }

    /// Takes a target's own word on the bytes of room that it has left.
    pub fn record_report(&mut self, now: Moment, target: &TargetId, free: u64) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.is_asked = false;
        calls.known_until = Some(now + KNOWN_SPAN);
        let taken = self.spec.result_capacity.saturating_sub(free);
        let until = now + FOREIGN_SPAN;
        self.room.note_taken(now, target, taken, until);
    }

    /// Notes that a target gave no report: it is asked again after a pause, and gets no call before.
    pub fn record_report_failure(&mut self, now: Moment, target: &TargetId) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.is_asked = false;
        self.record_refusal(now, target);
    }

    /// Goes on without a target's report: it takes so few calls that none is left for a question. What it holds
    /// of others' it says when it has no room.
    pub fn assume_report(&mut self, now: Moment, target: &TargetId) {
        let calls = self.calls.entry(target.clone()).or_default();
        calls.known_until = Some(now + KNOWN_SPAN);
    }

    /// Tells whether pieces wait that a target could be sent now.
    pub fn has_work_for(&self, now: Moment, target: &str) -> bool {
        let calls = self.calls.get(target);
        let is_free = calls.is_none_or(|calls| calls.has_place(now, self.spec.slots));
        is_free && !self.waiting.is_empty()
    }

    /// Has a target asked anew before its next call, since it holds more than is known.
    pub fn invalidate_report(&mut self, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            calls.known_until = None;
        }
    }

    /// Returns the number of pieces that wait.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time that a call of so many pieces takes.
    pub fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.spec.call_overhead + self.spec.piece_time * pieces
    }

    /// Returns the time that a full call takes.
    pub fn full_call_time(&self) -> Duration {
        self.call_time(self.spec.max_pieces)
    }

    /// Returns the time that new pieces of each account rank would wait for their call at these
    /// targets; the last rank stands for all below it.
    pub fn expected_waits(
        &self,
        now: Moment,
        board: &TargetTable,
        targets: &[TargetSpec],
    ) -> [Duration; RANK_COUNT] {
        // What calls really hold while pieces wait, which the room for results may bound.
        let limit = self.busy_size.max(1.0);
        let full =
            self.spec.call_overhead.as_secs_f64() + self.spec.piece_time.as_secs_f64() * limit;
        let full = full.max(0.001);
        let open = targets.iter().filter(|target| !target.leaving);
        let awake = open.filter(|target| !board.is_paused(now, &target.id));
        let rates = awake.map(|target| limit / full / board.slowness(now, &target.id));
        let rate: f64 = rates.sum::<f64>().max(1.0 / full);
        let first = self.first_free(now, targets.len()).as_secs_f64();
        let mut waits = [Duration::ZERO; RANK_COUNT];
        for (rank, wait) in waits.iter_mut().enumerate() {
            let is_last = rank + 1 == RANK_COUNT;
            let goes_before = |piece: &&QueuedPiece| {
                let is_overdue = piece.work.due < now + self.spec.call_overhead;
                !is_overdue && (is_last || usize::from(piece.work.ranks.0) <= rank)
            };
            let ahead = self.waiting.iter().filter(goes_before).count() as f64;
            *wait = Duration::from_secs_f64(first + ahead / rate);
        }
        waits
    }

    /// Returns the time until a target is free.
    fn first_free(&self, now: Moment, targets: usize) -> Duration {
        let ends = self.calls.values().filter_map(|calls| calls.ends.first());
        if ends.clone().count() < targets {
            return Duration::ZERO;
        }
        let next = ends.min().copied().unwrap_or(now);
        next.saturating_sub(now)
    }

    /// Plans the calls that can be made now at these targets, and returns the pieces whose time is
    /// over besides.
    pub fn plan(
        &mut self,
        now: Moment,
        board: &TargetTable,
        targets: &[TargetSpec],
    ) -> (Vec<BatchPlan>, Vec<PieceTicket>) {
        let late = self.take_late(now);
        let mut plans = Vec::new();
        let span = self.spec.call_overhead;
        self.waiting.sort_by_key(|piece| {
            // What can't be in time any more goes behind what can.
            let is_overdue = piece.work.due < now + span;
            (is_overdue, piece.work.ranks, piece.work.due, piece.ticket)
        });
        let mut free = self.free_targets(now, board, targets);
        // Where more waits than a round of calls holds, no target stays idle for what is near.
        let round = self.spec.max_pieces * targets.len();
        let is_crowded = self.waiting.len() > round;
        // Pieces that belong near a free target take it first.
        for only_near in [true, false] {
            free.retain(|target| {
                let plan = self.fill_call(now, target, only_near, is_crowded);
                let is_free = plan.is_none();
                plans.extend(plan);
                is_free
            });
        }
        (plans, late)
    }

    /// Returns when calls should be planned next though nothing happens until then.
    pub fn next_wakeup(&mut self, now: Moment) -> Option<Moment> {
        let room = self.room.expire(now);
        if self.waiting.is_empty() {
            return None;
        }
        let pauses = self.calls.values().map(|calls| calls.paused_until);
        let deadlines = self.waiting.iter().map(|piece| piece.work.deadline);
        let halls = self.waiting.iter().map(|piece| piece.work.hall_deadline);
        let looks = pauses.chain(deadlines).chain(halls).chain(room);
        looks.filter(|at| *at > now).min()
    }

    /// Notes that a call ended, with the results that its target keeps.
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
        self.room.end_call(target, reserved);
        let mut results = results.peekable();
        if let (Some(_), Some(calls)) = (results.peek(), self.calls.get_mut(target)) {
            calls.refusals = 0;
        }
        for (handle, bytes) in results {
            let until = now + self.spec.result_ttl;
            self.room.keep(handle, target, bytes, until);
        }
    }

    /// Notes that a result was given up.
    pub fn record_release(&mut self, handle: &str) {
        self.room.release(handle);
    }

    /// Notes that a target refused a call; it gets a pause before the next.
    pub fn record_refusal(&mut self, now: Moment, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            calls.paused_until = now + FULL_PAUSE * 2_u32.pow(calls.refusals);
            calls.refusals = (calls.refusals + 1).min(FULL_DOUBLINGS);
        }
    }

    /// Forgets targets that are gone and have no call under way, and what those held that started
    /// again.
    pub fn retain_listed(&mut self, board: &TargetTable) {
        for (id, calls) in &mut self.calls {
            let Some(listed) = board.get(id) else {
                continue;
            };
            let old = calls.born.replace(listed.process_start);
            if old.is_some_and(|old| old != listed.process_start) {
                self.room.forget_target(id);
                *calls = TargetCalls {
                    born: calls.born,
                    stale: calls.stale + calls.ends.len(),
                    ..TargetCalls::default()
                };
            }
        }
        self.calls
            .retain(|id, calls| !calls.ends.is_empty() || board.get(id).is_some());
    }

    fn take_late(&mut self, now: Moment) -> Vec<PieceTicket> {
        let is_late = |piece: &QueuedPiece| piece.work.deadline <= now;
        let late = self.waiting.iter().filter(|piece| is_late(piece));
        let late: Vec<PieceTicket> = late.map(|piece| piece.ticket).collect();
        self.waiting.retain(|piece| !is_late(piece));
        late
    }

    /// Returns the targets without a call of this board, those that others use least first.
    fn free_targets(
        &self,
        now: Moment,
        board: &TargetTable,
        targets: &[TargetSpec],
    ) -> Vec<TargetSpec> {
        let is_free = |target: &&TargetSpec| {
            let calls = self.calls.get(&target.id);
            let has_place = calls
                .is_some_and(|calls| calls.has_place(now, self.spec.slots) && calls.is_known(now));
            has_place && !target.leaving && !board.is_paused(now, &target.id)
        };
        let slowness = |id: &TargetId| board.slowness(now, id);
        let quick = targets
            .iter()
            .filter(|target| slowness(&target.id) < SLOW_FACTOR);
        // A slow target helps only where the others would not come to a piece any sooner.
        let round = quick.count() * self.spec.max_pieces;
        let needs_slow = self.waiting.len() > round;
        let is_useful = |target: &&TargetSpec| needs_slow || slowness(&target.id) < SLOW_FACTOR;
        let free = targets.iter().filter(is_free).filter(is_useful);
        let mut free: Vec<TargetSpec> = free.cloned().collect();
        let cost = |id: &TargetId| board.load(now, id) + slowness(id);
        free.sort_by(|left, right| cost(&left.id).total_cmp(&cost(&right.id)));
        free
    }

    /// Takes the pieces of one call out of the queue, in its order.
    fn fill_call(
        &mut self,
        now: Moment,
        target: &TargetSpec,
        only_near: bool,
        is_crowded: bool,
    ) -> Option<BatchPlan> {
        let hall = &*target.hall;
        let has_near = self.waiting.iter().any(|piece| piece.work.is_near(hall));
        if only_near && !has_near {
            return None;
        }
        let used = self.room.used(now, &target.id);
        let all = (self.spec.result_capacity as f64 * ROOM_PART) as u64;
        let mut room = all.saturating_sub(used);
        let mut taken: Vec<(PieceTicket, PieceWork)> = Vec::new();
        let mut left = Vec::new();
        for piece in std::mem::take(&mut self.waiting) {
            let bytes = piece.work.result_bytes;
            // A result larger than all the room is tried where there is nothing else.
            let fits = bytes <= room || (used == 0 && taken.is_empty());
            let has_place = taken.len() < self.spec.max_pieces.max(1);
            let first = taken.first();
            let shares = first.is_none_or(|(_, first)| piece.work.may_share(first));
            if has_place && fits && shares && piece.work.suits(now, hall, is_crowded) {
                room = room.saturating_sub(bytes);
                taken.push((piece.ticket, piece.work));
            } else {
                left.push(piece);
            }
        }
        self.waiting = left;
        if taken.is_empty() {
            return None;
        }
        if !self.waiting.is_empty() {
            self.busy_size += SIZE_WEIGHT * (taken.len() as f64 - self.busy_size);
        }
        let end = now + self.call_time(taken.len());
        let calls = self.calls.entry(target.id.clone()).or_default();
        calls.born.get_or_insert(target.process_start);
        calls.ends.push(end);
        calls.known_until = Some(end + KNOWN_SPAN);
        let plan = BatchPlan {
            target: target.id.clone(),
            pieces: taken,
        };
        self.room.reserve(&target.id, plan.result_bytes());
        Some(plan)
    }
}
