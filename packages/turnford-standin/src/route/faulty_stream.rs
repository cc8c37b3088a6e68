//! Connections of a target that repeat responses or fall silent within them.

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
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use super::endless::EndlessResponses;
use super::endless::EndlessWriter;
use super::target::lock;

/// Number of bytes sent of a response that stalls within its head.
const HEAD_PART: usize = 12;

/// Where a response falls silent for good, with its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPoint {
    /// Before its first byte.
    Start,
    /// Within its head.
    Head,
    /// After its head and half of the body that is written with it.
    Body,
}

/// Faults of all connections of a target.
#[derive(Debug, Default)]
pub(super) struct StreamFaults {
    /// Ratio of the responses that are repeated: one in so many; 0 for none.
    repeat_every: AtomicUsize,
    /// Ratio of the responses that stall, in the same way, and where they do.
    stall_every: Mutex<(usize, Option<StallPoint>)>,
    responses: AtomicUsize,
    stalls: AtomicUsize,
    repeats: AtomicUsize,
    pub(super) endless: Arc<EndlessResponses>,
}

impl StreamFaults {
    pub(super) fn repeat(&self, every: usize) {
        self.repeat_every.store(every, Ordering::SeqCst);
    }

    pub(super) fn stall(&self, every: usize, point: StallPoint) {
        *lock(&self.stall_every) = (every, Some(point));
    }

    /// Returns whether responses are repeated, stall or have no end at present.
    pub(super) fn is_active(&self) -> bool {
        self.repeat_every.load(Ordering::SeqCst) > 0
            || lock(&self.stall_every).0 > 0
            || self.endless.is_set()
    }

    /// Returns the number of responses that were sent once more.
    pub(super) fn repeat_count(&self) -> usize {
        self.repeats.load(Ordering::SeqCst)
    }

    /// Returns the number of responses that stalled.
    pub(super) fn stall_count(&self) -> usize {
        self.stalls.load(Ordering::SeqCst)
    }

    fn takes_repeat(&self) -> bool {
        let every = self.repeat_every.load(Ordering::SeqCst);
        every > 0 && (self.responses.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(every)
    }

    fn take_stall(&self) -> Option<StallPoint> {
        let (every, point) = *lock(&self.stall_every);
        let is_due =
            every > 0 && (self.responses.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(every);
        let point = point.filter(|_| is_due);
        if point.is_some() {
            self.stalls.fetch_add(1, Ordering::SeqCst);
        }
        point
    }
}

/// A connection of a target with its faults.
pub(super) struct FaultyStream {
    stream: TcpStream,
    faults: Arc<StreamFaults>,
    /// Bytes of the response to the latest request.
    response: Vec<u8>,
    /// Bytes of a repeated response that are still to be sent.
    repeated: Vec<u8>,
    is_stalled: bool,
    /// Response without end, once its request has arrived.
    endless: Option<EndlessWriter>,
}

impl FaultyStream {
    pub(super) fn new(stream: TcpStream, faults: &Arc<StreamFaults>) -> Self {
        Self {
            stream,
            faults: faults.clone(),
            response: Vec::new(),
            repeated: Vec::new(),
            is_stalled: false,
            endless: None,
        }
    }

    /// Notes that a request arrives: the response to the one before may be repeated now.
    fn begin_request(&mut self) {
        let response = std::mem::take(&mut self.response);
        if !response.is_empty() && self.faults.takes_repeat() {
            self.faults.repeats.fetch_add(1, Ordering::SeqCst);
            self.repeated = response;
        }
    }

    fn poll_repeated(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.repeated.is_empty() {
            let written = Pin::new(&mut self.stream).poll_write(context, &self.repeated);
            self.repeated.drain(..ready!(written)?);
        }
        Poll::Ready(Ok(()))
    }

    /// Waits for the end of a stalled connection.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut ignored = [0; 1024];
        loop {
            let read = Pin::new(&mut self.stream).poll_read(context, &mut ignored);
            match ready!(read)? {
                0 => return Poll::Ready(Ok(0)),
                _ => continue,
            }
        }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let faulty = self.get_mut();
        if faulty.is_stalled {
            return faulty.poll_end(context);
        }
        let read = ready!(Pin::new(&mut faulty.stream).poll_read(context, buffer))?;
        if read > 0 {
            faulty.begin_request();
            if faulty.endless.is_none() {
                faulty.endless = faulty.faults.endless.respond(&buffer[..read]);
            }
            // What the socket does not take now goes before the response.
            if let Poll::Ready(Err(error)) = faulty.poll_repeated(context) {
                return Poll::Ready(Err(error));
            }
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let faulty = self.get_mut();
        ready!(faulty.poll_repeated(context))?;
        if let Some(endless) = &mut faulty.endless {
            return endless.poll_write(&mut faulty.stream, context).map(Err);
        }
        if faulty.is_stalled {
            return Poll::Ready(Ok(bytes.len()));
        }
        let stall = match faulty.response.is_empty() {
            true => faulty.faults.take_stall(),
            false => None,
        };
        let part = stall.map_or(bytes, |point| &bytes[..stall_length(bytes, point)]);
        if part.is_empty() {
            faulty.is_stalled = true;
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut faulty.stream).poll_write(context, part))?;
        if stall.is_some() {
            faulty.is_stalled = true;
            return Poll::Ready(Ok(bytes.len()));
        }
        faulty.response.extend_from_slice(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_stalled {
            return self.poll_end(context).map_ok(|_| ());
        }
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Returns how many bytes of a response are sent before it stalls.
fn stall_length(bytes: &[u8], point: StallPoint) -> usize {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    match (point, head) {
        (StallPoint::Start, _) => 0,
        (StallPoint::Head, _) => HEAD_PART.min(bytes.len()),
        (StallPoint::Body, Some(end)) => {
            let head = end + 4;
            head + (bytes.len() - head) / 2
        }
        (StallPoint::Body, None) => bytes.len(),
    }
}
