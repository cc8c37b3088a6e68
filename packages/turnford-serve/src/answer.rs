//! Answers towards clients.

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

/// Why an answer is cut towards the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerCut {}

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Option<Bytes>),
    /// A body that a task passes on as it comes. Dropping the body ends the task.
    Relayed {
        chunks: Pin<Box<Receiver<Result<Bytes, AnswerCut>>>>,
        _task: Task<()>,
    },
}

impl AnswerBody {
    /// Makes a body of bytes that are all there.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(Some(bytes))
    }

    /// Makes a body that a task writes into a channel.
    pub(crate) fn relayed(chunks: Receiver<Result<Bytes, AnswerCut>>, task: Task<()>) -> Self {
        AnswerBody::Relayed {
            chunks: Box::pin(chunks),
            _task: task,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Relayed { chunks, .. } => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Relayed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Relayed { .. } => SizeHint::default(),
        }
    }
}

/// Returns the answer of a target with a body for the client.
pub(crate) fn passed_answer(parts: &Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = client_headers(parts);
    if matches!(answer.body(), AnswerBody::Whole(_)) {
        // The library writes the length of the bytes that are really there.
        answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    answer
}

/// Whether a refused or failed request ran, as the client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RanState {
    /// Nothing ran, and nothing will.
    No,
    /// It may have run.
    Unknown,
}

/// Returns an answer of the node's own.
pub(crate) fn own_answer(
    attempt: &str,
    code: ResultCode,
    ran: RanState,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let ran_word = match ran {
        RanState::No => "no",
        RanState::Unknown => "unknown",
    };
    let body = json!({
        "code": code.number(),
        "name": code.name(),
        "ran": ran_word,
        "message": reason,
    });
    let mut answer = Response::new(AnswerBody::whole(Bytes::from(body.to_string())));
    let status = StatusCode::from_u16(code.http_status());
    *answer.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *answer.headers_mut() = refusal_headers(attempt, retry_after);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
