//! TCP connections to targets, to the platform and between nodes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::FutureExt;
use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;

use crate::wait_timeout;

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_COUNT: u32 = 4;

/// Maximum time for which sent data or keepalive probes may stay unacknowledged. Connections survive a
/// shorter network outage; without the limit, a dead connection would hold its request until the deadline.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// State of a TCP port, as seen by [`probe_port`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// Connections are accepted.
    Open,
    /// The machine is up and refuses connections.
    Refused,
    /// The state is unknown: there was no response within the timeout, or no route.
    Unreachable,
}

/// Probes whether connections are accepted at an address. No data is sent on the connection.
pub async fn probe_port(address: SocketAddr, timeout: Duration) -> PortState {
    let connect = async { Some(TcpStream::connect(address).await) };
    let expired = async {
        wait_timeout(timeout).await;
        None
    };
    match connect.or(expired).await {
        Some(Ok(_)) => PortState::Open,
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => PortState::Refused,
        Some(Err(_)) | None => PortState::Unreachable,
    }
}

/// Opens a connection that closes if the peer stops responding.
///
/// # Errors
///
/// Returns the I/O error if the connection cannot be opened or configured.
pub async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    configure_stream(&stream)?;
    Ok(stream)
}

/// Configures a connection to close if the peer stops responding, and to send data without delay.
///
/// # Errors
///
/// Returns the I/O error if an option cannot be set.
pub fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepcnt(stream, KEEPALIVE_COUNT)?;
    let timeout = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(stream, timeout)?;
    Ok(())
}
