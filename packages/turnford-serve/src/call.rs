//! One call to one target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::response::Parts;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;

use turnford_adapter::decode_response;
use turnford_adapter::is_refusal;
use turnford_adapter::promises_not_run;
use turnford_adapter::set_remaining;
use turnford_http::HttpConnection;
use turnford_http::HttpError;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;

use crate::attribution::check_attribution;
use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::links::is_direct;
use crate::links::record_contact;
use crate::links::wait_link_lost;
use crate::metrics::ServiceEvent;
use crate::oversize::record_oversize;
use crate::oversize::ResponsePart;
use crate::process_check::check_process;
use crate::relay::relay_call;
use crate::service_context::InFlightGuard;
use crate::service_context::ServiceContext;
use crate::signals::process_signals;
use crate::target_body::BodySource;
use crate::target_body::TargetBody;
use crate::target_connection::open_connection;
use crate::target_connection::ConnectionChoice;
use crate::target_connection::DirectLink;
use crate::target_connection::TargetConnection;
use crate::target_response::drain_refusal;
use crate::target_response::ResponseLink;
use crate::target_response::TargetResponse;
use crate::traffic::Traffic;
use crate::wait::wait_until;

/// Sends a request to a target and waits for the head of its response. Another node sends it if this
/// node does not reach the target.
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
    if connection.is_none() && purpose.connection_choice() == ConnectionChoice::New {
        // The relaying node would choose the connection.
        return Err(CallError::NoRelay("the call needs a new connection"));
    }
    traffic
        .shared
        .metrics
        .record_service_event(&target.service, ServiceEvent::Sent);
    let call = OutgoingCall {
        target,
        request,
        purpose,
        deadline,
    };
    purpose.record_send();
    let response = exchange(traffic, context, call, connection, in_flight).await;
    if response.as_ref().is_err_and(CallError::is_not_run) {
        purpose.record_not_run();
    }
    response
}

/// A call that is about to be sent.
struct OutgoingCall<'a> {
    target: &'a TargetSpec,
    request: Request<Full<Bytes>>,
    purpose: CallPurpose<'a>,
    deadline: Moment,
}

/// Sends a call on a connection to its target, or through another node if there is none.
async fn exchange(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    call: OutgoingCall<'_>,
    connection: Option<TargetConnection>,
    in_flight: InFlightGuard,
) -> Result<TargetResponse, CallError> {
    let OutgoingCall {
        target,
        mut request,
        purpose,
        deadline,
    } = call;
    let attempt = purpose.attempt();
    let sent_at = traffic.shared.now();
    let (parts, body, link) = match connection {
        Some(mut opened) => {
            set_remaining(&mut request, deadline.saturating_sub(sent_at));
            let connection = &mut opened.connection;
            let is_repeatable = purpose.is_repeatable();
            let sent = send_request(
                traffic,
                target,
                connection,
                request,
                deadline,
                is_repeatable,
            );
            let (parts, body) = sent.await?;
            let port = opened.connection.local_port();
            let origin = format_args!("port={port}");
            check_attribution(traffic, target, &parts, attempt, origin)?;
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
    let signal = process_signals(traffic, context, target, &parts, attempt, sent_at);
    let response = TargetResponse {
        target: target.clone(),
        parts,
        is_leaving: signal.is_leaving,
        body,
        link,
        _in_flight: in_flight,
    };
    accept_response(traffic, context, target, attempt, response).await
}

/// Checks what the head of a response says of the call: whether the target ran it, and whether the response
/// is the target's own.
async fn accept_response(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    attempt: Option<&str>,
    response: TargetResponse,
) -> Result<TargetResponse, CallError> {
    let status = response.parts.status;
    let metrics = &traffic.shared.metrics;
    let attributes = decode_response(&response.parts);
    let load = attributes.as_ref().ok().and_then(|known| known.load);
    if let Some(sample) = load {
        let now = traffic.shared.now();
        let mut table = context.targets.borrow_mut();
        table.record_load(now, &target.id, sample);
    }
    // A refusal counts whatever else is wrong with its head.
    if is_refusal(&response.parts) {
        drain_refusal(traffic, response.link, response.body).await;
        metrics.record_service_event(&target.service, ServiceEvent::NotRun);
        return Err(CallError::NotRun(status));
    }
    let attributes = attributes.map_err(|error| {
        log::warn!("target={} invalid response: {error}", target.id);
        CallError::Unknown("the response head is invalid")
    })?;
    let is_complete = attempt.is_none() || (attributes.is_signed && !attributes.is_encoded);
    if status.is_success() && !is_complete {
        return Err(CallError::Unknown("the response is unsigned or encoded"));
    }
    if promises_not_run(status) {
        log::warn!(
            "target={} request={} status={} marked={} signed={}: the request may have run",
            target.id,
            attempt.unwrap_or("-"),
            status.as_u16(),
            attributes.is_marked,
            attributes.is_signed,
        );
        metrics.record_service_event(&target.service, ServiceEvent::UnmarkedRefusal);
    }
    Ok(response)
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
            HttpError::TooLarge => {
                let reason = format_args!("no end of the head");
                record_oversize(traffic, target, ResponsePart::Head, reason)
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
