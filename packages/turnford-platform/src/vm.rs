//! Client of the VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::PlatformConnection;
use crate::CallBudget;
use crate::PlatformError;

/// Timeout for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a VM according to the list, which lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM accepts work.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A target VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique in the fleet.
    pub name: String,
    /// Service that the VM runs.
    pub service: String,
    /// Address for calls.
    pub address: SocketAddr,
    /// Hall of the VM.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Hardware class.
    pub hardware: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Cost of one slot per second.
    pub cost: f64,
    /// Models and adapters present on the VM.
    #[serde(default)]
    pub models: Vec<String>,
    /// State of the VM.
    pub state: VmState,
}

/// Client of the VM list.
#[derive(Clone)]
pub struct VmClient {
    connection: PlatformConnection,
}

impl VmClient {
    /// Creates a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        let connection = PlatformConnection::new(address, budget);
        Self { connection }
    }

    /// Reads the complete list.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let request = self.connection.read(Method::GET, "/vms")?;
        let response = self.connection.send(request, LIST_TIMEOUT).await?;
        if response.status != 200 {
            return Err(PlatformError::Unavailable);
        }
        serde_json::from_slice(&response.body).map_err(|_| PlatformError::Malformed)
    }
}
