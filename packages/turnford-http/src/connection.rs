//! A persistent connection to a server, over `hyper`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use crate::head_limit::HeadAllowance;
use crate::head_limit::LimitedStream;
use crate::open_stream;
use crate::wait_timeout;
use crate::HttpError;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    local_port: u16,
    sender: SendRequest<Full<Bytes>>,
    allowance: Arc<HeadAllowance>,
}

impl HttpConnection {
    /// Opens a connection; `executor` drives it until it closes.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if the connection cannot be opened within `timeout`.
    pub async fn open(
        executor: &LocalExecutor<'_>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, HttpError> {
        let connect = async { open_stream(address).await.ok() };
        let expired = async {
            wait_timeout(timeout).await;
            None
        };
        let stream = connect.or(expired).await.ok_or(HttpError::NotConnected)?;
        let local = stream.local_addr().map_err(|_| HttpError::NotConnected)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER);
        let allowance = HeadAllowance::new();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) = builder
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| HttpError::NotConnected)?;
        let drive = async move {
            // The exchange that uses the connection reports the error.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        };
        executor.spawn(drive).detach();
        Ok(Self {
            address,
            local_port: local.port(),
            sender,
            allowance,
        })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns this end's port, which tells the connections to a server apart.
    pub fn local_port(&self) -> u16 {
        self.local_port
    }

    /// Returns whether the connection can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if no byte of the request was sent,
    /// [`HttpError::Disconnected`] if the connection was lost after that, and [`HttpError::TooLarge`] if
    /// more bytes arrived than a head may have.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        if self.sender.ready().await.is_err() {
            return Err(HttpError::NotConnected);
        }
        self.allowance.expect_head();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => HttpError::NotConnected,
            None if self.allowance.is_exhausted() || error.error().is_parse_too_large() => {
                HttpError::TooLarge
            }
            None => HttpError::Disconnected,
        })?;
        self.allowance.record_head();
        Ok(response)
    }
}

/// Maximum size of the read buffer, in bytes: the head of a response and part of its body.
const MAX_READ_BUFFER: usize = 64 * 1024;
