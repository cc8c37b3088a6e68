//! Requests of a service whose targets have all asked for backoff. Requests that can still be
//! served in time wait; the others are refused at once with the time after which to retry.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_policy::Moment;
use turnford_policy::TargetId;

use crate::forward::RETRY_AFTER;
use crate::record::RequestRecord;
use crate::resume::unsuitable_targets;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::wait_queue::QueuePosition;

/// Spread of the retry times of requests that are refused together, as a ratio of the time until a
/// target accepts calls.
const RETRY_SPREAD: f64 = 0.25;

/// Upper bound of the suggested retry time. A longer backoff may end early when the target's
/// process restarts, and other targets may be available by then.
const RETRY_AFTER_CAP: Duration = Duration::from_secs(30);

/// Longest interval between checks of a request's turn if no end of a backoff is known.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request does not wait for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AvailabilityError {
    /// All targets that are left are leaving.
    NoTarget,
    /// The request's time ends before a target accepts it; contains the time to retry after.
    TooLate(Duration),
}

/// Checks before any work is done for a request that the targets of its service can serve it.
///
/// # Errors
///
/// Returns why they can't.
pub(crate) fn check_availability(
    traffic: &Traffic,
    record: &RequestRecord,
    context: &ServiceContext,
) -> Result<(), AvailabilityError> {
    let now = traffic.shared.now();
    let source = record.source.borrow();
    let others = source
        .as_ref()
        .map(|source| unsuitable_targets(context, source));
    let others = others.unwrap_or_default();
    if context.wait_queue.is_empty() && context.targets.borrow().has_open(now, &others) {
        return Ok(());
    }
    let ranks = (record.rank, record.route.rank);
    let ahead = context.wait_queue.ahead_of(ranks, record.due());
    forecast_availability(traffic, record, context, &others, ahead).map(|_| ())
}

/// Waits until a target that has not been tried accepts the request. The position in the queue is
/// held until the request is sent, so that the next request doesn't take the same slot.
///
/// # Errors
///
/// Returns why the request stops waiting.
pub(crate) async fn wait_for_target(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    context: &Rc<ServiceContext>,
    tried: &[TargetId],
) -> Result<Option<QueuePosition>, AvailabilityError> {
    let has_open = || {
        let now = traffic.shared.now();
        context.targets.borrow().has_open(now, tried)
    };
    if context.wait_queue.is_empty() && has_open() {
        return Ok(None);
    }
    let ranks = (record.rank, record.route.rank);
    let position = context.wait_queue.join(ranks, record.due());
    let mut is_traced = false;
    loop {
        let ahead = position.ahead();
        if ahead == 0 && has_open() {
            return Ok(Some(position));
        }
        let available_at = forecast_availability(traffic, record, context, tried, ahead)?;
        if !is_traced {
            is_traced = true;
            let delay = available_at.saturating_sub(traffic.shared.now());
            record.trace(format_args!(
                "all targets in backoff, {ahead} requests ahead, first target available in {}ms",
                delay.as_millis()
            ));
        }
        let remaining = available_at.saturating_sub(traffic.shared.now());
        let poll = async {
            Timer::after(if remaining.is_zero() {
                MAX_POLL_INTERVAL
            } else {
                remaining
            })
            .await;
        };
        position.wait_wakeup().or(poll).await;
    }
}

/// Returns when the first target accepts calls.
///
/// # Errors
///
/// Fails if no target is left, or if a request with `ahead` others before it can't be served in
/// time.
fn forecast_availability(
    traffic: &Traffic,
    record: &RequestRecord,
    context: &ServiceContext,
    tried: &[TargetId],
    ahead: usize,
) -> Result<Moment, AvailabilityError> {
    let now = traffic.shared.now();
    let table = context.targets.borrow();
    let available_at = table
        .opens_at(now, tried)
        .ok_or(AvailabilityError::NoTarget)?;
    let final_call = record.final_call_time.get();
    let rounds = ahead as f64 / f64::from(table.total_slots(tried).max(1));
    let served_at = available_at.saturating_add(final_call.mul_f64(rounds));
    if served_at.saturating_add(final_call) <= record.first_event_deadline() {
        return Ok(available_at);
    }
    Err(AvailabilityError::TooLate(spread_retry_after(
        traffic, served_at,
    )))
}

/// Returns when clients whose requests no target accepted should retry.
pub(crate) fn suggest_retry_after(traffic: &Traffic, context: &ServiceContext) -> Duration {
    let now = traffic.shared.now();
    let available_at = context.targets.borrow().opens_at(now, &[]);
    available_at.map_or(RETRY_AFTER, |at| spread_retry_after(traffic, at))
}

/// Returns when a client should retry if a slot is available at `at`. The times are spread so that
/// requests that are refused together don't return together.
fn spread_retry_after(traffic: &Traffic, at: Moment) -> Duration {
    let remaining = at.saturating_sub(traffic.shared.now()).min(RETRY_AFTER_CAP);
    let spread = remaining.mul_f64(RETRY_SPREAD * traffic.random());
    (remaining + spread).max(RETRY_AFTER)
}
