//! Load reports and cache events of targets, both late.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use turnford_http::HttpClient;

use crate::TargetClient;
use crate::TargetError;

/// Longest wait for a report.
const REPORT_LIMIT: Duration = Duration::from_secs(1);

/// What a target says of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Calls running.
    pub running: u32,
    /// Calls queued.
    pub queued: u32,
    /// Age of the numbers in milliseconds.
    pub age_ms: u64,
    /// Whether the target leaves.
    pub leaving: bool,
    /// Models and adapters that can serve now.
    #[serde(default)]
    pub models: Vec<String>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, rising by one.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is held now.
    pub present: bool,
}

/// Events after a number; a first number higher than asked for shows a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

impl TargetClient {
    /// Asks a target for its load.
    ///
    /// # Errors
    ///
    /// Returns the fault of the call.
    pub async fn report(&self, to: SocketAddr) -> Result<TargetReport, TargetError> {
        self.read_json(to, "/report").await
    }

    /// Asks an engine for its cache events after a number.
    ///
    /// # Errors
    ///
    /// Returns the fault of the call.
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
        let answer = self.http.send(to, request, REPORT_LIMIT).await?;
        if answer.status != 200 {
            return Err(TargetError::Failed);
        }
        serde_json::from_slice(&answer.body).map_err(|_| TargetError::Malformed)
    }
}
