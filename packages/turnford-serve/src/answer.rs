//! Responses to clients.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Task;
use bytes::Bytes;
use futures_lite::Stream;
use http::header::HeaderValue;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use serde_json::json;

use turnford_adapter::client_headers;
use turnford_adapter::refusal_headers;
use turnford_policy::ResultCode;

use crate::record::RequestRecord;
use crate::send_log::NotRun;

/// Error that ends a response body before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyTruncated;

impl fmt::Display for BodyTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body truncated")
    }
}

impl std::error::Error for BodyTruncated {}

pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    /// A body that a task relays chunk by chunk. Dropping the body cancels the task.
    Streamed {
        chunks: Pin<Box<Receiver<Result<Bytes, BodyTruncated>>>>,
        _task: Task<()>,
    },
}

impl ResponseBody {
    /// Creates a body from bytes that are already complete.
    pub(crate) fn full(bytes: Bytes) -> Self {
        ResponseBody::Full(Some(bytes))
    }

    /// Creates a body from the chunks that a task sends.
    pub(crate) fn streamed(chunks: Receiver<Result<Bytes, BodyTruncated>>, task: Task<()>) -> Self {
        ResponseBody::Streamed {
            chunks: Box::pin(chunks),
            _task: task,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed { chunks, .. } => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}

/// Returns a target's response with the given body, its headers filtered for the client.
pub(crate) fn proxied_response(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = client_headers(parts);
    // A stream may reach its announced length inside an event, and must not be complete then. For other
    // bodies `hyper` writes the length of the actual bytes.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

/// How a request failed that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFailure {
    /// A target failed it.
    TargetFailed,
    /// Its deadline passed.
    DeadlinePassed,
    /// It was sent, and its outcome is not known.
    OutcomeUnknown,
}

impl RequestFailure {
    fn code(self) -> ResultCode {
        match self {
            RequestFailure::TargetFailed => ResultCode::StageFailed,
            RequestFailure::DeadlinePassed => ResultCode::DeadlinePassed,
            RequestFailure::OutcomeUnknown => ResultCode::OutcomeUnknown,
        }
    }
}

/// Returns the refusal of a request, which promises its client that the request has not run.
pub(crate) fn refusal_response(
    _proof: NotRun,
    attempt: &str,
    code: ResultCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    error_response(attempt, code, "no", reason, retry_after)
}

/// Ends a request with a refusal, or with an unknown outcome if it may have run.
pub(crate) fn refuse_request(
    record: &RequestRecord,
    code: ResultCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let Some(proof) = record.sends.not_run() else {
        return fail_request(record, RequestFailure::OutcomeUnknown, reason);
    };
    record.end(code, reason);
    let attempt = &record.attributes.attempt;
    refusal_response(proof, attempt, code, reason, retry_after)
}

/// Ends a request with a response that promises nothing.
pub(crate) fn fail_request(
    record: &RequestRecord,
    failure: RequestFailure,
    reason: &str,
) -> Response<ResponseBody> {
    let code = failure.code();
    record.end(code, reason);
    let ran = match record.sends.not_run() {
        Some(_) => "no",
        None => "unknown",
    };
    error_response(&record.attributes.attempt, code, ran, reason, None)
}

/// Returns a response that the node itself generates.
fn error_response(
    attempt: &str,
    code: ResultCode,
    ran: &str,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let body = json!({
        "code": code.number(),
        "name": code.name(),
        "ran": ran,
        "message": reason,
    });
    let mut response = Response::new(ResponseBody::full(Bytes::from(body.to_string())));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = refusal_headers(attempt, retry_after);
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json_type);
    response
}
