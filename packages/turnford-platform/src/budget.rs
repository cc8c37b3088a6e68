//! Rate limit of a node's calls to the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use turnford_policy::Clock;
use turnford_policy::Moment;

/// Burst size of the token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Numbers of calls since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls that the budget refused.
    pub refused: u64,
}

/// Token bucket for all calls of one node.
pub struct CallBudget {
    rate: f64,
    clock: Arc<dyn Clock>,
    bucket: Mutex<(f64, Moment)>,
    reads: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
}

impl CallBudget {
    /// Creates a budget of `rate` calls per second.
    pub fn new(rate: f64, clock: Arc<dyn Clock>) -> Self {
        let capacity = (rate * BURST_SECONDS).max(1.0);
        Self {
            rate,
            bucket: Mutex::new((capacity, clock.now())),
            clock,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Takes a token for a read. Returns false if the budget is exhausted.
    pub fn take_read(&self) -> bool {
        self.take(&self.reads)
    }

    /// Takes a token for a write. Returns false if the budget is exhausted.
    pub fn take_write(&self) -> bool {
        self.take(&self.writes)
    }

    /// Returns the numbers of calls.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    fn take(&self, counter: &AtomicU64) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, refilled_at) = *bucket;
        let now = self.clock.now();
        let refill = now.saturating_sub(refilled_at).as_secs_f64() * self.rate;
        let capacity = (self.rate * BURST_SECONDS).max(1.0);
        let tokens = (tokens + refill).min(capacity);
        let granted = tokens >= 1.0;
        *bucket = (if granted { tokens - 1.0 } else { tokens }, now);
        let counter = if granted { counter } else { &self.refused };
        counter.fetch_add(1, Ordering::Relaxed);
        granted
    }
}
