//! What the traffic thread and the control thread tell each other of requests that are kept in the store, since
//! targets crashed under them more than once.

use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

use turnford_fleet::CrashUpdate;
use turnford_policy::RequestDigest;

/// Orders that may wait for the control thread; each is a call to the store.
const ORDER_LIMIT: usize = 64;

/// What the control thread is to do with a kept request.
pub(crate) enum KeepOrder {
    /// Write what is known of it.
    Keep(RequestDigest, Vec<CrashUpdate>),
    /// Remove it: it ended well.
    Forget(RequestDigest),
}

/// What the traffic thread and the control thread tell each other of kept requests.
pub(crate) struct KeptSuspects {
    orders: (Sender<KeepOrder>, Receiver<KeepOrder>),
    learned: Mutex<Vec<CrashUpdate>>,
}

impl Default for KeptSuspects {
    fn default() -> Self {
        Self {
            orders: async_channel::bounded(ORDER_LIMIT),
            learned: Mutex::default(),
        }
    }
}

impl KeptSuspects {
    /// Returns the next order, once there is one.
    pub(crate) async fn next_order(&self) -> Option<KeepOrder> {
        self.orders.1.recv().await.ok()
    }

    /// Notes what the store holds.
    pub(crate) fn note_learned(&self, news: Vec<CrashUpdate>) {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.extend(news);
    }

    /// Takes what the store held.
    pub(crate) fn take_learned(&self) -> Vec<CrashUpdate> {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *learned)
    }

    /// Has the control thread do something.
    pub(crate) fn order(&self, order: KeepOrder) {
        if self.orders.0.try_send(order).is_err() {
            log::warn!(
                "a request that crashes targets is not kept: {ORDER_LIMIT} wait for the store"
            );
        }
    }
}
