//! Checks and probes of this node's links to targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_http::probe_port;
use turnford_http::PortState;
use turnford_policy::CallPath;
use turnford_policy::Moment;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::ReachState;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::traffic::Traffic;

/// Timeout for a target's machine to accept or refuse a connection. A machine without power does
/// not reply at all.
const PORT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for another node to tell whether it reaches a target.
const REACH_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of other nodes that are asked whether they reach a target.
const MAX_WITNESSES: usize = 3;

/// Interval of the checks whether the link of a waiting call is silent.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between rounds of probes of lost links.
const PROBE_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of links probed in a round.
const PROBES_PER_ROUND: usize = 32;

/// What a check of a target's port and the other nodes tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// This node reaches it.
    Reached,
    /// Another node reaches it, so this node's link is down.
    Lost,
    /// Its machine refuses connections, also those of other nodes if there are any.
    Refused,
    /// Unknown: neither this node nor another one gets a reply.
    Silent,
}

/// Records bytes that arrived from a target over this node's link.
pub(crate) fn record_contact(traffic: &Traffic, target: &str) {
    let now = traffic.shared.now();
    let mut links = traffic.links.borrow_mut();
    let was_isolated = links.is_isolated();
    let was_lost = links.record_contact(now, target);
    if was_isolated {
        links.expedite_probes(now);
    }
    drop(links);
    if was_isolated {
        log::info!("isolated=false evidence=target {target} reached");
    }
    if was_lost {
        log::info!("target={target} reached again over the link of this node");
    }
    if was_isolated || was_lost {
        update_metrics(traffic);
    }
}

/// Records that this node could not reach a target.
pub(crate) fn record_failure(traffic: &Traffic, target: &str) {
    let now = traffic.shared.now();
    let mut links = traffic.links.borrow_mut();
    let was_isolated = links.is_isolated();
    links.record_failure(now, target);
    let is_isolated = links.is_isolated();
    drop(links);
    if is_isolated && !was_isolated {
        log::warn!("isolated=true evidence=no target reached, the last one tried {target}");
        update_metrics(traffic);
    }
}

/// Records that another node reached a target that this node doesn't.
pub(crate) fn record_peer_contact(traffic: &Traffic, target: &str, peer: SocketAddr) {
    if traffic.links.borrow_mut().record_peer_contact(target) {
        log::warn!(
            "target={target} not reached over the link of this node, but by the node at {peer}"
        );
        update_metrics(traffic);
    }
}

fn update_metrics(traffic: &Traffic) {
    let links = traffic.links.borrow();
    let metrics = &traffic.shared.metrics;
    metrics.lost_targets.set(links.lost_count() as u64);
    metrics.isolated.set(u64::from(links.is_isolated()));
}

/// Checks whether a target is reached by this node, or else by another one.
pub(crate) async fn check_reachability(traffic: &Rc<Traffic>, target: &TargetSpec) -> Reachability {
    let port = probe_target(traffic, target).await;
    if port == PortState::Open {
        return Reachability::Reached;
    }
    let is_refused = match ask_peers(traffic, target).await {
        ReachState::Reached => return Reachability::Lost,
        ReachState::Refused => true,
        // Nothing is known from a node that reaches other targets.
        ReachState::Unknown => port == PortState::Refused && !traffic.links.borrow().is_isolated(),
        ReachState::Silent => false,
    };
    if is_refused {
        return Reachability::Refused;
    }
    Reachability::Silent
}

/// Probes a target's port over this node's link, and records the outcome.
async fn probe_target(traffic: &Traffic, target: &TargetSpec) -> PortState {
    let address = traffic.shared.settings.target_address(target.address);
    let port = probe_port(address, PORT_PROBE_TIMEOUT).await;
    if port == PortState::Open {
        record_contact(traffic, &target.id);
    } else {
        record_failure(traffic, &target.id);
    }
    port
}

/// Asks other nodes whether they reach a target.
async fn ask_peers(traffic: &Rc<Traffic>, target: &TargetSpec) -> ReachState {
    let mut state = ReachState::Unknown;
    for peer in traffic.peers.relay_candidates(&target.hall, MAX_WITNESSES) {
        let request = WorkRequest::ReachTarget {
            service: target.service.to_string(),
            target: target.id.to_string(),
        };
        let reply = traffic.peers.client.call(peer, &request, REACH_TIMEOUT);
        match reply.await {
            Ok(WorkReply::Reached(ReachState::Reached)) => {
                record_peer_contact(traffic, &target.id, peer);
                return ReachState::Reached;
            }
            Ok(WorkReply::Reached(ReachState::Unknown)) => {}
            Ok(WorkReply::Reached(reported)) => state = reported,
            Ok(_) => log::info!(
                "node at {peer} does not tell whether it reaches {}",
                target.id
            ),
            Err(error) => log::info!("node at {peer} not asked about {}: {error}", target.id),
        }
    }
    state
}

/// Answers another node whether this node reaches a target.
pub(crate) async fn answer_reach(traffic: &Rc<Traffic>, service: &str, target: &str) -> WorkReply {
    let context = traffic.service(service);
    let target = context.and_then(|context| context.targets.borrow().get(target).cloned());
    let Some(target) = target else {
        return WorkReply::Reached(ReachState::Unknown);
    };
    let port = probe_target(traffic, &target).await;
    WorkReply::Reached(match port {
        PortState::Open => ReachState::Reached,
        _ if traffic.links.borrow().is_isolated() => ReachState::Unknown,
        PortState::Refused => ReachState::Refused,
        PortState::Unreachable => ReachState::Silent,
    })
}

/// Waits until the link of a call that was sent at `since` is found lost. If neither this target nor
/// another one sends anything for a while, the link is checked.
pub(crate) async fn wait_link_lost(traffic: &Rc<Traffic>, target: &TargetSpec, since: Moment) {
    loop {
        Timer::after(SILENCE_POLL_INTERVAL).await;
        let now = traffic.shared.now();
        let is_due = {
            let mut links = traffic.links.borrow_mut();
            if links.is_lost(&target.id) {
                return;
            }
            links.take_check(now, &target.id, since)
        };
        if is_due && check_reachability(traffic, target).await == Reachability::Lost {
            return;
        }
    }
}

/// Probes lost links until they work again, for as long as the node runs.
pub(crate) async fn probe_lost_links(traffic: Rc<Traffic>) {
    loop {
        Timer::after(PROBE_ROUND_INTERVAL).await;
        let now = traffic.shared.now();
        let due = traffic
            .links
            .borrow_mut()
            .take_due_probes(now, PROBES_PER_ROUND);
        for id in due {
            let probe = probe_link(traffic.clone(), id);
            traffic.executor.spawn(probe).detach();
        }
    }
}

async fn probe_link(traffic: Rc<Traffic>, id: TargetId) {
    let target = traffic.shared.view.load().targets.get(&id).cloned();
    if let Some(target) = target {
        probe_target(&traffic, &target).await;
    }
}

/// Returns whether a call to a target may go over this node's link.
pub(crate) fn is_direct(traffic: &Traffic, target: &str) -> bool {
    let now = traffic.shared.now();
    traffic.links.borrow_mut().path(now, target) == CallPath::Direct
}
