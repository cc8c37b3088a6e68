//! Passes urgent news on.

use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::Rumor;
use turnford_fleet::RUMOR_FANOUT;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;

/// Longest wait for a peer to take news.
const RUMOR_LIMIT: Duration = Duration::from_millis(500);

/// Tells news that this node found itself.
pub(super) fn tell_rumors(context: &Rc<ControlContext>, rumors: Vec<Rumor>) {
    let new = context.rumors.borrow_mut().take_new(rumors);
    pass_on(context, &new);
}

/// Takes news from a peer: acts on what is new and passes it on.
pub(super) fn take_rumors(context: &Rc<ControlContext>, rumors: Vec<Rumor>) {
    let new = context.rumors.borrow_mut().take_new(rumors);
    pass_on(context, &new);
    let mut changes = Vec::new();
    for rumor in new {
        match rumor {
            Rumor::Config(change) => changes.push(change),
            Rumor::Leaving {
                service, target, ..
            } => {
                let pool = context.state.pool(&service);
                let left =
                    pool.is_some_and(|pool| pool.with(|now, pool| pool.mark_leaving(now, &target)));
                if left {
                    log::info!("target {target} leaves, by a peer's word");
                }
            }
        }
    }
    super::config::apply_changes(context, changes);
}

fn pass_on(context: &Rc<ControlContext>, rumors: &[Rumor]) {
    if rumors.is_empty() {
        return;
    }
    let peers = context.members.borrow_mut().sample(RUMOR_FANOUT);
    for peer in peers {
        // One call each keeps every frame within its bound.
        for rumor in rumors {
            let request = PeerRequest::Rumors(vec![rumor.clone()]);
            let told = context.clone();
            let tell = async move {
                // What gets lost is found by the next probe's mark or by the VM list.
                let call = told.peers.call(peer.address, &request, RUMOR_LIMIT);
                let _: Result<PeerReply, _> = call.await;
            };
            context.executor.spawn(tell).detach();
        }
    }
}
