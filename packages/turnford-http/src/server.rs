//! The serving side: bounded calls, kept connections, and word of a caller that went away.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_h1::server::ConnectionStatus;
use async_h1::server::Server;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::io::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

/// Pause between looks at a connection that holds unread bytes.
const CLOSED_CHECK: Duration = Duration::from_millis(50);

/// One call with its whole body.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method in upper case, for example `POST`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body, within the server's bound.
    pub body: Vec<u8>,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
}

impl HttpCall {
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
    F: Fn(HttpCall) -> Fut,
    Fut: Future<Output = Option<Response>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let peer = stream.clone();
    let endpoint = |request: Request| answer(request, body_limit, &handler);
    let mut server = Server::new(stream, endpoint);
    let calls = async {
        // Anything but "keep" ends the connection, an unreadable call among them.
        while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
    };
    calls.or(wait_closed(&peer)).await;
}

async fn answer<F, Fut>(
    request: Request,
    body_limit: usize,
    handler: &F,
) -> http_types::Result<Response>
where
    F: Fn(HttpCall) -> Fut,
    Fut: Future<Output = Option<Response>>,
{
    let Some(call) = read_call(request, body_limit).await else {
        let mut refusal = Response::new(StatusCode::PayloadTooLarge);
        refusal.insert_header("connection", "close");
        return Ok(refusal);
    };
    let response = handler(call).await;
    response.ok_or_else(|| http_types::format_err!("closed without an answer"))
}

/// Resolves when the caller closed its side.
async fn wait_closed(peer: &TcpStream) {
    let mut byte = [0u8; 1];
    loop {
        match peer.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Bytes that nobody reads yet belong to a further call; look again later.
            Ok(_) => Timer::after(CLOSED_CHECK).await,
        };
    }
}

async fn read_call(mut request: Request, body_limit: usize) -> Option<HttpCall> {
    let mut body = Vec::new();
    let limit = body_limit as u64 + 1;
    let announced = request.len();
    let mut reader = (&mut request).take(limit);
    reader.read_to_end(&mut body).await.ok()?;
    if body.len() > body_limit || announced.is_some_and(|length| length != body.len()) {
        return None;
    }
    let url = request.url();
    let query = url.query_pairs();
    let query = query
        .map(|(name, value)| (name.into_owned(), value.into_owned()))
        .collect();
    let headers = request.iter();
    let headers = headers
        .map(|(name, value)| (name.as_str().to_owned(), value.as_str().to_owned()))
        .collect();
    let method = request.method().to_string();
    let path = url.path().to_owned();
    Some(HttpCall {
        method,
        path,
        body,
        query,
        headers,
    })
}

fn lookup<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = pairs.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}
