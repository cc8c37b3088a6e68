//! Spreads urgent updates through the fleet as rumors.

use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::Rumor;
use turnford_fleet::RUMOR_FANOUT;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;

/// Time limit for the delivery of a rumor.
const RUMOR_TIMEOUT: Duration = Duration::from_millis(500);

/// Publishes rumors that originate at this node.
pub(super) fn publish_rumors(context: &Rc<ControlContext>, rumors: Vec<Rumor>) {
    let new = context.rumors.borrow_mut().take_new(rumors);
    forward_rumors(context, &new);
}

/// Handles rumors from a peer: applies and forwards those that are new.
pub(super) fn receive_rumors(context: &Rc<ControlContext>, rumors: Vec<Rumor>) {
    let new = context.rumors.borrow_mut().take_new(rumors);
    forward_rumors(context, &new);
    let mut changes = Vec::new();
    for rumor in new {
        match rumor {
            Rumor::Config(change) => changes.push(change),
            Rumor::Leaving {
                service, target, ..
            } => {
                let pool = context.state.pool(&service);
                let is_newly_leaving =
                    pool.is_some_and(|pool| pool.with(|now, pool| pool.mark_leaving(now, &target)));
                if is_newly_leaving {
                    log::info!("target {target} is leaving, according to a peer");
                }
            }
        }
    }
    super::config::apply_changes(context, changes);
}

fn forward_rumors(context: &Rc<ControlContext>, rumors: &[Rumor]) {
    if rumors.is_empty() {
        return;
    }
    let peers = context.members.borrow_mut().sample(RUMOR_FANOUT);
    for peer in peers {
        // One call per rumor keeps every frame within the size limit.
        for rumor in rumors {
            let request = PeerRequest::Rumors(vec![rumor.clone()]);
            let sender = context.clone();
            let send = async move {
                // Errors are ignored: lost updates are recovered by the digest of the next probe or
                // by the VM list.
                let call = sender.peers.call(peer.address, &request, RUMOR_TIMEOUT);
                let _: Result<PeerReply, _> = call.await;
            };
            context.executor.spawn(send).detach();
        }
    }
}
