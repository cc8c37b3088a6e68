//! State of a client's connection, which selects the timeout that applies.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
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

use crate::read_burst::ReadBurst;

use crate::delivery::DeliveryCounter;
use crate::delivery::DeliveryGuard;
use crate::reset::set_reset;

/// Maximum time for which the end of a truncated response, or of a closing connection, waits for a client that does
/// not read.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which a complete response is kept for a client that does not read it.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

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
    /// The last response is complete and not yet passed to the socket.
    Sending,
}

/// State of one connection, shared by its stream and its response bodies.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    socket: TcpStream,
    phase: Cell<ConnectionPhase>,
    /// Number of changes that restart the phase's timer; identifies timers set before.
    changes: Cell<u64>,
    /// Whether everything that response bodies have produced was passed to the socket.
    is_flushed: Cell<bool>,
    /// Waker of a response body that waits for that.
    flush_waker: RefCell<Option<Waker>>,
    /// Whether a response is incomplete whose end is that of the connection, so that its close must be a reset.
    needs_reset: Cell<bool>,
    is_closing: Cell<bool>,
    deliveries: Arc<DeliveryCounter>,
    delivery: RefCell<Option<DeliveryGuard>>,
}

impl ConnectionState {
    pub(crate) fn new(socket: TcpStream, deliveries: Arc<DeliveryCounter>) -> Rc<Self> {
        Rc::new(Self {
            socket,
            phase: Cell::new(ConnectionPhase::Idle),
            changes: Cell::new(0),
            is_flushed: Cell::new(true),
            flush_waker: RefCell::default(),
            needs_reset: Cell::new(false),
            is_closing: Cell::new(false),
            delivery: RefCell::new(Some(deliveries.begin())),
            deliveries,
        })
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.restart_timer();
    }

    fn restart_timer(&self) {
        self.changes.set(self.changes.get() + 1);
    }

    fn record_read(&self) {
        if self.phase.get() == ConnectionPhase::Idle {
            self.enter(ConnectionPhase::Head);
        }
    }

    fn record_write(&self) {
        if self.phase.get() == ConnectionPhase::Sending {
            self.restart_timer();
        }
    }

    fn record_flush(&self) {
        self.is_flushed.set(true);
        if self.phase.get() == ConnectionPhase::Sending {
            self.set_reset(false);
            self.enter(ConnectionPhase::Idle);
        }
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
    }

    /// Sets whether the close of the connection resets it. Otherwise a client would take its end for that of a
    /// response without another end, also if this process is killed.
    pub(crate) fn set_reset(&self, resets: bool) {
        if self.needs_reset.replace(resets) != resets {
            set_reset(&self.socket, resets);
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Records that the connection has to close after the current response. A request of which only a part has
    /// arrived has no response to deliver.
    pub(crate) fn begin_close(&self) {
        self.is_closing.set(true);
        self.restart_timer();
        if self.phase.get() == ConnectionPhase::Head {
            self.delivery.take();
        }
    }

    /// Enters the busy phase until the returned guard is dropped.
    pub(crate) fn serve(self: &Rc<Self>) -> BusyGuard {
        self.enter(ConnectionPhase::Busy);
        let mut delivery = self.delivery.borrow_mut();
        delivery.get_or_insert_with(|| self.deliveries.begin());
        BusyGuard {
            state: self.clone(),
        }
    }

    fn phase_timeout(&self, limits: &ConnectionLimits) -> Option<Duration> {
        match self.phase.get() {
            ConnectionPhase::Idle => Some(limits.idle_timeout),
            ConnectionPhase::Head => Some(limits.header_timeout),
            ConnectionPhase::Busy => None,
            ConnectionPhase::Sending if self.is_closing.get() => Some(FLUSH_TIMEOUT),
            ConnectionPhase::Sending => Some(SEND_TIMEOUT),
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
        self.state.enter(ConnectionPhase::Sending);
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
            let timeout = self.state.phase_timeout(&(self.limits)());
            self.timer = timeout.map(Timer::after);
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
    burst: ReadBurst,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            burst: ReadBurst::default(),
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let tracked = self.get_mut();
        let stream = Pin::new(&mut tracked.stream);
        let read = tracked.burst.poll_read(stream, context, buffer);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            tracked.state.record_read();
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
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_ready() {
            self.state.record_write();
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if written.is_ready() {
            self.state.record_write();
        }
        written
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
    truncation: Option<Truncation<B::Error>>,
}

/// Error of a body that waits until the part before it was passed to the socket.
struct Truncation<E> {
    error: E,
    timeout: Timer,
}

impl<B: Body> GuardedBody<B> {
    /// Creates the body of a response; `ends_with_connection` tells whether the connection's end is its only end.
    pub(crate) fn new(body: B, guard: BusyGuard, ends_with_connection: bool) -> Self {
        guard.state.is_flushed.set(false);
        guard.state.set_reset(ends_with_connection);
        Self {
            body: Box::pin(body),
            guard,
            truncation: None,
        }
    }

    fn truncate(&mut self, error: B::Error) {
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
