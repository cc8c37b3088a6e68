//! What every client of the platform has: connections, an address and a budget of calls.

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

/// Connections to one of the platform's services.
#[derive(Clone)]
pub(crate) struct PlatformLink {
    http: Arc<HttpClient>,
    address: SocketAddr,
    pub(crate) budget: Arc<CallBudget>,
}

impl PlatformLink {
    pub(crate) fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        Self {
            http: Arc::new(HttpClient::new()),
            address,
            budget,
        }
    }

    /// Starts a call that reads, if the budget has one.
    pub(crate) fn read(&self, method: Method, path: &str) -> Result<HttpRequest, PlatformError> {
        if !self.budget.take_read() {
            return Err(PlatformError::OverBudget);
        }
        Ok(HttpClient::request(method, self.address, path)?)
    }

    /// Starts a call that writes, if the budget has one.
    pub(crate) fn write(&self, method: Method, path: &str) -> Result<HttpRequest, PlatformError> {
        if !self.budget.take_write() {
            return Err(PlatformError::OverBudget);
        }
        Ok(HttpClient::request(method, self.address, path)?)
    }

    /// Makes a call whose answer has to begin within `limit`.
    pub(crate) async fn send(
        &self,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        let limit = ResponseTimeouts::new(limit);
        Ok(self.http.fetch(self.address, request, &limit).await?)
    }
}
