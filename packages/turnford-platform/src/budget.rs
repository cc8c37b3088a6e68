//! The node's budget of calls to the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use turnford_policy::Clock;
use turnford_policy::Moment;

/// Seconds of the rate that may be used at once.
const BURST_SECONDS: f64 = 2.0;

/// Counted calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls that the budget refused.
    pub refused: u64,
}

/// Token bucket over all calls of one node.
pub struct CallBudget {
    rate: f64,
    clock: Arc<dyn Clock>,
    bucket: Mutex<(f64, Moment)>,
    reads: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
}

impl CallBudget {
    /// Makes a budget of `rate` calls a second.
    pub fn new(rate: f64, clock: Arc<dyn Clock>) -> Self {
        let full = (rate * BURST_SECONDS).max(1.0);
        Self {
            rate,
            bucket: Mutex::new((full, clock.now())),
            clock,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Takes one read; false if the budget is used up.
    pub fn take_read(&self) -> bool {
        self.take(&self.reads)
    }

    /// Takes one write; false if the budget is used up.
    pub fn take_write(&self) -> bool {
        self.take(&self.writes)
    }

    /// Returns the counted calls.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    fn take(&self, counter: &AtomicU64) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, filled_at) = *bucket;
        let now = self.clock.now();
        let earned = now.saturating_sub(filled_at).as_secs_f64() * self.rate;
        let full = (self.rate * BURST_SECONDS).max(1.0);
        let tokens = (tokens + earned).min(full);
        let granted = tokens >= 1.0;
        *bucket = (if granted { tokens - 1.0 } else { tokens }, now);
        let counter = if granted { counter } else { &self.refused };
        counter.fetch_add(1, Ordering::Relaxed);
        granted
    }
}
