//! One call to one target.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::response::Parts;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use turnford_adapter::decode_response;
use turnford_adapter::ResponseAttributes;
use turnford_http::HttpConnection;
use turnford_http::HttpError;
use turnford_policy::TargetSpec;

use crate::metrics::ServiceEvent;
use crate::service_context::InFlightGuard;
use crate::service_context::ServiceContext;
use crate::signals::process_signals;
use crate::traffic::Traffic;
use crate::wait::wait_until;

/// Longest time to open a connection to a target. One lost opening packet is sent again after a
/// second, and another target is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Rest that a target is trusted with where it does not say when it closes a connection.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);

/// Part of the rest that a target says, so that a request does not cross its close.
const KEEP_ALIVE_RATIO: f64 = 0.6;

/// Longest refusal that is read to its end so that the connection can be used again, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Longest time for the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No byte was handed over.
    NotSent(&'static str),
    /// The same, since the target wants no such call of this node now.
    Unavailable(&'static str),
    /// The same, since the target's limit for all nodes lets no further call through.
    Limited,
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// The request was handed over, and its connection ended or its target fell silent.
    Disconnected(&'static str),
    /// The request was handed over, and what became of it is not known.
    Unknown(&'static str),
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose<'a> {
    /// A client's request, with the id of its try, which the answer must carry.
    Request(&'a str),
    /// Pieces of stages.
    Pieces,
    /// What goes on with work that the target has, or asks how it is: no new work.
    Maintenance,
}

impl<'a> CallPurpose<'a> {
    fn attempt(self) -> Option<&'a str> {
        match self {
            CallPurpose::Request(attempt) => Some(attempt),
            CallPurpose::Pieces | CallPurpose::Maintenance => None,
        }
    }
}

/// A target's answer whose body is still to come.
pub(crate) struct TargetResponse {
    pub(crate) parts: Parts,
    pub(crate) attributes: ResponseAttributes,
    /// Whether it says that its target leaves.
    pub(crate) is_leaving: bool,
    pub(crate) body: Incoming,
    connection: HttpConnection,
    _in_flight: InFlightGuard,
}

impl TargetResponse {
    /// Reads the whole body and lays the connection down for reuse.
    pub(crate) async fn collect(
        self,
        traffic: &Traffic,
        limit: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        let body = Limited::new(self.body, limit).collect().await;
        let body = body.map_err(|_| CallError::Disconnected("the answer broke off"))?;
        recycle_connection(traffic, self.connection, &self.attributes);
        Ok((self.parts, body.to_bytes()))
    }

    /// Takes the answer apart for a body that is passed on as it comes.
    pub(crate) fn into_stream(self) -> (Parts, Incoming, StreamRemainder) {
        let remainder = StreamRemainder {
            connection: self.connection,
            attributes: self.attributes,
            _in_flight: self._in_flight,
        };
        (self.parts, self.body, remainder)
    }
}

/// What has to be done after the body of a stream ended.
pub(crate) struct StreamRemainder {
    connection: HttpConnection,
    attributes: ResponseAttributes,
    _in_flight: InFlightGuard,
}

impl StreamRemainder {
    /// Lays the connection down for reuse.
    pub(crate) fn finish(self, traffic: &Traffic) {
        recycle_connection(traffic, self.connection, &self.attributes);
    }
}

/// Lays a connection down until its target may close it.
fn recycle_connection(
    traffic: &Traffic,
    connection: HttpConnection,
    attributes: &ResponseAttributes,
) {
    if attributes.closes {
        return;
    }
    let keep_alive = attributes
        .keep_alive
        .map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.mul_f64(KEEP_ALIVE_RATIO)
        });
    let now = traffic.shared.now();
    traffic.pool.borrow_mut().put(now, connection, keep_alive);
}

/// Sends a request to a target and waits for the head of its answer.
pub(crate) async fn call_target(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    request: Request<Full<Bytes>>,
    purpose: CallPurpose<'_>,
    timeout: Duration,
) -> Result<TargetResponse, CallError> {
    let attempt = purpose.attempt();
    let in_flight = InFlightGuard::new(context, target);
    let mut connection = open_connection(traffic, context, target).await?;
    // The last moment before it is sent: it may have waited, and another node may have chosen its place.
    let now = traffic.shared.now();
    if let Some(error) = context.rejection_reason(now, &target.id, purpose) {
        return Err(error);
    }
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, ServiceEvent::Sent);
    let late = async {
        let until = traffic.shared.now() + timeout;
        wait_until(&traffic.shared, until).await;
        None
    };
    let sent = async { Some(connection.send(request).await) };
    let response = match sent.or(late).await {
        Some(Ok(response)) => response,
        Some(Err(HttpError::NotConnected)) => {
            return Err(CallError::NotSent("the connection was closed"))
        }
        Some(Err(_)) => return Err(CallError::Disconnected("the connection broke")),
        None => return Err(CallError::Unknown("no answer in time")),
    };
    let (parts, body) = response.into_parts();
    let signal = process_signals(traffic, context, target, &parts, attempt, now);
    let attributes = decode_response(&parts).map_err(|problem| {
        log::warn!("target={} answer refused: {problem}", target.id);
        CallError::Unknown("the answer's head makes no sense")
    })?;
    if let Some(sample) = attributes.load {
        let now = traffic.shared.now();
        let mut table = context.targets.borrow_mut();
        table.record_load(now, &target.id, sample);
    }
    if attempt.is_some() && !attributes.not_run && attributes.attempt.as_deref() != attempt {
        return Err(attempt_mismatch(traffic, target, &attributes));
    }
    let is_complete = attempt.is_none() || (attributes.is_signed && !attributes.is_encoded);
    if parts.status.is_success() && !is_complete {
        return Err(CallError::Unknown("the answer is not the target's own"));
    }
    if attributes.not_run {
        drain_refusal(traffic, connection, &attributes, body).await;
        traffic
            .shared
            .metrics
            .record_service_event(&target.service, ServiceEvent::NotRun);
        return Err(CallError::NotRun(parts.status));
    }
    Ok(TargetResponse {
        parts,
        attributes,
        is_leaving: signal.is_leaving,
        body,
        connection,
        _in_flight: in_flight,
    })
}

/// Notes an answer that belongs to another request; its connection is spoiled.
fn attempt_mismatch(
    traffic: &Traffic,
    target: &TargetSpec,
    attributes: &ResponseAttributes,
) -> CallError {
    log::warn!(
        "target={} dropped an answer for request={}",
        target.id,
        attributes.attempt.as_deref().unwrap_or("-")
    );
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, ServiceEvent::AttemptMismatch);
    CallError::Unknown("the answer belongs to another request")
}

/// Returns a connection to a target, one at rest where there is one.
async fn open_connection(
    traffic: &Traffic,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
) -> Result<HttpConnection, CallError> {
    let idle = traffic
        .pool
        .borrow_mut()
        .take(traffic.shared.now(), target.address, Duration::MAX);
    if let Some(connection) = idle {
        return Ok(connection);
    }
    let opened = HttpConnection::open(&traffic.executor, target.address, CONNECT_TIMEOUT).await;
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Connected);
    opened.map_err(|_| {
        let now = traffic.shared.now();
        context.targets.borrow_mut().record_refusal(now, &target.id);
        CallError::NotSent("no connection to the target")
    })
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain_refusal(
    traffic: &Traffic,
    connection: HttpConnection,
    attributes: &ResponseAttributes,
    body: Incoming,
) {
    let read = async {
        let body = Limited::new(body, MAX_REFUSAL_BYTES).collect().await;
        body.is_ok()
    };
    let late = async {
        Timer::after(REFUSAL_TIMEOUT).await;
        false
    };
    if read.or(late).await {
        recycle_connection(traffic, connection, attributes);
    }
}
