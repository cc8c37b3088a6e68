//! Suspects that run now, as the node knows them that places them for all.

use std::collections::HashMap;
use std::time::Duration;

use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

use crate::CrashVerdict;
use crate::Moment;

/// Time after a trial in which the news of its end reaches the node that places: most is told within
/// milliseconds, what is lost is learned by comparing.
const NEWS_SPAN: Duration = Duration::from_secs(1);

/// Number of a trial, given by whoever places the request.
pub type TrialId = u64;

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialAdmission {
    /// Like any other.
    Unrestricted,
    /// As the only copy of it.
    OnTrial {
        /// Whether no other suspect may share its target.
        is_alone: bool,
        /// Targets where it must not run, since other suspects do.
        taken: Vec<TargetId>,
    },
    /// Not now: another copy of it runs.
    Held,
    /// Not until then.
    Refused(Moment),
}

/// A suspect that runs.
#[derive(Clone, Debug)]
struct TrialRun {
    digest: RequestDigest,
    target: TargetId,
    /// Whether no other suspect may share its target.
    is_alone: bool,
    /// When it has ended at the latest, also where its node is gone and tells nothing.
    ends_by: Moment,
    known: KnownCrashes,
}

/// Crashes that were known of a request.
#[derive(Clone, Copy, Debug, Default)]
struct KnownCrashes {
    crashes: usize,
    trials: usize,
}

/// A trial that is over, while it is not known how it ended.
#[derive(Clone, Debug)]
struct OpenTrial {
    is_alone: bool,
    /// What was known when it began.
    known: KnownCrashes,
    /// When its end was first seen.
    since: Option<Moment>,
}

impl OpenTrial {
    /// Tells whether a crash became known that may be this trial's.
    fn has_crashed(&self, known: KnownCrashes) -> bool {
        let is_known = known.crashes > self.known.crashes;
        known.trials > self.known.trials || (is_known && !self.is_alone)
    }
}

/// The suspects of one service that run now: each once at a time in the whole fleet, so that a
/// request which crashes targets ends one of them, not as many as it has copies.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    runs: HashMap<TrialId, TrialRun>,
    open: HashMap<RequestDigest, OpenTrial>,
    /// What is known of the request that entered last.
    entered: KnownCrashes,
}

impl TrialTable {
    /// Returns whether a request may run now, by what is known of it. After a trial the next one waits
    /// until it is known how that ended: a crash may be the last one that it takes to refuse the request.
    pub fn admit(
        &mut self,
        now: Moment,
        digest: &RequestDigest,
        verdict: CrashVerdict,
    ) -> TrialAdmission {
        self.forget(now);
        let (is_alone, crashes, trials) = match verdict {
            CrashVerdict::Clear => {
                self.open.remove(digest);
                return TrialAdmission::Unrestricted;
            }
            CrashVerdict::Refused(until) => return TrialAdmission::Refused(until),
            CrashVerdict::Suspect {
                is_alone,
                crashes,
                trials,
            } => (is_alone, crashes, trials),
        };
        if self.runs.values().any(|run| run.digest == *digest) {
            return TrialAdmission::Held;
        }
        self.entered = KnownCrashes { crashes, trials };
        let open = self.open.get(digest);
        if open.is_some_and(|open| !open.has_crashed(self.entered)) {
            return TrialAdmission::Held;
        }
        self.open.remove(digest);
        let runs = self.runs.values();
        let taken = runs.filter(|run| is_alone || run.is_alone);
        TrialAdmission::OnTrial {
            is_alone,
            taken: taken.map(|run| run.target.clone()).collect(),
        }
    }

    /// Notes that a suspect runs from now on.
    pub fn start(
        &mut self,
        ticket: TrialId,
        digest: RequestDigest,
        target: TargetId,
        is_alone: bool,
        ends_by: Moment,
    ) {
        let run = TrialRun {
            digest,
            target,
            is_alone,
            ends_by,
            known: self.entered,
        };
        self.runs.insert(ticket, run);
    }

    /// Notes that a trial is over.
    pub fn end(&mut self, ticket: TrialId) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        let open = OpenTrial {
            is_alone: run.is_alone,
            known: run.known,
            since: None,
        };
        self.open.insert(run.digest, open);
    }

    fn forget(&mut self, now: Moment) {
        self.runs.retain(|_, run| run.ends_by > now);
        let is_open = |open: &mut OpenTrial| now < *open.since.get_or_insert(now) + NEWS_SPAN;
        self.open.retain(|_, open| is_open(open));
    }
}
