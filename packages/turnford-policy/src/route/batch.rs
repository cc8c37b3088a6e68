//! Pieces of stages, gathered into calls of many.
//!
//! A call takes a fixed time whatever it holds, so a target that is busy gathers the pieces that
//! come meanwhile for its next call.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ClassRank;
use crate::Moment;
use crate::TargetId;

use super::BatchSpec;
use super::TargetBoard;

/// Number of a piece on the board.
pub type PieceTicket = u64;

/// Pause after a target refused a call because it was full, before it is offered another.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// A piece to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceWork {
    /// Id of the request's try.
    pub attempt: Arc<str>,
    /// Stage of the request.
    pub stage: usize,
    /// Piece of the stage.
    pub piece: u32,
    /// What a first stage needs to begin.
    pub key: Option<Arc<str>>,
    /// Results that it needs.
    pub inputs: Arc<[String]>,
    /// When it is no longer wanted.
    pub deadline: Moment,
    /// When it should be done for the request to be in time.
    pub due: Moment,
    /// Rank of the request; 0 goes first.
    pub rank: ClassRank,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchPlan {
    /// Target.
    pub target: TargetId,
    /// Pieces in the order of the call.
    pub pieces: Vec<(PieceTicket, PieceWork)>,
}

#[derive(Clone, Debug)]
struct QueuedPiece {
    ticket: PieceTicket,
    work: PieceWork,
}

/// Calls of one target that are under way.
#[derive(Clone, Debug, Default)]
struct TargetCalls {
    /// Ends that the calls are expected to have, in the order of their start.
    ends: Vec<Moment>,
    paused_until: Moment,
}

/// The pieces that wait for one service, and the calls under way.
#[derive(Debug)]
pub struct BatchBoard {
    spec: BatchSpec,
    waiting: Vec<QueuedPiece>,
    calls: BTreeMap<TargetId, TargetCalls>,
    next_ticket: PieceTicket,
}

impl BatchBoard {
    /// Makes a board for a service.
    pub fn new(spec: BatchSpec) -> Self {
        Self {
            spec,
            waiting: Vec::new(),
            calls: BTreeMap::new(),
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
    pub fn put_back(&mut self, ticket: PieceTicket, work: PieceWork) {
        self.waiting.push(QueuedPiece { ticket, work });
    }

    /// Takes a piece out of the queue; false if it is in a call or gone.
    pub fn withdraw(&mut self, ticket: PieceTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|piece| piece.ticket != ticket);
        before != self.waiting.len()
    }

    /// Returns the number of pieces that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time that a call of so many pieces takes.
    pub fn call_span(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.spec.call_span + self.spec.piece_span * pieces
    }

    /// Returns the time that a full call takes.
    pub fn full_span(&self) -> Duration {
        self.call_span(self.spec.piece_limit)
    }

    /// Returns the time until new pieces would be done, with all that waits before them.
    pub fn expected_span(&self, now: Moment, targets: usize, pieces: usize) -> Duration {
        let targets = targets.max(1);
        let ahead = self.waiting.len() + pieces;
        let limit = self.spec.piece_limit.max(1);
        let calls = ahead.div_ceil(limit);
        let rounds = calls.div_ceil(targets);
        let full = self.full_span();
        let last = self.call_span(ahead.min(limit));
        let busy = self.calls.values().filter(|calls| !calls.ends.is_empty());
        let free_targets = targets.saturating_sub(busy.clone().count());
        let first_free = if free_targets > 0 {
            Duration::ZERO
        } else {
            let ends = busy.filter_map(|calls| calls.ends.first());
            let next = ends.min().copied().unwrap_or(now);
            next.saturating_sub(now)
        };
        first_free + full * u32::try_from(rounds.saturating_sub(1)).unwrap_or(u32::MAX) + last
    }

    /// Plans the calls that can be made now, and returns the pieces whose time is over besides.
    pub fn plan(
        &mut self,
        now: Moment,
        targets: &TargetBoard,
    ) -> (Vec<BatchPlan>, Vec<PieceTicket>) {
        let late = self.take_late(now);
        let mut plans = Vec::new();
        while !self.waiting.is_empty() {
            let Some(target) = self.free_target(now, targets) else {
                break;
            };
            plans.push(self.fill_call(now, target));
        }
        (plans, late)
    }

    /// Returns when calls should be planned next though nothing happens until then.
    pub fn next_look(&self, now: Moment) -> Option<Moment> {
        if self.waiting.is_empty() {
            return None;
        }
        let pauses = self.calls.values().map(|calls| calls.paused_until);
        let deadlines = self.waiting.iter().map(|piece| piece.work.deadline);
        pauses.chain(deadlines).filter(|at| *at > now).min()
    }

    /// Notes that a call ended.
    pub fn note_ended(&mut self, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            if !calls.ends.is_empty() {
                calls.ends.remove(0);
            }
        }
    }

    /// Notes that a target refused a call; it gets a pause before the next.
    pub fn note_full(&mut self, now: Moment, target: &str) {
        if let Some(calls) = self.calls.get_mut(target) {
            calls.paused_until = now + FULL_PAUSE;
        }
    }

    /// Forgets targets that are gone and have no call under way.
    pub fn forget_gone(&mut self, targets: &TargetBoard) {
        self.calls
            .retain(|id, calls| !calls.ends.is_empty() || targets.get(id).is_some());
    }

    fn take_late(&mut self, now: Moment) -> Vec<PieceTicket> {
        let is_late = |piece: &QueuedPiece| piece.work.deadline <= now;
        let late = self.waiting.iter().filter(|piece| is_late(piece));
        let late: Vec<PieceTicket> = late.map(|piece| piece.ticket).collect();
        self.waiting.retain(|piece| !is_late(piece));
        late
    }

    /// Returns the target without a call of this board that others use least.
    fn free_target(&self, now: Moment, targets: &TargetBoard) -> Option<TargetId> {
        let is_free = |id: &TargetId| {
            let calls = self.calls.get(id);
            calls.is_none_or(|calls| {
                calls.ends.len() < self.spec.slots.max(1) && calls.paused_until <= now
            })
        };
        let open = targets.open_targets().map(|spec| &spec.id);
        let free = open.filter(|id| is_free(id) && !targets.is_paused(now, id));
        let cost = |id: &TargetId| targets.load(now, id) + targets.slowness(id);
        free.min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .cloned()
    }

    fn fill_call(&mut self, now: Moment, target: TargetId) -> BatchPlan {
        self.waiting.sort_by_key(|piece| {
            let overdue = piece.work.due <= now;
            (overdue, piece.work.rank, piece.work.due, piece.ticket)
        });
        let size = self.waiting.len().min(self.spec.piece_limit.max(1));
        let taken: Vec<QueuedPiece> = self.waiting.drain(..size).collect();
        let end = now + self.call_span(size);
        let calls = self.calls.entry(target.clone()).or_default();
        calls.ends.push(end);
        let pieces = taken.into_iter().map(|piece| (piece.ticket, piece.work));
        BatchPlan {
            target,
            pieces: pieces.collect(),
        }
    }
}
