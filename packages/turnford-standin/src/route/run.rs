//! What the targets of routes really ran.

use std::sync::Mutex;
use std::sync::PoisonError;

/// What a target was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// The request itself.
    Request,
    /// A piece of a stage; the number of the call that it was part of.
    Piece {
        /// Stage of the request.
        stage: u64,
        /// Piece of the stage.
        piece: u64,
        /// Number of the call at its target.
        call: u64,
    },
    /// A result was given up.
    Release(String),
}

/// One thing that a target did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRun {
    /// Incarnation of the target.
    pub target: String,
    /// What it was asked for.
    pub kind: RunKind,
    /// Id of the client's try.
    pub attempt: String,
    /// Account that the node named.
    pub account: Option<String>,
    /// Whether the client's key reached the target.
    pub has_key: bool,
    /// Milliseconds that the target was given.
    pub deadline_ms: Option<u64>,
    /// Results that it was given.
    pub inputs: Vec<String>,
    /// Whether the target was told to spoil it.
    pub is_faulted: bool,
    /// Whether it ran to its end; false while it runs, and where its caller left.
    pub is_complete: bool,
}

/// Everything that the targets of one test ran.
#[derive(Debug, Default)]
pub struct RouteJournal {
    runs: Mutex<Vec<RouteRun>>,
}

impl RouteJournal {
    /// Adds a run; returns its place.
    pub(crate) fn add(&self, run: RouteRun) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that a run came to its end.
    pub(crate) fn end(&self, place: usize) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(place) {
            run.is_complete = true;
        }
    }

    /// Notes that all runs under way at a target broke off.
    pub(crate) fn spoil(&self, target: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let broken = runs
            .iter_mut()
            .filter(|run| run.target == target && !run.is_complete);
        broken.for_each(|run| run.is_faulted = true);
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<RouteRun> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    /// Returns the runs of one try, in their order.
    pub fn runs_of(&self, attempt: &str) -> Vec<RouteRun> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.attempt == attempt).collect()
    }

    /// Returns the runs of a try's request itself, without its pieces.
    pub fn requests(&self, attempt: &str) -> Vec<RouteRun> {
        let runs = self.runs_of(attempt).into_iter();
        runs.filter(|run| run.kind == RunKind::Request).collect()
    }
}
