//! Requests that wait until a target of their service takes calls, the most urgent first.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Receiver;
use async_channel::Sender;

use turnford_policy::ClassRank;
use turnford_policy::Moment;

/// Place in a line: ranks of the account and the route, when the answer is due, and the order of coming.
pub(crate) type QueueKey = (ClassRank, ClassRank, Moment, u64);

/// The line of one service.
#[derive(Default)]
pub(crate) struct WaitQueue {
    waiting: RefCell<BTreeMap<QueueKey, Sender<()>>>,
    next_sequence: Cell<u64>,
}

impl WaitQueue {
    /// Tells whether nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns how many would go before a request with these ranks.
    pub(crate) fn ahead_of(&self, ranks: (ClassRank, ClassRank), due: Moment) -> usize {
        let key = (ranks.0, ranks.1, due, u64::MAX);
        self.waiting.borrow().range(..key).count()
    }

    /// Adds a request; it leaves when what is returned is dropped.
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

    /// Has the first request look again.
    pub(crate) fn wake_first(&self) {
        if let Some(waker) = self.waiting.borrow().values().next() {
            // A full channel holds a wake-up already.
            let _ = waker.try_send(());
        }
    }
}

/// A request's place in a line.
pub(crate) struct QueuePosition {
    queue: Rc<WaitQueue>,
    key: QueueKey,
    wakeups: Receiver<()>,
}

impl QueuePosition {
    /// Returns how many go before.
    pub(crate) fn ahead(&self) -> usize {
        self.queue.waiting.borrow().range(..self.key).count()
    }

    /// Waits until it may be this request's turn.
    pub(crate) async fn wait_wakeup(&self) {
        // The line keeps the other side for as long as this place is there.
        let _ = self.wakeups.recv().await;
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.key);
        self.queue.wake_first();
    }
}
