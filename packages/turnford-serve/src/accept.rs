//! Connections of clients, of the platform's readiness probe and of metrics readers.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::HeaderValue;
use http::header::CONNECTION;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use turnford_adapter::is_readiness_probe;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;
use turnford_policy::ClientLimits;

use crate::answer::ResponseBody;
use crate::request::serve_request;
use crate::shared::ServeShared;
use crate::traffic::Traffic;

/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A listener and what its connections need.
pub(crate) struct Acceptor {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) listener: TcpListener,
    /// Closed when connections have to end after their responses.
    pub(crate) closing: Receiver<()>,
}

/// Counts an open connection of a client.
pub(crate) struct ClientGuard {
    shared: Arc<ServeShared>,
}

impl ClientGuard {
    pub(crate) fn new(shared: &Arc<ServeShared>) -> Self {
        shared.metrics.accepted_connections.inc();
        shared.metrics.client_connections.inc();
        Self {
            shared: shared.clone(),
        }
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.shared.metrics.client_connections.dec();
    }
}

/// Accepts connections and serves each in a task. Calls `beat` whenever a connection was accepted or
/// the accept loop found none for a while, and keeps what `on_accept` returns while a connection is
/// open.
pub(crate) async fn accept_connections<G, F, Fut>(
    acceptor: Acceptor,
    limits: impl Fn() -> ClientLimits + Clone + 'static,
    beat: impl Fn(),
    on_accept: impl Fn() -> G,
    handler: F,
) where
    G: 'static,
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let over = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            None
        };
        let accepted = async { Some(acceptor.listener.accept().await) };
        let stream = match accepted.or(over).await {
            None => {
                beat();
                continue;
            }
            Some(Ok((stream, _))) => {
                beat();
                stream
            }
            Some(Err(error)) => {
                log::warn!("failed to accept a connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let limits = limits.clone();
        let limits = move || connection_limits(&limits());
        let serve = serve_client(stream, limits, acceptor.closing.clone(), handler.clone());
        let guard = on_accept();
        let serve = async move {
            serve.await;
            drop(guard);
        };
        acceptor.executor.spawn(serve).detach();
    }
}

fn connection_limits(limits: &ClientLimits) -> ConnectionLimits {
    ConnectionLimits {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Answers a client. While the node stops, each response closes its connection.
pub(crate) async fn handle_client(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = serve_request(traffic.clone(), request).await;
    if traffic.shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Answers the platform's readiness probe.
pub(crate) fn answer_readiness(
    shared: &ServeShared,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, _) = request.into_parts();
    let status = if !is_readiness_probe(&parts) {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    plain_response(status, Bytes::new())
}

/// Answers a metrics reader.
pub(crate) fn answer_metrics(
    shared: &ServeShared,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() != "/metrics" {
        return plain_response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let running = shared.running.load(std::sync::atomic::Ordering::SeqCst);
    shared.metrics.running.set(running);
    plain_response(StatusCode::OK, Bytes::from(shared.metrics.text()))
}

fn plain_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    response
}
