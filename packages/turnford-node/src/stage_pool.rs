//! Acquires targets for stages and releases them however the wait or the call ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use turnford_policy::Clock;
use turnford_policy::Moment;
use turnford_policy::PoolSettings;
use turnford_policy::QueueDecision;
use turnford_policy::QueueTicket;
use turnford_policy::ResultCode;
use turnford_policy::ServicePool;
use turnford_policy::StageOutcome;
use turnford_policy::StagePlacement;
use turnford_policy::StageWork;
use turnford_policy::SubmitResult;

/// One service's pool, shared by the request threads.
///
/// The lock is held for the few microseconds of a decision and never across an await point.
pub(crate) struct StagePool {
    inner: Mutex<PoolInner>,
    clock: Arc<dyn Clock>,
}

struct PoolInner {
    pool: ServicePool,
    waiters: HashMap<QueueTicket, Sender<QueueDecision>>,
}

/// Reason why a stage got no target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRefusal {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Duration,
}

/// A target in use. If dropped without an outcome, the call counts as cancelled.
pub(crate) struct PlacementGuard {
    pool: Arc<StagePool>,
    placement: Option<StagePlacement>,
}

/// A wait in the queue. If dropped before the decision is received, it leaves the queue or releases
/// the assigned target.
struct WaitGuard<'a> {
    pool: &'a StagePool,
    ticket: QueueTicket,
    decisions: Receiver<QueueDecision>,
    done: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let now = self.pool.clock.now();
        let mut inner = self.pool.lock();
        inner.waiters.remove(&self.ticket);
        if inner.pool.cancel(self.ticket) {
            return;
        }
        if let Ok(QueueDecision::Run(_, placement)) = self.decisions.try_recv() {
            inner.pool.finish(now, &placement, StageOutcome::Cancelled);
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        if let Some(placement) = self.placement.take() {
            self.pool.release(&placement, StageOutcome::Cancelled);
        }
    }
}

impl PlacementGuard {
    /// Returns the placement, unless the guard has released its target.
    pub(crate) fn placement(&self) -> Option<&StagePlacement> {
        self.placement.as_ref()
    }

    /// Releases the target with an outcome.
    pub(crate) fn finish(mut self, outcome: StageOutcome) {
        if let Some(placement) = self.placement.take() {
            self.pool.release(&placement, outcome);
        }
    }
}

impl StagePool {
    pub(crate) fn new(settings: PoolSettings, clock: Arc<dyn Clock>) -> Self {
        let inner = PoolInner {
            pool: ServicePool::new(settings),
            waiters: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
            clock,
        }
    }

    /// Runs a short operation on the locked pool.
    pub(crate) fn with<T>(&self, operation: impl FnOnce(Moment, &mut ServicePool) -> T) -> T {
        let now = self.clock.now();
        operation(now, &mut self.lock().pool)
    }

    /// Acquires a target for a stage, waiting for a slot if necessary.
    ///
    /// # Errors
    ///
    /// Returns the reason if the pool refuses or sheds the work.
    pub(crate) async fn place(
        self: &Arc<Self>,
        work: StageWork,
    ) -> Result<PlacementGuard, PlacementRefusal> {
        let decision = match self.submit(work) {
            Ok(decision) => decision,
            Err(mut wait) => {
                let decision = wait.decisions.recv().await;
                wait.done = decision.is_ok();
                // The sender is dropped only together with the pool.
                decision.unwrap_or(QueueDecision::Shed(wait.ticket, ResultCode::Draining))
            }
        };
        match decision {
            QueueDecision::Run(_, placement) => Ok(self.guard(placement)),
            QueueDecision::Shed(_, code) => Err(PlacementRefusal {
                code,
                retry_after: self.with(|now, pool| pool.expected_wait(now, u8::MAX)),
            }),
        }
    }

    /// Acquires a target for a retry if one is available at once.
    pub(crate) fn place_retry(self: &Arc<Self>, work: &StageWork) -> Option<PlacementGuard> {
        let placement = self.with(|now, pool| pool.submit_retry(now, work))?;
        Some(self.guard(placement))
    }

    /// Dispatches queued work. Called when a call ends and on a timer.
    pub(crate) fn dispatch(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.dispatch(now);
    }

    /// Submits work. Returns `Err` with the wait if the work was queued.
    fn submit(&self, work: StageWork) -> Result<QueueDecision, WaitGuard<'_>> {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.pool.submit(now, work) {
            SubmitResult::Run(placement) => Ok(QueueDecision::Run(0, placement)),
            SubmitResult::Refused { code, .. } => Ok(QueueDecision::Shed(0, code)),
            SubmitResult::Queued(ticket) => {
                let (sender, decisions) = async_channel::bounded(1);
                inner.waiters.insert(ticket, sender);
                inner.dispatch(now);
                Err(WaitGuard {
                    pool: self,
                    ticket,
                    decisions,
                    done: false,
                })
            }
        }
    }

    fn guard(self: &Arc<Self>, placement: StagePlacement) -> PlacementGuard {
        PlacementGuard {
            pool: self.clone(),
            placement: Some(placement),
        }
    }

    fn release(&self, placement: &StagePlacement, outcome: StageOutcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.pool.finish(now, placement, outcome);
        inner.dispatch(now);
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolInner {
    fn dispatch(&mut self, now: Moment) {
        for decision in self.pool.dispatch(now) {
            let ticket = match &decision {
                QueueDecision::Run(ticket, _) | QueueDecision::Shed(ticket, _) => *ticket,
            };
            let waiter = self.waiters.remove(&ticket);
            let sent = waiter.is_some_and(|waiter| waiter.try_send(decision.clone()).is_ok());
            if let (false, QueueDecision::Run(_, placement)) = (sent, &decision) {
                self.pool.finish(now, placement, StageOutcome::Cancelled);
            }
        }
    }
}
