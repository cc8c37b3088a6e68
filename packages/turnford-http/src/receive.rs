//! Receiving of responses that may be large: timeouts, and a count of those in progress.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;

use crate::wait_timeout;

/// Maximum idle time while a response is being received. Long enough for lost packets to be retransmitted;
/// short enough to detect a dead connection before a configuration change has to be in force.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum time to receive a response: enough for the largest value of the platform's store over a tenth
/// of the slowest link.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts for receiving a response.
///
/// A response that keeps arriving is not abandoned because it is large. Retrying would discard the received
/// part and compete with the next attempt for the link, so a node on a saturated link would request a large
/// configuration forever without receiving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Time until the response begins.
    pub first_byte: Duration,
    /// Time until each further chunk arrives.
    pub idle: Duration,
    /// Time for the whole response once it has begun.
    pub total: Duration,
}

impl ResponseTimeouts {
    /// Creates timeouts with the given first-byte timeout and default values otherwise.
    pub const fn new(first_byte: Duration) -> Self {
        Self {
            first_byte,
            idle: IDLE_TIMEOUT,
            total: TOTAL_TIMEOUT,
        }
    }
}

/// Reason a response that had begun was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError<E> {
    /// The response stalled, or exceeded the total timeout, after this many bytes.
    Stalled(usize),
    /// The response exceeds the size limit.
    TooLarge,
    /// The transport failed.
    Transport(E),
}

/// Reads the chunks of a response of at most `max_bytes` bytes, under the idle and total timeouts.
/// `next` returns the next chunk, or `None` at the end.
///
/// # Errors
///
/// Returns why the response was not received completely.
pub async fn read_chunks<E>(
    timeouts: &ResponseTimeouts,
    max_bytes: usize,
    mut next: impl AsyncFnMut() -> Option<Result<Bytes, E>>,
) -> Result<Vec<u8>, ReceiveError<E>> {
    let received = Cell::new(0);
    let read = async {
        let mut bytes = Vec::new();
        loop {
            let stalled = async {
                wait_timeout(timeouts.idle).await;
                Some(Err(ReceiveError::Stalled(received.get())))
            };
            let chunk = async {
                let chunk = next().await?;
                Some(chunk.map_err(ReceiveError::Transport))
            };
            let Some(chunk) = chunk.or(stalled).await else {
                return Ok(bytes);
            };
            bytes.extend_from_slice(&chunk?);
            received.set(bytes.len());
            if bytes.len() > max_bytes {
                return Err(ReceiveError::TooLarge);
            }
        }
    };
    let expired = async {
        Timer::after(timeouts.total).await;
        Err(ReceiveError::Stalled(received.get()))
    };
    read.or(expired).await
}

/// Number of responses that a client is receiving.
#[derive(Debug, Default)]
pub struct ReceiveCounter {
    active: Cell<u32>,
}

/// Counts one response as being received until the guard is dropped.
#[derive(Debug)]
pub struct ReceiveGuard<'a> {
    counter: &'a ReceiveCounter,
}

impl ReceiveCounter {
    /// Counts a response until the returned guard is dropped.
    pub fn begin(&self) -> ReceiveGuard<'_> {
        self.active.set(self.active.get() + 1);
        ReceiveGuard { counter: self }
    }

    /// Returns whether any response is being received.
    pub fn is_active(&self) -> bool {
        self.active.get() > 0
    }
}

impl Drop for ReceiveGuard<'_> {
    fn drop(&mut self) {
        let active = &self.counter.active;
        active.set(active.get() - 1);
    }
}
