//! Responses that are given up because of the bytes that they have or announce.

use turnford_policy::TargetSpec;

use crate::call_error::CallError;
use crate::metrics::ServiceEvent;
use crate::traffic::Traffic;

/// Part of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponsePart {
    Head,
    Body,
}

impl ResponsePart {
    fn name(self) -> &'static str {
        match self {
            ResponsePart::Head => "head",
            ResponsePart::Body => "body",
        }
    }
}

/// Records that a response of a target is given up at a part with too many bytes. Returns the error of its call.
pub(crate) fn record_oversize(
    traffic: &Traffic,
    target: &TargetSpec,
    part: ResponsePart,
    reason: std::fmt::Arguments<'_>,
) -> CallError {
    log::warn!(
        "target={} service={} response given up: part={} reason={reason}",
        target.id,
        target.service,
        part.name(),
    );
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Oversized);
    CallError::Unknown("the response is too large")
}
