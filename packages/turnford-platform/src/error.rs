//! Errors of calls to the platform.

use std::fmt;

use turnford_http::HttpError;

use crate::ObjectVersion;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect because it was not sent or the platform rejected it.
    Unavailable,
    /// The call was sent and its response was lost; a write may have taken effect.
    ResponseLost,
    /// The precondition of a write does not hold.
    Conflict {
        /// Current version of the object.
        current: ObjectVersion,
    },
    /// The object does not exist.
    NotFound,
    /// The platform no longer keeps the changes that a watch asked for; the objects must be listed again.
    HistoryExpired,
    /// The node's own call budget is exhausted.
    OverBudget,
    /// The value exceeds [`VALUE_LIMIT`](crate::VALUE_LIMIT).
    TooLarge,
    /// The response cannot be decoded.
    Malformed,
}

impl PlatformError {
    /// Returns whether a write may have taken effect although it failed.
    pub fn may_have_written(&self) -> bool {
        matches!(self, PlatformError::ResponseLost | PlatformError::Malformed)
    }
}

impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        if error.was_sent() {
            PlatformError::ResponseLost
        } else {
            PlatformError::Unavailable
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Unavailable => f.write_str("the platform is unavailable"),
            PlatformError::ResponseLost => f.write_str("the response of the platform was lost"),
            PlatformError::Conflict { current } => {
                write!(f, "version conflict: the object has version {current}")
            }
            PlatformError::NotFound => f.write_str("no such object"),
            PlatformError::HistoryExpired => {
                f.write_str("the requested changes are no longer kept")
            }
            PlatformError::OverBudget => f.write_str("the node's call budget is exhausted"),
            PlatformError::TooLarge => f.write_str("the value exceeds the size limit"),
            PlatformError::Malformed => f.write_str("malformed response of the platform"),
        }
    }
}

impl std::error::Error for PlatformError {}
