//! HTTP server of the own interfaces: bounded requests over persistent connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;
use http::header::HeaderName;
use http::header::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::caller::BoundedWriter;
use crate::read_allowance::BoundedReader;
use crate::read_allowance::ReadAllowance;
use crate::wait_timeout;
use crate::CallerLimits;
use crate::HttpBody;
use crate::HttpResponse;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// Method in upper case, for example `POST`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body, within the size limit of the server.
    pub body: Vec<u8>,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
}

impl BufferedRequest {
    /// Returns the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        lookup(&self.headers, name)
    }

    /// Returns the value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        lookup(&self.query, name)
    }

    /// Returns the value of a numeric query parameter, or `default` if it is absent or not a number.
    pub fn query_number(&self, name: &str, default: u64) -> u64 {
        self.query(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }
}

/// Binds a listener to an address. Clones of the listener share its socket.
///
/// # Errors
///
/// Returns the I/O error, for example if the address is in use.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address).map_err(|error| {
        let text = format!("{address} can't be bound: {error}");
        io::Error::new(error.kind(), text)
    })?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves the requests of a connection until it closes.
///
/// The handler's future, or the body that it streams, is dropped when the client closes the connection, which
/// cancels abandoned work down to the target. A handler that returns `None` closes the connection without a
/// response.
pub async fn serve_connection<F, Fut>(stream: TcpStream, body_limit: usize, handler: F)
where
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    serve_caller(stream, CallerLimits::of_size(body_limit), handler).await;
}

/// Serves the requests of a connection until it closes, as [`serve_connection`] does, or until the caller
/// exceeds a limit. A request whose body does not arrive is not handled.
pub async fn serve_caller<F, Fut>(stream: TcpStream, limits: CallerLimits, handler: F)
where
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to configure a connection of a caller: {error}");
        return;
    }
    serve_limited(stream, limits, handler).await;
}

/// Serves the requests of a stream until it closes, as [`serve_connection`] does.
pub async fn serve_stream<S, F, Fut>(stream: S, body_limit: usize, handler: F)
where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    serve_limited(stream, CallerLimits::of_size(body_limit), handler).await;
}

async fn serve_limited<S, F, Fut>(stream: S, limits: CallerLimits, handler: F)
where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    let allowance = Arc::new(ReadAllowance::default());
    allowance.grant(usize::MAX);
    let service = service_fn(|request| {
        // Before the response's future is polled, as `hyper` may read the body first.
        allowance.grant_body(limits.max_body_bytes);
        respond(request, &limits, &allowance, &handler)
    });
    let stream = BoundedWriter::new(stream, limits.write_idle);
    let stream = BoundedReader::new(stream, allowance.clone());
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false);
    let served = builder.serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("connection of a caller failed: {error}");
    }
}

async fn respond<F, Fut>(
    request: Request<Incoming>,
    limits: &CallerLimits,
    allowance: &ReadAllowance,
    handler: &F,
) -> io::Result<Response<HttpBody>>
where
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    let request = match read_request(request, limits, allowance).await {
        Ok(request) => request,
        Err(status) => {
            let mut refusal = HttpResponse::new(status);
            refusal.insert_header("connection", "close");
            return build_response(refusal);
        }
    };
    match handler(request).await {
        Some(response) => build_response(response),
        // An error of the service makes `hyper` close the connection without a response.
        None => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

fn build_response(source: HttpResponse) -> io::Result<Response<HttpBody>> {
    let mut response = Response::new(source.body);
    *response.status_mut() = source.status;
    if source.ends_with_connection {
        // `hyper` frames a response of this version by the end of its connection.
        *response.version_mut() = Version::HTTP_10;
    }
    for (name, value) in source.headers {
        let name = HeaderName::try_from(name).map_err(io::Error::other)?;
        let value = HeaderValue::try_from(value).map_err(io::Error::other)?;
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

/// Reads a request with its complete body. Returns the status of the refusal if the body can't be read.
async fn read_request(
    request: Request<Incoming>,
    limits: &CallerLimits,
    allowance: &ReadAllowance,
) -> Result<BufferedRequest, StatusCode> {
    let (parts, body) = request.into_parts();
    let expired = async {
        wait_timeout(limits.body_total).await;
        Err(StatusCode::REQUEST_TIMEOUT)
    };
    let body = read_body(body, limits).or(expired).await?;
    // For the next request, whose head is bounded by the size of the buffer.
    allowance.grant(usize::MAX);
    let query = parts.uri.query().unwrap_or("");
    let query = form_urlencoded::parse(query.as_bytes());
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    Ok(BufferedRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        body,
        query: query.into_owned().collect(),
        headers: headers.collect(),
    })
}

async fn read_body(mut body: Incoming, limits: &CallerLimits) -> Result<Vec<u8>, StatusCode> {
    let mut bytes = Vec::new();
    loop {
        let next = async { Ok(body.frame().await) };
        let stalled = async {
            wait_timeout(limits.body_idle).await;
            Err(StatusCode::REQUEST_TIMEOUT)
        };
        let Some(frame) = next.or(stalled).await? else {
            return Ok(bytes);
        };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        // Trailers are ignored.
        let chunk = frame.into_data().unwrap_or_default();
        bytes.extend_from_slice(&chunk);
        if bytes.len() > limits.max_body_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
}

fn lookup<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = pairs.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}
