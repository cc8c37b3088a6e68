//! Ends of connections: deliveries of what was sent, and resets.

use std::io;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use rustix::ioctl::ioctl;
use rustix::ioctl::Getter;
use rustix::ioctl::Opcode;
use rustix::net::sockopt::set_socket_linger;

/// `SIOCOUTQ` of Linux: the number of sent bytes that the peer has not acknowledged.
const UNACKNOWLEDGED_BYTES: Opcode = 0x5411;

/// Interval at which the unacknowledged bytes are read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of polls without progress after which the peer is given up.
const MAX_STALLED_POLLS: u32 = 400;

/// Sets whether the close of a connection resets it, which discards what its peer has not acknowledged.
pub(crate) fn set_reset(stream: &TcpStream, resets: bool) {
    if let Err(error) = set_socket_linger(stream, resets.then_some(Duration::ZERO)) {
        log::warn!("failed to set how a connection of a client closes: {error}");
    }
}

/// Closes a connection by a reset before anything was read from it, which tells its client that the
/// request has not been received.
pub fn reset_unread(stream: TcpStream) {
    set_reset(&stream, true);
}

/// Waits until the peer has acknowledged what was sent, but for the last `excepted` sequence numbers, or until the
/// connection is closed or makes no progress.
pub(crate) async fn wait_acknowledged(stream: &TcpStream, excepted: i32) {
    let mut before = None;
    let mut stalled_polls = 0;
    while stalled_polls < MAX_STALLED_POLLS && is_open(stream) {
        let length = match unacknowledged_bytes(stream) {
            Ok(length) if length <= excepted => return,
            Ok(length) => length,
            Err(error) => {
                log::warn!("failed to read the unacknowledged bytes of a connection: {error}");
                return;
            }
        };
        let is_stalled = before.replace(length) == Some(length);
        stalled_polls = if is_stalled { stalled_polls + 1 } else { 0 };
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns whether the peer can still acknowledge anything. The system names no peer after a reset.
fn is_open(stream: &TcpStream) -> bool {
    stream.peer_addr().is_ok()
}

fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<i32> {
    // SAFETY: the kernel writes an `int` for this opcode.
    let length = unsafe { ioctl(stream, Getter::<UNACKNOWLEDGED_BYTES, i32>::new()) };
    Ok(length?)
}
