//! Journal of what the targets of routes ran.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Kind of a run at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// The request itself.
    Request,
    /// A piece of a stage.
    Piece {
        /// Stage of the request.
        stage: u64,
        /// Piece of the stage.
        piece: u64,
        /// Number of the call, counted per target, that contained the piece.
        call: u64,
    },
    /// A result was released, with its handle.
    Release(String),
}

/// A run at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRun {
    /// Instance id of the target.
    pub target: String,
    /// Software version of the target's process.
    pub version: String,
    /// Kind of the run.
    pub kind: RunKind,
    /// Id of the client's attempt.
    pub attempt: String,
    /// Account sent by the node.
    pub account: Option<String>,
    /// Whether the client's key reached the target.
    pub has_key: bool,
    /// Deadline sent by the node, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Handles of the input results.
    pub inputs: Vec<String>,
    /// Event after which the run goes on.
    pub last_event: Option<u64>,
    /// Whether a fault was injected into the run.
    pub is_faulted: bool,
    /// Whether the run completed; false while it is running, and if its caller disconnected.
    pub is_complete: bool,
}

/// Runs of all targets of one test.
#[derive(Debug, Default)]
pub struct RouteJournal {
    runs: Mutex<Vec<RouteRun>>,
}

impl RouteJournal {
    /// Adds a run and returns its index.
    pub(crate) fn add(&self, run: RouteRun) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Records that a run completed.
    pub(crate) fn record_end(&self, index: usize) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(index) {
            run.is_complete = true;
        }
    }

    /// Marks all unfinished runs of a target as faulted.
    pub(crate) fn mark_unfinished_faulted(&self, target: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let unfinished = runs
            .iter_mut()
            .filter(|run| run.target == target && !run.is_complete);
        unfinished.for_each(|run| run.is_faulted = true);
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<RouteRun> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    /// Returns the runs of an attempt in the order in which they started.
    pub fn runs_of(&self, attempt: &str) -> Vec<RouteRun> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.attempt == attempt).collect()
    }

    /// Returns the runs of an attempt's request itself, without pieces and releases.
    pub fn requests(&self, attempt: &str) -> Vec<RouteRun> {
        let runs = self.runs_of(attempt).into_iter();
        runs.filter(|run| run.kind == RunKind::Request).collect()
    }
}
