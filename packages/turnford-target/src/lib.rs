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

use turnford_http::HttpClient;

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
}

/// Address of a target.
pub type TargetAddress = SocketAddr;
