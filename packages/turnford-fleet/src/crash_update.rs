//! Updates that nodes exchange about requests during which targets crashed.

use turnford_policy::ProcessStart;
use turnford_policy::DIGEST_BYTES;

/// Score of a crash during a trial that had started to run.
pub(crate) const STARTED_SCORE: u32 = 2;

/// Score of a crash during a trial before the target showed that it had started to run. The request
/// may still have been queued, or it may crash its target before any sign of progress.
const QUEUED_SCORE: u32 = 1;

/// Process of a target: its id and its start. A crash ends a process, not the target.
pub type TargetProcess = (String, ProcessStart);

/// An update about one request.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct CrashUpdate {
    /// Digest of the request's content.
    pub digest: [u8; DIGEST_BYTES],
    /// Event that occurred.
    pub event: CrashEvent,
    /// Milliseconds since the event.
    pub age_ms: u32,
}

/// Event in the history of a request.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum CrashEvent {
    /// A target crashed while running the request.
    Crashed {
        /// Id of the target.
        target: String,
        /// Start of the target's process in milliseconds of the time of day.
        born: u64,
        /// Involvement of the request in the crash.
        part: CrashPart,
        /// Whether the request succeeded afterwards, so that it did not cause the crash.
        is_cleared: bool,
    },
    /// The request succeeded.
    EndedWell,
}

/// Involvement of a request in the crash of its target. Greater values are stronger evidence.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum CrashPart {
    /// One of several requests that ran on the target.
    Shared,
    /// The only suspect on the target, possibly not running yet.
    QueuedTrial,
    /// The only suspect on the target, and running.
    BegunTrial,
}

impl CrashPart {
    /// Returns the evidence against the request.
    pub(crate) fn score(self) -> u32 {
        match self {
            CrashPart::Shared => 0,
            CrashPart::QueuedTrial => QUEUED_SCORE,
            CrashPart::BegunTrial => STARTED_SCORE,
        }
    }

    /// Returns whether the request was the only suspect on the target.
    pub(crate) fn is_trial(self) -> bool {
        self != CrashPart::Shared
    }
}
