//! Calls with a single response: stage pools and plain services.

use std::net::SocketAddr;

use serde::Deserialize;
use turnford_http::BufferedResponse;

use crate::call::named_attempt;
use crate::call::parse_error;
use crate::TargetCall;
use crate::TargetClient;
use crate::TargetError;
use crate::TargetResponse;

/// Response body of a call.
#[derive(Deserialize)]
struct ResponseBody {
    attempt: String,
    output: String,
    #[serde(default)]
    tokens: u32,
    #[serde(default)]
    cached: u32,
}

impl TargetClient {
    /// Makes a call and reads its complete response.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the target may have started the call.
    pub async fn run(
        &self,
        to: SocketAddr,
        call: &TargetCall,
    ) -> Result<TargetResponse, TargetError> {
        let request = call.request(to, false)?;
        let belongs =
            |response: &BufferedResponse| named_attempt(&response.body) == Some(call.attempt);
        let sent = self.http.send_checked(to, request, call.limit, belongs);
        let response = sent.await?;
        if response.status != 200 {
            return Err(parse_error(call.attempt, response.status, &response.body));
        }
        let parsed: Result<ResponseBody, _> = serde_json::from_slice(&response.body);
        let body = parsed.map_err(|_| TargetError::Malformed)?;
        if body.attempt.parse() != Ok(call.attempt) {
            return Err(TargetError::AttemptMismatch);
        }
        Ok(TargetResponse {
            output: body.output,
            tokens: body.tokens,
            cached: body.cached,
        })
    }
}
