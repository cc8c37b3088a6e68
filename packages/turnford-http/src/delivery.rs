//! Count of clients' connections that have responses to deliver.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Number of clients' connections that may have responses to deliver. A connection that was told to close counts
/// until its client's system has received everything; before that, each open connection counts.
#[derive(Debug, Default)]
pub struct DeliveryCounter {
    active: AtomicU64,
}

impl DeliveryCounter {
    /// Returns the number of these connections.
    pub fn count(&self) -> u64 {
        self.active.load(Ordering::SeqCst)
    }

    pub(crate) fn begin(self: &Arc<Self>) -> DeliveryGuard {
        self.active.fetch_add(1, Ordering::SeqCst);
        DeliveryGuard {
            counter: self.clone(),
        }
    }
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub(crate) struct DeliveryGuard {
    counter: Arc<DeliveryCounter>,
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        self.counter.active.fetch_sub(1, Ordering::SeqCst);
    }
}
