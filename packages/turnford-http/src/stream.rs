//! Connections to targets, to the platform and between nodes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::FutureExt;
use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;

/// Rest after which the other side is asked whether it is there.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// Pause between such questions.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Questions without an answer after which a connection counts as broken.
const PROBE_COUNT: u32 = 4;

/// Longest time for which bytes that were sent, or questions, may stay without an answer. A link
/// that is cut for less than this heals without a loss; a connection that fell silent for good
/// would otherwise hold its request until the deadline.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// What answers at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// Somebody takes connections.
    Open,
    /// The machine is there and nobody takes connections.
    Refused,
    /// Nothing is known: no answer within the limit, or no way there.
    Unreachable,
}

/// Asks whether anybody takes connections at an address; nothing is sent on the one that it opens.
pub async fn probe_port(address: SocketAddr, limit: Duration) -> PortState {
    let connect = async { Some(TcpStream::connect(address).await) };
    let late = async {
        Timer::after(limit).await;
        None
    };
    match connect.or(late).await {
        Some(Ok(_)) => PortState::Open,
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => PortState::Refused,
        Some(Err(_)) | None => PortState::Unreachable,
    }
}

/// Opens a connection that ends if the other side falls silent.
///
/// # Errors
///
/// Returns the system's error if there is no connection or it can't be set up.
pub async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    configure_stream(&stream)?;
    Ok(stream)
}

/// Has a connection end if the other side falls silent, and sends bytes without delay.
///
/// # Errors
///
/// Returns the system's error if the connection can't be set up.
pub fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, PROBE_IDLE)?;
    set_tcp_keepintvl(stream, PROBE_PAUSE)?;
    set_tcp_keepcnt(stream, PROBE_COUNT)?;
    let silence = u32::try_from(SILENCE_LIMIT.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(stream, silence)?;
    Ok(())
}
