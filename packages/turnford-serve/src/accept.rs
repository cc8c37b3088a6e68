//! Connections of clients, of the platform's readiness probe and of metrics readers.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::future;
use futures_lite::FutureExt;
use http::header::HeaderValue;
use http::header::CONNECTION;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use turnford_adapter::is_readiness_probe;
use turnford_http::reset_unread;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;
use turnford_policy::ClientLimits;
use turnford_policy::GateDecision;

use crate::answer::ResponseBody;
use crate::request::serve_request;
use crate::shared::ServeShared;
use crate::traffic::Traffic;

/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of connections that are accepted before other tasks run.
const MAX_ACCEPTS: usize = 8;

/// A listener and what its connections need.
pub(crate) struct Acceptor {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) listener: TcpListener,
    /// Closed when connections have to end after their responses.
    pub(crate) closing: Receiver<()>,
}

impl Acceptor {
    /// Accepts the next connection. Calls `on_idle` whenever none has come for a while.
    async fn accept(&self, on_idle: impl Fn()) -> TcpStream {
        loop {
            let idle = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                None
            };
            let accepted = async { Some(self.listener.accept().await) };
            match accepted.or(idle).await {
                None => on_idle(),
                Some(Ok((stream, _))) => return stream,
                Some(Err(error)) => {
                    log::warn!("failed to accept a connection: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts a connection if one waits in the kernel's queue.
    async fn try_accept(&self) -> Option<TcpStream> {
        let accepted = future::poll_once(self.listener.accept()).await?;
        // An error is reported by the next accept.
        accepted.ok().map(|(stream, _)| stream)
    }
}

/// Records what happens on the listener for clients.
pub(crate) fn record_accept(traffic: &Traffic, event: AcceptEvent) {
    let now = traffic.shared.now();
    traffic.shared.heartbeat.beat(now);
    if let AcceptEvent::Accepted { has_more } = event {
        traffic.gate.borrow_mut().record_queue(now, has_more);
    }
}

/// Admits a new connection of a client if this node has processor time for it.
pub(crate) fn admit_client(traffic: &Traffic) -> Option<ClientGuard> {
    let shared = &traffic.shared;
    let view = shared.view.load();
    let hall = &shared.settings.hall;
    let has_alternative = view.members.iter().any(|member| member.hall == *hall);
    let mut gate = traffic.gate.borrow_mut();
    let decision = gate.decide(shared.now(), has_alternative);
    drop(gate);
    match decision {
        GateDecision::Accept => Some(ClientGuard::new(shared)),
        GateDecision::Reject => {
            shared.metrics.rejected_connections.inc();
            None
        }
    }
}

/// Counts an open connection of a client.
pub(crate) struct ClientGuard {
    shared: Arc<ServeShared>,
}

impl ClientGuard {
    fn new(shared: &Arc<ServeShared>) -> Self {
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

/// What happens on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptEvent {
    /// No connection has come for a while.
    Idle,
    /// Connections were accepted.
    Accepted {
        /// Whether further ones wait.
        has_more: bool,
    },
}

/// Accepts connections and serves each in a task. Keeps what `admit` returns while a connection is
/// open; one for which it returns `None` is reset before anything is read from it.
pub(crate) async fn accept_connections<G, F, Fut>(
    acceptor: Acceptor,
    limits: impl Fn() -> ClientLimits + Clone + 'static,
    on_event: impl Fn(AcceptEvent),
    admit: impl Fn() -> Option<G>,
    handler: F,
) where
    G: 'static,
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let mut next = Some(acceptor.accept(|| on_event(AcceptEvent::Idle)).await);
        let mut accepted = 0;
        while let Some(stream) = next {
            let Some(guard) = admit() else {
                reset_unread(stream);
                next = acceptor.try_accept().await;
                continue;
            };
            let limits = limits.clone();
            let limits = move || connection_limits(&limits());
            let serve = serve_client(stream, limits, acceptor.closing.clone(), handler.clone());
            let serve = async move {
                serve.await;
                drop(guard);
            };
            acceptor.executor.spawn(serve).detach();
            accepted += 1;
            if accepted >= MAX_ACCEPTS {
                accepted = 0;
                on_event(AcceptEvent::Accepted { has_more: true });
                future::yield_now().await;
            }
            next = acceptor.try_accept().await;
        }
        on_event(AcceptEvent::Accepted { has_more: false });
    }
}

fn connection_limits(limits: &ClientLimits) -> ConnectionLimits {
    ConnectionLimits {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Answers a client. While the node stops, or has more work than processor time, each response closes
/// its connection.
pub(crate) async fn handle_client(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = serve_request(traffic.clone(), request).await;
    if traffic.shared.is_draining() || traffic.gate.borrow().is_overdue() {
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
