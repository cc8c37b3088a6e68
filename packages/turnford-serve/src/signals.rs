//! What targets report about themselves in their responses: that they are leaving, that they ask
//! for backoff, that they fail when they reject too many requests, or that they limit the rate of
//! calls from all nodes together.

use std::rc::Rc;

use http::response::Parts;

use turnford_adapter::decode_limit;
use turnford_adapter::decode_signal;
use turnford_adapter::TargetSignal;
use turnford_policy::LimitObservation;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;

use crate::backoff::apply_backoff;
use crate::brittle::process_brittle;
use crate::leaving::process_leaving;
use crate::limit_updates::process_limit;
use crate::metrics::ServiceEvent;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Processes what a target reports about itself in the response that belongs to a call sent at
/// `sent_at`, whatever becomes of the response.
pub(crate) fn process_signals(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    parts: &Parts,
    attempt: Option<&str>,
    sent_at: Moment,
) -> TargetSignal {
    let signal = decode_signal(parts).unwrap_or_else(|(signal, error)| {
        log::warn!("target={} sent an invalid backoff: {error}", target.id);
        signal
    });
    let metrics = &traffic.shared.metrics;
    if signal.is_leaving {
        metrics.record_service_event(&target.service, ServiceEvent::AnnouncedLeaving);
        process_leaving(traffic, context, target);
    }
    if let Some(backoff) = signal.backoff {
        metrics.record_service_event(&target.service, ServiceEvent::RequestedBackoff);
        log::info!(
            "target={} asks for backoff of {}ms: request={}",
            target.id,
            backoff.as_millis(),
            attempt.unwrap_or("-")
        );
        apply_backoff(traffic, context, target, backoff);
    }
    if let Some(is_brittle) = signal.is_brittle {
        process_brittle(traffic, context, is_brittle, sent_at);
    }
    process_rate_limit(traffic, context, target, parts, attempt, sent_at);
    signal
}

/// Processes a target's rate limit for the calls of all nodes together.
fn process_rate_limit(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    parts: &Parts,
    attempt: Option<&str>,
    sent_at: Moment,
) {
    let signal = match decode_limit(parts) {
        Ok(Some(signal)) => signal,
        Ok(None) => return,
        Err(error) => {
            log::warn!("target={} sent an invalid rate limit: {error}", target.id);
            return;
        }
    };
    if signal.rate().is_some() {
        let metrics = &traffic.shared.metrics;
        metrics.record_service_event(&target.service, ServiceEvent::AnnouncedLimit);
    }
    let observation = LimitObservation {
        signal,
        sent_at,
        received_at: traffic.shared.now(),
    };
    process_limit(&context.limits, target, observation, attempt.unwrap_or("-"));
}
