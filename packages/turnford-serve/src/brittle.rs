//! Services whose targets fail when they have to reject too many requests.
//!
//! What such a target rejects comes from all nodes together, so the node that places the service's
//! requests allocates the room of its targets to all of them. A node that receives the announcement
//! notifies some others, which forward it.

use std::cell::Cell;
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

/// Time after the last announcement for which targets count as brittle. Nodes that get no response
/// of a target hear of announcements from others in the meantime.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);

/// Minimum interval between two notifications of other nodes.
const NOTIFY_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of a service's announcements.
#[derive(Default)]
pub(crate) struct BrittleState {
    announced_at: Cell<Option<Moment>>,
    /// Time of the last response without an announcement.
    absent_at: Cell<Option<Moment>>,
    notified_at: Cell<Option<Moment>>,
}

impl BrittleState {
    /// Returns whether the service's targets are brittle.
    pub(crate) fn is_brittle(&self, now: Moment) -> bool {
        let announced_at = self.announced_at.get();
        let is_recent = |at: &Moment| now.saturating_sub(*at) < ANNOUNCEMENT_TTL;
        let announced_at = announced_at.filter(is_recent);
        announced_at.is_some_and(|at| self.absent_at.get().is_none_or(|absent| absent < at))
    }
}

/// Processes whether a target announces in a response to a call sent at `sent_at` that it is
/// brittle. Responses to calls that were sent before the last announcement are out of date.
pub(crate) fn process_brittle(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    is_brittle: bool,
    sent_at: Moment,
) {
    let now = traffic.shared.now();
    let state = &context.brittleness;
    let was_brittle = state.is_brittle(now);
    if is_brittle {
        state.announced_at.set(Some(now));
        notify_peers(traffic, context, now);
    } else if state.announced_at.get().is_some_and(|at| at < sent_at) {
        state.absent_at.set(Some(now));
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
        let at = now.saturating_sub(Duration::from_millis(u64::from(update.age_ms)));
        let state = &context.brittleness;
        if state.announced_at.get().is_some_and(|known| known >= at) {
            continue;
        }
        let was_brittle = state.is_brittle(now);
        state.announced_at.set(Some(at));
        notify_peers(traffic, &context, now);
        log_change(traffic, &context, was_brittle, "another node");
    }
    WorkReply::Ack
}

fn notify_peers(traffic: &Rc<Traffic>, context: &ServiceContext, now: Moment) {
    let state = &context.brittleness;
    let is_recent = |at: Moment| now.saturating_sub(at) < NOTIFY_INTERVAL;
    let Some(announced_at) = state.announced_at.get() else {
        return;
    };
    if state.notified_at.get().is_some_and(is_recent) {
        return;
    }
    state.notified_at.set(Some(now));
    let update = BrittleUpdate {
        service: context.spec.borrow().name.to_string(),
        age_ms: millis_u32(now.saturating_sub(announced_at)),
    };
    notify_sample(&traffic.peers, &WorkRequest::Brittle(vec![update]));
}

fn log_change(traffic: &Traffic, context: &ServiceContext, was_brittle: bool, source: &str) {
    let now = traffic.shared.now();
    let is_brittle = context.brittleness.is_brittle(now);
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
        .filter(|context| context.brittleness.is_brittle(now));
    let metrics = &traffic.shared.metrics;
    metrics.brittle_services.set(brittle.count() as u64);
}
