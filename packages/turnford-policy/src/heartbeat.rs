//! Liveness of the thread that serves clients.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Moment;

/// Age of the last heartbeat from which a thread counts as stuck. Heartbeats occur several times a
/// second; the margin covers VMs that are slow or were frozen. The platform probes a node every
/// second and removes it after two responses that it is not ready.
const STUCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time at which a thread last returned to accepting connections.
///
/// The platform's readiness probes are answered by another thread. Without the heartbeat a node
/// whose serving thread has ended or hangs would keep receiving connections that are never
/// accepted.
#[derive(Debug, Default)]
pub struct ThreadHeartbeat {
    /// Time of the last heartbeat in milliseconds of the node's clock.
    last: AtomicU64,
}

impl ThreadHeartbeat {
    /// Records a heartbeat.
    pub fn beat(&self, now: Moment) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.last.store(millis, Ordering::Relaxed);
    }

    /// Returns true if the thread is alive. Without a heartbeat the age counts from the clock's
    /// start.
    pub fn is_alive(&self, now: Moment) -> bool {
        let last = Duration::from_millis(self.last.load(Ordering::Relaxed));
        now.saturating_sub(last) < STUCK_TIMEOUT
    }
}
