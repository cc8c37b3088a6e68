//! Bodies of targets' responses.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use turnford_wire::PeerBody;

/// Body of a target's response, which arrives on a connection to the target or through another
/// node.
pub(crate) enum TargetBody {
    Direct(Incoming),
    Relayed(PeerBody),
}

/// Why a body ended before it was complete.
#[derive(Debug)]
pub(crate) struct TargetBodyError(String);

impl fmt::Display for TargetBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TargetBodyError {}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = TargetBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TargetBodyError>>> {
        match self.get_mut() {
            TargetBody::Direct(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map_err(|error| TargetBodyError(error.to_string()))
            }
            TargetBody::Relayed(body) => {
                let chunk = body.poll_chunk(context);
                let frame = chunk.map_ok(Frame::data);
                frame.map_err(|error| TargetBodyError(format!("relaying node: {error}")))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            TargetBody::Direct(body) => body.is_end_stream(),
            TargetBody::Relayed(_) => false,
        }
    }
}
