//! Errors of calls to targets.

use std::time::Duration;

use http::StatusCode;

/// Why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No byte was sent.
    NotSent(&'static str),
    /// No byte was sent, because the target accepts no such call from this node at present.
    Unavailable(&'static str),
    /// No byte was sent, because the target's rate limit across all nodes allows no further call.
    Limited,
    /// No byte was sent: the request has come to be refused for this time because it crashes targets.
    CrashesTargets(Duration),
    /// No byte was sent: this node reaches no targets, and no other node could send the call for it.
    NoRelay(&'static str),
    /// The target reports that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent, and the connection closed or the target stopped responding.
    Disconnected(&'static str),
    /// The request was sent, and a response to another call arrived in place of its own.
    OtherResponse,
    /// The request was sent, and its outcome is not known.
    Unknown(&'static str),
}

impl CallError {
    /// Returns whether it is known that the call did not run and never will.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            CallError::NotSent(_)
            | CallError::Unavailable(_)
            | CallError::Limited
            | CallError::CrashesTargets(_)
            | CallError::NoRelay(_)
            | CallError::NotRun(_) => true,
            CallError::Disconnected(_) | CallError::OtherResponse | CallError::Unknown(_) => false,
        }
    }

    /// Returns the reason for logs.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            CallError::NotSent(reason)
            | CallError::Unavailable(reason)
            | CallError::NoRelay(reason)
            | CallError::Disconnected(reason)
            | CallError::Unknown(reason) => reason,
            CallError::Limited => "its rate limit is used up",
            CallError::CrashesTargets(_) => "its request crashes targets",
            CallError::NotRun(_) => "the target refused it",
            CallError::OtherResponse => "a response to another call arrived",
        }
    }
}
