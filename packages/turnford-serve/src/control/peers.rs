//! Answers the calls of other nodes' control threads.

use std::rc::Rc;
use std::time::Duration;

use async_net::TcpListener;

use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;

use super::context::ControlContext;
use super::members;
use super::notify;
use super::view;

/// Serves the control protocol for as long as the node runs.
pub(super) async fn serve_peers(context: Rc<ControlContext>, listener: TcpListener) {
    let executor = context.executor.clone();
    let handler = move |request| answer_request(context.clone(), request);
    let refusal = || ControlReply::Refused;
    accept_peers(listener, executor, CancelPolicy::Finish, refusal, handler).await;
}

async fn answer_request(context: Rc<ControlContext>, request: ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Ping { gossip, digest, .. } => {
            if let Some(from) = gossip.first() {
                notify::compare_digest(&context, from.address, digest);
            }
            members::answer_ping(&context, gossip)
        }
        ControlRequest::PingVia { target } => members::answer_ping_via(&context, target).await,
        ControlRequest::MemberPull => members::answer_member_pull(&context),
        ControlRequest::Notify { from, digest } => {
            notify::compare_digest(&context, from, digest);
            ControlReply::Ack
        }
        ControlRequest::ViewPull {
            config,
            cursor,
            wait_ms,
        } => {
            let wait = Duration::from_millis(u64::from(wait_ms));
            view::answer_view(context, config, cursor, wait).await
        }
        ControlRequest::VersionedViewPull {
            config,
            cursor,
            wait_ms,
        } => {
            let wait = Duration::from_millis(u64::from(wait_ms));
            view::answer_versioned_view(context, config, cursor, wait).await
        }
    }
}
