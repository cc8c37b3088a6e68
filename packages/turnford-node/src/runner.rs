//! Runs the stages of an admitted request to exactly one outcome.

use async_channel::Sender;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

use crate::admit::AdmittedRequest;
use crate::claim::acquire_claim;
use crate::metrics::NodeEvent;
use crate::outcome::RequestOutcome;
use crate::outcome::StageRecord;
use crate::stage::run_stage;
use crate::stage::StageFailure;
use crate::stage::StageRun;

/// Records a client disconnect if the request is dropped before its end.
struct CancelGuard<'a> {
    request: &'a AdmittedRequest,
    ended: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.request
                .state
                .metrics
                .record_event(NodeEvent::CallerGone);
            log_outcome(self.request, ResultCode::CallerGone, "unknown");
        }
    }
}

/// Runs a request to its outcome. Tokens of the last stage are sent to `tokens` as they arrive.
pub(crate) async fn run_request(
    mut request: AdmittedRequest,
    tokens: Option<Sender<String>>,
) -> RequestOutcome {
    let mut pending = std::mem::take(&mut request.pending);
    let request = request;
    let mut guard = CancelGuard {
        request: &request,
        ended: false,
    };
    let mut claim = match acquire_claim(&request).await {
        Ok(claim) => claim,
        Err(outcome) => {
            guard.ended = true;
            drop(guard);
            record_end(&request, &outcome);
            return outcome;
        }
    };
    let mut evidence = RequestEvidence::default();
    let mut records: Vec<StageRecord> = Vec::new();
    let mut text = request.input.clone();
    let mut failure = None;
    let last = request.template.stages.len().saturating_sub(1);
    for stage in 0..request.template.stages.len() {
        pending.remove(stage);
        let sender = tokens.as_ref().filter(|_| stage == last);
        let run = StageRun::new(&request, stage, &text, sender);
        match run_stage(run, &mut evidence, claim.as_mut()).await {
            Ok((output, record)) => {
                text = output;
                records.push(record);
            }
            Err(stage_failure) => {
                failure = Some(stage_failure);
                break;
            }
        }
    }
    let mut outcome = build_outcome(&request, failure, text, &evidence);
    outcome.stages = records;
    if let Some(claim) = claim {
        claim.finish(&outcome);
    }
    guard.ended = true;
    drop(guard);
    record_end(&request, &outcome);
    outcome
}

fn build_outcome(
    request: &AdmittedRequest,
    failure: Option<StageFailure>,
    output: String,
    evidence: &RequestEvidence,
) -> RequestOutcome {
    let Some(failure) = failure else {
        let late = request.state.clock.now() > request.budget.deadline();
        let code = if late {
            ResultCode::DoneLate
        } else {
            ResultCode::Done
        };
        let mut outcome = RequestOutcome::new(code, evidence, "");
        outcome.output = Some(output);
        return outcome;
    };
    let mut outcome = RequestOutcome::new(failure.code, evidence, failure.message);
    outcome.retry_after = failure.retry_after;
    outcome
}

fn record_end(request: &AdmittedRequest, outcome: &RequestOutcome) {
    let time = request.state.clock.now().saturating_sub(request.started);
    let account = &request.account;
    let result = outcome.result();
    request
        .state
        .metrics
        .record_end(&account.name, account.class, result.code(), time);
    log_outcome(request, result.code(), result.ran().as_str());
}

/// Writes a request's log line.
fn log_outcome(request: &AdmittedRequest, code: ResultCode, ran: &str) {
    let time = request.state.clock.now().saturating_sub(request.started);
    log::info!(
        target: "request",
        "trace={} account={} template={} id={} code={} name={} ran={ran} ms={:.1}",
        request.trace,
        request.account.name,
        request.template.name,
        request.request_id.as_deref().unwrap_or("-"),
        code.number(),
        code.name(),
        time.as_secs_f64() * 1000.0,
    );
}
