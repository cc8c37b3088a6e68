//! The VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::PlatformLink;
use crate::CallBudget;
use crate::PlatformError;

/// Longest wait for the list.
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// State of a VM as the list has it, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Takes work.
    Live,
    /// Will go away.
    Leaving,
}

/// One target VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique in the fleet.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Address for calls.
    pub address: SocketAddr,
    /// Hall that it stands in.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Hardware class.
    pub hardware: String,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Cost of one second of one slot.
    pub cost: f64,
    /// Models and adapters present.
    #[serde(default)]
    pub models: Vec<String>,
    /// State.
    pub state: VmState,
}

/// Client of the VM list.
#[derive(Clone)]
pub struct VmClient {
    link: PlatformLink,
}

impl VmClient {
    /// Makes a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        let link = PlatformLink::new(address, budget);
        Self { link }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Returns the fault of the call.
    pub async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let request = self.link.read(Method::GET, "/vms")?;
        let answer = self.link.send(request, LIST_LIMIT).await?;
        if answer.status != 200 {
            return Err(PlatformError::Unavailable);
        }
        serde_json::from_slice(&answer.body).map_err(|_| PlatformError::Malformed)
    }
}
