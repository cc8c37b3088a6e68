//! Calls that this node sends to targets for nodes that can't reach them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::stream;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use turnford_adapter::set_remaining;
use turnford_policy::TargetSpec;
use turnford_wire::RelayReply;
use turnford_wire::RelayRequest;
use turnford_wire::ReplyBody;
use turnford_wire::StreamedReply;
use turnford_wire::WorkReply;

use crate::attribution::check_attribution;
use crate::call::send_request;
use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::links::is_direct;
use crate::links::record_contact;
use crate::metrics::ServiceEvent;
use crate::process_check::check_process;
use crate::relay::decode_headers;
use crate::relay::encode_headers;
use crate::service_context::InFlightGuard;
use crate::service_context::ServiceContext;
use crate::signals::process_signals;
use crate::target_body::BodySource;
use crate::target_body::TargetBody;
use crate::target_body::TargetBodyError;
use crate::target_connection::open_connection;
use crate::target_connection::recycle_connection;
use crate::target_connection::DirectLink;
use crate::traffic::Traffic;

/// Maximum number of calls that a node relays at the same time.
const MAX_RELAYED_CALLS: usize = 256;

/// Counts a relayed call, for which a stopping node waits, until its response has ended.
struct RelayGuard {
    traffic: Rc<Traffic>,
}

impl RelayGuard {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.relayed.set(traffic.relayed.get() + 1);
        traffic.shared.record_start();
        Self {
            traffic: traffic.clone(),
        }
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.traffic.relayed.set(self.traffic.relayed.get() - 1);
        self.traffic.shared.record_end();
    }
}

/// Sends a call for another node.
pub(crate) async fn answer_relay(
    traffic: &Rc<Traffic>,
    request: RelayRequest,
) -> StreamedReply<WorkReply> {
    match relay_request(traffic, request).await {
        Ok(reply) => reply,
        Err(reply) => WorkReply::Relayed(reply).into(),
    }
}

async fn relay_request(
    traffic: &Rc<Traffic>,
    relay: RelayRequest,
) -> Result<StreamedReply<WorkReply>, RelayReply> {
    if traffic.relayed.get() >= MAX_RELAYED_CALLS {
        return Err(RelayReply::Busy);
    }
    let guard = RelayGuard::new(traffic);
    let (context, target) = find_target(traffic, &relay).ok_or(RelayReply::Unavailable)?;
    let not_reached = || RelayReply::NotReached {
        is_isolated: traffic.links.borrow().is_isolated(),
    };
    if !is_direct(traffic, &target.id) {
        return Err(not_reached());
    }
    let in_flight = InFlightGuard::new(&context, &target);
    let started_at = traffic.shared.now();
    let remaining = Duration::from_millis(u64::from(relay.remaining_ms));
    let deadline = started_at + remaining;
    // The node that took the request checks the attempt; here it only matters whether the call adds
    // work.
    let purpose = if relay.is_maintenance {
        CallPurpose::Maintenance
    } else {
        CallPurpose::Pieces
    };
    let attempt = relay.attempt.clone();
    let mut request = decode_request(relay).ok_or(RelayReply::Unavailable)?;
    let choice = purpose.connection_choice();
    let connection = open_connection(traffic, &target, remaining, choice).await;
    let mut opened = connection.ok_or_else(not_reached)?;
    if attempt.is_some() {
        let checked = check_process(traffic, &context, &target, opened).await;
        opened = checked.map_err(|_| RelayReply::Unavailable)?;
    }
    let now = traffic.shared.now();
    if context.refuses_work(now, &target.id, purpose).is_some() {
        return Err(RelayReply::Unavailable);
    }
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::RelayedForPeer);
    set_remaining(&mut request, deadline.saturating_sub(now));
    let connection = &mut opened.connection;
    let sent = send_request(traffic, &target, connection, request, deadline, false).await;
    let (parts, body) = sent.map_err(|error| match error {
        CallError::NotSent(_) => not_reached(),
        CallError::Disconnected(_) => RelayReply::Disconnected,
        _ => RelayReply::Unknown,
    })?;
    let port = opened.connection.local_port();
    let origin = format_args!("port={port}");
    check_attribution(traffic, &target, &parts, attempt.as_deref(), origin)
        .map_err(|_| RelayReply::Unknown)?;
    process_signals(traffic, &context, &target, &parts, attempt.as_deref(), now);
    let link = DirectLink::new(opened, &parts);
    let reply = RelayReply::Response {
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
    };
    let mut body = TargetBody::new(&traffic.shared, BodySource::Direct(body), &parts, deadline);
    if is_event_stream(&parts) {
        body.expect_events();
    }
    let stream = RelayedStream {
        traffic: traffic.clone(),
        target,
        body,
        link,
        _guard: guard,
        _in_flight: in_flight,
    };
    Ok(StreamedReply {
        reply: WorkReply::Relayed(reply),
        body: Some(stream.into_body()),
        timeout: deadline.saturating_sub(traffic.shared.now()),
    })
}

fn is_event_stream(parts: &Parts) -> bool {
    let content_type = parts.headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn find_target(
    traffic: &Traffic,
    relay: &RelayRequest,
) -> Option<(Rc<ServiceContext>, TargetSpec)> {
    let context = traffic.service(&relay.service)?;
    let target = context.targets.borrow().get(&relay.target).cloned()?;
    (target.process_start == relay.process_start).then_some((context, target))
}

fn decode_request(relay: RelayRequest) -> Option<Request<Full<Bytes>>> {
    let builder = Request::builder().method(relay.method.as_str());
    let request = builder.uri(relay.path).body(Full::from(relay.body));
    let mut request = request.ok()?;
    *request.headers_mut() = decode_headers(relay.headers)?;
    Some(request)
}

/// A response that is passed on as it arrives.
struct RelayedStream {
    traffic: Rc<Traffic>,
    target: TargetSpec,
    body: TargetBody,
    link: DirectLink,
    _guard: RelayGuard,
    _in_flight: InFlightGuard,
}

impl RelayedStream {
    fn into_body(self) -> ReplyBody {
        Box::pin(stream::unfold(Some(self), |relayed| async {
            let mut relayed = relayed?;
            loop {
                match relayed.body.frame().await {
                    Some(Ok(frame)) => {
                        record_contact(&relayed.traffic, &relayed.target.id);
                        let Ok(chunk) = frame.into_data() else {
                            continue;
                        };
                        return Some((Some(chunk), Some(relayed)));
                    }
                    // The node that took the request finds that too, once it has read everything.
                    Some(Err(TargetBodyError::PartialEvent)) => return None,
                    Some(Err(_)) => return Some((None, None)),
                    None => {
                        recycle_connection(&relayed.traffic, relayed.link);
                        return None;
                    }
                }
            }
        }))
    }
}
