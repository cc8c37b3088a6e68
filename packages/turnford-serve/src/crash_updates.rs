//! Exchanges crash records between nodes without the store.
//!
//!
//! A node that learns of a crash immediately notifies a sample of other nodes, which forward the
//! update. In addition, nodes that know of crashes periodically compare checksums, so that a node
//! that missed an update catches up. A starting node requests a snapshot before it reports itself
//! ready.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::crash::apply_crash;
use crate::fanout::notify_peers;
use crate::fanout::notify_sample;
use crate::fanout::REPLY_TIMEOUT;
use crate::suspect_persistence::apply_stored;
use crate::traffic::Traffic;

/// Time for which updates are batched: crashes of requests that shared a target are detected
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of updates in one message, about 5 KB. Beyond it, crashes on trial take
/// precedence; the remaining ones reach other nodes through the periodic sync.
const MAX_UPDATES: usize = 64;

/// Interval between syncs with another node. A missed update arrives within a few seconds, at a
/// cost of about a hundred bytes a second.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Crashes that a node sends in snapshots per second, except to starting nodes: about 1 KB a second
/// while nodes keep disagreeing.
const SNAPSHOT_RATE: f64 = 25.0;

/// Maximum number of nodes that a starting node asks; nodes that have ended may still be listed.
const MAX_START_PEERS: usize = 3;

/// Interval for polling whether the other nodes are known.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Notifies a sample of other nodes after a short batching delay.
pub(crate) fn notify_crashes(traffic: &Rc<Traffic>, updates: Vec<CrashUpdate>) {
    if traffic.crashes.pending.add(updates) {
        let send = send_pending(traffic.clone());
        traffic.executor.spawn(send).detach();
    }
}

/// Notifies the placing nodes of the events of a call. They decide whether the next copy runs, and
/// other paths of the updates may be slower or lose them.
pub(crate) fn notify_placers(traffic: &Rc<Traffic>, updates: &[CrashUpdate]) {
    let request = WorkRequest::Crashes(updates.to_vec());
    let owned = traffic.clone();
    // A crash can be detected while the services are being replaced, when they can't be listed.
    let send = async move {
        let services = owned.all_services();
        let placers: BTreeSet<SocketAddr> = services
            .iter()
            .filter_map(|context| context.limits.placer())
            .collect();
        notify_peers(&owned.peers, placers, &request);
    };
    traffic.executor.spawn(send).detach();
}

async fn send_pending(traffic: Rc<Traffic>) {
    Timer::after(BATCH_DELAY).await;
    let mut updates = traffic.crashes.pending.take();
    updates.sort_by_key(|update| match update.event {
        CrashEvent::Crashed { part, .. } => Reverse(Some(part)),
        CrashEvent::EndedWell => Reverse(None),
    });
    if updates.len() > MAX_UPDATES {
        let omitted = updates.len() - MAX_UPDATES;
        log::warn!(
            "crash updates left out of a message, to be sent by the periodic sync: {omitted}"
        );
        updates.truncate(MAX_UPDATES);
    }
    // A node that misses the message catches up by the periodic sync.
    notify_sample(&traffic.peers, &WorkRequest::Crashes(updates));
}

/// Applies another node's updates and forwards those that are new.
pub(crate) fn answer_crashes(traffic: &Rc<Traffic>, updates: Vec<CrashUpdate>) -> WorkReply {
    let new = updates
        .into_iter()
        .filter(|update| apply_crash(traffic, update));
    let new: Vec<CrashUpdate> = new.collect();
    if !new.is_empty() {
        notify_crashes(traffic, new);
    }
    WorkReply::Ack
}

/// Answers the checksum comparison of another node.
pub(crate) fn answer_crash_sync(traffic: &Traffic, sum: u64, is_new: bool) -> WorkReply {
    let own = traffic.crashes.table.borrow().checksum();
    let updates = if own == sum {
        Vec::new()
    } else {
        snapshot_crashes(traffic, is_new)
    };
    WorkReply::Crashes { sum: own, updates }
}

/// Returns a snapshot of all crashes for another node. It is empty while the rate limit is
/// exceeded, unless the other node has just started.
fn snapshot_crashes(traffic: &Traffic, is_new: bool) -> Vec<CrashUpdate> {
    let now = traffic.shared.now();
    if !is_new && now < traffic.crashes.snapshot_after.get() {
        return Vec::new();
    }
    let updates = traffic.crashes.table.borrow().snapshot(now);
    let delay = Duration::from_secs_f64(updates.len() as f64 / SNAPSHOT_RATE);
    traffic.crashes.snapshot_after.set(now + delay);
    updates
}

/// Periodically syncs crash records with other nodes, for as long as the node runs.
pub(crate) async fn sync_crashes(traffic: Rc<Traffic>) {
    loop {
        Timer::after(SYNC_INTERVAL).await;
        apply_stored(&traffic);
        update_gauges(&traffic);
        if traffic.crashes.table.borrow().is_empty() {
            // Nodes that know of crashes contact this one.
            continue;
        }
        for peer in traffic.peers.sample(1) {
            sync_with(&traffic, peer, false).await;
        }
    }
}

fn update_gauges(traffic: &Traffic) {
    let table = traffic.crashes.table.borrow();
    let metrics = &traffic.shared.metrics;
    metrics.suspects.set(table.len() as u64);
    metrics.refused_suspects.set(table.refused_count() as u64);
}

/// Syncs with one node in both directions. Returns `false` if it did not reply.
async fn sync_with(traffic: &Rc<Traffic>, peer: SocketAddr, is_new: bool) -> bool {
    let sum = traffic.crashes.table.borrow().checksum();
    let request = WorkRequest::CrashSync { sum, is_new };
    let reply = traffic.peers.call(peer, &request, REPLY_TIMEOUT).await;
    let Some(WorkReply::Crashes { sum, updates }) = reply else {
        return false;
    };
    for update in &updates {
        apply_crash(traffic, update);
    }
    if traffic.crashes.table.borrow().checksum() != sum {
        let snapshot = snapshot_crashes(traffic, false);
        if !snapshot.is_empty() {
            traffic
                .peers
                .call(peer, &WorkRequest::Crashes(snapshot), REPLY_TIMEOUT)
                .await;
        }
    }
    true
}

/// Requests crash records from another node, so that a starting node does not run requests that are
/// known to crash targets.
pub(crate) async fn pull_initial_crashes(traffic: Rc<Traffic>) {
    while !traffic.shared.has_queried_members.load(Ordering::SeqCst) {
        Timer::after(MEMBER_POLL_INTERVAL).await;
    }
    apply_stored(&traffic);
    for peer in traffic.peers.sample(MAX_START_PEERS) {
        if sync_with(&traffic, peer, true).await {
            break;
        }
    }
    traffic
        .shared
        .has_crash_snapshot
        .store(true, Ordering::SeqCst);
}
