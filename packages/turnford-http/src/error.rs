//! Errors of HTTP exchanges, which tell whether the request may have been sent.

use std::fmt;

/// Error of an HTTP exchange. The variant tells whether the server may have received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be opened, so no byte of the request was sent.
    NotConnected,
    /// The connection was lost after some or all of the request was sent and before the response was
    /// complete.
    Disconnected,
    /// The timeout expired before a byte of the request was sent.
    TimeoutBeforeSend,
    /// The timeout expired after the request was sent.
    TimeoutAfterSend,
    /// The response exceeds the size limit of its head, or the caller's limit of its body.
    TooLarge,
    /// The response ended before its announced length.
    Truncated,
}

impl HttpError {
    /// Returns whether a byte of the request may have reached the server.
    pub fn was_sent(self) -> bool {
        !matches!(self, HttpError::NotConnected | HttpError::TimeoutBeforeSend)
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            HttpError::NotConnected => "connection could not be opened",
            HttpError::Disconnected => "connection lost after the request was sent",
            HttpError::TimeoutBeforeSend => "timed out before the request was sent",
            HttpError::TimeoutAfterSend => "timed out after the request was sent",
            HttpError::TooLarge => "response exceeds the size limit",
            HttpError::Truncated => "response truncated",
        };
        f.write_str(text)
    }
}

impl std::error::Error for HttpError {}
