//! Trials of suspects: requests during which targets crashed run one at a time in the whole fleet,
//! placed by a single node.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashKeys;
use turnford_fleet::CrashVerdict;
use turnford_fleet::QueuedRequest;
use turnford_fleet::TrialAdmission;
use turnford_policy::PlacementRequest;
use turnford_policy::ResultCode;

use crate::crash::SuspectGuard;
use crate::limit_placement::place_with_room;
use crate::limit_placement::LimitedPlacement;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Maximum time for which a suspect waits for another copy of itself. By then most copies have
/// ended or crashed their target.
pub(crate) const SUSPECT_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval for polling whether a suspect may run.
pub(crate) const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Retry delay for a request of which another copy is on trial: most streams have ended by then.
pub(crate) const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Placement of a request, subject to its verdict.
pub(crate) enum CheckedPlacement {
    /// The placement, for a request that may run.
    Found {
        place: LimitedPlacement,
        /// Whether it is the only suspect at its target.
        is_alone: bool,
    },
    /// Another copy of it is on trial.
    Held,
    /// It crashes targets and is refused for the given time.
    Refused(Duration),
}

/// Reason for which a suspect is refused.
pub(crate) struct SuspectRefusal {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Duration,
}

impl SuspectRefusal {
    /// Creates the refusal of a request of which another copy is on trial.
    pub(crate) fn on_trial() -> Self {
        Self {
            code: ResultCode::OnTrial,
            retry_after: TRIAL_RETRY_AFTER,
        }
    }

    /// Creates the refusal of a request that crashes targets, and traces what of it does.
    pub(crate) fn crashes_targets(
        traffic: &Traffic,
        record: &RequestRecord,
        retry_after: Duration,
    ) -> Self {
        let now = traffic.shared.now();
        let suspect = traffic.crashes.suspect(now, &record.crash_keys());
        let segment = suspect.and_then(|suspect| Some((suspect.key.segment?, suspect.key.digest)));
        let code = match segment {
            Some((id, digest)) => {
                record.trace(format_args!("segment {id:x} asks={digest} crashes targets"));
                ResultCode::CrashingSegment
            }
            None => ResultCode::CrashesTargets,
        };
        Self { code, retry_after }
    }

    /// Returns the reason as it is sent to the client.
    pub(crate) fn reason(&self) -> &'static str {
        if self.code == ResultCode::OnTrial {
            return "a target crashed while it ran such a request, and another copy is being tried";
        }
        if self.code == ResultCode::CrashingSegment {
            return "targets crash when they run requests with a segment of its prompt";
        }
        "targets crash when they run such a request"
    }
}

/// Admits a request that is not a suspect at once. A suspect waits until no other copy of it is in
/// flight at this node, so that no stages are run for copies that can't be served.
///
///
/// # Errors
///
///
/// Returns the refusal of a request that crashes targets, or of which another copy is on trial.
pub(crate) async fn admit_suspect(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
) -> Result<Option<SuspectGuard>, SuspectRefusal> {
    let keys = record.crash_keys();
    loop {
        let now = traffic.shared.now();
        let Some(suspect) = traffic.crashes.suspect(now, &keys) else {
            return Ok(None);
        };
        if let CrashVerdict::Refused(until) = suspect.verdict {
            let retry_after = until.saturating_sub(now);
            let refusal = SuspectRefusal::crashes_targets(traffic, record, retry_after);
            return Err(refusal);
        }
        if !traffic.crashes.is_running(&suspect) {
            return Ok(Some(SuspectGuard::new(traffic, &suspect)));
        }
        if now.saturating_sub(record.started_at) >= SUSPECT_WAIT_TIMEOUT {
            return Err(SuspectRefusal::on_trial());
        }
        Timer::after(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Places a request with this node's knowledge. A suspect is placed only if no other copy of it
/// runs.
pub(crate) fn place_checked(
    traffic: &Traffic,
    context: &ServiceContext,
    keys: &CrashKeys,
    request: &PlacementRequest,
    queued: &QueuedRequest,
) -> CheckedPlacement {
    let now = traffic.shared.now();
    let suspect = traffic.crashes.suspect(now, keys);
    let mut trials = context.trials.borrow_mut();
    let (is_alone, taken) = match trials.admit(now, suspect.as_ref()) {
        TrialAdmission::Unrestricted => {
            return CheckedPlacement::Found {
                place: place_with_room(traffic, context, request, queued),
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
    let mut request = request.clone();
    request.tried.extend(taken);
    let place = place_with_room(traffic, context, &request, queued);
    match &place {
        LimitedPlacement::Assigned { target, ticket, .. } => {
            if let Some(suspect) = suspect {
                let target = target.id.clone();
                trials.start(*ticket, suspect, target, is_alone, request.deadline);
            }
        }
        LimitedPlacement::NoTarget if is_any_taken => return CheckedPlacement::Held,
        LimitedPlacement::NoTarget | LimitedPlacement::Wait(_) | LimitedPlacement::Full(_) => {}
    }
    CheckedPlacement::Found { place, is_alone }
}
