//! A port on which connections are never established, as on a machine that can't be reached.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::AddressFamily;
use rustix::net::SocketType;

/// Number of connections that fill the queue of a listener that never accepts.
const QUEUE_FILLERS: usize = 2;

/// Timeout of a connection that fills the queue.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// A listener whose queue is full, so that the system drops further connection requests.
pub(crate) struct HangingPort {
    _listener: OwnedFd,
    _fillers: Vec<TcpStream>,
}

impl HangingPort {
    /// Takes over a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be bound.
    pub(crate) fn open(address: SocketAddr) -> io::Result<Self> {
        let listener = net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
        set_socket_reuseaddr(&listener, true)?;
        net::bind(&listener, &address)?;
        net::listen(&listener, 0)?;
        // Those beyond the queue's capacity time out.
        let fillers = (0..QUEUE_FILLERS)
            .filter_map(|_| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok());
        let fillers = fillers.collect();
        Ok(Self {
            _listener: listener,
            _fillers: fillers,
        })
    }
}
