//! The target pool of one service on one node: target views, work queue, time estimates, health and
//! retry budget.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::demand::ModelDemand;
use crate::prefix::PrefixIndex;
use crate::routing::choose_baseline;
use crate::routing::choose_estimated;
use crate::routing::RoutingInput;
use crate::view_table::ViewTable;
use crate::ClassRank;
use crate::LoadReport;
use crate::Moment;
use crate::PoolSettings;
use crate::PoolSummary;
use crate::PrefixHash;
use crate::QueueDecision;
use crate::QueueTicket;
use crate::ResultCode;
use crate::RetryBudget;
use crate::RoutingPolicy;
use crate::StageDemand;
use crate::StageEstimates;
use crate::StageOutcome;
use crate::StagePlacement;
use crate::StageWork;
use crate::SubmitResult;
use crate::TargetFacts;
use crate::TargetView;
use crate::WorkQueue;

/// Number of queued work items that one dispatch considers when no free target has the model that
/// the first item needs.
const LOOKAHEAD_LIMIT: usize = 32;

/// Lower bound of the retry delay suggested to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Number of priority classes with a pending-work counter of their own; higher ranks share the
/// last.
const CLASS_COUNT: usize = 4;

/// The targets of one service and the work queued for them on this node.
#[derive(Debug)]
pub struct ServicePool {
    settings: PoolSettings,
    views: ViewTable,
    queue: WorkQueue,
    estimates: StageEstimates,
    retries: RetryBudget,
    /// Expected seconds of admitted work that has not been submitted yet, by class.
    pending: [f64; CLASS_COUNT],
    /// Expected seconds of work that peers have queued.
    peer_backlog: f64,
    /// Fraction of each target's slots that this node may always fill, 0 to 1.
    node_share: f64,
    /// Position of the round-robin policy.
    round_robin_index: usize,
    prefixes: PrefixIndex,
    model_demand: ModelDemand,
    /// Start time of each running call by placement id; ids rise, so the first entry is the oldest.
    running: BTreeMap<u64, Moment>,
    last_placement_id: u64,
    rng: SmallRng,
}

impl ServicePool {
    /// Creates a pool without targets.
    pub fn new(settings: PoolSettings) -> Self {
        let queue = WorkQueue::new(settings.queue_limit);
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            views: ViewTable::default(),
            queue,
            estimates: StageEstimates::new(),
            retries: RetryBudget::new(),
            pending: [0.0; CLASS_COUNT],
            peer_backlog: 0.0,
            node_share: 1.0,
            round_robin_index: 0,
            prefixes: PrefixIndex::default(),
            model_demand: ModelDemand::default(),
            running: BTreeMap::new(),
            last_placement_id: 0,
            rng,
        }
    }

    /// Replaces the targets by those of a VM list. Targets that remain keep their measurements.
    pub fn apply_list(&mut self, list: Vec<TargetFacts>) {
        self.views.apply_list(list);
    }

    /// Applies a load report of a target, which may arrive late.
    pub fn apply_report(&mut self, target: &str, report: LoadReport) {
        if let Some(view) = self.views.get_mut(target) {
            view.apply_report(report);
        }
    }

    /// Sets the number of calls that peers have in flight at a target.
    pub fn apply_peer_load(&mut self, now: Moment, target: &str, inflight: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.apply_peer_load(now, inflight);
        }
    }

    /// Sets the mean call time measured by peers, which is used until this node has its own
    /// measurements.
    pub fn apply_peer_mean(&mut self, mean: Duration) {
        self.estimates.set_prior(mean);
    }

    /// Sets the work that peers have queued for this service, in expected seconds, and the fraction
    /// of each target's slots that belongs to this node.
    pub fn apply_peer_backlog(&mut self, backlog: f64, node_share: f64) {
        self.peer_backlog = backlog.max(0.0);
        self.node_share = node_share.clamp(0.0, 1.0);
    }

    /// Marks a target as leaving. Returns true if it was not marked before.
    pub fn mark_leaving(&mut self, now: Moment, target: &str) -> bool {
        self.views
            .get_mut(target)
            .is_some_and(|view| view.record_leaving(now))
    }

    /// Applies the leaving state of a target in the VM list. Returns true if the target was not
    /// marked as leaving before.
    pub fn apply_listed_leaving(&mut self, now: Moment, target: &str, leaving: bool) -> bool {
        let Some(view) = self.views.get_mut(target) else {
            return false;
        };
        view.listed_leaving = leaving;
        leaving && view.record_leaving(now)
    }

    /// Applies a target's own report that it is not leaving. Returns true if the target gets work
    /// again because of it.
    pub fn mark_active(&mut self, target: &str, taken_at: Moment) -> bool {
        self.views
            .get_mut(target)
            .is_some_and(|view| view.record_active(taken_at))
    }

    /// Applies a cache event of an inference engine: a prefix was stored or evicted.
    pub fn apply_cache_event(&mut self, target: &str, prefix: PrefixHash, present: bool) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        if present {
            view.record_prefix(prefix);
            let target = view.facts.id.clone();
            self.prefixes.record(prefix, &target);
        } else {
            view.remove_prefix(prefix);
        }
    }

    /// Applies the models that a target reports to have loaded. Returns false if they are
    /// unchanged.
    pub fn apply_models(&mut self, target: &str, models: &[String]) -> bool {
        let Some(view) = self.views.get_mut(target) else {
            return false;
        };
        let known = view.facts.models.iter().map(|model| &**model);
        if known.eq(models.iter().map(String::as_str)) {
            return false;
        }
        view.facts.models = models
            .iter()
            .map(|model| Arc::from(model.as_str()))
            .collect();
        true
    }

    /// Returns the number of slots that each model's recently submitted work keeps busy.
    pub fn model_demand(&self, now: Moment) -> BTreeMap<String, f64> {
        self.model_demand.busy(now)
    }

    /// Clears the cached prefixes of an engine, for example after a gap in its cache events.
    pub fn clear_prefixes(&mut self, target: &str) {
        if let Some(view) = self.views.get_mut(target) {
            view.clear_prefixes();
        }
    }

    /// Returns the wait and the times that a new request can expect at this service.
    pub fn stage_demand(
        &self,
        now: Moment,
        class: ClassRank,
        length: u32,
        quantile: f64,
    ) -> StageDemand {
        StageDemand {
            wait: self.expected_wait(now, class),
            expected_time: self.expected_time(now, length),
            reserve: self.estimates.quantile(now, length, quantile),
        }
    }

    /// Returns the expected time of a call, averaged over the targets. `length` is the input length
    /// in tokens.
    ///
    /// Without enough recent samples, the age of the oldest running call is a lower bound, so
    /// that a cold pool does not assume slow work to be fast until the first responses arrive.
    pub fn expected_time(&self, now: Moment, length: u32) -> Duration {
        let mean = self.estimates.mean_of_length(now, length);
        if !self.estimates.is_cold(now) {
            return mean;
        }
        let oldest = self.running.first_key_value();
        let age = oldest.map_or(Duration::ZERO, |(_, started_at)| {
            now.saturating_sub(*started_at)
        });
        mean.max(age)
    }

    /// Returns the time after which a call is presumed lost, or `None` without enough measurements.
    pub fn loss_timeout(&self, now: Moment, length: u32) -> Option<Duration> {
        self.estimates.loss_timeout(now, length)
    }

    /// Adds the expected time of a stage that an admitted request will submit later.
    pub fn add_pending(&mut self, class: ClassRank, expected: Duration) {
        self.pending[class_index(class)] += expected.as_secs_f64();
    }

    /// Removes pending time when its stage is submitted or its request has ended before that.
    pub fn remove_pending(&mut self, class: ClassRank, expected: Duration) {
        let pending = &mut self.pending[class_index(class)];
        *pending = (*pending - expected.as_secs_f64()).max(0.0);
    }

    /// Places a work item at a target, queues it or refuses it.
    pub fn submit(&mut self, now: Moment, work: StageWork) -> SubmitResult {
        self.views.expire_ejections(now);
        if let Some(model) = &work.model {
            self.model_demand.record(now, model, work.expected_time);
        }
        if !self.has_usable_target(now, &work) {
            let code = ResultCode::NoTarget;
            let retry_after = Duration::from_secs(1);
            return SubmitResult::Refused { code, retry_after };
        }
        self.retries.record_first_attempt();
        if self.queue.is_empty() || !self.settings.queues_work {
            if let Some(placement) = self.place(now, &work) {
                return SubmitResult::Run(placement);
            }
        }
        let class = work.class;
        match self.queue.push(now, work) {
            Some(ticket) => SubmitResult::Queued(ticket),
            None => SubmitResult::Refused {
                code: ResultCode::QueueFull,
                retry_after: self.expected_wait(now, class).max(MIN_RETRY_AFTER),
            },
        }
    }

    /// Places a further attempt of failed work if the deadline and the retry budget allow it.
    /// Retries are never queued.
    pub fn submit_retry(&mut self, now: Moment, work: &StageWork) -> Option<StagePlacement> {
        let in_time = now + work.expected_time <= work.latest_end.max(work.infeasible_after);
        // Under overload a retry would displace work that has had no attempt yet.
        if !in_time || !self.queue.is_empty() || !self.has_free_target(now, work) {
            return None;
        }
        if !self.retries.try_take() {
            return None;
        }
        self.place(now, work)
    }

    /// Sheds queued work that can no longer finish in time or exceeds the queue's limit, then
    /// places queued work as long as targets have free slots.
    pub fn dispatch(&mut self, now: Moment) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        if self.queue.is_empty() {
            return decisions;
        }
        self.views.expire_ejections(now);
        for ticket in self.queue.infeasible(now) {
            self.queue.remove(ticket);
            decisions.push(QueueDecision::Shed(ticket, ResultCode::Shed));
        }
        while let Some(excess) = self.queue.pop_excess() {
            decisions.push(QueueDecision::Shed(excess.ticket, ResultCode::QueueFull));
        }
        while let Some((ticket, placement)) = self.dispatch_next(now) {
            decisions.push(QueueDecision::Run(ticket, placement));
        }
        decisions
    }

    /// Removes queued work whose caller has disconnected. Returns false if it has left the queue
    /// already.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Ends a placement and updates the target's health and the estimates from its outcome.
    pub fn finish(&mut self, now: Moment, placement: &StagePlacement, outcome: StageOutcome) {
        self.running.remove(&placement.id);
        let Some(index) = self.views.position(&placement.target) else {
            return;
        };
        let time = now.saturating_sub(placement.placed_at);
        let hardware = self.views.as_slice()[index].facts.hardware.clone();
        let mean = self.estimates.mean(now, &hardware, placement.length);
        let ratio = time.as_secs_f64() / mean.as_secs_f64().max(1e-6);
        let view = self.views.view_mut(index);
        view.record_end(now);
        match outcome {
            StageOutcome::Completed => view.health.record_success(ratio),
            StageOutcome::Failed => view.health.record_failure(),
            StageOutcome::TimedOut => view.health.record_timeout(ratio),
            StageOutcome::Leaving => {
                view.record_leaving(now);
            }
            StageOutcome::RefusedFull | StageOutcome::Cancelled => (),
        }
        if outcome == StageOutcome::Completed {
            if let Some(prefix) = placement.prefix {
                view.record_prefix(prefix);
                self.prefixes.record(prefix, &placement.target);
            }
            self.estimates
                .record(now, &hardware, placement.length, time);
        }
        if let Some(settings) = &self.settings.health {
            self.views.eject_if_outlier(now, index, settings);
        }
    }

    /// Returns the pool's counters.
    pub fn summary(&self, now: Moment) -> PoolSummary {
        let mut summary = PoolSummary {
            targets: self.views.as_slice().len(),
            queued: self.queue.len(),
            ..PoolSummary::default()
        };
        for view in self.views.as_slice() {
            summary.inflight += view.own_inflight();
            summary.leaving += usize::from(view.leaving);
            summary.ejected += usize::from(view.health.is_ejected());
            if !view.leaving && !view.health.is_ejected() {
                summary.slots += view.facts.slots;
            }
        }
        summary.backlog = self.own_backlog(ClassRank::MAX);
        let cold = self.estimates.is_cold(now);
        summary.mean = (!cold).then(|| self.estimates.mean_of_length(now, 0));
        summary
    }

    /// Returns the target views in the order of their names, for status pages and load digests.
    pub fn views(&self) -> &[TargetView] {
        self.views.as_slice()
    }

    /// Returns the expected queueing time of a new work item of a class.
    pub fn expected_wait(&self, now: Moment, class: ClassRank) -> Duration {
        let mut slots = 0.0;
        let mut overload = 0.0;
        let mean = self.estimates.mean_of_length(now, 0).as_secs_f64();
        for view in self.views.as_slice() {
            if view.leaving || view.health.is_ejected() {
                continue;
            }
            let own_slots = f64::from(view.facts.slots);
            slots += own_slots;
            overload += (view.inflight(now) - own_slots).max(0.0);
        }
        if slots <= 0.0 {
            return Duration::ZERO;
        }
        let backlog = self.own_backlog(class) + self.peer_backlog + overload * mean;
        Duration::from_secs_f64(backlog / slots)
    }

    fn own_backlog(&self, class: ClassRank) -> f64 {
        let pending: f64 = self.pending[..=class_index(class)].iter().sum();
        self.queue.queued_time(class).as_secs_f64() + pending
    }

    fn dispatch_next(&mut self, now: Moment) -> Option<(QueueTicket, StagePlacement)> {
        let first = self.queue.first()?.ticket;
        if let Some(found) = self.dispatch_ticket(now, first) {
            return Some(found);
        }
        // If no free target has the model that the first item needs, later items may go before it.
        let candidates = self.queue.candidates(LOOKAHEAD_LIMIT);
        candidates
            .into_iter()
            .find_map(|ticket| self.dispatch_ticket(now, ticket))
    }

    fn dispatch_ticket(
        &mut self,
        now: Moment,
        ticket: QueueTicket,
    ) -> Option<(QueueTicket, StagePlacement)> {
        let work = self.queue.get(ticket)?.work.clone();
        let placement = self.place(now, &work)?;
        self.queue.serve(ticket);
        Some((ticket, placement))
    }

    fn place(&mut self, now: Moment, work: &StageWork) -> Option<StagePlacement> {
        let input = RoutingInput {
            now,
            work,
            estimates: &self.estimates,
            node_share: self.node_share,
        };
        let policy = self.settings.policy;
        let index = if policy == RoutingPolicy::Estimated {
            let holder = work.prefix.and_then(|prefix| self.prefixes.get(prefix));
            let holder = holder.and_then(|target| self.views.position(target));
            choose_estimated(&input, self.views.as_slice(), holder, &mut self.rng)
        } else {
            let round_robin_index = &mut self.round_robin_index;
            choose_baseline(
                policy,
                &input,
                self.views.as_slice(),
                round_robin_index,
                &mut self.rng,
            )
        };
        let view = self.views.view_mut(index?);
        view.record_start(now);
        self.last_placement_id += 1;
        self.running.insert(self.last_placement_id, now);
        Some(StagePlacement {
            target: view.facts.id.clone(),
            placed_at: now,
            length: work.length,
            prefix: work.prefix,
            expected_time: work.expected_time,
            id: self.last_placement_id,
        })
    }

    fn has_usable_target(&self, now: Moment, work: &StageWork) -> bool {
        let input = self.routing_input(now, work);
        self.views
            .as_slice()
            .iter()
            .any(|view| input.is_usable(view))
    }

    fn has_free_target(&self, now: Moment, work: &StageWork) -> bool {
        let input = self.routing_input(now, work);
        let mut views = self.views.as_slice().iter();
        views.any(|view| input.is_usable(view) && input.has_slot(view))
    }

    fn routing_input<'a>(&'a self, now: Moment, work: &'a StageWork) -> RoutingInput<'a> {
        RoutingInput {
            now,
            work,
            estimates: &self.estimates,
            node_share: self.node_share,
        }
    }
}

fn class_index(class: ClassRank) -> usize {
    usize::from(class).min(CLASS_COUNT - 1)
}
