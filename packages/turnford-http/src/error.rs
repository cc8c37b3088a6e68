//! What can go wrong in one HTTP exchange, with what is known of the bytes sent.

use std::fmt;

/// A failed exchange. The variant tells whether the other side can have seen the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made, so no byte of the call was handed over.
    NotConnected,
    /// The call was handed over, wholly or in part, and no whole answer came back.
    Disconnected,
    /// The time ran out before a byte was handed over.
    TimeoutBeforeSend,
    /// The time ran out after the call was handed over.
    TimeoutAfterSend,
    /// The answer's body is larger than the caller accepts.
    TooLarge,
    /// The answer ended before its announced length.
    Truncated,
}

impl HttpError {
    /// Tells whether a byte of the call can have reached the other side.
    pub fn was_sent(self) -> bool {
        !matches!(self, HttpError::NotConnected | HttpError::TimeoutBeforeSend)
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            HttpError::NotConnected => "no connection",
            HttpError::Disconnected => "connection broke after the call was sent",
            HttpError::TimeoutBeforeSend => "out of time before the call was sent",
            HttpError::TimeoutAfterSend => "out of time after the call was sent",
            HttpError::TooLarge => "answer larger than allowed",
            HttpError::Truncated => "answer cut short",
        };
        f.write_str(text)
    }
}

impl std::error::Error for HttpError {}
