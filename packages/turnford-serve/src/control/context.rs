//! What the tasks of the control thread share.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use turnford_adapter::StoreClient;
use turnford_policy::Moment;

use crate::shared::ServeShared;

/// State of the control thread.
pub(super) struct ControlContext {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) shared: Arc<ServeShared>,
    pub(super) store: StoreClient,
    rng: RefCell<SmallRng>,
}

impl ControlContext {
    pub(super) fn new(shared: Arc<ServeShared>) -> Rc<Self> {
        let executor = Rc::new(LocalExecutor::new());
        let store = StoreClient::new(executor.clone(), shared.settings.store);
        Rc::new(Self {
            executor,
            shared,
            store,
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    pub(super) fn now(&self) -> Moment {
        self.shared.now()
    }

    /// Returns a span between half of `span` and one and a half of it, so that nodes that start
    /// together don't go on calling together.
    pub(super) fn jitter(&self, span: Duration) -> Duration {
        let factor: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        span.mul_f64(factor)
    }
}
