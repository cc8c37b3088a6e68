//! Errors of calls to targets, with the evidence that they give of the attempt.

use std::fmt;

use turnford_http::HttpError;
use turnford_policy::AttemptEvidence;

/// Error of a call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No byte of the call was sent.
    NotSent,
    /// The target refused the call before it started because it is full.
    Full,
    /// The target refused the call before it started because it is leaving.
    Leaving,
    /// The response has a status other than those of success and refusals. It does not tell whether the call
    /// ran, or whether the target sent it.
    Failed,
    /// The connection was lost after the call was sent and before the response was complete.
    Disconnected,
    /// The timeout expired after the call was sent.
    Timeout,
    /// The response belongs to another attempt.
    AttemptMismatch,
    /// The response cannot be decoded.
    Malformed,
}

impl TargetError {
    /// Returns the evidence that the error gives of the attempt.
    pub fn evidence(self) -> AttemptEvidence {
        match self {
            TargetError::NotSent => AttemptEvidence::NotSent,
            TargetError::Full | TargetError::Leaving => AttemptEvidence::RefusedBeforeStart,
            TargetError::Failed
            | TargetError::Disconnected
            | TargetError::Timeout
            | TargetError::AttemptMismatch
            | TargetError::Malformed => AttemptEvidence::Unknown,
        }
    }
}

impl From<HttpError> for TargetError {
    fn from(error: HttpError) -> Self {
        match error {
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
