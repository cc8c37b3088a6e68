//! Ports that refuse connections, or on which connections are never established, as on a machine
//! that can't be reached. Both stay reserved for their owner.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::io::Errno;
use rustix::net;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;

/// Number of connections that fill the queue of a listener that never accepts.
const QUEUE_FILLERS: usize = 2;

/// Timeout of a connection that fills the queue.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Length of the queue of a listener that accepts.
const OPEN_BACKLOG: i32 = 128;

/// Number of attempts to bind a port that was closed just before, and the delay between two.
const BIND_ATTEMPTS: usize = 50;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a port as soon as the system has released it.
fn bind_patiently(socket: &OwnedFd, address: SocketAddr) -> io::Result<()> {
    for _ in 1..BIND_ATTEMPTS {
        match net::bind(socket, &address) {
            Err(Errno::ADDRINUSE) => std::thread::sleep(BIND_RETRY_DELAY),
            bound => return Ok(bound?),
        }
    }
    Ok(net::bind(socket, &address)?)
}

/// A port that accepts no connections.
pub(crate) struct ClosedPort {
    socket: OwnedFd,
    /// Connections that fill the queue if new ones are to hang.
    _fillers: Vec<TcpStream>,
}

impl ClosedPort {
    /// Reserves a free port that refuses connections.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be bound.
    pub(crate) fn refusing(address: SocketAddr) -> io::Result<Self> {
        // A process that is started meanwhile would keep the port bound.
        let flags = SocketFlags::CLOEXEC;
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        set_socket_reuseaddr(&socket, true)?;
        bind_patiently(&socket, address)?;
        Ok(Self {
            socket,
            _fillers: Vec::new(),
        })
    }

    /// Reserves a free port whose queue is full, so that the system drops further connection
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be bound.
    pub(crate) fn hanging(address: SocketAddr) -> io::Result<Self> {
        let mut port = Self::refusing(address)?;
        net::listen(&port.socket, 0)?;
        // Those beyond the queue's capacity time out.
        let fillers = (0..QUEUE_FILLERS)
            .filter_map(|_| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok());
        port._fillers = fillers.collect();
        Ok(port)
    }

    /// Accepts connections from now on.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be opened.
    pub(crate) fn open(self) -> io::Result<async_net::TcpListener> {
        net::listen(&self.socket, OPEN_BACKLOG)?;
        let listener = TcpListener::from(self.socket);
        listener.set_nonblocking(true)?;
        async_net::TcpListener::try_from(listener)
    }
}
