//! What can go wrong in a call to a target, with what is known of it.

use std::fmt;

use turnford_http::HttpFault;
use turnford_policy::AttemptEvidence;

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// No byte was handed over.
    NotSent,
    /// The target refused before it started, because it is full.
    Full,
    /// The target refused before it started, because it leaves.
    Leaving,
    /// The target started and failed.
    Failed,
    /// The call was handed over and no whole answer came.
    Broken,
    /// The time ran out after the call was handed over.
    Late,
    /// The answer belongs to another attempt.
    OtherAttempt,
    /// The answer could not be read.
    Unreadable,
}

impl TargetFault {
    /// Returns what the fault says about the attempt.
    pub fn evidence(self) -> AttemptEvidence {
        match self {
            TargetFault::NotSent => AttemptEvidence::NotSent,
            TargetFault::Full | TargetFault::Leaving => AttemptEvidence::RefusedBeforeStart,
            TargetFault::Failed => AttemptEvidence::Ran,
            TargetFault::Broken
            | TargetFault::Late
            | TargetFault::OtherAttempt
            | TargetFault::Unreadable => AttemptEvidence::Unknown,
        }
    }
}

impl From<HttpFault> for TargetFault {
    fn from(fault: HttpFault) -> Self {
        match fault {
            HttpFault::NotConnected | HttpFault::LateBeforeSend => TargetFault::NotSent,
            HttpFault::LateAfterSend => TargetFault::Late,
            HttpFault::Broken | HttpFault::Truncated => TargetFault::Broken,
            HttpFault::TooLarge => TargetFault::Unreadable,
        }
    }
}

impl fmt::Display for TargetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            TargetFault::NotSent => "the call was not sent",
            TargetFault::Full => "the target is full",
            TargetFault::Leaving => "the target is leaving",
            TargetFault::Failed => "the target failed",
            TargetFault::Broken => "the connection broke",
            TargetFault::Late => "no answer in time",
            TargetFault::OtherAttempt => "the answer belongs to another attempt",
            TargetFault::Unreadable => "the answer can't be read",
        };
        f.write_str(text)
    }
}

impl std::error::Error for TargetFault {}
