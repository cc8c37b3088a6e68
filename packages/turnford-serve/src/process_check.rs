//! Check that a new connection leads to the process that a target's store entry describes.
//!
//! A target may restart under the same id and address with other software before its entry says so.
//! A connection never changes its process, so each one is checked once.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_body_util::BodyExt;

use turnford_adapter::decode_process_start;
use turnford_adapter::encode_report;
use turnford_http::wait_timeout;
use turnford_policy::ProcessStart;
use turnford_policy::TargetSpec;

use crate::attribution::check_attribution;
use crate::body_budget::BodyKind;
use crate::body_buffer::BodyBuffer;
use crate::call_error::CallError;
use crate::metrics::ServiceEvent;
use crate::oversize::record_oversize;
use crate::oversize::ResponsePart;
use crate::service_context::ServiceContext;
use crate::target_connection::TargetConnection;
use crate::traffic::Traffic;

/// Timeout for a target's status report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a status report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Returns a connection to a target after checking the process behind it, if the service has streams.
///
/// # Errors
///
/// Returns [`CallError::NotSent`] if the process is another one, or gives no report.
pub(crate) async fn check_process(
    traffic: &Rc<Traffic>,
    context: &ServiceContext,
    target: &TargetSpec,
    mut opened: TargetConnection,
) -> Result<TargetConnection, CallError> {
    if !opened.is_new || !needs_check(context, target) {
        return Ok(opened);
    }
    let late = async {
        wait_timeout(REPORT_TIMEOUT).await;
        Err(CallError::NotSent("the target gave no status report"))
    };
    let reported = read_process_start(traffic, &mut opened, target)
        .or(late)
        .await?;
    // A target whose report does not name its process can't be checked.
    if reported.is_none_or(|reported| reported == target.process_start) {
        return Ok(opened);
    }
    log::info!(
        "target={} process was replaced: born={} in its entry, {} in its report",
        target.id,
        target.process_start,
        reported.unwrap_or_default()
    );
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::ProcessReplaced);
    let now = traffic.shared.now();
    context.targets.borrow_mut().record_refusal(now, &target.id);
    Err(CallError::NotSent(
        "its process is not the one of its store entry",
    ))
}

fn needs_check(context: &ServiceContext, target: &TargetSpec) -> bool {
    // The report would count towards a target's limit.
    let is_limited = context
        .limits
        .table
        .borrow()
        .state(&target.id)
        .needs_permit();
    target.process_start != 0 && context.has_streams.get() && !is_limited
}

/// Returns the start of the process behind a connection, `None` if the target does not report it.
async fn read_process_start(
    traffic: &Rc<Traffic>,
    opened: &mut TargetConnection,
    target: &TargetSpec,
) -> Result<Option<ProcessStart>, CallError> {
    let lost = CallError::NotSent("the connection was lost before the request was sent");
    let request = encode_report(&target.address.to_string(), &target.id)
        .map_err(|_| CallError::NotSent("the request for a status report can't be encoded"))?;
    let response = opened.connection.send(request).await;
    let (parts, mut body) = response.map_err(|_| lost.clone())?.into_parts();
    let port = opened.connection.local_port();
    check_attribution(traffic, target, &parts, None, format_args!("port={port}"))
        .map_err(|_| CallError::NotSent("the target gave no status report of its own"))?;
    let budget = &traffic.shared.bodies;
    let mut buffer = BodyBuffer::new(budget, BodyKind::Response, MAX_REPORT_BYTES);
    while let Some(frame) = body.frame().await {
        let chunk = frame.map_err(|_| lost.clone())?.into_data();
        buffer.push(&chunk.unwrap_or_default()).map_err(|error| {
            let reason = format_args!("{error}");
            record_oversize(traffic, target, ResponsePart::Body, reason);
            CallError::NotSent("the status report is too large")
        })?;
    }
    Ok(decode_process_start(&buffer.finish()).filter(|_| parts.status.is_success()))
}
