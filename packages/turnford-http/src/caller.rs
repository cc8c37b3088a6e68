//! Limits for callers that stop sending or reading.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Limits for a caller's connection. Those of the body count from the end of the request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time between two parts of a request body.
    pub body_idle: Duration,
    /// Maximum time to receive a request body.
    pub body_total: Duration,
    /// Maximum time for which the caller takes no byte of its response.
    pub write_idle: Duration,
}

impl CallerLimits {
    /// Creates limits without timeouts.
    pub(crate) fn of_size(max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            body_idle: Duration::MAX,
            body_total: Duration::MAX,
            write_idle: Duration::MAX,
        }
    }
}

/// A stream whose writes fail once the peer has taken no byte for a time.
///
/// A response's body is not polled while its connection can't be written to, so nothing in the body can end
/// such a wait.
pub(crate) struct BoundedWriter<S> {
    stream: S,
    timeout: Duration,
    /// Runs while a write is pending.
    timer: Option<Timer>,
}

impl<S> BoundedWriter<S> {
    pub(crate) fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            timer: None,
        }
    }

    fn bound(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        let expired = Pin::new(timer).poll(context);
        expired.map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedWriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedWriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.bound(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.bound(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
