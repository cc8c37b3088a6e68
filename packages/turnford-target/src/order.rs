//! Fenced orders to targets.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use turnford_http::HttpClient;

use crate::TargetClient;
use crate::TargetError;

/// Body of an order.
#[derive(Serialize)]
struct OrderBody<'a> {
    token: u64,
    kind: &'a str,
    model: &'a str,
}

impl TargetClient {
    /// Gives an order with a token; `limit` is the longest time that it can be in flight.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::Full`] if the target refused it, for its token or for want of room,
    /// or the fault of the call.
    pub async fn order(
        &self,
        to: SocketAddr,
        token: u64,
        kind: &str,
        model: &str,
        limit: Duration,
    ) -> Result<(), TargetError> {
        let body = OrderBody { token, kind, model };
        let bytes = serde_json::to_vec(&body).map_err(|_| TargetError::NotSent)?;
        let mut request = HttpClient::request(Method::POST, to, "/order")?;
        request.set_body(bytes);
        let answer = self.http.send(to, request, limit).await?;
        match answer.status {
            202 => Ok(()),
            409 | 422 => Err(TargetError::Full),
            _ => Err(TargetError::Failed),
        }
    }
}
