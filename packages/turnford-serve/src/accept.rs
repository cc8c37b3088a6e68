//! Connections of clients, of the platform's readiness probe and of metrics readers.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::header::HeaderValue;
use http::header::CONNECTION;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use turnford_adapter::is_readiness_probe;
use turnford_policy::GateDecision;

use crate::acceptor::AcceptEvent;
use crate::answer::ResponseBody;
use crate::request::serve_request;
use crate::shared::ServeShared;
use crate::traffic::Traffic;

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
    let bodies = &shared.bodies;
    shared.metrics.body_bytes.set(bodies.held() as u64);
    let limit = bodies.limit() as u64;
    shared.metrics.body_bytes_limit.set(limit);
    plain_response(StatusCode::OK, Bytes::from(shared.metrics.text()))
}

fn plain_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    response
}
