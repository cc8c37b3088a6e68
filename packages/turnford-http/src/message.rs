//! Requests and responses of the own interfaces.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::Stream;
use http::Method;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Stream of the chunks of a body.
type ChunkStream = Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>;

/// Delay between the last byte of a truncated body and the end of the connection, so that the bytes arrive
/// first.
const TRUNCATION_DELAY: Duration = Duration::from_millis(30);

/// An outgoing request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub(crate) to: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    pub(crate) fn new(method: Method, to: SocketAddr, path: &str) -> Self {
        Self {
            to,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn insert_header(&mut self, name: &str, value: impl Into<String>) {
        self.headers.push((name.to_owned(), value.into()));
    }

    /// Sets the body.
    pub fn set_body(&mut self, body: impl Into<Vec<u8>>) {
        self.body = body.into();
    }
}

/// An outgoing response.
#[derive(Debug)]
pub struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: HttpBody,
    /// Whether the body has neither a length nor chunks.
    pub(crate) ends_with_connection: bool,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: HttpBody::Full(Bytes::new()),
            ends_with_connection: false,
        }
    }

    /// Sets the status.
    pub fn set_status(&mut self, status: StatusCode) {
        self.status = status;
    }

    /// Adds a header.
    pub fn insert_header(&mut self, name: &str, value: impl Into<String>) {
        self.headers.push((name.to_owned(), value.into()));
    }

    /// Returns whether a header was added, by its name in lower case.
    pub fn has_header(&self, name: &str) -> bool {
        self.headers.iter().any(|(key, _)| key == name)
    }

    /// Sets the body.
    pub fn set_body(&mut self, body: impl Into<HttpBody>) {
        self.body = body.into();
    }

    /// Sends the body without a length and chunks; for testing clients.
    pub fn end_with_connection(&mut self) {
        self.ends_with_connection = true;
        if let HttpBody::Full(bytes) = &mut self.body {
            let bytes = std::mem::take(bytes).to_vec();
            self.body = HttpBody::stream(futures_lite::stream::once(bytes));
        }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }
}

/// Body of a response.
pub enum HttpBody {
    /// A body of known length.
    Full(Bytes),
    /// A stream of unknown length.
    Stream(ChunkStream),
    /// Some bytes, after which the connection is closed abruptly; for testing clients.
    Truncated(Option<Bytes>, Timer),
}

impl HttpBody {
    /// Creates a body of unknown length from a stream of chunks. Dropping the body drops the stream.
    pub fn stream(chunks: impl Stream<Item = Vec<u8>> + Send + 'static) -> Self {
        HttpBody::Stream(Box::pin(chunks))
    }

    /// Creates a body that ends abruptly after `bytes`.
    pub fn truncated(bytes: impl Into<Vec<u8>>) -> Self {
        let bytes = Bytes::from(bytes.into());
        HttpBody::Truncated(Some(bytes), Timer::after(TRUNCATION_DELAY))
    }
}

impl fmt::Debug for HttpBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpBody::Full(bytes) => write!(f, "Full({} bytes)", bytes.len()),
            HttpBody::Stream(_) => f.write_str("Stream"),
            HttpBody::Truncated(..) => f.write_str("Truncated"),
        }
    }
}

impl From<String> for HttpBody {
    fn from(text: String) -> Self {
        HttpBody::Full(Bytes::from(text))
    }
}

impl From<Vec<u8>> for HttpBody {
    fn from(bytes: Vec<u8>) -> Self {
        HttpBody::Full(Bytes::from(bytes))
    }
}

impl Body for HttpBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            HttpBody::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                let frame = (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)));
                Poll::Ready(frame)
            }
            HttpBody::Stream(chunks) => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|chunk| chunk.map(|bytes| Ok(Frame::data(Bytes::from(bytes)))))
            }
            HttpBody::Truncated(bytes, delay) => match bytes.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(delay)
                    .poll(context)
                    .map(|_| Some(Err(io::ErrorKind::BrokenPipe.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, HttpBody::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            HttpBody::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            HttpBody::Stream(_) | HttpBody::Truncated(..) => SizeHint::default(),
        }
    }
}
