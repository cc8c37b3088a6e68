//! Membership: finds the other nodes through the store and the settings, and monitors them with
//! probes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use serde::Deserialize;
use serde::Serialize;

use turnford_adapter::StoreError;
use turnford_adapter::StoreObject;
use turnford_adapter::NODE_KIND;
use turnford_fleet::MemberRecord;
use turnford_fleet::MemberState;
use turnford_fleet::MemberUpdate;
use turnford_fleet::ProbePlan;
use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;

use super::context::ControlContext;
use super::notify::compare_digest;
use super::suspects::load_suspects;
use crate::shared::FleetMember;
use crate::shared::RouteView;

/// Interval for checking whether a probe is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Delay between attempts to register while the store is unreachable. Also the jitter base for
/// registering again after a restore of the store.
const REGISTER_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Minimum interval between two pulls of the whole member list.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member that does not respond may merely be cut off from this node.
const MISSING_PERIOD: Duration = Duration::from_secs(30);

/// Number of members that are directly notified of a planned stop; they notify the others.
const LEAVE_FANOUT: usize = 8;

/// A node's object in the store.
#[derive(Serialize, Deserialize)]
struct NodeRecord {
    /// Address of its control thread, for membership and view updates.
    inner: SocketAddr,
    /// Address of its traffic thread, for work.
    work: SocketAddr,
    hall: String,
    /// Start of its process, in milliseconds of the time of day.
    #[serde(default)]
    started: u64,
}

/// Registers this node, finds the other nodes, and probes them for as long as the node runs.
pub(super) async fn follow_members(context: Rc<ControlContext>) {
    context.executor.spawn(register(context.clone())).detach();
    let pings = ping_configured_peers(context.clone());
    context.executor.spawn(pings).detach();
    let mut has_departed = false;
    loop {
        Timer::after(PROBE_CHECK_INTERVAL).await;
        let now = context.now();
        let plan = {
            let mut members = context.members.borrow_mut();
            members.expire(now);
            members.probe_due(now)
        };
        if let Some(plan) = plan {
            let probe = probe(context.clone(), plan);
            context.executor.spawn(probe).detach();
        }
        publish(&context);
        if !has_departed
            && context
                .registered_era
                .get()
                .is_some_and(|era| era < context.era())
        {
            context.registered_era.set(None);
            let register = register_again(context.clone());
            context.executor.spawn(register).detach();
        }
        if !has_departed && context.shared.draining.load(Ordering::SeqCst) {
            has_departed = true;
            context.executor.spawn(leave(context.clone())).detach();
        }
    }
}

/// Publishes the live members to the traffic thread.
fn publish(context: &ControlContext) {
    let members = context.members.borrow();
    let mut live: Vec<FleetMember> = members
        .live()
        .map(|record| FleetMember {
            name: Arc::from(record.update.name.as_str()),
            hall: Arc::from(record.update.hall.as_str()),
            inner: record.update.address,
            work: record.update.work_address,
            started: record.update.incarnation,
        })
        .collect();
    live.sort_by(|left, right| left.name.cmp(&right.name));
    let fleet_size = members.all().count() + 1;
    let now = context.now();
    let is_missing = |record: &&MemberRecord| {
        let is_dead = record.update.state == MemberState::Dead;
        is_dead && now.saturating_sub(record.since) < MISSING_PERIOD
    };
    let missing_count = members.all().filter(is_missing).count();
    let shared = &context.shared;
    let view = shared.view.load();
    let has_member_list = view.has_member_list || context.registered_era.get().is_some();
    let is_unchanged = *view.members == live && view.fleet_size == fleet_size;
    if is_unchanged
        && view.missing_count == missing_count
        && view.has_member_list == has_member_list
    {
        return;
    }
    shared.metrics.members.set(live.len() as u64);
    let live = Arc::new(live);
    shared.set_view(|view| RouteView {
        members: live.clone(),
        fleet_size,
        max_fleet_size: view.max_fleet_size.max(fleet_size),
        has_member_list,
        missing_count,
        ..view.clone()
    });
}

fn ping(context: &ControlContext, to: &str) -> ControlRequest {
    let mut members = context.members.borrow_mut();
    ControlRequest::Ping {
        gossip: members.take_gossip(to),
        digest: context.digest(),
        members: members.checksum(),
    }
}

/// Answers a ping.
pub(super) fn answer_ping(context: &Rc<ControlContext>, gossip: Vec<MemberUpdate>) -> ControlReply {
    let from = gossip.first().map(|from| from.name.clone());
    apply_gossip(context, gossip);
    let mut members = context.members.borrow_mut();
    ControlReply::Pong {
        gossip: members.take_gossip(from.as_deref().unwrap_or("")),
        digest: context.digest(),
        members: members.checksum(),
    }
}

/// Pings a node on behalf of another one.
pub(super) async fn answer_ping_via(
    context: &Rc<ControlContext>,
    target: MemberUpdate,
) -> ControlReply {
    ControlReply::Reached(ping_once(context, &target.name, target.address).await)
}

/// Answers with all live members, including this node.
pub(super) fn answer_member_pull(context: &ControlContext) -> ControlReply {
    let members = context.members.borrow();
    let own = members.own().clone();
    let others = members.live().map(|record| record.update.clone());
    ControlReply::Members(others.chain(std::iter::once(own)).collect())
}

fn apply_gossip(context: &ControlContext, gossip: Vec<MemberUpdate>) {
    let now = context.now();
    let mut members = context.members.borrow_mut();
    for update in gossip {
        let name = update.name.clone();
        let state = update.state;
        if members.apply(now, update) && state != MemberState::Suspect {
            log::info!("member={name} state={state:?}");
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
    let pings = helpers.into_iter().map(|helper| {
        let ping = ping_via_helper(context.clone(), helper, target.clone());
        context.executor.spawn(ping)
    });
    let pings: Vec<_> = pings.collect();
    let mut is_reached = false;
    for ping in pings {
        is_reached |= ping.await;
    }
    if !is_reached {
        log::info!("member={} does not respond to probes", plan.name);
        let now = context.now();
        context
            .members
            .borrow_mut()
            .record_probe_failure(now, &plan.name);
    }
}

async fn ping_via_helper(
    context: Rc<ControlContext>,
    helper: ProbePlan,
    target: MemberUpdate,
) -> bool {
    let request = ControlRequest::PingVia { target };
    let reply = context
        .peers
        .call(helper.address, &request, INDIRECT_TIMEOUT)
        .await;
    matches!(reply, Ok(ControlReply::Reached(true)))
}

/// Pings an address. Returns whether it responded.
async fn ping_once(context: &Rc<ControlContext>, name: &str, address: SocketAddr) -> bool {
    let request = ping(context, name);
    let reply = context.peers.call(address, &request, PROBE_TIMEOUT).await;
    let Ok(ControlReply::Pong {
        gossip,
        digest,
        members,
    }) = reply
    else {
        return false;
    };
    apply_gossip(context, gossip);
    compare_digest(context, address, digest);
    let own = context.members.borrow().checksum();
    if own != members {
        pull_members(context, address).await;
    }
    true
}

/// Pulls the whole member list of a peer whose list differs.
async fn pull_members(context: &Rc<ControlContext>, address: SocketAddr) {
    let now = context.now();
    if now < context.next_member_pull.get() {
        return;
    }
    context.next_member_pull.set(now + MIN_PULL_INTERVAL);
    let request = ControlRequest::MemberPull;
    let reply = context.peers.call(address, &request, PROBE_TIMEOUT).await;
    if let Ok(ControlReply::Members(updates)) = reply {
        apply_gossip(context, updates);
    }
}

/// Pings the peers from the settings, so that a node can start while the store is unreachable.
async fn ping_configured_peers(context: Rc<ControlContext>) {
    let own = context.shared.settings.inner;
    for address in context.shared.settings.peers.clone() {
        if address != own {
            ping_once(&context, "", address).await;
        }
    }
}

/// Writes this node's object and loads those of the other nodes. Retries until both have succeeded.
async fn register(context: Rc<ControlContext>) {
    loop {
        let result = try_register(&context).await;
        if result.is_ok() {
            context.registered_era.set(Some(context.era()));
        }
        publish(&context);
        context
            .shared
            .has_queried_members
            .store(true, Ordering::SeqCst);
        let Err(error) = result else {
            return;
        };
        log::warn!("registration of this node failed, will retry: {error}");
        Timer::after(context.jitter(REGISTER_DELAY)).await;
    }
}

/// Registers again after the store was restored from a copy, which may lack this node's object. The
/// delay is random to spread the nodes' calls.
async fn register_again(context: Rc<ControlContext>) {
    Timer::after(context.jitter(REGISTER_DELAY)).await;
    if !context.shared.is_draining() {
        register(context).await;
    }
}

async fn try_register(context: &Rc<ControlContext>) -> Result<(), StoreError> {
    let settings = &context.shared.settings;
    let record = NodeRecord {
        inner: settings.inner,
        work: settings.work,
        hall: settings.hall.to_string(),
        started: context.shared.started,
    };
    let spec =
        serde_json::to_value(&record).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let store = &context.store;
    store
        .put(NODE_KIND, &settings.name, spec, STORE_TIMEOUT)
        .await?;
    let list = store.list(NODE_KIND, STORE_TIMEOUT).await?;
    for object in &list.objects {
        add_record(context, object);
    }
    if !context.has_loaded_suspects.get() {
        load_suspects(context).await?;
        context.has_loaded_suspects.set(true);
    }
    Ok(())
}

/// Adds another node's object as a member to be probed.
fn add_record(context: &ControlContext, object: &StoreObject) {
    if *object.name == *context.shared.settings.name {
        return;
    }
    let record = match NodeRecord::deserialize(&object.spec) {
        Ok(record) => record,
        Err(error) => {
            log::warn!("member={} has a malformed object: {error}", object.name);
            return;
        }
    };
    let update = MemberUpdate {
        name: object.name.clone(),
        address: record.inner,
        work_address: record.work,
        hall: record.hall,
        incarnation: record.started,
        state: MemberState::Alive,
    };
    let now = context.now();
    context.members.borrow_mut().apply(now, update);
}

/// Notifies other nodes of this node's planned stop, and deletes its object.
async fn leave(context: Rc<ControlContext>) {
    context.members.borrow_mut().leave();
    let peers = context.members.borrow_mut().sample(LEAVE_FANOUT);
    for peer in peers {
        let request = ping(&context, &peer.name);
        let owned = context.clone();
        let notify = async move {
            let call = owned.peers.call(peer.address, &request, PROBE_TIMEOUT);
            // A peer that misses the message detects the stop by its own probe.
            let _: Result<ControlReply, _> = call.await;
        };
        context.executor.spawn(notify).detach();
    }
    let name = &context.shared.settings.name;
    if let Err(error) = context.store.delete(NODE_KIND, name, STORE_TIMEOUT).await {
        log::info!("this node's object was not deleted from the store: {error}");
    }
}
