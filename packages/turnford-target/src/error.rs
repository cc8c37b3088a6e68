//! What can go wrong in a call to a target, with what is known of it.

use std::fmt;

use turnford_http::HttpError;
use turnford_policy::AttemptEvidence;

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No byte was handed over.
    NotSent,
    /// The target refused before it started, because it is full.
    Full,
    /// The target refused before it started, because it leaves.
    Leaving,
    /// The target started and failed.
    Failed,
    /// The call was handed over and no whole answer came.
    Disconnected,
    /// The time ran out after the call was handed over.
    Timeout,
    /// The answer belongs to another attempt.
    AttemptMismatch,
    /// The answer could not be read.
    Malformed,
}

impl TargetError {
    /// Returns what the fault says about the attempt.
    pub fn evidence(self) -> AttemptEvidence {
        match self {
            TargetError::NotSent => AttemptEvidence::NotSent,
            TargetError::Full | TargetError::Leaving => AttemptEvidence::RefusedBeforeStart,
            TargetError::Failed => AttemptEvidence::Ran,
            TargetError::Disconnected
            | TargetError::Timeout
            | TargetError::AttemptMismatch
            | TargetError::Malformed => AttemptEvidence::Unknown,
        }
    }
}

impl From<HttpError> for TargetError {
    fn from(fault: HttpError) -> Self {
        match fault {
            HttpError::NotConnected | HttpError::TimeoutBeforeSend => TargetError::NotSent,
            HttpError::TimeoutAfterSend => TargetError::Timeout,
            HttpError::Disconnected | HttpError::Truncated => TargetError::Disconnected,
            HttpError::TooLarge => TargetError::Malformed,
        }
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            TargetError::NotSent => "the call was not sent",
            TargetError::Full => "the target is full",
            TargetError::Leaving => "the target is leaving",
            TargetError::Failed => "the target failed",
            TargetError::Disconnected => "the connection broke",
            TargetError::Timeout => "no answer in time",
            TargetError::AttemptMismatch => "the answer belongs to another attempt",
            TargetError::Malformed => "the answer can't be read",
        };
        f.write_str(text)
    }
}

impl std::error::Error for TargetError {}
