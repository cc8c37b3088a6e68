//! News between traffic threads: each node tells some others, which tell some others.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_wire::WorkRequest;

use crate::peers::PeerPool;

/// Nodes that each node tells of what is new to it: a few rounds reach nearly all of a large fleet.
const NEWS_FANOUT: usize = 6;

/// Longest wait for another node's answer.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// News that is not told yet.
pub(crate) struct NewsQueue<T> {
    news: RefCell<Vec<T>>,
}

impl<T> Default for NewsQueue<T> {
    fn default() -> Self {
        Self {
            news: RefCell::default(),
        }
    }
}

impl<T> NewsQueue<T> {
    /// Adds news; true if there was none, so that it is to be told soon.
    pub(crate) fn add(&self, news: Vec<T>) -> bool {
        let mut untold = self.news.borrow_mut();
        let is_first = untold.is_empty();
        untold.extend(news);
        is_first
    }

    /// Takes all news.
    pub(crate) fn take(&self) -> Vec<T> {
        self.news.take()
    }
}

/// Tells some other nodes.
pub(crate) fn notify_sample(peers: &Rc<PeerPool>, request: &WorkRequest) {
    notify_peers(peers, peers.sample(NEWS_FANOUT), request);
}

/// Tells these nodes; the news of one that does not answer is lost to it.
pub(crate) fn notify_peers(
    peers: &Rc<PeerPool>,
    told: impl IntoIterator<Item = SocketAddr>,
    request: &WorkRequest,
) {
    for peer in told {
        let peers = peers.clone();
        let request = request.clone();
        let executor = peers.executor.clone();
        let tell = async move {
            peers.call(peer, &request, ANSWER_LIMIT).await;
        };
        executor.spawn(tell).detach();
    }
}
