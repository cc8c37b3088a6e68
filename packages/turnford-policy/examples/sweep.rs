//! Simulates the routing policies under various loads and faults in virtual time.
//!
//! `cargo run --release -p turnford-policy --example sweep [SEED]` prints one row per scenario and
//! policy. Targets, load reports and digests are simple models; pools, admission and deadline
//! budgets are the code that nodes run.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_policy::plan_admission;
use turnford_policy::AdmissionPlan;
use turnford_policy::DeadlineBudget;
use turnford_policy::LoadReport;
use turnford_policy::Moment;
use turnford_policy::PoolSettings;
use turnford_policy::ProbeGate;
use turnford_policy::QueueDecision;
use turnford_policy::RoutingPolicy;
use turnford_policy::ServicePool;
use turnford_policy::StageOutcome;
use turnford_policy::StagePlacement;
use turnford_policy::StageWork;
use turnford_policy::SubmitResult;
use turnford_policy::TargetFacts;

const NODES: usize = 8;
const DEADLINE: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(10);
const FAULT_AT: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(10);
const REPORT_EVERY: u64 = 25;
const DIGEST_EVERY: u64 = 30;
const QUEUE_PER_SLOT: usize = 4;
const QUANTILE: f64 = 0.9;

/// One service: name, targets, slots, base ms, ms per 1,000 tokens, ms per generated token.
const SERVICES: [(&str, usize, u32, f64, f64, f64); 4] = [
    ("post", 6, 8, 15.0, 10.0, 0.0),
    ("kort", 5, 8, 30.0, 10.0, 0.0),
    ("ejer", 6, 6, 25.0, 20.0, 0.0),
    ("sprog", 12, 6, 20.0, 60.0, 14.0),
];
const TOKENS: u32 = 40;
const INPUT: u32 = 600;

#[derive(Clone, Copy, PartialEq)]
enum FaultKind {
    None,
    SlowTarget,
    FastFailure,
    HallDown,
    PartialFailure,
    Burst,
    SlowPool,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    report_lag: Duration,
    fault: FaultKind,
}

#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    policy: RoutingPolicy,
    queues_work: bool,
    admits: bool,
    digests: bool,
    ejects: bool,
}

struct Target {
    slots: u32,
    slowness: f64,
    cost: f64,
    hall: usize,
    running: u32,
    queue: VecDeque<usize>,
    history: VecDeque<(Moment, u32)>,
}

struct Request {
    node: usize,
    account: usize,
    class: u8,
    length: u32,
    deadline: Moment,
    budget: DeadlineBudget,
    pending: Vec<Duration>,
    stage: usize,
    placement: Option<(usize, StagePlacement)>,
    active: bool,
    attempts: u8,
    tried: Vec<Arc<str>>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish {
        request: usize,
        service: usize,
        target: usize,
        failed: bool,
    },
    Tick(u64),
}

#[derive(Default)]
struct Totals {
    sent: u64,
    attained: u64,
    refused: u64,
    cost: f64,
    after_fault: (u64, u64),
}

struct Simulation {
    scenario: Scenario,
    variant: Variant,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    sequence: u64,
    targets: Vec<Vec<Target>>,
    pools: Vec<Vec<ServicePool>>,
    probes: [ProbeGate; NODES],
    queued: BTreeMap<(usize, usize, u64), usize>,
    requests: Vec<Request>,
    rate: f64,
    rng: SmallRng,
    totals: Totals,
}

impl Simulation {
    fn new(scenario: Scenario, variant: Variant, seed: u64) -> Self {
        let targets: Vec<Vec<Target>> = SERVICES.iter().map(make_targets).collect();
        let pools = (0..NODES)
            .map(|node| make_pools(&targets, variant, seed, node))
            .collect();
        let rate = full_rate() * scenario.load;
        let mut simulation = Self {
            scenario,
            variant,
            now: Moment::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            targets,
            pools,
            probes: [ProbeGate::default(); NODES],
            queued: BTreeMap::new(),
            requests: Vec::new(),
            rate,
            rng: SmallRng::seed_from_u64(seed),
            totals: Totals::default(),
        };
        simulation.push(Moment::ZERO, Event::Arrival);
        simulation.push(TICK, Event::Tick(1));
        simulation
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Totals {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > RUN_TIME + DEADLINE * 2 {
                break;
            }
            self.now = at;
            match event {
                Event::Arrival => self.handle_arrival(),
                Event::Finish {
                    request,
                    service,
                    target,
                    failed,
                } => {
                    self.finish(request, service, target, failed);
                }
                Event::Tick(tick) => self.tick(tick),
            }
        }
        self.totals
    }

    fn handle_arrival(&mut self) {
        if self.now >= RUN_TIME {
            return;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let next = self.now + Duration::from_secs_f64(-uniform.ln() / self.rate);
        self.push(next, Event::Arrival);
        let node = self.rng.random_range(0..NODES);
        let account = [0, 0, 0, 1, 1, 1, 2, 3, 4][self.rng.random_range(0..9)];
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let burst = self.scenario.fault == FaultKind::Burst
            && self.now >= FAULT_AT
            && self.now < FAULT_AT + Duration::from_secs(10);
        let factor = if burst { 6.0 } else { 1.0 };
        let length = (f64::from(INPUT) * spread * factor) as u32;
        let class = [0, 0, 1, 1, 2][account];
        if self.is_measured() {
            self.totals.sent += 1;
            self.totals.after_fault.1 += u64::from(self.now > FAULT_AT + Duration::from_secs(5));
        }
        let deadline = self.now + DEADLINE;
        let now = self.now;
        let pools = &mut self.pools[node];
        let demands: Vec<_> = (0..SERVICES.len())
            .map(|service| {
                pools[service].stage_demand(now, class, stage_length(service, length), QUANTILE)
            })
            .collect();
        let budget = match plan_admission(now, deadline, &demands, Some(&mut self.probes[node])) {
            AdmissionPlan::Admit(budget) => budget,
            AdmissionPlan::Refuse { .. } if !self.variant.admits => DeadlineBudget::new(
                deadline,
                demands.iter().map(|demand| demand.reserve).collect(),
            ),
            AdmissionPlan::Refuse { .. } => {
                self.totals.refused += u64::from(self.now >= WARM_UP);
                return;
            }
        };
        let mut pending = Vec::new();
        for (service, pool) in pools.iter_mut().enumerate() {
            let expected = pool.expected_time(now, stage_length(service, length));
            pool.add_pending(class, expected);
            pending.push(expected);
        }
        let request = self.requests.len();
        self.requests.push(Request {
            node,
            account,
            class,
            length,
            deadline,
            budget,
            pending,
            stage: 0,
            placement: None,
            active: true,
            attempts: 0,
            tried: Vec::new(),
        });
        self.submit(request);
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP && self.now < RUN_TIME
    }

    fn work(&self, request_id: usize) -> StageWork {
        let request = &self.requests[request_id];
        let length = stage_length(request.stage, request.length);
        let pools = &self.pools[request.node];
        let expected = pools[request.stage].expected_time(self.now, length);
        let later: Duration = (request.stage + 1..SERVICES.len())
            .map(|service| {
                pools[service].expected_time(self.now, stage_length(service, request.length))
            })
            .sum();
        StageWork {
            account: Arc::from(format!("a{}", request.account)),
            class: request.class,
            share: 1.0,
            cost_weight: 0.1,
            length,
            expected_time: expected,
            latest_start: request.budget.latest_start(request.stage),
            latest_end: request.budget.latest_end(request.stage),
            infeasible_after: request.deadline.saturating_sub(later + expected),
            model: None,
            prefix: None,
            tried: request.tried.clone(),
        }
    }

    fn submit(&mut self, request_id: usize) {
        let work = self.work(request_id);
        let request = &mut self.requests[request_id];
        let (node, service, class) = (request.node, request.stage, request.class);
        let pending = std::mem::take(&mut request.pending[service]);
        let pool = &mut self.pools[node][service];
        pool.remove_pending(class, pending);
        match pool.submit(self.now, work) {
            SubmitResult::Run(placement) => self.send(request_id, placement),
            SubmitResult::Queued(ticket) => {
                self.queued.insert((node, service, ticket), request_id);
                self.pump(node, service);
            }
            SubmitResult::Refused { .. } => self.end(request_id, false),
        }
    }

    fn pump(&mut self, node: usize, service: usize) {
        for verdict in self.pools[node][service].dispatch(self.now) {
            match verdict {
                QueueDecision::Run(ticket, placement) => {
                    if let Some(request_id) = self.queued.remove(&(node, service, ticket)) {
                        self.send(request_id, placement);
                    }
                }
                QueueDecision::Shed(ticket, _) => {
                    if let Some(request_id) = self.queued.remove(&(node, service, ticket)) {
                        self.end(request_id, false);
                    }
                }
            }
        }
    }

    fn send(&mut self, request_id: usize, placement: StagePlacement) {
        let service = self.requests[request_id].stage;
        let index = placement
            .target
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.requests[request_id].placement = Some((index, placement));
        let down = self.is_down(service, index);
        let fails = self.fails_fast(service, index);
        let target = &mut self.targets[service][index];
        if down || fails || target.queue.len() >= target.slots as usize * QUEUE_PER_SLOT {
            let failed = down || fails;
            let next_millisecond = self.now + Duration::from_millis(1);
            if failed {
                self.push(
                    next_millisecond,
                    Event::Finish {
                        request: request_id,
                        service,
                        target: usize::MAX,
                        failed,
                    },
                );
            } else {
                self.retry(request_id, StageOutcome::RefusedFull);
            }
            return;
        }
        if target.running < target.slots {
            self.start(request_id, service, index);
        } else {
            target.queue.push_back(request_id);
            record_load(target, self.now);
        }
    }

    fn start(&mut self, request_id: usize, service: usize, index: usize) {
        let noise: f64 = self.rng.random_range(0.8..1.2);
        let slow = self.slowness(service, index);
        let length = self.requests[request_id].length;
        let (_, _, _, base, per_kilo, per_token) = SERVICES[service];
        let target = &mut self.targets[service][index];
        target.running += 1;
        record_load(target, self.now);
        let crowding = 1.0 + 0.25 * f64::from(target.running) / f64::from(target.slots);
        let millis =
            (base + per_kilo * f64::from(length) / 1000.0) * noise + per_token * f64::from(TOKENS);
        let time = Duration::from_secs_f64(millis / 1000.0 * target.slowness * crowding * slow);
        let end = self.now + time;
        // A call is cancelled at the deadline of its request, which frees the slot.
        let end = end.min(self.requests[request_id].deadline.max(self.now));
        if self.now >= WARM_UP && self.now < RUN_TIME {
            self.totals.cost += (end - self.now).as_secs_f64() * target.cost;
        }
        let failed = self.fails_late(service, index);
        self.push(
            end,
            Event::Finish {
                request: request_id,
                service,
                target: index,
                failed,
            },
        );
    }

    fn finish(&mut self, request_id: usize, service: usize, index: usize, failed: bool) {
        if index != usize::MAX {
            let target = &mut self.targets[service][index];
            target.running -= 1;
            let next = target.queue.pop_front();
            record_load(target, self.now);
            if let Some(next) = next {
                self.start(next, service, index);
            }
        }
        if failed {
            self.retry(request_id, StageOutcome::Failed);
            return;
        }
        if self.now >= self.requests[request_id].deadline {
            self.finish_placement(request_id, StageOutcome::TimedOut);
            self.end(request_id, false);
            return;
        }
        self.finish_placement(request_id, StageOutcome::Completed);
        let request = &mut self.requests[request_id];
        request.stage += 1;
        request.attempts = 0;
        request.tried.clear();
        if request.stage == SERVICES.len() {
            self.end(request_id, true);
        } else {
            self.submit(request_id);
        }
    }

    fn retry(&mut self, request_id: usize, outcome: StageOutcome) {
        let target = self.finish_placement(request_id, outcome);
        let request = &mut self.requests[request_id];
        request.attempts += 1;
        request.tried.extend(target);
        if request.attempts >= 4 || self.now >= request.deadline {
            self.end(request_id, false);
            return;
        }
        let work = self.work(request_id);
        let (node, service) = (
            self.requests[request_id].node,
            self.requests[request_id].stage,
        );
        match self.pools[node][service].submit_retry(self.now, &work) {
            Some(placement) => self.send(request_id, placement),
            None if outcome == StageOutcome::RefusedFull => self.submit(request_id),
            None => self.end(request_id, false),
        }
    }

    fn finish_placement(&mut self, request_id: usize, outcome: StageOutcome) -> Option<Arc<str>> {
        let (node, service) = (
            self.requests[request_id].node,
            self.requests[request_id].stage,
        );
        let (_, placement) = self.requests[request_id].placement.take()?;
        self.pools[node][service].finish(self.now, &placement, outcome);
        self.pump(node, service);
        Some(placement.target)
    }

    fn end(&mut self, request_id: usize, completed: bool) {
        let request = &mut self.requests[request_id];
        if !std::mem::replace(&mut request.active, false) {
            return;
        }
        let (node, class) = (request.node, request.class);
        let pending = std::mem::take(&mut request.pending);
        for (service, expected) in pending.into_iter().enumerate() {
            self.pools[node][service].remove_pending(class, expected);
        }
        let request = &self.requests[request_id];
        let started = request.deadline - DEADLINE;
        if completed && started >= WARM_UP && started < RUN_TIME {
            self.totals.attained += 1;
            let after = started > FAULT_AT + Duration::from_secs(5);
            self.totals.after_fault.0 += u64::from(after);
        }
    }

    fn tick(&mut self, tick: u64) {
        self.push(self.now + TICK, Event::Tick(tick + 1));
        for node in 0..NODES {
            for service in 0..SERVICES.len() {
                self.pump(node, service);
            }
        }
        if tick.is_multiple_of(REPORT_EVERY) {
            self.report();
        }
        if self.variant.digests && tick.is_multiple_of(DIGEST_EVERY) {
            self.digest();
        }
    }

    fn report(&mut self) {
        let taken_at = self.now.saturating_sub(self.scenario.report_lag);
        for (service, targets) in self.targets.iter_mut().enumerate() {
            for (index, target) in targets.iter_mut().enumerate() {
                while target.history.len() > 1 && target.history[1].0 <= taken_at {
                    target.history.pop_front();
                }
                let inflight = target.history.front().map_or(0, |(_, count)| *count);
                let name = target_name(service, index);
                for pools in &mut self.pools {
                    pools[service].apply_report(&name, LoadReport { inflight, taken_at });
                }
            }
        }
    }

    fn digest(&mut self) {
        for service in 0..SERVICES.len() {
            let backlog: Vec<f64> = self
                .pools
                .iter()
                .map(|pools| pools[service].summary(self.now).backlog)
                .collect();
            let total: f64 = backlog.iter().sum();
            let own: Vec<Vec<u32>> = self
                .pools
                .iter()
                .map(|pools| {
                    pools[service]
                        .views()
                        .iter()
                        .map(|view| view.own_inflight())
                        .collect()
                })
                .collect();
            for (node, pools) in self.pools.iter_mut().enumerate() {
                let pool = &mut pools[service];
                pool.apply_peer_backlog(total - backlog[node], 1.0 / NODES as f64);
                let names: Vec<_> = pool
                    .views()
                    .iter()
                    .map(|view| view.facts.id.clone())
                    .collect();
                for (place, name) in names.iter().enumerate() {
                    let others = (0..NODES).filter(|other| *other != node);
                    let inflight = others.map(|other| own[other][place]).sum();
                    pool.apply_peer_load(self.now, name, inflight);
                }
            }
        }
    }

    fn is_fault_active(&self) -> bool {
        self.now >= FAULT_AT
    }

    /// Returns the slowdown factor of a call that starts now.
    fn slowness(&self, service: usize, index: usize) -> f64 {
        let slow_pool = self.scenario.fault == FaultKind::SlowPool
            && self.is_fault_active()
            && self.now < FAULT_AT + Duration::from_secs(10);
        let slow_target =
            self.scenario.fault == FaultKind::SlowTarget && self.is_fault_active() && index == 2;
        match (service, slow_pool, slow_target) {
            (3, true, _) => 3.0,
            (3, _, true) => 10.0,
            _ => 1.0,
        }
    }

    fn fails_fast(&self, service: usize, index: usize) -> bool {
        self.scenario.fault == FaultKind::FastFailure
            && self.is_fault_active()
            && service == 3
            && index == 2
    }

    fn is_down(&self, service: usize, index: usize) -> bool {
        self.scenario.fault == FaultKind::HallDown
            && self.is_fault_active()
            && self.targets[service][index].hall == 1
    }

    fn fails_late(&mut self, service: usize, index: usize) -> bool {
        let applies = self.scenario.fault == FaultKind::PartialFailure && self.is_fault_active();
        applies && service == 1 && index < 2 && self.rng.random_bool(0.8)
    }
}

fn record_load(target: &mut Target, now: Moment) {
    let inflight = target.running + target.queue.len() as u32;
    target.history.push_back((now, inflight));
    if target.history.len() > 4_000 {
        target.history.pop_front();
    }
}

fn target_name(service: usize, index: usize) -> String {
    // Two digits make the order of the names that of the numbers.
    format!("{}-{index:02}", SERVICES[service].0)
}

fn stage_length(service: usize, length: u32) -> u32 {
    if service == 3 {
        return length + TOKENS;
    }
    length
}

fn make_targets(spec: &(&str, usize, u32, f64, f64, f64)) -> Vec<Target> {
    let make = |index: usize| Target {
        slots: spec.2,
        slowness: if index.is_multiple_of(2) { 1.0 } else { 1.6 },
        cost: if index.is_multiple_of(2) { 1.0 } else { 0.5 },
        hall: index % 4,
        running: 0,
        queue: VecDeque::new(),
        history: VecDeque::from([(Moment::ZERO, 0)]),
    };
    (0..spec.1).map(make).collect()
}

fn make_pools(
    targets: &[Vec<Target>],
    variant: Variant,
    seed: u64,
    node: usize,
) -> Vec<ServicePool> {
    let make = |(service, targets): (usize, &Vec<Target>)| {
        let mut settings = PoolSettings {
            policy: variant.policy,
            queues_work: variant.queues_work,
            seed: seed * 1000 + (node * 10 + service) as u64,
            ..PoolSettings::default()
        };
        if !variant.ejects {
            settings.health = None;
        }
        let mut pool = ServicePool::new(settings);
        let facts = targets
            .iter()
            .enumerate()
            .map(|(index, target)| TargetFacts {
                id: Arc::from(target_name(service, index)),
                hardware: Arc::from(if target.slowness > 1.0 { "old" } else { "new" }),
                slots: target.slots,
                cost: target.cost,
                one_way_delay: Duration::from_micros(if target.hall == node % 4 {
                    100
                } else {
                    600
                }),
                models: Vec::new(),
            });
        pool.apply_list(facts.collect());
        pool.apply_peer_backlog(0.0, 1.0 / NODES as f64);
        pool
    };
    targets.iter().enumerate().map(make).collect()
}

/// Returns the rate in requests per second at which an ideal schedule uses all slots of the
/// bottleneck service.
fn full_rate() -> f64 {
    let rates = SERVICES.iter().map(|spec| {
        let millis = spec.3 + spec.4 * f64::from(INPUT) / 1000.0 + spec.5 * f64::from(TOKENS);
        let speeds: f64 = make_targets(spec)
            .iter()
            .map(|target| f64::from(target.slots) / (target.slowness * 1.25))
            .sum();
        speeds / (millis / 1000.0)
    });
    rates.fold(f64::INFINITY, f64::min)
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let lag = Duration::from_millis(500);
    let scenario = |name, load, fault| Scenario {
        name,
        load,
        report_lag: lag,
        fault,
    };
    let stale = Scenario {
        name: "stale reports 2 s, 1.0x",
        load: 1.0,
        report_lag: Duration::from_secs(2),
        fault: FaultKind::None,
    };
    let scenarios = [
        scenario("calm 0.6x", 0.6, FaultKind::None),
        scenario("0.9x", 0.9, FaultKind::None),
        scenario("full 1.0x", 1.0, FaultKind::None),
        scenario("1.5x", 1.5, FaultKind::None),
        scenario("2x", 2.0, FaultKind::None),
        scenario("3x", 3.0, FaultKind::None),
        scenario("burst of long inputs, 0.6x", 0.6, FaultKind::Burst),
        scenario("one target x10 slow, 0.6x", 0.6, FaultKind::SlowTarget),
        scenario("one target fails fast, 0.6x", 0.6, FaultKind::FastFailure),
        scenario("one hall gone, 0.6x", 0.6, FaultKind::HallDown),
        scenario(
            "a third of a pool fails 0.8, 0.6x",
            0.6,
            FaultKind::PartialFailure,
        ),
        scenario(
            "a whole pool x3 slow for 10 s, 0.6x",
            0.6,
            FaultKind::SlowPool,
        ),
        stale,
    ];
    let base = |name, policy| Variant {
        name,
        policy,
        queues_work: false,
        admits: false,
        digests: false,
        ejects: false,
    };
    let own = Variant {
        name: "estimated",
        policy: RoutingPolicy::Estimated,
        queues_work: true,
        admits: true,
        digests: true,
        ejects: true,
    };
    let variants = [
        own,
        Variant {
            name: "estimated, no digests",
            digests: false,
            ..own
        },
        Variant {
            name: "estimated, no ejection",
            ejects: false,
            ..own
        },
        Variant {
            name: "estimated, no admission",
            admits: false,
            ..own
        },
        base("least-in-flight", RoutingPolicy::LeastInFlight),
        base("round-robin", RoutingPolicy::RoundRobin),
        base("random", RoutingPolicy::Random),
    ];
    println!(
        "full rate {:.1} requests/s, {NODES} nodes, seed {seed}",
        full_rate()
    );
    println!("| scenario | policy | attained | goodput/s | refused | cost/attained | after 5 s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scenario in scenarios {
        for variant in variants {
            let totals = Simulation::new(scenario, variant, seed).run();
            let sent = totals.sent.max(1) as f64;
            println!(
                "| {} | {} | {:.4} | {:.1} | {:.3} | {:.4} | {:.4} |",
                scenario.name,
                variant.name,
                totals.attained as f64 / sent,
                totals.attained as f64 / (RUN_TIME - WARM_UP).as_secs_f64(),
                totals.refused as f64 / sent,
                totals.cost / totals.attained.max(1) as f64,
                totals.after_fault.0 as f64 / totals.after_fault.1.max(1) as f64,
            );
        }
    }
}
