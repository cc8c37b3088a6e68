//! State shared between the tasks of the control thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use event_listener::Event;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use turnford_adapter::StoreClient;
use turnford_fleet::MemberState;
use turnford_fleet::MemberTable;
use turnford_fleet::MemberUpdate;
use turnford_policy::Moment;
use turnford_policy::StorePosition;
use turnford_policy::TargetList;
use turnford_wire::PeerClient;
use turnford_wire::ViewCursor;
use turnford_wire::ViewDigest;

use super::config::ConfigCopy;
use crate::shared::ServeShared;

/// Initial retry delay after a failed call to the store; doubled per failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between calls to a store that does not respond.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// State of the objects of one kind in the store.
pub(super) struct KindState {
    /// Position up to which the objects are known, or `None` if they have to be listed.
    pub(super) position: Cell<Option<StorePosition>>,
    /// Whether the store is unreachable for this node.
    pub(super) is_lost: Cell<bool>,
    /// When the store last confirmed, to this node or to the watcher that it follows, that nothing
    /// else is new.
    pub(super) confirmed_at: Cell<Moment>,
    /// Retry delay after the next failure; doubled per failure.
    retry_delay: Cell<Duration>,
    /// Earliest time of the next call after a failure.
    retry_at: Cell<Moment>,
}

impl Default for KindState {
    fn default() -> Self {
        Self {
            position: Cell::new(None),
            // Nothing is known before the first response.
            is_lost: Cell::new(true),
            confirmed_at: Cell::new(Moment::ZERO),
            retry_delay: Cell::new(MIN_RETRY_DELAY),
            retry_at: Cell::new(Moment::ZERO),
        }
    }
}

impl KindState {
    /// Records a response of the store. Returns `true` if it was unreachable before.
    pub(super) fn record_response(&self) -> bool {
        self.retry_delay.set(MIN_RETRY_DELAY);
        self.is_lost.replace(false)
    }

    /// Records a failed call to the store. Returns `true` if it was reachable before.
    fn record_failure(&self, now: Moment, retry_delay: Duration) -> bool {
        self.retry_delay
            .set((self.retry_delay.get() * 2).min(MAX_RETRY_DELAY));
        self.retry_at.set(now + retry_delay);
        !self.is_lost.replace(true)
    }
}

/// Position in a peer's log of target changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCursor {
    pub(super) cursor: ViewCursor,
    /// Whether the changes up to it were applied. A peer that was behind this node only has to be asked for later ones.
    pub(super) is_applied: bool,
}

/// State of the control thread.
pub(super) struct ControlContext {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) shared: Arc<ServeShared>,
    pub(super) store: StoreClient,
    pub(super) peers: PeerClient,
    pub(super) members: RefCell<MemberTable>,
    pub(super) targets: RefCell<TargetList>,
    /// The configuration in force, as kept for other nodes.
    pub(super) config_copy: RefCell<ConfigCopy>,
    /// State of the two kinds of objects that are followed in the store.
    pub(super) config_state: KindState,
    pub(super) target_state: KindState,
    /// Whether a pull from a peer with newer knowledge is in progress.
    pub(super) is_pulling: Cell<bool>,
    /// Peers that are not followed, and the time until which they are avoided.
    pub(super) avoided: RefCell<HashMap<SocketAddr, Moment>>,
    /// Cursor of the last update from each peer.
    pub(super) cursors: RefCell<HashMap<SocketAddr, PeerCursor>>,
    /// Time until which the store is followed directly after a watcher failed.
    pub(super) direct_until: Cell<Moment>,
    /// Notified when this node's view changes.
    pub(super) view_changed: Event,
    /// Store era in which this node registered, or `None` while it is not registered.
    pub(super) registered_era: Cell<Option<u64>>,
    /// Whether the suspects in the store have been loaded.
    pub(super) has_loaded_suspects: Cell<bool>,
    /// Earliest time of the next pull of the member list.
    pub(super) next_member_pull: Cell<Moment>,
    /// Wakes the task that notifies other nodes of updates.
    pub(super) update_signal: (Sender<()>, Receiver<()>),
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
            work_address: settings.work,
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
            config_copy: RefCell::default(),
            config_state: KindState::default(),
            target_state: KindState::default(),
            is_pulling: Cell::new(false),
            avoided: RefCell::default(),
            cursors: RefCell::default(),
            direct_until: Cell::new(Moment::ZERO),
            view_changed: Event::new(),
            registered_era: Cell::new(None),
            has_loaded_suspects: Cell::new(false),
            next_member_pull: Cell::new(Moment::ZERO),
            update_signal: async_channel::bounded(1),
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    pub(super) fn now(&self) -> Moment {
        self.shared.now()
    }

    /// Returns the newest store era known to this node.
    pub(super) fn era(&self) -> u64 {
        self.store.era().max(self.targets.borrow().position().era)
    }

    /// Returns the digest of this node's view, for comparison with other nodes.
    pub(super) fn digest(&self) -> ViewDigest {
        ViewDigest {
            config: self.shared.view.load().config.version,
            targets: self.targets.borrow().changed_at(),
        }
    }

    /// Returns the time since the store confirmed that this node's view is complete.
    pub(super) fn view_age(&self) -> Duration {
        let config = self.config_state.confirmed_at.get();
        let targets = self.target_state.confirmed_at.get();
        self.now().saturating_sub(config.min(targets))
    }

    /// Returns whether this node's last calls to the store failed.
    pub(super) fn is_store_lost(&self) -> bool {
        self.config_state.is_lost.get() || self.target_state.is_lost.get()
    }

    /// Avoids a peer for `period`, and follows the store directly for `direct`.
    pub(super) fn avoid(&self, peer: SocketAddr, period: Duration, direct: Duration) {
        let now = self.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        avoided.insert(peer, now + period);
        self.direct_until.set(now + direct);
    }

    /// Returns whether the store may be called again after a failure.
    pub(super) fn may_call_store(&self, now: Moment) -> bool {
        let mut states = [&self.config_state, &self.target_state].into_iter();
        states.any(|state| state.is_lost.get() && state.retry_at.get() <= now)
    }

    /// Records a failed call about a kind of objects. Returns the delay before the next call, and
    /// whether the store was reachable before.
    pub(super) fn record_failure(&self, state: &KindState) -> (Duration, bool) {
        let retry_delay = self.jitter(state.retry_delay.get());
        (retry_delay, state.record_failure(self.now(), retry_delay))
    }

    /// Counts the bytes of a response that was abandoned before its end.
    pub(super) fn record_abandoned(&self, bytes: usize) {
        self.shared.metrics.abandoned_bytes.inc_by(bytes as u64);
    }

    /// Wakes the task that notifies other nodes of updates.
    pub(super) fn signal_update(&self) {
        // A full channel already holds a wake-up.
        let _ = self.update_signal.0.try_send(());
    }

    /// Returns a random duration between half and one and a half of `duration`, so that nodes that
    /// start together don't keep calling at the same time.
    pub(super) fn jitter(&self, duration: Duration) -> Duration {
        let factor: f64 = self.rng.borrow_mut().random_range(0.5..1.5);
        duration.mul_f64(factor)
    }
}
