//! Attribution of responses to calls. A kept connection may carry a repeated response to an earlier
//! call where the response to the next one is due.

use std::fmt;
use std::rc::Rc;

use http::response::Parts;

use turnford_adapter::belongs_to;
use turnford_adapter::response_attempt;
use turnford_policy::TargetSpec;

use crate::call_error::CallError;
use crate::metrics::ServiceEvent;
use crate::repeats::process_repeat;
use crate::traffic::Traffic;

/// Checks that a response belongs to a call of `attempt`, `None` for a call without one. Must succeed
/// before anything in the response is used; otherwise its connection must not be used again.
///
/// # Errors
///
/// Returns [`CallError::OtherResponse`] for a response to another call.
pub(crate) fn check_attribution(
    traffic: &Rc<Traffic>,
    target: &TargetSpec,
    parts: &Parts,
    attempt: Option<&str>,
    origin: fmt::Arguments<'_>,
) -> Result<(), CallError> {
    if belongs_to(parts, attempt) {
        return Ok(());
    }
    log::warn!(
        "target={} {origin} discarded a response: status={} request={} expected={}",
        target.id,
        parts.status.as_u16(),
        response_attempt(parts).as_deref().unwrap_or("-"),
        attempt.unwrap_or("-"),
    );
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::AttemptMismatch);
    process_repeat(traffic, target);
    Err(CallError::OtherResponse)
}
