//! Pool of idle connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use turnford_policy::Moment;

use crate::HttpConnection;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    since: Moment,
    /// Idle time after which the server may close the connection.
    idle_timeout: Duration,
}

/// Pool of the idle connections of one thread.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is known to be open, if there is one.
    ///
    /// `max_idle` is the longest idle time that the caller accepts, in addition to the server's own timeout.
    pub fn take(
        &mut self,
        now: Moment,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(&address)?;
        connections.retain(|idle| {
            !idle.connection.is_closed() && now.saturating_sub(idle.since) < idle.idle_timeout
        });
        // The most recently used connection is the least likely to be closed by the server.
        let last = connections.last()?;
        if now.saturating_sub(last.since) >= max_idle || !last.connection.is_ready() {
            return None;
        }
        connections.pop().map(|idle| idle.connection)
    }

    /// Returns a connection to the pool for at most `idle_timeout`.
    pub fn put(&mut self, now: Moment, connection: HttpConnection, idle_timeout: Duration) {
        if connection.is_closed() || idle_timeout.is_zero() {
            return;
        }
        let connections = self.idle.entry(connection.address()).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            since: now,
            idle_timeout,
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_all(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes the connections whose idle timeout has expired.
    pub fn close_expired(&mut self, now: Moment) {
        for connections in self.idle.values_mut() {
            connections.retain(|idle| {
                !idle.connection.is_closed() && now.saturating_sub(idle.since) < idle.idle_timeout
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}
