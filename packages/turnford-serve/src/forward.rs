//! The final call of a request: to one target, and to further ones where the route allows it.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::request::Parts;
use http::Response;
use http::StatusCode;

use turnford_adapter::encode_forward;
use turnford_adapter::promises_not_run;
use turnford_adapter::ForwardContext;
use turnford_policy::CallKind;
use turnford_policy::ResultCode;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::answer::fail_request;
use crate::answer::proxied_response;
use crate::answer::refuse_request;
use crate::answer::RequestFailure;
use crate::answer::ResponseBody;
use crate::attempt_log::connection_choice;
use crate::attempt_log::may_attempt;
use crate::attempt_log::record_error;
use crate::attempt_log::try_take_retry;
use crate::attempt_log::AttemptFailure;
use crate::attempt_log::AttemptLog;
use crate::availability::suggest_retry_after;
use crate::call::call_target;
use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::crash::record_clean_end;
use crate::crash::BrokenCall;
use crate::crash_check::check_broken_call;
use crate::placed_run::PlacedRun;
use crate::placement::place_request;
use crate::placement::PlacementOptions;
use crate::placement::PlacementOutcome;
use crate::record::RequestRecord;
use crate::request::refuse_backoff;
use crate::request::refuse_limited;
use crate::request::refuse_suspect;
use crate::results::StageResults;
use crate::resume::unsuitable_targets;
use crate::service_context::ServiceContext;
use crate::stall::wait_stalled;
use crate::stream::relay_stream;
use crate::target_connection::ConnectionChoice;
use crate::target_response::TargetResponse;
use crate::traffic::Traffic;
use crate::wait_queue::QueuePosition;

/// Maximum size of a response that is buffered before it is sent to the client, in bytes. Nothing
/// else bounds responses.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time after which a target has fetched the inputs of a request: it does so before it reads the
/// prompt.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(80);

/// Time to retry after a refusal. By then a failed target has been replaced or has recovered.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request with the results of its stages.
pub(crate) struct ForwardJob<'a> {
    pub(crate) record: &'a Rc<RequestRecord>,
    pub(crate) context: &'a Rc<ServiceContext>,
    pub(crate) parts: &'a Parts,
    pub(crate) body: &'a Bytes,
    pub(crate) results: &'a StageResults,
}

pub(crate) enum ForwardOutcome {
    /// The client's response.
    Response(Response<ResponseBody>),
    /// A result of the stages was missing; nothing ran.
    InputMissing,
}

/// Calls targets until one responds or no further attempt is allowed.
pub(crate) async fn forward(traffic: &Rc<Traffic>, job: &ForwardJob<'_>) -> ForwardOutcome {
    let mut log = AttemptLog::new(job);
    if !log.is_repeat() {
        let now = traffic.shared.now();
        job.context.allowance.borrow_mut().record_first_attempt(now);
    }
    job.record.record_final_call_start();
    while may_attempt(traffic, job, &log) {
        let excluded = excluded_targets(job, &log);
        let options = PlacementOptions {
            inputs: &job.results.halls,
            tried: &excluded,
            // Once a target has failed the request, the error response is not delayed by another
            // target's backoff.
            may_wait: !job.record.sends.may_have_run(),
        };
        let placed = place_request(traffic, job.record, job.context, &options).await;
        let mut placed = match placed {
            PlacementOutcome::Placed(placed) => placed,
            PlacementOutcome::Suspect(refusal) if !job.record.sends.may_have_run() => {
                return ForwardOutcome::Response(refuse_suspect(job.record, &refusal));
            }
            PlacementOutcome::Suspect(refusal) => {
                job.record.trace(format_args!("{}", refusal.reason()));
                break;
            }
            PlacementOutcome::TooLate(retry_after) if !job.record.sends.may_have_run() => {
                return ForwardOutcome::Response(refuse_backoff(job.record, retry_after));
            }
            PlacementOutcome::Full(retry_after) if !job.record.sends.may_have_run() => {
                return ForwardOutcome::Response(refuse_limited(job.record, retry_after));
            }
            PlacementOutcome::TooLate(_)
            | PlacementOutcome::Full(_)
            | PlacementOutcome::NoTarget => break,
        };
        let target = placed.target.clone();
        log.tried.push(target.id.clone());
        if log.is_repeat() && !log.has_retry.take() && !try_take_retry(traffic, job) {
            break;
        }
        // The call counts as in flight from its first poll. Only then may the next waiting request
        // check for a slot.
        let connection = connection_choice(job, &log);
        log.sends_before = job.record.sends.sent();
        let call = try_target(traffic, job, &target, placed.position.take(), connection);
        let stalled = async {
            wait_stalled(traffic, job, &log).await;
            Err(CallError::Unknown("the response stalled"))
        };
        match call.or(stalled).await {
            Ok(response) => {
                if let Some(end) = handle_response(traffic, job, &mut log, *placed, response).await
                {
                    return end;
                }
            }
            Err(error) => {
                if !matches!(
                    error,
                    CallError::Unavailable(_)
                        | CallError::CrashesTargets(_)
                        | CallError::NoRelay(_)
                        | CallError::Limited
                        | CallError::NotRun(StatusCode::CONFLICT)
                ) {
                    placed.report_refusal();
                }
                if let Some(end) = record_error(traffic, job, &mut log, &target, &error) {
                    return end;
                }
                if matches!(error, CallError::Disconnected(_)) {
                    // Without a head, an engine may have had the request in its queue.
                    let has_started = job.context.spec.borrow().engine.is_none();
                    check_crash(traffic, job, &log, *placed, has_started).await;
                }
            }
        }
    }
    if log.has_retry.get() {
        job.context.allowance.borrow_mut().release();
    }
    ForwardOutcome::Response(final_response(traffic, job, log))
}

/// Returns the targets that the request may not be sent to: those tried before and, if it resumes a
/// stream, those of other versions than the one that began it.
fn excluded_targets(job: &ForwardJob<'_>, log: &AttemptLog) -> Vec<TargetId> {
    let source = job.record.source.borrow();
    let others = source
        .as_ref()
        .map(|source| unsuitable_targets(job.context, source));
    [&log.tried[..], &others.unwrap_or_default()].concat()
}

async fn try_target(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    target: &TargetSpec,
    position: Option<QueuePosition>,
    connection: ConnectionChoice,
) -> Result<TargetResponse, CallError> {
    let record = job.record;
    let remaining = record.remaining();
    let is_engine = job.context.spec.borrow().engine.is_some();
    let forward_context = ForwardContext {
        instance: &target.id,
        remaining,
        account: record.account.as_deref(),
        rank: is_engine.then_some(record.rank),
        inputs: &job.results.handles,
        last_event_id: None,
    };
    let request =
        encode_forward(job.parts, job.body.clone(), &forward_context).map_err(|error| {
            log::warn!(
                "request={} cannot be forwarded: {error}",
                record.attributes.attempt
            );
            CallError::NotSent("the request can't be encoded")
        })?;
    record.trace(format_args!(
        "sending to {} of version {} in {}, {}ms remaining",
        target.id,
        target.version.as_deref().unwrap_or("-"),
        target.hall,
        remaining.as_millis()
    ));
    drop(position);
    let source = record.source.borrow().clone();
    let keys = record.crash_keys();
    let purpose = CallPurpose::Request {
        attempt: &record.attributes.attempt,
        is_repeatable: record.route.is_repeatable(),
        connection,
        sends: &record.sends,
        version: source.as_ref().map(|source| &*source.version),
        keys: &keys,
    };
    let call = call_target(traffic, job.context, target, request, purpose, remaining);
    let fetched = async {
        Timer::after(INPUT_FETCH_TIME).await;
        job.results.release();
        std::future::pending().await
    };
    call.or(fetched).await
}

/// Handles a target's response. Returns `None` if another target should be tried.
async fn handle_response(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    log: &mut AttemptLog,
    placed: PlacedRun,
    mut response: TargetResponse,
) -> Option<ForwardOutcome> {
    let target = placed.target.clone();
    let record = job.record;
    let status = response.parts.status;
    match response.relay() {
        Some(peer) => record.trace(format_args!("response {status} relayed by {peer}")),
        None => record.trace(format_args!("response {status}")),
    }
    if promises_not_run(status) {
        // The target did not say so itself: it would have been an error of the call.
        log.attempts += 1;
        log.failure = Some(AttemptFailure::FalsePromise);
        job.context.targets.borrow_mut().record_failure(&target.id);
        return None;
    }
    record.framing.set(Some(response.body.framing()));
    let is_stream = record.route.kind == CallKind::Stream && status.is_success();
    if is_stream {
        response.body.expect_events();
        record.target_version.replace(target.version.clone());
        job.context.record_success(traffic.shared.now(), &target.id);
        let response = relay_stream(traffic, job.record, job.context, placed, response);
        return Some(ForwardOutcome::Response(response));
    }
    let stalled = async || wait_stalled(traffic, job, log).await;
    let read = response.collect_unless(traffic, MAX_RESPONSE_BYTES, stalled);
    let (parts, body) = match read.await {
        Ok(whole) => whole,
        Err(error) => {
            let end = record_error(traffic, job, log, &target, &error);
            if matches!(error, CallError::Disconnected(_)) {
                check_crash(traffic, job, log, placed, true).await;
            }
            return end;
        }
    };
    log.attempts += 1;
    let response = proxied_response(&parts, ResponseBody::full(body));
    if status.is_server_error() {
        job.context.targets.borrow_mut().record_failure(&target.id);
        if record.route.is_repeatable() {
            log.failure = Some(AttemptFailure::Response(response));
            return None;
        }
    } else {
        job.context.record_success(traffic.shared.now(), &target.id);
    }
    record.record_first_byte();
    if status.is_success() {
        record_clean_end(traffic, &record.crash_keys());
        job.context.record_final_call(
            record.attributes.unique_tokens(),
            record.final_call_elapsed(),
        );
    }
    record.end(result_code(traffic, job, status), "");
    Some(ForwardOutcome::Response(response))
}

fn result_code(traffic: &Traffic, job: &ForwardJob<'_>, status: StatusCode) -> ResultCode {
    if !status.is_success() {
        return ResultCode::StageFailed;
    }
    if traffic.shared.now() > job.record.deadline {
        return ResultCode::DoneLate;
    }
    ResultCode::Done
}

/// Checks whether the target crashed because of the request. If the request may be sent again,
/// waits for the result of the check.
async fn check_crash(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    log: &AttemptLog,
    placed: PlacedRun,
    has_started: bool,
) {
    let call = BrokenCall {
        keys: job.record.crash_keys(),
        target: placed.target.clone(),
        is_alone: placed.is_alone,
        has_started,
        at: traffic.shared.now(),
    };
    let check = check_broken_call(traffic.clone(), job.context.clone(), call, placed);
    let check = traffic.executor.spawn(check);
    if may_attempt(traffic, job, log) {
        check.await;
    } else {
        check.detach();
    }
}

/// Returns the final response if no target gave one.
fn final_response(
    traffic: &Traffic,
    job: &ForwardJob<'_>,
    log: AttemptLog,
) -> Response<ResponseBody> {
    let record = job.record;
    match log.failure {
        Some(AttemptFailure::Response(response)) => {
            record.record_first_byte();
            record.end(ResultCode::StageFailed, "a target returned an error");
            return response;
        }
        Some(AttemptFailure::FalsePromise) => {
            let reason = "a target failed it with the status of a refusal";
            return fail_request(record, RequestFailure::TargetFailed, reason);
        }
        None => {}
    }
    if !record.sends.may_have_run() {
        let retry_after = suggest_retry_after(traffic, job.context);
        let reason = "no target took it";
        return refuse_request(record, ResultCode::NoTarget, reason, Some(retry_after));
    }
    let is_late = traffic.shared.now() >= record.deadline;
    let failure = if is_late {
        RequestFailure::DeadlinePassed
    } else {
        RequestFailure::OutcomeUnknown
    };
    fail_request(record, failure, "no target gave an answer")
}
