//! What can go wrong in a call to the platform.

use std::fmt;

use turnford_http::HttpError;

use crate::ObjectVersion;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect: it was not sent, or the platform refused it.
    Unavailable,
    /// The call was sent and its answer is lost; a write may have taken effect.
    ResponseLost,
    /// The condition of a write does not hold.
    Conflict {
        /// Version that the object has.
        current: ObjectVersion,
    },
    /// No such object.
    NotFound,
    /// The watch asked for changes that are no longer kept; the list must be read again.
    HistoryExpired,
    /// The node's own budget of calls is used up.
    OverBudget,
    /// The value is larger than the platform takes.
    TooLarge,
    /// The answer could not be understood.
    Malformed,
}

impl PlatformError {
    /// Tells whether a write may have taken effect although it failed.
    pub fn may_have_written(&self) -> bool {
        matches!(self, PlatformError::ResponseLost | PlatformError::Malformed)
    }
}

impl From<HttpError> for PlatformError {
    fn from(fault: HttpError) -> Self {
        if fault.was_sent() {
            PlatformError::ResponseLost
        } else {
            PlatformError::Unavailable
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Unavailable => f.write_str("the platform is not available"),
            PlatformError::ResponseLost => f.write_str("the platform's answer was lost"),
            PlatformError::Conflict { current } => {
                write!(f, "the object has version {current}")
            }
            PlatformError::NotFound => f.write_str("no such object"),
            PlatformError::HistoryExpired => f.write_str("the changes are no longer kept"),
            PlatformError::OverBudget => f.write_str("the node's budget of calls is used up"),
            PlatformError::TooLarge => f.write_str("the value is too large"),
            PlatformError::Malformed => f.write_str("the platform's answer is not understood"),
        }
    }
}

impl std::error::Error for PlatformError {}
