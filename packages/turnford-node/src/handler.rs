//! HTTP interface for clients and operators: pipelines, health, metrics, status and drain.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use http::StatusCode;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_policy::AttemptId;
use turnford_policy::ResultCode;

use crate::admit::admit_request;
use crate::admit::find_request_account;
use crate::admit::AdmittedRequest;
use crate::outcome::RequestOutcome;
use crate::runner::run_request;
use crate::state::NodeState;
use crate::status::node_status;
use crate::stream::stream_request;

/// Handles one HTTP request.
pub(crate) async fn handle_request(
    state: Arc<NodeState>,
    request: BufferedRequest,
) -> Option<HttpResponse> {
    let path = request.path.clone();
    let response = match (request.method.as_str(), path.as_str()) {
        ("POST", path) if path.starts_with("/v1/pipelines/") => run_pipeline(&state, request).await,
        ("GET", "/healthz") => HttpResponse::new(StatusCode::OK),
        ("GET", "/readyz") => ready(&state),
        ("GET", "/metrics") => metrics(&state),
        ("GET", "/status") => node_status(&state),
        ("POST", "/drain") => start_drain(&state),
        _ => unknown_path(&state),
    };
    Some(response)
}

async fn run_pipeline(state: &Arc<NodeState>, request: BufferedRequest) -> HttpResponse {
    let trace = state.attempts.next_request();
    let accept = request.header("accept").unwrap_or("");
    let streams = accept.contains("text/event-stream");
    match admit_with_share(state, &request, trace).await {
        Ok(request) if streams => stream_request(request),
        Ok(request) => run_request(request, None).await.response(trace),
        Err(outcome) => {
            record_refusal(state, &outcome);
            outcome.response(trace)
        }
    }
}

/// Admits a request. If this node's share of a limit is used up, requests a larger one and tries
/// once more.
async fn admit_with_share(
    state: &Arc<NodeState>,
    request: &BufferedRequest,
    trace: AttemptId,
) -> Result<AdmittedRequest, RequestOutcome> {
    let outcome = match admit_request(state, request, trace) {
        Err(outcome) if outcome.result().code().is_limit() && state.settings.fleet_size > 1 => {
            outcome
        }
        other => return other,
    };
    let Some(account) = find_request_account(state, request) else {
        return Err(outcome);
    };
    state.control.fetch_share(&account.name).await;
    admit_request(state, request, trace)
}

/// Counts a refused request without its account, which may be unknown.
fn record_refusal(state: &NodeState, outcome: &RequestOutcome) {
    let code = outcome.result().code();
    state
        .metrics
        .record_end("-", u8::MAX, code, std::time::Duration::ZERO);
}

fn ready(state: &NodeState) -> HttpResponse {
    let ready = state.ready.load(Ordering::SeqCst) && !state.draining.load(Ordering::SeqCst);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    HttpResponse::new(status)
}

fn metrics(state: &NodeState) -> HttpResponse {
    let running = state.running.load(Ordering::SeqCst);
    state
        .metrics
        .running
        .set(i64::try_from(running).unwrap_or(i64::MAX));
    let counts = state.budget.counts();
    state.metrics.platform_reads.set(counts.reads);
    state.metrics.platform_writes.set(counts.writes);
    state
        .metrics
        .config_version
        .set(state.config.load().version);
    let mut response = HttpResponse::new(StatusCode::OK);
    response.set_body(state.metrics.text());
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    response.insert_header("content-type", kind);
    response
}

fn start_drain(state: &NodeState) -> HttpResponse {
    if !state.draining.swap(true, Ordering::SeqCst) {
        log::warn!("graceful shutdown started; refusing new requests");
    }
    HttpResponse::new(StatusCode::ACCEPTED)
}

fn unknown_path(state: &NodeState) -> HttpResponse {
    let outcome = RequestOutcome::not_run(ResultCode::BadRequest, "unknown path or method");
    let mut response = outcome.response(state.attempts.next_request());
    response.set_status(StatusCode::NOT_FOUND);
    response
}
