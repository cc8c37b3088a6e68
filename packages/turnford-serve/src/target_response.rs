//! Responses of targets, from their heads on.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::response::Parts;
use http_body_util::BodyExt;

use turnford_policy::TargetSpec;

use crate::body_budget::BodyKind;
use crate::body_buffer::BodyBuffer;
use crate::body_buffer::BufferError;
use crate::call_error::CallError;
use crate::oversize::record_oversize;
use crate::oversize::ResponsePart;
use crate::service_context::InFlightGuard;
use crate::target_body::TargetBody;
use crate::target_body::TargetBodyError;
use crate::target_connection::recycle_connection;
use crate::target_connection::DirectLink;
use crate::traffic::Traffic;

/// Maximum size of a refusal body, in bytes, that is read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Timeout for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// A target's response whose body has not been read yet.
pub(crate) struct TargetResponse {
    pub(crate) target: TargetSpec,
    pub(crate) parts: Parts,
    /// Whether the response announces that the target is leaving.
    pub(crate) is_leaving: bool,
    pub(crate) body: TargetBody,
    pub(crate) link: ResponseLink,
    pub(crate) _in_flight: InFlightGuard,
}

/// Where a response arrives.
pub(crate) enum ResponseLink {
    Direct(DirectLink),
    /// Through the node at this address.
    Relayed(SocketAddr),
}

impl TargetResponse {
    /// Reads the whole body and returns the connection to the pool.
    pub(crate) async fn collect(
        self,
        traffic: &Traffic,
        limit: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        self.collect_unless(traffic, limit, std::future::pending)
            .await
    }

    /// Reads the whole body, unless `stalled` resolves before the next part of it has arrived, and
    /// returns the connection to the pool.
    pub(crate) async fn collect_unless(
        self,
        traffic: &Traffic,
        limit: usize,
        stalled: impl AsyncFn(),
    ) -> Result<(Parts, Bytes), CallError> {
        let budget = &traffic.shared.bodies;
        let mut buffer = BodyBuffer::new(budget, BodyKind::Response, limit);
        let mut body = self.body;
        let give_up = |error: BufferError| {
            let reason = format_args!("{error}");
            record_oversize(traffic, &self.target, ResponsePart::Body, reason)
        };
        // The bytes of a response use the budget only once they arrive.
        if let Some(length) = body.announced_length().filter(|length| *length > limit) {
            return Err(give_up(BufferError::TooLarge(length)));
        }
        loop {
            let next = async { Ok(body.frame().await) };
            let stalled = async {
                stalled().await;
                Err(CallError::Unknown("the response stalled"))
            };
            match next.or(stalled).await? {
                // Trailers are ignored.
                Some(Ok(frame)) => {
                    let chunk = frame.into_data().unwrap_or_default();
                    buffer.push(&chunk).map_err(give_up)?;
                }
                Some(Err(error)) => return Err(body_error(&error)),
                None => break,
            }
        }
        recycle_link(traffic, self.link);
        Ok((self.parts, buffer.finish()))
    }

    /// Returns the address of the node that relays the response, `None` if it comes directly from
    /// the target.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        match self.link {
            ResponseLink::Direct(_) => None,
            ResponseLink::Relayed(peer) => Some(peer),
        }
    }

    /// Splits the response for a body that is relayed as it arrives.
    pub(crate) fn into_stream(self) -> (Parts, TargetBody, StreamRemainder) {
        let remainder = StreamRemainder {
            link: self.link,
            _in_flight: self._in_flight,
        };
        (self.parts, self.body, remainder)
    }
}

fn body_error(error: &TargetBodyError) -> CallError {
    match error {
        TargetBodyError::Late => CallError::Unknown("the response timed out"),
        _ => CallError::Disconnected("the response body was truncated"),
    }
}

/// What is needed to recycle the connection after the body of a stream has ended.
pub(crate) struct StreamRemainder {
    link: ResponseLink,
    _in_flight: InFlightGuard,
}

impl StreamRemainder {
    /// Returns the connection to the pool.
    pub(crate) fn finish(self, traffic: &Traffic) {
        recycle_link(traffic, self.link);
    }

    /// Returns whether the response comes directly from the target.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.link, ResponseLink::Direct(_))
    }
}

fn recycle_link(traffic: &Traffic, link: ResponseLink) {
    if let ResponseLink::Direct(link) = link {
        recycle_connection(traffic, link);
    }
}

/// Reads the rest of a refusal so that its connection can be reused.
pub(crate) async fn drain_refusal(traffic: &Traffic, link: ResponseLink, mut body: TargetBody) {
    let read = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_REFUSAL_BYTES {
                return false;
            }
        }
        true
    };
    let late = async {
        Timer::after(REFUSAL_TIMEOUT).await;
        false
    };
    if read.or(late).await {
        recycle_link(traffic, link);
    }
}
