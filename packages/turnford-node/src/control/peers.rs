//! Serves the requests of other nodes.

use std::rc::Rc;

use async_net::TcpListener;
use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;

/// Serves the internal protocol for as long as the node runs.
pub(super) async fn serve_peers(context: Rc<ControlContext>, listener: TcpListener) {
    let executor = context.executor.clone();
    let handler = move |request| handle_request(context.clone(), request);
    let refusal = || PeerReply::Refused;
    accept_peers(listener, executor, CancelPolicy::Finish, refusal, handler).await;
}

async fn handle_request(context: Rc<ControlContext>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Ping { gossip, digest, .. } => {
            super::members::handle_ping(&context, gossip, digest)
        }
        PeerRequest::PingVia { target } => super::members::handle_ping_via(&context, target).await,
        PeerRequest::MemberPull { after } => super::members::handle_member_pull(&context, &after),
        PeerRequest::ConfigPull { after } => super::config::handle_config_pull(&context, after),
        PeerRequest::Rumors(rumors) => {
            super::rumors::receive_rumors(&context, rumors);
            PeerReply::Ack
        }
        PeerRequest::Digest { node, digest } => {
            let now = context.now();
            context.digests.borrow_mut().apply(now, &node, digest);
            PeerReply::Ack
        }
        PeerRequest::Claim(claim) => super::claims::handle_claim(&context, claim).await,
        PeerRequest::Share {
            node,
            group,
            stamp,
            demands,
        } => super::lenders::handle_share(&context, &node, group, stamp, &demands),
    }
}
