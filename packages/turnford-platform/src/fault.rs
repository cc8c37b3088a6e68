//! What can go wrong in a call to the platform.

use std::fmt;

use turnford_http::HttpFault;

use crate::ObjectVersion;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// The call had no effect: it was not sent, or the platform refused it.
    Unavailable,
    /// The call was sent and its answer is lost; a write may have taken effect.
    AnswerLost,
    /// The condition of a write does not hold.
    Conflict {
        /// Version that the object has.
        current: ObjectVersion,
    },
    /// No such object.
    Absent,
    /// The watch asked for changes that are no longer kept; the list must be read again.
    HistoryGone,
    /// The node's own budget of calls is used up.
    OverBudget,
    /// The value is larger than the platform takes.
    TooLarge,
    /// The answer could not be understood.
    Invalid,
}

impl PlatformFault {
    /// Tells whether a write may have taken effect although it failed.
    pub fn may_have_written(&self) -> bool {
        matches!(self, PlatformFault::AnswerLost | PlatformFault::Invalid)
    }
}

impl From<HttpFault> for PlatformFault {
    fn from(fault: HttpFault) -> Self {
        if fault.was_sent() {
            PlatformFault::AnswerLost
        } else {
            PlatformFault::Unavailable
        }
    }
}

impl fmt::Display for PlatformFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformFault::Unavailable => f.write_str("the platform is not available"),
            PlatformFault::AnswerLost => f.write_str("the platform's answer was lost"),
            PlatformFault::Conflict { current } => {
                write!(f, "the object has version {current}")
            }
            PlatformFault::Absent => f.write_str("no such object"),
            PlatformFault::HistoryGone => f.write_str("the changes are no longer kept"),
            PlatformFault::OverBudget => f.write_str("the node's budget of calls is used up"),
            PlatformFault::TooLarge => f.write_str("the value is too large"),
            PlatformFault::Invalid => f.write_str("the platform's answer is not understood"),
        }
    }
}

impl std::error::Error for PlatformFault {}
