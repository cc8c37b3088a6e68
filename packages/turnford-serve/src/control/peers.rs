//! Answers the calls of other nodes' control threads.

use std::rc::Rc;
use std::time::Duration;

use async_net::TcpListener;

use turnford_wire::accept_peers;
use turnford_wire::GivenUpCall;
use turnford_wire::RouteReply;
use turnford_wire::RouteRequest;

use super::context::ControlContext;
use super::members;
use super::news;
use super::view;

/// Serves the inner protocol for as long as the node runs.
pub(super) async fn serve_peers(context: Rc<ControlContext>, listener: TcpListener) {
    let executor = context.executor.clone();
    let handler = move |request| answer(context.clone(), request);
    let refusal = || RouteReply::Refused;
    accept_peers(listener, executor, GivenUpCall::Finished, refusal, handler).await;
}

async fn answer(context: Rc<ControlContext>, request: RouteRequest) -> RouteReply {
    match request {
        RouteRequest::Ping { gossip, mark, .. } => {
            if let Some(from) = gossip.first() {
                news::compare_mark(&context, from.address, mark);
            }
            members::answer_ping(&context, gossip)
        }
        RouteRequest::PingVia { target } => members::answer_ping_via(&context, target).await,
        RouteRequest::MemberPull => members::answer_member_pull(&context),
        RouteRequest::News { from, mark } => {
            news::compare_mark(&context, from, mark);
            RouteReply::Noted
        }
        RouteRequest::ViewPull {
            config,
            cursor,
            wait_ms,
        } => {
            let wait = Duration::from_millis(u64::from(wait_ms));
            view::answer_view(context, config, cursor, wait).await
        }
    }
}
