//! Reading of request and reply bodies.

use h2::RecvStream;
use turnford_http::read_chunks;
use turnford_http::ReceiveError;
use turnford_http::ResponseTimeouts;

use crate::FrameError;
use crate::PeerError;
use crate::FRAME_LIMIT;

/// Reads a body of at most [`FRAME_LIMIT`] bytes under the idle and total timeouts of `limit`.
pub(crate) async fn read_body(
    mut body: RecvStream,
    limit: &ResponseTimeouts,
) -> Result<Vec<u8>, PeerError> {
    let next = async || {
        let chunk = body.data().await?;
        let taken = chunk.and_then(|chunk| {
            let released = body.flow_control().release_capacity(chunk.len());
            released.map(|()| chunk)
        });
        Some(taken)
    };
    let read = read_chunks(limit, FRAME_LIMIT, next).await;
    read.map_err(|error| match error {
        ReceiveError::Stalled(received) => PeerError::Stalled(received),
        ReceiveError::TooLarge => PeerError::Reply(FrameError::TooLarge),
        ReceiveError::Transport(_) => PeerError::Disconnected,
    })
}
