//! Bodies of clients' requests.

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::EXPECT;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use turnford_policy::ResultCode;

use crate::body_budget::BodyKind;
use crate::body_buffer::BodyBuffer;
use crate::body_buffer::BufferError;
use crate::forward::RETRY_AFTER;
use crate::record::RequestRecord;
use crate::request::EarlyRefusal;
use crate::traffic::Traffic;

/// Reads the body of a request.
///
/// # Errors
///
/// Returns the refusal of a body that is too large or late, or for which the node has no room; what its client
/// still sends is discarded.
pub(crate) async fn read_body(
    traffic: &Traffic,
    record: &RequestRecord,
    parts: &Parts,
    mut incoming: Incoming,
    limit: usize,
) -> Result<Bytes, EarlyRefusal> {
    let mut buffer = BodyBuffer::new(&traffic.shared.bodies, BodyKind::Request, limit);
    let read = fill_buffer(&mut buffer, &mut incoming);
    let late = async {
        record.wait_deadline().await;
        Err(EarlyRefusal::new(
            ResultCode::DeadlineTooShort,
            "the body came too late",
        ))
    };
    match read.or(late).await {
        Ok(()) => Ok(buffer.finish()),
        Err(refusal) => {
            if refusal.code == ResultCode::Shed {
                traffic.shared.metrics.refused_bodies.inc();
            }
            // A client that waits to be told to send its body is not told to.
            if !parts.headers.contains_key(EXPECT) {
                let time = record.remaining();
                let discard = discard_body(incoming, limit);
                let late = async move {
                    Timer::after(time).await;
                };
                traffic.executor.spawn(discard.or(late)).detach();
            }
            Err(refusal)
        }
    }
}

async fn fill_buffer(buffer: &mut BodyBuffer, incoming: &mut Incoming) -> Result<(), EarlyRefusal> {
    let length = incoming.size_hint().lower();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    buffer.reserve(length).map_err(refuse_body)?;
    while let Some(frame) = incoming.frame().await {
        let frame =
            frame.map_err(|_| EarlyRefusal::new(ResultCode::BadRequest, "the body broke off"))?;
        // Trailers are ignored.
        let chunk = frame.into_data().unwrap_or_default();
        buffer.push(&chunk).map_err(refuse_body)?;
    }
    Ok(())
}

fn refuse_body(error: BufferError) -> EarlyRefusal {
    match error {
        BufferError::TooLarge(_) => {
            EarlyRefusal::new(ResultCode::InputTooLarge, "the body is over the limit")
        }
        BufferError::NoRoom(_) => EarlyRefusal {
            code: ResultCode::Shed,
            reason: "the node has no room for the body".to_owned(),
            retry_after: Some(RETRY_AFTER),
        },
    }
}

/// Reads what a client still sends of a refused body, up to `limit` bytes: its connection would be reset, and its
/// response lost, if bytes were left unread.
async fn discard_body(mut incoming: Incoming, limit: usize) {
    let mut length = 0;
    while let Some(Ok(frame)) = incoming.frame().await {
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return;
        }
    }
}
