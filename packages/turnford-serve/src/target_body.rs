//! Bodies of targets' responses.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::response::Parts;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use turnford_http::BodyFraming;
use turnford_policy::EventScanner;
use turnford_policy::Moment;
use turnford_wire::PeerBody;

use crate::shared::ServeShared;
use crate::wait::wait_until;

/// Where a body arrives.
pub(crate) enum BodySource {
    /// On a connection to the target.
    Direct(Incoming),
    /// Through another node.
    Relayed(PeerBody),
}

/// Body of a target's response. It ends without an error only if it is complete: by its framing, or by an
/// orderly close if it has none, and between two events if it is an event stream. It ends at its deadline
/// whether or not its peer sends anything.
pub(crate) struct TargetBody {
    source: BodySource,
    deadline: Pin<Box<dyn Future<Output = ()>>>,
    framing: BodyFraming,
    /// Follows the events of an event stream.
    scanner: Option<EventScanner>,
}

/// Why a body ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetBodyError {
    /// Its source failed.
    Broken(String),
    /// It ended inside an event.
    PartialEvent,
    /// Its deadline passed.
    Late,
}

impl fmt::Display for TargetBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetBodyError::Broken(error) => f.write_str(error),
            TargetBodyError::PartialEvent => f.write_str("the stream ended inside an event"),
            TargetBodyError::Late => f.write_str("the deadline passed"),
        }
    }
}

impl std::error::Error for TargetBodyError {}

impl TargetBody {
    /// Creates the body of the response with the head `parts`, which fails at `deadline`.
    pub(crate) fn new(
        shared: &Arc<ServeShared>,
        source: BodySource,
        parts: &Parts,
        deadline: Moment,
    ) -> Self {
        let shared = shared.clone();
        Self {
            source,
            deadline: Box::pin(async move { wait_until(&shared, deadline).await }),
            framing: BodyFraming::of_response(parts),
            scanner: None,
        }
    }

    /// Declares the body an event stream. Must be called before the body is read.
    pub(crate) fn expect_events(&mut self) {
        self.scanner = Some(EventScanner::default());
    }

    /// Returns the length that the head announces, if it is known.
    pub(crate) fn announced_length(&self) -> Option<usize> {
        match &self.source {
            BodySource::Direct(body) => usize::try_from(body.size_hint().exact()?).ok(),
            BodySource::Relayed(_) => None,
        }
    }

    /// Returns how the target marks the end of the body.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns whether the part read so far ends between two events, which all bodies but event streams do.
    pub(crate) fn is_between_events(&self) -> bool {
        self.scanner
            .is_none_or(|scanner| scanner.is_between_events())
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = TargetBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TargetBodyError>>> {
        let body = self.get_mut();
        let frame = body.source.poll_frame(context);
        if frame.is_pending() {
            let late = body.deadline.as_mut().poll(context);
            return late.map(|()| Some(Err(TargetBodyError::Late)));
        }
        if let (Poll::Ready(Some(Ok(frame))), Some(scanner)) = (&frame, &mut body.scanner) {
            scanner.read(frame.data_ref().map_or(&[], |bytes| &bytes[..]));
        }
        if matches!(frame, Poll::Ready(None)) && !body.is_between_events() {
            return Poll::Ready(Some(Err(TargetBodyError::PartialEvent)));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Direct(body) => self.is_between_events() && body.is_end_stream(),
            BodySource::Relayed(_) => false,
        }
    }
}

impl BodySource {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TargetBodyError>>> {
        match self {
            BodySource::Direct(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|error| TargetBodyError::Broken(error.to_string()))
            }
            BodySource::Relayed(body) => {
                let chunk = body.poll_chunk(context);
                let frame = chunk.map_ok(Frame::data);
                frame.map_err(|error| TargetBodyError::Broken(format!("relaying node: {error}")))
            }
        }
    }
}
