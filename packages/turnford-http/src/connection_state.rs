//! State of a client's connection, which selects the timeout that applies.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Maximum time for which the end of a truncated response waits for a client that does not read.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(4);

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
    /// Whether everything that response bodies have produced was passed to the socket.
    is_flushed: Cell<bool>,
    /// Waker of a response body that waits for that.
    flush_waker: RefCell<Option<Waker>>,
    /// Whether a response was truncated whose end is that of the connection.
    needs_reset: Cell<bool>,
}

impl ConnectionState {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(ConnectionPhase::Idle),
            changes: Cell::new(0),
            is_flushed: Cell::new(true),
            flush_waker: RefCell::default(),
            needs_reset: Cell::new(false),
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

    fn record_flush(&self) {
        self.is_flushed.set(true);
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the connection must be reset, so that the client doesn't take its end for that of
    /// the response.
    pub(crate) fn needs_reset(&self) -> bool {
        self.needs_reset.get()
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
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.state.record_flush();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Response body that keeps its connection in the busy phase. An error that truncates it is passed on
/// after everything before it was passed to the socket, as `hyper` drops what it still buffers then.
pub(crate) struct GuardedBody<B: Body> {
    body: Pin<Box<B>>,
    guard: BusyGuard,
    /// Whether the connection's end is the only end of the response.
    ends_with_connection: bool,
    truncation: Option<Truncation<B::Error>>,
}

/// Error of a body that waits until the part before it was passed to the socket.
struct Truncation<E> {
    error: E,
    timeout: Timer,
}

impl<B: Body> GuardedBody<B> {
    pub(crate) fn new(body: B, guard: BusyGuard, ends_with_connection: bool) -> Self {
        guard.state.is_flushed.set(false);
        Self {
            body: Box::pin(body),
            guard,
            ends_with_connection,
            truncation: None,
        }
    }

    fn truncate(&mut self, error: B::Error) {
        if self.ends_with_connection {
            self.guard.state.needs_reset.set(true);
        }
        self.truncation = Some(Truncation {
            error,
            timeout: Timer::after(FLUSH_TIMEOUT),
        });
    }

    /// Returns the error once the part before it was passed to the socket.
    fn poll_truncation(&mut self, context: &mut Context<'_>) -> Poll<Option<B::Error>> {
        let Some(mut truncation) = self.truncation.take() else {
            return Poll::Ready(None);
        };
        let state = &self.guard.state;
        let is_late = Pin::new(&mut truncation.timeout).poll(context).is_ready();
        if is_late || state.is_flushed.get() {
            return Poll::Ready(Some(truncation.error));
        }
        state.flush_waker.replace(Some(context.waker().clone()));
        self.truncation = Some(truncation);
        Poll::Pending
    }
}

impl<B: Body> Body for GuardedBody<B>
where
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if self.truncation.is_none() {
            match self.body.as_mut().poll_frame(context) {
                Poll::Ready(Some(Err(error))) => self.truncate(error),
                Poll::Ready(Some(Ok(frame))) => {
                    self.guard.state.is_flushed.set(false);
                    return Poll::Ready(Some(Ok(frame)));
                }
                other => return other,
            }
        }
        self.poll_truncation(context).map(|error| error.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.truncation.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
