//! The rate-limited store of model weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;

use crate::connection::PlatformLink;
use crate::CallBudget;
use crate::PlatformError;

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Answer to a question for a load's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct LoadSlot {
    /// Milliseconds until the load may begin; 0 means now.
    pub(crate) wait_ms: u64,
}

/// Client of the weight store.
#[derive(Clone)]
pub struct WeightClient {
    link: PlatformLink,
}

impl WeightClient {
    /// Makes a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        let link = PlatformLink::new(address, budget);
        Self { link }
    }

    /// Asks when a model's weights may be loaded next.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] for an unknown model, or the fault of the call.
    pub async fn reserve(&self, model: &str) -> Result<Duration, PlatformError> {
        let path = format!("/weights/{model}");
        let request = self.link.read(Method::POST, &path)?;
        let answer = self.link.send(request, CALL_LIMIT).await?;
        match answer.status {
            200 => {
                let slot: LoadSlot =
                    serde_json::from_slice(&answer.body).map_err(|_| PlatformError::Malformed)?;
                Ok(Duration::from_millis(slot.wait_ms))
            }
            404 => Err(PlatformError::NotFound),
            _ => Err(PlatformError::Unavailable),
        }
    }
}
