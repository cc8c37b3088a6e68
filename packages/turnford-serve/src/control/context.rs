//! What the tasks of the control thread share.

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

use super::config::HeldConfig;
use crate::shared::ServeShared;

/// First pause after the store did not answer; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between calls to a store that does not answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What is known of the objects of one kind in the store.
pub(super) struct KindState {
    /// Place up to which they are known; `None` where only a list helps.
    pub(super) place: Cell<Option<StorePosition>>,
    /// Whether the store is away for this node.
    pub(super) is_lost: Cell<bool>,
    /// When the store said last, to this node or to the one that it follows, that this is all.
    pub(super) confirmed_at: Cell<Moment>,
    /// Pause after the store's last failure; it doubles with each.
    pause: Cell<Duration>,
    /// When the store may be asked again after it did not answer.
    retry_at: Cell<Moment>,
}

impl Default for KindState {
    fn default() -> Self {
        Self {
            place: Cell::new(None),
            // Nothing is known before the first answer.
            is_lost: Cell::new(true),
            confirmed_at: Cell::new(Moment::ZERO),
            pause: Cell::new(FIRST_PAUSE),
            retry_at: Cell::new(Moment::ZERO),
        }
    }
}

impl KindState {
    /// Notes that the store answers; true if it did not before.
    pub(super) fn note_answer(&self) -> bool {
        self.pause.set(FIRST_PAUSE);
        self.is_lost.replace(false)
    }

    /// Notes that the store did not answer; true if it did before.
    fn note_failure(&self, now: Moment, pause: Duration) -> bool {
        self.pause.set((self.pause.get() * 2).min(LONGEST_PAUSE));
        self.retry_at.set(now + pause);
        !self.is_lost.replace(true)
    }
}

/// State of the control thread.
pub(super) struct ControlContext {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) shared: Arc<ServeShared>,
    pub(super) store: StoreClient,
    pub(super) peers: PeerClient,
    pub(super) members: RefCell<MemberTable>,
    pub(super) targets: RefCell<TargetList>,
    /// The configuration in force, as the store holds it.
    pub(super) held_config: RefCell<HeldConfig>,
    /// What is known of the store's two kinds.
    pub(super) config_state: KindState,
    pub(super) target_state: KindState,
    /// Whether a peer is being asked for what it knows more.
    pub(super) is_pulling: Cell<bool>,
    /// Peers that are not followed for a while, and until when.
    pub(super) avoided: RefCell<HashMap<SocketAddr, Moment>>,
    /// Changes of peers that were taken last, by peer.
    pub(super) cursors: RefCell<HashMap<SocketAddr, ViewCursor>>,
    /// Until when the store is asked since a watcher failed.
    pub(super) direct_until: Cell<Moment>,
    /// Wakes those who wait for something new in this node's view.
    pub(super) view_changed: Event,
    /// Era of the store that this node's object was written in, `None` while that is to be done.
    pub(super) registered_era: Cell<Option<u64>>,
    /// Whether the requests that are kept in the store were read.
    pub(super) knows_suspects: Cell<bool>,
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
            held_config: RefCell::default(),
            config_state: KindState::default(),
            target_state: KindState::default(),
            is_pulling: Cell::new(false),
            avoided: RefCell::default(),
            cursors: RefCell::default(),
            direct_until: Cell::new(Moment::ZERO),
            view_changed: Event::new(),
            registered_era: Cell::new(None),
            knows_suspects: Cell::new(false),
            next_pull: Cell::new(Moment::ZERO),
            learned: async_channel::bounded(1),
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    pub(super) fn now(&self) -> Moment {
        self.shared.now()
    }

    /// Returns the newest era of the store that this node knows.
    pub(super) fn era(&self) -> u64 {
        self.store.era().max(self.targets.borrow().position().era)
    }

    /// Returns how new this node's knowledge is.
    pub(super) fn mark(&self) -> ViewDigest {
        ViewDigest {
            config: self.shared.view.load().config.version,
            targets: self.targets.borrow().changed_at(),
        }
    }

    /// Returns the time since the store said that what this node knows is all.
    pub(super) fn view_age(&self) -> Duration {
        let config = self.config_state.confirmed_at.get();
        let targets = self.target_state.confirmed_at.get();
        self.now().saturating_sub(config.min(targets))
    }

    /// Tells whether the store did not answer this node's last calls.
    pub(super) fn is_store_lost(&self) -> bool {
        self.config_state.is_lost.get() || self.target_state.is_lost.get()
    }

    /// Passes a peer over for a while, and has the store asked for some time.
    pub(super) fn avoid(&self, peer: SocketAddr, span: Duration, direct: Duration) {
        let now = self.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        avoided.insert(peer, now + span);
        self.direct_until.set(now + direct);
    }

    /// Tells whether the store may be asked again after it did not answer.
    pub(super) fn may_ask_store(&self, now: Moment) -> bool {
        let mut states = [&self.config_state, &self.target_state].into_iter();
        states.any(|state| state.is_lost.get() && state.retry_at.get() <= now)
    }

    /// Notes that the store did not answer a call about a kind; returns the pause before the next,
    /// and whether it answered before.
    pub(super) fn note_failure(&self, state: &KindState) -> (Duration, bool) {
        let pause = self.jitter(state.pause.get());
        (pause, state.note_failure(self.now(), pause))
    }

    /// Counts the bytes of an answer that was given up before its end.
    pub(super) fn note_abandoned(&self, bytes: usize) {
        self.shared.metrics.abandoned_bytes.inc_by(bytes as u64);
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
