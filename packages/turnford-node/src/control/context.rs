//! State that the tasks of the control thread share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use rand::Rng;
use turnford_fleet::ConfigView;
use turnford_fleet::DigestTable;
use turnford_fleet::MemberState;
use turnford_fleet::MemberTable;
use turnford_fleet::MemberUpdate;
use turnford_fleet::Moment;
use turnford_fleet::RumorTable;
use turnford_platform::ObjectClient;
use turnford_platform::VmClient;
use turnford_platform::WeightClient;
use turnford_wire::PeerClient;

use super::claims::ClaimTable;
use super::shares::ShareTable;
use crate::state::NodeState;

/// Shared state of one control thread. No `RefCell` borrow is held across an await point.
pub(super) struct ControlContext {
    pub(super) state: Arc<NodeState>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) objects: ObjectClient,
    pub(super) vms: VmClient,
    pub(super) weights: WeightClient,
    pub(super) peers: PeerClient,
    pub(super) members: RefCell<MemberTable>,
    pub(super) view: RefCell<ConfigView>,
    pub(super) rumors: RefCell<RumorTable>,
    pub(super) digests: RefCell<DigestTable>,
    pub(super) claims: RefCell<ClaimTable>,
    pub(super) shares: RefCell<ShareTable>,
    /// Set once this node is registered and has had time to learn of the other nodes; required for
    /// duties under a lease.
    pub(super) duty_eligible: Cell<bool>,
    /// Whether there is a fresh digest of every live peer.
    pub(super) digests_complete: Cell<bool>,
    /// Earliest time of the next pull of a full member list.
    pub(super) next_pull: Cell<Moment>,
}

impl ControlContext {
    pub(super) fn new(state: Arc<NodeState>) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let settings = &state.settings;
        let own = MemberUpdate {
            name: settings.name.to_string(),
            address: settings.inner,
            work_address: settings.inner,
            hall: settings.hall.to_string(),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let seed = state.attempts.incarnation();
        Self {
            objects: ObjectClient::new(settings.objects, state.budget.clone()),
            vms: VmClient::new(settings.vms, state.budget.clone()),
            weights: WeightClient::new(settings.vms, state.budget.clone()),
            peers: PeerClient::new(executor.clone()),
            members: RefCell::new(MemberTable::new(own, seed)),
            view: RefCell::new(ConfigView::default()),
            rumors: RefCell::new(RumorTable::default()),
            digests: RefCell::new(DigestTable::default()),
            claims: RefCell::new(ClaimTable::default()),
            shares: RefCell::new(ShareTable::new(&settings.name, seed)),
            duty_eligible: Cell::new(false),
            digests_complete: Cell::new(false),
            next_pull: Cell::new(Moment::ZERO),
            executor,
            state,
        }
    }

    /// Returns the time on this node's clock.
    pub(super) fn now(&self) -> Moment {
        self.state.clock.now()
    }

    /// Returns the number of nodes considered alive, including this one.
    pub(super) fn fleet_count(&self) -> usize {
        self.members.borrow().live().count() + 1
    }

    /// Returns the name of the node assigned to a duty.
    pub(super) fn duty_holder(&self, duty: &turnford_fleet::Duty) -> String {
        let members = self.members.borrow();
        let ranked = turnford_fleet::rank_members(duty, members.live_names(), 1);
        ranked
            .first()
            .map_or_else(String::new, |name| (*name).to_owned())
    }

    /// Returns whether this node is assigned to a duty.
    pub(super) fn has_duty(&self, duty: &turnford_fleet::Duty) -> bool {
        self.duty_holder(duty) == *self.state.settings.name
    }

    /// Returns a random duration between 0.5 and 1.5 times `duration`, so that nodes don't act in
    /// unison.
    pub(super) fn jitter(&self, duration: std::time::Duration) -> std::time::Duration {
        duration.mul_f64(rand::rng().random_range(0.5..1.5))
    }
}
