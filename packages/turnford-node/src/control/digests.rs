//! Sends this node's load digests to the other nodes and applies theirs to the pools.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use turnford_fleet::hash_target;
use turnford_fleet::LoadDigest;
use turnford_fleet::ServiceLoad;
use turnford_policy::Moment;
use turnford_policy::ServicePool;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;

/// Interval between digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit for the delivery of a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of recipients of a digest. Larger fleets rely on the targets' own reports.
const MAX_DIGEST_PEERS: usize = 15;

/// Exchanges digests for as long as the node runs.
pub(super) async fn exchange_digests(context: Rc<ControlContext>) {
    let mut sequence = 0;
    loop {
        Timer::after(DIGEST_INTERVAL).await;
        sequence += 1;
        let digest = make_digest(&context, sequence);
        let peers = context.members.borrow_mut().sample(MAX_DIGEST_PEERS);
        for peer in peers {
            let request = PeerRequest::Digest {
                node: context.state.settings.name.to_string(),
                digest: digest.clone(),
            };
            let sender = context.clone();
            let send = async move {
                // Errors are ignored: the next digest replaces a lost one.
                let call = sender.peers.call(peer.address, &request, DIGEST_TIMEOUT);
                let _: Result<PeerReply, _> = call.await;
            };
            context.executor.spawn(send).detach();
        }
        apply_to_pools(&context);
    }
}

fn make_digest(context: &ControlContext, sequence: u64) -> LoadDigest {
    let pools = context.state.pools.load();
    let mut services = Vec::new();
    for (service, pool) in pools.iter() {
        let load = pool.with(|now, pool| service_load(now, service, pool));
        if load.backlog_ms > 0 || load.mean_ms > 0 || !load.inflight.is_empty() {
            services.push(load);
        }
    }
    LoadDigest {
        sequence,
        incarnation: context.state.attempts.incarnation(),
        services,
    }
}

fn service_load(now: Moment, service: &str, pool: &ServicePool) -> ServiceLoad {
    let busy = pool.views().iter().filter(|view| view.own_inflight() > 0);
    let inflight = busy.map(|view| {
        let count = u16::try_from(view.own_inflight()).unwrap_or(u16::MAX);
        (hash_target(&view.facts.id), count)
    });
    let summary = pool.summary(now);
    ServiceLoad {
        service: service.to_owned(),
        backlog_ms: (summary.backlog * 1000.0) as u32,
        mean_ms: summary.mean.map_or(0, |mean| mean.as_millis() as u32),
        inflight: inflight.collect(),
    }
}

fn apply_to_pools(context: &ControlContext) {
    let now = context.now();
    let mut digests = context.digests.borrow_mut();
    digests.expire(now);
    let others = context.members.borrow().live().count();
    // Digests may replace a target's own report only if there is one of every peer.
    let complete = others > 0 && digests.len() >= others;
    context.digests_complete.set(complete);
    let node_share = 1.0 / (others as f64 + 1.0);
    for (service, pool) in context.state.pools.load().iter() {
        let mean = digests.service_mean(service);
        let (backlog, inflight) = digests.service_load(service);
        pool.with(|now, pool| {
            pool.apply_peer_backlog(backlog, node_share);
            if let Some(mean) = mean {
                pool.apply_peer_mean(mean);
            }
            if !complete {
                return;
            }
            let targets: Vec<_> = pool
                .views()
                .iter()
                .map(|view| view.facts.id.clone())
                .collect();
            for target in targets {
                let count = inflight.get(&hash_target(&target)).copied().unwrap_or(0);
                pool.apply_peer_load(now, &target, count);
            }
        });
    }
}
