//! Background maintenance of limits: periodic comparison with other nodes and, on the allocator,
//! probes of limited targets that get no calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::TargetId;
use turnford_wire::LimitDigest;
use turnford_wire::LimitUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::brittle;
use crate::fanout::REPLY_TIMEOUT;
use crate::leaving::probe_health;
use crate::limit_updates::apply_limits;
use crate::limit_updates::known_limits;
use crate::repeats;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Interval between comparisons with another node.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Number of nodes that an allocator compares with: two allocators of one service must learn of
/// each other soon.
const ALLOCATOR_PEERS: usize = 3;

/// Time after the start of a node during which it compares although it knows of no limit.
const START_PERIOD: Duration = Duration::from_secs(5);

/// Maintains the limits for as long as the node runs.
pub(crate) async fn maintain_limits(traffic: Rc<Traffic>) {
    loop {
        Timer::after(SYNC_INTERVAL).await;
        for context in traffic.all_services() {
            maintain_allocator(&traffic, &context);
        }
        update_gauges(&traffic);
        brittle::update_metrics(&traffic);
        repeats::update_metrics(&traffic);
        sync_limits(&traffic);
    }
}

/// Compares this node's knowledge with that of other nodes.
fn sync_limits(traffic: &Rc<Traffic>) {
    let is_new = traffic.shared.now() < START_PERIOD;
    let services = traffic.all_services();
    let compared = services
        .iter()
        .filter(|context| is_new || context.limits.is_allocated.get());
    let digests: Vec<LimitDigest> = compared.map(|context| context.limits.digest()).collect();
    if digests.is_empty() {
        return;
    }
    let is_allocator = |context: &Rc<ServiceContext>| {
        let mut election = context.limits.election.borrow_mut();
        election.allocator().is_some()
    };
    let count = if services.iter().any(is_allocator) {
        ALLOCATOR_PEERS
    } else {
        1
    };
    for peer in traffic.peers.sample(count) {
        let compare = sync_with(traffic.clone(), peer, digests.clone());
        traffic.executor.spawn(compare).detach();
    }
}

async fn sync_with(traffic: Rc<Traffic>, peer: SocketAddr, digests: Vec<LimitDigest>) {
    let request = WorkRequest::LimitSync(digests);
    let reply = traffic.peers.call(peer, &request, REPLY_TIMEOUT).await;
    let Some(WorkReply::Limits { updates, behind }) = reply else {
        return;
    };
    for update in &updates {
        if let Some(context) = traffic.service(&update.service) {
            apply_limits(&context.limits, update);
        }
    }
    let services = behind.iter().filter_map(|service| traffic.service(service));
    let own_updates: Vec<LimitUpdate> = services
        .filter_map(|context| known_limits(&context.limits))
        .collect();
    if !own_updates.is_empty() {
        let request = WorkRequest::Limits(own_updates);
        traffic.peers.call(peer, &request, REPLY_TIMEOUT).await;
    }
}

/// Answers another node's comparison.
pub(crate) fn answer_limit_sync(traffic: &Traffic, digests: &[LimitDigest]) -> WorkReply {
    let mut updates = Vec::new();
    let mut behind = Vec::new();
    for digest in digests {
        let Some(context) = traffic.service(&digest.service) else {
            continue;
        };
        let own = context.limits.digest();
        if own == *digest {
            continue;
        }
        if own.term <= digest.term {
            behind.push(digest.service.clone());
        }
        if own.term >= digest.term {
            updates.extend(known_limits(&context.limits));
        }
    }
    WorkReply::Limits { updates, behind }
}

/// Does the maintenance of an allocator for one service.
fn maintain_allocator(traffic: &Rc<Traffic>, context: &Rc<ServiceContext>) {
    let now = traffic.shared.now();
    let limits = &context.limits;
    let mut election = limits.election.borrow_mut();
    let idle = election.allocator().map_or_else(Vec::new, |allocator| {
        let table = limits.table.borrow();
        allocator.retain_listed(|target: &TargetId, born| table.is_known(target, born));
        allocator.set_reaches_half(traffic.shared.view.load().reaches_half());
        allocator.take_idle(now)
    });
    drop(election);
    limits.publish(false);
    if !context.needs_allocator(now) {
        // Requests may be placed by the regular placer again.
        limits.is_allocated.set(false);
    }
    for target in idle {
        let listed = context.targets.borrow().get(&target).cloned();
        if let Some(target) = listed.filter(|target| !target.leaving) {
            limits.add_permit(&target.id, now);
            let probe = probe_health(traffic.clone(), context.clone(), target);
            traffic.executor.spawn(probe).detach();
        }
    }
}

fn update_gauges(traffic: &Traffic) {
    let now = traffic.shared.now();
    let mut targets = 0;
    let mut rate = 0.0;
    let mut waiting = 0;
    for context in traffic.all_services() {
        targets += context.limits.table.borrow().limited().count();
        if let Some(allocator) = context.limits.election.borrow_mut().allocator() {
            let (granted, queued) = allocator.load(now);
            rate += granted;
            waiting += queued;
        }
    }
    let metrics = &traffic.shared.metrics;
    metrics.limited_targets.set(targets as u64);
    metrics.limit_rate.set(rate);
    metrics.limit_queue.set(waiting as u64);
}
