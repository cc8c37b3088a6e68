//! The request's own call: to one target, and to another where that is allowed.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::request::Parts;
use http::Response;
use http::StatusCode;

use turnford_adapter::encode_forward;
use turnford_adapter::ForwardContext;
use turnford_policy::CallKind;
use turnford_policy::ResultCode;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::answer::error_response;
use crate::answer::proxied_response;
use crate::answer::RanStatus;
use crate::answer::ResponseBody;
use crate::availability::return_span;
use crate::call::call_target;
use crate::call::CallError;
use crate::call::CallPurpose;
use crate::call::TargetResponse;
use crate::crash::record_clean_end;
use crate::crash::BrokenCall;
use crate::crash_check::check_broken_call;
use crate::metrics::ServiceEvent;
use crate::placed_run::PlacedRun;
use crate::placement::place_request;
use crate::placement::PlacementOptions;
use crate::placement::PlacementOutcome;
use crate::record::RequestRecord;
use crate::request::refuse_limited;
use crate::request::refuse_resting;
use crate::request::refuse_suspect;
use crate::results::StageResults;
use crate::service_context::ServiceContext;
use crate::stream::relay_stream;
use crate::traffic::Traffic;
use crate::wait_queue::QueuePosition;

/// Largest answer that is held to its end before the client gets it, in bytes. Nothing else bounds
/// answers.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Most targets that a request looks at without reaching one: more than are down together in
/// ordinary times.
const UNREACHED_LIMIT: usize = 8;

/// Times that a request asks again for a call of a target whose limit was used up when it was to be sent.
const LIMITED_TRIES: usize = 3;

/// Time after which a target has fetched the inputs of a request that it was sent: it does so before
/// it reads the prompt.
const FETCH_SPAN: Duration = Duration::from_millis(80);

/// Time to come back after a refusal by which a failed target has been replaced or has recovered.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request with what its stages gave.
pub(crate) struct ForwardJob<'a> {
    pub(crate) record: &'a Rc<RequestRecord>,
    pub(crate) desk: &'a Rc<ServiceContext>,
    pub(crate) parts: &'a Parts,
    pub(crate) body: &'a Bytes,
    pub(crate) results: &'a StageResults,
}

/// How the call ended.
pub(crate) enum ForwardEnd {
    /// The client's answer.
    Answer(Response<ResponseBody>),
    /// A result of the stages was gone; nothing ran.
    InputGone,
}

/// What is known of the tries so far.
struct TryLog {
    /// Targets that were tried.
    tried: Vec<TargetId>,
    /// Requests handed over to a target.
    sent: u32,
    /// Whether one of them may have run.
    may_have_run: bool,
    /// Targets that were not reached.
    unreached: usize,
    /// Targets whose limits let the request through no more when it was to be sent.
    limited: usize,
    /// An answer that says that the target failed, kept in case nothing better comes.
    failed: Option<Response<ResponseBody>>,
}

/// Calls targets until one answers or no further one may be called.
pub(crate) async fn forward(traffic: &Rc<Traffic>, job: &ForwardJob<'_>) -> ForwardEnd {
    let mut log = TryLog {
        tried: Vec::new(),
        sent: 0,
        may_have_run: false,
        unreached: 0,
        limited: 0,
        failed: None,
    };
    let now = traffic.shared.now();
    job.desk.allowance.borrow_mut().record_first_attempt(now);
    job.record.note_last_begun();
    while may_try(traffic, job, &log) {
        let wish = PlacementOptions {
            inputs: &job.results.halls,
            tried: &log.tried,
            // Where a target failed at it, its answer is not held back for another's rest.
            may_wait: !log.may_have_run,
        };
        let placed = place_request(traffic, job.record, job.desk, &wish).await;
        let mut placed = match placed {
            PlacementOutcome::Placed(placed) => placed,
            PlacementOutcome::Suspect(refusal) if !log.may_have_run => {
                return ForwardEnd::Answer(refuse_suspect(job.record, &refusal));
            }
            PlacementOutcome::Suspect(refusal) => {
                job.record.note(format_args!("{}", refusal.reason()));
                break;
            }
            PlacementOutcome::TooLate(back_after) if !log.may_have_run => {
                return ForwardEnd::Answer(refuse_resting(job.record, back_after));
            }
            PlacementOutcome::Full(back_after) if !log.may_have_run => {
                return ForwardEnd::Answer(refuse_limited(job.record, back_after));
            }
            PlacementOutcome::TooLate(_)
            | PlacementOutcome::Full(_)
            | PlacementOutcome::Nowhere => break,
        };
        let target = placed.target.clone();
        log.tried.push(target.id.clone());
        if log.sent > 0 && !take_repeat(traffic, job, &target) {
            break;
        }
        // From its first step on the call counts at its target; then the next that waits may look.
        let call = try_target(traffic, job, &target, placed.turn.take());
        match call.await {
            Ok(answer) => {
                if let Some(end) = take_answer(traffic, job, &mut log, *placed, answer).await {
                    return end;
                }
            }
            Err(fault) => {
                if !matches!(
                    fault,
                    CallError::Unavailable(_)
                        | CallError::Limited
                        | CallError::NotRun(StatusCode::CONFLICT)
                ) {
                    placed.note_refused();
                }
                if let Some(end) = note_fault(traffic, job, &mut log, &target, &fault) {
                    return end;
                }
                if matches!(fault, CallError::Disconnected(_)) {
                    // An engine that begins to run a request sends the head of its answer.
                    let has_started = job.desk.spec.borrow().engine.is_none();
                    note_break(traffic, job, &log, *placed, has_started).await;
                }
            }
        }
    }
    ForwardEnd::Answer(give_up(traffic, job, log))
}

fn may_try(traffic: &Traffic, job: &ForwardJob<'_>, log: &TryLog) -> bool {
    let may_repeat = !log.may_have_run || job.record.route.is_repeatable();
    let has_time = traffic.shared.now() < job.record.deadline;
    may_repeat
        && has_time
        && log.sent < job.record.route.max_targets
        && log.unreached < UNREACHED_LIMIT
}

/// Takes a repeat from the service's allowance.
fn take_repeat(traffic: &Traffic, job: &ForwardJob<'_>, target: &TargetSpec) -> bool {
    let now = traffic.shared.now();
    let allowed = job.desk.allowance.borrow_mut().try_take(now);
    let event = if allowed {
        ServiceEvent::Repeated
    } else {
        job.record
            .note(format_args!("no room to try another target"));
        ServiceEvent::RepeatDenied
    };
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, event);
    allowed
}

async fn try_target(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    target: &TargetSpec,
    turn: Option<QueuePosition>,
) -> Result<TargetResponse, CallError> {
    let record = job.record;
    let left = record.left();
    let is_engine = job.desk.spec.borrow().engine.is_some();
    let order = ForwardContext {
        instance: &target.id,
        remaining: left,
        account: record.account.as_deref(),
        rank: is_engine.then_some(record.rank),
        inputs: &job.results.handles,
        last_event_id: None,
    };
    let request = encode_forward(job.parts, job.body.clone(), &order).map_err(|problem| {
        log::warn!("request={} not passed on: {problem}", record.facts.attempt);
        CallError::NotSent("the request can't be passed on")
    })?;
    record.note(format_args!(
        "to {} in {}, left {}ms",
        target.id,
        target.hall,
        left.as_millis()
    ));
    drop(turn);
    let purpose = CallPurpose::Request(&record.facts.attempt);
    let call = call_target(traffic, job.desk, target, request, purpose, left);
    let fetched = async {
        Timer::after(FETCH_SPAN).await;
        job.results.give_up();
        std::future::pending().await
    };
    call.or(fetched).await
}

/// Takes a target's answer: to the client, or to try another target.
async fn take_answer(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    log: &mut TryLog,
    placed: PlacedRun,
    answer: TargetResponse,
) -> Option<ForwardEnd> {
    let target = placed.target.clone();
    let record = job.record;
    let status = answer.parts.status;
    record.note(format_args!("answer {status}"));
    let is_stream = record.route.kind == CallKind::Stream && status.is_success();
    if is_stream {
        job.desk.note_success(traffic.shared.now(), &target.id);
        let answer = relay_stream(traffic, job.record, job.desk, placed, answer);
        return Some(ForwardEnd::Answer(answer));
    }
    let (parts, body) = match answer.collect(traffic, ANSWER_LIMIT).await {
        Ok(whole) => whole,
        Err(fault) => {
            let end = note_fault(traffic, job, log, &target, &fault);
            note_break(traffic, job, log, placed, true).await;
            return end;
        }
    };
    log.sent += 1;
    log.may_have_run = true;
    let passed = proxied_response(&parts, ResponseBody::whole(body));
    if status.is_server_error() {
        job.desk.targets.borrow_mut().record_failure(&target.id);
        if record.route.is_repeatable() {
            log.failed = Some(passed);
            return None;
        }
    } else {
        job.desk.note_success(traffic.shared.now(), &target.id);
    }
    record.note_head();
    if status.is_success() {
        record_clean_end(traffic, &record.digest.get());
        job.desk
            .note_last(record.facts.unique_tokens(), record.last_elapsed());
    }
    record.end(passed_code(traffic, job, status), "");
    Some(ForwardEnd::Answer(passed))
}

fn passed_code(traffic: &Traffic, job: &ForwardJob<'_>, status: StatusCode) -> ResultCode {
    if !status.is_success() {
        return ResultCode::StageFailed;
    }
    if traffic.shared.now() > job.record.deadline {
        return ResultCode::DoneLate;
    }
    ResultCode::Done
}

/// Has it found out whether the target crashed under the request. Where the request may be sent again,
/// that waits until it is known.
async fn note_break(
    traffic: &Rc<Traffic>,
    job: &ForwardJob<'_>,
    log: &TryLog,
    placed: PlacedRun,
    has_started: bool,
) {
    let call = BrokenCall {
        digest: job.record.digest.get(),
        target: placed.target.clone(),
        is_alone: placed.is_alone,
        has_started,
        at: traffic.shared.now(),
    };
    let check = check_broken_call(traffic.clone(), job.desk.clone(), call, placed);
    let check = traffic.executor.spawn(check);
    if may_try(traffic, job, log) {
        check.await;
    } else {
        check.detach();
    }
}

fn note_fault(
    traffic: &Traffic,
    job: &ForwardJob<'_>,
    log: &mut TryLog,
    target: &TargetSpec,
    fault: &CallError,
) -> Option<ForwardEnd> {
    let now = traffic.shared.now();
    let mut board = job.desk.targets.borrow_mut();
    match fault {
        CallError::Unavailable(reason) => {
            // No try: nothing was to reach the target.
            job.record
                .note(format_args!("{} not asked: {reason}", target.id));
            if log.sent > 0 {
                job.desk.allowance.borrow_mut().release();
            }
        }
        CallError::Limited => {
            // No try either; there may be a permit again for the same target.
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Limited);
            job.record.note(format_args!(
                "{} not asked: its limit is used up",
                target.id
            ));
            if log.sent > 0 {
                job.desk.allowance.borrow_mut().release();
            }
            log.limited += 1;
            if log.limited <= LIMITED_TRIES {
                log.tried.retain(|tried| *tried != target.id);
            }
        }
        CallError::NotSent(reason) => {
            log.unreached += 1;
            job.record
                .note(format_args!("{} not reached: {reason}", target.id));
        }
        CallError::NotRun(status) => {
            log.sent += 1;
            job.record
                .note(format_args!("{} did not run it: {status}", target.id));
            if *status == StatusCode::CONFLICT {
                return Some(ForwardEnd::InputGone);
            }
            board.record_refusal(now, &target.id);
        }
        CallError::Disconnected(reason) | CallError::Unknown(reason) => {
            log.sent += 1;
            log.may_have_run = true;
            job.record
                .note(format_args!("{} gave no answer: {reason}", target.id));
            board.record_failure(&target.id);
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::CallFailed);
        }
    }
    None
}

/// Returns the final answer where no target gave one.
fn give_up(traffic: &Traffic, job: &ForwardJob<'_>, log: TryLog) -> Response<ResponseBody> {
    let record = job.record;
    if let Some(answer) = log.failed {
        record.note_head();
        record.end(ResultCode::StageFailed, "a target failed at it");
        return answer;
    }
    let is_late = traffic.shared.now() >= record.deadline;
    let (code, ran, reason) = if log.may_have_run {
        let code = if is_late {
            ResultCode::DeadlinePassed
        } else {
            ResultCode::OutcomeUnknown
        };
        (code, RanStatus::Unknown, "no target gave an answer")
    } else {
        (ResultCode::NoTarget, RanStatus::No, "no target took it")
    };
    record.end(code, reason);
    let retry_after = (ran == RanStatus::No).then(|| return_span(traffic, job.desk));
    error_response(&record.facts.attempt, code, ran, reason, retry_after)
}
