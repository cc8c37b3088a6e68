//! One kept connection towards a target, over `hyper`.

use std::net::SocketAddr;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use crate::open_stream;
use crate::HttpError;

/// A connection that takes one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection; `executor` drives it until it ends.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if there is none within `limit`.
    pub async fn open(
        executor: &LocalExecutor<'_>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Self, HttpError> {
        let connect = async { open_stream(address).await.ok() };
        let late = async {
            Timer::after(limit).await;
            None
        };
        let stream = connect.or(late).await.ok_or(HttpError::NotConnected)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LINK_BUFFER);
        let (sender, connection) = builder
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| HttpError::NotConnected)?;
        let drive = async move {
            // Its end shows in the exchange that uses it.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        };
        executor.spawn(drive).detach();
        Ok(Self { address, sender })
    }

    /// Returns the address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Tells whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if no byte of the request was handed over, and
    /// [`HttpError::Disconnected`] if it was and no answer came.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        if self.sender.ready().await.is_err() {
            return Err(HttpError::NotConnected);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => HttpError::NotConnected,
            None => HttpError::Disconnected,
        })
    }
}

/// Largest read buffer of a connection, in bytes: the head of an answer and some of its body.
const LINK_BUFFER: usize = 64 * 1024;
