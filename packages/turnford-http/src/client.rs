//! The calling side: kept connections by address, bounded bodies, one time limit per exchange.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::AsyncBufReadExt;
use futures_lite::io::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

use crate::HttpFault;
use crate::DEFAULT_BODY_LIMIT;

/// Most idle connections kept to one address.
const IDLE_LIMIT: usize = 64;

/// Longest line accepted in a streamed answer, in bytes.
const LINE_LIMIT: usize = 64 * 1024;

/// Largest answer of [`HttpClient::send_large`], in bytes.
const LARGE_BODY_LIMIT: usize = 512 * 1024 * 1024;

/// A client that keeps connections for reuse.
#[derive(Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
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
    stream: TcpStream,
    response: Response,
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
    /// Returns [`HttpFault::NotConnected`] if the address and path make no URL.
    pub fn request(method: Method, to: SocketAddr, path: &str) -> Result<Request, HttpFault> {
        let url = Url::parse(&format!("http://{to}{path}")).map_err(|_| HttpFault::NotConnected)?;
        Ok(Request::new(method, url))
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<HttpAnswer, HttpFault> {
        let started = std::time::Instant::now();
        let mut open = self.open(to, request, limit).await?;
        let left = limit.saturating_sub(started.elapsed());
        let body = within(left, HttpFault::LateAfterSend, open.read_body()).await?;
        let headers = open.headers();
        let status = open.status;
        open.keep();
        Ok(HttpAnswer {
            status,
            body,
            headers,
        })
    }

    /// Sends a request and reads an answer of up to 512 MiB, for tools.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn send_large(
        &self,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<HttpAnswer, HttpFault> {
        let mut open = self.open(to, request, limit).await?;
        let read = open.read_bounded(LARGE_BODY_LIMIT);
        let body = within(limit, HttpFault::LateAfterSend, read).await?;
        let headers = open.headers();
        let status = open.status;
        Ok(HttpAnswer {
            status,
            body,
            headers,
        })
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns the fault, which tells whether the call can have been seen.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<HttpStream<'_>, HttpFault> {
        let started = std::time::Instant::now();
        let stream = match self.take_idle(to) {
            Some(stream) => stream,
            None => within(limit, HttpFault::LateBeforeSend, connect(to)).await?,
        };
        let left = limit.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(HttpFault::LateBeforeSend);
        }
        let call = exchange(stream.clone(), request);
        let response = within(left, HttpFault::LateAfterSend, call).await?;
        let status = u16::from(response.status());
        Ok(HttpStream {
            status,
            client: self,
            address: to,
            stream,
            response,
        })
    }

    /// Takes a kept connection that the other side has not closed or written to.
    ///
    /// A connection that shows bytes or an end while idle belongs to no call any more; using it
    /// would give one call the answer of another.
    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(stream) = list.pop() {
            if is_quiet(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(stream);
        }
    }
}

impl HttpAnswer {
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
    /// Returns [`HttpFault::Broken`] if the connection fails, [`HttpFault::TooLarge`] for a line
    /// over the bound.
    pub async fn next_line(&mut self) -> Result<Option<String>, HttpFault> {
        let mut line = Vec::new();
        loop {
            let chunk = self
                .response
                .fill_buf()
                .await
                .map_err(|_| HttpFault::Broken)?;
            if chunk.is_empty() {
                return if line.is_empty() {
                    Ok(None)
                } else {
                    Err(HttpFault::Truncated)
                };
            }
            let end = chunk.iter().position(|byte| *byte == b'\n');
            let used = end.map_or(chunk.len(), |at| at + 1);
            line.extend_from_slice(&chunk[..end.unwrap_or(used)]);
            self.response.consume_unpin(used);
            if line.len() > LINE_LIMIT {
                return Err(HttpFault::TooLarge);
            }
            if end.is_some() {
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
        }
    }

    /// Reads the rest of the body, which must have its announced length.
    ///
    /// # Errors
    ///
    /// Returns the fault that kept the body from being whole.
    pub async fn read_body(&mut self) -> Result<Vec<u8>, HttpFault> {
        self.read_bounded(DEFAULT_BODY_LIMIT).await
    }

    async fn read_bounded(&mut self, bound: usize) -> Result<Vec<u8>, HttpFault> {
        let announced = self.response.len();
        let mut body = Vec::new();
        let limit = bound as u64 + 1;
        let mut reader = (&mut self.response).take(limit);
        reader
            .read_to_end(&mut body)
            .await
            .map_err(|_| HttpFault::Broken)?;
        if body.len() as u64 == limit {
            return Err(HttpFault::TooLarge);
        }
        if announced.is_some_and(|length| length != body.len()) {
            return Err(HttpFault::Truncated);
        }
        Ok(body)
    }

    /// Gives the connection back for reuse. To be called only after the body's end was read.
    pub fn keep(self) {
        let close = self
            .response
            .header("connection")
            .is_some_and(|value| value.as_str() == "close");
        if !close {
            self.client.put_idle(self.address, self.stream);
        }
    }

    /// Returns the answer's headers, names in lower case.
    pub fn headers(&self) -> Vec<(String, String)> {
        let pairs = self.response.iter();
        pairs
            .map(|(name, value)| (name.as_str().to_owned(), value.as_str().to_owned()))
            .collect()
    }
}

/// Small extension so that a response can be consumed without pinning by hand.
trait ConsumeUnpin {
    fn consume_unpin(&mut self, amount: usize);
}

impl ConsumeUnpin for Response {
    fn consume_unpin(&mut self, amount: usize) {
        futures_lite::io::AsyncBufRead::consume(std::pin::Pin::new(self), amount);
    }
}

async fn connect(to: SocketAddr) -> Result<TcpStream, HttpFault> {
    let stream = TcpStream::connect(to)
        .await
        .map_err(|_| HttpFault::NotConnected)?;
    stream
        .set_nodelay(true)
        .map_err(|_| HttpFault::NotConnected)?;
    Ok(stream)
}

async fn exchange(stream: TcpStream, request: Request) -> Result<Response, HttpFault> {
    async_h1::connect(stream, request)
        .await
        .map_err(|_| HttpFault::Broken)
}

/// Runs a step under a time limit.
async fn within<T>(
    limit: Duration,
    late: HttpFault,
    step: impl Future<Output = Result<T, HttpFault>>,
) -> Result<T, HttpFault> {
    let timer = async {
        Timer::after(limit).await;
        Err(late)
    };
    step.or(timer).await
}

fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    let peeked =
        futures_lite::future::block_on(futures_lite::future::poll_once(stream.peek(&mut byte)));
    peeked.is_none()
}
