//! Notification of other nodes about a newer configuration or newer targets, and pulls from nodes
//! that have them.
//!
//!
//! A few nodes of each hall watch the store and serve the others. In addition, a node that learns
//! something from the store notifies a sample of other nodes, and probes compare the views'
//! digests, so that a node that gets no response from the store or its hall's watchers learns of
//! it, too.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_wire::ControlReply;
use turnford_wire::ControlRequest;
use turnford_wire::ViewDigest;

use super::context::ControlContext;
use super::view::pull_view;

/// Number of nodes that a node notifies of an update; all nodes learn of it in a few rounds.
const UPDATE_FANOUT: usize = 3;

/// Time for which changes are batched into one notification.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Time that a node's own source gets before the node pulls from a peer with newer knowledge.
const SOURCE_GRACE_PERIOD: Duration = Duration::from_millis(800);

/// Interval for polling whether a response is still being received.
const RECEIVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Notifies a sample of peers whenever this node has learned something from the store.
pub(super) async fn notify_updates(context: Rc<ControlContext>) {
    let mut notified = ViewDigest::default();
    loop {
        context.update_signal.1.recv().await.ok();
        Timer::after(BATCH_DELAY).await;
        let digest = context.digest();
        if digest == notified {
            continue;
        }
        notified = digest;
        let from = context.shared.settings.inner;
        let peers = context.members.borrow_mut().sample(UPDATE_FANOUT);
        for peer in peers {
            let context = context.clone();
            let executor = context.executor.clone();
            let notify = async move {
                let request = ControlRequest::Notify { from, digest };
                let call = context.peers.call(peer.address, &request, NOTIFY_TIMEOUT);
                // A peer that misses the message learns of it from the store or by a ping.
                let _: Result<ControlReply, _> = call.await;
            };
            executor.spawn(notify).detach();
        }
    }
}

/// Pulls from a peer whose view is newer than this node's, immediately if the store is unreachable.
pub(super) fn compare_digest(context: &Rc<ControlContext>, peer: SocketAddr, digest: ViewDigest) {
    if is_newer(context, digest) {
        let pull = pull_later(context.clone(), peer, digest);
        context.executor.spawn(pull).detach();
    }
}

fn is_newer(context: &ControlContext, digest: ViewDigest) -> bool {
    let config = context.shared.view.load().config.version;
    let targets = context.targets.borrow().position();
    digest.config > config || digest.targets > targets
}

async fn pull_later(context: Rc<ControlContext>, peer: SocketAddr, digest: ViewDigest) {
    if !context.is_store_lost() {
        Timer::after(SOURCE_GRACE_PERIOD).await;
    }
    // The response being received may contain just that, and two responses would compete for the
    // link.
    while context.peers.is_receiving() {
        Timer::after(RECEIVE_POLL_INTERVAL).await;
    }
    if !is_newer(&context, digest) || context.is_pulling.replace(true) {
        return;
    }
    if let Err(error) = pull_view(&context, peer, Duration::ZERO).await {
        log::info!("pull from peer {peer} with a newer view failed: {error}");
    }
    context.is_pulling.set(false);
}
