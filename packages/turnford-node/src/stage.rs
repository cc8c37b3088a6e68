//! Runs one stage of a request: acquires a target, calls it, and retries where that is safe.

use std::time::Duration;

use async_channel::Sender;
use turnford_config::CallKind;
use turnford_config::StageSpec;
use turnford_policy::AttemptEvidence;
use turnford_policy::Moment;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;
use turnford_policy::StageOutcome;
use turnford_policy::StagePlacement;
use turnford_policy::StageWork;
use turnford_target::StreamStep;
use turnford_target::TargetAddress;
use turnford_target::TargetCall;
use turnford_target::TargetError;
use turnford_target::TargetResponse;

use crate::admit::stage_length;
use crate::admit::AdmittedRequest;
use crate::claim::ClaimGuard;
use crate::metrics::NodeEvent;
use crate::outcome::StageRecord;
use crate::stage_pool::PlacementGuard;
use crate::stage_pool::PlacementRefusal;
use crate::stage_pool::StagePool;

/// Maximum number of attempts of one stage.
const MAX_ATTEMPTS: u8 = 4;

/// Time past the deadline for calls that must not be repeated, so that their outcome is known more
/// often.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Lower bound of the loss timeout, so that a brief stall doesn't time out a short stage.
const MIN_LOSS_TIMEOUT: Duration = Duration::from_millis(250);

/// Characters of an input that are hashed as its prefix.
const PREFIX_CHARS: usize = 64;

/// Reason why a stage, and with it the request, failed.
pub(crate) struct StageFailure {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

/// The state of one stage's execution, over all attempts.
pub(crate) struct StageRun<'a> {
    request: &'a AdmittedRequest,
    index: usize,
    spec: &'a StageSpec,
    input: &'a str,
    tokens: Option<&'a Sender<String>>,
    /// Output streamed so far, over all attempts.
    streamed: String,
    received: u32,
}

impl<'a> StageRun<'a> {
    pub(crate) fn new(
        request: &'a AdmittedRequest,
        index: usize,
        input: &'a str,
        tokens: Option<&'a Sender<String>>,
    ) -> Self {
        Self {
            request,
            index,
            spec: &request.template.stages[index],
            input,
            tokens,
            streamed: String::new(),
            received: 0,
        }
    }

    fn now(&self) -> Moment {
        self.request.state.clock.now()
    }

    fn max_tokens(&self) -> u32 {
        match self.spec.kind {
            CallKind::Generate => self.request.parameters.max_tokens,
            _ => 0,
        }
    }

    /// Builds the work item for the stage's pool.
    fn work(&self, pool: &StagePool) -> StageWork {
        let request = self.request;
        let length = stage_length(self.spec, self.input, request.parameters.max_tokens);
        let expected = pool.with(|now, pool| pool.expected_time(now, length));
        let later = self.expected_later();
        let deadline = request.budget.deadline();
        let generates = self.spec.kind == CallKind::Generate;
        StageWork {
            account: request.account.name.clone(),
            class: request.account.class,
            share: request.account.share,
            cost_weight: request.account.cost_weight,
            length,
            expected_time: expected,
            latest_start: request.budget.latest_start(self.index),
            latest_end: request.budget.latest_end(self.index),
            infeasible_after: deadline.saturating_sub(later + expected),
            model: self.spec.model.clone(),
            prefix: generates.then(|| prefix_hash(self.input)),
            tried: Vec::new(),
        }
    }

    /// Returns the expected time of all later stages together.
    fn expected_later(&self) -> Duration {
        let request = self.request;
        let later = request.template.stages.iter().skip(self.index + 1);
        let mut sum = Duration::ZERO;
        for stage in later {
            let length = stage_length(stage, self.input, request.parameters.max_tokens);
            let pool = request.state.pool(&stage.service);
            sum += pool.map_or(Duration::ZERO, |pool| {
                pool.with(|now, pool| pool.expected_time(now, length))
            });
        }
        sum
    }

    /// Returns the timeout of one attempt.
    ///
    /// A call with a single response times out as soon as it is probably lost, provided that a full
    /// retry still fits before the deadline. A token stream needs no such timeout, as its tokens
    /// show that it is alive.
    fn attempt_timeout(&self, pool: &StagePool, work: &StageWork) -> Duration {
        let now = self.now();
        let remaining = self.request.budget.deadline().saturating_sub(now);
        if !self.spec.repeatable {
            return remaining + DEADLINE_GRACE;
        }
        if self.spec.kind == CallKind::Generate {
            return remaining;
        }
        let loss_timeout = pool.with(|now, pool| pool.loss_timeout(now, work.length));
        let loss_timeout = loss_timeout.map(|timeout| timeout.max(MIN_LOSS_TIMEOUT));
        let fitting = loss_timeout.filter(|timeout| *timeout + work.expected_time <= remaining);
        fitting.unwrap_or(remaining)
    }
}

/// Runs a stage to completion and returns its output.
///
/// # Errors
///
/// Returns the failure that ends the request.
pub(crate) async fn run_stage(
    mut run: StageRun<'_>,
    evidence: &mut RequestEvidence,
    mut claim: Option<&mut ClaimGuard>,
) -> Result<(String, StageRecord), StageFailure> {
    let state = run.request.state.clone();
    let Some(pool) = state.pool(&run.spec.service) else {
        return Err(failure(
            ResultCode::NoTarget,
            "no target of the service is known",
        ));
    };
    let started = run.now();
    let mut work = run.work(&pool);
    let mut guard = pool.place(work.clone()).await.map_err(placement_failure)?;
    let mut attempt = 0;
    // The error of the last attempt that may have run.
    let mut failed = None;
    loop {
        let waited = run.now().saturating_sub(started);
        // Checked immediately before the send, so that a suspended request doesn't use an old
        // claim.
        let claimed = claim.as_mut().filter(|_| !run.spec.repeatable);
        if claimed.is_some_and(|claim| !claim.try_record_send()) {
            return Err(failure(
                ResultCode::ClaimUnavailable,
                "the claim is too old to be used",
            ));
        }
        let result = run_attempt(&mut run, &pool, &work, &guard, attempt, evidence).await;
        let (result, known) = result;
        if let Some(claim) = claim.as_mut().filter(|_| !run.spec.repeatable) {
            claim.record_end(known);
        }
        attempt += 1;
        let placement = guard.placement().cloned();
        let error = match result {
            Ok(response) => {
                guard.finish(StageOutcome::Completed);
                let record = record_completion(&run, placement, &response, attempt, waited);
                return Ok((response.output, record));
            }
            Err(error) => error,
        };
        guard.finish(outcome_of(error));
        if error == TargetError::AttemptMismatch {
            state.metrics.record_event(NodeEvent::AttemptMismatch);
        }
        if !known.is_not_run() {
            failed = Some(error);
        }
        if let (TargetError::Leaving, Some(placement)) = (error, &placement) {
            state
                .control
                .signal_leaving(&run.spec.service, &placement.target);
        }
        work.tried
            .extend(placement.map(|placement| placement.target));
        let next = place_next_attempt(&run, &pool, &work, error, attempt).await;
        guard = next.ok_or_else(|| final_failure(&run, failed.unwrap_or(error)))?;
        state.metrics.record_event(NodeEvent::Retry);
    }
}

/// Makes one attempt and returns its evidence, too. The evidence counts it as sent before the first byte is
/// written.
async fn run_attempt(
    run: &mut StageRun<'_>,
    pool: &StagePool,
    work: &StageWork,
    guard: &PlacementGuard,
    attempt: u8,
    evidence: &mut RequestEvidence,
) -> (Result<TargetResponse, TargetError>, AttemptEvidence) {
    let state = run.request.state.clone();
    let target = guard.placement().map(|placement| placement.target.clone());
    let address = target.and_then(|target| state.addresses.load().get(&target).copied());
    let Some(address) = address else {
        return (Err(TargetError::NotSent), AttemptEvidence::NotSent);
    };
    let call = TargetCall {
        attempt: run.request.trace.with_attempt(run.index as u8, attempt),
        priority: run.request.account.class,
        input: run.input.to_owned(),
        max_tokens: run.max_tokens(),
        resume_from: run.received,
        limit: run.attempt_timeout(pool, work),
    };
    evidence.record_send();
    let result = if run.spec.kind == CallKind::Generate {
        stream_attempt(run, address, &call).await
    } else {
        state.targets.run(address, &call).await
    };
    let known = match &result {
        Ok(_) => AttemptEvidence::Ran,
        Err(_) if run.received > call.resume_from => AttemptEvidence::Ran,
        Err(error) => error.evidence(),
    };
    evidence.record_end(known);
    (result, known)
}

/// Reads a token stream and forwards its tokens.
async fn stream_attempt(
    run: &mut StageRun<'_>,
    address: TargetAddress,
    call: &TargetCall,
) -> Result<TargetResponse, TargetError> {
    let state = run.request.state.clone();
    if call.resume_from > 0 {
        state.metrics.record_event(NodeEvent::Resume);
    }
    let mut stream = state.targets.stream(address, call).await?;
    loop {
        match stream.next().await? {
            StreamStep::Token(token) => {
                run.received = stream.received();
                run.streamed.push_str(&token);
                if let Some(tokens) = run.tokens {
                    // The receiver outlives this future.
                    let _ = tokens.send(token).await;
                }
            }
            StreamStep::Done { tokens, cached } => {
                let output = std::mem::take(&mut run.streamed);
                return Ok(TargetResponse {
                    output,
                    tokens,
                    cached,
                });
            }
        }
    }
}

/// Acquires a target for another attempt, if that is safe, useful and within the retry budget.
async fn place_next_attempt(
    run: &StageRun<'_>,
    pool: &std::sync::Arc<StagePool>,
    work: &StageWork,
    error: TargetError,
    attempt: u8,
) -> Option<PlacementGuard> {
    if attempt >= MAX_ATTEMPTS || run.now() >= run.request.budget.deadline() {
        return None;
    }
    let not_run = error.evidence().is_not_run();
    if !run.spec.repeatable && !not_run {
        return None;
    }
    if let Some(guard) = pool.place_retry(work) {
        return Some(guard);
    }
    // A call that never started cost its target nothing, so it may queue like a first attempt.
    if not_run {
        return pool.place(work.clone()).await.ok();
    }
    None
}

fn outcome_of(error: TargetError) -> StageOutcome {
    match error {
        TargetError::Full => StageOutcome::RefusedFull,
        TargetError::Leaving => StageOutcome::Leaving,
        TargetError::Timeout => StageOutcome::TimedOut,
        TargetError::NotSent
        | TargetError::Failed
        | TargetError::Disconnected
        | TargetError::AttemptMismatch
        | TargetError::Malformed => StageOutcome::Failed,
    }
}

/// Returns the failure of a stage that isn't retried, from the error of its last attempt that may have run.
fn final_failure(run: &StageRun<'_>, error: TargetError) -> StageFailure {
    let is_late = run.now() >= run.request.budget.deadline();
    let code = match error {
        TargetError::NotSent | TargetError::Full | TargetError::Leaving => ResultCode::NoTarget,
        TargetError::Timeout if run.spec.repeatable && is_late => ResultCode::DeadlinePassed,
        TargetError::Failed if run.received > 0 => ResultCode::StreamBroken,
        TargetError::Failed => ResultCode::StageFailed,
        _ if !run.spec.repeatable => ResultCode::OutcomeUnknown,
        _ if run.received > 0 => ResultCode::StreamBroken,
        TargetError::Disconnected | TargetError::Timeout => ResultCode::StageFailed,
        TargetError::AttemptMismatch | TargetError::Malformed => ResultCode::AnswerInvalid,
    };
    failure(code, &format!("stage {}: {error}", run.spec.name))
}

fn placement_failure(refusal: PlacementRefusal) -> StageFailure {
    StageFailure {
        code: refusal.code,
        message: "the stage was not started".to_owned(),
        retry_after: Some(refusal.retry_after),
    }
}

fn failure(code: ResultCode, message: &str) -> StageFailure {
    StageFailure {
        code,
        message: message.to_owned(),
        retry_after: None,
    }
}

fn record_completion(
    run: &StageRun<'_>,
    placement: Option<StagePlacement>,
    response: &TargetResponse,
    attempts: u8,
    waited: Duration,
) -> StageRecord {
    let placed_at = placement
        .as_ref()
        .map_or(Moment::ZERO, |placement| placement.placed_at);
    let time = run.now().saturating_sub(placed_at);
    let metrics = &run.request.state.metrics;
    metrics.record_stage(&run.spec.service, &run.spec.name, waited, time);
    StageRecord {
        stage: run.spec.name.clone(),
        target: placement.map_or_else(String::new, |placement| placement.target.to_string()),
        attempts,
        wait_ms: waited.as_secs_f64() * 1000.0,
        run_ms: time.as_secs_f64() * 1000.0,
        tokens: response.tokens,
        cached: response.cached,
    }
}

/// Hashes the prefix of an input, which engines cache. Different accounts share no hash in practice
/// because each account's prompts begin with its own text. A collision would cost time, not
/// correctness.
fn prefix_hash(input: &str) -> u64 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let prefix: String = input.chars().take(PREFIX_CHARS).collect();
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}
