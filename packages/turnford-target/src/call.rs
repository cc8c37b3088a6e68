//! Calls to targets and their responses.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use turnford_http::HttpClient;
use turnford_http::HttpRequest;
use turnford_policy::AttemptId;
use turnford_policy::ClassRank;

use crate::TargetError;

/// One attempt of a stage.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Priority at the target; 0 is the highest.
    pub priority: ClassRank,
    /// Input text.
    pub input: String,
    /// Maximum number of tokens to generate; 0 for stages that do not generate tokens.
    pub max_tokens: u32,
    /// Number of tokens already received, if an interrupted stream is resumed.
    pub resume_from: u32,
    /// Timeout of the whole call.
    pub limit: Duration,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetResponse {
    /// Output text.
    pub output: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Number of input tokens served from the target's prefix cache.
    pub cached: u32,
}

/// Request body of a call.
#[derive(Serialize)]
struct CallBody<'a> {
    attempt: String,
    priority: ClassRank,
    input: &'a str,
    max_tokens: u32,
    resume_from: u32,
    limit_ms: u64,
    stream: bool,
}

/// Response body of a refusal.
#[derive(Deserialize)]
struct RefusalBody {
    attempt: Option<String>,
    refused: Option<String>,
}

impl TargetCall {
    pub(crate) fn request(&self, to: SocketAddr, stream: bool) -> Result<HttpRequest, TargetError> {
        let body = CallBody {
            attempt: self.attempt.to_string(),
            priority: self.priority,
            input: &self.input,
            max_tokens: self.max_tokens,
            resume_from: self.resume_from,
            limit_ms: u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX),
            stream,
        };
        let bytes = serde_json::to_vec(&body).map_err(|_| TargetError::NotSent)?;
        let mut request = HttpClient::request(Method::POST, to, "/run")?;
        request.set_body(bytes);
        Ok(request)
    }
}

/// Part of a response body that names the attempt.
#[derive(Deserialize)]
struct AttemptName {
    attempt: String,
}

/// Returns the attempt that a response body names.
pub(crate) fn named_attempt(body: &[u8]) -> Option<AttemptId> {
    let name: AttemptName = serde_json::from_slice(body).ok()?;
    name.attempt.parse().ok()
}

/// Returns the error for a response with a status other than 200 to a call of `attempt`.
///
/// Only an explicit refusal of this attempt proves that the call did not start. With any other response the
/// target may have started it.
pub(crate) fn parse_error(attempt: AttemptId, status: u16, body: &[u8]) -> TargetError {
    let refusal: Option<RefusalBody> = serde_json::from_slice(body).ok();
    let refusal = refusal.filter(|body| body.refused.is_some());
    let named = refusal.as_ref().and_then(|body| body.attempt.as_deref());
    if refusal.is_some() && named.and_then(|named| named.parse().ok()) != Some(attempt) {
        return TargetError::AttemptMismatch;
    }
    let reason = refusal.and_then(|body| body.refused);
    match (status, reason.as_deref()) {
        (503, Some("full")) => TargetError::Full,
        (503, Some("leaving")) => TargetError::Leaving,
        _ => TargetError::Failed,
    }
}
