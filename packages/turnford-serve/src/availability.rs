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
const RETURN_SPREAD: f64 = 0.25;

/// Longest time to come back that is told: a longer rest may end early with its target's process, and
/// other targets may be there by then.
const LONGEST_BACK: Duration = Duration::from_secs(30);

/// Longest pause between looks whether it is a request's turn, where no end of a rest is known.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Why a request does not wait for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AvailabilityError {
    /// No target is left that does not leave.
    Nowhere,
    /// Its time is over before one takes it; when to come back.
    TooLate(Duration),
}

/// Tells whether a request can be served by the targets of a service, before anything is done for it.
///
/// # Errors
///
/// Returns why it can't.
pub(crate) fn check_opening(
    traffic: &Traffic,
    record: &RequestRecord,
    desk: &ServiceContext,
) -> Result<(), AvailabilityError> {
    let now = traffic.shared.now();
    if desk.line.is_empty() && desk.targets.borrow().has_open(now, &[]) {
        return Ok(());
    }
    let ranks = (record.rank, record.route.rank);
    let ahead = desk.line.ahead_of(ranks, record.due());
    forecast_turn(traffic, record, desk, &[], ahead).map(|_| ())
}

/// Waits until a target beside those tried takes the request. The place in the line is kept until the
/// request is sent, so that the next one doesn't take the same room.
///
/// # Errors
///
/// Returns why it does not wait any longer.
pub(crate) async fn wait_turn(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceContext>,
    tried: &[TargetId],
) -> Result<Option<QueuePosition>, AvailabilityError> {
    let has_open = || {
        let now = traffic.shared.now();
        desk.targets.borrow().has_open(now, tried)
    };
    if desk.line.is_empty() && has_open() {
        return Ok(None);
    }
    let ranks = (record.rank, record.route.rank);
    let place = desk.line.enter(ranks, record.due());
    let mut is_noted = false;
    loop {
        let ahead = place.ahead();
        if ahead == 0 && has_open() {
            return Ok(Some(place));
        }
        let opening = forecast_turn(traffic, record, desk, tried, ahead)?;
        if !is_noted {
            is_noted = true;
            let span = opening.saturating_sub(traffic.shared.now());
            record.note(format_args!(
                "all targets rest, {ahead} go before, the first opens in {}ms",
                span.as_millis()
            ));
        }
        let left = opening.saturating_sub(traffic.shared.now());
        let look = async {
            Timer::after(if left.is_zero() { LOOK_PAUSE } else { left }).await;
        };
        place.wait_woken().or(look).await;
    }
}

/// Returns when the first target takes calls, if a request with so many before it can be served then.
fn forecast_turn(
    traffic: &Traffic,
    record: &RequestRecord,
    desk: &ServiceContext,
    tried: &[TargetId],
    ahead: usize,
) -> Result<Moment, AvailabilityError> {
    let now = traffic.shared.now();
    let board = desk.targets.borrow();
    let opening = board
        .opens_at(now, tried)
        .ok_or(AvailabilityError::Nowhere)?;
    let last = record.last_span.get();
    let rounds = ahead as f64 / f64::from(board.total_slots(tried).max(1));
    let turn = opening.saturating_add(last.mul_f64(rounds));
    if turn.saturating_add(last) <= record.serve_by() {
        return Ok(opening);
    }
    Err(AvailabilityError::TooLate(back_span(traffic, turn)))
}

/// Returns when clients should come back that no target took.
pub(crate) fn return_span(traffic: &Traffic, desk: &ServiceContext) -> Duration {
    let now = traffic.shared.now();
    let opening = desk.targets.borrow().opens_at(now, &[]);
    opening.map_or(RETRY_AFTER, |at| back_span(traffic, at))
}

/// Returns when a client should come back for whom there is room at a moment. Those that are refused
/// together come back one after the other.
fn back_span(traffic: &Traffic, at: Moment) -> Duration {
    let left = at.saturating_sub(traffic.shared.now()).min(LONGEST_BACK);
    let spread = left.mul_f64(RETURN_SPREAD * traffic.random());
    (left + spread).max(RETRY_AFTER)
}
