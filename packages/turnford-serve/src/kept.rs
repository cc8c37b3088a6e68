//! Requests under which targets crashed more than once, kept in the store: where all nodes end together,
//! those that start know of them, and don't have them crash as many targets again.

use std::rc::Rc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;

use turnford_fleet::CrashNews;
use turnford_policy::RequestDigest;

use crate::crash::take_crash;
use crate::traffic::Traffic;

/// Crashes from which on a request is kept: one tells too little, and has many neighbours.
const LEAST_CRASHES: usize = 2;

/// Time after a crash until it is kept: crashes of a group that lost power are known by then, and tell
/// nothing of a request.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Orders that may wait for the control thread; each is a call to the store.
const ORDER_LIMIT: usize = 64;

/// What the control thread is to do with a kept request.
pub(crate) enum KeepOrder {
    /// Write what is known of it.
    Keep(RequestDigest, Vec<CrashNews>),
    /// Remove it: it ended well.
    Forget(RequestDigest),
}

/// What the traffic thread and the control thread tell each other of kept requests.
pub(crate) struct KeptSuspects {
    orders: (Sender<KeepOrder>, Receiver<KeepOrder>),
    learned: Mutex<Vec<CrashNews>>,
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
    pub(crate) fn note_learned(&self, news: Vec<CrashNews>) {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.extend(news);
    }

    fn take_learned(&self) -> Vec<CrashNews> {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *learned)
    }

    fn order(&self, order: KeepOrder) {
        if self.orders.0.try_send(order).is_err() {
            log::warn!(
                "a request that crashes targets is not kept: {ORDER_LIMIT} wait for the store"
            );
        }
    }
}

/// Has a request kept under which this node saw a target crash, if that was not the first.
pub(crate) fn keep_crashed(traffic: &Rc<Traffic>, digest: RequestDigest) {
    let keeper = traffic.clone();
    let keep = async move {
        Timer::after(SETTLE_PAUSE).await;
        let now = keeper.shared.now();
        let news = keeper.crashes.table.borrow().news_of(now, &digest);
        if news.len() >= LEAST_CRASHES {
            keeper.shared.kept.order(KeepOrder::Keep(digest, news));
        }
    };
    traffic.executor.spawn(keep).detach();
}

/// Has a request removed that had been kept, and ended well.
pub(crate) fn forget_cleared(traffic: &Traffic, digest: RequestDigest, crashes: usize) {
    if crashes >= LEAST_CRASHES {
        traffic.shared.kept.order(KeepOrder::Forget(digest));
    }
}

/// Takes what the control thread learned from the store.
pub(crate) fn take_kept(traffic: &Traffic) {
    for news in traffic.shared.kept.take_learned() {
        take_crash(traffic, &news);
    }
}
