//! News between nodes: who knows a newer configuration or newer targets, and how to get them.
//!
//! A few nodes of each hall watch the store; the others ask them. Beside that, each node that
//! learns something from the store tells a few others, and probes compare what both know, so that a
//! node that neither the store nor its hall's watchers answer learns it too.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;
use turnford_wire::ViewDigest;

use super::context::ControlContext;
use super::view::pull_view;

/// Nodes that each node tells of something new; in a few rounds all know.
const UPDATE_FANOUT: usize = 3;

/// Time in which changes are gathered into one piece of news.
const NEWS_PAUSE: Duration = Duration::from_millis(40);

/// Time that a node's own source has before it asks a peer that knows more.
const SOURCE_PATIENCE: Duration = Duration::from_millis(800);

/// Pause between looks whether an answer is still arriving.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for a peer to note news.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// Tells a few peers when this node has learned something from the store.
pub(super) async fn spread_news(context: Rc<ControlContext>) {
    let mut told = ViewDigest::default();
    loop {
        context.learned.1.recv().await.ok();
        Timer::after(NEWS_PAUSE).await;
        let digest = context.mark();
        if digest == told {
            continue;
        }
        told = digest;
        let from = context.shared.settings.inner;
        let peers = context.members.borrow_mut().sample(UPDATE_FANOUT);
        for peer in peers {
            let context = context.clone();
            let executor = context.executor.clone();
            let tell = async move {
                let news = ControlRequest::Notify { from, digest };
                let call = context.peers.call(peer.address, &news, NEWS_LIMIT);
                // A peer that does not hear it learns it from the store or by a ping.
                let _: Result<ControlReply, _> = call.await;
            };
            executor.spawn(tell).detach();
        }
    }
}

/// Asks a peer that knows more than this node, at once where the store is away.
pub(super) fn compare_mark(context: &Rc<ControlContext>, peer: SocketAddr, mark: ViewDigest) {
    if knows_more(context, mark) {
        let pull = pull_later(context.clone(), peer, mark);
        context.executor.spawn(pull).detach();
    }
}

fn knows_more(context: &ControlContext, mark: ViewDigest) -> bool {
    let config = context.shared.view.load().config.version;
    let targets = context.targets.borrow().position();
    mark.config > config || mark.targets > targets
}

async fn pull_later(context: Rc<ControlContext>, peer: SocketAddr, mark: ViewDigest) {
    if !context.is_store_lost() {
        Timer::after(SOURCE_PATIENCE).await;
    }
    // What a peer is telling may be just that, and two answers would take the link from each other.
    while context.peers.is_receiving() {
        Timer::after(ARRIVAL_PAUSE).await;
    }
    if !knows_more(&context, mark) || context.is_pulling.replace(true) {
        return;
    }
    if let Err(fault) = pull_view(&context, peer, Duration::ZERO).await {
        log::info!("peer {peer} knows more but gives no answer: {fault}");
    }
    context.is_pulling.set(false);
}
