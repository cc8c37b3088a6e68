//! Client of the targets: model engines, stage pools and plain services.
//!
//! Each call is one attempt. The attempt id is sent with the call and must be repeated in every part of the
//! response. A response with another id is discarded and reported as [`TargetError::AttemptMismatch`].

mod call;
mod engine;
mod error;
mod order;
mod report;
mod unary;

pub use call::TargetCall;
pub use call::TargetResponse;
pub use engine::EngineStream;
pub use engine::StreamStep;
pub use error::TargetError;
pub use report::CacheEvent;
pub use report::CacheEvents;
pub use report::TargetReport;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use turnford_http::BufferedResponse;
use turnford_http::HttpClient;
use turnford_http::HttpRequest;

use crate::call::named_attempt;

/// Client of one thread for all targets.
#[derive(Clone, Default)]
pub struct TargetClient {
    http: Arc<HttpClient>,
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request that is not an attempt. A response that names an attempt belongs to another call.
    async fn send_unnamed(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<BufferedResponse, TargetError> {
        let belongs = |response: &BufferedResponse| named_attempt(&response.body).is_none();
        let sent = self.http.send_checked(to, request, timeout, belongs);
        let response = sent.await?;
        if belongs(&response) {
            return Ok(response);
        }
        Err(TargetError::AttemptMismatch)
    }
}

/// Address of a target.
pub type TargetAddress = SocketAddr;
