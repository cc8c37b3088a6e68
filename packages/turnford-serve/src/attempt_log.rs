//! The attempts of one request so far, and what they allow next.

use std::cell::Cell;

use http::Response;
use http::StatusCode;

use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::answer::ResponseBody;
use crate::call_error::CallError;
use crate::forward::ForwardJob;
use crate::forward::ForwardOutcome;
use crate::metrics::ServiceEvent;
use crate::request::refuse_suspect;
use crate::retries::try_take_retries;
use crate::target_connection::ConnectionChoice;
use crate::traffic::Traffic;
use crate::trial::SuspectRefusal;

/// Maximum number of targets that a request tries without reaching one. Fewer than this are
/// normally down together.
const MAX_UNREACHED: usize = 8;

/// Number of times that a request returns to a target whose rate limit was used up when it was to
/// be sent.
const MAX_LIMITED_RETRIES: usize = 3;

/// State of the attempts so far.
#[derive(Default)]
pub(crate) struct AttemptLog {
    pub(crate) tried: Vec<TargetId>,
    /// Number of attempts that count towards the route's limit, with those that may have run before the final
    /// call began anew.
    pub(crate) attempts: u32,
    /// Number of the request's sends before its final call began anew, for lack of a stage result.
    earlier_sends: u32,
    /// Whether a response to another call arrived in place of that of an earlier attempt.
    has_other_response: bool,
    /// Number of the request's sends before the current attempt.
    pub(crate) sends_before: u32,
    /// Whether the retry of the next attempt was already taken from the service's allowance.
    pub(crate) has_retry: Cell<bool>,
    /// Number of targets that were not reached.
    unreached: usize,
    /// Number of times that a target's rate limit was used up when the request was to be sent.
    limited: usize,
    /// How the last target failed the request, if no better response follows.
    pub(crate) failure: Option<AttemptFailure>,
}

impl AttemptLog {
    pub(crate) fn new(job: &ForwardJob<'_>) -> Self {
        Self {
            attempts: job.record.sends.runs(),
            earlier_sends: job.record.sends.sent(),
            ..Self::default()
        }
    }

    /// Returns whether an attempt that is sent now is a retry.
    pub(crate) fn is_repeat(&self) -> bool {
        self.attempts > 0 || self.earlier_sends > 0
    }
}

/// A target's error response.
pub(crate) enum AttemptFailure {
    /// It is returned to the client as it is.
    Response(Response<ResponseBody>),
    /// Its status promises the client that the request has not run, which the target did not say.
    FalsePromise,
}

pub(crate) fn may_attempt(traffic: &Traffic, job: &ForwardJob<'_>, log: &AttemptLog) -> bool {
    let may_retry = !job.record.sends.may_have_run() || job.record.route.is_repeatable();
    let has_time = traffic.shared.now() < job.record.deadline;
    may_retry
        && has_time
        && log.attempts < job.record.route.max_targets
        && log.unreached < MAX_UNREACHED
}

/// Returns the connections that the next attempt may use. If its response is lost to a repeated one, another
/// attempt may not be allowed.
pub(crate) fn connection_choice(job: &ForwardJob<'_>, log: &AttemptLog) -> ConnectionChoice {
    // A target that refused the same attempt before, for a missing input, may repeat that refusal.
    if log.has_other_response || log.earlier_sends > 0 {
        return ConnectionChoice::New;
    }
    let is_last = log.attempts + 1 >= job.record.route.max_targets;
    if is_last || !job.record.route.is_repeatable() {
        return ConnectionChoice::AvoidRepeats;
    }
    ConnectionChoice::Any
}

/// Takes a retry from the service's allowance.
pub(crate) fn try_take_retry(traffic: &Traffic, job: &ForwardJob<'_>) -> bool {
    let allowed = try_take_retries(traffic, job.context, 1);
    if !allowed {
        job.record
            .trace(format_args!("no retry allowed for another target"));
    }
    allowed
}

/// Records the error of an attempt. Returns the end of the request if no further attempt may follow.
pub(crate) fn record_error(
    traffic: &Traffic,
    job: &ForwardJob<'_>,
    log: &mut AttemptLog,
    target: &TargetSpec,
    error: &CallError,
) -> Option<ForwardOutcome> {
    let now = traffic.shared.now();
    let mut table = job.context.targets.borrow_mut();
    match error {
        CallError::Unavailable(reason) => {
            // This does not count as an attempt: nothing was sent to the target.
            job.record
                .trace(format_args!("{} not called: {reason}", target.id));
            if log.is_repeat() {
                job.context.allowance.borrow_mut().release();
            }
        }
        CallError::Limited => {
            // This does not count as an attempt either; the same target may have a permit later.
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Limited);
            job.record.trace(format_args!(
                "{} not called: its rate limit is used up",
                target.id
            ));
            if log.is_repeat() {
                job.context.allowance.borrow_mut().release();
            }
            log.limited += 1;
            if log.limited <= MAX_LIMITED_RETRIES {
                log.tried.retain(|tried| *tried != target.id);
            }
        }
        CallError::CrashesTargets(retry_after) => {
            if log.is_repeat() {
                job.context.allowance.borrow_mut().release();
            }
            if !job.record.sends.may_have_run() {
                let refusal = SuspectRefusal::crashes_targets(traffic, job.record, *retry_after);
                return Some(ForwardOutcome::Response(refuse_suspect(
                    job.record, &refusal,
                )));
            }
            job.record
                .trace(format_args!("not sent again: it crashes targets"));
        }
        CallError::NotSent(reason) | CallError::NoRelay(reason) => {
            log.unreached += 1;
            job.record
                .trace(format_args!("{} not reached: {reason}", target.id));
        }
        CallError::NotRun(status) => {
            log.attempts += 1;
            job.record
                .trace(format_args!("{} did not run it: {status}", target.id));
            if *status == StatusCode::CONFLICT {
                return Some(ForwardOutcome::InputMissing);
            }
            table.record_refusal(now, &target.id);
        }
        CallError::Disconnected(_) | CallError::OtherResponse | CallError::Unknown(_) => {
            let reason = error.reason();
            log.attempts += 1;
            log.has_other_response |= *error == CallError::OtherResponse;
            job.record
                .trace(format_args!("{} gave no response: {reason}", target.id));
            table.record_failure(&target.id);
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::CallFailed);
        }
    }
    None
}
