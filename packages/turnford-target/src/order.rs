//! Orders to targets, fenced by tokens.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use turnford_http::HttpClient;

use crate::TargetClient;
use crate::TargetError;

/// Request body of an order.
#[derive(Serialize)]
struct OrderBody<'a> {
    token: u64,
    kind: &'a str,
    model: &'a str,
}

impl TargetClient {
    /// Sends an order with its fencing token. `timeout` is the maximum time that it can be in flight.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::Full`] if the target refused the order because of its token or for lack of
    /// memory, or the error of the call.
    pub async fn order(
        &self,
        to: SocketAddr,
        token: u64,
        kind: &str,
        model: &str,
        timeout: Duration,
    ) -> Result<(), TargetError> {
        let body = OrderBody { token, kind, model };
        let bytes = serde_json::to_vec(&body).map_err(|_| TargetError::NotSent)?;
        let mut request = HttpClient::request(Method::POST, to, "/order")?;
        request.set_body(bytes);
        let response = self.send_unnamed(to, request, timeout).await?;
        match response.status {
            202 => Ok(()),
            409 | 422 => Err(TargetError::Full),
            _ => Err(TargetError::Failed),
        }
    }
}
