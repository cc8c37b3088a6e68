//! The clock as an interface.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;
use rustix::time::Timespec;

use crate::Moment;

/// Tells the time since an arbitrary start; never goes back.
pub trait Clock: Send + Sync {
    /// Returns the time now.
    fn now(&self) -> Moment;
}

/// The machine's clock that never goes back and goes on while the machine is suspended, counted
/// from the clock's creation.
pub struct SystemClock {
    start: Moment,
}

impl SystemClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { start: boot_time() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        boot_time().saturating_sub(self.start)
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

/// Returns the time since the machine's start, with the time for which it was suspended.
pub fn boot_time() -> Moment {
    to_moment(clock_gettime(ClockId::Boottime))
}

/// Returns the time for which the machine ran.
pub fn monotonic_time() -> Moment {
    to_moment(clock_gettime(ClockId::Monotonic))
}

/// Converts the system's time, which is never negative for these clocks.
fn to_moment(time: Timespec) -> Moment {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}

/// Shortest sleep that counts: above what lies between reading two clocks on a busy machine.
const SHORTEST_SLEEP: Duration = Duration::from_millis(200);

/// Finds out that the machine was suspended, from a clock that counts that time and one that
/// doesn't.
#[derive(Debug)]
pub struct SuspendDetector {
    /// What the one was before the other at the last look.
    ahead: Duration,
}

impl SuspendDetector {
    /// Makes a watch from both clocks' times now.
    pub fn new(boot: Moment, steady: Moment) -> Self {
        Self {
            ahead: boot.saturating_sub(steady),
        }
    }

    /// Returns for how long the machine was suspended since the last look, `None` if it was not.
    pub fn check(&mut self, boot: Moment, steady: Moment) -> Option<Duration> {
        let ahead = boot.saturating_sub(steady);
        let slept = ahead.saturating_sub(std::mem::replace(&mut self.ahead, ahead));
        (slept >= SHORTEST_SLEEP).then_some(slept)
    }
}
