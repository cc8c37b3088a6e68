//! Answers the calls of other nodes' control threads.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpListener;

use turnford_wire::serve_peer;
use turnford_wire::GivenUpCall;
use turnford_wire::RouteReply;
use turnford_wire::RouteRequest;

use super::context::ControlContext;
use super::members;
use super::news;

/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves the inner protocol for as long as the node runs.
pub(super) async fn serve_peers(context: Rc<ControlContext>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection of a node can't be taken: {error}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let asked = context.clone();
        let handler = move |request| answer(asked.clone(), request);
        let executor = context.executor.clone();
        let refusal = || RouteReply::Refused;
        let serve = serve_peer(stream, executor, GivenUpCall::Finished, refusal, handler);
        context.executor.spawn(serve).detach();
    }
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
        RouteRequest::ConfigPull { after } => news::answer_config_pull(&context, after),
        RouteRequest::TargetPull { after } => news::answer_target_pull(&context, after),
    }
}
