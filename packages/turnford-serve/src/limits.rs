//! Limits that the targets of a service name for all nodes together: who divides them, and permits for calls.
//!
//! The node that places for a service divides the limits of its targets. A call to a target with a limit
//! needs a permit of it; a node that gets no answer sends nothing there.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use siphasher::sip::SipHasher13;

use turnford_fleet::AllocationRole;
use turnford_fleet::AllocatorElection;
use turnford_fleet::AllocatorId;
use turnford_fleet::Duty;
use turnford_fleet::HolderStatus;
use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitPurpose;
use turnford_fleet::PERMIT_LIFETIME;
use turnford_policy::LimitTable;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::ServiceId;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::LimitDigest;
use turnford_wire::LimitUpdate;
use turnford_wire::PermitAcquire;
use turnford_wire::PermitReply;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::fanout::notify_sample;
use crate::metrics::ServiceEvent;
use crate::peers::PeerPool;
use crate::peers::ALIVE_LIMIT;

/// Longest wait for the node that places and divides: well below what a request can spare.
pub(crate) const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(120);

/// Nodes that are asked one after the other, each named by the one before or next in its place.
const ASK_TRIES: usize = 3;

/// Time since the last word of the node that divides in which it is not looked for: it may have begun to
/// stop meanwhile.
const HEARD_SPAN: Duration = Duration::from_millis(200);

/// Pause before a node asks again whose divider is being looked for: one that stops says so at once.
pub(crate) const UNCONFIRMED_RETRY: Duration = Duration::from_millis(40);

/// Pause before a node that nobody gave an answer asks again.
const UNHEARD_PAUSE: Duration = Duration::from_millis(100);

/// Most targets of one message.
pub(crate) const NEWS_LIMIT: usize = 256;

/// What became of an ask for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// One call may go.
    Granted,
    /// None now; when to ask again.
    Wait(Duration),
    /// The node that divides knows of no limit; when to ask again, once the two have compared.
    Unlimited(Duration),
}

/// The limits of one service's targets, as the traffic thread has them.
pub(crate) struct ServiceLimits {
    pub(crate) peers: Rc<PeerPool>,
    pub(crate) service: ServiceId,
    pub(crate) table: RefCell<LimitTable>,
    pub(crate) election: RefCell<AllocatorElection>,
    /// Whether the node that divides places for the service, as it does while there are limits.
    pub(crate) is_divided: Cell<bool>,
    /// Targets whose words are on their way to it.
    pub(crate) reports: RefCell<BTreeSet<TargetId>>,
    /// Looks again what can be sent where.
    on_change: Box<dyn Fn()>,
}

impl ServiceLimits {
    pub(crate) fn new(
        peers: Rc<PeerPool>,
        service: ServiceId,
        on_change: impl Fn() + 'static,
    ) -> Rc<Self> {
        let own = own_divider(&peers);
        Rc::new(Self {
            peers,
            service,
            table: RefCell::default(),
            election: RefCell::new(AllocatorElection::new(own)),
            is_divided: Cell::new(false),
            reports: RefCell::default(),
            on_change: Box::new(on_change),
        })
    }

    /// Returns the address of the node that places for the service, and divides its targets' limits; `None`
    /// if it is this one. Where there are limits, it stays with the one that has begun.
    pub(crate) fn placer(&self) -> Option<SocketAddr> {
        let by_rank = || self.peers.owner_of(&Duty::Place(self.service.to_string()));
        let division = self.election.borrow();
        let Some(term) = division.term().filter(|_| self.is_divided.get()) else {
            return by_rank();
        };
        let now = self.peers.shared.now();
        let is_own = term.holder == own_divider(&self.peers);
        let holder = term.holder.work_address;
        if is_own && !self.peers.shared.is_draining() {
            None
        } else if !is_own && self.peers.state(holder).accepts_work(now) {
            Some(holder)
        } else {
            by_rank()
        }
    }

    /// Finds out who divides for a node that asks this one, or for this one itself.
    pub(crate) fn resolve_role(&self, asked: Option<&LimitTerm>) -> AllocationRole {
        if let Some(asked) = asked {
            self.note_term(asked);
        }
        let now = self.peers.shared.now();
        let mut division = self.election.borrow_mut();
        let sight = |holder: &AllocatorId| self.sight(now, holder);
        let role = division.resolve(now, asked, sight, self.table.borrow().limited());
        if let Some(divider) = division.allocator() {
            divider.set_reaches_half(self.peers.shared.view.load().reaches_half());
        }
        let number = division.term().map_or(0, |term| term.number);
        drop(division);
        match &role {
            AllocationRole::Allocates { is_new: true } => {
                let service = &self.service;
                log::info!("divides limits of service={service} term={number}");
                self.is_divided.set(true);
                self.table.borrow_mut().reset_sequences();
                self.publish(true);
            }
            AllocationRole::Unconfirmed(term) => {
                // One that stops refuses this, though it is there.
                let request = WorkRequest::LimitSync(vec![self.mark()]);
                let look = look_for(self.peers.clone(), term.holder.work_address, request);
                self.peers.executor.spawn(look).detach();
            }
            AllocationRole::Allocates { .. } | AllocationRole::Remote(_) => {}
        }
        role
    }

    fn sight(&self, now: Moment, holder: &AllocatorId) -> HolderStatus {
        let state = self.peers.state(holder.work_address);
        let heard = state.heard.get();
        if !state.accepts_work(now) {
            HolderStatus::Unreachable
        } else if !heard.is_zero() && now.saturating_sub(heard) < HEARD_SPAN {
            HolderStatus::Reachable
        } else {
            HolderStatus::Unknown
        }
    }

    /// Notes who divides; true if that is new.
    pub(crate) fn note_term(&self, term: &LimitTerm) -> bool {
        let is_later = self.election.borrow_mut().observe_term(term);
        if is_later {
            let service = &self.service;
            log::info!(
                "node={} divides limits of service={service} term={}",
                term.holder.name,
                term.number
            );
            self.is_divided.set(true);
            self.table.borrow_mut().reset_sequences();
            self.peers.state(term.holder.work_address).note_heard_of();
        }
        is_later
    }

    /// Notes that another node named who divides.
    pub(crate) fn record_holder(&self, term: &LimitTerm) {
        self.note_term(term);
        self.is_divided.set(true);
        self.peers.state(term.holder.work_address).note_heard_of();
    }

    /// Tells this node's traffic and some others what the divider says anew; everything where it has just
    /// begun.
    pub(crate) fn publish(&self, is_new: bool) {
        let now = self.peers.shared.now();
        let mut division = self.election.borrow_mut();
        let Some(term) = division.term().cloned() else {
            return;
        };
        let Some(divider) = division.allocator() else {
            return;
        };
        let news = divider.take_updates(now);
        let entries = if is_new { divider.entries() } else { news };
        drop(division);
        if !entries.is_empty() || is_new {
            self.take_entries(&entries);
            self.tell(&term, &entries);
        }
    }

    /// Tells some other nodes what the one that divides says.
    pub(crate) fn tell(&self, term: &LimitTerm, entries: &[LimitEntry]) {
        let mut parts: Vec<&[LimitEntry]> = entries.chunks(NEWS_LIMIT).collect();
        if parts.is_empty() {
            // Who divides is news, too.
            parts.push(&[]);
        }
        for part in parts {
            let news = LimitUpdate {
                service: self.service.to_string(),
                term: term.clone(),
                entries: part.to_vec(),
            };
            notify_sample(&self.peers, &WorkRequest::Limits(vec![news]));
        }
    }

    /// Takes what the node that divides says; true if anything is new.
    pub(crate) fn take_entries(&self, entries: &[LimitEntry]) -> bool {
        let now = self.peers.shared.now();
        let mut is_new = false;
        for entry in entries {
            let target: TargetId = entry.target.as_str().into();
            let mut board = self.table.borrow_mut();
            let before = board.state(&target);
            if board.apply(
                now,
                &target,
                entry.process_start,
                entry.sequence,
                entry.state,
            ) {
                is_new = true;
                if before != entry.state {
                    let state = entry.state;
                    log::info!("target={target} limit={state:?} before={before:?}");
                }
            }
        }
        if is_new {
            (self.on_change)();
        }
        is_new
    }

    /// Asks for a permit to send a call to a target with a limit, and keeps it for the next such call.
    pub(crate) async fn acquire_permit(
        &self,
        target: &TargetSpec,
        purpose: PermitPurpose,
    ) -> PermitOutcome {
        for _ in 0..ASK_TRIES {
            let asked_at = self.peers.shared.now();
            let ask = self.permit_ask(&target.id, target.process_start, purpose);
            let reply = match self.placer() {
                None => self.grant(&ask),
                Some(peer) => {
                    let request = WorkRequest::Permit(ask);
                    let reply = self.peers.call(peer, &request, PLACEMENT_TIMEOUT).await;
                    let Some(WorkReply::Permit(reply)) = reply else {
                        continue;
                    };
                    reply
                }
            };
            match reply {
                PermitReply::Granted => {
                    self.add_permit(&target.id, asked_at);
                    return PermitOutcome::Granted;
                }
                PermitReply::Unlimited => return PermitOutcome::Unlimited(UNHEARD_PAUSE),
                PermitReply::Wait { wait_ms } => {
                    return PermitOutcome::Wait(Duration::from_millis(u64::from(wait_ms)));
                }
                PermitReply::Redirect(term) => self.record_holder(&term),
            }
        }
        PermitOutcome::Wait(UNHEARD_PAUSE)
    }

    /// Asks for a permit for a target's upkeep until there is one; false if there is none until a moment.
    pub(crate) async fn wait_permit(&self, target: &TargetSpec, until: Moment) -> bool {
        loop {
            let now = self.peers.shared.now();
            if self.table.borrow().is_open(now, &target.id) {
                return true;
            }
            match self
                .acquire_permit(target, PermitPurpose::Maintenance)
                .await
            {
                PermitOutcome::Granted => return true,
                PermitOutcome::Wait(span) | PermitOutcome::Unlimited(span)
                    if self.peers.shared.now() + span < until =>
                {
                    Timer::after(span).await;
                }
                PermitOutcome::Wait(_) | PermitOutcome::Unlimited(_) => return false,
            }
        }
    }

    /// Returns how new this node's knowledge is.
    pub(crate) fn mark(&self) -> LimitDigest {
        let mut sum = 0;
        for (target, _, sequence, _) in self.table.borrow().announced() {
            let mut hasher = SipHasher13::new();
            hasher.write(target.as_bytes());
            hasher.write_u64(sequence);
            sum ^= hasher.finish();
        }
        LimitDigest {
            service: self.service.to_string(),
            term: self.election.borrow().term().cloned(),
            sum,
        }
    }

    /// Keeps a permit that was asked for at a moment.
    pub(crate) fn add_permit(&self, target: &str, asked_at: Moment) {
        let mut board = self.table.borrow_mut();
        board.add_permit(target, asked_at + PERMIT_LIFETIME);
        let metrics = &self.peers.shared.metrics;
        metrics.record_service_event(&self.service, ServiceEvent::Permit);
    }

    fn permit_ask(
        &self,
        target: &TargetId,
        born: ProcessStart,
        purpose: PermitPurpose,
    ) -> PermitAcquire {
        PermitAcquire {
            service: self.service.to_string(),
            term: self.election.borrow().term().cloned(),
            target: target.to_string(),
            process_start: born,
            state: self.table.borrow().state(target),
            purpose,
        }
    }

    /// Answers an ask for a permit.
    pub(crate) fn grant(&self, ask: &PermitAcquire) -> PermitReply {
        match self.resolve_role(ask.term.as_ref()) {
            AllocationRole::Allocates { .. } => {}
            AllocationRole::Remote(term) => return PermitReply::Redirect(term),
            AllocationRole::Unconfirmed(_) => return wait_reply(UNCONFIRMED_RETRY),
        }
        let now = self.peers.shared.now();
        let mut division = self.election.borrow_mut();
        let Some(divider) = division.allocator() else {
            return wait_reply(UNHEARD_PAUSE);
        };
        divider.adopt(
            now,
            &ask.target.as_str().into(),
            ask.process_start,
            ask.state,
        );
        if !divider.is_limited(now, &ask.target) {
            return PermitReply::Unlimited;
        }
        match divider.take(now, &ask.target, ask.purpose) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => wait_reply(wait),
        }
    }
}

/// Returns the identity under which this node divides.
fn own_divider(peers: &PeerPool) -> AllocatorId {
    let shared = &peers.shared;
    AllocatorId {
        name: shared.settings.name.to_string(),
        process_start: shared.started,
        work_address: shared.settings.work,
    }
}

/// Finds out whether a node still divides that another one finds lost.
async fn look_for(peers: Rc<PeerPool>, holder: SocketAddr, request: WorkRequest) {
    let state = peers.state(holder);
    if !state.is_looked_for.replace(true) {
        peers.call(holder, &request, ALIVE_LIMIT).await;
        state.is_looked_for.set(false);
    }
}

fn wait_reply(wait: Duration) -> PermitReply {
    PermitReply::Wait {
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
