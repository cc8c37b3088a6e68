//! What nodes tell each other of requests under which targets crashed.

use turnford_policy::ProcessStart;
use turnford_policy::DIGEST_BYTES;

/// Points of a crash on trial.
pub(crate) const BEGUN_POINTS: u32 = 2;

/// Points of a crash on trial before the target showed that it had begun: it may have been in the
/// queue, or one that crashes its target before anything shows.
const QUEUED_POINTS: u32 = 1;

/// Start of a target, which is what crashes.
pub type TargetProcess = (String, ProcessStart);

/// What one node tells another about a request.
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
    /// Digest of what the request asks for.
    pub digest: [u8; DIGEST_BYTES],
    /// What happened.
    pub event: CrashEvent,
    /// Milliseconds since then.
    pub age_ms: u32,
}

/// What happened to a request.
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
    /// A target crashed while it ran the request.
    Crashed {
        /// The target's id.
        target: String,
        /// Start of its process, in milliseconds of the time of day.
        born: u64,
        /// What it was to the target.
        part: CrashPart,
        /// Whether it ended well after that, so that the crash was not its doing.
        is_cleared: bool,
    },
    /// It ended well.
    EndedWell,
}

/// What a request was to a target that crashed while it had it. What tells more is greater.
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
    /// One of those that it ran.
    Shared,
    /// The only suspect, which it had perhaps not begun to run.
    QueuedTrial,
    /// The only suspect, which it had begun to run.
    BegunTrial,
}

impl CrashPart {
    /// Returns how much it speaks against the request.
    pub(crate) fn points(self) -> u32 {
        match self {
            CrashPart::Shared => 0,
            CrashPart::QueuedTrial => QUEUED_POINTS,
            CrashPart::BegunTrial => BEGUN_POINTS,
        }
    }

    /// Tells whether the request was the only suspect there.
    pub(crate) fn is_trial(self) -> bool {
        self != CrashPart::Shared
    }
}
