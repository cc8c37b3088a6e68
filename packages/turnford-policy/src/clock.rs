//! Clock interface, its implementations and detection of system suspend.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;
use rustix::time::Timespec;

use crate::Moment;

/// Clock that returns the time since an arbitrary start and never goes back.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Moment;
}

/// Boot-time clock of the system, which includes time in suspend, relative to the clock's creation.
pub struct SystemClock {
    start: Moment,
}

impl SystemClock {
    /// Creates a clock at zero.
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

/// Clock for tests that advances only on request.
#[derive(Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// Advances the clock.
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

/// Returns the time since system boot, including time in suspend.
pub fn boot_time() -> Moment {
    to_moment(clock_gettime(ClockId::Boottime))
}

/// Returns the time since system boot, excluding time in suspend.
pub fn monotonic_time() -> Moment {
    to_moment(clock_gettime(ClockId::Monotonic))
}

/// Converts a system time, which is never negative for these clocks.
fn to_moment(time: Timespec) -> Moment {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}

/// Shortest suspend that is reported: longer than the delay between reading two clocks on a busy
/// machine.
const MIN_SUSPEND: Duration = Duration::from_millis(200);

/// Detects system suspend by comparing a clock that includes time in suspend with one that does
/// not.
#[derive(Debug)]
pub struct SuspendDetector {
    /// Difference between the clocks at the last check.
    offset: Duration,
}

impl SuspendDetector {
    /// Creates a detector from the current times of both clocks.
    pub fn new(boot: Moment, monotonic: Moment) -> Self {
        Self {
            offset: boot.saturating_sub(monotonic),
        }
    }

    /// Returns the time in suspend since the last check, or `None` if there was none.
    pub fn check(&mut self, boot: Moment, monotonic: Moment) -> Option<Duration> {
        let offset = boot.saturating_sub(monotonic);
        let suspended = offset.saturating_sub(std::mem::replace(&mut self.offset, offset));
        (suspended >= MIN_SUSPEND).then_some(suspended)
    }
}
