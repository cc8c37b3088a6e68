//! Waiting for a target, and giving it back however the wait or the call ends.

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

/// One service's pool, shared by the traffic threads.
///
/// The lock is held for the few microseconds of a decision and never across a wait.
pub(crate) struct StagePool {
    inner: Mutex<PoolInner>,
    clock: Arc<dyn Clock>,
}

struct PoolInner {
    pool: ServicePool,
    waiters: HashMap<QueueTicket, Sender<QueueDecision>>,
}

/// Why a stage got no target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceRefusal {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Duration,
}

/// A target in use. Dropped without an outcome, the call counts as cancelled.
pub(crate) struct PlaceGuard {
    pool: Arc<StagePool>,
    placement: Option<StagePlacement>,
}

/// A wait. Dropped before its verdict, it leaves the queue or gives the target back.
struct WaitGuard<'a> {
    pool: &'a StagePool,
    ticket: QueueTicket,
    verdicts: Receiver<QueueDecision>,
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
        if let Ok(QueueDecision::Run(_, placement)) = self.verdicts.try_recv() {
            inner.pool.finish(now, &placement, StageOutcome::Cancelled);
        }
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if let Some(placement) = self.placement.take() {
            self.pool.give_back(&placement, StageOutcome::Cancelled);
        }
    }
}

impl PlaceGuard {
    /// Returns the placement.
    pub(crate) fn placement(&self) -> Option<&StagePlacement> {
        self.placement.as_ref()
    }

    /// Gives the target back with an outcome.
    pub(crate) fn finish(mut self, outcome: StageOutcome) {
        if let Some(placement) = self.placement.take() {
            self.pool.give_back(&placement, outcome);
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

    /// Runs a short step on the pool.
    pub(crate) fn with<T>(&self, step: impl FnOnce(Moment, &mut ServicePool) -> T) -> T {
        let now = self.clock.now();
        step(now, &mut self.lock().pool)
    }

    /// Gets a target for a piece of work, waiting for a slot if need be.
    pub(crate) async fn place(
        self: &Arc<Self>,
        work: StageWork,
    ) -> Result<PlaceGuard, PlaceRefusal> {
        let verdict = match self.offer(work) {
            Ok(verdict) => verdict,
            Err(mut wait) => {
                let verdict = wait.verdicts.recv().await;
                wait.done = verdict.is_ok();
                // The sender is dropped only with the pool itself.
                verdict.unwrap_or(QueueDecision::Shed(wait.ticket, ResultCode::Draining))
            }
        };
        match verdict {
            QueueDecision::Run(_, placement) => Ok(self.guard(placement)),
            QueueDecision::Shed(_, code) => Err(PlaceRefusal {
                code,
                retry_after: self.with(|now, pool| pool.expected_wait(now, u8::MAX)),
            }),
        }
    }

    /// Gets a target for a further try, at once or not at all.
    pub(crate) fn place_retry(self: &Arc<Self>, work: &StageWork) -> Option<PlaceGuard> {
        let placement = self.with(|now, pool| pool.submit_retry(now, work))?;
        Some(self.guard(placement))
    }

    /// Serves held work; called when a call ends and on a timer.
    pub(crate) fn pump(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.pump(now);
    }

    /// Offers work: a verdict at once, or a wait.
    fn offer(&self, work: StageWork) -> Result<QueueDecision, WaitGuard<'_>> {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.pool.submit(now, work) {
            SubmitResult::Run(placement) => Ok(QueueDecision::Run(0, placement)),
            SubmitResult::Refused { code, .. } => Ok(QueueDecision::Shed(0, code)),
            SubmitResult::Queued(ticket) => {
                let (sender, verdicts) = async_channel::bounded(1);
                inner.waiters.insert(ticket, sender);
                inner.pump(now);
                Err(WaitGuard {
                    pool: self,
                    ticket,
                    verdicts,
                    done: false,
                })
            }
        }
    }

    fn guard(self: &Arc<Self>, placement: StagePlacement) -> PlaceGuard {
        PlaceGuard {
            pool: self.clone(),
            placement: Some(placement),
        }
    }

    fn give_back(&self, placement: &StagePlacement, outcome: StageOutcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.pool.finish(now, placement, outcome);
        inner.pump(now);
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolInner {
    fn pump(&mut self, now: Moment) {
        for verdict in self.pool.dispatch(now) {
            let ticket = match &verdict {
                QueueDecision::Run(ticket, _) | QueueDecision::Shed(ticket, _) => *ticket,
            };
            let waiter = self.waiters.remove(&ticket);
            let sent = waiter.is_some_and(|waiter| waiter.try_send(verdict.clone()).is_ok());
            if let (false, QueueDecision::Run(_, placement)) = (sent, &verdict) {
                self.pool.finish(now, placement, StageOutcome::Cancelled);
            }
        }
    }
}
