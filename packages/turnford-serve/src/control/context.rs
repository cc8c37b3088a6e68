//! What the tasks of the control thread share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::Value;

use turnford_adapter::StoreClient;
use turnford_fleet::MemberState;
use turnford_fleet::MemberTable;
use turnford_fleet::MemberUpdate;
use turnford_policy::Moment;
use turnford_wire::PeerClient;
use turnford_wire::ViewMark;

use super::targets::TargetList;
use crate::shared::ServeShared;

/// State of the control thread.
pub(super) struct ControlContext {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) shared: Arc<ServeShared>,
    pub(super) store: StoreClient,
    pub(super) peers: PeerClient,
    pub(super) members: RefCell<MemberTable>,
    pub(super) targets: RefCell<TargetList>,
    /// The configuration in force, as the store holds it.
    pub(super) config_spec: RefCell<Option<Value>>,
    /// Revisions of the store that the watches go on from.
    pub(super) config_revision: Cell<Option<u64>>,
    pub(super) target_revision: Cell<Option<u64>>,
    /// Whether the store is away, for each of the kinds.
    pub(super) is_config_lost: Cell<bool>,
    pub(super) are_targets_lost: Cell<bool>,
    /// Whether a peer is being asked.
    pub(super) pulls_config: Cell<bool>,
    pub(super) pulls_targets: Cell<bool>,
    /// When the member list may be pulled again.
    pub(super) next_pull: Cell<Moment>,
    /// Wakes the task that tells others of news.
    pub(super) learned: (Sender<()>, Receiver<()>),
    rng: RefCell<SmallRng>,
}

impl ControlContext {
    pub(super) fn new(shared: Arc<ServeShared>) -> Rc<Self> {
        let executor = Rc::new(LocalExecutor::new());
        let store = StoreClient::new(executor.clone(), shared.settings.store);
        let peers = PeerClient::new(executor.clone());
        let settings = &shared.settings;
        let own = MemberUpdate {
            name: settings.name.to_string(),
            address: settings.inner,
            work: settings.work,
            hall: settings.hall.to_string(),
            incarnation: shared.started,
            state: MemberState::Alive,
        };
        let members = RefCell::new(MemberTable::new(own, rand::random()));
        Rc::new(Self {
            executor,
            shared,
            store,
            peers,
            members,
            targets: RefCell::default(),
            config_spec: RefCell::default(),
            config_revision: Cell::new(None),
            target_revision: Cell::new(None),
            // Nothing is known before the first answer.
            is_config_lost: Cell::new(true),
            are_targets_lost: Cell::new(true),
            pulls_config: Cell::new(false),
            pulls_targets: Cell::new(false),
            next_pull: Cell::new(Moment::ZERO),
            learned: async_channel::bounded(1),
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    pub(super) fn now(&self) -> Moment {
        self.shared.now()
    }

    /// Returns how new this node's knowledge is.
    pub(super) fn mark(&self) -> ViewMark {
        ViewMark {
            config: self.shared.view.load().config.version,
            targets: self.targets.borrow().revision(),
        }
    }

    /// Notes that there is something to tell the others.
    pub(super) fn note_learned(&self) {
        // A full channel holds a wake-up already.
        let _ = self.learned.0.try_send(());
    }

    /// Returns a span between half of `span` and one and a half of it, so that nodes that start
    /// together don't go on calling together.
    pub(super) fn jitter(&self, span: Duration) -> Duration {
        let factor: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        span.mul_f64(factor)
    }
}
