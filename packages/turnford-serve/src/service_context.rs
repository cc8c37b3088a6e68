//! State of one service on the traffic thread: its targets, what has been learned about them, and
//! the requests that wait.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use turnford_fleet::AllocationRole;
use turnford_fleet::LimitTerm;
use turnford_fleet::RoomAllocator;
use turnford_fleet::TrialId;
use turnford_fleet::TrialTable;
use turnford_policy::split_cells;
use turnford_policy::BrittleSignal;
use turnford_policy::EngineScheduler;
use turnford_policy::FlowController;
use turnford_policy::LatencyModel;
use turnford_policy::LimitState;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::RetryAllowance;
use turnford_policy::ServiceSpec;
use turnford_policy::StageRate;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;
use turnford_policy::RANK_COUNT;

use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::limits::ServiceLimits;
use crate::pieces::CellQueue;
use crate::wait_queue::WaitQueue;

/// Half-life of a reported wait. Queues change within a call or two.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Initial estimate of the time to the first event of a final call: with no unique tokens in the
/// prompt, and with [`INITIAL_LATENCY_TOKENS`]. The calls of the first second replace it.
const INITIAL_LATENCY: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(150));

/// Number of unique tokens for the second value of [`INITIAL_LATENCY`].
const INITIAL_LATENCY_TOKENS: f64 = 2000.0;

pub(crate) struct ServiceContext {
    pub(crate) spec: RefCell<Arc<ServiceSpec>>,
    pub(crate) targets: RefCell<TargetTable>,
    /// Rate limits that targets announce for all nodes together.
    pub(crate) limits: Rc<ServiceLimits>,
    /// State of the targets if they are model engines.
    pub(crate) engines: RefCell<EngineScheduler>,
    /// Work that admitted requests for this service still have at their stages.
    pub(crate) flow: RefCell<FlowController>,
    pub(crate) allowance: RefCell<RetryAllowance>,
    /// Suspects that are running, if this node places for all nodes.
    pub(crate) trials: RefCell<TrialTable>,
    /// Id of the latest trial at a target that is not an engine.
    next_trial: Cell<TrialId>,
    /// Model of the time to the first event of this node's final calls, by unique prompt tokens.
    latency_model: RefCell<LatencyModel>,
    /// Whether routes send streams to the service.
    pub(crate) has_streams: Cell<bool>,
    /// Whether the ledger proves the version of all streams of the service without records.
    pub(crate) is_sole: Cell<bool>,
    /// Requests that wait until a target accepts calls.
    pub(crate) wait_queue: Rc<WaitQueue>,
    /// Announcements that the targets are brittle.
    pub(crate) brittleness: Cell<BrittleSignal>,
    /// Room of brittle targets, as this node allocates it while it places requests for all nodes.
    pub(crate) rooms: RefCell<RoomAllocator>,
    /// Queues of the cells, if the service runs pieces of stages.
    pub(crate) cells: RefCell<Vec<Rc<CellQueue>>>,
    /// Waits reported by the batching nodes, by cell.
    waits: RefCell<HashMap<usize, ReportedWaits>>,
}

/// Expected wait of new pieces by account rank, as reported by another node.
struct ReportedWaits {
    at: Moment,
    waits: [Duration; RANK_COUNT],
}

impl ServiceContext {
    pub(crate) fn new(
        spec: Arc<ServiceSpec>,
        allowance: RetryAllowance,
        limits: Rc<ServiceLimits>,
    ) -> Rc<Self> {
        Rc::new(Self {
            spec: RefCell::new(spec),
            targets: RefCell::default(),
            limits,
            engines: RefCell::default(),
            flow: RefCell::default(),
            allowance: RefCell::new(allowance),
            trials: RefCell::default(),
            next_trial: Cell::new(0),
            latency_model: RefCell::new(LatencyModel::new(
                INITIAL_LATENCY.0,
                INITIAL_LATENCY_TOKENS,
                INITIAL_LATENCY.1,
            )),
            has_streams: Cell::default(),
            is_sole: Cell::default(),
            wait_queue: Rc::default(),
            brittleness: Cell::default(),
            rooms: RefCell::default(),
            cells: RefCell::default(),
            waits: RefCell::default(),
        })
    }

    /// Returns whether one node has to allocate the calls of all nodes to the targets: they have
    /// limits, or they are brittle.
    pub(crate) fn needs_allocator(&self, now: Moment) -> bool {
        self.limits.table.borrow().has_limits() || self.brittleness.get().is_brittle(now)
    }

    /// Resolves which node allocates, for another node that requests it (`known` is the term which
    /// that node knows) or for this node itself.
    pub(crate) fn resolve_allocator(&self, known: Option<&LimitTerm>) -> AllocationRole {
        let role = self.limits.resolve_role(known);
        if matches!(role, AllocationRole::Allocates { .. }) {
            let election = self.limits.election.borrow();
            let number = election.term().map_or(0, |term| term.number);
            self.rooms.borrow_mut().begin_term(number);
        }
        role
    }

    /// Returns whether a target of a software version accepts new work.
    pub(crate) fn has_open_version(&self, version: &str) -> bool {
        let table = self.targets.borrow();
        let mut open = table.open_targets();
        open.any(|target| target.version.as_deref() == Some(version))
    }

    /// Returns whether all listed targets have this software version.
    pub(crate) fn has_only_version(&self, version: &str) -> bool {
        let table = self.targets.borrow();
        let mut targets = table.all_targets();
        targets.all(|target| target.version.as_deref() == Some(version))
    }

    /// Predicts the time to the first event of a final call.
    pub(crate) fn predict_final_call(&self, unique_tokens: u64) -> Duration {
        self.latency_model.borrow().predict(unique_tokens as f64)
    }

    /// Records the measured time of such a call.
    pub(crate) fn record_final_call(&self, unique_tokens: u64, elapsed: Duration) {
        self.latency_model
            .borrow_mut()
            .observe(unique_tokens as f64, elapsed);
    }

    /// Returns the id of a new trial at a target that is not an engine. Engines number their runs
    /// themselves.
    pub(crate) fn next_trial_id(&self) -> TrialId {
        self.next_trial.set(self.next_trial.get() + 1);
        self.next_trial.get()
    }

    /// Returns why a target accepts no such call from this node now, `None` if it does. The call
    /// must already count as in flight. It uses up a permit if the target is rate-limited.
    pub(crate) fn rejection_reason(
        &self,
        now: Moment,
        target: &str,
        purpose: CallPurpose<'_>,
    ) -> Option<CallError> {
        let refusal = self.refuses_work(now, target, purpose);
        refusal.or_else(|| {
            let has_permit = self.limits.table.borrow_mut().try_acquire(now, target);
            (!has_permit).then_some(CallError::Limited)
        })
    }

    /// Returns why a target accepts no such call from this node now, apart from its rate limit.
    pub(crate) fn refuses_work(
        &self,
        now: Moment,
        target: &str,
        purpose: CallPurpose<'_>,
    ) -> Option<CallError> {
        let table = self.targets.borrow();
        let Some(spec) = table.get(target) else {
            return Some(CallError::Unavailable("the target is no longer listed"));
        };
        if spec.leaving && purpose != CallPurpose::Maintenance {
            return Some(CallError::Unavailable("the target is leaving"));
        }
        if purpose
            .version()
            .is_some_and(|version| spec.version.as_deref() != Some(version))
        {
            return Some(CallError::Unavailable(
                "the target runs another software version",
            ));
        }
        if table.backoff_until(now, target).is_some() {
            return Some(CallError::Unavailable("the target has asked for backoff"));
        }
        let has_room = purpose == CallPurpose::Maintenance || table.is_within_limit(now, target);
        if !has_room {
            return Some(CallError::Unavailable(
                "the target is recovering from backoff",
            ));
        }
        None
    }

    /// Returns the targets of a cell that accept another call from this node.
    pub(crate) fn available_targets(&self, now: Moment, targets: &[TargetSpec]) -> Vec<TargetSpec> {
        let table = self.targets.borrow();
        let limits = self.limits.table.borrow();
        let available = targets
            .iter()
            .filter(|target| table.is_open(now, &target.id) && limits.is_open(now, &target.id));
        available.cloned().collect()
    }

    /// Records a successful response of a target, which may admit waiting requests.
    pub(crate) fn record_success(&self, now: Moment, target: &str) {
        self.targets.borrow_mut().record_success(now, target);
        self.wait_queue.wake_first();
    }

    /// Returns the service's capacity as a stage, `None` if it runs no pieces.
    pub(crate) fn stage_rate(&self, now: Moment) -> Option<StageRate> {
        let spec = self.spec.borrow().clone();
        let batch = spec.batch.as_ref()?;
        let table = self.targets.borrow();
        let open = table.open_targets();
        let is_awake = |target: &&TargetSpec| {
            !table.is_paused(now, &target.id) && !table.has_any_backoff(now, &target.id)
        };
        let available: Vec<&TargetSpec> = open.filter(is_awake).collect();
        // Pauses are short. If all targets pause, one of them is assumed to be back soon.
        let min_open = table.open_count().min(1);
        let opens_in = table
            .opens_for_batcher_at(now)
            .unwrap_or(now)
            .saturating_sub(now);
        let pieces = u32::try_from(batch.max_pieces.max(1)).unwrap_or(u32::MAX);
        let call_time = batch.call_overhead + batch.piece_time * pieces;
        let full = batch.slots.max(1) as f64 / call_time.as_secs_f64().max(0.001);
        let limits = self.limits.table.borrow();
        let calls = available
            .iter()
            .map(|target| match limits.state(&target.id) {
                LimitState::Limited(rate) => full.min(rate),
                LimitState::Free | LimitState::Easing => full,
            });
        let calls = if available.is_empty() {
            full * min_open as f64
        } else {
            calls.sum()
        };
        let nominal = calls * f64::from(pieces);
        let all_limited = available
            .iter()
            .all(|target| limits.state(&target.id).needs_permit());
        let opens_in = if all_limited && calls > 0.0 && !available.is_empty() {
            // On average a call waits for half of the interval between two calls.
            opens_in.max(Duration::from_secs_f64(0.5 / calls))
        } else {
            opens_in
        };
        Some(StageRate {
            nominal,
            call_overhead: batch.call_overhead,
            piece_time: batch.piece_time,
            max_pieces: pieces,
            available_in: opens_in,
        })
    }

    /// Updates the cells from the listed targets. A cell that is no longer needed shares the
    /// targets of another one until its last piece has ended.
    pub(crate) fn refresh_cells(&self) {
        let spec = self.spec.borrow().clone();
        let Some(batch) = &spec.batch else {
            return;
        };
        let table = self.targets.borrow();
        let open: Vec<TargetSpec> = table.open_targets().cloned().collect();
        let cell_targets = split_cells(&open);
        let mut cells = self.cells.borrow_mut();
        while cells.len() < cell_targets.len() {
            cells.push(CellQueue::new(batch.clone()));
        }
        for (index, cell) in cells.iter().enumerate() {
            cell.targets
                .borrow_mut()
                .clone_from(&cell_targets[index % cell_targets.len()]);
            let mut scheduler = cell.scheduler.borrow_mut();
            scheduler.set_spec(batch);
            scheduler.retain_listed(&table);
        }
    }

    pub(crate) fn cell_count(&self) -> usize {
        self.cells.borrow().len()
    }

    /// Returns the targets of each cell in use.
    pub(crate) fn cell_targets(&self) -> Vec<Vec<TargetSpec>> {
        let table = self.targets.borrow();
        let open: Vec<TargetSpec> = table.open_targets().cloned().collect();
        split_cells(&open)
    }

    /// Records the waits, in milliseconds, that the batching node of a cell reported.
    pub(crate) fn record_waits(&self, now: Moment, cell: usize, reported: &[u32]) {
        let mut waits = [Duration::ZERO; RANK_COUNT];
        for (wait, millis) in waits.iter_mut().zip(reported) {
            *wait = Duration::from_millis(u64::from(*millis));
        }
        let reported = ReportedWaits { at: now, waits };
        self.waits.borrow_mut().insert(cell, reported);
    }

    /// Returns the reported wait for a rank. It decays with its age.
    pub(crate) fn reported_wait(&self, now: Moment, cell: usize, rank: usize) -> Duration {
        let waits = self.waits.borrow();
        let Some(reported) = waits.get(&cell) else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(reported.at).as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        reported.waits[rank].mul_f64(0.5_f64.powf(age))
    }

    /// Returns the waits in a cell that this node batches for.
    pub(crate) fn local_waits(&self, now: Moment, cell: usize) -> [Duration; RANK_COUNT] {
        let Some(queue) = self.cell(cell) else {
            return [Duration::ZERO; RANK_COUNT];
        };
        let table = self.targets.borrow();
        let targets = queue.targets.borrow();
        let scheduler = queue.scheduler.borrow();
        let available = self.available_targets(now, &targets);
        let mut waits = scheduler.expected_waits(now, &table, &available);
        let available_at = next_available_at(now, &table, &targets).unwrap_or(now);
        for wait in &mut waits {
            *wait = (*wait).max(available_at.saturating_sub(now));
        }
        waits
    }

    pub(crate) fn cell(&self, index: usize) -> Option<Rc<CellQueue>> {
        let cells = self.cells.borrow();
        let count = cells.len().max(1);
        cells.get(index % count).cloned()
    }
}

/// Returns when the first target of a cell accepts calls from this node, `None` if one does so now
/// or if there is none.
pub(crate) fn next_available_at(
    now: Moment,
    table: &TargetTable,
    targets: &[TargetSpec],
) -> Option<Moment> {
    let ends = targets
        .iter()
        .map(|target| table.backoff_until(now, &target.id));
    let ends: Option<Vec<Moment>> = ends.collect();
    ends?.into_iter().min()
}

/// A call in flight at a target. Dropping this records its end.
pub(crate) struct InFlightGuard {
    context: Rc<ServiceContext>,
    target: TargetId,
    process_start: ProcessStart,
}

impl InFlightGuard {
    /// Records the start of a call.
    pub(crate) fn new(context: &Rc<ServiceContext>, target: &TargetSpec) -> Self {
        context.targets.borrow_mut().record_start(&target.id);
        Self {
            context: context.clone(),
            target: target.id.clone(),
            process_start: target.process_start,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut table = self.context.targets.borrow_mut();
        let listed = table.get(&self.target);
        if listed.is_some_and(|listed| listed.process_start == self.process_start) {
            table.record_end(&self.target);
        }
        drop(table);
        self.context.wait_queue.wake_first();
    }
}
