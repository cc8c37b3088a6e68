//! State of a client's connection, which selects the timeout that applies.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Limits for a client on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests.
    pub idle_timeout: Duration,
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// No byte of a request has been received.
    Idle,
    /// A request head is being received.
    Head,
    /// A request is being served.
    Busy,
}

/// State of one connection, shared by its stream and its response bodies.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    /// Number of phase changes; identifies timers of earlier phases.
    changes: Cell<u64>,
}

impl ConnectionState {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(ConnectionPhase::Idle),
            changes: Cell::new(0),
        })
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.changes.set(self.changes.get() + 1);
    }

    fn record_read(&self) {
        if self.phase.get() == ConnectionPhase::Idle {
            self.enter(ConnectionPhase::Head);
        }
    }

    /// Enters the busy phase until the returned guard is dropped.
    pub(crate) fn serve(self: &Rc<Self>) -> BusyGuard {
        self.enter(ConnectionPhase::Busy);
        BusyGuard {
            state: self.clone(),
        }
    }
}

/// Keeps a connection in the busy phase until it is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    state: Rc<ConnectionState>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.enter(ConnectionPhase::Idle);
    }
}

/// Timer of a connection's current phase.
pub(crate) struct PhaseTimer<L> {
    state: Rc<ConnectionState>,
    limits: L,
    timer: Option<Timer>,
    /// Phase change for which the timer was set.
    armed_for: Option<u64>,
}

impl<L: Fn() -> ConnectionLimits> PhaseTimer<L> {
    pub(crate) fn new(state: Rc<ConnectionState>, limits: L) -> Self {
        Self {
            state,
            limits,
            timer: None,
            armed_for: None,
        }
    }

    /// Resolves to the phase whose timeout has expired.
    pub(crate) fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<ConnectionPhase> {
        let phase = self.state.phase.get();
        let change = self.state.changes.get();
        if self.armed_for != Some(change) {
            self.armed_for = Some(change);
            let limits = (self.limits)();
            self.timer = match phase {
                ConnectionPhase::Idle => Some(Timer::after(limits.idle_timeout)),
                ConnectionPhase::Head => Some(Timer::after(limits.header_timeout)),
                ConnectionPhase::Busy => None,
            };
        }
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        Pin::new(timer).poll(context).map(|_| phase)
    }
}

/// TCP stream of a client that records received bytes in the connection's state.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            self.state.record_read();
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Response body that keeps its connection in the busy phase.
pub(crate) struct GuardedBody<B> {
    body: Pin<Box<B>>,
    _guard: BusyGuard,
}

impl<B> GuardedBody<B> {
    pub(crate) fn new(body: B, guard: BusyGuard) -> Self {
        Self {
            body: Box::pin(body),
            _guard: guard,
        }
    }
}

impl<B: Body> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
