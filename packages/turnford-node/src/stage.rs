//! One stage of one request: choose a target, run, and try again where that is safe.

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
use crate::answer::StageRecord;
use crate::claim::ClaimGuard;
use crate::metrics::NodeEvent;
use crate::place::PlaceGuard;
use crate::place::PlaceRefusal;
use crate::place::StagePool;

/// Most tries of one stage.
const TRY_LIMIT: u8 = 4;

/// Time past the deadline that a call which must not be repeated gets, so that its outcome is
/// known more often.
const LATE_GRACE: Duration = Duration::from_millis(500);

/// Least patience, so that short stages are not given up on a hiccup.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);

/// Characters that make the prefix of an input.
const PREFIX_CHARS: usize = 64;

/// Why a stage and with it the request ended early.
pub(crate) struct StageFailure {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

/// One stage about to run.
pub(crate) struct StageRun<'a> {
    request: &'a AdmittedRequest,
    index: usize,
    spec: &'a StageSpec,
    input: &'a str,
    tokens: Option<&'a Sender<String>>,
    /// Output of a stream so far, over all tries.
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

    /// Describes the stage's work for its pool.
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

    /// Returns the expected time of the later stages.
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

    /// Returns the time that one try gets.
    ///
    /// A call whose answer comes whole is given up early, once it looks lost, while another whole
    /// try fits behind it. A token stream shows by its tokens that it is alive.
    fn try_limit(&self, pool: &StagePool, work: &StageWork) -> Duration {
        let now = self.now();
        let left = self.request.budget.deadline().saturating_sub(now);
        if !self.spec.repeatable {
            return left + LATE_GRACE;
        }
        if self.spec.kind == CallKind::Generate {
            return left;
        }
        let patience = pool.with(|now, pool| pool.loss_timeout(now, work.length));
        let patience = patience.map(|patience| patience.max(LEAST_PATIENCE));
        let fits = patience.filter(|patience| *patience + work.expected_time <= left);
        fits.unwrap_or(left)
    }
}

/// Runs a stage to its output.
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
    let begun = run.now();
    let mut work = run.work(&pool);
    let mut place = pool.place(work.clone()).await.map_err(refused)?;
    let mut attempt = 0;
    loop {
        let waited = run.now().saturating_sub(begun);
        // Looked at right before the send, so that a request that slept does not use an old claim.
        let claimed = claim.as_mut().filter(|_| !run.spec.repeatable);
        if claimed.is_some_and(|claim| !claim.use_now()) {
            return Err(failure(
                ResultCode::ClaimUnavailable,
                "the claim is too old to be used",
            ));
        }
        let result = try_once(&mut run, &pool, &work, &place, attempt, evidence).await;
        attempt += 1;
        let placement = place.placement().cloned();
        let fault = match result {
            Ok(answer) => {
                place.finish(StageOutcome::Completed);
                let record = make_record(&run, placement, &answer, attempt, waited);
                return Ok((answer.output, record));
            }
            Err(fault) => fault,
        };
        place.finish(outcome_of(fault));
        if fault == TargetError::AttemptMismatch {
            state.metrics.note(NodeEvent::OtherAttempt);
        }
        if surely_not_run(fault) {
            if let Some(claim) = claim.as_mut().filter(|_| !run.spec.repeatable) {
                claim.unuse();
            }
        }
        if let (TargetError::Leaving, Some(placement)) = (fault, &placement) {
            state
                .control
                .signal_leaving(&run.spec.service, &placement.target);
        }
        work.tried
            .extend(placement.map(|placement| placement.target));
        let next = next_place(&run, &pool, &work, fault, attempt).await;
        place = next.ok_or_else(|| give_up(&run, fault))?;
        state.metrics.note(NodeEvent::Retry);
    }
}

/// Makes one try. The evidence counts it as sent before the first byte is written.
async fn try_once(
    run: &mut StageRun<'_>,
    pool: &StagePool,
    work: &StageWork,
    place: &PlaceGuard,
    attempt: u8,
    evidence: &mut RequestEvidence,
) -> Result<TargetResponse, TargetError> {
    let state = run.request.state.clone();
    let target = place.placement().map(|placement| placement.target.clone());
    let address = target.and_then(|target| state.addresses.load().get(&target).copied());
    let Some(address) = address else {
        return Err(TargetError::NotSent);
    };
    let call = TargetCall {
        attempt: run.request.trace.with_attempt(run.index as u8, attempt),
        priority: run.request.account.class,
        input: run.input.to_owned(),
        max_tokens: run.max_tokens(),
        resume_from: run.received,
        limit: run.try_limit(pool, work),
    };
    evidence.record_send();
    let result = if run.spec.kind == CallKind::Generate {
        stream_once(run, address, &call).await
    } else {
        state.targets.run(address, &call).await
    };
    let known = match &result {
        Ok(_) => AttemptEvidence::Ran,
        Err(fault) => fault.evidence(),
    };
    evidence.record_end(known);
    result
}

/// Reads a token stream and passes its tokens on.
async fn stream_once(
    run: &mut StageRun<'_>,
    address: TargetAddress,
    call: &TargetCall,
) -> Result<TargetResponse, TargetError> {
    let state = run.request.state.clone();
    if call.resume_from > 0 {
        state.metrics.note(NodeEvent::Resume);
    }
    let mut stream = state.targets.stream(address, call).await?;
    loop {
        match stream.next().await? {
            StreamStep::Token(token) => {
                run.received = stream.received();
                run.streamed.push_str(&token);
                if let Some(tokens) = run.tokens {
                    // The receiver lives as long as this future does.
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

/// Gets a target for a further try, if a try is safe, useful and within the budget.
async fn next_place(
    run: &StageRun<'_>,
    pool: &std::sync::Arc<StagePool>,
    work: &StageWork,
    fault: TargetError,
    attempt: u8,
) -> Option<PlaceGuard> {
    if attempt >= TRY_LIMIT || run.now() >= run.request.budget.deadline() {
        return None;
    }
    let not_run = surely_not_run(fault);
    if !run.spec.repeatable && !not_run {
        return None;
    }
    if let Some(place) = pool.place_retry(work) {
        return Some(place);
    }
    // A call that never started costs its target nothing, so it may wait like a first one.
    if not_run {
        return pool.place(work.clone()).await.ok();
    }
    None
}

/// Tells whether a call that failed so never started at its target.
fn surely_not_run(fault: TargetError) -> bool {
    matches!(
        fault.evidence(),
        AttemptEvidence::NotSent | AttemptEvidence::RefusedBeforeStart
    )
}

fn outcome_of(fault: TargetError) -> StageOutcome {
    match fault {
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

/// Names the end of a request whose stage is not tried again.
fn give_up(run: &StageRun<'_>, fault: TargetError) -> StageFailure {
    let code = match fault {
        TargetError::NotSent | TargetError::Full | TargetError::Leaving => ResultCode::NoTarget,
        TargetError::Timeout if run.spec.repeatable => ResultCode::DeadlinePassed,
        TargetError::Failed if run.received > 0 => ResultCode::StreamBroken,
        TargetError::Failed => ResultCode::StageFailed,
        _ if !run.spec.repeatable => ResultCode::OutcomeUnknown,
        _ if run.received > 0 => ResultCode::StreamBroken,
        TargetError::Disconnected | TargetError::Timeout => ResultCode::StageFailed,
        TargetError::AttemptMismatch | TargetError::Malformed => ResultCode::AnswerInvalid,
    };
    failure(code, &format!("stage {}: {fault}", run.spec.name))
}

fn refused(refusal: PlaceRefusal) -> StageFailure {
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

fn make_record(
    run: &StageRun<'_>,
    placement: Option<StagePlacement>,
    answer: &TargetResponse,
    attempts: u8,
    waited: Duration,
) -> StageRecord {
    let placed_at = placement
        .as_ref()
        .map_or(Moment::ZERO, |placement| placement.placed_at);
    let time = run.now().saturating_sub(placed_at);
    let metrics = &run.request.state.metrics;
    metrics.note_stage(&run.spec.service, &run.spec.name, waited, time);
    StageRecord {
        stage: run.spec.name.clone(),
        target: placement.map_or_else(String::new, |placement| placement.target.to_string()),
        attempts,
        wait_ms: waited.as_secs_f64() * 1000.0,
        run_ms: time.as_secs_f64() * 1000.0,
        tokens: answer.tokens,
        cached: answer.cached,
    }
}

/// Hashes the beginning of an input, where engines keep prefixes. Tokens of different accounts
/// never share a hash in practice because each account's prompts begin with its own text; a
/// collision would cost time only, never an answer.
fn prefix_hash(input: &str) -> u64 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let prefix: String = input.chars().take(PREFIX_CHARS).collect();
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}
