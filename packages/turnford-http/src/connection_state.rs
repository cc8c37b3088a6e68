//! What happens on a client's connection, by which its time limits are kept.

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

/// How long a client may take on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest rest between two requests.
    pub idle_timeout: Duration,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkPhase {
    /// Nothing of a request has come.
    Idle,
    /// A head has begun to arrive.
    Head,
    /// A request is served.
    Busy,
}

/// The phase of one connection, shared by its stream and its answers.
#[derive(Debug)]
pub(crate) struct LinkState {
    phase: Cell<LinkPhase>,
    /// Rises with each change, so that a timer of an earlier phase is known as such.
    changes: Cell<u64>,
}

impl LinkState {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(LinkPhase::Idle),
            changes: Cell::new(0),
        })
    }

    fn enter(&self, phase: LinkPhase) {
        self.phase.set(phase);
        self.changes.set(self.changes.get() + 1);
    }

    fn note_read(&self) {
        if self.phase.get() == LinkPhase::Idle {
            self.enter(LinkPhase::Head);
        }
    }

    /// Notes that a request is served until the guard is dropped.
    pub(crate) fn serve(self: &Rc<Self>) -> BusyGuard {
        self.enter(LinkPhase::Busy);
        BusyGuard {
            state: self.clone(),
        }
    }
}

/// A request that is served.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    state: Rc<LinkState>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.enter(LinkPhase::Idle);
    }
}

/// The timer of a connection's present phase.
pub(crate) struct LinkTimer<L> {
    state: Rc<LinkState>,
    limits: L,
    timer: Option<Timer>,
    /// Change of the state that the timer was set for.
    set_for: Option<u64>,
}

impl<L: Fn() -> ConnectionLimits> LinkTimer<L> {
    pub(crate) fn new(state: Rc<LinkState>, limits: L) -> Self {
        Self {
            state,
            limits,
            timer: None,
            set_for: None,
        }
    }

    /// Returns the phase that took too long, as soon as one has.
    pub(crate) fn poll_over(&mut self, context: &mut Context<'_>) -> Poll<LinkPhase> {
        let phase = self.state.phase.get();
        let change = self.state.changes.get();
        if self.set_for != Some(change) {
            self.set_for = Some(change);
            let limits = (self.limits)();
            self.timer = match phase {
                LinkPhase::Idle => Some(Timer::after(limits.idle_timeout)),
                LinkPhase::Head => Some(Timer::after(limits.header_timeout)),
                LinkPhase::Busy => None,
            };
        }
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        Pin::new(timer).poll(context).map(|_| phase)
    }
}

/// A client's stream that tells when bytes come.
pub(crate) struct NotedStream {
    stream: TcpStream,
    state: Rc<LinkState>,
}

impl NotedStream {
    pub(crate) fn new(stream: TcpStream, state: Rc<LinkState>) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for NotedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            self.state.note_read();
        }
        read
    }
}

impl AsyncWrite for NotedStream {
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

/// The body of an answer, during which its connection is busy.
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
