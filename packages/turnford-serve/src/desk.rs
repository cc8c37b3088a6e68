//! One service as the traffic thread has it: its targets, what was learned of them, and what waits.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use turnford_policy::PromptCache;
use turnford_policy::RetryAllowance;
use turnford_policy::ServiceSpec;
use turnford_policy::TargetBoard;

use crate::pieces::PieceDesk;

/// A service.
pub(crate) struct ServiceDesk {
    pub(crate) spec: RefCell<Arc<ServiceSpec>>,
    pub(crate) board: RefCell<TargetBoard>,
    pub(crate) cache: RefCell<PromptCache>,
    pub(crate) allowance: RefCell<RetryAllowance>,
    /// Present where the service runs pieces of stages.
    pub(crate) pieces: Option<PieceDesk>,
}

impl ServiceDesk {
    pub(crate) fn new(spec: Arc<ServiceSpec>, allowance: RetryAllowance) -> Rc<Self> {
        let pieces = spec.batch.clone().map(PieceDesk::new);
        Rc::new(Self {
            spec: RefCell::new(spec),
            board: RefCell::default(),
            cache: RefCell::default(),
            allowance: RefCell::new(allowance),
            pieces,
        })
    }

    /// Tells whether a target still takes new work.
    pub(crate) fn is_open(&self, target: &str) -> bool {
        let board = self.board.borrow();
        board.get(target).is_some_and(|spec| !spec.leaving)
    }
}

/// A call under way at a target; its end is noted when this is dropped.
pub(crate) struct FlightGuard {
    desk: Rc<ServiceDesk>,
    target: turnford_policy::TargetId,
}

impl FlightGuard {
    /// Notes a call.
    pub(crate) fn new(desk: &Rc<ServiceDesk>, target: &turnford_policy::TargetId) -> Self {
        desk.board.borrow_mut().note_sent(target);
        Self {
            desk: desk.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.desk.board.borrow_mut().note_ended(&self.target);
    }
}
