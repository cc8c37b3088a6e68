//! Pieces of stages that wait for the targets of one cell, and who waits for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;

use turnford_adapter::PieceStatus;
use turnford_fleet::CrashVerdict;
use turnford_fleet::PermitPurpose;
use turnford_policy::BatchPlan;
use turnford_policy::BatchScheduler;
use turnford_policy::BatchSpec;
use turnford_policy::Moment;
use turnford_policy::PieceTicket;
use turnford_policy::PieceWork;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::batch::ask_report;
use crate::batch::run_batch;
use crate::inputs::InputTracker;
use crate::limit_updates::report_limit;
use crate::limits::PermitOutcome;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Why a piece of a request that crashes targets is not made.
const CRASHES: &str = "targets crash when they run it";

/// How a piece ended for the request that needs it.
#[derive(Clone, Debug)]
pub(crate) enum PieceOutcome {
    /// The result.
    Made(PieceResult),
    /// A result that it needs is gone.
    InputGone,
    /// It was not made; no target has it.
    Failed(&'static str),
    /// It was not offered to any target, since the node stops gathering.
    NotOffered,
}

/// Who waits for a piece.
struct PieceWaiter {
    outcome: Sender<PieceOutcome>,
    inputs: Rc<InputTracker>,
    /// Whether the piece was noted as having read its inputs.
    has_read: bool,
}

/// The pieces that wait for the targets of one cell.
pub(crate) struct CellQueue {
    pub(crate) board: RefCell<BatchScheduler>,
    /// Targets of the cell.
    pub(crate) targets: RefCell<Vec<TargetSpec>>,
    takers: RefCell<HashMap<PieceTicket, PieceWaiter>>,
    /// When a call gave no result last.
    pub(crate) last_fault: Cell<Option<Moment>>,
    /// When the next look is due though nothing happens until then.
    next_look: Cell<Option<Moment>>,
    /// Targets with limits that permits are asked for.
    asked: RefCell<BTreeSet<TargetId>>,
}

impl CellQueue {
    pub(crate) fn new(spec: BatchSpec) -> Rc<Self> {
        Rc::new(Self {
            board: RefCell::new(BatchScheduler::new(spec)),
            targets: RefCell::default(),
            takers: RefCell::default(),
            last_fault: Cell::new(None),
            next_look: Cell::new(None),
            asked: RefCell::default(),
        })
    }

    /// Tells whether a piece can be made anew: the results that it needs were not given up.
    pub(crate) fn has_inputs(&self, ticket: PieceTicket) -> bool {
        let takers = self.takers.borrow();
        let taker = takers.get(&ticket);
        taker.is_some_and(|taker| !taker.inputs.has_given_up())
    }

    /// Tells a request how its piece ended; returns the outcome if nobody waits for it.
    fn tell(&self, ticket: PieceTicket, outcome: PieceOutcome) -> Option<PieceOutcome> {
        let Some(taker) = self.takers.borrow_mut().remove(&ticket) else {
            return Some(outcome);
        };
        // It may have been offered to another target, too.
        self.board.borrow_mut().cancel(ticket);
        let told = taker.outcome.try_send(outcome);
        told.err().map(async_channel::TrySendError::into_inner)
    }
}

/// A cell of a service, as its work needs it.
#[derive(Clone)]
pub(crate) struct PieceCell {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) desk: Rc<ServiceContext>,
    pub(crate) pieces: Rc<CellQueue>,
}

/// A piece that a request waits for; dropping it withdraws the piece.
pub(crate) struct PendingPiece {
    cell: PieceCell,
    ticket: PieceTicket,
    outcome: Receiver<PieceOutcome>,
}

impl PendingPiece {
    /// Waits for the end of the piece.
    pub(crate) async fn outcome(&self) -> PieceOutcome {
        let outcome = self.outcome.recv().await;
        outcome.unwrap_or(PieceOutcome::Failed("the piece was dropped"))
    }
}

impl Drop for PendingPiece {
    fn drop(&mut self) {
        let pieces = &self.cell.pieces;
        pieces.takers.borrow_mut().remove(&self.ticket);
        pieces.board.borrow_mut().cancel(self.ticket);
        // A result may have come that was never looked at.
        if let Ok(PieceOutcome::Made(result)) = self.outcome.try_recv() {
            release_results(&self.cell.traffic, vec![result]);
        }
    }
}

impl PieceCell {
    /// Puts pieces into the queue.
    pub(crate) fn submit(
        &self,
        works: Vec<PieceWork>,
        inputs: &Rc<InputTracker>,
    ) -> Vec<PendingPiece> {
        let mut waits = Vec::with_capacity(works.len());
        for mut work in works {
            let verdict = self.verdict(&work);
            work.is_suspect = verdict != CrashVerdict::Clear;
            let (sender, outcome) = async_channel::bounded(1);
            let ticket = self.pieces.board.borrow_mut().push(work);
            let taker = PieceWaiter {
                outcome: sender,
                inputs: inputs.clone(),
                has_read: false,
            };
            self.pieces.takers.borrow_mut().insert(ticket, taker);
            if matches!(verdict, CrashVerdict::Refused(_)) {
                // The taker is there and waits.
                let _ = self.pieces.tell(ticket, PieceOutcome::Failed(CRASHES));
            }
            waits.push(PendingPiece {
                cell: self.clone(),
                ticket,
                outcome,
            });
        }
        self.pump();
        waits
    }

    /// Returns what is known of a piece's request.
    fn verdict(&self, work: &PieceWork) -> CrashVerdict {
        let now = self.traffic.shared.now();
        self.traffic.crashes.verdict(now, &work.digest)
    }

    /// Gives all waiting pieces back to the nodes that asked for them.
    pub(crate) fn hand_back(&self) {
        let tickets = self.pieces.board.borrow_mut().drain();
        for ticket in tickets {
            // A request that left needs no word.
            let _ = self.pieces.tell(ticket, PieceOutcome::NotOffered);
        }
    }

    /// Makes the calls that can be made now.
    pub(crate) fn pump(&self) {
        let now = self.traffic.shared.now();
        self.ask_unknown(now);
        let (plans, late) = {
            let board = self.desk.targets.borrow();
            let targets = self.pieces.targets.borrow();
            let mut pieces = self.pieces.board.borrow_mut();
            pieces.plan(now, &board, &self.desk.awake_targets(now, &targets))
        };
        for ticket in late {
            // A request that left needs no word.
            let _ = self
                .pieces
                .tell(ticket, PieceOutcome::Failed("its time was over"));
        }
        for plan in plans {
            let run = run_batch(self.clone(), plan);
            self.traffic.executor.spawn(run).detach();
        }
        self.ask_permits(now);
        self.schedule_look(now);
    }

    /// Asks targets that this node did not use lately what others left there, before it uses them.
    fn ask_unknown(&self, now: Moment) {
        let unknown = {
            let targets = self.pieces.targets.borrow();
            let awake = self.desk.awake_targets(now, &targets);
            let limits = self.desk.limits.table.borrow();
            let needs_permit = |target: &TargetSpec| limits.state(&target.id).needs_permit();
            let (limited, free): (Vec<TargetSpec>, Vec<TargetSpec>) =
                awake.into_iter().partition(needs_permit);
            let mut board = self.pieces.board.borrow_mut();
            for target in limited {
                board.assume_report(now, &target.id);
            }
            board.take_unreported(now, &free)
        };
        if !unknown.is_empty() {
            let waiting = self.pieces.board.borrow().queue_len();
            log::info!(
                "gathers for service={} waiting={waiting}, asks targets={}",
                self.desk.spec.borrow().name,
                unknown.len()
            );
        }
        for target in unknown {
            let ask = ask_report(self.clone(), target);
            self.traffic.executor.spawn(ask).detach();
        }
    }

    /// Asks for permits for calls to targets with limits that could be made now.
    fn ask_permits(&self, now: Moment) {
        let targets = self.pieces.targets.borrow();
        for target in targets
            .iter()
            .filter(|target| self.wants_permit(now, target))
        {
            if self.pieces.asked.borrow_mut().insert(target.id.clone()) {
                let ask = ask_piece_permit(self.clone(), target.clone());
                self.traffic.executor.spawn(ask).detach();
            }
        }
    }

    fn wants_permit(&self, now: Moment, target: &TargetSpec) -> bool {
        let limits = self.desk.limits.table.borrow();
        let board = self.desk.targets.borrow();
        let is_limited = !limits.is_open(now, &target.id) && limits.may_open(now, &target.id);
        let is_open = board.is_open(now, &target.id) && !board.is_paused(now, &target.id);
        let has_use = || self.pieces.board.borrow().has_work_for(now, &target.id);
        is_limited && is_open && has_use()
    }

    /// Looks again when a pause or a deadline ends.
    fn schedule_look(&self, now: Moment) {
        let look = self.pieces.board.borrow_mut().next_wakeup(now);
        let Some(look) = look.into_iter().chain(self.rest_end(now)).min() else {
            return;
        };
        let planned = self.pieces.next_look.get().filter(|at| *at > now);
        if planned.is_some_and(|at| at <= look) {
            return;
        }
        self.pieces.next_look.set(Some(look));
        let cell = self.clone();
        let wait = async move {
            Timer::after(look.saturating_sub(now)).await;
            cell.pump();
        };
        self.traffic.executor.spawn(wait).detach();
    }

    /// Returns when the next target's rest ends, where pieces wait.
    fn rest_end(&self, now: Moment) -> Option<Moment> {
        if self.pieces.board.borrow().queue_len() == 0 {
            return None;
        }
        let board = self.desk.targets.borrow();
        let targets = self.pieces.targets.borrow();
        let ends = targets.iter();
        let ends = ends.filter_map(|target| board.backoff_until(now, &target.id));
        ends.min()
    }

    /// Tells the requests how their pieces ended.
    pub(crate) fn end_pieces(&self, target: &TargetSpec, plan: BatchPlan, ends: Vec<PieceStatus>) {
        for ((ticket, work), end) in plan.pieces.into_iter().zip(ends) {
            if end == PieceStatus::NoSpace && self.wait_for_room(&target.id, ticket, &work) {
                continue;
            }
            let outcome = match end {
                PieceStatus::Completed(handle) => PieceOutcome::Made(PieceResult {
                    handle,
                    producer: target.clone(),
                    gatherer: None,
                }),
                PieceStatus::InputMissing => PieceOutcome::InputGone,
                PieceStatus::Expired => PieceOutcome::Failed("its time was over at its turn"),
                PieceStatus::NoSpace => PieceOutcome::Failed("no room for the result"),
                PieceStatus::Failed => PieceOutcome::Failed("the target failed at it"),
            };
            if let Some(PieceOutcome::Made(result)) = self.pieces.tell(ticket, outcome) {
                release_results(&self.traffic, vec![result]);
            }
        }
    }

    /// Notes that the calls of these pieces are at work and have fetched their inputs.
    pub(crate) fn note_read(&self, plan: &BatchPlan) {
        let mut takers = self.pieces.takers.borrow_mut();
        for (ticket, _) in &plan.pieces {
            if let Some(taker) = takers.get_mut(ticket) {
                if !std::mem::replace(&mut taker.has_read, true) {
                    taker.inputs.note_read();
                }
            }
        }
    }

    /// Notes that a piece has to run again; false if nobody waits for it.
    fn note_unread(&self, ticket: PieceTicket) -> bool {
        let mut takers = self.pieces.takers.borrow_mut();
        let Some(taker) = takers.get_mut(&ticket) else {
            return false;
        };
        if std::mem::take(&mut taker.has_read) {
            taker.inputs.note_unread();
        }
        true
    }

    /// Puts a piece back that found no room for its result, which is larger than expected. Nothing
    /// ran, so it is no repeat.
    fn wait_for_room(&self, target: &str, ticket: PieceTicket, work: &PieceWork) -> bool {
        if !self.note_unread(ticket) {
            return false;
        }
        let mut board = self.pieces.board.borrow_mut();
        board.invalidate_report(target);
        board.requeue_larger(ticket, work.clone());
        true
    }

    /// Puts the pieces of a call that gave nothing back into the queue. Where they may have run, each
    /// needs room in the allowance of repeats.
    pub(crate) fn give_back(&self, plan: BatchPlan, reason: &'static str, may_have_run: bool) {
        let now = self.traffic.shared.now();
        for (ticket, mut work) in plan.pieces {
            let verdict = self.verdict(&work);
            work.is_suspect = verdict != CrashVerdict::Clear;
            if matches!(verdict, CrashVerdict::Refused(_)) {
                // A request that left needs no word.
                let _ = self.pieces.tell(ticket, PieceOutcome::Failed(CRASHES));
                continue;
            }
            if !self.pieces.has_inputs(ticket) {
                // A request that left needs no word.
                let _ = self.pieces.tell(ticket, PieceOutcome::InputGone);
                continue;
            }
            if !self.note_unread(ticket) {
                continue;
            }
            if !may_have_run || self.desk.allowance.borrow_mut().try_take(now) {
                self.pieces.board.borrow_mut().requeue(ticket, work);
            } else {
                // A request that left needs no word.
                let _ = self.pieces.tell(ticket, PieceOutcome::Failed(reason));
            }
        }
    }
}

/// Asks for a permit for one target, and looks again when there is one, or may be.
async fn ask_piece_permit(cell: PieceCell, target: TargetSpec) {
    let limits = &cell.desk.limits;
    let end = limits.acquire_permit(&target, PermitPurpose::Work).await;
    if matches!(end, PermitOutcome::Unlimited(_)) {
        report_limit(limits, &target);
    }
    if let PermitOutcome::Wait(span) | PermitOutcome::Unlimited(span) = end {
        let until = cell.traffic.shared.now() + span;
        limits.table.borrow_mut().record_denial(&target.id, until);
        Timer::after(span).await;
    }
    cell.pieces.asked.borrow_mut().remove(&target.id);
    cell.pump();
}
