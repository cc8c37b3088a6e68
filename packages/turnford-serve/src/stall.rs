//! Attempts whose response makes no progress, while another target could still respond in time.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_http::wait_timeout;
use turnford_policy::CallKind;

use crate::attempt_log::try_take_retry;
use crate::attempt_log::AttemptLog;
use crate::forward::ForwardJob;
use crate::traffic::Traffic;

/// Multiple of the usual time of a call without progress after which its response counts as stalled.
const STALL_FACTOR: u32 = 8;

/// Lower bound of that time. A lost packet is retransmitted within it.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval of the checks whether the request of an attempt has been sent.
const SENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until an attempt that was sent has made no progress for much longer than usual and another one
/// may follow, for which a retry has then been taken. An attempt that none may follow never counts as
/// stalled: it may still respond.
pub(crate) async fn wait_stalled(traffic: &Rc<Traffic>, job: &ForwardJob<'_>, log: &AttemptLog) {
    if may_follow(job, log) {
        while job.record.sends.sent() == log.sends_before {
            Timer::after(SENT_POLL_INTERVAL).await;
        }
        let usual = job.context.predict_final_call(0);
        wait_timeout((usual * STALL_FACTOR).max(MIN_STALL_TIMEOUT)).await;
        if has_other_target(job, log, usual) && try_take_retry(traffic, job) {
            log.has_retry.set(true);
            return;
        }
    }
    std::future::pending().await
}

/// Returns whether the request's route allows another attempt. Streams are waited for until their
/// deadline.
fn may_follow(job: &ForwardJob<'_>, log: &AttemptLog) -> bool {
    let route = &job.record.route;
    route.kind == CallKind::Safe && log.attempts + 1 < route.max_targets
}

/// Returns whether another target may still respond in time.
fn has_other_target(job: &ForwardJob<'_>, log: &AttemptLog, usual: Duration) -> bool {
    let table = job.context.targets.borrow();
    let mut targets = table.open_targets();
    let has_other = targets.any(|target| !log.tried.contains(&target.id));
    has_other && job.record.remaining() > usual
}
