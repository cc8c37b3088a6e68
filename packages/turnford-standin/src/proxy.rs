//! A loopback TCP proxy that injects network faults.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;

use crate::port::ClosedPort;
use crate::SharedExecutor;

/// Interval at which a disturbed link is checked for recovery.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes forwarded at once.
const BUFFER_SIZE: usize = 16 * 1024;

/// State of a proxied link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded.
    Open,
    /// Bytes are forwarded after a delay.
    Delayed(Duration),
    /// Rate limit in bytes per second for each direction, over all connections together.
    Throttled(u32),
    /// New and open connections are closed at once.
    Reset,
    /// No bytes are forwarded in either direction; they are forwarded when the state ends.
    Stalled,
    /// No bytes are forwarded to the server.
    StalledToServer,
    /// No bytes are forwarded from the server.
    StalledFromServer,
}

/// How a proxied link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCut {
    /// Packets are lost: connections hang when they are opened, and open ones fall silent for good.
    Silent,
    /// Open connections are reset, new ones are refused.
    Reset,
    /// New connections are refused, open ones go on.
    RefuseNew,
}

/// What happens to new connections.
enum PortState {
    /// They are accepted by this task.
    Accepting(Task<()>),
    /// They are refused, or never established.
    Closed(ClosedPort),
    /// The state is being changed.
    Changing,
}

/// A proxy for one server.
#[derive(Clone)]
pub struct LinkProxy {
    /// Address to which clients connect.
    pub address: SocketAddr,
    server: SocketAddr,
    executor: SharedExecutor,
    port: Arc<Mutex<PortState>>,
    state: Arc<Mutex<LinkState>>,
    /// Time at which the bytes accepted so far will have been forwarded, to and from the server.
    free_at: Arc<Mutex<[Option<Instant>; 2]>>,
    /// Number of calls of [`LinkProxy::blackhole_open`].
    blackhole_count: Arc<AtomicU32>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    To,
    From,
}

impl LinkProxy {
    /// Starts a proxy for a server.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(executor: &SharedExecutor, server: SocketAddr) -> io::Result<Self> {
        let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0"))?;
        let proxy = Self {
            address: listener.local_addr()?,
            server,
            executor: executor.clone(),
            port: Arc::new(Mutex::new(PortState::Changing)),
            state: Arc::new(Mutex::new(LinkState::Open)),
            free_at: Arc::default(),
            blackhole_count: Arc::default(),
        };
        proxy.accept(listener);
        Ok(proxy)
    }

    /// Accepts connections until the state of the port changes.
    fn accept(&self, listener: TcpListener) {
        let accepting = self.clone();
        let accept = async move {
            while let Ok((client, _)) = listener.accept().await {
                let serve = accepting.clone().serve(client);
                accepting.executor.spawn(serve).detach();
            }
        };
        let accept = self.executor.spawn(accept);
        *self.lock_port() = PortState::Accepting(accept);
    }

    /// Cuts the link until [`LinkProxy::heal`].
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be taken over.
    pub fn cut(&self, cut: LinkCut) -> io::Result<()> {
        let state = std::mem::replace(&mut *self.lock_port(), PortState::Changing);
        match state {
            PortState::Accepting(accept) => {
                async_io::block_on(accept.cancel());
            }
            // Closed before the port is bound again.
            state => drop(state),
        }
        match cut {
            LinkCut::Silent => self.blackhole_open(),
            LinkCut::Reset => self.set(LinkState::Reset),
            LinkCut::RefuseNew => {}
        }
        let port = match cut {
            LinkCut::Silent => ClosedPort::hanging(self.address),
            LinkCut::Reset | LinkCut::RefuseNew => ClosedPort::refusing(self.address),
        };
        *self.lock_port() = PortState::Closed(port?);
        Ok(())
    }

    /// Ends a cut.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the port can't be opened again.
    pub fn heal(&self) -> io::Result<()> {
        let state = std::mem::replace(&mut *self.lock_port(), PortState::Changing);
        self.set(LinkState::Open);
        match state {
            PortState::Closed(port) => self.accept(port.open()?),
            state => *self.lock_port() = state,
        }
        Ok(())
    }

    fn lock_port(&self) -> MutexGuard<'_, PortState> {
        self.port.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of the link.
    pub fn set(&self, state: LinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Discards all further bytes on the currently open connections; new connections work.
    pub fn blackhole_open(&self) {
        self.blackhole_count.fetch_add(1, Ordering::SeqCst);
    }

    fn state(&self) -> LinkState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, client: TcpStream) {
        let generation = self.blackhole_count.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(self.server).await else {
            return;
        };
        let to = self.forward(client.clone(), server.clone(), Direction::To, generation);
        let from = self.forward(server, client, Direction::From, generation);
        let broken = async {
            while self.state() != LinkState::Reset {
                Timer::after(POLL_INTERVAL).await;
            }
        };
        // If either side closes, the other is closed as well.
        to.or(from).or(broken).await;
    }

    async fn forward(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
        generation: u32,
    ) {
        let mut bytes = vec![0; BUFFER_SIZE];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            self.wait_until_passable(direction, count).await;
            if self.blackhole_count.load(Ordering::SeqCst) > generation {
                continue;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
        self.wait_until_passable(direction, 0).await;
    }

    /// Returns the time at which this number of further bytes will have been forwarded at a rate.
    fn reserve(&self, direction: Direction, bytes: usize, rate: u32) -> Instant {
        let mut slots = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = &mut slots[direction as usize];
        let now = Instant::now();
        let begin = slot.map_or(now, |free| free.max(now));
        let end = begin + Duration::from_secs_f64(bytes as f64 / f64::from(rate));
        *slot = Some(end);
        end
    }

    /// Waits until the link's state allows bytes to be forwarded.
    async fn wait_until_passable(&self, direction: Direction, bytes: usize) {
        loop {
            match self.state() {
                LinkState::Delayed(delay) => {
                    Timer::after(delay).await;
                    return;
                }
                LinkState::Throttled(rate) => {
                    Timer::at(self.reserve(direction, bytes, rate)).await;
                    return;
                }
                LinkState::Stalled => {}
                LinkState::StalledToServer if direction == Direction::To => {}
                LinkState::StalledFromServer if direction == Direction::From => {}
                _ => return,
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
