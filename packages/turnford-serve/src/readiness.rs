//! Readiness of a node that has less processor time than its clients need.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::PeerLoad;
use turnford_policy::ReadinessChange;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::peers::PROBE_TIMEOUT;
use crate::shared::FleetMember;
use crate::traffic::Traffic;

/// Interval between two samples of other nodes while this node is saturated or not ready.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of nodes that are sampled in the own hall, and in the others.
const SAMPLE_SIZE: usize = 2;

/// Samples the load of other nodes while this node is saturated or not ready because of that.
async fn sample_peers(traffic: Rc<Traffic>) {
    while traffic.gate.borrow().is_saturated() || traffic.readiness.borrow().is_away() {
        let load = read_peer_load(&traffic).await;
        let now = traffic.shared.now();
        traffic.readiness.borrow_mut().record_peers(now, load);
        Timer::after(SAMPLE_INTERVAL).await;
    }
    traffic.samples_peers.set(false);
}

async fn read_peer_load(traffic: &Rc<Traffic>) -> PeerLoad {
    let hall = traffic.shared.settings.hall.clone();
    let own = traffic
        .peers
        .sample_members(SAMPLE_SIZE, |member| member.hall == hall);
    let others = traffic
        .peers
        .sample_members(SAMPLE_SIZE, |member| member.hall != hall);
    let mut load = PeerLoad {
        hall_has_free: false,
        others_are_free: !others.is_empty(),
    };
    for member in own {
        load.hall_has_free |= is_free(traffic, &member).await;
    }
    for member in others {
        load.others_are_free &= is_free(traffic, &member).await;
    }
    load
}

/// Asks a node whether it has processor time left. One that does not reply has none.
async fn is_free(traffic: &Rc<Traffic>, member: &FleetMember) -> bool {
    let request = WorkRequest::LoadQuery;
    let reply: Result<WorkReply, _> = traffic
        .peers
        .client
        .call(member.work, &request, PROBE_TIMEOUT)
        .await;
    match reply {
        Ok(reply) => {
            reply
                == WorkReply::Load {
                    is_saturated: false,
                }
        }
        Err(error) => {
            log::info!("member={} does not tell its load: {error}", member.name);
            false
        }
    }
}

/// Updates whether this node is ready by its own load and that of the others.
pub(crate) fn update_readiness(traffic: &Rc<Traffic>) {
    let now = traffic.shared.now();
    let is_saturated = traffic.gate.borrow().is_saturated();
    if is_saturated && !traffic.samples_peers.replace(true) {
        let sample = sample_peers(traffic.clone());
        traffic.executor.spawn(sample).detach();
    }
    let change = traffic.readiness.borrow_mut().update(now, is_saturated);
    let Some(change) = change else {
        return;
    };
    let has_left = matches!(change, ReadinessChange::Left(_));
    traffic.shared.is_relieved.store(has_left, Ordering::SeqCst);
    match change {
        ReadinessChange::Left(away) => log::warn!(
            "ready=false evidence=this hall is saturated and others are not, at least_ms={}",
            away.as_millis()
        ),
        ReadinessChange::Returned => log::warn!("ready=true after saturation"),
    }
}
