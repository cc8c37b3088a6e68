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

/// Timeout for opening a connection to a target. A lost SYN packet is retransmitted only after a
/// second, and trying another target is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an idle connection is reused if the target announces no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);

/// Ratio of the announced keep-alive timeout for which a connection is reused, so that a request
/// does not cross the target's close.
const KEEP_ALIVE_RATIO: f64 = 0.6;

/// Maximum size of a refusal body, in bytes, that is read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Timeout for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No byte was sent.
    NotSent(&'static str),
    /// No byte was sent, because the target accepts no such call from this node at present.
    Unavailable(&'static str),
    /// No byte was sent, because the target's rate limit across all nodes allows no further call.
    Limited,
    /// The target reports that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent, and the connection closed or the target stopped responding.
    Disconnected(&'static str),
    /// The request was sent, and its outcome is not known.
    Unknown(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose<'a> {
    /// A client's request with its attempt id, which the response must carry.
    Request(&'a str),
    /// Pieces of stages.
    Pieces,
    /// A call that serves work which the target already has, or that queries its state. It adds no
    /// new work.
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

/// A target's response whose body has not been read yet.
pub(crate) struct TargetResponse {
    pub(crate) parts: Parts,
    pub(crate) attributes: ResponseAttributes,
    /// Whether the response announces that the target is leaving.
    pub(crate) is_leaving: bool,
    pub(crate) body: Incoming,
    connection: HttpConnection,
    _in_flight: InFlightGuard,
}

impl TargetResponse {
    /// Reads the whole body and returns the connection to the pool.
    pub(crate) async fn collect(
        self,
        traffic: &Traffic,
        limit: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        let body = Limited::new(self.body, limit).collect().await;
        let body = body.map_err(|_| CallError::Disconnected("the response body was truncated"))?;
        recycle_connection(traffic, self.connection, &self.attributes);
        Ok((self.parts, body.to_bytes()))
    }

    /// Splits the response for a body that is relayed as it arrives.
    pub(crate) fn into_stream(self) -> (Parts, Incoming, StreamRemainder) {
        let remainder = StreamRemainder {
            connection: self.connection,
            attributes: self.attributes,
            _in_flight: self._in_flight,
        };
        (self.parts, self.body, remainder)
    }
}

/// What is needed to recycle the connection after the body of a stream has ended.
pub(crate) struct StreamRemainder {
    connection: HttpConnection,
    attributes: ResponseAttributes,
    _in_flight: InFlightGuard,
}

impl StreamRemainder {
    /// Returns the connection to the pool.
    pub(crate) fn finish(self, traffic: &Traffic) {
        recycle_connection(traffic, self.connection, &self.attributes);
    }
}

/// Returns a connection to the pool until its target may close it.
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

/// Sends a request to a target and waits for the head of its response.
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
    // Checked last before sending: the call may have waited, and another node may have placed it.
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
            return Err(CallError::NotSent(
                "the connection was closed before the request was sent",
            ))
        }
        Some(Err(_)) => return Err(CallError::Disconnected("the connection was lost")),
        None => return Err(CallError::Unknown("the response timed out")),
    };
    let (parts, body) = response.into_parts();
    let signal = process_signals(traffic, context, target, &parts, attempt, now);
    let attributes = decode_response(&parts).map_err(|error| {
        log::warn!("target={} invalid response: {error}", target.id);
        CallError::Unknown("the response head is invalid")
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
        return Err(CallError::Unknown("the response is unsigned or encoded"));
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

/// Records a response that belongs to another request. Its connection is not reused.
fn attempt_mismatch(
    traffic: &Traffic,
    target: &TargetSpec,
    attributes: &ResponseAttributes,
) -> CallError {
    log::warn!(
        "target={} discarded a response for request={}",
        target.id,
        attributes.attempt.as_deref().unwrap_or("-")
    );
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, ServiceEvent::AttemptMismatch);
    CallError::Unknown("the response belongs to another request")
}

/// Returns a connection to a target, an idle one if there is any.
async fn open_connection(
    traffic: &Traffic,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
) -> Result<HttpConnection, CallError> {
    let address = traffic.shared.settings.target_address(target.address);
    let idle = traffic
        .pool
        .borrow_mut()
        .take(traffic.shared.now(), address, Duration::MAX);
    if let Some(connection) = idle {
        return Ok(connection);
    }
    let opened = HttpConnection::open(&traffic.executor, address, CONNECT_TIMEOUT).await;
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Connected);
    opened.map_err(|_| {
        let now = traffic.shared.now();
        context.targets.borrow_mut().record_refusal(now, &target.id);
        CallError::NotSent("no connection to the target could be opened")
    })
}

/// Reads the rest of a refusal so that its connection can be reused.
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
