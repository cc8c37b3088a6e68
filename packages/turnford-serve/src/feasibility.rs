//! Whether a request whose stages run can still be served.
//!
//! A request is admitted with a forecast of each stage's end. Where a stage is not done by then,
//! something that the forecast depended on has changed: a target is lost, more urgent requests have
//! come, a result was gone. The forecast is renewed, and a request that can't be served within its
//! deadline is refused then, instead of being held until its time is over.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::FlowForecast;
use turnford_policy::MAX_RETRY_AFTER;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::forecast_here;
use crate::admission::told_forecast;
use crate::admission::AdmittedFlow;
use crate::forward::RETRY_AFTER;
use crate::limits::PLACEMENT_TIMEOUT;
use crate::record::RequestRecord;
use crate::request::MOVE_SPAN;
use crate::stages::forecast_alone;
use crate::stages::least_span;
use crate::stages::StageError;
use crate::traffic::Traffic;

/// Time by which a stage may outlast its forecast before that is renewed: news of what others did is
/// gathered on its way to the node that forecasts.
const RENEW_SLACK: Duration = Duration::from_millis(100);

/// Waits until a request can't be served any more before its client or this node leaves, and tells
/// when to come back.
pub(crate) async fn watch_outlook(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    flow: &AdmittedFlow,
) -> StageError {
    loop {
        wait_overdue(traffic, flow).await;
        let forecast = renew(traffic, record, flow).await;
        let now = traffic.shared.now();
        let last = record.last_span.get();
        let end = now + forecast.end() + last;
        if end > record.serve_by() {
            let more = forecast.end().as_millis();
            record.note(format_args!("stages would take {more}ms more"));
            let is_other = traffic
                .shared
                .exit_deadline()
                .is_some_and(|stop| end > stop);
            let back_after = if is_other {
                MOVE_SPAN
            } else {
                // Those that are refused together do not come back together.
                let room = record.route.latency_objective.saturating_sub(last);
                let spread = 1.0 + traffic.random();
                let back = forecast.end().saturating_sub(room).mul_f64(spread);
                back.clamp(RETRY_AFTER, MAX_RETRY_AFTER)
            };
            return StageError::Hopeless { back_after };
        }
        flow.expect(now, &forecast);
    }
}

/// Waits until a stage is not done though it was expected to be.
async fn wait_overdue(traffic: &Traffic, flow: &AdmittedFlow) {
    loop {
        let Some(end) = flow.next_end() else {
            // All stages are done; their request goes on.
            return std::future::pending().await;
        };
        let now = traffic.shared.now();
        if end + RENEW_SLACK <= now {
            return;
        }
        Timer::after(end + RENEW_SLACK - now).await;
    }
}

/// Forecasts the stages that are not done, by the node that admitted the request or, where it gives no
/// answer, by what this one knows.
async fn renew(traffic: &Rc<Traffic>, record: &RequestRecord, flow: &AdmittedFlow) -> FlowForecast {
    let is_open = |stage: usize| flow.is_open(stage);
    let least = least_span(traffic, record, is_open) + record.last_span.get();
    let is_late = traffic.shared.now() + least > record.started_at + record.route.latency_objective;
    let mut forecast = None;
    if let Some((placer, ticket)) = &flow.admitted {
        forecast = match placer.address {
            None => forecast_here(traffic, &placer.desk, *ticket, is_late),
            Some(address) => {
                let request = WorkRequest::Forecast {
                    service: placer.desk.spec.borrow().name.to_string(),
                    ticket: *ticket,
                    is_late,
                };
                match traffic
                    .peers
                    .call(address, &request, PLACEMENT_TIMEOUT)
                    .await
                {
                    Some(WorkReply::Forecast(ends)) => ends.as_deref().map(told_forecast),
                    _ => None,
                }
            }
        };
    }
    forecast.unwrap_or_else(|| forecast_alone(traffic, record, is_open))
}
