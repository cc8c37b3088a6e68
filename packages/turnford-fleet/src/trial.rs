//! Running suspects, as known to the node that places the requests of a service.

use std::collections::HashMap;
use std::time::Duration;

use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

use crate::CrashCounts;
use crate::CrashSuspect;
use crate::CrashVerdict;
use crate::Moment;

/// Time after a trial within which the placing node learns of its outcome. Most updates arrive
/// within milliseconds; lost ones are recovered by comparing checksums.
const RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Id of a trial, assigned by the placing node.
pub type TrialId = u64;

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialAdmission {
    /// The request may run without restrictions.
    Unrestricted,
    /// The request may run as the only copy of itself.
    OnTrial {
        /// Whether no other suspect may share its target.
        is_alone: bool,
        /// Targets that must not be used, because other suspects run there.
        taken: Vec<TargetId>,
    },
    /// The request has to wait, because another copy of it is running or its outcome is unknown.
    Wait,
    /// The request is refused until this time.
    Refused(Moment),
}

/// A running suspect.
#[derive(Clone, Debug)]
struct TrialRun {
    /// Its suspected keys, with the crashes known for them at its start.
    members: Vec<(RequestDigest, CrashCounts)>,
    target: TargetId,
    /// Whether no other suspect may share its target.
    is_alone: bool,
    /// Latest end of the run, also if its node fails and reports nothing.
    deadline: Moment,
}

/// A trial of a key that has ended but whose outcome is unknown.
#[derive(Clone, Debug)]
struct UnresolvedTrial {
    is_alone: bool,
    /// Crashes known at its start.
    known: CrashCounts,
    /// Time at which its end was first observed.
    seen_at: Option<Moment>,
}

impl UnresolvedTrial {
    /// Returns whether a newly known crash may have occurred during this trial.
    fn has_crashed(&self, known: CrashCounts) -> bool {
        let is_known = known.crashes > self.known.crashes;
        known.trials > self.known.trials || (is_known && !self.is_alone)
    }
}

/// Running suspects of one service. At most one request with a suspected key runs at a time in the whole
/// fleet, so that a harmful one crashes one target instead of one per copy.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    runs: HashMap<TrialId, TrialRun>,
    unresolved: HashMap<RequestDigest, UnresolvedTrial>,
}

impl TrialTable {
    /// Decides whether a request may run now. After a trial, the next request with the same suspected
    /// key waits until the outcome is known, because a crash may be the one that gets it refused.
    pub fn admit(&mut self, now: Moment, suspect: Option<&CrashSuspect>) -> TrialAdmission {
        self.expire(now);
        let Some(suspect) = suspect else {
            return TrialAdmission::Unrestricted;
        };
        let is_alone = match suspect.verdict {
            CrashVerdict::Clear => return TrialAdmission::Unrestricted,
            CrashVerdict::Refused(until) => return TrialAdmission::Refused(until),
            CrashVerdict::Suspect { is_alone, .. } => is_alone,
        };
        let shares_key = |run: &TrialRun| {
            let mut own = suspect.members.iter();
            own.any(|(digest, _)| run.members.iter().any(|(other, _)| other == digest))
        };
        if self.runs.values().any(shares_key) {
            return TrialAdmission::Wait;
        }
        let mut members = suspect.members.iter();
        let is_unresolved = members.any(|(digest, known)| {
            let unresolved = self.unresolved.get(digest);
            unresolved.is_some_and(|unresolved| !unresolved.has_crashed(*known))
        });
        if is_unresolved {
            return TrialAdmission::Wait;
        }
        for (digest, _) in &suspect.members {
            self.unresolved.remove(digest);
        }
        let runs = self.runs.values();
        let taken = runs.filter(|run| is_alone || run.is_alone);
        TrialAdmission::OnTrial {
            is_alone,
            taken: taken.map(|run| run.target.clone()).collect(),
        }
    }

    /// Records the start of a suspect's run.
    pub fn start(
        &mut self,
        trial_id: TrialId,
        suspect: CrashSuspect,
        target: TargetId,
        is_alone: bool,
        deadline: Moment,
    ) {
        let run = TrialRun {
            members: suspect.members,
            target,
            is_alone,
            deadline,
        };
        self.runs.insert(trial_id, run);
    }

    /// Records the end of a trial.
    pub fn end(&mut self, trial_id: TrialId) {
        let Some(run) = self.runs.remove(&trial_id) else {
            return;
        };
        for (digest, known) in run.members {
            let unresolved = UnresolvedTrial {
                is_alone: run.is_alone,
                known,
                seen_at: None,
            };
            self.unresolved.insert(digest, unresolved);
        }
    }

    fn expire(&mut self, now: Moment) {
        self.runs.retain(|_, run| run.deadline > now);
        let is_unresolved = |unresolved: &mut UnresolvedTrial| {
            now < *unresolved.seen_at.get_or_insert(now) + RESULT_TIMEOUT
        };
        self.unresolved
            .retain(|_, unresolved| is_unresolved(unresolved));
    }
}
