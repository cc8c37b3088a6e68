//! `turnford status` and `turnford drain`.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use turnford_http::BufferedResponse;
use turnford_http::HttpClient;
use turnford_http::HttpError;

use crate::exit::ExitStatus;

/// Time-out of a call to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints a node's status.
pub(super) fn show_status(node: SocketAddr) -> ExitStatus {
    match call_node(node, Method::GET, "/status") {
        Ok(response) => {
            let value: Option<serde_json::Value> = serde_json::from_slice(&response.body).ok();
            match value.and_then(|value| serde_json::to_string_pretty(&value).ok()) {
                Some(text) => {
                    println!("{text}");
                    ExitStatus::Success
                }
                None => fail(node, "the response is not valid JSON"),
            }
        }
        Err(error) => fail(node, &error.to_string()),
    }
}

/// Starts a node's planned stop.
pub(super) fn start_drain(node: SocketAddr) -> ExitStatus {
    match call_node(node, Method::POST, "/drain") {
        Ok(response) if response.status == 202 => {
            println!("{node}: planned stop started");
            ExitStatus::Success
        }
        Ok(response) => fail(node, &format!("status {}", response.status)),
        Err(error) => fail(node, &error.to_string()),
    }
}

fn call_node(node: SocketAddr, method: Method, path: &str) -> Result<BufferedResponse, HttpError> {
    let client = HttpClient::new();
    let request = HttpClient::request(method, node, path)?;
    async_io::block_on(client.send(node, request, CALL_TIMEOUT))
}

fn fail(node: SocketAddr, message: &str) -> ExitStatus {
    eprintln!("{node}: {message}");
    ExitStatus::Unavailable
}
