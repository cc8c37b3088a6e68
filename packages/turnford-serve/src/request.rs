//! Handling of one client request.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::request::Parts;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use turnford_adapter::decode_call;
use turnford_policy::FlowRefusal;
use turnford_policy::RequestDigest;
use turnford_policy::ResultCode;
use turnford_policy::RouteSpec;

use crate::admission::admit_flow;
use crate::answer::fail_request;
use crate::answer::refusal_response;
use crate::answer::refuse_request;
use crate::answer::RequestFailure;
use crate::answer::ResponseBody;
use crate::availability::check_availability;
use crate::availability::AvailabilityError;
use crate::feasibility::watch_feasibility;
use crate::forward::forward;
use crate::forward::ForwardJob;
use crate::forward::ForwardOutcome;
use crate::forward::RETRY_AFTER;
use crate::placement::predict_hall;
use crate::record::RequestRecord;
use crate::request_body::read_body;
use crate::resume::find_source;
use crate::resume::ResumeRefusal;
use crate::send_log::NotRun;
use crate::shared::RouteView;
use crate::stages::run_stages;
use crate::stages::StageError;
use crate::traffic::Traffic;
use crate::trial::admit_suspect;
use crate::trial::SuspectRefusal;

/// Number of times that the stages of a request run if their results go missing before they are
/// used.
const MAX_STAGE_ROUNDS: u32 = 5;

/// Time after the deadline within which a request usually ends by itself, as its calls do.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);

/// Retry time after a refusal by a node that is stopping: another node accepts the request at once.
pub(crate) const REDIRECT_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Retry time after a refusal by a node that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal before a request is admitted.
pub(crate) struct EarlyRefusal {
    pub(crate) code: ResultCode,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
}

impl EarlyRefusal {
    pub(crate) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: reason.into(),
            retry_after: None,
        }
    }
}

pub(crate) async fn serve_request(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, incoming) = request.into_parts();
    let view = traffic.current_view();
    let record = match admit_request(&traffic, &view, &parts) {
        Ok(record) => record,
        Err(refusal) => return refuse(&traffic, &parts, &refusal),
    };
    let limit = view.config.limits.max_body_bytes;
    let body = match read_body(&traffic, &record, &parts, incoming, limit).await {
        Ok(body) => body,
        Err(refusal) => {
            let retry_after = refusal.retry_after;
            return refuse_request(&record, refusal.code, &refusal.reason, retry_after);
        }
    };
    record.digest.set(request_digest(&record, &parts, &body));
    let served = run_request(&traffic, &record, &parts, &body);
    served.or(wait_expired(&record)).await
}

/// Waits until a request has no response although its deadline has passed, and returns one. Whatever
/// the request waits for, its client doesn't wait longer.
async fn wait_expired(record: &RequestRecord) -> Response<ResponseBody> {
    record.wait_deadline().await;
    Timer::after(RESPONSE_GRACE).await;
    let reason = "no response by the deadline";
    fail_request(record, RequestFailure::DeadlinePassed, reason)
}

/// Checks a request against its route and account, and starts its record.
fn admit_request(
    traffic: &Rc<Traffic>,
    view: &RouteView,
    parts: &Parts,
) -> Result<Rc<RequestRecord>, EarlyRefusal> {
    if !view.is_complete() {
        let mut refusal = EarlyRefusal::new(ResultCode::NotReady, "no configuration yet");
        refusal.retry_after = Some(NOT_READY_RETRY_AFTER);
        return Err(refusal);
    }
    let route = find_route(view, parts)?;
    let attributes = decode_call(parts)
        .map_err(|error| EarlyRefusal::new(ResultCode::BadRequest, error.to_string()))?;
    let api_key = attributes.api_key.as_deref();
    let grant = api_key
        .and_then(|api_key| view.table.grant(api_key))
        .cloned();
    if view.table.requires_key() && grant.is_none() && !route.anonymous {
        let reason = "no or an unknown key";
        return Err(EarlyRefusal::new(ResultCode::UnknownAccount, reason));
    }
    if !traffic.shared.can_finish(route.kind, route.timeout) {
        let mut refusal = EarlyRefusal::new(ResultCode::Draining, "the node stops");
        refusal.retry_after = Some(REDIRECT_RETRY_AFTER);
        return Err(refusal);
    }
    let rank = grant.as_ref().and_then(|grant| grant.rank);
    let rank = rank.unwrap_or(route.rank);
    let account = grant.map(|grant| grant.account);
    let version = view.config.version;
    let record = RequestRecord::new(
        traffic.shared.clone(),
        attributes,
        route,
        account,
        rank,
        version,
    );
    record.client_http.set(parts.version);
    Ok(record)
}

fn find_route(view: &RouteView, parts: &Parts) -> Result<std::sync::Arc<RouteSpec>, EarlyRefusal> {
    let Some(host) = host_of(parts) else {
        return Err(EarlyRefusal::new(ResultCode::BadRequest, "no host"));
    };
    let route = view.table.find(host, parts.uri.path());
    route
        .cloned()
        .ok_or_else(|| EarlyRefusal::new(ResultCode::UnknownTemplate, "no such route"))
}

/// Returns the host of the request target, or else of the `Host` header.
fn host_of(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(http::header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    parts.uri.host().or(named)
}

fn request_digest(record: &RequestRecord, parts: &Parts, body: &Bytes) -> RequestDigest {
    let account = record.account.as_deref().unwrap_or("");
    let host = host_of(parts).unwrap_or("").to_ascii_lowercase();
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    RequestDigest::new(account, &host, path, body)
}

fn refuse(traffic: &Traffic, parts: &Parts, refusal: &EarlyRefusal) -> Response<ResponseBody> {
    let attempt = decode_call(parts).map(|attributes| attributes.attempt);
    let attempt = attempt.unwrap_or_default();
    let view = traffic.shared.view.load();
    log::warn!(
        "request={attempt} config={} code={} end={} reason={} host={} path={}",
        view.config.version,
        refusal.code.number(),
        refusal.code.name(),
        refusal.reason,
        parts
            .headers
            .get(http::header::HOST)
            .map_or("-", |host| host.to_str().unwrap_or("?")),
        parts.uri.path(),
    );
    let metrics = &traffic.shared.metrics;
    metrics.record_end("-", u8::MAX, refusal.code, Duration::ZERO);
    refusal_response(
        NotRun::before_sends(),
        &attempt,
        refusal.code,
        &refusal.reason,
        refusal.retry_after,
    )
}

/// Runs the stages and the final call of a request.
async fn run_request(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    parts: &Parts,
    body: &Bytes,
) -> Response<ResponseBody> {
    let source = match find_source(traffic, record).await {
        Ok(source) => source,
        Err(refusal) => return refuse_resume(record, &refusal),
    };
    let drawn = record.route.draw_service(traffic.random());
    let service = source.as_ref().map(|source| &source.service).or(drawn);
    let context = service.and_then(|service| traffic.service(service));
    record.source.replace(source.clone());
    let Some(context) = context else {
        let reason = "the service is not known";
        return refuse_request(record, ResultCode::NoTarget, reason, Some(RETRY_AFTER));
    };
    record.set_service(&context.spec.borrow().name);
    let _suspect = match admit_suspect(traffic, record).await {
        Ok(suspect) => suspect,
        Err(refusal) => return refuse_suspect(record, &refusal),
    };
    if source.is_some_and(|source| !context.has_open_version(&source.version)) {
        return refuse_resume(record, &ResumeRefusal::version_gone());
    }
    record
        .final_call_time
        .set(context.predict_final_call(record.attributes.unique_tokens()));
    if let Err(error) = check_availability(traffic, record, &context) {
        // Its stages would run for nothing.
        return refuse_unavailable(record, error);
    }
    *record.predicted_hall.borrow_mut() = predict_hall(&context, &record.attributes.segments);
    for _ in 0..MAX_STAGE_ROUNDS {
        let flow = match admit_flow(traffic, record, &context).await {
            Ok(flow) => flow,
            Err(refusal) => return refuse_late(record, &refusal),
        };
        let stages = run_stages(traffic, record, &flow);
        let infeasible = async { Err(watch_feasibility(traffic, record, &flow).await) };
        let stopped = async { Err(wait_shutdown(traffic).await) };
        let results = match stages.or(infeasible).or(stopped).await {
            Ok(results) => results,
            Err(StageError::InputMissing) => {
                record.trace(format_args!("a stage result is missing"));
                continue;
            }
            Err(StageError::Failed(reason)) => {
                return refuse_request(record, ResultCode::Shed, reason, Some(RETRY_AFTER));
            }
            Err(StageError::CrashesTargets(retry_after)) => {
                let refusal = SuspectRefusal::crashes_targets(traffic, record, retry_after);
                return refuse_suspect(record, &refusal);
            }
            Err(StageError::Infeasible { retry_after }) => {
                let reason = "its stages can't be done while its client waits";
                return refuse_request(record, ResultCode::Shed, reason, Some(retry_after));
            }
        };
        drop(flow);
        let job = ForwardJob {
            record,
            context: &context,
            parts,
            body,
            results: &results,
        };
        match forward(traffic, &job).await {
            ForwardOutcome::Response(response) => return response,
            ForwardOutcome::InputMissing => record.trace(format_args!("a stage result is missing")),
        }
    }
    let reason = "results of stages were gone";
    refuse_request(record, ResultCode::Shed, reason, Some(RETRY_AFTER))
}

/// Waits until the node is about to stop.
async fn wait_shutdown(traffic: &Traffic) -> StageError {
    // Nothing is sent over the channel; closing it is the signal.
    let _ = traffic.shutdown.recv().await;
    StageError::Failed("the node stops")
}

/// Refuses a request whose stages would end too late.
fn refuse_late(record: &RequestRecord, refusal: &FlowRefusal) -> Response<ResponseBody> {
    record.trace(format_args!(
        "stages would end {}ms late",
        refusal.lateness.as_millis()
    ));
    let reason = "the queues of its stages are too long";
    let retry_after = refusal.retry_after.max(RETRY_AFTER);
    refuse_request(
        record,
        ResultCode::DeadlineTooShort,
        reason,
        Some(retry_after),
    )
}

/// Refuses a request because targets have crashed while running it. This attempt of it has not run.
pub(crate) fn refuse_suspect(
    record: &RequestRecord,
    refusal: &SuspectRefusal,
) -> Response<ResponseBody> {
    refuse_request(
        record,
        refusal.code,
        refusal.reason(),
        Some(refusal.retry_after),
    )
}

/// Refuses a request that resumes a stream, because no target may go on with it.
fn refuse_resume(record: &RequestRecord, refusal: &ResumeRefusal) -> Response<ResponseBody> {
    refuse_request(record, refusal.code, refusal.reason, Some(RETRY_AFTER))
}

/// Refuses a request that no target accepts in time.
fn refuse_unavailable(record: &RequestRecord, error: AvailabilityError) -> Response<ResponseBody> {
    match error {
        AvailabilityError::NoTarget => {
            let reason = "no target is left";
            refuse_request(record, ResultCode::NoTarget, reason, Some(RETRY_AFTER))
        }
        AvailabilityError::TooLate(retry_after) => refuse_backoff(record, retry_after),
    }
}

/// Refuses a request whose targets have all asked for backoff for longer than it has time.
pub(crate) fn refuse_backoff(
    record: &RequestRecord,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let reason = "all targets want rest";
    refuse_request(record, ResultCode::NoTarget, reason, Some(retry_after))
}

/// Refuses a request whose targets' rate limits allow no call in time.
pub(crate) fn refuse_limited(
    record: &RequestRecord,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let reason = "the limits of its targets leave no call for it in time";
    let retry_after = retry_after.max(RETRY_AFTER);
    refuse_request(record, ResultCode::NoTarget, reason, Some(retry_after))
}
