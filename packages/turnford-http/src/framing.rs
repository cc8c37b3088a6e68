//! How the end of a response's body is marked.

use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http::StatusCode;

/// Marks the end of a body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has an announced length, which may be 0.
    Length,
    /// The last chunk ends the body.
    Chunked,
    /// The body ends with its connection. A peer that fails ends it in the same way.
    Close,
}

impl BodyFraming {
    /// Returns the framing of a response to a request other than `HEAD`.
    pub fn of_response(parts: &Parts) -> Self {
        let has_no_body = matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if has_no_body {
            BodyFraming::Length
        } else if parts.headers.contains_key(TRANSFER_ENCODING) {
            BodyFraming::Chunked
        } else if parts.headers.contains_key(CONTENT_LENGTH) {
            BodyFraming::Length
        } else {
            BodyFraming::Close
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::Close => "close",
        }
    }
}
