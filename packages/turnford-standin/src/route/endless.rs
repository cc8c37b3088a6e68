//! Responses that go on without end until the caller closes the connection.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use async_net::TcpStream;
use futures_lite::AsyncWrite;

use super::target::lock;

/// Minimum size of one write, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// Number of writes before other connections have their turn.
const MAX_WRITES: usize = 16;

/// A response that goes on without end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndlessResponse {
    /// Start of the paths whose calls receive it.
    pub path: &'static str,
    /// What is sent first. `{attempt}` stands for the attempt of the call.
    pub start: String,
    /// What is sent over and over after that.
    pub repeated: &'static [u8],
}

/// Endless responses of a target.
#[derive(Debug, Default)]
pub(super) struct EndlessResponses {
    current: Mutex<Option<EndlessResponse>>,
    begun: AtomicUsize,
    open: AtomicUsize,
}

impl EndlessResponses {
    pub(super) fn set(&self, response: Option<EndlessResponse>) {
        *lock(&self.current) = response;
    }

    pub(super) fn is_set(&self) -> bool {
        lock(&self.current).is_some()
    }

    /// Returns the number of responses that began.
    pub(super) fn begun(&self) -> usize {
        self.begun.load(Ordering::SeqCst)
    }

    /// Returns the number of responses whose callers have not closed the connection.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the response to a request whose head begins with `head`, if it has no end.
    pub(super) fn respond(self: &Arc<Self>, head: &[u8]) -> Option<EndlessWriter> {
        let current = lock(&self.current).clone()?;
        let head = String::from_utf8_lossy(head);
        let path = head.split(' ').nth(1)?;
        if !path.starts_with(current.path) {
            return None;
        }
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let attempt = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-turnford-attempt-id"));
        let attempt = attempt.map_or("", |(_, value)| value.trim());
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let count = BLOCK_BYTES.div_ceil(current.repeated.len().max(1));
        Some(EndlessWriter {
            responses: self.clone(),
            pending: current.start.replace("{attempt}", attempt).into_bytes(),
            offset: 0,
            block: current.repeated.repeat(count),
        })
    }
}

/// Writes one endless response.
pub(super) struct EndlessWriter {
    responses: Arc<EndlessResponses>,
    /// What is being written, and how much of it was.
    pending: Vec<u8>,
    offset: usize,
    /// What is written next, again and again.
    block: Vec<u8>,
}

impl EndlessWriter {
    /// Writes until the connection fails, whose error it returns.
    pub(super) fn poll_write(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Error> {
        for _ in 0..MAX_WRITES {
            if self.offset == self.pending.len() {
                self.pending.clone_from(&self.block);
                self.offset = 0;
            }
            let rest = &self.pending[self.offset..];
            match ready!(Pin::new(&mut *stream).poll_write(context, rest)) {
                Ok(0) => return Poll::Ready(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.offset += written,
                Err(error) => return Poll::Ready(error),
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Drop for EndlessWriter {
    fn drop(&mut self) {
        self.responses.open.fetch_sub(1, Ordering::SeqCst);
    }
}
