//! Pieces of stages, run in batches at the targets of one cell.

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
use turnford_adapter::decode_report;
use turnford_adapter::encode_pieces;
use turnford_adapter::encode_report;
use turnford_adapter::PieceEnd;
use turnford_adapter::PieceOrder;
use turnford_adapter::StageReport;
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
use crate::inputs::InputHold;
use crate::metrics::ServiceEvent;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// Longest body of an answer, in bytes.
const ANSWER_LIMIT: usize = 256 * 1024;

/// Times its expected span after which the pieces of a call are offered to other targets, too.
const LATE_FACTOR: f64 = 2.5;

/// Time after its begin by which a call has fetched its inputs: a few megabytes over links of
/// gigabits take some milliseconds.
const FETCH_SPAN: Duration = Duration::from_millis(60);

/// Times its expected span by which a target's last calls tell that it begins calls at once.
const CALM_FACTOR: f64 = 1.25;

/// Longest wait for a target's report.
const REPORT_LIMIT: Duration = Duration::from_millis(150);

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
struct PieceTaker {
    outcome: Sender<PieceOutcome>,
    inputs: Rc<InputHold>,
    /// Whether the piece was noted as having read its inputs.
    has_read: bool,
}

/// The pieces that wait for the targets of one cell.
pub(crate) struct PieceDesk {
    pub(crate) board: RefCell<BatchBoard>,
    /// Targets of the cell.
    pub(crate) targets: RefCell<Vec<TargetSpec>>,
    takers: RefCell<HashMap<PieceTicket, PieceTaker>>,
    /// When the next look is due though nothing happens until then.
    next_look: Cell<Option<Moment>>,
}

impl PieceDesk {
    pub(crate) fn new(spec: BatchSpec) -> Rc<Self> {
        Rc::new(Self {
            board: RefCell::new(BatchBoard::new(spec)),
            targets: RefCell::default(),
            takers: RefCell::default(),
            next_look: Cell::new(None),
        })
    }

    /// Tells a request how its piece ended; returns the outcome if nobody waits for it.
    fn tell(&self, ticket: PieceTicket, outcome: PieceOutcome) -> Option<PieceOutcome> {
        let Some(taker) = self.takers.borrow_mut().remove(&ticket) else {
            return Some(outcome);
        };
        // It may have been offered to another target, too.
        self.board.borrow_mut().withdraw(ticket);
        let told = taker.outcome.try_send(outcome);
        told.err().map(async_channel::TrySendError::into_inner)
    }
}

/// A cell of a service, as its work needs it.
#[derive(Clone)]
pub(crate) struct PieceCell {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) desk: Rc<ServiceDesk>,
    pub(crate) pieces: Rc<PieceDesk>,
}

/// A piece that a request waits for; dropping it withdraws the piece.
pub(crate) struct PieceWait {
    cell: PieceCell,
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
        let pieces = &self.cell.pieces;
        pieces.takers.borrow_mut().remove(&self.ticket);
        pieces.board.borrow_mut().withdraw(self.ticket);
        // A result may have come that was never looked at.
        if let Ok(PieceOutcome::Made(result)) = self.outcome.try_recv() {
            release_results(&self.cell.traffic, vec![result]);
        }
    }
}

impl PieceCell {
    /// Puts pieces into the queue.
    pub(crate) fn submit(&self, works: Vec<PieceWork>, inputs: &Rc<InputHold>) -> Vec<PieceWait> {
        let mut waits = Vec::with_capacity(works.len());
        for work in works {
            let (sender, outcome) = async_channel::bounded(1);
            let ticket = self.pieces.board.borrow_mut().push(work);
            let taker = PieceTaker {
                outcome: sender,
                inputs: inputs.clone(),
                has_read: false,
            };
            self.pieces.takers.borrow_mut().insert(ticket, taker);
            waits.push(PieceWait {
                cell: self.clone(),
                ticket,
                outcome,
            });
        }
        self.pump();
        waits
    }

    /// Gives all waiting pieces back to the nodes that asked for them.
    pub(crate) fn hand_back(&self) {
        let tickets = self.pieces.board.borrow_mut().take_all();
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
            let board = self.desk.board.borrow();
            let targets = self.pieces.targets.borrow();
            let mut pieces = self.pieces.board.borrow_mut();
            pieces.plan(now, &board, &targets)
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
        self.schedule_look(now);
    }

    /// Asks targets that this node did not use lately what others left there, before it uses them.
    fn ask_unknown(&self, now: Moment) {
        let unknown = {
            let targets = self.pieces.targets.borrow();
            let mut board = self.pieces.board.borrow_mut();
            board.take_unknown(now, &targets)
        };
        if !unknown.is_empty() {
            let waiting = self.pieces.board.borrow().waiting();
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

    /// Looks again when a pause or a deadline ends.
    fn schedule_look(&self, now: Moment) {
        let look = self.pieces.board.borrow_mut().next_look(now);
        let Some(look) = look else {
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

    /// Tells the requests how their pieces ended.
    fn end_pieces(&self, target: &TargetSpec, plan: BatchPlan, ends: Vec<PieceEnd>) {
        for ((ticket, work), end) in plan.pieces.into_iter().zip(ends) {
            if end == PieceEnd::NoRoom && self.wait_for_room(&target.id, ticket, &work) {
                continue;
            }
            let outcome = match end {
                PieceEnd::Made(handle) => PieceOutcome::Made(PieceResult {
                    handle,
                    maker: target.clone(),
                    gatherer: None,
                }),
                PieceEnd::InputGone => PieceOutcome::InputGone,
                PieceEnd::Late => PieceOutcome::Failed("its time was over at its turn"),
                PieceEnd::NoRoom => PieceOutcome::Failed("no room for the result"),
                PieceEnd::Failed => PieceOutcome::Failed("the target failed at it"),
            };
            if let Some(PieceOutcome::Made(result)) = self.pieces.tell(ticket, outcome) {
                release_results(&self.traffic, vec![result]);
            }
        }
    }

    /// Notes that the calls of these pieces are at work and have fetched their inputs.
    fn note_read(&self, plan: &BatchPlan) {
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
        board.forget_report(target);
        board.put_back_larger(ticket, work.clone());
        true
    }

    /// Puts the pieces of a call that gave nothing back into the queue. Where they may have run, each
    /// needs room in the allowance of repeats.
    fn give_back(&self, plan: BatchPlan, reason: &'static str, may_have_run: bool) {
        let now = self.traffic.shared.now();
        for (ticket, work) in plan.pieces {
            if !self.note_unread(ticket) {
                continue;
            }
            if !may_have_run || self.desk.allowance.borrow_mut().take(now) {
                self.pieces.board.borrow_mut().put_back(ticket, work);
            } else {
                // A request that left needs no word.
                let _ = self.pieces.tell(ticket, PieceOutcome::Failed(reason));
            }
        }
    }
}

/// Asks a target for its room, and takes what this node does not know of as taken by others.
async fn ask_report(cell: PieceCell, target: TargetSpec) {
    let report = read_report(&cell, &target).await;
    let now = cell.traffic.shared.now();
    match report {
        Ok(report) => {
            let mut board = cell.pieces.board.borrow_mut();
            board.note_report(now, &target.id, report.most_free_bytes);
        }
        Err(reason) => {
            log::info!("target={} gave no report: {reason}", target.id);
            let mut board = cell.pieces.board.borrow_mut();
            board.note_report(now, &target.id, u64::MAX);
        }
    }
    cell.pump();
}

async fn read_report(cell: &PieceCell, target: &TargetSpec) -> Result<StageReport, String> {
    let host = target.address.to_string();
    let request = encode_report(&host, &target.id).map_err(|problem| problem.to_string())?;
    let call = call_target(
        &cell.traffic,
        &cell.desk,
        target,
        request,
        None,
        REPORT_LIMIT,
    );
    let answer = call.await.map_err(|fault| format!("{fault:?}"))?;
    let read = answer.collect(&cell.traffic, ANSWER_LIMIT).await;
    let (_, body) = read.map_err(|fault| format!("{fault:?}"))?;
    decode_report(&body).map_err(|problem| problem.to_string())
}

async fn run_batch(cell: PieceCell, plan: BatchPlan) {
    let id = plan.target.clone();
    let reserved = plan.result_bytes();
    let target = cell.desk.board.borrow().get(&id).cloned();
    let results = match target {
        Some(target) => run_call(&cell, &target, plan).await,
        None => {
            cell.give_back(plan, "the target is gone", false);
            Vec::new()
        }
    };
    let now = cell.traffic.shared.now();
    let kept = results
        .iter()
        .map(|(handle, bytes)| (handle.as_str(), *bytes));
    let mut board = cell.pieces.board.borrow_mut();
    board.note_ended(now, &id, reserved, kept);
    drop(board);
    cell.pump();
}

/// Makes a call; returns the results that its target keeps, with their sizes.
async fn run_call(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan) -> Vec<(String, u64)> {
    let traffic = &cell.traffic;
    let begun = traffic.shared.now();
    let count = plan.pieces.len();
    let metrics = &traffic.shared.metrics;
    metrics.note_service(&target.service, ServiceEvent::Batch);
    let span = cell.pieces.board.borrow().call_span(count);
    let limit = longest_wait(&plan, begun);
    let call = call_pieces(cell, target, &plan, limit);
    let reads = is_calm(cell, target);
    let meanwhile = async {
        if reads {
            Timer::after(FETCH_SPAN).await;
            cell.note_read(&plan);
        }
        let waited = if reads { FETCH_SPAN } else { Duration::ZERO };
        offer_again(cell, target, &plan, span, waited).await;
        std::future::pending().await
    };
    let ended = call.or(meanwhile);
    match ended.await {
        Ok(ends) => {
            let took = traffic.shared.now().saturating_sub(begun);
            cell.desk.board.borrow_mut().note_success(&target.id);
            note_speed(cell, target, took, span);
            let made = made_results(&plan, &ends);
            if made.is_empty() && ends.contains(&PieceEnd::NoRoom) {
                let now = traffic.shared.now();
                cell.pieces.board.borrow_mut().note_full(now, &target.id);
            }
            cell.end_pieces(target, plan, ends);
            made
        }
        Err(fault) => {
            note_fault(cell, target, plan, &fault);
            Vec::new()
        }
    }
}

/// Tells whether a target begins a call at once: its last calls took the time that they should, so
/// nobody else uses it.
fn is_calm(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let board = cell.desk.board.borrow();
    let slowness = board.measured_slowness(now, &target.id);
    slowness.is_some_and(|slowness| slowness < CALM_FACTOR)
}

/// Offers the pieces of a call that takes too long to other targets; the first result counts.
async fn offer_again(
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    span: Duration,
    waited: Duration,
) {
    Timer::after(span.mul_f64(LATE_FACTOR).saturating_sub(waited)).await;
    log::info!(
        "target={} pieces={} late, offered to others",
        target.id,
        plan.pieces.len()
    );
    note_speed(cell, target, span.mul_f64(LATE_FACTOR), span);
    let now = cell.traffic.shared.now();
    if cell.pieces.board.borrow().waiting() > 0 {
        // The others have enough to do; making these twice would only make them later.
        return;
    }
    for (ticket, work) in &plan.pieces {
        let is_wanted = cell.pieces.takers.borrow().contains_key(ticket);
        if is_wanted && cell.desk.allowance.borrow_mut().take(now) {
            let mut board = cell.pieces.board.borrow_mut();
            board.put_back(*ticket, work.clone());
        }
    }
    cell.pump();
}

/// Notes how a call's time was against what the configuration says.
fn note_speed(cell: &PieceCell, target: &TargetSpec, took: Duration, span: Duration) {
    let now = cell.traffic.shared.now();
    let sample = took.as_secs_f64() / span.as_secs_f64().max(0.001);
    let mut board = cell.desk.board.borrow_mut();
    board.note_slowness(now, &target.id, sample);
}

fn made_results(plan: &BatchPlan, ends: &[PieceEnd]) -> Vec<(String, u64)> {
    let pieces = plan.pieces.iter().zip(ends);
    let made = pieces.filter_map(|((_, work), end)| match end {
        PieceEnd::Made(handle) => Some((handle.clone(), work.result_bytes)),
        _ => None,
    });
    made.collect()
}

fn note_fault(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan, fault: &CallFault) {
    let traffic = &cell.traffic;
    let now = traffic.shared.now();
    let count = plan.pieces.len();
    match fault {
        CallFault::NotSent(reason) => cell.give_back(plan, reason, false),
        CallFault::NotRun(status) => {
            log::debug!("target={} turned {count} pieces away: {status}", target.id);
            cell.pieces.board.borrow_mut().note_full(now, &target.id);
            cell.give_back(plan, "the target turned it away", false);
        }
        CallFault::Unknown(reason) => {
            log::info!("target={} pieces={count} no result: {reason}", target.id);
            let metrics = &traffic.shared.metrics;
            metrics.note_service(&target.service, ServiceEvent::Broken);
            let mut board = cell.desk.board.borrow_mut();
            board.note_failure(&target.id);
            board.note_refused(now, &target.id);
            drop(board);
            cell.give_back(plan, reason, true);
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
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    limit: Duration,
) -> Result<Vec<PieceEnd>, CallFault> {
    let now = cell.traffic.shared.now();
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
        let answer = call_target(&cell.traffic, &cell.desk, target, request, None, limit).await?;
        answer.collect(&cell.traffic, ANSWER_LIMIT).await
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
