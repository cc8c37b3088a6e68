//! Bound on the bytes that a connection reads for one step of an exchange.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::read_burst::ReadBurst;

/// Maximum number of bytes received for each byte of a body, for its chunks' lengths, and for the end of a
/// body.
const FRAMING_FACTOR: usize = 2;
const FRAMING_BYTES: usize = 64 * 1024;

/// Number of bytes that a connection may read.
///
/// `hyper` bounds what it keeps of a response, not what it reads and drops, such as interim responses. It
/// reads on for as long as bytes are available, so a peer that sends them fast enough is left neither by a
/// timeout nor by a size limit.
#[derive(Debug, Default)]
pub(crate) struct ReadAllowance {
    remaining: AtomicUsize,
    /// Whether a read was attempted with no bytes remaining.
    is_exceeded: AtomicBool,
}

impl ReadAllowance {
    /// Sets the number of bytes for the next step.
    pub(crate) fn grant(&self, bytes: usize) {
        self.remaining.store(bytes, Ordering::Relaxed);
        self.is_exceeded.store(false, Ordering::Relaxed);
    }

    /// Sets the number of bytes that a body of up to `max_bytes` takes with its framing.
    pub(crate) fn grant_body(&self, max_bytes: usize) {
        self.grant(max_bytes * FRAMING_FACTOR + FRAMING_BYTES);
    }

    /// Returns whether the step needs more bytes than were granted to it.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }
}

/// A stream that reads only as many bytes as its allowance has, and lets other tasks run in between. Without
/// any bytes left, reads are pending until the next step polls the stream again.
pub(crate) struct BoundedReader<S> {
    stream: S,
    burst: ReadBurst,
    allowance: Arc<ReadAllowance>,
}

impl<S> BoundedReader<S> {
    pub(crate) fn new(stream: S, allowance: Arc<ReadAllowance>) -> Self {
        Self {
            stream,
            burst: ReadBurst::default(),
            allowance,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedReader<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self {
            stream,
            burst,
            allowance,
        } = self.get_mut();
        let remaining = allowance.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            allowance.is_exceeded.store(true, Ordering::Relaxed);
            return Poll::Pending;
        }
        let length = buffer.len().min(remaining);
        let stream = Pin::new(stream);
        let read = burst.poll_read(stream, context, &mut buffer[..length]);
        if let Poll::Ready(Ok(length)) = read {
            let remaining = remaining.saturating_sub(length);
            allowance.remaining.store(remaining, Ordering::Relaxed);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedReader<S> {
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
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
