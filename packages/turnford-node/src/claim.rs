//! A request's claim: taken before a call that must run at most once, settled at its end.

use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use turnford_fleet::ClaimKey;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimState;
use turnford_fleet::ClaimVerdict;
use turnford_policy::AttemptId;
use turnford_policy::ClaimEvidence;
use turnford_policy::Moment;
use turnford_policy::RequestEvidence;
use turnford_policy::ResultCode;

use crate::admit::AdmittedRequest;
use crate::answer::RequestEnd;
use crate::state::NodeState;

/// Longest wait for a claim.
const CLAIM_LIMIT: Duration = Duration::from_millis(1500);

/// Time in which a note on a claim is tried.
const NOTE_LIMIT: Duration = Duration::from_secs(60);

/// Age over which a claim is not used. It is far below the time after which claims are cleared, so
/// a request that slept never sends under a cleared claim.
const CLAIM_LIFE: Duration = Duration::from_secs(300);

/// Hint for a caller while the platform is away.
const AWAY_HINT: Duration = Duration::from_secs(2);

/// A claim that this request holds. Dropped without an end, it is released if the call was never
/// sent, and noted as unknown otherwise.
pub(crate) struct ClaimGuard {
    state: Arc<NodeState>,
    key: ClaimKey,
    owner: ClaimOwner,
    taken_at: Moment,
    /// Calls under this claim that a target may have started.
    sent: u32,
    end: Option<ResultCode>,
}

impl ClaimGuard {
    /// Notes that the call is about to be sent; false if the claim is too old to be used.
    pub(crate) fn use_now(&mut self) -> bool {
        let age = self.state.clock.now().saturating_sub(self.taken_at);
        let usable = age < CLAIM_LIFE;
        self.sent += u32::from(usable);
        usable
    }

    /// Notes that the last call surely did not start.
    pub(crate) fn unuse(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Notes how the request ended, and keeps a whole answer to be given again.
    pub(crate) fn finish(mut self, end: &RequestEnd) {
        self.end = Some(end.code);
        if let Some(output) = end.output.as_deref().filter(|_| self.sent > 0) {
            self.state.results.put(self.key, output);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let ask = if self.sent > 0 {
            let code = self.end.unwrap_or(ResultCode::OutcomeUnknown);
            ClaimRequest::Finish(self.key, self.owner, code.number())
        } else {
            ClaimRequest::Release(self.key, self.owner)
        };
        self.state.control.note_claim(ask, NOTE_LIMIT);
    }
}

/// Takes the claim of a request that has an id and a stage that must run at most once.
///
/// `Ok(None)` means that none is needed.
pub(crate) async fn take_claim(
    request: &AdmittedRequest,
) -> Result<Option<ClaimGuard>, RequestEnd> {
    let id = request.request_id.as_deref();
    let Some(id) = id.filter(|_| request.template.requires_claim()) else {
        return Ok(None);
    };
    let key = claim_key(&request.account.name, id);
    let owner = owner_of(request.trace);
    let state = request.state.clone();
    // From here on the claim may be written, so the guard settles it however this ends.
    let guard = ClaimGuard {
        state: state.clone(),
        key,
        owner,
        taken_at: state.clock.now(),
        sent: 0,
        end: None,
    };
    let left = request.budget.deadline().saturating_sub(state.clock.now());
    let verdict = state
        .control
        .claim(ClaimRequest::Acquire(key, owner), left.min(CLAIM_LIMIT))
        .await;
    match verdict {
        ClaimVerdict::Granted => Ok(Some(guard)),
        ClaimVerdict::Taken(entry) => Err(end_of_taken(&state, &key, entry.state)),
        ClaimVerdict::Full => {
            let message = "too many request ids are remembered";
            Err(RequestEnd::not_run(ResultCode::ClaimFull, message).retry_after(AWAY_HINT))
        }
        ClaimVerdict::Unavailable => {
            let message = "the request id can't be recorded now";
            Err(RequestEnd::not_run(ResultCode::ClaimUnavailable, message).retry_after(AWAY_HINT))
        }
    }
}

/// Names the end of a request whose id was used before.
fn end_of_taken(state: &NodeState, key: &ClaimKey, taken: ClaimState) -> RequestEnd {
    let unknown = ResultCode::OutcomeUnknown.number();
    let (knowledge, code, message) = match taken {
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
    let mut end = RequestEnd::not_run(code, message);
    end.ran = RequestEvidence::from_claim(knowledge).ran();
    let output = state
        .results
        .get(key)
        .filter(|_| code == ResultCode::ClaimFinished);
    if let Some(output) = output {
        end.code = ResultCode::DoneBefore;
        end.message.clear();
        end.output = Some(output);
    }
    end
}

/// Hashes account and request id; the separator keeps one from running into the other.
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
