//! Requests under which targets crashed run one at a time in the whole fleet, placed by one node.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashVerdict;
use turnford_fleet::QueuedRequest;
use turnford_fleet::TrialAdmission;
use turnford_policy::PlacementRequest;
use turnford_policy::RequestDigest;
use turnford_policy::ResultCode;

use crate::crash::SuspectGuard;
use crate::limit_placement::place_limited;
use crate::limit_placement::LimitedPlacement;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Longest time for which a suspect waits for another copy of it: most have ended or crashed their
/// target by then.
pub(crate) const SUSPECT_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between looks whether a suspect may run.
pub(crate) const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Time to come back to a request of which another copy is on trial: most streams have ended by then.
pub(crate) const TRIAL_SPAN: Duration = Duration::from_secs(1);

/// Where a request may run, by what this node knows.
pub(crate) enum CheckedPlacement {
    /// What targets there are for it.
    Found {
        place: LimitedPlacement,
        /// Whether it is the only suspect there.
        is_alone: bool,
    },
    /// Another copy of it is on trial.
    Held,
    /// It crashes targets, and is refused for so long.
    Refused(Duration),
}

/// Why a request is not run that may crash targets.
pub(crate) struct SuspectRefusal {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Duration,
}

impl SuspectRefusal {
    /// Makes the refusal of a request of which another copy is on trial.
    pub(crate) fn on_trial() -> Self {
        Self {
            code: ResultCode::OnTrial,
            retry_after: TRIAL_SPAN,
        }
    }

    /// Makes the refusal of a request that crashes targets.
    pub(crate) fn crashes_targets(retry_after: Duration) -> Self {
        Self {
            code: ResultCode::CrashesTargets,
            retry_after,
        }
    }

    /// Returns the reason as the client gets it.
    pub(crate) fn reason(&self) -> &'static str {
        if self.code == ResultCode::OnTrial {
            return "a target crashed while it ran such a request, and another copy is being tried";
        }
        "targets crash when they run such a request"
    }
}

/// Lets a request pass that no target crashed under. A suspect waits until no other copy of it is
/// under way at this node, so that the stages of those that can't run aren't made in vain.
///
/// # Errors
///
/// Returns why it is refused.
pub(crate) async fn admit_suspect(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
) -> Result<Option<SuspectGuard>, SuspectRefusal> {
    let digest = record.digest.get();
    loop {
        let now = traffic.shared.now();
        match traffic.crashes.verdict(now, &digest) {
            CrashVerdict::Clear => return Ok(None),
            CrashVerdict::Refused(until) => {
                let retry_after = until.saturating_sub(now);
                return Err(SuspectRefusal::crashes_targets(retry_after));
            }
            CrashVerdict::Suspect { .. } if !traffic.crashes.is_running(&digest) => {
                return Ok(Some(SuspectGuard::new(traffic, digest)));
            }
            CrashVerdict::Suspect { .. } => {}
        }
        if now.saturating_sub(record.started_at) >= SUSPECT_WAIT_TIMEOUT {
            return Err(SuspectRefusal::on_trial());
        }
        Timer::after(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Places a request by what this node knows, a suspect only where no other copy of it runs.
pub(crate) fn place_checked(
    traffic: &Traffic,
    desk: &ServiceContext,
    digest: RequestDigest,
    need: &PlacementRequest,
    turn: &QueuedRequest,
) -> CheckedPlacement {
    let now = traffic.shared.now();
    let verdict = traffic.crashes.verdict(now, &digest);
    let mut trials = desk.trials.borrow_mut();
    let (is_alone, taken) = match trials.admit(now, &digest, verdict) {
        TrialAdmission::Unrestricted => {
            return CheckedPlacement::Found {
                place: place_limited(traffic, desk, need, turn),
                is_alone: false,
            }
        }
        TrialAdmission::Refused(until) => {
            return CheckedPlacement::Refused(until.saturating_sub(now))
        }
        TrialAdmission::Wait => return CheckedPlacement::Held,
        TrialAdmission::OnTrial { is_alone, taken } => (is_alone, taken),
    };
    let is_any_taken = !taken.is_empty();
    let mut need = need.clone();
    need.tried.extend(taken);
    let place = place_limited(traffic, desk, &need, turn);
    match &place {
        LimitedPlacement::Assigned { target, ticket, .. } => {
            trials.start(*ticket, digest, target.id.clone(), is_alone, need.deadline);
        }
        LimitedPlacement::NoTarget if is_any_taken => return CheckedPlacement::Held,
        LimitedPlacement::NoTarget | LimitedPlacement::Wait(_) | LimitedPlacement::Full(_) => {}
    }
    CheckedPlacement::Found { place, is_alone }
}
