//! Suspects that run now, as the node knows them that places them for all.

use std::collections::HashMap;

use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

use crate::Moment;

/// Number of a trial, given by whoever places the request.
pub type TrialTicket = u64;

/// A suspect that runs.
#[derive(Clone, Debug)]
struct TrialRun {
    digest: RequestDigest,
    target: TargetId,
    /// Whether no other suspect may share its target.
    is_alone: bool,
    /// When it has ended at the latest, also where its node is gone and tells nothing.
    ends_by: Moment,
}

/// The suspects of one service that run now: each once at a time in the whole fleet, so that a
/// request which crashes targets ends one of them, not as many as it has copies.
#[derive(Clone, Debug, Default)]
pub struct TrialLedger {
    runs: HashMap<TrialTicket, TrialRun>,
}

impl TrialLedger {
    /// Tells whether a copy of a request runs.
    pub fn is_running(&mut self, now: Moment, digest: &RequestDigest) -> bool {
        self.runs.retain(|_, run| run.ends_by > now);
        let mut runs = self.runs.values();
        runs.any(|run| run.digest == *digest)
    }

    /// Returns the targets that a suspect must not run at: those of suspects that must be alone, and
    /// where it must be alone itself, those of all.
    pub fn taken_targets(&self, is_alone: bool) -> impl Iterator<Item = &TargetId> {
        let runs = self.runs.values();
        let taken = runs.filter(move |run| is_alone || run.is_alone);
        taken.map(|run| &run.target)
    }

    /// Notes that a suspect runs from now on.
    pub fn start(
        &mut self,
        ticket: TrialTicket,
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
        };
        self.runs.insert(ticket, run);
    }

    /// Notes that a trial is over.
    pub fn end(&mut self, ticket: TrialTicket) {
        self.runs.remove(&ticket);
    }
}
