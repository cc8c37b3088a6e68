//! Pieces of stages, run in batches.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

use turnford_adapter::decode_pieces;
use turnford_adapter::encode_pieces;
use turnford_adapter::PieceEnd;
use turnford_adapter::PieceOrder;
use turnford_policy::BatchBoard;
use turnford_policy::BatchPlan;
use turnford_policy::BatchSpec;
use turnford_policy::Moment;
use turnford_policy::PieceTicket;
use turnford_policy::PieceWork;
use turnford_policy::TargetSpec;

use crate::call::call_target;
use crate::call::CallFault;
use crate::desk::ServiceDesk;
use crate::metrics::ServiceEvent;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// Longest body of an answer, in bytes.
const ANSWER_LIMIT: usize = 256 * 1024;

/// Calls of a target that may be before a call: a call that takes longer than its own time and
/// that of so many others is given up.
const PATIENCE_CALLS: u32 = 4;

/// How a piece ended for the request that needs it.
#[derive(Clone, Debug)]
pub(crate) enum PieceOutcome {
    /// The result.
    Made(PieceResult),
    /// A result that it needs is gone.
    InputGone,
    /// It was not made; no target has it.
    Failed(&'static str),
}

/// The pieces of one service.
pub(crate) struct PieceDesk {
    pub(crate) board: RefCell<BatchBoard>,
    takers: RefCell<HashMap<PieceTicket, Sender<PieceOutcome>>>,
    /// When the next look is due though nothing happens until then.
    next_look: Cell<Option<Moment>>,
}

impl PieceDesk {
    pub(crate) fn new(spec: BatchSpec) -> Self {
        Self {
            board: RefCell::new(BatchBoard::new(spec)),
            takers: RefCell::default(),
            next_look: Cell::new(None),
        }
    }

    fn tell(&self, ticket: PieceTicket, outcome: PieceOutcome) -> Result<(), PieceOutcome> {
        let Some(taker) = self.takers.borrow_mut().remove(&ticket) else {
            return Err(outcome);
        };
        taker.try_send(outcome).map_err(|error| error.into_inner())
    }
}

/// A piece that a request waits for; dropping it withdraws the piece.
pub(crate) struct PieceWait {
    traffic: Rc<Traffic>,
    desk: Rc<ServiceDesk>,
    ticket: PieceTicket,
    outcome: Receiver<PieceOutcome>,
}

impl PieceWait {
    /// Waits for the end of the piece.
    pub(crate) async fn outcome(&self) -> PieceOutcome {
        let outcome = self.outcome.recv().await;
        outcome.unwrap_or(PieceOutcome::Failed("the piece was dropped"))
    }
}

impl Drop for PieceWait {
    fn drop(&mut self) {
        if let Some(pieces) = &self.desk.pieces {
            pieces.takers.borrow_mut().remove(&self.ticket);
            pieces.board.borrow_mut().withdraw(self.ticket);
        }
        // A result may have come that was never looked at.
        if let Ok(PieceOutcome::Made(result)) = self.outcome.try_recv() {
            release_results(&self.traffic, vec![result]);
        }
    }
}

/// Puts pieces into the queue of their service.
pub(crate) fn submit_pieces(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    works: Vec<PieceWork>,
) -> Vec<PieceWait> {
    let Some(pieces) = &desk.pieces else {
        return Vec::new();
    };
    let mut waits = Vec::with_capacity(works.len());
    for work in works {
        let (taker, outcome) = async_channel::bounded(1);
        let ticket = pieces.board.borrow_mut().push(work);
        pieces.takers.borrow_mut().insert(ticket, taker);
        waits.push(PieceWait {
            traffic: traffic.clone(),
            desk: desk.clone(),
            ticket,
            outcome,
        });
    }
    pump_pieces(traffic, desk);
    waits
}

/// Makes the calls that can be made now.
pub(crate) fn pump_pieces(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>) {
    let Some(pieces) = &desk.pieces else {
        return;
    };
    let now = traffic.shared.now();
    let (plans, late) = {
        let board = desk.board.borrow();
        pieces.board.borrow_mut().plan(now, &board)
    };
    for ticket in late {
        // A request that left needs no word.
        let _ = pieces.tell(ticket, PieceOutcome::Failed("its time was over"));
    }
    for plan in plans {
        let run = run_batch(traffic.clone(), desk.clone(), plan);
        traffic.executor.spawn(run).detach();
    }
    schedule_look(traffic, desk, pieces, now);
}

/// Looks again when a pause or a deadline ends.
fn schedule_look(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, pieces: &PieceDesk, now: Moment) {
    let look = pieces.board.borrow().next_look(now);
    let Some(look) = look else {
        return;
    };
    let planned = pieces.next_look.get().filter(|at| *at > now);
    if planned.is_some_and(|at| at <= look) {
        return;
    }
    pieces.next_look.set(Some(look));
    let traffic = traffic.clone();
    let desk = desk.clone();
    let executor = traffic.executor.clone();
    let wait = async move {
        Timer::after(look.saturating_sub(now)).await;
        pump_pieces(&traffic, &desk);
    };
    executor.spawn(wait).detach();
}

async fn run_batch(traffic: Rc<Traffic>, desk: Rc<ServiceDesk>, plan: BatchPlan) {
    let target = plan.target.clone();
    let spec = desk.board.borrow().get(&target).cloned();
    if let Some(spec) = spec {
        run_call(&traffic, &desk, &spec, plan).await;
    } else {
        give_back(&traffic, &desk, plan, "the target is gone", false);
    }
    if let Some(pieces) = &desk.pieces {
        pieces.board.borrow_mut().note_ended(&target);
    }
    pump_pieces(&traffic, &desk);
}

async fn run_call(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    plan: BatchPlan,
) {
    let Some(pieces) = &desk.pieces else {
        return;
    };
    let begun = traffic.shared.now();
    let count = plan.pieces.len();
    let metrics = &traffic.shared.metrics;
    metrics.note_service(&target.service, ServiceEvent::Batch);
    let span = pieces.board.borrow().call_span(count);
    let full = pieces.board.borrow().full_span();
    let limit = (span + full * PATIENCE_CALLS).min(longest_wait(&plan, begun));
    match call_pieces(traffic, desk, target, &plan, limit).await {
        Ok(ends) => {
            let took = traffic.shared.now().saturating_sub(begun);
            let part = took.as_secs_f64() / span.as_secs_f64().max(0.001);
            let relative = Duration::from_secs_f64(part.min(100.0));
            desk.board
                .borrow_mut()
                .note_success(&target.id, Some(relative));
            end_pieces(traffic, desk, target, plan, ends);
        }
        Err(CallFault::NotSent(reason)) => give_back(traffic, desk, plan, reason, false),
        Err(CallFault::NotRun(status)) => {
            let now = traffic.shared.now();
            log::debug!("target={} turned {count} pieces away: {status}", target.id);
            pieces.board.borrow_mut().note_full(now, &target.id);
            give_back(traffic, desk, plan, "the target turned it away", true);
        }
        Err(CallFault::Unknown(reason)) => {
            log::info!(
                "target={} pieces={count} no result: {reason}",
                target.id
            );
            metrics.note_service(&target.service, ServiceEvent::Broken);
            let now = traffic.shared.now();
            let mut board = desk.board.borrow_mut();
            board.note_failure(&target.id);
            board.note_refused(now, &target.id);
            drop(board);
            give_back(traffic, desk, plan, reason, true);
        }
    }
}

/// Returns the time until the last piece of a call is no longer wanted.
fn longest_wait(plan: &BatchPlan, now: Moment) -> Duration {
    let deadlines = plan.pieces.iter().map(|(_, work)| work.deadline);
    let last = deadlines.max().unwrap_or(now);
    last.saturating_sub(now)
}

async fn call_pieces(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    plan: &BatchPlan,
    limit: Duration,
) -> Result<Vec<PieceEnd>, CallFault> {
    let now = traffic.shared.now();
    let orders = plan.pieces.iter().map(|(_, work)| PieceOrder {
        attempt: &work.attempt,
        stage: work.stage,
        piece: work.piece,
        left: work.deadline.saturating_sub(now),
        key: work.key.as_deref(),
        inputs: &work.inputs,
    });
    let orders: Vec<PieceOrder<'_>> = orders.collect();
    let host = target.address.to_string();
    let request = encode_pieces(&host, &target.id, &orders).map_err(|problem| {
        log::error!("target={} call of pieces: {problem}", target.id);
        CallFault::NotSent("the call can't be written down")
    })?;
    let exchange = async {
        let answer = call_target(traffic, desk, target, request, None, limit).await?;
        answer.collect(traffic, ANSWER_LIMIT).await
    };
    let late = async {
        Timer::after(limit).await;
        Err(CallFault::Unknown("no whole answer in time"))
    };
    let (parts, body) = exchange.or(late).await?;
    if !parts.status.is_success() {
        return Err(CallFault::Unknown("the target failed at the call"));
    }
    decode_pieces(&body, orders.len()).map_err(|problem| {
        log::warn!("target={} answer refused: {problem}", target.id);
        CallFault::Unknown("the answer makes no sense")
    })
}

/// Tells the requests how their pieces ended.
fn end_pieces(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    plan: BatchPlan,
    ends: Vec<PieceEnd>,
) {
    let Some(pieces) = &desk.pieces else {
        return;
    };
    for ((ticket, _), end) in plan.pieces.into_iter().zip(ends) {
        let outcome = match end {
            PieceEnd::Made(handle) => PieceOutcome::Made(PieceResult {
                handle,
                maker: target.clone(),
            }),
            PieceEnd::InputGone => PieceOutcome::InputGone,
            PieceEnd::Late => PieceOutcome::Failed("its time was over at its turn"),
            PieceEnd::NoRoom => PieceOutcome::Failed("no room for the result"),
            PieceEnd::Failed => PieceOutcome::Failed("the target failed at it"),
        };
        if let Err(PieceOutcome::Made(result)) = pieces.tell(ticket, outcome) {
            release_results(traffic, vec![result]);
        }
    }
}

/// Puts the pieces of a call that gave nothing back into the queue. Where the call reached its
/// target, each needs room in the allowance of repeats.
fn give_back(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    plan: BatchPlan,
    reason: &'static str,
    has_arrived: bool,
) {
    let Some(pieces) = &desk.pieces else {
        return;
    };
    let now = traffic.shared.now();
    for (ticket, work) in plan.pieces {
        if !pieces.takers.borrow().contains_key(&ticket) {
            continue;
        }
        if !has_arrived || desk.allowance.borrow_mut().take(now) {
            pieces.board.borrow_mut().put_back(ticket, work);
        } else {
            // A request that left needs no word.
            let _ = pieces.tell(ticket, PieceOutcome::Failed(reason));
        }
    }
}
