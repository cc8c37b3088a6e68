//! The serving side of the product's own interfaces: bounded calls over kept connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use async_net::TcpListener;
use async_net::TcpStream;
use http::header::HeaderName;
use http::header::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::HttpBody;
use crate::HttpResponse;

/// One call with its whole body.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// Method in upper case, for example `POST`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body, within the server's bound.
    pub body: Vec<u8>,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
}

impl BufferedRequest {
    /// Returns a header's value by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        lookup(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        lookup(&self.query, name)
    }

    /// Returns a numeric parameter of the query, or `default` if it is absent or no number.
    pub fn query_number(&self, name: &str, default: u64) -> u64 {
        self.query(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }
}

/// Listens on an address; several listeners of one process share it by cloning.
///
/// # Errors
///
/// Returns the system's error, for example that the address is taken.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves the calls of one connection until it ends.
///
/// The handler's future, or the body that it streams, is dropped when the caller closes its side,
/// which is how work for nobody is cancelled down to the target. A handler that returns `None`
/// closes the connection without an answer.
pub async fn serve_connection<F, Fut>(stream: TcpStream, body_limit: usize, handler: F)
where
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection can't be set up: {error}");
        return;
    }
    let service = service_fn(|request| answer(request, body_limit, &handler));
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false);
    let served = builder.serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("a caller's connection ended: {error}");
    }
}

async fn answer<F, Fut>(
    request: Request<Incoming>,
    body_limit: usize,
    handler: &F,
) -> io::Result<Response<HttpBody>>
where
    F: Fn(BufferedRequest) -> Fut,
    Fut: Future<Output = Option<HttpResponse>>,
{
    let Some(call) = read_call(request, body_limit).await else {
        let mut refusal = HttpResponse::new(StatusCode::PAYLOAD_TOO_LARGE);
        refusal.insert_header("connection", "close");
        return write_answer(refusal);
    };
    match handler(call).await {
        Some(response) => write_answer(response),
        // An error of the service closes the connection without an answer.
        None => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

fn write_answer(answer: HttpResponse) -> io::Result<Response<HttpBody>> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    for (name, value) in answer.headers {
        let name = HeaderName::try_from(name).map_err(io::Error::other)?;
        let value = HeaderValue::try_from(value).map_err(io::Error::other)?;
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

async fn read_call(request: Request<Incoming>, body_limit: usize) -> Option<BufferedRequest> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, body_limit).collect().await.ok()?;
    let query = parts.uri.query().unwrap_or("");
    let query = form_urlencoded::parse(query.as_bytes());
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    Some(BufferedRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        body: body.to_bytes().to_vec(),
        query: query.into_owned().collect(),
        headers: headers.collect(),
    })
}

fn lookup<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = pairs.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}
