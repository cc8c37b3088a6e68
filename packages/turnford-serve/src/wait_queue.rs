//! Requests that wait until a target of their service accepts calls, the most urgent first.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Receiver;
use async_channel::Sender;

use turnford_policy::ClassRank;
use turnford_policy::Moment;

/// Sort key in a queue: ranks of the account and of the route, due time of the response, and
/// arrival sequence.
pub(crate) type QueueKey = (ClassRank, ClassRank, Moment, u64);

/// Wait queue of one service.
#[derive(Default)]
pub(crate) struct WaitQueue {
    waiting: RefCell<BTreeMap<QueueKey, Sender<()>>>,
    next_sequence: Cell<u64>,
}

impl WaitQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns how many waiting requests precede a request with these ranks.
    pub(crate) fn ahead_of(&self, ranks: (ClassRank, ClassRank), due: Moment) -> usize {
        let key = (ranks.0, ranks.1, due, u64::MAX);
        self.waiting.borrow().range(..key).count()
    }

    /// Adds a request. It leaves the queue when the returned position is dropped.
    pub(crate) fn join(
        self: &Rc<Self>,
        ranks: (ClassRank, ClassRank),
        due: Moment,
    ) -> QueuePosition {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        let key = (ranks.0, ranks.1, due, sequence);
        let (waker, wakeups) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(key, waker);
        QueuePosition {
            queue: self.clone(),
            key,
            wakeups,
        }
    }

    /// Wakes the first request so that it checks for a target again.
    pub(crate) fn wake_first(&self) {
        if let Some(waker) = self.waiting.borrow().values().next() {
            // A full channel already holds a wake-up.
            let _ = waker.try_send(());
        }
    }
}

/// A request's position in a queue.
pub(crate) struct QueuePosition {
    queue: Rc<WaitQueue>,
    key: QueueKey,
    wakeups: Receiver<()>,
}

impl QueuePosition {
    /// Returns how many requests precede this one.
    pub(crate) fn ahead(&self) -> usize {
        self.queue.waiting.borrow().range(..self.key).count()
    }

    /// Waits for a wake-up, after which it may be this request's turn.
    pub(crate) async fn wait_wakeup(&self) {
        // The queue keeps the sender for as long as this position exists.
        let _ = self.wakeups.recv().await;
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.key);
        self.queue.wake_first();
    }
}
