//! The outcome of a request, as the client receives it.

use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use turnford_http::HttpResponse;
use turnford_policy::AttemptId;
use turnford_policy::RequestEvidence;
use turnford_policy::RequestResult;
use turnford_policy::ResultCode;

/// Summary of a completed stage, for the client.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StageRecord {
    pub(crate) stage: String,
    pub(crate) target: String,
    pub(crate) attempts: u8,
    pub(crate) wait_ms: f64,
    pub(crate) run_ms: f64,
    pub(crate) tokens: u32,
    pub(crate) cached: u32,
}

/// The outcome of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    result: RequestResult,
    pub(crate) message: String,
    pub(crate) output: Option<String>,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) stages: Vec<StageRecord>,
}

/// JSON body of a response, and data of a stream's final event.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    code: u16,
    name: &'static str,
    ran: &'static str,
    whole: bool,
    #[serde(skip_serializing_if = "str::is_empty")]
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    trace: String,
    stages: &'a [StageRecord],
}

impl RequestOutcome {
    /// Makes the outcome of a request that was never sent to a target.
    pub(crate) fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self::new(code, &RequestEvidence::default(), message)
    }

    /// Makes the outcome of a request from the evidence of its attempts.
    pub(crate) fn new(
        code: ResultCode,
        evidence: &RequestEvidence,
        message: impl Into<String>,
    ) -> Self {
        Self {
            result: RequestResult::new(code, evidence),
            message: message.into(),
            output: None,
            retry_after: None,
            stages: Vec::new(),
        }
    }

    /// Sets the time after which a retry is likely to be accepted.
    pub(crate) fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }

    /// Returns the result code and whether anything ran.
    pub(crate) fn result(&self) -> RequestResult {
        self.result
    }

    /// Encodes the outcome as JSON. The final event of a stream omits the output, which the client
    /// already has.
    pub(crate) fn json(&self, trace: AttemptId, with_output: bool) -> Vec<u8> {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let code = self.result.code();
        let body = OutcomeBody {
            code: code.number(),
            name: code.name(),
            ran: self.result.ran().as_str(),
            whole: code.is_complete(),
            message: &self.message,
            output: self.output.as_deref().filter(|_| with_output),
            retry_after_ms: self.retry_after.map(millis),
            trace: trace.to_string(),
            stages: &self.stages,
        };
        // The body consists of strings, numbers and booleans, so it always serializes.
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Builds the HTTP response.
    pub(crate) fn response(&self, trace: AttemptId) -> HttpResponse {
        let status = StatusCode::try_from(self.result.http_status());
        let mut response = HttpResponse::new(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.set_body(self.json(trace, true));
        response.insert_header("content-type", "application/json");
        response.insert_header("turnford-code", self.result.code().number().to_string());
        response.insert_header("turnford-trace", trace.to_string());
        if let Some(duration) = self.retry_after {
            let seconds = duration.as_secs_f64().ceil().max(1.0);
            response.insert_header("retry-after", format!("{seconds:.0}"));
        }
        response
    }
}
