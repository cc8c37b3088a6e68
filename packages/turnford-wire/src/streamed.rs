//! Replies that are followed by bytes of unknown length.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::Stream;
use h2::Reason;
use h2::RecvStream;
use h2::SendStream;

use crate::PeerError;

/// Header with the length of the reply's frame, in bytes, if further bytes follow it.
pub(crate) const FRAME_LENGTH_HEADER: &str = "frame-length";

/// Bytes that follow a reply, in chunks. `None` for a chunk ends them as incomplete.
pub type ReplyBody = Pin<Box<dyn Stream<Item = Option<Bytes>>>>;

/// A reply, and the bytes that follow it, if any.
pub struct StreamedReply<R> {
    /// The reply.
    pub reply: R,
    /// Bytes that follow it.
    pub body: Option<ReplyBody>,
    /// Time after which these bytes end as incomplete, even if the caller does not read them.
    pub timeout: Duration,
}

impl<R> From<R> for StreamedReply<R> {
    fn from(reply: R) -> Self {
        Self {
            reply,
            body: None,
            timeout: Duration::ZERO,
        }
    }
}

/// Bytes that follow a reply, on the side of the caller. Dropping them cancels the call.
pub struct PeerBody {
    stream: RecvStream,
    /// Bytes that were received together with the frame.
    first: Bytes,
}

impl PeerBody {
    pub(crate) fn new(stream: RecvStream, first: Bytes) -> Self {
        Self { stream, first }
    }

    /// Polls for the next chunk. Returns an error if the bytes end incomplete.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PeerError>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        self.stream.poll_data(context).map(|chunk| {
            let chunk = chunk?.and_then(|chunk| {
                let released = self.stream.flow_control().release_capacity(chunk.len());
                released.map(|()| chunk)
            });
            Some(chunk.map_err(|_| PeerError::Disconnected))
        })
    }
}

/// Sends the bytes that follow a reply until they end or the caller cancels the call.
pub(crate) async fn send_body(mut stream: SendStream<Bytes>, mut body: ReplyBody) {
    while let Some(chunk) = next_chunk(&mut stream, &mut body).await {
        let Some(chunk) = chunk else {
            stream.send_reset(Reason::INTERNAL_ERROR);
            return;
        };
        if !send_chunk(&mut stream, chunk).await {
            return;
        }
    }
    // If the caller has cancelled the call, nobody waits for the end.
    let _ = stream.send_data(Bytes::new(), true);
}

/// Waits for the next chunk, or for the caller to cancel the call, which ends the bytes.
async fn next_chunk(stream: &mut SendStream<Bytes>, body: &mut ReplyBody) -> Option<Option<Bytes>> {
    poll_fn(|context| {
        if stream.poll_reset(context).is_ready() {
            return Poll::Ready(None);
        }
        body.as_mut().poll_next(context)
    })
    .await
}

/// Sends a chunk as the caller's window allows. Returns false if the call was cancelled.
async fn send_chunk(stream: &mut SendStream<Bytes>, mut chunk: Bytes) -> bool {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        let Some(Ok(capacity)) = poll_fn(|context| stream.poll_capacity(context)).await else {
            return false;
        };
        let part = chunk.split_to(capacity.min(chunk.len()));
        if stream.send_data(part, false).is_err() {
            return false;
        }
    }
    true
}
