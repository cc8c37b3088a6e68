//! Bodies of calls and answers.

use std::cell::Cell;

use async_io::Timer;
use futures_lite::FutureExt;
use h2::RecvStream;
use turnford_policy::AnswerLimit;

use crate::FrameFault;
use crate::PeerFault;
use crate::FRAME_LIMIT;

/// Reads a body of bounded size for as long as it keeps coming.
pub(crate) async fn read_body(
    mut body: RecvStream,
    limit: &AnswerLimit,
) -> Result<Vec<u8>, PeerFault> {
    let received = Cell::new(0);
    let read = async {
        let mut bytes = Vec::new();
        loop {
            let stalled = async {
                Timer::after(limit.pause).await;
                Some(Err(PeerFault::Stalled(received.get())))
            };
            let chunk = async {
                let chunk = body.data().await?;
                Some(chunk.map_err(|_| PeerFault::Broken))
            };
            let Some(chunk) = chunk.or(stalled).await else {
                return Ok(bytes);
            };
            let chunk = chunk?;
            bytes.extend_from_slice(&chunk);
            received.set(bytes.len());
            if bytes.len() > FRAME_LIMIT {
                return Err(PeerFault::Frame(FrameFault::TooLarge));
            }
            let taken = body.flow_control().release_capacity(chunk.len());
            taken.map_err(|_| PeerFault::Broken)?;
        }
    };
    let over = async {
        Timer::after(limit.whole).await;
        Err(PeerFault::Stalled(received.get()))
    };
    read.or(over).await
}
