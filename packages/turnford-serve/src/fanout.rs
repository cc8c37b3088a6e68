//! Dissemination of updates between traffic threads: each node notifies a sample of other nodes,
//! which forward what is new to them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_wire::WorkRequest;

use crate::peers::PeerPool;

/// Number of nodes that a node notifies of an update; a few rounds reach nearly all of a large
/// fleet.
pub(crate) const UPDATE_FANOUT: usize = 6;

/// Timeout for another node's reply.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Updates that have not been sent yet.
pub(crate) struct UpdateQueue<T> {
    updates: RefCell<Vec<T>>,
}

impl<T> Default for UpdateQueue<T> {
    fn default() -> Self {
        Self {
            updates: RefCell::default(),
        }
    }
}

impl<T> UpdateQueue<T> {
    /// Adds updates. Returns `true` if the queue was empty, in which case the caller has to
    /// schedule a send.
    pub(crate) fn add(&self, updates: Vec<T>) -> bool {
        let mut pending = self.updates.borrow_mut();
        let is_first = pending.is_empty();
        pending.extend(updates);
        is_first
    }

    /// Removes and returns all updates.
    pub(crate) fn take(&self) -> Vec<T> {
        self.updates.take()
    }
}

/// Notifies a random sample of other nodes.
pub(crate) fn notify_sample(peers: &Rc<PeerPool>, request: &WorkRequest) {
    notify_peers(peers, peers.sample(UPDATE_FANOUT), request);
}

/// Notifies the given nodes. There is no retry for a node that does not reply.
pub(crate) fn notify_peers(
    peers: &Rc<PeerPool>,
    receivers: impl IntoIterator<Item = SocketAddr>,
    request: &WorkRequest,
) {
    for peer in receivers {
        let peers = peers.clone();
        let request = request.clone();
        let executor = peers.executor.clone();
        let send = async move {
            peers.call(peer, &request, REPLY_TIMEOUT).await;
        };
        executor.spawn(send).detach();
    }
}
