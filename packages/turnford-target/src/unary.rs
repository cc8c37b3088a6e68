//! Calls whose answer comes whole: stage pools and plain services.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::call::fault_of;
use crate::TargetCall;
use crate::TargetClient;
use crate::TargetError;
use crate::TargetResponse;

/// Body of a whole answer.
#[derive(Deserialize)]
struct AnswerBody {
    attempt: String,
    output: String,
    #[serde(default)]
    tokens: u32,
    #[serde(default)]
    cached: u32,
}

impl TargetClient {
    /// Makes a call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns the fault, which says what is known of the attempt.
    pub async fn run(
        &self,
        to: SocketAddr,
        call: &TargetCall,
    ) -> Result<TargetResponse, TargetError> {
        let request = call.request(to, false)?;
        let answer = self.http.send(to, request, call.limit).await?;
        if answer.status != 200 {
            return Err(fault_of(answer.status, &answer.body));
        }
        let parsed: Result<AnswerBody, _> = serde_json::from_slice(&answer.body);
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
