//! Bound on the bytes that a connection reads before other tasks run.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;

/// Maximum number of bytes read before other tasks of the thread run.
const MAX_BURST_BYTES: usize = 16 * 1024;

/// Bytes that a connection has read since it last had to wait for more.
///
/// `hyper` reads on within one poll while bytes arrive that complete nothing, such as zeros before a chunk's
/// length.
#[derive(Debug, Default)]
pub(crate) struct ReadBurst {
    bytes: usize,
}

impl ReadBurst {
    /// Reads from a stream. After too many bytes, the task is woken again instead, behind those that wait.
    pub(crate) fn poll_read(
        &mut self,
        stream: Pin<&mut impl AsyncRead>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes >= MAX_BURST_BYTES {
            self.bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(MAX_BURST_BYTES - self.bytes);
        let read = stream.poll_read(context, &mut buffer[..length]);
        match read {
            Poll::Ready(Ok(length)) => self.bytes += length,
            Poll::Ready(Err(_)) | Poll::Pending => self.bytes = 0,
        }
        read
    }
}
