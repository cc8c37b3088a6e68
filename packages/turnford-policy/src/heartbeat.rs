//! Whether a thread that serves clients is at work.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Moment;

/// Age of the last turn from which a thread counts as stuck. A turn comes several times a second;
/// the rest is for a VM that is slow or was frozen. The platform takes a node out after two
/// answers, which come every second.
const STUCK_AGE: Duration = Duration::from_secs(2);

/// When a thread last came round to taking connections.
///
/// Another thread answers the platform's question whether a node is ready. Without this mark a node
/// whose serving thread has ended or hangs would be sent connections that nobody takes.
#[derive(Debug, Default)]
pub struct ThreadHeartbeat {
    /// Milliseconds of the node's clock.
    last: AtomicU64,
}

impl ThreadHeartbeat {
    /// Notes a turn.
    pub fn beat(&self, now: Moment) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.last.store(millis, Ordering::Relaxed);
    }

    /// Tells whether the thread is at work. One that has not begun counts from the clock's start.
    pub fn is_alive(&self, now: Moment) -> bool {
        let last = Duration::from_millis(self.last.load(Ordering::Relaxed));
        now.saturating_sub(last) < STUCK_AGE
    }
}
