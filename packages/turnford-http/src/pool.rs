//! Idle connections by address, kept for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use turnford_policy::Moment;

use crate::HttpConnection;

/// Most idle connections kept to one address.
const IDLE_LIMIT: usize = 32;

/// A connection at rest.
#[derive(Debug)]
struct IdleLink {
    link: HttpConnection,
    since: Moment,
    /// Rest after which the other side may close it.
    keep: Duration,
}

/// The idle connections of one thread.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleLink>>,
}

impl ConnectionPool {
    /// Takes a connection that is sure to be open, if one rests here.
    ///
    /// `rest_limit` is the longest rest that the caller accepts, beside that of the other side.
    pub fn take(
        &mut self,
        now: Moment,
        address: SocketAddr,
        rest_limit: Duration,
    ) -> Option<HttpConnection> {
        let links = self.idle.get_mut(&address)?;
        links.retain(|idle| !idle.link.is_closed() && now.saturating_sub(idle.since) < idle.keep);
        // The one used last is the least likely to be closed by the other side.
        let last = links.last()?;
        if now.saturating_sub(last.since) >= rest_limit || !last.link.is_ready() {
            return None;
        }
        links.pop().map(|idle| idle.link)
    }

    /// Lays a connection down for at most `keep`.
    pub fn put(&mut self, now: Moment, link: HttpConnection, keep: Duration) {
        if link.is_closed() || keep.is_zero() {
            return;
        }
        let links = self.idle.entry(link.address()).or_default();
        if links.len() >= IDLE_LIMIT {
            links.remove(0);
        }
        links.push(IdleLink {
            link,
            since: now,
            keep,
        });
    }

    /// Closes the connections to an address.
    pub fn close_all(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes the connections whose time is over.
    pub fn close_expired(&mut self, now: Moment) {
        for links in self.idle.values_mut() {
            links.retain(|idle| {
                !idle.link.is_closed() && now.saturating_sub(idle.since) < idle.keep
            });
        }
        self.idle.retain(|_, links| !links.is_empty());
    }
}
