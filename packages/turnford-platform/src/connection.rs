//! Transport shared by the clients of the platform: connections, an address and a call budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use turnford_http::BufferedResponse;
use turnford_http::HttpClient;
use turnford_http::HttpRequest;
use turnford_http::ResponseTimeouts;

use crate::CallBudget;
use crate::PlatformError;

/// Connections to one service of the platform.
#[derive(Clone)]
pub(crate) struct PlatformConnection {
    http: Arc<HttpClient>,
    address: SocketAddr,
    pub(crate) budget: Arc<CallBudget>,
}

impl PlatformConnection {
    pub(crate) fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        Self {
            http: Arc::new(HttpClient::new()),
            address,
            budget,
        }
    }

    /// Creates a read request and takes it from the budget.
    pub(crate) fn read(&self, method: Method, path: &str) -> Result<HttpRequest, PlatformError> {
        if !self.budget.take_read() {
            return Err(PlatformError::OverBudget);
        }
        Ok(HttpClient::request(method, self.address, path)?)
    }

    /// Creates a write request and takes it from the budget.
    pub(crate) fn write(&self, method: Method, path: &str) -> Result<HttpRequest, PlatformError> {
        if !self.budget.take_write() {
            return Err(PlatformError::OverBudget);
        }
        Ok(HttpClient::request(method, self.address, path)?)
    }

    /// Sends a request. The response must begin within `timeout`.
    pub(crate) async fn send(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        let timeouts = ResponseTimeouts::new(timeout);
        Ok(self.http.fetch(self.address, request, &timeouts).await?)
    }
}
