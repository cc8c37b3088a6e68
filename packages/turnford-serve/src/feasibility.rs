//! Whether a request can still be served while its stages run.
//!
//! A request is admitted with a forecast of each stage's end. If a stage is not done by then,
//! something that the forecast depended on has changed: a target was lost, more urgent requests
//! arrived, or a result is missing. The forecast is refreshed, and a request that can't be served
//! within its deadline is refused then instead of being held until its deadline.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::FlowForecast;
use turnford_policy::MAX_RETRY_AFTER;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::decode_forecast;
use crate::admission::forecast_flow;
use crate::admission::AdmittedFlow;
use crate::forward::RETRY_AFTER;
use crate::limits::PLACEMENT_TIMEOUT;
use crate::record::RequestRecord;
use crate::request::REDIRECT_RETRY_AFTER;
use crate::stages::forecast_locally;
use crate::stages::min_duration;
use crate::stages::StageError;
use crate::traffic::Traffic;

/// Time by which a stage may exceed its forecast before the forecast is refreshed. Updates are
/// batched on their way to the forecasting node.
const FORECAST_SLACK: Duration = Duration::from_millis(100);

/// Waits until a request can no longer be served before its client gives up or this node stops.
/// Returns when the client should retry.
pub(crate) async fn watch_feasibility(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    flow: &AdmittedFlow,
) -> StageError {
    loop {
        wait_overdue(traffic, flow).await;
        let forecast = refresh_forecast(traffic, record, flow).await;
        let now = traffic.shared.now();
        let final_call = record.final_call_time.get();
        let end = now + forecast.end() + final_call;
        if end > record.first_event_deadline() {
            let remaining = forecast.end().as_millis();
            record.trace(format_args!(
                "stages are forecast to take {remaining}ms more"
            ));
            let is_past_shutdown = traffic
                .shared
                .exit_deadline()
                .is_some_and(|stop| end > stop);
            let retry_after = if is_past_shutdown {
                REDIRECT_RETRY_AFTER
            } else {
                // The retry times of requests that are refused together are spread.
                let slack = record.route.latency_objective.saturating_sub(final_call);
                let spread = 1.0 + traffic.random();
                let delay = forecast.end().saturating_sub(slack).mul_f64(spread);
                delay.clamp(RETRY_AFTER, MAX_RETRY_AFTER)
            };
            return StageError::Infeasible { retry_after };
        }
        flow.expect(now, &forecast);
    }
}

/// Waits until a stage exceeds its forecast.
async fn wait_overdue(traffic: &Traffic, flow: &AdmittedFlow) {
    loop {
        let Some(end) = flow.next_end() else {
            // All stages are done, and the request goes on.
            return std::future::pending().await;
        };
        let now = traffic.shared.now();
        if end + FORECAST_SLACK <= now {
            return;
        }
        Timer::after(end + FORECAST_SLACK - now).await;
    }
}

/// Forecasts the open stages at the node that admitted the request. If it does not answer, this
/// node forecasts by what it knows.
async fn refresh_forecast(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    flow: &AdmittedFlow,
) -> FlowForecast {
    let is_open = |stage: usize| flow.is_open(stage);
    let earliest = min_duration(traffic, record, is_open) + record.final_call_time.get();
    let is_late =
        traffic.shared.now() + earliest > record.started_at + record.route.latency_objective;
    let mut forecast = None;
    if let Some((placer, ticket)) = &flow.admitted {
        forecast = match placer.address {
            None => forecast_flow(traffic, &placer.context, *ticket, is_late),
            Some(address) => {
                let request = WorkRequest::Forecast {
                    service: placer.context.spec.borrow().name.to_string(),
                    ticket: *ticket,
                    is_late,
                };
                match traffic
                    .peers
                    .call(address, &request, PLACEMENT_TIMEOUT)
                    .await
                {
                    Some(WorkReply::Forecast(ends)) => ends.as_deref().map(decode_forecast),
                    _ => None,
                }
            }
        };
    }
    forecast.unwrap_or_else(|| forecast_locally(traffic, record, is_open))
}
