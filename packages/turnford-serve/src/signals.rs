//! What targets say of themselves in their answers: that they leave, that they want rest, that they take so many
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
use crate::leaving::process_leaving;
use crate::limit_updates::process_limit;
use crate::metrics::ServiceEvent;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Hears what a target says of itself in the answer to a call sent at a moment, whatever becomes of it.
pub(crate) fn process_signals(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    parts: &Parts,
    attempt: Option<&str>,
    sent: Moment,
) -> TargetSignal {
    let signal = decode_signal(parts, attempt).unwrap_or_else(|(signal, problem)| {
        log::warn!("target={} asks for rest: {problem}", target.id);
        signal
    });
    let metrics = &traffic.shared.metrics;
    if signal.is_leaving {
        metrics.record_service_event(&target.service, ServiceEvent::AnnouncedLeaving);
        process_leaving(traffic, context, target);
    }
    if let Some(rest) = signal.backoff {
        metrics.record_service_event(&target.service, ServiceEvent::RequestedBackoff);
        log::info!(
            "target={} asks for rest of {}ms: request={}",
            target.id,
            rest.as_millis(),
            attempt.unwrap_or("-")
        );
        apply_backoff(traffic, context, target, rest);
    }
    process_rate_limit(traffic, context, target, parts, attempt, sent);
    signal
}

/// Hears what a target says of the calls that it takes from all nodes together.
fn process_rate_limit(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    parts: &Parts,
    attempt: Option<&str>,
    sent: Moment,
) {
    let signal = match decode_limit(parts, attempt) {
        Ok(Some(signal)) => signal,
        Ok(None) => return,
        Err(problem) => {
            log::warn!("target={} names a limit: {problem}", target.id);
            return;
        }
    };
    if signal.rate().is_some() {
        let metrics = &traffic.shared.metrics;
        metrics.record_service_event(&target.service, ServiceEvent::AnnouncedLimit);
    }
    let heard = LimitObservation {
        signal,
        sent_at: sent,
        received_at: traffic.shared.now(),
    };
    process_limit(&context.limits, target, heard, attempt.unwrap_or("-"));
}
