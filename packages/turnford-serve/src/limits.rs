//! Limits that the targets of a service announce for all nodes together: the election of the
//! allocating node, and permits for calls.
//!
//!
//! The node that places the requests of a service also allocates the limits of its targets. A call
//! to a limited target needs a permit from the allocator; a node that gets no reply sends no call
//! to such a target.

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
use crate::peers::PROBE_TIMEOUT;

/// Timeout for the node that places requests and allocates limits: well below the time that a
/// request can spare.
pub(crate) const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(120);

/// Maximum number of nodes asked in a row for a permit. Each is named by the one before, or next in
/// rank after it.
const MAX_PERMIT_ATTEMPTS: usize = 3;

/// Time since the last contact with the allocator during which it is trusted without a probe. It
/// may have started to stop in the meantime.
const CONTACT_FRESHNESS: Duration = Duration::from_millis(200);

/// Retry delay while the allocator is being probed; an allocator that stops refuses immediately.
pub(crate) const UNCONFIRMED_RETRY: Duration = Duration::from_millis(40);

/// Retry delay after no node replied.
const NO_REPLY_RETRY: Duration = Duration::from_millis(100);

/// Maximum number of targets in one message.
pub(crate) const MAX_ENTRIES: usize = 256;

/// Outcome of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// One call may be sent.
    Granted,
    /// No permit is available; the request may be repeated after this time.
    Wait(Duration),
    /// The allocator knows of no limit; the request may be repeated after this time, once the two
    /// nodes have synced.
    Unlimited(Duration),
}

/// Limits of the targets of one service, as known to the traffic thread.
pub(crate) struct ServiceLimits {
    pub(crate) peers: Rc<PeerPool>,
    pub(crate) service: ServiceId,
    pub(crate) table: RefCell<LimitTable>,
    pub(crate) election: RefCell<AllocatorElection>,
    /// Whether requests are placed by the allocator, as they are while there are limits.
    pub(crate) is_allocated: Cell<bool>,
    /// Targets with an observation that is being reported to the allocator.
    pub(crate) pending_reports: RefCell<BTreeSet<TargetId>>,
    /// Called after a change of the limits, to dispatch requests that can be sent now.
    on_change: Box<dyn Fn()>,
}

impl ServiceLimits {
    pub(crate) fn new(
        peers: Rc<PeerPool>,
        service: ServiceId,
        on_change: impl Fn() + 'static,
    ) -> Rc<Self> {
        let own = own_allocator_id(&peers);
        Rc::new(Self {
            peers,
            service,
            table: RefCell::default(),
            election: RefCell::new(AllocatorElection::new(own)),
            is_allocated: Cell::new(false),
            pending_reports: RefCell::default(),
            on_change: Box::new(on_change),
        })
    }

    /// Returns the address of the node that places the requests of the service and allocates the
    /// limits of its targets, or `None` if that is this node. While there are limits, the elected
    /// allocator keeps the role.
    pub(crate) fn placer(&self) -> Option<SocketAddr> {
        let by_rank = || self.peers.owner_of(&Duty::Place(self.service.to_string()));
        let election = self.election.borrow();
        let Some(term) = election.term().filter(|_| self.is_allocated.get()) else {
            return by_rank();
        };
        let now = self.peers.shared.now();
        let is_own = term.holder == own_allocator_id(&self.peers);
        let holder = term.holder.work_address;
        if is_own && !self.peers.shared.is_draining() {
            None
        } else if !is_own && self.peers.state(holder).accepts_work(now) {
            Some(holder)
        } else {
            by_rank()
        }
    }

    /// Resolves who allocates, for another node that requests it (`known` is the term which
    /// that node knows) or for this node itself.
    pub(crate) fn resolve_role(&self, known: Option<&LimitTerm>) -> AllocationRole {
        if let Some(known) = known {
            self.observe_term(known);
        }
        let now = self.peers.shared.now();
        let mut election = self.election.borrow_mut();
        let holder_status = |holder: &AllocatorId| self.holder_status(now, holder);
        let role = election.resolve(now, known, holder_status, self.table.borrow().limited());
        if let Some(allocator) = election.allocator() {
            allocator.set_reaches_half(self.peers.shared.view.load().reaches_half());
        }
        let number = election.term().map_or(0, |term| term.number);
        drop(election);
        match &role {
            AllocationRole::Allocates { is_new: true } => {
                let service = &self.service;
                log::info!("allocates limits of service={service} term={number}");
                self.is_allocated.set(true);
                self.table.borrow_mut().reset_sequences();
                self.publish(true);
            }
            AllocationRole::Unconfirmed(term) => {
                // A stopping allocator refuses this request although it is reachable.
                let request = WorkRequest::LimitSync(vec![self.digest()]);
                let probe = probe_allocator(self.peers.clone(), term.holder.work_address, request);
                self.peers.executor.spawn(probe).detach();
            }
            AllocationRole::Allocates { .. } | AllocationRole::Remote(_) => {}
        }
        role
    }

    fn holder_status(&self, now: Moment, holder: &AllocatorId) -> HolderStatus {
        let state = self.peers.state(holder.work_address);
        let last_contact = state.last_contact.get();
        if !state.accepts_work(now) {
            HolderStatus::Unreachable
        } else if !last_contact.is_zero() && now.saturating_sub(last_contact) < CONTACT_FRESHNESS {
            HolderStatus::Reachable
        } else {
            HolderStatus::Unknown
        }
    }

    /// Records the term of an allocator. Returns `true` if it is newer than the known one.
    pub(crate) fn observe_term(&self, term: &LimitTerm) -> bool {
        let is_later = self.election.borrow_mut().observe_term(term);
        if is_later {
            let service = &self.service;
            log::info!(
                "node={} allocates limits of service={service} term={}",
                term.holder.name,
                term.number
            );
            self.is_allocated.set(true);
            self.table.borrow_mut().reset_sequences();
            self.peers.state(term.holder.work_address).mark_available();
        }
        is_later
    }

    /// Records the allocator that another node named, and considers it reachable.
    pub(crate) fn record_holder(&self, term: &LimitTerm) {
        self.observe_term(term);
        self.is_allocated.set(true);
        self.peers.state(term.holder.work_address).mark_available();
    }

    /// Applies the allocator's pending updates to this node and sends them to a sample of other
    /// nodes. Sends all entries if the allocator is new.
    pub(crate) fn publish(&self, is_new: bool) {
        let now = self.peers.shared.now();
        let mut election = self.election.borrow_mut();
        let Some(term) = election.term().cloned() else {
            return;
        };
        let Some(allocator) = election.allocator() else {
            return;
        };
        let updates = allocator.take_updates(now);
        let entries = if is_new { allocator.entries() } else { updates };
        drop(election);
        if !entries.is_empty() || is_new {
            self.apply_entries(&entries);
            self.notify(&term, &entries);
        }
    }

    /// Sends entries of the allocator to a sample of other nodes.
    pub(crate) fn notify(&self, term: &LimitTerm, entries: &[LimitEntry]) {
        let mut parts: Vec<&[LimitEntry]> = entries.chunks(MAX_ENTRIES).collect();
        if parts.is_empty() {
            // The term has to reach the other nodes even without entries.
            parts.push(&[]);
        }
        for part in parts {
            let update = LimitUpdate {
                service: self.service.to_string(),
                term: term.clone(),
                entries: part.to_vec(),
            };
            notify_sample(&self.peers, &WorkRequest::Limits(vec![update]));
        }
    }

    /// Applies entries of the allocator. Returns `true` if any of them is new.
    pub(crate) fn apply_entries(&self, entries: &[LimitEntry]) -> bool {
        let now = self.peers.shared.now();
        let mut is_new = false;
        for entry in entries {
            let target: TargetId = entry.target.as_str().into();
            let mut table = self.table.borrow_mut();
            let before = table.state(&target);
            if table.apply(
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

    /// Requests a permit for a call to a limited target, and keeps it for the next such call.
    pub(crate) async fn acquire_permit(
        &self,
        target: &TargetSpec,
        purpose: PermitPurpose,
    ) -> PermitOutcome {
        for _ in 0..MAX_PERMIT_ATTEMPTS {
            let requested_at = self.peers.shared.now();
            let request = self.build_permit_request(&target.id, target.process_start, purpose);
            let reply = match self.placer() {
                None => self.grant(&request),
                Some(peer) => {
                    let request = WorkRequest::Permit(request);
                    let reply = self.peers.call(peer, &request, PLACEMENT_TIMEOUT).await;
                    let Some(WorkReply::Permit(reply)) = reply else {
                        continue;
                    };
                    reply
                }
            };
            match reply {
                PermitReply::Granted => {
                    self.add_permit(&target.id, requested_at);
                    return PermitOutcome::Granted;
                }
                PermitReply::Unlimited => return PermitOutcome::Unlimited(NO_REPLY_RETRY),
                PermitReply::Wait { wait_ms } => {
                    return PermitOutcome::Wait(Duration::from_millis(u64::from(wait_ms)));
                }
                PermitReply::Redirect(term) => self.record_holder(&term),
            }
        }
        PermitOutcome::Wait(NO_REPLY_RETRY)
    }

    /// Requests a permit for a maintenance call until one is granted. Returns `false` if there is
    /// none until `until`.
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
                PermitOutcome::Wait(delay) | PermitOutcome::Unlimited(delay)
                    if self.peers.shared.now() + delay < until =>
                {
                    Timer::after(delay).await;
                }
                PermitOutcome::Wait(_) | PermitOutcome::Unlimited(_) => return false,
            }
        }
    }

    /// Returns the digest of this node's knowledge, for comparison with other nodes.
    pub(crate) fn digest(&self) -> LimitDigest {
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

    /// Adds a permit. Its lifetime counts from the time at which it was requested.
    pub(crate) fn add_permit(&self, target: &str, requested_at: Moment) {
        let mut table = self.table.borrow_mut();
        table.add_permit(target, requested_at + PERMIT_LIFETIME);
        let metrics = &self.peers.shared.metrics;
        metrics.record_service_event(&self.service, ServiceEvent::Permit);
    }

    fn build_permit_request(
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

    /// Answers a request for a permit.
    pub(crate) fn grant(&self, request: &PermitAcquire) -> PermitReply {
        match self.resolve_role(request.term.as_ref()) {
            AllocationRole::Allocates { .. } => {}
            AllocationRole::Remote(term) => return PermitReply::Redirect(term),
            AllocationRole::Unconfirmed(_) => return wait_reply(UNCONFIRMED_RETRY),
        }
        let now = self.peers.shared.now();
        let mut election = self.election.borrow_mut();
        let Some(allocator) = election.allocator() else {
            return wait_reply(NO_REPLY_RETRY);
        };
        allocator.adopt(
            now,
            &request.target.as_str().into(),
            request.process_start,
            request.state,
        );
        if !allocator.is_limited(now, &request.target) {
            return PermitReply::Unlimited;
        }
        match allocator.take(now, &request.target, request.purpose) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => wait_reply(wait),
        }
    }
}

/// Returns the identity of this node as an allocator.
fn own_allocator_id(peers: &PeerPool) -> AllocatorId {
    let shared = &peers.shared;
    AllocatorId {
        name: shared.settings.name.to_string(),
        process_start: shared.started,
        work_address: shared.settings.work,
    }
}

/// Probes an allocator that another node considers unreachable.
async fn probe_allocator(peers: Rc<PeerPool>, holder: SocketAddr, request: WorkRequest) {
    let state = peers.state(holder);
    if !state.is_probing.replace(true) {
        peers.call(holder, &request, PROBE_TIMEOUT).await;
        state.is_probing.set(false);
    }
}

fn wait_reply(wait: Duration) -> PermitReply {
    PermitReply::Wait {
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
