//! The entry for callers: pipelines, health, metrics and status.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use http::StatusCode;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_policy::AttemptId;
use turnford_policy::ResultCode;

use crate::admit::account_of;
use crate::admit::admit_call;
use crate::admit::AdmittedRequest;
use crate::answer::RequestEnd;
use crate::runner::run_request;
use crate::state::NodeState;
use crate::status::node_status;
use crate::stream::stream_request;

/// Answers one call.
pub(crate) async fn handle_call(
    state: Arc<NodeState>,
    call: BufferedRequest,
) -> Option<HttpResponse> {
    let path = call.path.clone();
    let response = match (call.method.as_str(), path.as_str()) {
        ("POST", path) if path.starts_with("/v1/pipelines/") => run_pipeline(&state, call).await,
        ("GET", "/healthz") => HttpResponse::new(StatusCode::OK),
        ("GET", "/readyz") => ready(&state),
        ("GET", "/metrics") => metrics(&state),
        ("GET", "/status") => node_status(&state),
        ("POST", "/drain") => start_drain(&state),
        _ => unknown_path(&state),
    };
    Some(response)
}

async fn run_pipeline(state: &Arc<NodeState>, call: BufferedRequest) -> HttpResponse {
    let trace = state.attempts.next_request();
    let accept = call.header("accept").unwrap_or("");
    let streams = accept.contains("text/event-stream");
    match admit_with_share(state, &call, trace).await {
        Ok(request) if streams => stream_request(request),
        Ok(request) => run_request(request, None).await.response(trace),
        Err(end) => {
            note_refusal(state, &end);
            end.response(trace)
        }
    }
}

/// Admits a call. Where this node's share of a limit is used up, a larger one is asked for first.
async fn admit_with_share(
    state: &Arc<NodeState>,
    call: &BufferedRequest,
    trace: AttemptId,
) -> Result<AdmittedRequest, RequestEnd> {
    let end = match admit_call(state, call, trace) {
        Err(end) if end.code.is_limit() && state.settings.fleet_size > 1 => end,
        other => return other,
    };
    let Some(account) = account_of(state, call) else {
        return Err(end);
    };
    state.control.fetch_share(&account.name).await;
    admit_call(state, call, trace)
}

/// Counts a refusal without the account's name, which may be unknown.
fn note_refusal(state: &NodeState, end: &RequestEnd) {
    state
        .metrics
        .note_end("-", u8::MAX, end.code, std::time::Duration::ZERO);
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
        log::warn!("planned stop begins: no new requests");
    }
    HttpResponse::new(StatusCode::ACCEPTED)
}

fn unknown_path(state: &NodeState) -> HttpResponse {
    let end = RequestEnd::not_run(ResultCode::BadRequest, "unknown path or method");
    let mut response = end.response(state.attempts.next_request());
    response.set_status(StatusCode::NOT_FOUND);
    response
}
