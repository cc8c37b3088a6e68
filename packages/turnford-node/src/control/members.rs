//! Membership: discovers the other nodes and probes them.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use serde::Deserialize;
use serde::Serialize;
use turnford_fleet::ConfigDigest;
use turnford_fleet::Duty;
use turnford_fleet::MemberState;
use turnford_fleet::MemberUpdate;
use turnford_fleet::ProbePlan;
use turnford_platform::ObjectList;
use turnford_platform::PlatformError;
use turnford_platform::VersionGuard;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;

/// Key prefix of the nodes' records at the platform.
const NODE_PREFIX: &str = "nodes/";

/// Interval between checks for due probes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of an indirect probe.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Mean interval between attempts to register while the platform is unavailable.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Wait after a node's own registration, for other nodes that start at the same time to register.
const REGISTRATION_WAIT: Duration = Duration::from_millis(500);

/// Minimum interval between pulls of the full member list.
const MEMBER_PULL_INTERVAL: Duration = Duration::from_secs(3);

/// Mean interval between sweeps of dead nodes' records. A node must also be dead for at least this
/// long before its record is removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of members on one page.
pub(super) const PAGE_SIZE: usize = 200;

/// A node's record, as stored at the platform.
#[derive(Serialize, Deserialize)]
struct NodeRecord {
    address: std::net::SocketAddr,
    hall: String,
}

/// Registers this node, discovers the others and probes them for as long as the node runs.
pub(super) async fn run_membership(context: Rc<ControlContext>) {
    context.executor.spawn(register(context.clone())).detach();
    context
        .executor
        .spawn(sweep_records(context.clone()))
        .detach();
    ping_known_peers(&context).await;
    let mut leave_started = false;
    loop {
        Timer::after(TICK_INTERVAL).await;
        let now = context.now();
        let plan = {
            let mut members = context.members.borrow_mut();
            members.expire(now);
            members.probe_due(now)
        };
        if let Some(plan) = plan {
            context
                .executor
                .spawn(probe(context.clone(), plan))
                .detach();
        }
        let count = i64::try_from(context.fleet_count()).unwrap_or(i64::MAX);
        context.state.metrics.members.set(count);
        context
            .state
            .metrics
            .frame_bytes
            .set(context.peers.frame_bytes());
        if !leave_started && context.state.draining.load(Ordering::SeqCst) {
            leave_started = true;
            context.executor.spawn(leave(context.clone())).detach();
        }
    }
}

/// Builds a ping to a member.
fn ping(context: &ControlContext, to: &str) -> PeerRequest {
    let mut members = context.members.borrow_mut();
    PeerRequest::Ping {
        gossip: members.take_gossip(to),
        digest: context.view.borrow().digest(),
        members: members.checksum(),
    }
}

/// Handles a ping.
pub(super) fn handle_ping(
    context: &Rc<ControlContext>,
    gossip: Vec<MemberUpdate>,
    digest: ConfigDigest,
) -> PeerReply {
    let from = gossip.first().cloned();
    apply_gossip(context, gossip);
    if let Some(from) = &from {
        super::config::compare_digest(context, from.address, digest);
    }
    let to = from.as_ref().map_or("", |from| from.name.as_str());
    let mut members = context.members.borrow_mut();
    PeerReply::Pong {
        gossip: members.take_gossip(to),
        digest: context.view.borrow().digest(),
        members: members.checksum(),
    }
}

/// Handles an indirect probe by pinging its target.
pub(super) async fn handle_ping_via(
    context: &Rc<ControlContext>,
    target: MemberUpdate,
) -> PeerReply {
    PeerReply::Reached(ping_once(context, &target.name, target.address).await)
}

/// Handles a pull of the page of members after a name.
pub(super) fn handle_member_pull(context: &ControlContext, after: &str) -> PeerReply {
    let members = context.members.borrow();
    let own = members.own().clone();
    let others = members.live().map(|record| record.update.clone());
    let mut updates: Vec<MemberUpdate> = others.chain(std::iter::once(own)).collect();
    updates.retain(|update| update.name.as_str() > after);
    updates.sort_by(|left, right| left.name.cmp(&right.name));
    updates.truncate(PAGE_SIZE);
    PeerReply::Members(updates)
}

fn apply_gossip(context: &ControlContext, gossip: Vec<MemberUpdate>) {
    let now = context.now();
    let mut members = context.members.borrow_mut();
    for update in gossip {
        let name = update.name.clone();
        let state = update.state;
        if members.apply(now, update) && state != MemberState::Suspect {
            log::info!("member {name} is {state:?}");
        }
    }
}

async fn probe(context: Rc<ControlContext>, plan: ProbePlan) {
    if ping_once(&context, &plan.name, plan.address).await {
        return;
    }
    let helpers = context.members.borrow_mut().indirect_probes(&plan.name);
    let target = context
        .members
        .borrow()
        .get(&plan.name)
        .map(|record| record.update.clone());
    let Some(target) = target else {
        return;
    };
    let mut tasks = Vec::new();
    for helper in helpers {
        let task = probe_via_helper(context.clone(), helper, target.clone());
        tasks.push(context.executor.spawn(task));
    }
    let mut reached = false;
    for task in tasks {
        reached |= task.await;
    }
    if !reached {
        let now = context.now();
        context
            .members
            .borrow_mut()
            .record_probe_failure(now, &plan.name);
    }
}

async fn probe_via_helper(
    context: Rc<ControlContext>,
    helper: ProbePlan,
    target: MemberUpdate,
) -> bool {
    let request = PeerRequest::PingVia { target };
    let reply = context
        .peers
        .call(helper.address, &request, INDIRECT_PROBE_TIMEOUT)
        .await;
    matches!(reply, Ok(PeerReply::Reached(true)))
}

/// Pings an address and returns whether it replied.
async fn ping_once(
    context: &Rc<ControlContext>,
    name: &str,
    address: std::net::SocketAddr,
) -> bool {
    let request = ping(context, name);
    let reply = context.peers.call(address, &request, PROBE_TIMEOUT).await;
    let Ok(PeerReply::Pong {
        gossip,
        digest,
        members,
    }) = reply
    else {
        return false;
    };
    apply_gossip(context, gossip);
    super::config::compare_digest(context, address, digest);
    let own = context.members.borrow().checksum();
    if own != members {
        pull_members(context, address).await;
    }
    true
}

/// Pulls the full member list of a peer whose checksum differs, page by page.
async fn pull_members(context: &Rc<ControlContext>, address: std::net::SocketAddr) {
    let now = context.now();
    if now < context.next_pull.get() {
        return;
    }
    context.next_pull.set(now + MEMBER_PULL_INTERVAL);
    let mut after = String::new();
    loop {
        let request = PeerRequest::MemberPull { after };
        let reply = context.peers.call(address, &request, PROBE_TIMEOUT).await;
        let Ok(PeerReply::Members(updates)) = reply else {
            return;
        };
        let full = updates.len() >= PAGE_SIZE;
        after = updates
            .last()
            .map_or_else(String::new, |update| update.name.clone());
        apply_gossip(context, updates);
        if !full {
            return;
        }
    }
}

/// Pings the peers from the settings, so that a node can start while the platform is unavailable.
async fn ping_known_peers(context: &Rc<ControlContext>) {
    for address in context.state.settings.peers.clone() {
        ping_once(context, "", address).await;
    }
}

/// Writes this node's record and reads those of the others, retrying until both succeed.
async fn register(context: Rc<ControlContext>) {
    loop {
        match try_register(&context).await {
            Ok(()) => break,
            Err(error) => log::warn!("registration of this node failed, retrying: {error}"),
        }
        Timer::after(context.jitter(REGISTER_RETRY_INTERVAL)).await;
    }
    // Nodes that start at the same time register in the meantime.
    Timer::after(REGISTRATION_WAIT).await;
    if let Ok(list) = context.objects.list(NODE_PREFIX).await {
        apply_records(&context, &list);
    }
    context.duty_eligible.set(true);
}

async fn try_register(context: &Rc<ControlContext>) -> Result<(), PlatformError> {
    let settings = &context.state.settings;
    let key = format!("{NODE_PREFIX}{}", settings.name);
    let list = context.objects.list(NODE_PREFIX).await?;
    let known = list.objects.iter().find(|object| object.key == key);
    let version = known
        .filter(|object| object.value.is_some())
        .map_or(0, |object| object.version);
    let record = NodeRecord {
        address: settings.inner,
        hall: settings.hall.to_string(),
    };
    let bytes = serde_json::to_vec(&record).map_err(|_| PlatformError::Malformed)?;
    context
        .objects
        .put(&key, VersionGuard::from_version(version), bytes)
        .await?;
    apply_records(context, &list);
    Ok(())
}

/// Adds the nodes of the listed records as members to be probed.
fn apply_records(context: &ControlContext, list: &ObjectList) {
    let own = format!("{NODE_PREFIX}{}", context.state.settings.name);
    let now = context.now();
    for object in list.objects.iter().filter(|object| object.key != own) {
        let value = object.value.as_deref().unwrap_or("");
        let Ok(record) = serde_json::from_str::<NodeRecord>(value) else {
            continue;
        };
        let update = MemberUpdate {
            name: object.key.trim_start_matches(NODE_PREFIX).to_owned(),
            address: record.address,
            work_address: record.address,
            hall: record.hall,
            incarnation: 0,
            state: MemberState::Alive,
        };
        context.members.borrow_mut().apply(now, update);
    }
}

/// Announces to the others that this node is leaving and removes its record.
async fn leave(context: Rc<ControlContext>) {
    context.members.borrow_mut().leave();
    let peers = context.members.borrow_mut().sample(PAGE_SIZE);
    for peer in peers {
        let request = ping(&context, &peer.name);
        let sender = context.clone();
        let send = async move {
            // Errors are ignored: a peer that misses this message detects the end by its own
            // probes.
            let call = sender.peers.call(peer.address, &request, PROBE_TIMEOUT);
            let _: Result<PeerReply, _> = call.await;
        };
        context.executor.spawn(send).detach();
    }
    remove_record(&context, &context.state.settings.name).await;
}

/// Removes records of nodes that have been dead for a while, so that new nodes don't probe them.
async fn sweep_records(context: Rc<ControlContext>) {
    loop {
        Timer::after(context.jitter(SWEEP_INTERVAL)).await;
        if !context.has_duty(&Duty::Sweep) {
            continue;
        }
        let now = context.now();
        let dead: Vec<String> = {
            let members = context.members.borrow();
            let removable = members.all().filter(|record| {
                let dead = record.update.state >= MemberState::Dead;
                dead && now.saturating_sub(record.since) > SWEEP_INTERVAL
            });
            removable.map(|record| record.update.name.clone()).collect()
        };
        for name in dead {
            remove_record(&context, &name).await;
        }
    }
}

async fn remove_record(context: &ControlContext, name: &str) {
    let key = format!("{NODE_PREFIX}{name}");
    let Ok(record) = context.objects.get(&key).await else {
        return;
    };
    if let Err(error) = context.objects.delete(&key, record.version).await {
        log::warn!("can't remove the record of node {name}: {error}");
    }
}
