//! Retries of a service, taken from one allowance for all causes.

use crate::metrics::ServiceEvent;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Takes this number of retries from the service's allowance, all or none.
pub(crate) fn try_take_retries(traffic: &Traffic, context: &ServiceContext, count: usize) -> bool {
    let now = traffic.shared.now();
    let allowed = context.allowance.borrow_mut().try_take_many(now, count);
    let event = if allowed {
        ServiceEvent::Repeated
    } else {
        ServiceEvent::RepeatDenied
    };
    let metrics = &traffic.shared.metrics;
    metrics.record_service_events(&context.spec.borrow().name, event, count);
    allowed
}
