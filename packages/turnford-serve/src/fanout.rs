//! News between traffic threads: each node tells some others, which tell some others.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_wire::WorkRequest;

use crate::traffic::Traffic;
use crate::work::call_peer;

/// Nodes that each node tells of what is new to it; with six, three rounds reach 880 nodes but for a
/// few in a thousand.
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
pub(crate) fn tell_some(traffic: &Rc<Traffic>, request: &WorkRequest) {
    tell_peers(traffic, sample_peers(traffic, NEWS_FANOUT), request);
}

/// Tells these nodes; the news of one that does not answer is lost to it.
pub(crate) fn tell_peers(
    traffic: &Rc<Traffic>,
    peers: impl IntoIterator<Item = SocketAddr>,
    request: &WorkRequest,
) {
    for peer in peers {
        let told = traffic.clone();
        let request = request.clone();
        let tell = async move {
            call_peer(&told, peer, &request, ANSWER_LIMIT).await;
        };
        traffic.executor.spawn(tell).detach();
    }
}

/// Returns the addresses of so many other nodes, drawn anew each time.
pub(crate) fn sample_peers(traffic: &Traffic, count: usize) -> Vec<SocketAddr> {
    let view = traffic.shared.view.load();
    let mut peers: Vec<SocketAddr> = view.members.iter().map(|member| member.work).collect();
    let count = count.min(peers.len());
    for place in 0..count {
        let left = peers.len() - place;
        let drawn = (traffic.draw() * left as f64) as usize;
        peers.swap(place, place + drawn.min(left - 1));
    }
    peers.truncate(count);
    peers
}
