//! The other nodes as seen by the traffic thread: assignment of duties, calls, and detection of
//! nodes that do not respond.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::Rng;
use rand::SeedableRng;

use turnford_fleet::rank_members;
use turnford_fleet::Duty;
use turnford_http::wait_timeout;
use turnford_policy::Moment;
use turnford_wire::PeerClient;
use turnford_wire::PeerError;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::shared::FleetMember;
use crate::shared::ServeShared;

/// Silence of a node with pending calls after which it is probed.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of that probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a reply that nobody waits for any more is given up.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a node that did not respond gets no work. Its failure is detected by the
/// membership probes in the meantime.
const DOWN_PERIOD: Duration = Duration::from_secs(3);

/// State of another node that has been called.
#[derive(Default)]
pub(crate) struct PeerState {
    pub(crate) last_contact: Cell<Moment>,
    /// Number of calls that are waiting for the node.
    waiting: Cell<usize>,
    is_monitored: Cell<bool>,
    /// Whether a probe of the node as an allocator is in progress.
    pub(crate) is_probing: Cell<bool>,
    /// Time until which the node counts as down; its pending work is reassigned.
    pub(crate) down_until: Cell<Moment>,
    /// Time until which the node gets no new work. It may finish its pending work, as a stopping
    /// node does.
    refuses_until: Cell<Moment>,
    /// Time until which the node is assumed to reach no targets.
    pub(crate) isolated_until: Cell<Moment>,
}

impl PeerState {
    pub(crate) fn accepts_work(&self, now: Moment) -> bool {
        self.down_until.get() <= now && self.refuses_until.get() <= now
    }

    /// Makes the node eligible for work again, because another node is in contact with it.
    pub(crate) fn mark_available(&self) {
        self.down_until.set(Moment::ZERO);
        self.refuses_until.set(Moment::ZERO);
    }
}

/// Client side of the work protocol between nodes; used by a single thread.
pub(crate) struct PeerPool {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) shared: Arc<ServeShared>,
    pub(crate) client: PeerClient,
    /// Client for calls to targets that other nodes relay.
    pub(crate) relay_client: PeerClient,
    states: RefCell<HashMap<SocketAddr, Rc<PeerState>>>,
    rng: RefCell<SmallRng>,
}

impl PeerPool {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, shared: Arc<ServeShared>) -> Rc<Self> {
        Rc::new(Self {
            client: PeerClient::new(executor.clone()),
            relay_client: PeerClient::with_streams(executor.clone()),
            executor,
            shared,
            states: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        })
    }

    /// Returns a random number in `[0, 1)`.
    pub(crate) fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub(crate) fn state(&self, peer: SocketAddr) -> Rc<PeerState> {
        self.states.borrow_mut().entry(peer).or_default().clone()
    }

    /// Returns the address of the node that owns a duty, or `None` if that is this node.
    pub(crate) fn owner_of(&self, duty: &Duty) -> Option<SocketAddr> {
        let now = self.shared.now();
        let view = self.shared.view.load();
        let states = self.states.borrow();
        let is_up = |address: &SocketAddr| {
            let state = states.get(address);
            state.is_none_or(|state| state.accepts_work(now))
        };
        let up = view.members.iter().filter(|member| is_up(&member.work));
        let names = self.shared.duty_eligible_names(up);
        let chosen = rank_members(duty, names.into_iter(), 1).first().copied()?;
        let member = view.members.iter().find(|member| &*member.name == chosen);
        member.map(|member| member.work)
    }

    /// Calls another node. If it does not reply or refuses, returns `None` and gives it no work for
    /// a while.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        request: &WorkRequest,
        timeout: Duration,
    ) -> Option<WorkReply> {
        let sent_at = self.shared.now();
        let reply = self.client.call(peer, request, timeout).await;
        self.record_reply(peer, sent_at, timeout, reply)
    }

    /// Calls another node as [`PeerPool::call`] does. A reply that comes after the timeout, or once
    /// the caller has stopped waiting, is passed to `release`.
    pub(crate) async fn call_or_release(
        self: &Rc<Self>,
        peer: SocketAddr,
        request: WorkRequest,
        timeout: Duration,
        release: impl FnOnce(WorkReply) + 'static,
    ) -> Option<WorkReply> {
        let sent_at = self.shared.now();
        let (sender, receiver) = async_channel::bounded(1);
        let peers = self.clone();
        let call = async move {
            let reply = peers.client.call(peer, &request, LATE_REPLY_TIMEOUT).await;
            if let Err(unsent) = sender.try_send(reply) {
                if let Ok(reply) = unsent.into_inner() {
                    release(reply);
                }
            }
        };
        self.executor.spawn(call).detach();
        let reply = async {
            receiver
                .recv()
                .await
                .unwrap_or(Err(PeerError::Disconnected))
        };
        let late = async {
            wait_timeout(timeout).await;
            self.client.forget_connection(peer);
            Err(PeerError::Timeout)
        };
        let reply = reply.or(late).await;
        self.record_reply(peer, sent_at, timeout, reply)
    }

    fn record_reply(
        &self,
        peer: SocketAddr,
        sent_at: Moment,
        timeout: Duration,
        reply: Result<WorkReply, PeerError>,
    ) -> Option<WorkReply> {
        let state = self.state(peer);
        match reply {
            Ok(WorkReply::Refused) => {
                log::info!("node at {peer} refuses work");
                self.mark_refusing(&state);
                None
            }
            Ok(reply) => {
                state.last_contact.set(self.shared.now());
                Some(reply)
            }
            Err(error) => {
                let waited = self.shared.now().saturating_sub(sent_at);
                log::info!(
                    "node at {peer} does not reply: {error}, waited_ms={} timeout_ms={}",
                    waited.as_millis(),
                    timeout.as_millis()
                );
                self.mark_down(&state);
                None
            }
        }
    }

    /// Gives a node no new work for a while.
    pub(crate) fn mark_refusing(&self, state: &PeerState) {
        state.refuses_until.set(self.shared.now() + DOWN_PERIOD);
    }

    /// Gives a node no work for a while, and reassigns its pending work.
    pub(crate) fn mark_down(&self, state: &PeerState) {
        state.down_until.set(self.shared.now() + DOWN_PERIOD);
    }

    /// Returns the addresses of up to `count` nodes that may reach targets in a hall, those in that
    /// hall first, otherwise in random order.
    pub(crate) fn relay_candidates(&self, hall: &str, count: usize) -> Vec<SocketAddr> {
        let now = self.shared.now();
        let view = self.shared.view.load();
        let states = self.states.borrow();
        let is_usable = |address: &SocketAddr| {
            let state = states.get(address);
            state.is_none_or(|state| state.accepts_work(now) && state.isolated_until.get() <= now)
        };
        let usable = view.members.iter().filter(|member| is_usable(&member.work));
        let mut usable: Vec<(bool, f64, SocketAddr)> = usable
            .map(|member| (&*member.hall != hall, self.random(), member.work))
            .collect();
        usable.sort_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal));
        usable.truncate(count);
        usable.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Returns up to `count` other nodes that are `eligible`, chosen at random.
    pub(crate) fn sample_members(
        &self,
        count: usize,
        eligible: impl Fn(&FleetMember) -> bool,
    ) -> Vec<FleetMember> {
        let view = self.shared.view.load();
        let eligible = view.members.iter().filter(|member| eligible(member));
        let mut rng = self.rng.borrow_mut();
        eligible.cloned().choose_multiple(&mut *rng, count)
    }

    /// Returns the addresses of `count` other nodes, chosen at random.
    pub(crate) fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let view = self.shared.view.load();
        let mut peers: Vec<SocketAddr> = view.members.iter().map(|member| member.work).collect();
        let count = count.min(peers.len());
        for index in 0..count {
            let remaining = peers.len() - index;
            let drawn = (self.random() * remaining as f64) as usize;
            peers.swap(index, index + drawn.min(remaining - 1));
        }
        peers.truncate(count);
        peers
    }
}

/// Counts a call that waits for a node, and has the node monitored in the meantime.
pub(crate) struct WaitingGuard {
    state: Rc<PeerState>,
}

impl WaitingGuard {
    pub(crate) fn new(peers: &Rc<PeerPool>, peer: SocketAddr, state: &Rc<PeerState>) -> Self {
        state.waiting.set(state.waiting.get() + 1);
        if !state.is_monitored.replace(true) {
            state.last_contact.set(peers.shared.now());
            let monitor = monitor_peer(peers.clone(), peer, state.clone());
            peers.executor.spawn(monitor).detach();
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

/// Probes a silent node for as long as calls wait for it.
async fn monitor_peer(peers: Rc<PeerPool>, peer: SocketAddr, state: Rc<PeerState>) {
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
    state.is_monitored.set(false);
}
