//! Requests whose targets all want rest: those that can be served after it wait, the others are refused
//! at once, with the time at which they can be.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_policy::Moment;
use turnford_policy::TargetId;

use crate::forward::RETRY_AFTER;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::wait_queue::QueuePosition;

/// Part of the time until a target takes calls over which those that are refused together come back.
const RETRY_SPREAD: f64 = 0.25;

/// Longest time to come back that is told: a longer rest may end early with its target's process, and
/// other targets may be there by then.
const RETRY_AFTER_CAP: Duration = Duration::from_secs(30);

/// Longest pause between looks whether it is a request's turn, where no end of a rest is known.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request does not wait for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AvailabilityError {
    /// No target is left that does not leave.
    NoTarget,
    /// Its time is over before one takes it; when to come back.
    TooLate(Duration),
}

/// Tells whether a request can be served by the targets of a service, before anything is done for it.
///
/// # Errors
///
/// Returns why it can't.
pub(crate) fn check_availability(
    traffic: &Traffic,
    record: &RequestRecord,
    context: &ServiceContext,
) -> Result<(), AvailabilityError> {
    let now = traffic.shared.now();
    if context.wait_queue.is_empty() && context.targets.borrow().has_open(now, &[]) {
        return Ok(());
    }
    let ranks = (record.rank, record.route.rank);
    let ahead = context.wait_queue.ahead_of(ranks, record.due());
    forecast_availability(traffic, record, context, &[], ahead).map(|_| ())
}

/// Waits until a target beside those tried takes the request. The place in the line is kept until the
/// request is sent, so that the next one doesn't take the same room.
///
/// # Errors
///
/// Returns why it does not wait any longer.
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
            let span = available_at.saturating_sub(traffic.shared.now());
            record.trace(format_args!(
                "all targets rest, {ahead} go before, the first opens in {}ms",
                span.as_millis()
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

/// Returns when the first target takes calls, if a request with so many before it can be served then.
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

/// Returns when clients should come back that no target took.
pub(crate) fn suggest_retry_after(traffic: &Traffic, context: &ServiceContext) -> Duration {
    let now = traffic.shared.now();
    let available_at = context.targets.borrow().opens_at(now, &[]);
    available_at.map_or(RETRY_AFTER, |at| spread_retry_after(traffic, at))
}

/// Returns when a client should come back for whom there is room at a moment. Those that are refused
/// together come back one after the other.
fn spread_retry_after(traffic: &Traffic, at: Moment) -> Duration {
    let remaining = at.saturating_sub(traffic.shared.now()).min(RETRY_AFTER_CAP);
    let spread = remaining.mul_f64(RETRY_SPREAD * traffic.random());
    (remaining + spread).max(RETRY_AFTER)
}
