//! Client of the rate-limited store of model weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;

use crate::connection::PlatformConnection;
use crate::CallBudget;
use crate::PlatformError;

/// Timeout for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct LoadSlot {
    /// Milliseconds until the load may begin; 0 means now.
    pub(crate) wait_ms: u64,
}

/// Client of the weight store.
#[derive(Clone)]
pub struct WeightClient {
    connection: PlatformConnection,
}

impl WeightClient {
    /// Creates a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        let connection = PlatformConnection::new(address, budget);
        Self { connection }
    }

    /// Reserves the next time slot to load a model's weights and returns the time until it begins.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] for an unknown model, or the error of the call.
    pub async fn reserve(&self, model: &str) -> Result<Duration, PlatformError> {
        let path = format!("/weights/{model}");
        let request = self.connection.read(Method::POST, &path)?;
        let response = self.connection.send(request, CALL_TIMEOUT).await?;
        match response.status {
            200 => {
                let slot: LoadSlot =
                    serde_json::from_slice(&response.body).map_err(|_| PlatformError::Malformed)?;
                Ok(Duration::from_millis(slot.wait_ms))
            }
            404 => Err(PlatformError::NotFound),
            _ => Err(PlatformError::Unavailable),
        }
    }
}
