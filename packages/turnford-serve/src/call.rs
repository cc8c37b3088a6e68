//! One call to one target.

use std::cell::Cell;
use std::net::SocketAddr;
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
use turnford_adapter::set_remaining;
use turnford_fleet::CrashKeys;
use turnford_fleet::CrashVerdict;
use turnford_http::HttpConnection;
use turnford_http::HttpError;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;

use crate::attribution::check_attribution;
use crate::links::is_direct;
use crate::links::record_contact;
use crate::links::record_failure;
use crate::links::wait_link_lost;
use crate::metrics::ServiceEvent;
use crate::process_check::check_process;
use crate::relay::relay_call;
use crate::service_context::InFlightGuard;
use crate::service_context::ServiceContext;
use crate::signals::process_signals;
use crate::target_body::BodySource;
use crate::target_body::TargetBody;
use crate::target_body::TargetBodyError;
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
    /// No byte was sent: the request has come to be refused for this time because it crashes targets.
    CrashesTargets(Duration),
    /// No byte was sent: this node reaches no targets, and no other node could send the call for it.
    NoRelay(&'static str),
    /// The target reports that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent, and the connection closed or the target stopped responding.
    Disconnected(&'static str),
    /// The request was sent, and a response to another call arrived in place of its own.
    OtherResponse,
    /// The request was sent, and its outcome is not known.
    Unknown(&'static str),
}

impl CallError {
    /// Returns the reason for logs.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            CallError::NotSent(reason)
            | CallError::Unavailable(reason)
            | CallError::NoRelay(reason)
            | CallError::Disconnected(reason)
            | CallError::Unknown(reason) => reason,
            CallError::Limited => "its rate limit is used up",
            CallError::CrashesTargets(_) => "its request crashes targets",
            CallError::NotRun(_) => "the target refused it",
            CallError::OtherResponse => "a response to another call arrived",
        }
    }
}

/// Connections that a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    Any,
    /// Idle ones only to targets that are not known to repeat responses.
    AvoidRepeats,
    /// A new connection, which carries no response to an earlier call.
    New,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose<'a> {
    /// A client's request.
    Request {
        /// Attempt id, which the response must carry.
        attempt: &'a str,
        /// Whether the request may run more than once.
        is_repeatable: bool,
        /// Connections that the request may be sent on.
        connection: ConnectionChoice,
        /// Set once the request is sent.
        is_sent: &'a Cell<bool>,
        /// Software version that the target must have, if the request resumes a stream.
        version: Option<&'a str>,
        /// What it may crash targets by.
        keys: &'a CrashKeys,
    },
    /// Pieces of stages.
    Pieces,
    /// A call that serves work which the target already has, or that queries its state. It adds no
    /// new work.
    Maintenance,
}

impl<'a> CallPurpose<'a> {
    pub(crate) fn attempt(self) -> Option<&'a str> {
        match self {
            CallPurpose::Request { attempt, .. } => Some(attempt),
            CallPurpose::Pieces | CallPurpose::Maintenance => None,
        }
    }

    /// Returns the software version that the target must have.
    pub(crate) fn version(self) -> Option<&'a str> {
        match self {
            CallPurpose::Request { version, .. } => version,
            CallPurpose::Pieces | CallPurpose::Maintenance => None,
        }
    }

    /// Returns the time for which the call is refused because it crashes targets.
    fn refused_for(self, traffic: &Traffic) -> Option<Duration> {
        let CallPurpose::Request { keys, .. } = self else {
            return None;
        };
        let now = traffic.shared.now();
        match traffic.crashes.suspect(now, keys)?.verdict {
            CrashVerdict::Refused(until) => Some(until.saturating_sub(now)),
            CrashVerdict::Clear | CrashVerdict::Suspect { .. } => None,
        }
    }

    fn record_sent(self) {
        if let CallPurpose::Request { is_sent, .. } = self {
            is_sent.set(true);
        }
    }

    pub(crate) fn connection_choice(self) -> ConnectionChoice {
        match self {
            CallPurpose::Request { connection, .. } => connection,
            // The results of other pieces look like its own.
            CallPurpose::Pieces => ConnectionChoice::AvoidRepeats,
            CallPurpose::Maintenance => ConnectionChoice::Any,
        }
    }

    /// Returns whether the call may be sent again after its link was lost.
    fn is_repeatable(self) -> bool {
        match self {
            CallPurpose::Request { is_repeatable, .. } => is_repeatable,
            CallPurpose::Pieces | CallPurpose::Maintenance => true,
        }
    }
}

/// A target's response whose body has not been read yet.
pub(crate) struct TargetResponse {
    pub(crate) parts: Parts,
    /// Whether the response announces that the target is leaving.
    pub(crate) is_leaving: bool,
    pub(crate) body: TargetBody,
    link: ResponseLink,
    _in_flight: InFlightGuard,
}

/// Where a response arrives.
enum ResponseLink {
    Direct(DirectLink),
    /// Through the node at this address.
    Relayed(SocketAddr),
}

/// A connection to a target that carries a response.
pub(crate) struct DirectLink {
    connection: HttpConnection,
    /// Time for which the connection may be reused after the response.
    keep_alive: Duration,
}

impl DirectLink {
    pub(crate) fn new(opened: TargetConnection, parts: &Parts) -> Self {
        let keep_alive = match decode_response(parts) {
            Ok(attributes) if opened.is_reusable && !attributes.closes => attributes
                .keep_alive
                .map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_RATIO)),
            _ => Duration::ZERO,
        };
        Self {
            connection: opened.connection,
            keep_alive,
        }
    }
}

impl TargetResponse {
    /// Reads the whole body and returns the connection to the pool.
    pub(crate) async fn collect(
        self,
        traffic: &Traffic,
        limit: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        self.collect_unless(traffic, limit, std::future::pending)
            .await
    }

    /// Reads the whole body, unless `stalled` resolves before the next part of it has arrived, and
    /// returns the connection to the pool.
    pub(crate) async fn collect_unless(
        self,
        traffic: &Traffic,
        limit: usize,
        stalled: impl AsyncFn(),
    ) -> Result<(Parts, Bytes), CallError> {
        let mut body = Limited::new(self.body, limit);
        let mut chunks = Vec::new();
        loop {
            let next = async { Ok(body.frame().await) };
            let stalled = async {
                stalled().await;
                Err(CallError::Unknown("the response stalled"))
            };
            match next.or(stalled).await? {
                // Trailers are ignored.
                Some(Ok(frame)) => chunks.extend(frame.into_data()),
                Some(Err(error)) => return Err(body_error(&*error)),
                None => break,
            }
        }
        recycle_link(traffic, self.link);
        let body = match <[Bytes; 1]>::try_from(chunks) {
            Ok([chunk]) => chunk,
            Err(chunks) => Bytes::from(chunks.concat()),
        };
        Ok((self.parts, body))
    }

    /// Returns the address of the node that relays the response, `None` if it comes directly from
    /// the target.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        match self.link {
            ResponseLink::Direct(_) => None,
            ResponseLink::Relayed(peer) => Some(peer),
        }
    }

    /// Splits the response for a body that is relayed as it arrives.
    pub(crate) fn into_stream(self) -> (Parts, TargetBody, StreamRemainder) {
        let remainder = StreamRemainder {
            link: self.link,
            _in_flight: self._in_flight,
        };
        (self.parts, self.body, remainder)
    }
}

fn body_error(error: &(dyn std::error::Error + 'static)) -> CallError {
    match error.downcast_ref() {
        Some(TargetBodyError::Late) => CallError::Unknown("the response timed out"),
        _ => CallError::Disconnected("the response body was truncated"),
    }
}

/// What is needed to recycle the connection after the body of a stream has ended.
pub(crate) struct StreamRemainder {
    link: ResponseLink,
    _in_flight: InFlightGuard,
}

impl StreamRemainder {
    /// Returns the connection to the pool.
    pub(crate) fn finish(self, traffic: &Traffic) {
        recycle_link(traffic, self.link);
    }

    /// Returns whether the response comes directly from the target.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.link, ResponseLink::Direct(_))
    }
}

fn recycle_link(traffic: &Traffic, link: ResponseLink) {
    if let ResponseLink::Direct(link) = link {
        recycle_connection(traffic, link);
    }
}

/// Returns a connection to the pool until its target may close it.
pub(crate) fn recycle_connection(traffic: &Traffic, link: DirectLink) {
    let now = traffic.shared.now();
    let mut pool = traffic.pool.borrow_mut();
    pool.put(now, link.connection, link.keep_alive);
}

/// Sends a request to a target and waits for the head of its response. Another node sends it if this
/// node does not reach the target.
pub(crate) async fn call_target(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    mut request: Request<Full<Bytes>>,
    purpose: CallPurpose<'_>,
    timeout: Duration,
) -> Result<TargetResponse, CallError> {
    let attempt = purpose.attempt();
    let in_flight = InFlightGuard::new(context, target);
    let deadline = traffic.shared.now() + timeout;
    let connection = if is_direct(traffic, &target.id) {
        open_connection(traffic, target, timeout, purpose.connection_choice()).await
    } else {
        None
    };
    let now = traffic.shared.now();
    if let Some(error) = context.refuses_work(now, &target.id, purpose) {
        return Err(error);
    }
    let connection = match connection {
        Some(opened) if attempt.is_some() => {
            Some(check_process(traffic, context, target, opened).await?)
        }
        opened => opened,
    };
    // Checked last before sending: the call may have waited, and another node may have placed it.
    if let Some(retry_after) = purpose.refused_for(traffic) {
        return Err(CallError::CrashesTargets(retry_after));
    }
    let now = traffic.shared.now();
    if let Some(error) = context.rejection_reason(now, &target.id, purpose) {
        return Err(error);
    }
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, ServiceEvent::Sent);
    purpose.record_sent();
    let (parts, body, link) = match connection {
        Some(mut opened) => {
            set_remaining(&mut request, deadline.saturating_sub(now));
            let is_repeatable = purpose.is_repeatable();
            let sent = send_request(
                traffic,
                target,
                &mut opened.connection,
                request,
                deadline,
                is_repeatable,
            );
            let (parts, body) = sent.await?;
            let port = opened.connection.local_port();
            check_attribution(
                traffic,
                target,
                &parts,
                attempt,
                format_args!("port={port}"),
            )?;
            let link = ResponseLink::Direct(DirectLink::new(opened, &parts));
            let source = BodySource::Direct(body);
            let body = TargetBody::new(&traffic.shared, source, &parts, deadline);
            (parts, body, link)
        }
        None => {
            let relayed = relay_call(traffic, target, request, purpose, deadline).await;
            let response = relayed.inspect_err(|error| {
                if matches!(error, CallError::NotSent(_)) {
                    let now = traffic.shared.now();
                    context.targets.borrow_mut().record_refusal(now, &target.id);
                }
            })?;
            let peer = response.peer;
            let origin = format_args!("relay={peer}");
            check_attribution(traffic, target, &response.parts, attempt, origin)?;
            let link = ResponseLink::Relayed(peer);
            (response.parts, response.body, link)
        }
    };
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
    let is_complete = attempt.is_none() || (attributes.is_signed && !attributes.is_encoded);
    if parts.status.is_success() && !is_complete {
        return Err(CallError::Unknown("the response is unsigned or encoded"));
    }
    if attributes.not_run {
        drain_refusal(traffic, link, body).await;
        traffic
            .shared
            .metrics
            .record_service_event(&target.service, ServiceEvent::NotRun);
        return Err(CallError::NotRun(parts.status));
    }
    Ok(TargetResponse {
        parts,
        is_leaving: signal.is_leaving,
        body,
        link,
        _in_flight: in_flight,
    })
}

/// Sends a request on a connection to a target and waits for the head of the response. A request
/// that may be sent again is given up once the link to the target is found lost.
pub(crate) async fn send_request(
    traffic: &Rc<Traffic>,
    target: &TargetSpec,
    connection: &mut HttpConnection,
    request: Request<Full<Bytes>>,
    deadline: Moment,
    is_repeatable: bool,
) -> Result<(Parts, Incoming), CallError> {
    let sent_at = traffic.shared.now();
    let sent = async {
        let response = connection.send(request).await;
        response.map_err(|error| match error {
            HttpError::NotConnected => {
                CallError::NotSent("the connection was closed before the request was sent")
            }
            _ => CallError::Disconnected("the connection was lost"),
        })
    };
    let late = async {
        wait_until(&traffic.shared, deadline).await;
        Err(CallError::Unknown("the response timed out"))
    };
    let lost = async {
        wait_link_lost(traffic, target, sent_at).await;
        if !is_repeatable {
            std::future::pending::<()>().await;
        }
        Err(CallError::Disconnected("the link to the target was lost"))
    };
    let (parts, body) = sent.or(late).or(lost).await?.into_parts();
    record_contact(traffic, &target.id);
    Ok((parts, body))
}

/// A connection to a target.
pub(crate) struct TargetConnection {
    pub(crate) connection: HttpConnection,
    /// Whether it was opened for this call.
    pub(crate) is_new: bool,
    /// Whether later calls may use it.
    is_reusable: bool,
}

/// Returns a connection to a target, an idle one if there is any, or `None` if the target is not
/// reached.
pub(crate) async fn open_connection(
    traffic: &Traffic,
    target: &TargetSpec,
    timeout: Duration,
    choice: ConnectionChoice,
) -> Option<TargetConnection> {
    let address = traffic.shared.settings.target_address(target.address);
    let now = traffic.shared.now();
    let is_reusable = match choice {
        ConnectionChoice::Any => true,
        ConnectionChoice::AvoidRepeats => !traffic.repeats.borrow().is_expected(now, &target.id),
        ConnectionChoice::New => false,
    };
    let idle = is_reusable.then(|| traffic.pool.borrow_mut().take(now, address, Duration::MAX));
    if let Some(connection) = idle.flatten() {
        return Some(TargetConnection {
            connection,
            is_new: false,
            is_reusable,
        });
    }
    // Half of the time is left for another node.
    let timeout = CONNECT_TIMEOUT.min(timeout / 2);
    let opened = HttpConnection::open(&traffic.executor, address, timeout).await;
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Connected);
    if opened.is_err() {
        record_failure(traffic, &target.id);
    }
    opened.ok().map(|connection| TargetConnection {
        connection,
        is_new: true,
        is_reusable,
    })
}

/// Reads the rest of a refusal so that its connection can be reused.
async fn drain_refusal(traffic: &Traffic, link: ResponseLink, body: TargetBody) {
    let read = async {
        let body = Limited::new(body, MAX_REFUSAL_BYTES).collect().await;
        body.is_ok()
    };
    let late = async {
        Timer::after(REFUSAL_TIMEOUT).await;
        false
    };
    if read.or(late).await {
        recycle_link(traffic, link);
    }
}
