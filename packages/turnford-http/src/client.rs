//! The calling side of the product's own interfaces: kept connections by address, bounded bodies,
//! one time limit per exchange, or limits for an answer that may be large.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
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
use crate::read_chunks;
use crate::HttpError;
use crate::HttpRequest;
use crate::ReceiveError;
use crate::ResponseTimeouts;
use crate::DEFAULT_BODY_LIMIT;
use crate::LARGE_RESPONSE_LIMIT;

/// Most idle connections kept to one address.
const IDLE_LIMIT: usize = 64;

/// Longest line accepted in a streamed answer, in bytes.
const LINE_LIMIT: usize = 64 * 1024;

/// Largest answer of [`HttpClient::send_large`], in bytes.
const LARGE_BODY_LIMIT: usize = 512 * 1024 * 1024;

/// The driver of a connection, which has to be polled for anything to happen on it.
type LinkDriver = Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// A connection that is driven by whoever waits for its answer.
struct DrivenLink {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<LinkDriver>>,
    /// Whether the driver has ended.
    is_done: bool,
    stream: TcpStream,
}

impl DrivenLink {
    async fn open(to: SocketAddr) -> Result<Self, HttpError> {
        let stream = open_stream(to).await;
        let stream = stream.map_err(|_| HttpError::NotConnected)?;
        let shaken = http1::handshake(FuturesIo::new(stream.clone())).await;
        let (sender, driver) = shaken.map_err(|_| HttpError::NotConnected)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            is_done: false,
            stream,
        })
    }

    /// Tells whether nothing came since the last answer. A connection that shows bytes or an end
    /// while idle belongs to no call any more; using it would give one call the answer of another.
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
            ..
        } = self;
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
        drive(driver, is_done, exchange).await
    }
}

/// Polls a step together with the driver of its connection until the step ends.
async fn drive<T>(
    driver: &mut Pin<Box<LinkDriver>>,
    is_done: &mut bool,
    step: impl Future<Output = T>,
) -> T {
    let mut step = pin!(step);
    future::poll_fn(|context| {
        if let Poll::Ready(value) = step.as_mut().poll(context) {
            return Poll::Ready(value);
        }
        if !*is_done {
            // How the connection ends shows in the step.
            *is_done = driver.as_mut().poll(context).is_ready();
        }
        step.as_mut().poll(context)
    })
    .await
}

/// A client that keeps connections for reuse.
#[derive(Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<DrivenLink>>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code of the answer.
    pub status: u16,
    /// Whole body, never cut.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

/// An answer whose body is read line by line as it comes.
pub struct HttpStream<'a> {
    /// Status code of the answer.
    pub status: u16,
    client: &'a HttpClient,
    address: SocketAddr,
    link: DrivenLink,
    parts: http::response::Parts,
    body: Incoming,
    /// Bytes read and not yet given out.
    rest: BytesMut,
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request with a path such as `/run`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotConnected`] if the path is none.
    pub fn request(method: Method, to: SocketAddr, path: &str) -> Result<HttpRequest, HttpError> {
        if !path.starts_with('/') {
            return Err(HttpError::NotConnected);
        }
        Ok(HttpRequest::new(method, to, path))
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<BufferedResponse, HttpError> {
        let clock = SystemClock::new();
        let mut open = self.open(to, request, limit).await?;
        let left = limit.saturating_sub(clock.now());
        let body = within(left, HttpError::TimeoutAfterSend, open.read_body()).await?;
        Ok(open.finish(body))
    }

    /// Sends a request and reads an answer of up to [`LARGE_RESPONSE_LIMIT`] for as long as it comes.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn fetch(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        limit: &ResponseTimeouts,
    ) -> Result<BufferedResponse, HttpError> {
        let mut open = self.open(to, request, limit.first_byte).await?;
        let next = async || open.next_chunk().await.transpose();
        let body = read_chunks(limit, LARGE_RESPONSE_LIMIT, next).await;
        let body = body.map_err(|fault| match fault {
            ReceiveError::Stalled(_) => HttpError::TimeoutAfterSend,
            ReceiveError::TooLarge => HttpError::TooLarge,
            ReceiveError::Transport(fault) => fault,
        })?;
        Ok(open.finish(body))
    }

    /// Sends a request and reads an answer of up to 512 MiB, for tools.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn send_large(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<BufferedResponse, HttpError> {
        let mut open = self.open(to, request, limit).await?;
        let read = open.read_bounded(LARGE_BODY_LIMIT);
        let body = within(limit, HttpError::TimeoutAfterSend, read).await?;
        Ok(open.finish(body))
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<HttpStream<'_>, HttpError> {
        let clock = SystemClock::new();
        let request = encode(request)?;
        let mut link = match self.take_idle(to) {
            Some(link) => link,
            None => within(limit, HttpError::TimeoutBeforeSend, DrivenLink::open(to)).await?,
        };
        let left = limit.saturating_sub(clock.now());
        if left.is_zero() {
            return Err(HttpError::TimeoutBeforeSend);
        }
        let response = within(left, HttpError::TimeoutAfterSend, link.send(request)).await?;
        let (parts, body) = response.into_parts();
        Ok(HttpStream {
            status: parts.status.as_u16(),
            client: self,
            address: to,
            link,
            parts,
            body,
            rest: BytesMut::new(),
        })
    }

    /// Takes a kept connection that the other side has not closed or written to.
    fn take_idle(&self, to: SocketAddr) -> Option<DrivenLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(link) = list.pop() {
            if !link.is_done && link.is_quiet() {
                return Some(link);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, link: DrivenLink) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(link);
        }
    }
}

/// Returns the request as the library sends it.
fn encode(request: HttpRequest) -> Result<Request<Full<Bytes>>, HttpError> {
    let mut builder = Request::builder().method(request.method).uri(request.path);
    let names_host = request.headers.iter().any(|(name, _)| name == "host");
    if !names_host {
        builder = builder.header(http::header::HOST, request.to.to_string());
    }
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::from(request.body));
    builder.body(body).map_err(|_| HttpError::NotConnected)
}

impl BufferedResponse {
    /// Returns a header's value by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

impl HttpStream<'_> {
    /// Reads the next line without its end; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Disconnected`] if the connection fails, [`HttpError::TooLarge`] for a line
    /// over the bound.
    pub async fn next_line(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line = self.rest.split_to(end + 1);
                let line = String::from_utf8_lossy(&line[..end]);
                return Ok(Some(line.into_owned()));
            }
            if self.rest.len() > LINE_LIMIT {
                return Err(HttpError::TooLarge);
            }
            match self.next_chunk().await {
                Ok(Some(chunk)) => self.rest.extend_from_slice(&chunk),
                Ok(None) if self.rest.is_empty() => return Ok(None),
                Ok(None) => return Err(HttpError::Truncated),
                Err(_) => return Err(HttpError::Disconnected),
            }
        }
    }

    /// Reads the rest of the body, which must have its announced length.
    ///
    /// # Errors
    ///
    /// Returns the fault that kept the body from being whole.
    pub async fn read_body(&mut self) -> Result<Vec<u8>, HttpError> {
        self.read_bounded(DEFAULT_BODY_LIMIT).await
    }

    async fn read_bounded(&mut self, bound: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = std::mem::take(&mut self.rest).to_vec();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
            if body.len() > bound {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(body)
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            let frame = self.body.frame();
            let link = &mut self.link;
            let frame = drive(&mut link.driver, &mut link.is_done, frame).await;
            match frame {
                None => return Ok(None),
                // Trailers say nothing that is used here.
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Some(Err(error)) => {
                    log::debug!("an answer broke off: {error}");
                    return Err(HttpError::Truncated);
                }
            }
        }
    }

    /// Returns the answer with its whole body, and gives the connection back.
    fn finish(self, body: Vec<u8>) -> BufferedResponse {
        let headers = self.headers();
        let status = self.status;
        self.recycle();
        BufferedResponse {
            status,
            body,
            headers,
        }
    }

    /// Gives the connection back for reuse. To be called only after the body's end was read.
    pub fn recycle(self) {
        let connection = self.parts.headers.get(http::header::CONNECTION);
        let closes = connection.is_some_and(|value| value.as_bytes() == b"close");
        if !closes && !self.link.is_done {
            self.client.put_idle(self.address, self.link);
        }
    }

    /// Returns the answer's headers, names in lower case.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pairs = self.parts.headers.iter();
        let texts = pairs.filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        texts.collect()
    }
}

/// Runs a step under a time limit.
async fn within<T>(
    limit: Duration,
    late: HttpError,
    step: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let timer = async {
        Timer::after(limit).await;
        Err(late)
    };
    step.or(timer).await
}
