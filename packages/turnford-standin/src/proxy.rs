//! A proxy on loopback that harms the connections that pass through it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;

use crate::SharedExecutor;

/// Pause between looks whether a harmed link is whole again.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Bytes that pass at once.
const CHUNK: usize = 16 * 1024;

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Open,
    /// Bytes pass later.
    Delayed(Duration),
    /// So many bytes a second pass in each direction, over all connections together.
    Throttled(u32),
    /// Connections are closed at once, open ones too.
    Reset,
    /// No byte passes in either direction; what waits passes later.
    Stalled,
    /// No byte passes towards the server.
    StalledToServer,
    /// No byte passes from the server.
    StalledFromServer,
}

/// A proxy before one server.
#[derive(Clone)]
pub struct LinkProxy {
    /// Where callers connect.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    /// When the last byte that was taken will have passed, towards the server and from it.
    free_at: Arc<Mutex<[Option<Instant>; 2]>>,
    /// How often open connections were muted.
    mutes: Arc<AtomicU32>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    To,
    From,
}

impl LinkProxy {
    /// Starts a proxy before a server.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(executor: &SharedExecutor, server: SocketAddr) -> io::Result<Self> {
        let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0"))?;
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(LinkState::Open)),
            free_at: Arc::default(),
            mutes: Arc::default(),
        };
        let accepting = proxy.clone();
        let spawner = executor.clone();
        let accept = async move {
            while let Ok((client, _)) = listener.accept().await {
                spawner
                    .spawn(accepting.clone().pass(client, server))
                    .detach();
            }
        };
        executor.spawn(accept).detach();
        Ok(proxy)
    }

    /// Sets how the link is from now on.
    pub fn set(&self, state: LinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Has no byte pass any more on the connections that are open now; new ones work.
    pub fn blackhole_open(&self) {
        self.mutes.fetch_add(1, Ordering::SeqCst);
    }

    fn state(&self) -> LinkState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn pass(self, client: TcpStream, server: SocketAddr) {
        let born = self.mutes.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let to = self.pump(client.clone(), server.clone(), Direction::To, born);
        let from = self.pump(server, client, Direction::From, born);
        let broken = async {
            while self.state() != LinkState::Reset {
                Timer::after(LOOK_PAUSE).await;
            }
        };
        // Each side's end ends the other's, as for a caller that closes.
        to.or(from).or(broken).await;
    }

    async fn pump(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction, born: u32) {
        let mut bytes = vec![0; CHUNK];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            self.wait_open(direction, count).await;
            if self.mutes.load(Ordering::SeqCst) > born {
                continue;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
        self.wait_open(direction, 0).await;
    }

    /// Returns when so many more bytes will have passed at a rate.
    fn reserve(&self, direction: Direction, bytes: usize, rate: u32) -> Instant {
        let mut slots = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = &mut slots[direction as usize];
        let now = Instant::now();
        let begin = slot.map_or(now, |free| free.max(now));
        let end = begin + Duration::from_secs_f64(bytes as f64 / f64::from(rate));
        *slot = Some(end);
        end
    }

    /// Waits until bytes may pass.
    async fn wait_open(&self, direction: Direction, bytes: usize) {
        loop {
            match self.state() {
                LinkState::Delayed(span) => {
                    Timer::after(span).await;
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
            Timer::after(LOOK_PAUSE).await;
        }
    }
}
