//! Targets that turn a call away and ask for rest: they get nothing of this node until it is over.
//!
//! A rest is between one node and one target. Who places for engines is told with each question which
//! targets not to take. Targets of a stage get all their calls from the node that gathers, so nodes that
//! admit requests are told of its rests, and count these targets as away.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::Duty;
use turnford_policy::TargetSpec;
use turnford_wire::BackoffUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::fanout::notify_peers;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Part of a rest that a node adds at most: nodes that were told the same don't come back in the same
/// moment.
const BACKOFF_JITTER: f64 = 0.1;

/// Longest time that a node adds.
const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(500);

/// Notes that a target wants nothing of this node for so long.
pub(crate) fn apply_backoff(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
    backoff: Duration,
) {
    let now = traffic.shared.now();
    let jitter = backoff
        .min(MAX_BACKOFF_JITTER.div_f64(BACKOFF_JITTER))
        .mul_f64(BACKOFF_JITTER);
    let span = backoff.saturating_add(jitter.mul_f64(traffic.random()));
    let mut table = context.targets.borrow_mut();
    table.record_backoff(now, &target.id, target.process_start, span);
    drop(table);
    context.wait_queue.wake_first();
    if context.spec.borrow().batch.is_some() {
        notify_admitters(traffic, target, span);
    }
}

/// Tells the nodes that admit requests to stages.
fn notify_admitters(traffic: &Rc<Traffic>, target: &TargetSpec, backoff: Duration) {
    let services = traffic.all_services();
    let admitting = services
        .iter()
        .filter(|context| context.spec.borrow().batch.is_none());
    let duties = admitting.map(|context| Duty::Place(context.spec.borrow().name.to_string()));
    let peers: BTreeSet<SocketAddr> = duties
        .filter_map(|duty| traffic.peers.owner_of(&duty))
        .collect();
    let update = BackoffUpdate {
        service: target.service.to_string(),
        target: target.id.to_string(),
        process_start: target.process_start,
        backoff_ms: u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX),
    };
    notify_peers(&traffic.peers, peers, &WorkRequest::Backoff(update));
}

/// Takes the news of a node that gathers.
pub(crate) fn answer_backoff(traffic: &Traffic, update: &BackoffUpdate) -> WorkReply {
    if let Some(context) = traffic.service(&update.service) {
        let now = traffic.shared.now();
        let backoff = Duration::from_millis(update.backoff_ms);
        let mut table = context.targets.borrow_mut();
        table.record_batcher_backoff(now, &update.target, update.process_start, backoff);
    }
    WorkReply::Ack
}
