//! Bodies of calls and answers.

use h2::RecvStream;
use turnford_http::read_parts;
use turnford_http::AnswerLimit;
use turnford_http::ArrivalFault;

use crate::FrameFault;
use crate::PeerFault;
use crate::FRAME_LIMIT;

/// Reads a body of bounded size for as long as it keeps coming.
pub(crate) async fn read_body(
    mut body: RecvStream,
    limit: &AnswerLimit,
) -> Result<Vec<u8>, PeerFault> {
    let next = async || {
        let chunk = body.data().await?;
        let taken = chunk.and_then(|chunk| {
            let released = body.flow_control().release_capacity(chunk.len());
            released.map(|()| chunk)
        });
        Some(taken)
    };
    let read = read_parts(limit, FRAME_LIMIT, next).await;
    read.map_err(|fault| match fault {
        ArrivalFault::Stalled(received) => PeerFault::Stalled(received),
        ArrivalFault::TooLarge => PeerFault::Frame(FrameFault::TooLarge),
        ArrivalFault::Broken(_) => PeerFault::Broken,
    })
}
