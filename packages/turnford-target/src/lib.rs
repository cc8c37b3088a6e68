//! Clients of the targets: model engines, stage pools and plain services.
//!
//! One call is one attempt. Its id goes out with the call and must come back with every part of
//! the answer; an answer that carries another id is dropped and reported as
//! [`TargetError::AttemptMismatch`].

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

/// Client of all targets of one thread.
#[derive(Clone, Default)]
pub struct TargetClient {
    http: Arc<HttpClient>,
}

impl TargetClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::default()
    }
}

/// Address of one target.
pub type TargetAddress = SocketAddr;
