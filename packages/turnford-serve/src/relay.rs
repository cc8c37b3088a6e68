//! Calls to targets that this node can't reach, sent by another node.
//!
//! The node that took the request keeps it: its deadline, retries, permits and outcome. The other
//! node sends one call and passes the response on as it arrives. It never relays a call further.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;

use turnford_policy::Moment;
use turnford_policy::TargetSpec;
use turnford_wire::PeerBody;
use turnford_wire::PeerError;
use turnford_wire::RelayReply;
use turnford_wire::RelayRequest;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::links::record_peer_contact;
use crate::metrics::ServiceEvent;
use crate::peers::WaitingGuard;
use crate::peers::SILENCE_TIMEOUT;
use crate::target_body::BodySource;
use crate::target_body::TargetBody;
use crate::traffic::Traffic;
use crate::wait::wait_until;

/// Number of other nodes that one call is offered to.
const MAX_RELAY_ATTEMPTS: usize = 4;

/// Timeout for opening a connection to another node.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which the search for a node that reaches a target goes on.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(700);

/// Time for which a node that reaches no targets is not asked to relay calls.
const ISOLATION_PERIOD: Duration = Duration::from_secs(1);

/// Response head and body of a relayed call, and the node that relays it.
pub(crate) struct RelayedResponse {
    pub(crate) parts: Parts,
    pub(crate) body: TargetBody,
    pub(crate) peer: SocketAddr,
}

/// Outcome of offering a call to one node.
enum RelayAttempt {
    Response(Box<RelayedResponse>),
    /// Nothing was sent, and another node may be asked.
    NotSent,
    /// Nothing was sent; the node reaches other targets but not this one.
    TargetDown,
    Failed(CallError),
}

/// Has another node send a call that ends at `deadline`.
pub(crate) async fn relay_call(
    traffic: &Rc<Traffic>,
    target: &TargetSpec,
    request: Request<Full<Bytes>>,
    purpose: CallPurpose<'_>,
    deadline: Moment,
) -> Result<RelayedResponse, CallError> {
    let started_at = traffic.shared.now();
    let no_relay = CallError::NoRelay("no node that reaches the target was found");
    if !traffic.links.borrow().may_ask_peers(started_at, &target.id) {
        return Err(CallError::NotSent("no node reaches the target"));
    }
    let mut relay = encode_relay(target, request, purpose).await;
    let mut is_down = false;
    for peer in traffic
        .peers
        .relay_candidates(&target.hall, MAX_RELAY_ATTEMPTS)
    {
        let now = traffic.shared.now();
        if now >= deadline || now >= started_at + MAX_SEARCH_TIME {
            break;
        }
        relay.remaining_ms = millis_u32(deadline.saturating_sub(now));
        let attempt = relay_at(traffic, target, &relay, peer, deadline);
        let late = async {
            wait_until(&traffic.shared, deadline).await;
            RelayAttempt::Failed(CallError::Unknown("the response timed out"))
        };
        match attempt.or(late).await {
            RelayAttempt::Response(response) => return Ok(*response),
            RelayAttempt::Failed(error) => return Err(error),
            RelayAttempt::TargetDown => is_down = true,
            RelayAttempt::NotSent => {}
        }
    }
    if !is_down {
        return Err(no_relay);
    }
    let now = traffic.shared.now();
    traffic
        .links
        .borrow_mut()
        .record_peer_failure(now, &target.id);
    Err(CallError::NotSent("no node reaches the target"))
}

/// Offers a call to one node.
async fn relay_at(
    traffic: &Rc<Traffic>,
    target: &TargetSpec,
    relay: &RelayRequest,
    peer: SocketAddr,
    deadline: Moment,
) -> RelayAttempt {
    let request = WorkRequest::Relay(relay.clone());
    let state = traffic.peers.state(peer);
    let _waiting = WaitingGuard::new(&traffic.peers, peer, &state);
    let call = async {
        let call = traffic
            .peers
            .relay_client
            .call_streamed(peer, &request, PEER_CONNECT_TIMEOUT);
        Some(call.await)
    };
    let silent = async {
        while state.down_until.get() <= traffic.shared.now() {
            Timer::after(SILENCE_TIMEOUT).await;
        }
        None
    };
    let reply = match call.or(silent).await {
        Some(Ok((WorkReply::Relayed(reply), body))) => {
            state.last_contact.set(traffic.shared.now());
            (reply, body)
        }
        Some(Ok((WorkReply::Refused, _))) => return RelayAttempt::NotSent,
        Some(Ok(_)) => {
            let error = CallError::Unknown("the relaying node gave an unexpected reply");
            return RelayAttempt::Failed(error);
        }
        Some(Err(error)) => return relay_error(peer, error),
        None => {
            let error = CallError::Unknown("the relaying node does not respond");
            return RelayAttempt::Failed(error);
        }
    };
    decode_reply(traffic, target, peer, deadline, reply)
}

fn relay_error(peer: SocketAddr, error: PeerError) -> RelayAttempt {
    log::info!("node at {peer} did not relay a call: {error}");
    match error {
        PeerError::NotConnected | PeerError::Frame(_) => RelayAttempt::NotSent,
        _ => RelayAttempt::Failed(CallError::Disconnected(
            "the connection to the relaying node was lost",
        )),
    }
}

fn decode_reply(
    traffic: &Rc<Traffic>,
    target: &TargetSpec,
    peer: SocketAddr,
    deadline: Moment,
    (reply, body): (RelayReply, Option<PeerBody>),
) -> RelayAttempt {
    match reply {
        RelayReply::Response { status, headers } => {
            record_peer_contact(traffic, &target.id, peer);
            let parts = decode_head(status, headers);
            let Some((parts, body)) = parts.zip(body) else {
                let error = CallError::Unknown("the response of the relaying node is invalid");
                return RelayAttempt::Failed(error);
            };
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Relayed);
            let source = BodySource::Relayed(body);
            let body = TargetBody::new(&traffic.shared, source, &parts, deadline);
            RelayAttempt::Response(Box::new(RelayedResponse { parts, body, peer }))
        }
        RelayReply::NotReached { is_isolated: true } => {
            let until = traffic.shared.now() + ISOLATION_PERIOD;
            traffic.peers.state(peer).isolated_until.set(until);
            RelayAttempt::NotSent
        }
        RelayReply::NotReached { is_isolated: false } => RelayAttempt::TargetDown,
        RelayReply::Unavailable | RelayReply::Busy => RelayAttempt::NotSent,
        RelayReply::Disconnected => RelayAttempt::Failed(CallError::Disconnected(
            "the connection of the relaying node was lost",
        )),
        RelayReply::Unknown => RelayAttempt::Failed(CallError::Unknown(
            "the relaying node got no valid response",
        )),
    }
}

async fn encode_relay(
    target: &TargetSpec,
    request: Request<Full<Bytes>>,
    purpose: CallPurpose<'_>,
) -> RelayRequest {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await;
    RelayRequest {
        service: target.service.to_string(),
        target: target.id.to_string(),
        process_start: target.process_start,
        attempt: purpose.attempt().map(str::to_owned),
        is_maintenance: purpose == CallPurpose::Maintenance,
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: encode_headers(&parts.headers),
        body: body.to_bytes().to_vec(),
        remaining_ms: 0,
    }
}

pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// Decodes headers. Returns `None` if one of them is invalid.
pub(crate) fn decode_headers(pairs: Vec<(String, Vec<u8>)>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(headers)
}

fn decode_head(status: u16, headers: Vec<(String, Vec<u8>)>) -> Option<Parts> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = decode_headers(headers)?;
    Some(response.into_parts().0)
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
