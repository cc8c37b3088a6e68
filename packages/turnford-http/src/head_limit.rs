//! Bound on the bytes that a server sends before the head of its response is complete.
//!
//! `hyper` bounds a head, but skips interim responses without counting them, and reads on while any arrive.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::read_burst::ReadBurst;

/// Maximum number of bytes before the end of a response's head, interim responses included.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Bytes that may arrive on a connection before the head that it waits for.
#[derive(Debug)]
pub(crate) struct HeadAllowance {
    /// Bytes left; `usize::MAX` while no head is expected.
    left: AtomicUsize,
}

impl HeadAllowance {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            left: AtomicUsize::new(usize::MAX),
        })
    }

    /// Expects a head from now on.
    pub(crate) fn expect_head(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub(crate) fn record_head(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Returns whether more bytes than allowed have arrived.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    /// Takes received bytes from the allowance. Returns false if it is exhausted.
    fn take(&self, bytes: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        left > bytes
    }
}

/// TCP stream whose reads fail once its allowance is exhausted, and let other tasks run in between.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    burst: ReadBurst,
    allowance: Arc<HeadAllowance>,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, allowance: Arc<HeadAllowance>) -> Self {
        Self {
            stream,
            burst: ReadBurst::default(),
            allowance,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let stream = Pin::new(&mut this.stream);
        let read = ready!(this.burst.poll_read(stream, context, buffer))?;
        if !self.allowance.take(read) {
            let reason = "no end of the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for LimitedStream {
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
