//! Services whose targets fail when they have to reject too many requests.
//!
//! What such a target rejects comes from all nodes together, so the node that places the service's
//! requests allocates the room of its targets to all of them. A node that receives the announcement
//! notifies some others, which forward it.

use std::rc::Rc;
use std::time::Duration;

use turnford_policy::Moment;
use turnford_wire::BrittleUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::millis_u32;
use crate::fanout::notify_sample;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Processes whether a target announces in a response to a call sent at `sent_at` that it is
/// brittle. Responses to calls that were sent before the last announcement are out of date.
pub(crate) fn process_brittle(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    is_brittle: bool,
    sent_at: Moment,
) {
    let now = traffic.shared.now();
    let mut signal = context.brittleness.get();
    let was_brittle = signal.is_brittle(now);
    if is_brittle {
        let is_new = signal.record_announcement(now, now);
        context.brittleness.set(signal);
        if is_new {
            notify_peers(traffic, context, Duration::ZERO);
        }
    } else {
        signal.record_absence(now, sent_at);
        context.brittleness.set(signal);
    }
    log_change(traffic, context, was_brittle, "a response");
}

/// Applies another node's announcements and forwards those that are new.
pub(crate) fn answer_brittle(traffic: &Rc<Traffic>, updates: Vec<BrittleUpdate>) -> WorkReply {
    let now = traffic.shared.now();
    for update in updates {
        let Some(context) = traffic.service(&update.service) else {
            continue;
        };
        let age = Duration::from_millis(u64::from(update.age_ms));
        let mut signal = context.brittleness.get();
        let was_brittle = signal.is_brittle(now);
        let is_new = signal.record_announcement(now, now.saturating_sub(age));
        context.brittleness.set(signal);
        if is_new {
            notify_peers(traffic, &context, age);
        }
        log_change(traffic, &context, was_brittle, "another node");
    }
    WorkReply::Ack
}

fn notify_peers(traffic: &Rc<Traffic>, context: &ServiceContext, age: Duration) {
    let update = BrittleUpdate {
        service: context.spec.borrow().name.to_string(),
        age_ms: millis_u32(age),
    };
    notify_sample(&traffic.peers, &WorkRequest::Brittle(vec![update]));
}

fn log_change(traffic: &Traffic, context: &ServiceContext, was_brittle: bool, source: &str) {
    let now = traffic.shared.now();
    let is_brittle = context.brittleness.get().is_brittle(now);
    if is_brittle != was_brittle {
        let service = context.spec.borrow().name.clone();
        log::info!("service={service} brittle={is_brittle} from={source}");
    }
}

/// Updates the gauge of brittle services. Announcements also end by their age.
pub(crate) fn update_metrics(traffic: &Traffic) {
    let now = traffic.shared.now();
    let services = traffic.all_services();
    let brittle = services
        .iter()
        .filter(|context| context.brittleness.get().is_brittle(now));
    let metrics = &traffic.shared.metrics;
    metrics.brittle_services.set(brittle.count() as u64);
}
