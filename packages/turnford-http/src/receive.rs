//! Answers that may be large: how long they may take, and whether one is arriving.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;

/// Longest pause within an answer that is arriving. Lost packets are sent again within it; a
/// connection that fell silent has to be found out before a change must be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Longest time for a whole answer: the largest value of the platform's store arrives within it on a
/// tenth of the smallest link.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(10);

/// How long an answer may take.
///
/// An answer that is arriving is not given up for its size: what has come would be lost, and asking
/// again takes the link from the next try: a node with a full link would ask for a large configuration
/// for ever and never have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Time until the answer begins.
    pub first_byte: Duration,
    /// Time for each further part of it.
    pub idle: Duration,
    /// Time for all of it, once it has begun.
    pub total: Duration,
}

impl ResponseTimeouts {
    /// Makes the limit of an answer that has to begin within some time.
    pub const fn new(begin: Duration) -> Self {
        Self {
            first_byte: begin,
            idle: LONGEST_PAUSE,
            total: LONGEST_ARRIVAL,
        }
    }
}

/// Why an answer that had begun did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError<E> {
    /// It stopped coming after so many bytes.
    Stalled(usize),
    /// It is larger than its reader takes.
    TooLarge,
    /// It broke off.
    Transport(E),
}

/// Reads the parts of an answer that has begun, of at most `bound` bytes, for as long as they come.
/// `next` gives the next part, and `None` at the end.
///
/// # Errors
///
/// Returns why the answer did not come whole.
pub async fn read_chunks<E>(
    limit: &ResponseTimeouts,
    bound: usize,
    mut next: impl AsyncFnMut() -> Option<Result<Bytes, E>>,
) -> Result<Vec<u8>, ReceiveError<E>> {
    let received = Cell::new(0);
    let read = async {
        let mut bytes = Vec::new();
        loop {
            let stalled = async {
                Timer::after(limit.idle).await;
                Some(Err(ReceiveError::Stalled(received.get())))
            };
            let part = async {
                let part = next().await?;
                Some(part.map_err(ReceiveError::Transport))
            };
            let Some(part) = part.or(stalled).await else {
                return Ok(bytes);
            };
            bytes.extend_from_slice(&part?);
            received.set(bytes.len());
            if bytes.len() > bound {
                return Err(ReceiveError::TooLarge);
            }
        }
    };
    let over = async {
        Timer::after(limit.total).await;
        Err(ReceiveError::Stalled(received.get()))
    };
    read.or(over).await
}

/// Counts the answers that are arriving at a client.
#[derive(Debug, Default)]
pub struct ReceiveCounter {
    arriving: Cell<u32>,
}

/// An answer that is arriving, until it is dropped.
#[derive(Debug)]
pub struct ReceiveGuard<'a> {
    count: &'a ReceiveCounter,
}

impl ReceiveCounter {
    /// Notes that an answer begins.
    pub fn begin(&self) -> ReceiveGuard<'_> {
        self.arriving.set(self.arriving.get() + 1);
        ReceiveGuard { count: self }
    }

    /// Tells whether an answer is arriving.
    pub fn is_active(&self) -> bool {
        self.arriving.get() > 0
    }
}

impl Drop for ReceiveGuard<'_> {
    fn drop(&mut self) {
        let arriving = &self.count.arriving;
        arriving.set(arriving.get() - 1);
    }
}
