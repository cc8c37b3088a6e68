//! Clients that open a connection for each attempt and repeat a failed request once at another node.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use turnford_http::HttpClient;
use turnford_http::HttpError;
use turnford_standin::RouteCall;

/// Time for which clients wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// An attempt at one node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    /// Time until its end.
    pub(crate) held: Duration,
    /// Status of its response, `None` if there was no complete one.
    pub(crate) status: Option<u16>,
    /// Whether the connection ended before any byte of a response.
    pub(crate) is_cut: bool,
}

impl Attempt {
    pub(crate) fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// A request with its attempts.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) at: Instant,
    pub(crate) attempts: Vec<Attempt>,
}

/// Sends an attempt over a connection of its own.
pub(crate) fn send_attempt(to: SocketAddr, call: &RouteCall, id: &str) -> Attempt {
    let started_at = Instant::now();
    let request = call.request(to, id).expect("a path");
    let response = async_io::block_on(HttpClient::new().send(to, request, RESPONSE_TIMEOUT));
    Attempt {
        id: id.to_owned(),
        held: started_at.elapsed(),
        status: response.as_ref().ok().map(|response| response.status),
        is_cut: matches!(
            response,
            Err(HttpError::NotConnected | HttpError::Disconnected)
        ),
    }
}
