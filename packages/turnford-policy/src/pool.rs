//! One service's pool on one node: views, held work, estimates, health and retries together.

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

/// Pieces of held work that one round looks at beyond the first, when the first needs a model that
/// no free target has.
const LOOK_AHEAD: usize = 32;

/// Smallest hint for a caller's next try.
const SMALLEST_HINT: Duration = Duration::from_millis(100);

/// Number of classes that promises are kept for; higher ranks share the last.
const CLASS_COUNT: usize = 4;

/// The pool of one service.
#[derive(Debug)]
pub struct ServicePool {
    settings: PoolSettings,
    views: ViewTable,
    queue: WorkQueue,
    estimates: StageEstimates,
    retries: RetryBudget,
    promised: [f64; CLASS_COUNT],
    peer_backlog: f64,
    node_share: f64,
    turn: usize,
    prefixes: PrefixIndex,
    demand: ModelDemand,
    /// Begin of each call that runs, in order.
    running: BTreeMap<u64, Moment>,
    next_number: u64,
    rng: SmallRng,
}

impl ServicePool {
    /// Makes a pool without targets.
    pub fn new(settings: PoolSettings) -> Self {
        let queue = WorkQueue::new(settings.queue_limit);
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            views: ViewTable::default(),
            queue,
            estimates: StageEstimates::new(),
            retries: RetryBudget::new(),
            promised: [0.0; CLASS_COUNT],
            peer_backlog: 0.0,
            node_share: 1.0,
            turn: 0,
            prefixes: PrefixIndex::default(),
            demand: ModelDemand::default(),
            running: BTreeMap::new(),
            next_number: 0,
            rng,
        }
    }

    /// Takes the targets of a VM list. Views of targets that stay keep what was learned.
    pub fn apply_list(&mut self, list: Vec<TargetFacts>) {
        self.views.apply_list(list);
    }

    /// Takes a late load report of a target.
    pub fn apply_report(&mut self, target: &str, report: LoadReport) {
        if let Some(view) = self.views.get_mut(target) {
            view.apply_report(report);
        }
    }

    /// Takes the sum of what peers have in flight at a target.
    pub fn apply_peer_load(&mut self, now: Moment, target: &str, inflight: u32) {
        if let Some(view) = self.views.get_mut(target) {
            view.apply_peer_load(now, inflight);
        }
    }

    /// Takes the mean time that peers have measured, used until this node has measured itself.
    pub fn apply_peer_mean(&mut self, mean: Duration) {
        self.estimates.set_prior(mean);
    }

    /// Takes the expected seconds of work that peers hold for this service, and this node's part.
    pub fn apply_peer_backlog(&mut self, backlog: f64, node_share: f64) {
        self.peer_backlog = backlog.max(0.0);
        self.node_share = node_share.clamp(0.0, 1.0);
    }

    /// Marks a target as leaving, by any signal; true if it is the first.
    pub fn mark_leaving(&mut self, now: Moment, target: &str) -> bool {
        self.views
            .get_mut(target)
            .is_some_and(|view| view.record_leaving(now))
    }

    /// Takes the VM list's word on whether a target leaves; true if that is new.
    pub fn apply_listed_leaving(&mut self, now: Moment, target: &str, leaving: bool) -> bool {
        let Some(view) = self.views.get_mut(target) else {
            return false;
        };
        view.listed_leaving = leaving;
        leaving && view.record_leaving(now)
    }

    /// Takes a target's own word that it does not leave; true if it takes work again.
    pub fn mark_active(&mut self, target: &str, taken_at: Moment) -> bool {
        self.views
            .get_mut(target)
            .is_some_and(|view| view.record_active(taken_at))
    }

    /// Takes a cache event of an engine.
    pub fn apply_cache_event(&mut self, target: &str, prefix: PrefixHash, present: bool) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        if present {
            view.record_prefix(prefix);
            let target = view.facts.id.clone();
            self.prefixes.note(prefix, &target);
        } else {
            view.remove_prefix(prefix);
        }
    }

    /// Takes the models that a target says to have; false if that is known.
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

    /// Returns the slots that each model's work keeps busy, from what was offered lately.
    pub fn model_demand(&self, now: Moment) -> BTreeMap<String, f64> {
        self.demand.busy(now)
    }

    /// Forgets what an engine was thought to hold, after a gap in its events.
    pub fn clear_prefixes(&mut self, target: &str) {
        if let Some(view) = self.views.get_mut(target) {
            view.clear_prefixes();
        }
    }

    /// Returns what a new request would meet at this service.
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

    /// Returns the expected time of work on the mean target.
    ///
    /// Before anything was measured, the age of the oldest call that still runs is a lower bound, so
    /// that a cold pool does not take slow work for fast until the first answers come.
    pub fn expected_time(&self, now: Moment, length: u32) -> Duration {
        let mean = self.estimates.mean_of_length(now, length);
        if !self.estimates.is_cold(now) {
            return mean;
        }
        let oldest = self.running.first_key_value();
        let age = oldest.map_or(Duration::ZERO, |(_, begun)| now.saturating_sub(*begun));
        mean.max(age)
    }

    /// Returns how long a call may take before it looks lost; `None` before enough was learned.
    pub fn loss_timeout(&self, now: Moment, length: u32) -> Option<Duration> {
        self.estimates.loss_timeout(now, length)
    }

    /// Notes that an admitted request will come to this service later.
    pub fn add_pending(&mut self, class: ClassRank, expected: Duration) {
        self.promised[class_index(class)] += expected.as_secs_f64();
    }

    /// Takes a promise back when its stage is offered or the request ended before.
    pub fn remove_pending(&mut self, class: ClassRank, expected: Duration) {
        let promised = &mut self.promised[class_index(class)];
        *promised = (*promised - expected.as_secs_f64()).max(0.0);
    }

    /// Offers a piece of work.
    pub fn submit(&mut self, now: Moment, work: StageWork) -> SubmitResult {
        self.views.refresh_health(now);
        if let Some(model) = &work.model {
            self.demand.note(now, model, work.expected_time);
        }
        if !self.has_usable(now, &work) {
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
                retry_after: self.expected_wait(now, class).max(SMALLEST_HINT),
            },
        }
    }

    /// Offers a further try of work that failed, if the budget allows it.
    pub fn submit_retry(&mut self, now: Moment, work: &StageWork) -> Option<StagePlacement> {
        let in_time = now + work.expected_time <= work.latest_end.max(work.infeasible_after);
        // Under overload a retry takes the place of work that was not tried yet.
        if !in_time || !self.queue.is_empty() || !self.has_free(now, work) {
            return None;
        }
        if !self.retries.try_take() {
            return None;
        }
        self.place(now, work)
    }

    /// Serves held work while targets have slots, and drops what can no longer finish.
    pub fn dispatch(&mut self, now: Moment) -> Vec<QueueDecision> {
        let mut verdicts = Vec::new();
        if self.queue.is_empty() {
            return verdicts;
        }
        self.views.refresh_health(now);
        for ticket in self.queue.infeasible(now) {
            self.queue.remove(ticket);
            verdicts.push(QueueDecision::Shed(ticket, ResultCode::Shed));
        }
        while let Some(held) = self.queue.pop_excess() {
            verdicts.push(QueueDecision::Shed(held.ticket, ResultCode::QueueFull));
        }
        while let Some((ticket, placement)) = self.serve_one(now) {
            verdicts.push(QueueDecision::Run(ticket, placement));
        }
        verdicts
    }

    /// Takes back held work whose caller went away. Returns false if it was served already.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Gives a placement back with its outcome.
    pub fn finish(&mut self, now: Moment, placement: &StagePlacement, outcome: StageOutcome) {
        self.running.remove(&placement.id);
        let Some(at) = self.views.place_of(&placement.target) else {
            return;
        };
        let time = now.saturating_sub(placement.placed_at);
        let hardware = self.views.all()[at].facts.hardware.clone();
        let mean = self.estimates.mean(now, &hardware, placement.length);
        let ratio = time.as_secs_f64() / mean.as_secs_f64().max(1e-6);
        let view = self.views.at_mut(at);
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
                self.prefixes.note(prefix, &placement.target);
            }
            self.estimates
                .record(now, &hardware, placement.length, time);
        }
        if let Some(settings) = &self.settings.health {
            self.views.judge(now, at, settings);
        }
    }

    /// Returns the numbers of the pool.
    pub fn summary(&self, now: Moment) -> PoolSummary {
        let mut summary = PoolSummary {
            targets: self.views.all().len(),
            queued: self.queue.len(),
            ..PoolSummary::default()
        };
        for view in self.views.all() {
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

    /// Returns the views for status pages and digests.
    pub fn views(&self) -> &[TargetView] {
        self.views.all()
    }

    /// Returns the expected wait of a new piece of work of a class.
    pub fn expected_wait(&self, now: Moment, class: ClassRank) -> Duration {
        let mut slots = 0.0;
        let mut over = 0.0;
        let mean = self.estimates.mean_of_length(now, 0).as_secs_f64();
        for view in self.views.all() {
            if view.leaving || view.health.is_ejected() {
                continue;
            }
            let own_slots = f64::from(view.facts.slots);
            slots += own_slots;
            over += (view.inflight(now) - own_slots).max(0.0);
        }
        if slots <= 0.0 {
            return Duration::ZERO;
        }
        let backlog = self.own_backlog(class) + self.peer_backlog + over * mean;
        Duration::from_secs_f64(backlog / slots)
    }

    fn own_backlog(&self, class: ClassRank) -> f64 {
        let promised: f64 = self.promised[..=class_index(class)].iter().sum();
        self.queue.queued_time(class).as_secs_f64() + promised
    }

    fn serve_one(&mut self, now: Moment) -> Option<(QueueTicket, StagePlacement)> {
        let first = self.queue.first()?.ticket;
        if let Some(found) = self.serve_ticket(now, first) {
            return Some(found);
        }
        // The first can wait for a model that no free target has; others need not wait for it.
        let heads = self.queue.candidates(LOOK_AHEAD);
        heads
            .into_iter()
            .find_map(|ticket| self.serve_ticket(now, ticket))
    }

    fn serve_ticket(
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
        let chosen = if policy == RoutingPolicy::Estimated {
            let holder = work.prefix.and_then(|prefix| self.prefixes.get(prefix));
            let holder = holder.and_then(|target| self.views.place_of(target));
            choose_estimated(&input, self.views.all(), holder, &mut self.rng)
        } else {
            let turn = &mut self.turn;
            choose_baseline(policy, &input, self.views.all(), turn, &mut self.rng)
        };
        let view = self.views.at_mut(chosen?);
        view.record_start(now);
        self.next_number += 1;
        self.running.insert(self.next_number, now);
        Some(StagePlacement {
            target: view.facts.id.clone(),
            placed_at: now,
            length: work.length,
            prefix: work.prefix,
            expected_time: work.expected_time,
            id: self.next_number,
        })
    }

    fn has_usable(&self, now: Moment, work: &StageWork) -> bool {
        let input = self.input(now, work);
        self.views.all().iter().any(|view| input.is_usable(view))
    }

    fn has_free(&self, now: Moment, work: &StageWork) -> bool {
        let input = self.input(now, work);
        let mut views = self.views.all().iter();
        views.any(|view| input.is_usable(view) && input.has_slot(view))
    }

    fn input<'a>(&'a self, now: Moment, work: &'a StageWork) -> RoutingInput<'a> {
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
