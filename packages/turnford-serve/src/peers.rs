//! The other nodes: who of them does a duty, calls to them, and what is known of their silence.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use turnford_fleet::rank_members;
use turnford_fleet::Duty;
use turnford_policy::Moment;
use turnford_wire::PeerClient;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::shared::ServeShared;

/// Silence of a node with work of ours after which it is asked whether it is there.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait for that answer.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a node that did not answer gets no work. Its own probes find out meanwhile.
const DOWN_SPAN: Duration = Duration::from_secs(3);

/// What is known of another node that got work.
#[derive(Default)]
pub(crate) struct PeerState {
    pub(crate) last_contact: Cell<Moment>,
    /// Calls that wait for it.
    waiting: Cell<usize>,
    is_watched: Cell<bool>,
    /// Whether it is being found out whether it is there.
    pub(crate) is_probing: Cell<bool>,
    /// Until when it counts as silent; what it has of ours goes to another.
    pub(crate) down_until: Cell<Moment>,
    /// Until when it gets no new work. It may finish what it has, as a node that stops does.
    refuses_until: Cell<Moment>,
}

impl PeerState {
    pub(crate) fn accepts_work(&self, now: Moment) -> bool {
        self.down_until.get() <= now && self.refuses_until.get() <= now
    }

    /// Notes that another node last_contact of it: it may get work again.
    pub(crate) fn mark_available(&self) {
        self.down_until.set(Moment::ZERO);
        self.refuses_until.set(Moment::ZERO);
    }
}

/// The calling side of work between nodes; it lives on one thread.
pub(crate) struct PeerPool {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) shared: Arc<ServeShared>,
    pub(crate) client: PeerClient,
    states: RefCell<HashMap<SocketAddr, Rc<PeerState>>>,
    rng: RefCell<SmallRng>,
}

impl PeerPool {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, shared: Arc<ServeShared>) -> Rc<Self> {
        Rc::new(Self {
            client: PeerClient::new(executor.clone()),
            executor,
            shared,
            states: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    /// Returns a number from 0 to below 1.
    pub(crate) fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub(crate) fn state(&self, peer: SocketAddr) -> Rc<PeerState> {
        self.states.borrow_mut().entry(peer).or_default().clone()
    }

    /// Returns the address of the node that does a duty, `None` if it is this one.
    pub(crate) fn owner_of(&self, duty: &Duty) -> Option<SocketAddr> {
        let now = self.shared.now();
        let view = self.shared.view.load();
        let states = self.states.borrow();
        let is_up = |address: &SocketAddr| {
            let state = states.get(address);
            state.is_none_or(|state| state.accepts_work(now))
        };
        let up = view.members.iter().filter(|member| is_up(&member.work));
        let names = self.shared.settled_names(up);
        let chosen = rank_members(duty, names.into_iter(), 1).first().copied()?;
        let member = view.members.iter().find(|member| &*member.name == chosen);
        member.map(|member| member.work)
    }

    /// Calls another node; `None`, and no work for it for a while, if it gives no answer.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        request: &WorkRequest,
        limit: Duration,
    ) -> Option<WorkReply> {
        let state = self.state(peer);
        match self.client.call(peer, request, limit).await {
            Ok(WorkReply::Refused) => {
                log::info!("node at {peer} takes no work");
                self.mark_refusing(&state);
                None
            }
            Ok(reply) => {
                state.last_contact.set(self.shared.now());
                Some(reply)
            }
            Err(fault) => {
                log::info!("node at {peer} gives no answer: {fault}");
                self.mark_down(&state);
                None
            }
        }
    }

    /// Gives a node no new work for a while.
    pub(crate) fn mark_refusing(&self, state: &PeerState) {
        state.refuses_until.set(self.shared.now() + DOWN_SPAN);
    }

    /// Gives a node no work for a while, and takes back what it has.
    pub(crate) fn mark_down(&self, state: &PeerState) {
        state.down_until.set(self.shared.now() + DOWN_SPAN);
    }

    /// Returns the addresses of so many other nodes, drawn anew each time.
    pub(crate) fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let view = self.shared.view.load();
        let mut peers: Vec<SocketAddr> = view.members.iter().map(|member| member.work).collect();
        let count = count.min(peers.len());
        for place in 0..count {
            let left = peers.len() - place;
            let drawn = (self.random() * left as f64) as usize;
            peers.swap(place, place + drawn.min(left - 1));
        }
        peers.truncate(count);
        peers
    }
}

/// Counts a call that waits for a node, and has the node watched meanwhile.
pub(crate) struct WaitingGuard {
    state: Rc<PeerState>,
}

impl WaitingGuard {
    pub(crate) fn new(peers: &Rc<PeerPool>, peer: SocketAddr, state: &Rc<PeerState>) -> Self {
        state.waiting.set(state.waiting.get() + 1);
        if !state.is_watched.replace(true) {
            state.last_contact.set(peers.shared.now());
            let watch = watch_peer(peers.clone(), peer, state.clone());
            peers.executor.spawn(watch).detach();
        }
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.state.waiting.set(self.state.waiting.get() - 1);
    }
}

/// Asks a node that has work of ours and says nothing whether it is there.
async fn watch_peer(peers: Rc<PeerPool>, peer: SocketAddr, state: Rc<PeerState>) {
    while state.waiting.get() > 0 {
        Timer::after(SILENCE_TIMEOUT).await;
        let silence = peers.shared.now().saturating_sub(state.last_contact.get());
        if state.waiting.get() == 0 || silence < SILENCE_TIMEOUT {
            continue;
        }
        let request = WorkRequest::Probe;
        if peers.call(peer, &request, PROBE_TIMEOUT).await.is_none() {
            break;
        }
    }
    state.is_watched.set(false);
}
