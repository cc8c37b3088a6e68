//! Claims of requests: acquired before a call that must run at most once, settled when the request
//! ends.

use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use turnford_fleet::ClaimKey;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimState;
use turnford_fleet::ClaimVerdict;
use turnford_policy::AttemptEvidence;
use turnford_policy::AttemptId;
use turnford_policy::ClaimEvidence;
use turnford_policy::Moment;
use turnford_policy::RanStatus;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

use crate::admit::AdmittedRequest;
use crate::outcome::RequestOutcome;
use crate::state::NodeState;

/// Longest wait for a claim's verdict.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time limit for recording the end of a claim.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Age from which a claim is no longer used. It is far below the retention time of claims, so a
/// suspended request never sends under a claim that has been cleared.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(300);

/// Retry hint while claims can't be recorded.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A claim held by a request. If dropped without an outcome, it is released if no call was sent
/// under it, and recorded as finished with an unknown outcome otherwise.
pub(crate) struct ClaimGuard {
    state: Arc<NodeState>,
    key: ClaimKey,
    owner: ClaimOwner,
    acquired_at: Moment,
    /// Evidence of the calls sent under this claim.
    evidence: RequestEvidence,
    outcome: Option<ResultCode>,
}

impl ClaimGuard {
    /// Records that a call is about to be sent. Returns false if the claim is too old to be used.
    pub(crate) fn try_record_send(&mut self) -> bool {
        let age = self.state.clock.now().saturating_sub(self.acquired_at);
        let usable = age < MAX_CLAIM_AGE;
        if usable {
            self.evidence.record_send();
        }
        usable
    }

    /// Records the end of the last call.
    pub(crate) fn record_end(&mut self, evidence: AttemptEvidence) {
        self.evidence.record_end(evidence);
    }

    /// Records the request's outcome and caches its output for repeated requests.
    pub(crate) fn finish(mut self, outcome: &RequestOutcome) {
        self.outcome = Some(outcome.result().code());
        let ran = self.evidence.ran() != RanStatus::No;
        if let Some(output) = outcome.output.as_deref().filter(|_| ran) {
            self.state.results.put(self.key, output);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let unknown = ResultCode::OutcomeUnknown;
        let code = match self.evidence.ran() {
            RanStatus::No => None,
            RanStatus::Yes => Some(self.outcome.unwrap_or(unknown)),
            RanStatus::Unknown => Some(unknown),
        };
        let request = match code {
            Some(code) => ClaimRequest::Finish(self.key, self.owner, code.number()),
            None => ClaimRequest::Release(self.key, self.owner),
        };
        self.state.control.settle_claim(request, SETTLE_TIMEOUT);
    }
}

/// Acquires the claim of a request that has an id and a stage that must run at most once. Returns
/// `None` if the request needs no claim.
///
/// # Errors
///
/// Returns the request's outcome if the id was used before or the claim can't be recorded.
pub(crate) async fn acquire_claim(
    request: &AdmittedRequest,
) -> Result<Option<ClaimGuard>, RequestOutcome> {
    let id = request.request_id.as_deref();
    let Some(id) = id.filter(|_| request.template.requires_claim()) else {
        return Ok(None);
    };
    let key = claim_key(&request.account.name, id);
    let owner = owner_of(request.trace);
    let state = request.state.clone();
    // From here on the claim may have been written, so the guard must settle it on every path.
    let guard = ClaimGuard {
        state: state.clone(),
        key,
        owner,
        acquired_at: state.clock.now(),
        evidence: RequestEvidence::default(),
        outcome: None,
    };
    let remaining = request.budget.deadline().saturating_sub(state.clock.now());
    let verdict = state
        .control
        .claim(
            ClaimRequest::Acquire(key, owner),
            remaining.min(CLAIM_TIMEOUT),
        )
        .await;
    match verdict {
        ClaimVerdict::Granted => Ok(Some(guard)),
        ClaimVerdict::Taken(entry) => Err(outcome_of_taken(&state, &key, entry.state)),
        ClaimVerdict::Full => {
            let message = "too many request ids are remembered";
            Err(RequestOutcome::not_run(ResultCode::ClaimFull, message)
                .retry_after(UNAVAILABLE_RETRY_AFTER))
        }
        ClaimVerdict::Unavailable => {
            let message = "the request id can't be recorded now";
            Err(
                RequestOutcome::not_run(ResultCode::ClaimUnavailable, message)
                    .retry_after(UNAVAILABLE_RETRY_AFTER),
            )
        }
    }
}

/// Returns the outcome of a request whose id was used before.
fn outcome_of_taken(state: &NodeState, key: &ClaimKey, taken: ClaimState) -> RequestOutcome {
    let unknown = ResultCode::OutcomeUnknown.number();
    let (evidence, code, message) = match taken {
        ClaimState::Finished(code) if code != unknown => {
            let message = "the request with this id ran before";
            (ClaimEvidence::Ran, ResultCode::ClaimFinished, message)
        }
        ClaimState::Finished(_) => {
            let message = "the request with this id was started and its end is not known";
            (ClaimEvidence::MayHaveRun, ResultCode::ClaimUnknown, message)
        }
        ClaimState::Held | ClaimState::Released => {
            let message = "the request with this id is being run, or its node was lost";
            (ClaimEvidence::MayHaveRun, ResultCode::ClaimRunning, message)
        }
    };
    let evidence = RequestEvidence::from_claim(evidence);
    let output = state
        .results
        .get(key)
        .filter(|_| code == ResultCode::ClaimFinished);
    if output.is_none() {
        return RequestOutcome::new(code, &evidence, message);
    }
    let mut outcome = RequestOutcome::new(ResultCode::DoneBefore, &evidence, "");
    outcome.output = output;
    outcome
}

/// Hashes account and request id. The separator keeps different pairs from having the same
/// concatenation.
fn claim_key(account: &str, id: &str) -> ClaimKey {
    let mut hasher = Sha256::new();
    hasher.update(account.as_bytes());
    hasher.update([0]);
    hasher.update(id.as_bytes());
    let digest = hasher.finalize();
    let mut key = ClaimKey::default();
    for (place, byte) in key.iter_mut().zip(digest) {
        *place = byte;
    }
    key
}

fn owner_of(trace: AttemptId) -> ClaimOwner {
    ClaimOwner {
        incarnation: trace.incarnation,
        sequence: trace.sequence,
    }
}
