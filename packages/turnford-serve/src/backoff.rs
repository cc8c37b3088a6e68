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
const LATER_PART: f64 = 0.1;

/// Longest time that a node adds.
const LONGEST_LATER: Duration = Duration::from_millis(500);

/// Notes that a target wants nothing of this node for so long.
pub(crate) fn apply_backoff(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    target: &TargetSpec,
    rest: Duration,
) {
    let now = traffic.shared.now();
    let later = rest
        .min(LONGEST_LATER.div_f64(LATER_PART))
        .mul_f64(LATER_PART);
    let span = rest.saturating_add(later.mul_f64(traffic.random()));
    let mut board = desk.targets.borrow_mut();
    board.record_backoff(now, &target.id, target.process_start, span);
    drop(board);
    desk.line.wake_first();
    if desk.spec.borrow().batch.is_some() {
        tell_admitters(traffic, target, span);
    }
}

/// Tells the nodes that admit requests to stages.
fn tell_admitters(traffic: &Rc<Traffic>, target: &TargetSpec, rest: Duration) {
    let desks = traffic.all_services();
    let plain = desks
        .iter()
        .filter(|desk| desk.spec.borrow().batch.is_none());
    let duties = plain.map(|desk| Duty::Place(desk.spec.borrow().name.to_string()));
    let peers: BTreeSet<SocketAddr> = duties
        .filter_map(|duty| traffic.peers.owner_of(&duty))
        .collect();
    let news = BackoffUpdate {
        service: target.service.to_string(),
        target: target.id.to_string(),
        process_start: target.process_start,
        backoff_ms: u64::try_from(rest.as_millis()).unwrap_or(u64::MAX),
    };
    notify_peers(&traffic.peers, peers, &WorkRequest::Backoff(news));
}

/// Takes the news of a node that gathers.
pub(crate) fn answer_backoff(traffic: &Traffic, news: &BackoffUpdate) -> WorkReply {
    if let Some(desk) = traffic.service(&news.service) {
        let now = traffic.shared.now();
        let rest = Duration::from_millis(news.backoff_ms);
        let mut board = desk.targets.borrow_mut();
        board.record_batcher_backoff(now, &news.target, news.process_start, rest);
    }
    WorkReply::Ack
}
