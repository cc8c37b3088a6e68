//! Answers that targets give instead of their own.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use http::StatusCode;
use serde_json::json;
use turnford_http::HttpBody;
use turnford_http::HttpResponse;

/// How much of a scripted answer's body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// All of it.
    Complete,
    /// Half of it, then the connection closes.
    Truncated,
    /// Half of it, then nothing.
    Silent,
}

/// An answer to all calls of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedAnswer {
    /// Status code.
    pub status: u16,
    /// Whether the body says that the call was refused.
    pub is_refusal: bool,
    /// Whether the target runs the call first.
    pub runs: bool,
    /// End of the body.
    pub end: AnswerEnd,
}

/// Scripted answers by the names of targets.
#[derive(Default)]
pub struct AnswerScript {
    answers: Mutex<HashMap<String, (ScriptedAnswer, u32)>>,
}

impl AnswerScript {
    /// Sets the answer of a target.
    pub fn set(&self, target: &str, answer: ScriptedAnswer) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(target.to_owned(), (answer, 0));
    }

    /// Returns the number of calls that got the target's scripted answer.
    pub fn count(&self, target: &str) -> u32 {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.get(target).map_or(0, |(_, count)| *count)
    }

    /// Returns the target's answer to a call, which it counts.
    pub(crate) fn take(&self, target: &str) -> Option<ScriptedAnswer> {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let (answer, count) = answers.get_mut(target)?;
        *count += 1;
        Some(*answer)
    }
}

impl ScriptedAnswer {
    /// Builds the response to a call.
    pub(crate) fn response(self, attempt: &str) -> HttpResponse {
        let body = if self.is_refusal {
            json!({ "attempt": attempt, "refused": "full" })
        } else {
            json!({ "attempt": attempt, "output": "scripted" })
        };
        let body = body.to_string();
        let status = StatusCode::from_u16(self.status);
        let mut response = HttpResponse::new(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.insert_header("content-length", body.len().to_string());
        let half = body.as_bytes()[..body.len() / 2].to_vec();
        match self.end {
            AnswerEnd::Complete => response.set_body(body),
            AnswerEnd::Truncated => response.set_body(HttpBody::truncated(half)),
            AnswerEnd::Silent => {
                let rest = futures_lite::stream::pending();
                let chunks = futures_lite::stream::once(half);
                response.set_body(HttpBody::stream(futures_lite::StreamExt::chain(
                    chunks, rest,
                )));
            }
        }
        response
    }
}
