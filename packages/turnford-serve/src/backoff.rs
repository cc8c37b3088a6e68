//! Targets that refuse a call and ask for backoff get no further calls from this node until it
//! ends.
//!
//! A backoff holds between one node and one target. The placer of engine requests receives with
//! each request the targets to skip. Targets of a stage get all their calls from the batching node,
//! so this node sends its backoffs to the nodes that admit requests, and these count such targets
//! as unavailable.

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

/// Jitter that a node adds at most, as a ratio of the backoff. Nodes that received the same
/// backoff don't return at the same moment.
const BACKOFF_JITTER: f64 = 0.1;

const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(500);

/// Records that a target refuses calls from this node for a time, and wakes waiting requests.
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
    let backoff = backoff.saturating_add(jitter.mul_f64(traffic.random()));
    let mut table = context.targets.borrow_mut();
    table.record_backoff(now, &target.id, target.process_start, backoff);
    drop(table);
    context.wait_queue.wake_first();
    if context.spec.borrow().batch.is_some() {
        notify_admitters(traffic, target, backoff);
    }
}

/// Sends a backoff to the nodes that admit requests to stages.
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

/// Handles a backoff reported by a batching node.
pub(crate) fn answer_backoff(traffic: &Traffic, update: &BackoffUpdate) -> WorkReply {
    if let Some(context) = traffic.service(&update.service) {
        let now = traffic.shared.now();
        let backoff = Duration::from_millis(update.backoff_ms);
        let mut table = context.targets.borrow_mut();
        table.record_batcher_backoff(now, &update.target, update.process_start, backoff);
    }
    WorkReply::Ack
}
