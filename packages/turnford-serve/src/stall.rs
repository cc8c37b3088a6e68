//! Attempts whose response makes no progress, while another target could still respond in time.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_http::wait_timeout;
use turnford_policy::CallKind;

use crate::forward::try_take_retry;
use crate::forward::AttemptLog;
use crate::forward::ForwardJob;
use crate::traffic::Traffic;

/// Multiple of the usual time of a call without progress after which its response counts as stalled.
const STALL_FACTOR: u32 = 8;

/// Lower bound of that time. A lost packet is retransmitted within it.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval of the checks whether the request of an attempt has been sent.
const SENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until an attempt that was sent has made no progress for much longer than usual and another one
/// may follow, for which a retry has been taken then. An attempt that none may replace never counts as stalled: it
/// may still respond.
pub(crate) async fn wait_stalled(traffic: &Rc<Traffic>, job: &ForwardJob<'_>, log: &AttemptLog) {
    while !log.is_sent.get() {
        Timer::after(SENT_POLL_INTERVAL).await;
    }
    let usual = job.context.predict_final_call(0);
    let timeout = (usual * STALL_FACTOR).max(MIN_STALL_TIMEOUT);
    wait_timeout(timeout).await;
    if !may_replace(job, log, usual) || !try_take_retry(traffic, job) {
        std::future::pending::<()>().await;
    }
    log.has_retry.set(true);
}

/// Returns whether another target may still respond in time.
fn may_replace(job: &ForwardJob<'_>, log: &AttemptLog, usual: Duration) -> bool {
    let route = &job.record.route;
    // Streams have limits of their own for the time until an event.
    let is_buffered = route.kind != CallKind::Stream;
    let is_allowed = is_buffered && route.is_repeatable() && log.sent + 1 < route.max_targets;
    let table = job.context.targets.borrow();
    let mut others = table.open_targets();
    is_allowed
        && job.record.remaining() > usual
        && others.any(|target| !log.tried.contains(&target.id))
}
