//! Pieces of stages that wait for the targets of one cell, and the requests that wait for them.

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

use crate::batch::fetch_report;
use crate::batch::run_batch;
use crate::inputs::InputTracker;
use crate::limit_updates::report_limit;
use crate::limits::PermitOutcome;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::retries::try_take_retries;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Reason given for pieces of requests that crash targets.
const CRASH_REASON: &str = "targets crash when they run the request";

/// How a piece ended for its request.
#[derive(Clone, Debug)]
pub(crate) enum PieceOutcome {
    /// The piece is done.
    Completed(PieceResult),
    /// A result that the piece needs is missing.
    InputMissing,
    /// The piece was not completed, and no target has it.
    Failed(&'static str),
    /// The piece was not offered to any target, because the node stops batching.
    NotScheduled,
}

/// The request that waits for a piece.
struct PieceWaiter {
    outcome: Sender<PieceOutcome>,
    inputs: Rc<InputTracker>,
    /// Whether the piece was recorded as having read its inputs.
    has_read: bool,
}

/// The pieces that wait for the targets of one cell.
pub(crate) struct CellQueue {
    pub(crate) scheduler: RefCell<BatchScheduler>,
    pub(crate) targets: RefCell<Vec<TargetSpec>>,
    waiters: RefCell<HashMap<PieceTicket, PieceWaiter>>,
    /// When a call last failed.
    pub(crate) last_failure_at: Cell<Option<Moment>>,
    /// When the next dispatch is due if no event triggers one earlier.
    next_wakeup: Cell<Option<Moment>>,
    /// Rate-limited targets for which a permit has been requested.
    pending_permits: RefCell<BTreeSet<TargetId>>,
}

impl CellQueue {
    pub(crate) fn new(spec: BatchSpec) -> Rc<Self> {
        Rc::new(Self {
            scheduler: RefCell::new(BatchScheduler::new(spec)),
            targets: RefCell::default(),
            waiters: RefCell::default(),
            last_failure_at: Cell::new(None),
            next_wakeup: Cell::new(None),
            pending_permits: RefCell::default(),
        })
    }

    /// Returns whether a piece can run again, i.e. its inputs have not been released.
    pub(crate) fn has_inputs(&self, ticket: PieceTicket) -> bool {
        let waiters = self.waiters.borrow();
        let waiter = waiters.get(&ticket);
        waiter.is_some_and(|waiter| !waiter.inputs.is_released())
    }

    /// Delivers the outcome of a piece to its request. Returns the outcome if nobody waits for it.
    fn deliver(&self, ticket: PieceTicket, outcome: PieceOutcome) -> Option<PieceOutcome> {
        let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) else {
            return Some(outcome);
        };
        // The piece may also have been offered to another target.
        self.scheduler.borrow_mut().cancel(ticket);
        let delivered = waiter.outcome.try_send(outcome);
        delivered.err().map(async_channel::TrySendError::into_inner)
    }
}

/// A cell of a service with the state that its calls need.
#[derive(Clone)]
pub(crate) struct PieceCell {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) context: Rc<ServiceContext>,
    pub(crate) queue: Rc<CellQueue>,
}

/// A piece that a request waits for. Dropping it cancels the piece.
pub(crate) struct PendingPiece {
    cell: PieceCell,
    ticket: PieceTicket,
    outcome: Receiver<PieceOutcome>,
}

impl PendingPiece {
    /// Waits for the outcome of the piece.
    pub(crate) async fn outcome(&self) -> PieceOutcome {
        let outcome = self.outcome.recv().await;
        outcome.unwrap_or(PieceOutcome::Failed("the piece was dropped"))
    }
}

impl Drop for PendingPiece {
    fn drop(&mut self) {
        let queue = &self.cell.queue;
        queue.waiters.borrow_mut().remove(&self.ticket);
        queue.scheduler.borrow_mut().cancel(self.ticket);
        // A result may have arrived that was never received.
        if let Ok(PieceOutcome::Completed(result)) = self.outcome.try_recv() {
            release_results(&self.cell.traffic, vec![result]);
        }
    }
}

impl PieceCell {
    /// Queues pieces.
    pub(crate) fn submit(
        &self,
        works: Vec<PieceWork>,
        inputs: &Rc<InputTracker>,
    ) -> Vec<PendingPiece> {
        let mut pending = Vec::with_capacity(works.len());
        for mut work in works {
            let verdict = self.verdict(&work);
            work.is_suspect = verdict != CrashVerdict::Clear;
            let (sender, outcome) = async_channel::bounded(1);
            let ticket = self.queue.scheduler.borrow_mut().push(work);
            let waiter = PieceWaiter {
                outcome: sender,
                inputs: inputs.clone(),
                has_read: false,
            };
            self.queue.waiters.borrow_mut().insert(ticket, waiter);
            if matches!(verdict, CrashVerdict::Refused(_)) {
                // The waiter was just inserted.
                let _ = self
                    .queue
                    .deliver(ticket, PieceOutcome::Failed(CRASH_REASON));
            }
            pending.push(PendingPiece {
                cell: self.clone(),
                ticket,
                outcome,
            });
        }
        self.dispatch();
        pending
    }

    /// Returns the crash verdict on a piece's request.
    fn verdict(&self, work: &PieceWork) -> CrashVerdict {
        let now = self.traffic.shared.now();
        self.traffic.crashes.verdict(now, &work.digest)
    }

    /// Returns all queued pieces to the nodes that requested them.
    pub(crate) fn return_pieces(&self) {
        let tickets = self.queue.scheduler.borrow_mut().drain();
        for ticket in tickets {
            // The request may have ended.
            let _ = self.queue.deliver(ticket, PieceOutcome::NotScheduled);
        }
    }

    /// Starts the calls that can be made now.
    pub(crate) fn dispatch(&self) {
        let now = self.traffic.shared.now();
        self.request_reports(now);
        let (plans, expired) = {
            let table = self.context.targets.borrow();
            let targets = self.queue.targets.borrow();
            let mut scheduler = self.queue.scheduler.borrow_mut();
            scheduler.plan(now, &table, &self.context.available_targets(now, &targets))
        };
        for ticket in expired {
            // The request may have ended.
            let _ = self
                .queue
                .deliver(ticket, PieceOutcome::Failed("the deadline passed"));
        }
        for plan in plans {
            let run = run_batch(self.clone(), plan);
            self.traffic.executor.spawn(run).detach();
        }
        self.request_permits(now);
        self.schedule_wakeup(now);
    }

    /// Requests reports from targets that this node has not used recently. Other nodes may have
    /// left results there.
    fn request_reports(&self, now: Moment) {
        let unreported = {
            let targets = self.queue.targets.borrow();
            let available = self.context.available_targets(now, &targets);
            let limits = self.context.limits.table.borrow();
            let needs_permit = |target: &TargetSpec| limits.state(&target.id).needs_permit();
            let (limited, free): (Vec<TargetSpec>, Vec<TargetSpec>) =
                available.into_iter().partition(needs_permit);
            let mut scheduler = self.queue.scheduler.borrow_mut();
            for target in limited {
                scheduler.assume_report(now, &target.id);
            }
            scheduler.take_unreported(now, &free)
        };
        if !unreported.is_empty() {
            let waiting = self.queue.scheduler.borrow().queue_len();
            log::info!(
                "batching for service={} waiting={waiting}, requesting reports from targets={}",
                self.context.spec.borrow().name,
                unreported.len()
            );
        }
        for target in unreported {
            let fetch = fetch_report(self.clone(), target);
            self.traffic.executor.spawn(fetch).detach();
        }
    }

    /// Requests permits for calls to rate-limited targets that could be made now.
    fn request_permits(&self, now: Moment) {
        let targets = self.queue.targets.borrow();
        for target in targets
            .iter()
            .filter(|target| self.wants_permit(now, target))
        {
            if self
                .queue
                .pending_permits
                .borrow_mut()
                .insert(target.id.clone())
            {
                let request = request_permit(self.clone(), target.clone());
                self.traffic.executor.spawn(request).detach();
            }
        }
    }

    fn wants_permit(&self, now: Moment, target: &TargetSpec) -> bool {
        let limits = self.context.limits.table.borrow();
        let table = self.context.targets.borrow();
        let is_limited = !limits.is_open(now, &target.id) && limits.may_open(now, &target.id);
        let is_open = table.is_open(now, &target.id) && !table.is_paused(now, &target.id);
        let has_use = || self.queue.scheduler.borrow().has_work_for(now, &target.id);
        is_limited && is_open && has_use()
    }

    /// Schedules a dispatch for when the next pause, backoff or deadline ends.
    fn schedule_wakeup(&self, now: Moment) {
        let wakeup = self.queue.scheduler.borrow_mut().next_wakeup(now);
        let Some(wakeup) = wakeup.into_iter().chain(self.backoff_end(now)).min() else {
            return;
        };
        let planned = self.queue.next_wakeup.get().filter(|at| *at > now);
        if planned.is_some_and(|at| at <= wakeup) {
            return;
        }
        self.queue.next_wakeup.set(Some(wakeup));
        let cell = self.clone();
        let wait = async move {
            Timer::after(wakeup.saturating_sub(now)).await;
            cell.dispatch();
        };
        self.traffic.executor.spawn(wait).detach();
    }

    /// Returns when the next backoff of a target ends, `None` if no pieces are queued.
    fn backoff_end(&self, now: Moment) -> Option<Moment> {
        if self.queue.scheduler.borrow().queue_len() == 0 {
            return None;
        }
        let table = self.context.targets.borrow();
        let targets = self.queue.targets.borrow();
        let ends = targets.iter();
        let ends = ends.filter_map(|target| table.backoff_until(now, &target.id));
        ends.min()
    }

    /// Delivers the outcomes of a call's pieces to their requests.
    pub(crate) fn deliver_results(
        &self,
        target: &TargetSpec,
        plan: BatchPlan,
        ends: Vec<PieceStatus>,
    ) {
        for ((ticket, work), end) in plan.pieces.into_iter().zip(ends) {
            if end == PieceStatus::NoSpace && self.requeue_larger(&target.id, ticket, &work) {
                continue;
            }
            let outcome = match end {
                PieceStatus::Completed(handle) => PieceOutcome::Completed(PieceResult {
                    handle,
                    producer: target.clone(),
                    gatherer: None,
                }),
                PieceStatus::InputMissing => PieceOutcome::InputMissing,
                PieceStatus::Expired => PieceOutcome::Failed("the deadline passed before its turn"),
                PieceStatus::NoSpace => PieceOutcome::Failed("no space for the result"),
                PieceStatus::Failed => PieceOutcome::Failed("the target failed to run it"),
            };
            if let Some(PieceOutcome::Completed(result)) = self.queue.deliver(ticket, outcome) {
                release_results(&self.traffic, vec![result]);
            }
        }
    }

    /// Records that the calls of these pieces are running and have fetched their inputs.
    pub(crate) fn record_read(&self, plan: &BatchPlan) {
        let mut waiters = self.queue.waiters.borrow_mut();
        for (ticket, _) in &plan.pieces {
            if let Some(waiter) = waiters.get_mut(ticket) {
                if !std::mem::replace(&mut waiter.has_read, true) {
                    waiter.inputs.record_read();
                }
            }
        }
    }

    /// Records that a piece has to run again. Returns false if nobody waits for it.
    fn record_unread(&self, ticket: PieceTicket) -> bool {
        let mut waiters = self.queue.waiters.borrow_mut();
        let Some(waiter) = waiters.get_mut(&ticket) else {
            return false;
        };
        if std::mem::take(&mut waiter.has_read) {
            waiter.inputs.record_unread();
        }
        true
    }

    /// Requeues a piece whose result did not fit into the target's free space because it is larger
    /// than expected. Returns false if nobody waits for it or no retry is allowed.
    fn requeue_larger(&self, target: &str, ticket: PieceTicket, work: &PieceWork) -> bool {
        if !self.record_unread(ticket) || !try_take_retries(&self.traffic, &self.context, 1) {
            return false;
        }
        let mut scheduler = self.queue.scheduler.borrow_mut();
        scheduler.invalidate_report(target);
        scheduler.requeue_larger(ticket, work.clone());
        true
    }

    /// Requeues the pieces of a failed call. If it may have reached its target, each one needs a retry from
    /// the allowance.
    pub(crate) fn requeue_pieces(&self, plan: BatchPlan, reason: &'static str, was_sent: bool) {
        for (ticket, mut work) in plan.pieces {
            let verdict = self.verdict(&work);
            work.is_suspect = verdict != CrashVerdict::Clear;
            if matches!(verdict, CrashVerdict::Refused(_)) {
                // The request may have ended.
                let _ = self
                    .queue
                    .deliver(ticket, PieceOutcome::Failed(CRASH_REASON));
                continue;
            }
            if !self.queue.has_inputs(ticket) {
                // The request may have ended.
                let _ = self.queue.deliver(ticket, PieceOutcome::InputMissing);
                continue;
            }
            if !self.record_unread(ticket) {
                continue;
            }
            if !was_sent || try_take_retries(&self.traffic, &self.context, 1) {
                self.queue.scheduler.borrow_mut().requeue(ticket, work);
            } else {
                // The request may have ended.
                let _ = self.queue.deliver(ticket, PieceOutcome::Failed(reason));
            }
        }
    }
}

/// Requests a permit for one target. Dispatches again when it is granted or may be available.
async fn request_permit(cell: PieceCell, target: TargetSpec) {
    let limits = &cell.context.limits;
    let end = limits.acquire_permit(&target, PermitPurpose::Work).await;
    if matches!(end, PermitOutcome::Unlimited(_)) {
        report_limit(limits, &target);
    }
    if let PermitOutcome::Wait(delay) | PermitOutcome::Unlimited(delay) = end {
        let until = cell.traffic.shared.now() + delay;
        limits.table.borrow_mut().record_denial(&target.id, until);
        Timer::after(delay).await;
    }
    cell.queue.pending_permits.borrow_mut().remove(&target.id);
    cell.dispatch();
}
