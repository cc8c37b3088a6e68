//! Work between nodes: the pieces of a cell go to the node that gathers them, and one node places
//! the requests for a service's engines.
//!
//! The node is found by rendezvous hashing over those that live. Nothing depends on all nodes
//! agreeing: two that gather for one cell only fill their calls less well, and a node that gets no
//! answer goes to the next one, in the end to itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;

use turnford_fleet::rank_members;
use turnford_fleet::Duty;
use turnford_policy::Moment;
use turnford_wire::accept_peers;
use turnford_wire::GivenUpCall;
use turnford_wire::PeerClient;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::answer_admit;
use crate::admission::answer_forecast;
use crate::crash_news::answer_crash_sync;
use crate::crash_news::answer_crashes;
use crate::gather::answer_pieces;
use crate::gather::answer_release;
use crate::leaving::answer_leaving;
use crate::limit_news::answer_limit_sync;
use crate::limit_news::answer_limits;
use crate::limit_news::answer_report;
use crate::limits::answer_permit;
use crate::placement::answer_place;
use crate::progress::answer_progress;
use crate::resting::answer_rest;
use crate::traffic::Traffic;

/// Silence of a node with work of ours after which it is asked whether it is there.
pub(crate) const SILENCE_SPAN: Duration = Duration::from_millis(150);

/// Longest wait for that answer. Nodes answer in a few milliseconds; a slow one in some tens.
pub(crate) const ALIVE_LIMIT: Duration = Duration::from_millis(250);

/// Time for which a node that did not answer gets no work. Its own probes find out meanwhile.
const DOWN_SPAN: Duration = Duration::from_secs(3);

/// What is known of another node that got work.
#[derive(Default)]
pub(crate) struct PeerState {
    pub(crate) heard: Cell<Moment>,
    /// Calls that wait for it.
    waiting: Cell<usize>,
    is_watched: Cell<bool>,
    /// Until when it counts as silent; what it has of ours goes to another.
    pub(crate) down_until: Cell<Moment>,
    /// Until when it gets no new work. It may finish what it has, as a node that stops does.
    refuses_until: Cell<Moment>,
}

impl PeerState {
    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        self.down_until.get() <= now && self.refuses_until.get() <= now
    }

    /// Notes that another node heard of it: it may get work again.
    pub(crate) fn note_heard_of(&self) {
        self.down_until.set(Moment::ZERO);
        self.refuses_until.set(Moment::ZERO);
    }
}

/// The calling side of work between nodes.
pub(crate) struct WorkClient {
    pub(crate) peers: PeerClient,
    states: RefCell<HashMap<SocketAddr, Rc<PeerState>>>,
}

impl WorkClient {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            peers: PeerClient::new(executor),
            states: RefCell::default(),
        }
    }

    pub(crate) fn state(&self, peer: SocketAddr) -> Rc<PeerState> {
        self.states.borrow_mut().entry(peer).or_default().clone()
    }
}

/// Returns the address of the node that does a duty, `None` if it is this one.
pub(crate) fn doer_of(traffic: &Traffic, duty: &Duty) -> Option<SocketAddr> {
    let now = traffic.shared.now();
    let view = traffic.shared.view.load();
    let states = traffic.work.states.borrow();
    let is_up = |address: &SocketAddr| {
        let state = states.get(address);
        state.is_none_or(|state| state.takes_work(now))
    };
    let up = view.members.iter().filter(|member| is_up(&member.work));
    let names = traffic.shared.settled_names(up);
    let chosen = rank_members(duty, names.into_iter(), 1).first().copied()?;
    let member = view.members.iter().find(|member| &*member.name == chosen);
    member.map(|member| member.work)
}

/// Calls another node; `None`, and no work for it for a while, if it gives no answer.
pub(crate) async fn call_peer(
    traffic: &Traffic,
    peer: SocketAddr,
    request: &WorkRequest,
    limit: Duration,
) -> Option<WorkReply> {
    let state = traffic.work.state(peer);
    match traffic.work.peers.call(peer, request, limit).await {
        Ok(WorkReply::Refused) => {
            log::info!("node at {peer} takes no work");
            mark_refusing(traffic, &state);
            None
        }
        Ok(reply) => {
            state.heard.set(traffic.shared.now());
            Some(reply)
        }
        Err(fault) => {
            log::info!("node at {peer} gives no answer: {fault}");
            mark_down(traffic, &state);
            None
        }
    }
}

/// Counts a call that waits for a node, and has the node watched meanwhile.
pub(crate) struct WaitingGuard {
    state: Rc<PeerState>,
}

impl WaitingGuard {
    pub(crate) fn new(traffic: &Rc<Traffic>, peer: SocketAddr, state: &Rc<PeerState>) -> Self {
        state.waiting.set(state.waiting.get() + 1);
        if !state.is_watched.replace(true) {
            state.heard.set(traffic.shared.now());
            let watch = watch_peer(traffic.clone(), peer, state.clone());
            traffic.executor.spawn(watch).detach();
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
async fn watch_peer(traffic: Rc<Traffic>, peer: SocketAddr, state: Rc<PeerState>) {
    while state.waiting.get() > 0 {
        Timer::after(SILENCE_SPAN).await;
        let silence = traffic.shared.now().saturating_sub(state.heard.get());
        if state.waiting.get() == 0 || silence < SILENCE_SPAN {
            continue;
        }
        let request = WorkRequest::Alive;
        if call_peer(&traffic, peer, &request, ALIVE_LIMIT)
            .await
            .is_none()
        {
            break;
        }
    }
    state.is_watched.set(false);
}

/// Gives a node no new work for a while.
pub(crate) fn mark_refusing(traffic: &Traffic, state: &PeerState) {
    state.refuses_until.set(traffic.shared.now() + DOWN_SPAN);
}

/// Gives a node no work for a while, and takes back what it has.
pub(crate) fn mark_down(traffic: &Traffic, state: &PeerState) {
    state.down_until.set(traffic.shared.now() + DOWN_SPAN);
}

/// Serves other nodes' work for as long as the node runs.
pub(crate) async fn serve_work(traffic: Rc<Traffic>, listener: TcpListener) {
    let executor = traffic.executor.clone();
    let handler = move |request| answer_work(traffic.clone(), request);
    let refusal = || WorkReply::Refused;
    accept_peers(listener, executor, GivenUpCall::Dropped, refusal, handler).await;
}

async fn answer_work(traffic: Rc<Traffic>, request: WorkRequest) -> WorkReply {
    traffic.current_view();
    match request {
        WorkRequest::Alive => WorkReply::Noted,
        // Another node gathers from now on.
        WorkRequest::Pieces(_)
        | WorkRequest::Admit(_)
        | WorkRequest::Place(_)
        | WorkRequest::Permit(_)
        | WorkRequest::LimitReport(_)
            if traffic.shared.is_draining() =>
        {
            WorkReply::Refused
        }
        WorkRequest::Pieces(ask) => answer_pieces(&traffic, ask).await,
        WorkRequest::Admit(ask) => answer_admit(&traffic, ask),
        WorkRequest::Forecast {
            service,
            ticket,
            is_late,
        } => answer_forecast(&traffic, &service, ticket, is_late),
        WorkRequest::Place(ask) => answer_place(&traffic, ask),
        WorkRequest::Crashes(news) => answer_crashes(&traffic, news),
        WorkRequest::CrashSync { sum, is_new } => answer_crash_sync(&traffic, sum, is_new),
        WorkRequest::LimitReport(report) => answer_report(&traffic, &report),
        WorkRequest::Permit(ask) => answer_permit(&traffic, &ask),
        WorkRequest::Limits(news) => answer_limits(&traffic, &news),
        WorkRequest::LimitSync(marks) => answer_limit_sync(&traffic, &marks),
        WorkRequest::Leaving(news) => answer_leaving(&traffic, news),
        WorkRequest::Resting(news) => answer_rest(&traffic, &news),
        WorkRequest::Progress { service, news } => {
            answer_progress(&traffic, &service, &news);
            WorkReply::Noted
        }
        WorkRequest::Release { service, results } => {
            answer_release(&traffic, &service, results);
            WorkReply::Noted
        }
    }
}
