//! HTTP client of the own interfaces: persistent connections by address, bounded bodies, and one timeout per
//! exchange or separate timeouts for responses that may be large.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use async_net::TcpStream;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::future;
use futures_lite::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;

use turnford_policy::Clock;
use turnford_policy::SystemClock;

use crate::open_stream;
use crate::read_allowance::BoundedReader;
use crate::read_allowance::ReadAllowance;
use crate::read_chunks;
use crate::wait_timeout;
use crate::HttpError;
use crate::HttpRequest;
use crate::ReceiveError;
use crate::ResponseTimeouts;
use crate::DEFAULT_BODY_LIMIT;
use crate::LARGE_RESPONSE_LIMIT;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Maximum length of a line in a streamed response, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Maximum number of bytes received until the head of a response is complete, with all interim responses.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Size limit of a response to [`HttpClient::send_large`], in bytes.
const LARGE_BODY_LIMIT: usize = 512 * 1024 * 1024;

/// Future that performs the I/O of a connection.
type ConnectionDriver = Connection<FuturesIo<BoundedReader<TcpStream>>, Full<Bytes>>;

/// A connection that is driven by the task that waits for its response.
struct DrivenConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<ConnectionDriver>>,
    /// Whether the driver has completed.
    is_done: bool,
    stream: TcpStream,
    allowance: Arc<ReadAllowance>,
}

impl DrivenConnection {
    async fn open(to: SocketAddr) -> Result<Self, HttpError> {
        let stream = open_stream(to).await;
        let stream = stream.map_err(|_| HttpError::NotConnected)?;
        let allowance = Arc::new(ReadAllowance::default());
        let reader = BoundedReader::new(stream.clone(), allowance.clone());
        let handshake = http1::handshake(FuturesIo::new(reader)).await;
        let (sender, driver) = handshake.map_err(|_| HttpError::NotConnected)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            is_done: false,
            stream,
            allowance,
        })
    }

    /// Returns whether nothing was received since the last response. An idle connection with unread bytes
    /// or an end of stream must not be reused: a request could receive the response to another one.
    fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = future::block_on(future::poll_once(self.stream.peek(&mut byte)));
        peeked.is_none()
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let Self {
            sender,
            driver,
            is_done,
            allowance,
            ..
        } = self;
        allowance.grant(MAX_HEAD_BYTES);
        let exchange = async {
            if sender.ready().await.is_err() {
                return Err(HttpError::NotConnected);
            }
            let sent = sender.try_send_request(request).await;
            sent.map_err(|mut error| match error.take_message() {
                Some(_) => HttpError::NotConnected,
                None => HttpError::Disconnected,
            })
        };
        drive(driver, is_done, allowance, exchange).await?
    }
}

/// Polls a step together with the driver of its connection until the step completes.
///
/// # Errors
///
/// Returns [`HttpError::TooLarge`] if the step needs more bytes than the connection may read.
async fn drive<T>(
    driver: &mut Pin<Box<ConnectionDriver>>,
    is_done: &mut bool,
    allowance: &ReadAllowance,
    step: impl Future<Output = T>,
) -> Result<T, HttpError> {
    let mut step = pin!(step);
    future::poll_fn(|context| {
        if let Poll::Ready(value) = step.as_mut().poll(context) {
            return Poll::Ready(Ok(value));
        }
        if !*is_done {
            // The step reports connection errors.
            *is_done = driver.as_mut().poll(context).is_ready();
        }
        match step.as_mut().poll(context) {
            Poll::Ready(value) => Poll::Ready(Ok(value)),
            Poll::Pending if allowance.is_exceeded() => Poll::Ready(Err(HttpError::TooLarge)),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// HTTP client that reuses idle connections.
#[derive(Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<DrivenConnection>>>,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code of the response.
    pub status: u16,
    /// Complete body, never truncated.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

/// A response whose body is read line by line as it arrives.
pub struct HttpStream<'a> {
    /// Status code of the response.
    pub status: u16,
    client: &'a HttpClient,
    address: SocketAddr,
    connection: DrivenConnection,
    parts: http::response::Parts,
    body: Incoming,
    /// Received bytes that have not been returned yet.
    buffer: BytesMut,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a request for a path such as `/run`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if the path does not start with a slash.
    pub fn request(method: Method, to: SocketAddr, path: &str) -> Result<HttpRequest, HttpError> {
        if !path.starts_with('/') {
            return Err(HttpError::NotConnected);
        }
        Ok(HttpRequest::new(method, to, path))
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the request.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<BufferedResponse, HttpError> {
        self.send_checked(to, request, timeout, |_| true).await
    }

    /// Sends a request and reads the complete response as [`HttpClient::send`] does. The connection is kept
    /// only if the response belongs to the request: after another one, the next response is not that to the
    /// next request.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the request.
    pub async fn send_checked(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
        belongs: impl FnOnce(&BufferedResponse) -> bool,
    ) -> Result<BufferedResponse, HttpError> {
        let clock = SystemClock::new();
        let mut stream = self.open(to, request, timeout).await?;
        let remaining = timeout.saturating_sub(clock.now());
        let body = within(remaining, HttpError::TimeoutAfterSend, stream.read_body()).await?;
        let response = stream.buffered(body);
        if belongs(&response) {
            stream.recycle();
        }
        Ok(response)
    }

    /// Sends a request and reads a response of up to [`LARGE_RESPONSE_LIMIT`] bytes as long as data keeps
    /// arriving.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the request.
    pub async fn fetch(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeouts: &ResponseTimeouts,
    ) -> Result<BufferedResponse, HttpError> {
        let mut stream = self.open(to, request, timeouts.first_byte).await?;
        let allowance = &stream.connection.allowance;
        allowance.grant_body(LARGE_RESPONSE_LIMIT);
        let next = async || stream.next_chunk().await.transpose();
        let body = read_chunks(timeouts, LARGE_RESPONSE_LIMIT, next).await;
        let body = body.map_err(|error| match error {
            ReceiveError::Stalled(_) => HttpError::TimeoutAfterSend,
            ReceiveError::TooLarge => HttpError::TooLarge,
            ReceiveError::Transport(error) => error,
        })?;
        Ok(stream.finish(body))
    }

    /// Sends a request and reads a response of up to 512 MiB; for tools. `timeout` applies to the head of the
    /// response and again to its body.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the request.
    pub async fn send_large(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<BufferedResponse, HttpError> {
        let mut stream = self.open(to, request, timeout).await?;
        let read = stream.read_bounded(LARGE_BODY_LIMIT);
        let body = within(timeout, HttpError::TimeoutAfterSend, read).await?;
        Ok(stream.finish(body))
    }

    /// Sends a request and returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the request.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<HttpStream<'_>, HttpError> {
        let clock = SystemClock::new();
        let request = encode(request)?;
        let mut connection = match self.take_idle(to) {
            Some(connection) => connection,
            None => {
                within(
                    timeout,
                    HttpError::TimeoutBeforeSend,
                    DrivenConnection::open(to),
                )
                .await?
            }
        };
        let remaining = timeout.saturating_sub(clock.now());
        if remaining.is_zero() {
            return Err(HttpError::TimeoutBeforeSend);
        }
        let response = within(
            remaining,
            HttpError::TimeoutAfterSend,
            connection.send(request),
        )
        .await?;
        let (parts, body) = response.into_parts();
        Ok(HttpStream {
            status: parts.status.as_u16(),
            client: self,
            address: to,
            connection,
            parts,
            body,
            buffer: BytesMut::new(),
        })
    }

    /// Takes an idle connection on which nothing has been received, not even its close.
    fn take_idle(&self, to: SocketAddr) -> Option<DrivenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_done && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, connection: DrivenConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }
}

/// Converts the request to the type that `hyper` sends.
fn encode(request: HttpRequest) -> Result<Request<Full<Bytes>>, HttpError> {
    let mut builder = Request::builder().method(request.method).uri(request.path);
    let has_host = request.headers.iter().any(|(name, _)| name == "host");
    if !has_host {
        builder = builder.header(http::header::HOST, request.to.to_string());
    }
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::from(request.body));
    builder.body(body).map_err(|_| HttpError::NotConnected)
}

impl BufferedResponse {
    /// Returns the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl HttpStream<'_> {
    /// Reads the next line without its line feed; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Disconnected`] if the connection fails, [`HttpError::TooLarge`] for a line
    /// over the size limit, with its framing.
    pub async fn next_line(&mut self) -> Result<Option<String>, HttpError> {
        self.connection.allowance.grant_body(MAX_LINE_BYTES);
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let line = String::from_utf8_lossy(&line[..end]);
                return Ok(Some(line.into_owned()));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(HttpError::TooLarge);
            }
            match self.next_chunk().await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) => return Err(HttpError::Truncated),
                Err(HttpError::TooLarge) => return Err(HttpError::TooLarge),
                Err(_) => return Err(HttpError::Disconnected),
            }
        }
    }

    /// Reads the remaining body, up to [`DEFAULT_BODY_LIMIT`] bytes.
    ///
    /// # Errors
    ///
    /// Returns why the body could not be read completely; [`HttpError::Truncated`] if it ended before its
    /// announced length.
    pub async fn read_body(&mut self) -> Result<Vec<u8>, HttpError> {
        self.read_bounded(DEFAULT_BODY_LIMIT).await
    }

    async fn read_bounded(&mut self, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        self.connection.allowance.grant_body(max_bytes);
        let mut body = std::mem::take(&mut self.buffer).to_vec();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
            if body.len() > max_bytes {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(body)
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            let frame = self.body.frame();
            let connection = &mut self.connection;
            let DrivenConnection {
                driver,
                is_done,
                allowance,
                ..
            } = connection;
            match drive(driver, is_done, allowance, frame).await? {
                None => return Ok(None),
                // Trailers are ignored.
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Some(Err(error)) => {
                    log::debug!("failed to read a response body: {error}");
                    return Err(HttpError::Truncated);
                }
            }
        }
    }

    /// Returns the response with its complete body and releases the connection for reuse.
    fn finish(self, body: Vec<u8>) -> BufferedResponse {
        let response = self.buffered(body);
        self.recycle();
        response
    }

    fn buffered(&self, body: Vec<u8>) -> BufferedResponse {
        BufferedResponse {
            status: self.status,
            body,
            headers: self.headers(),
        }
    }

    /// Releases the connection for reuse. Must be called only after the end of the body was read.
    pub fn recycle(self) {
        let connection = self.parts.headers.get(http::header::CONNECTION);
        let closes = connection.is_some_and(|value| value.as_bytes() == b"close");
        if !closes && !self.connection.is_done {
            self.client.put_idle(self.address, self.connection);
        }
    }

    /// Returns the headers of the response, with names in lower case.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pairs = self.parts.headers.iter();
        let texts = pairs.filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        texts.collect()
    }
}

/// Runs a step with a timeout; returns `error` if the timeout expires.
async fn within<T>(
    timeout: Duration,
    error: HttpError,
    step: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let timer = async {
        wait_timeout(timeout).await;
        Err(error)
    };
    step.or(timer).await
}
