//! Load reports and cache events of targets. Both lag behind the state of the target.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use turnford_http::HttpClient;

use crate::TargetClient;
use crate::TargetError;

/// Timeout for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Load report of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Models and adapters that are ready to serve.
    #[serde(default)]
    pub models: Vec<String>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, increasing by one.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached.
    pub present: bool,
}

/// Cache events after a sequence number. If the first number is higher than requested, events were lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events, sorted by number.
    pub events: Vec<CacheEvent>,
}

impl TargetClient {
    /// Requests the load report of a target.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn report(&self, to: SocketAddr) -> Result<TargetReport, TargetError> {
        self.read_json(to, "/report").await
    }

    /// Requests the cache events of an engine after a sequence number.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn cache_events(
        &self,
        to: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, TargetError> {
        self.read_json(to, &format!("/events?after={after}")).await
    }

    async fn read_json<T: for<'de> Deserialize<'de>>(
        &self,
        to: SocketAddr,
        path: &str,
    ) -> Result<T, TargetError> {
        let request = HttpClient::request(Method::GET, to, path)?;
        let response = self.send_unnamed(to, request, REPORT_TIMEOUT).await?;
        if response.status != 200 {
            return Err(TargetError::Failed);
        }
        serde_json::from_slice(&response.body).map_err(|_| TargetError::Malformed)
    }
}
