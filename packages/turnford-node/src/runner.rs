//! Runs the stages of one admitted request and gives it exactly one end.

use async_channel::Sender;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

use crate::admit::AdmittedRequest;
use crate::answer::RequestEnd;
use crate::answer::StageRecord;
use crate::claim::take_claim;
use crate::metrics::NodeEvent;
use crate::stage::run_stage;
use crate::stage::StageFailure;
use crate::stage::StageRun;

/// Notes a caller that went away if the request is dropped before its end.
struct EndGuard<'a> {
    request: &'a AdmittedRequest,
    ended: bool,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.request.state.metrics.note(NodeEvent::CallerGone);
            log_end(self.request, ResultCode::CallerGone, "unknown");
        }
    }
}

/// Runs a request to its end. Tokens of the last stage go to `tokens` as they come.
pub(crate) async fn run_request(
    mut request: AdmittedRequest,
    tokens: Option<Sender<String>>,
) -> RequestEnd {
    let mut promises = std::mem::take(&mut request.promises);
    let request = request;
    let mut guard = EndGuard {
        request: &request,
        ended: false,
    };
    let mut claim = match take_claim(&request).await {
        Ok(claim) => claim,
        Err(end) => {
            guard.ended = true;
            drop(guard);
            note_end(&request, &end);
            return end;
        }
    };
    let mut evidence = RequestEvidence::default();
    let mut records: Vec<StageRecord> = Vec::new();
    let mut text = request.input.clone();
    let mut failure = None;
    let last = request.template.stages.len().saturating_sub(1);
    for stage in 0..request.template.stages.len() {
        promises.settle(stage);
        let sender = tokens.as_ref().filter(|_| stage == last);
        let run = StageRun::new(&request, stage, &text, sender);
        match run_stage(run, &mut evidence, claim.as_mut()).await {
            Ok((output, record)) => {
                text = output;
                records.push(record);
            }
            Err(found) => {
                failure = Some(found);
                break;
            }
        }
    }
    let mut end = make_end(&request, failure, text, &evidence);
    end.stages = records;
    if let Some(claim) = claim {
        claim.finish(&end);
    }
    guard.ended = true;
    drop(guard);
    note_end(&request, &end);
    end
}

fn make_end(
    request: &AdmittedRequest,
    failure: Option<StageFailure>,
    output: String,
    evidence: &RequestEvidence,
) -> RequestEnd {
    let Some(failure) = failure else {
        let late = request.state.clock.now() > request.budget.deadline();
        let code = if late {
            ResultCode::DoneLate
        } else {
            ResultCode::Done
        };
        return RequestEnd {
            code,
            ran: evidence.ran(),
            message: String::new(),
            output: Some(output),
            retry_after: None,
            stages: Vec::new(),
        };
    };
    RequestEnd {
        code: failure.code,
        ran: evidence.ran(),
        message: failure.message,
        output: None,
        retry_after: failure.retry_after,
        stages: Vec::new(),
    }
}

fn note_end(request: &AdmittedRequest, end: &RequestEnd) {
    let time = request.state.clock.now().saturating_sub(request.started);
    let account = &request.account;
    request
        .state
        .metrics
        .note_end(&account.name, account.class, end.code, time);
    log_end(request, end.code, end.ran.as_str());
}

/// Writes the one line of a request.
fn log_end(request: &AdmittedRequest, code: ResultCode, ran: &str) {
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
