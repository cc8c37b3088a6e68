//! One run: the site, its nodes, the faults of a plan and the checks.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http::Method;
use rustix::process::Signal;
use serde_json::Value;
use turnford_http::HttpClient;
use turnford_standin::start_threads;
use turnford_standin::LinkProxy;
use turnford_standin::LinkState;
use turnford_standin::MetaSnapshot;
use turnford_standin::RouteSite;
use turnford_standin::RouteTarget;
use turnford_standin::RunKind;
use turnford_standin::SharedExecutor;
use turnford_standin::StallPoint;

use crate::check::check_calls;
use crate::check::check_crashing;
use crate::check::check_ends;
use crate::check::check_recovery;
use crate::check::check_stops;
use crate::check::check_versions;
use crate::check::NodeInterval;
use crate::check::PROPAGATION_TIME;
use crate::client::run_client;
use crate::client::run_crashing;
use crate::client::run_resuming;
use crate::client::ClientContext;
use crate::client::CRASHING_BODY;
use crate::client::NO_NODE;
use crate::client::RESUMED_ROUTE;
use crate::plan::node_count;
use crate::plan::Fault;
use crate::plan::FaultPlan;
use crate::plan::BRITTLE_REJECTIONS;
use crate::plan::BRITTLE_ROOM;
use crate::process::NodeProcess;
use crate::process::GRACE_PERIOD_S;
use crate::quota::CpuQuota;
use crate::word::check_backoff;
use crate::word::check_leaving;
use crate::word::check_limit;
use crate::word::last_targets;
use crate::word::LimitInterval;

/// Clients of a run.
const CLIENTS: usize = 24;

/// Clients that drop streams and resume them.
const RESUMING_CLIENTS: usize = 6;

/// Interval between steps of a run.
const TICK: Duration = Duration::from_millis(20);

/// Interval between readiness probes, as the platform sends them.
const READY_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out of a call to a node's readiness or metrics address.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before an exited process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Delay after which a target that left is ready again.
const RELIST_DELAY: Duration = Duration::from_secs(5);

/// Time after a fault of a node during which time bounds aren't checked for it.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Length of the period after recovery in which requests must be served.
const FINAL_PERIOD: Duration = Duration::from_secs(4);

/// Time within which a node detects that its connections to the store are dead: its longest watch and
/// the watch's margin.
const BLACKHOLE_DETECTION_TIME: Duration = Duration::from_secs(4);

/// Time within which a started process has a configuration.
const START_TIME: Duration = Duration::from_secs(2);

/// Routes that a large change adds, about 200 KB.
const ADDED_ROUTES: usize = 800;

/// Maximum age of a snapshot, which is the oldest that a restore uses.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_secs(4);

/// Interval between snapshots of the store.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the store is unavailable before it is restored.
const STORE_DOWNTIME: Duration = Duration::from_millis(400);

/// Time after a restore until the operator and the targets have rewritten what was lost.
const REWRITE_TIME: Duration = Duration::from_millis(1200);

/// Part of a core that a node gets while most new connections go to it: less than they need.
const HOT_CPU_SHARE: f64 = 0.04;

/// Number of runs that this process has started; gives each run its own addresses.
static RUNS: AtomicU16 = AtomicU16::new(0);

/// A step that is scheduled for a later time.
enum ScheduledStep {
    Start(usize),
    Resume(usize),
    StoreLink(Option<usize>),
    ClientLink(usize),
    TargetLinks(usize),
    /// The node is no longer preferred for new connections and gets a whole core again.
    EndHot(usize),
    /// The target's responses are sound again.
    EndFaultyResponses(usize),
    /// The target no longer announces that it is brittle.
    EndBrittle(usize),
    Relist(usize),
    /// The target restarts and no longer announces that it is leaving.
    Restart(usize),
    /// The target of a limit stops announcing it.
    EndLimit(usize),
    /// The store is restored from a snapshot.
    RestoreStore(Box<MetaSnapshot>),
    /// The operator and the targets rewrite their objects.
    Rewrite,
    /// Check that a target received no calls since it left.
    CheckLeft(usize, usize),
    /// Check that a configuration is in force.
    CheckVersion(u64),
}

/// State of a run.
struct SoakRun {
    executor: SharedExecutor,
    site: RouteSite,
    config: Value,
    version: u64,
    nodes: Vec<NodeProcess>,
    stores: Vec<LinkProxy>,
    /// Links to all targets by node.
    targets: Vec<Vec<LinkProxy>>,
    context: Arc<ClientContext>,
    client: HttpClient,
    scheduled: Vec<(Instant, ScheduledStep)>,
    /// Planned stops, from the signal to the exit of the process.
    stops: Vec<NodeInterval>,
    /// Times in which nodes or their links were disturbed.
    disturbances: Vec<NodeInterval>,
    stopping: HashMap<usize, Instant>,
    /// Kills and suspensions of nodes, which may have lost or missed announcements.
    interruptions: Vec<NodeInterval>,
    /// Snapshots of the store, the newest last.
    snapshots: Vec<(Instant, MetaSnapshot)>,
    /// Restarts of targets under the same id.
    restarts: Vec<(String, Instant)>,
    /// Nodes that get a part of a core.
    quotas: HashMap<usize, CpuQuota>,
    /// Limits that targets announced.
    limits: Vec<LimitInterval>,
    /// Last configuration version that each node reported, with the number of the process's start.
    reported: HashMap<usize, (usize, u64)>,
    violations: Vec<String>,
    folder: PathBuf,
}

/// Runs the plan of a seed; returns the violations and the directory of the logs.
pub(crate) fn run_seed(seed: u64) -> (Vec<String>, PathBuf) {
    let mut run = SoakRun::start(seed);
    let plan = FaultPlan::new(seed);
    let started_at = Instant::now();
    let recovered_by = started_at + FaultPlan::recovery_deadline();
    if plan.has_crashing {
        run.start_crashing(started_at);
    }
    let kills_all = plan.kills_all();
    let mut steps = plan.steps.into_iter().peekable();
    let mut next_poll = started_at;
    while Instant::now() < recovered_by + FINAL_PERIOD {
        while steps
            .next_if(|(at, _)| started_at + *at <= Instant::now())
            .map(|(_, fault)| run.apply(fault))
            .is_some()
        {}
        run.take_snapshot();
        run.run_due_steps();
        run.restart_exited();
        if Instant::now() >= next_poll {
            next_poll = Instant::now() + READY_INTERVAL;
            run.poll_nodes();
        }
        std::thread::sleep(TICK);
    }
    run.finish(recovered_by, kills_all);
    (run.violations.clone(), run.folder.clone())
}

/// Returns the configuration of a run, with a route whose streams may be resumed.
fn soak_config() -> Value {
    let text = include_str!("../../../../scenarios/routes.json");
    let mut config: Value = serde_json::from_str(text).expect("a configuration");
    let routes = config["routes"].as_array_mut().expect("routes");
    let streaming = routes.iter().find(|route| route["kind"] == "streaming");
    let mut route = streaming.expect("a streaming route").clone();
    route["name"] = Value::from(RESUMED_ROUTE);
    route["path_prefix"] = Value::from(format!("/{RESUMED_ROUTE}/"));
    route["resumable"] = Value::from(true);
    route["max_attempts"] = Value::from(2);
    route["stages"] = Value::Array(Vec::new());
    routes.push(route);
    config
}

impl SoakRun {
    fn start(seed: u64) -> Self {
        let executor = start_threads("soak", 3);
        let config = soak_config();
        let site = RouteSite::start(&config.to_string(), &executor).expect("a site on loopback");
        let number = RUNS.fetch_add(1, Ordering::SeqCst);
        let process = (std::process::id() % 251) as u16;
        let run = number.wrapping_mul(251).wrapping_add(process);
        let folder =
            std::env::temp_dir().join(format!("turnford-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let mut nodes = Vec::new();
        let mut stores = Vec::new();
        let mut links = Vec::new();
        let mut targets = Vec::new();
        for node in 0..node_count() {
            let store = LinkProxy::start(&executor, site.address).expect("a free port");
            let own_targets: Vec<LinkProxy> = site
                .targets
                .iter()
                .map(|target| LinkProxy::start(&executor, target.address()).expect("a free port"))
                .collect();
            let addresses = site.targets.iter().map(RouteTarget::address);
            let own_addresses = own_targets.iter().map(|link| link.address);
            let addresses: Vec<_> = addresses.zip(own_addresses).collect();
            let mut process =
                NodeProcess::new(&folder, run, node, "hal-a", store.address, &addresses);
            targets.push(own_targets);
            links.push(LinkProxy::start(&executor, process.listen()).expect("a free port"));
            process.set_first_start();
            process.start();
            nodes.push(process);
            stores.push(store);
        }
        let context = ClientContext::new(links, site.calls());
        for _ in 0..CLIENTS {
            executor.spawn(run_client(context.clone())).detach();
        }
        for _ in 0..RESUMING_CLIENTS {
            executor.spawn(run_resuming(context.clone())).detach();
        }
        Self {
            executor,
            version: config["version"].as_u64().unwrap_or(1),
            config,
            site,
            nodes,
            stores,
            targets,
            context,
            client: HttpClient::new(),
            scheduled: Vec::new(),
            stops: Vec::new(),
            disturbances: Vec::new(),
            stopping: HashMap::new(),
            interruptions: Vec::new(),
            snapshots: Vec::new(),
            restarts: Vec::new(),
            quotas: HashMap::new(),
            limits: Vec::new(),
            reported: HashMap::new(),
            violations: Vec::new(),
            folder,
        }
    }

    fn after(&mut self, duration: Duration, step: ScheduledStep) {
        self.scheduled.push((Instant::now() + duration, step));
    }

    fn record_disturbance(&mut self, node: usize, duration: Duration) {
        let begin = Instant::now();
        self.disturbances.push(NodeInterval {
            node,
            begin,
            end: begin + duration,
        });
    }

    fn record_interruption(&mut self, node: usize, duration: Duration) {
        let begin = Instant::now();
        self.interruptions.push(NodeInterval {
            node,
            begin,
            end: begin + duration,
        });
    }

    /// Starts a client that sends a request that crashes targets during the fault period.
    fn start_crashing(&self, started_at: Instant) {
        for target in &self.site.targets {
            target.crash_on(CRASHING_BODY);
        }
        let (lead, end) = FaultPlan::fault_period();
        let context = self.context.clone();
        let send = async move {
            Timer::after(lead).await;
            run_crashing(context, started_at + end).await;
        };
        self.executor.spawn(send).detach();
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Stop(node) => {
                let begin = Instant::now();
                if self.nodes[node].is_running() && !self.stopping.contains_key(&node) {
                    self.nodes[node].signal(Signal::TERM);
                    self.stopping.insert(node, begin);
                }
            }
            Fault::Kill(node) => self.kill(node),
            Fault::KillAll => (0..node_count()).for_each(|node| self.kill(node)),
            Fault::Pause(node, duration) => {
                self.record_disturbance(node, duration + CONTACT_TIME);
                self.record_interruption(node, duration);
                self.nodes[node].signal(Signal::STOP);
                self.after(duration, ScheduledStep::Resume(node));
            }
            Fault::StoreLink(node, state, duration) => {
                for node in node.map_or(0..node_count(), |node| node..node + 1) {
                    self.record_disturbance(node, duration + CONTACT_TIME);
                    self.stores[node].set(state);
                }
                self.after(duration, ScheduledStep::StoreLink(node));
            }
            Fault::ClientLink(node, state, duration) => {
                self.record_disturbance(node, duration + CONTACT_TIME);
                self.context.links[node].set(state);
                self.after(duration, ScheduledStep::ClientLink(node));
            }
            Fault::Target(target, fault, count) => {
                self.site.targets[target].inject_faults(vec![fault; count]);
            }
            Fault::Leave(target) => {
                self.site.targets[target].publish("draining");
                self.after(
                    PROPAGATION_TIME,
                    ScheduledStep::CheckLeft(target, self.site.journal.runs().len()),
                );
                self.after(RELIST_DELAY, ScheduledStep::Relist(target));
            }
            Fault::Config => self.write_config(),
            Fault::LargeConfig => {
                self.add_routes();
                self.write_config();
            }
            Fault::BlackholeStore(node) => {
                self.record_disturbance(node, BLACKHOLE_DETECTION_TIME + CONTACT_TIME);
                self.stores[node].blackhole_open();
            }
            Fault::Compact => self.site.store.compact_history(),
            Fault::AnnounceLeaving(target) => {
                self.site.targets[target].announce_leaving(true);
                self.after(RELIST_DELAY, ScheduledStep::Restart(target));
            }
            Fault::Backoff(target, duration) => self.site.targets[target].request_backoff(duration),
            Fault::TargetCut(node, cut, duration) => {
                for link in &self.targets[node] {
                    link.cut(cut).expect("a port");
                }
                self.after(duration, ScheduledStep::TargetLinks(node));
            }
            Fault::Brittle(target, duration) => {
                self.site.targets[target].announce_brittle(Some(BRITTLE_REJECTIONS), BRITTLE_ROOM);
                self.after(duration, ScheduledStep::EndBrittle(target));
            }
            Fault::Repeat(target, every, duration) => {
                self.site.targets[target].repeat_responses(every);
                self.after(duration, ScheduledStep::EndFaultyResponses(target));
            }
            Fault::Stall(target, every, point, duration) => {
                self.site.targets[target].stall_responses(every, point);
                self.after(duration, ScheduledStep::EndFaultyResponses(target));
            }
            Fault::HotNode(node, duration) => {
                self.context.prefer(node);
                if let Some(quota) = self.nodes[node].limit_cpu(HOT_CPU_SHARE) {
                    self.quotas.insert(node, quota);
                }
                self.after(duration, ScheduledStep::EndHot(node));
            }
            Fault::Replace(target, version, delay) => {
                let target = &self.site.targets[target];
                target.replace_process(version, delay);
                self.restarts.push((target.id().to_owned(), Instant::now()));
            }
            Fault::RestoreStore(age) => self.begin_store_restore(age),
            Fault::Limit(target, rate, duration) => {
                let target = &self.site.targets[target];
                target.announce_limit(Some(rate));
                let begin = Instant::now();
                self.limits.push(LimitInterval {
                    target: target.clone(),
                    rate: rate.parse().expect("a rate"),
                    begin,
                    end: begin + duration,
                });
                self.after(duration, ScheduledStep::EndLimit(self.limits.len() - 1));
            }
        }
    }

    /// Makes the store unavailable and schedules its restore from a snapshot of the given age.
    fn begin_store_restore(&mut self, age: Duration) {
        let taken = Instant::now().checked_sub(age);
        let snapshot = self.snapshots.iter().find(|(at, _)| Some(*at) >= taken);
        let Some((_, snapshot)) = snapshot else {
            return;
        };
        let snapshot = Box::new(snapshot.clone());
        for node in 0..node_count() {
            self.record_disturbance(node, STORE_DOWNTIME + REWRITE_TIME + CONTACT_TIME);
            self.stores[node].set(LinkState::Reset);
        }
        self.after(STORE_DOWNTIME, ScheduledStep::RestoreStore(snapshot));
        self.after(STORE_DOWNTIME, ScheduledStep::StoreLink(None));
        self.after(STORE_DOWNTIME + REWRITE_TIME, ScheduledStep::Rewrite);
    }

    /// Takes a snapshot of the store if one is due, and drops snapshots that are too old.
    fn take_snapshot(&mut self) {
        let now = Instant::now();
        let is_due =
            |(at, _): &(Instant, MetaSnapshot)| now.duration_since(*at) >= SNAPSHOT_INTERVAL;
        if self.snapshots.last().is_none_or(is_due) {
            self.snapshots
                .retain(|(at, _)| now.duration_since(*at) <= SNAPSHOT_MAX_AGE);
            self.snapshots.push((now, self.site.store.snapshot()));
        }
    }

    /// Writes the configuration with a higher version.
    fn write_config(&mut self) {
        self.version += 3;
        self.config["version"] = Value::from(self.version);
        self.site.store.put("config", "main", self.config.clone());
        self.after(PROPAGATION_TIME, ScheduledStep::CheckVersion(self.version));
    }

    /// Adds routes that no client calls.
    fn add_routes(&mut self) {
        let Some(routes) = self.config["routes"].as_array_mut() else {
            return;
        };
        let template = routes[0].clone();
        for number in routes.len()..routes.len() + ADDED_ROUTES {
            let mut route = template.clone();
            route["name"] = Value::from(format!("added-{number}"));
            route["path_prefix"] = Value::from(format!("/added-{number}/"));
            routes.push(route);
        }
    }

    fn kill(&mut self, node: usize) {
        self.record_disturbance(node, RESTART_DELAY + CONTACT_TIME);
        self.record_interruption(node, RESTART_DELAY);
        self.nodes[node].signal(Signal::KILL);
    }

    /// Runs the scheduled steps that are due.
    fn run_due_steps(&mut self) {
        let now = Instant::now();
        let (due, scheduled) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.scheduled = scheduled;
        for (_, step) in due {
            self.run_step(step);
        }
    }

    fn run_step(&mut self, step: ScheduledStep) {
        match step {
            ScheduledStep::Start(node) => self.nodes[node].start(),
            ScheduledStep::Resume(node) => self.nodes[node].signal(Signal::CONT),
            ScheduledStep::StoreLink(node) => {
                for node in node.map_or(0..node_count(), |node| node..node + 1) {
                    self.stores[node].set(LinkState::Open);
                }
            }
            ScheduledStep::ClientLink(node) => self.context.links[node].set(LinkState::Open),
            ScheduledStep::TargetLinks(node) => {
                for link in &self.targets[node] {
                    link.heal().expect("a port");
                }
            }
            ScheduledStep::EndHot(node) => {
                self.context.prefer(NO_NODE);
                self.quotas.remove(&node);
            }
            ScheduledStep::EndFaultyResponses(target) => {
                self.site.targets[target].repeat_responses(0);
                self.site.targets[target].stall_responses(0, StallPoint::Start);
            }
            ScheduledStep::EndBrittle(target) => {
                self.site.targets[target].announce_brittle(None, 0);
            }
            ScheduledStep::Relist(target) => self.site.targets[target].publish("ready"),
            ScheduledStep::Restart(target) => {
                let target = &self.site.targets[target];
                target.announce_leaving(false);
                target.restart();
                self.restarts.push((target.id().to_owned(), Instant::now()));
            }
            ScheduledStep::EndLimit(limit) => self.limits[limit].target.announce_limit(None),
            ScheduledStep::RestoreStore(snapshot) => {
                self.site.store.restore(*snapshot);
                // Earlier snapshots belong to the discarded history.
                self.snapshots.clear();
            }
            ScheduledStep::Rewrite => {
                self.site.store.put("config", "main", self.config.clone());
                for target in &self.site.targets {
                    target.republish();
                }
                self.after(PROPAGATION_TIME, ScheduledStep::CheckVersion(self.version));
            }
            ScheduledStep::CheckLeft(target, before) => self.check_left(target, before),
            ScheduledStep::CheckVersion(version) => self.check_version(version),
        }
    }

    /// Returns whether a node has been free of faults for long enough to check time bounds.
    fn is_undisturbed(&self, node: usize) -> bool {
        let now = Instant::now();
        let is_disturbed = |disturbance: &NodeInterval| {
            disturbance.node == node && disturbance.begin <= now && now <= disturbance.end
        };
        let is_stopping = self.stopping.contains_key(&node);
        self.nodes[node].is_running() && !is_stopping && !self.disturbances.iter().any(is_disturbed)
    }

    /// Checks that a leaving target receives no calls, provided that no node is disturbed.
    fn check_left(&mut self, target: usize, before: usize) {
        if !(0..node_count()).all(|node| self.is_undisturbed(node)) {
            return;
        }
        let id = self.site.targets[target].id().to_owned();
        // Only calls that arrive during the next 300 ms count: earlier ones were within the time bound.
        let seen = self.site.journal.runs().len();
        std::thread::sleep(Duration::from_millis(300));
        let runs = self.site.journal.runs();
        let late = runs[seen.max(before)..]
            .iter()
            .find(|run| run.target == id && !matches!(run.kind, RunKind::Release(_)));
        if let Some(run) = late {
            self.violations
                .push(format!("a target that left received a call: {run:?}"));
        }
    }

    fn check_version(&mut self, version: u64) {
        for node in 0..node_count() {
            if !self.is_undisturbed(node) {
                continue;
            }
            let reported = self.read_version(node);
            if reported == Some(0) && self.nodes[node].age() < START_TIME {
                // The process has just started and serves no requests yet; checked again later.
                self.after(START_TIME, ScheduledStep::CheckVersion(version));
                continue;
            }
            if reported.is_some_and(|reported| reported < version) && self.is_undisturbed(node) {
                let name = &self.nodes[node].name;
                let line = format!("{name} has configuration {reported:?}, {version} was written");
                self.violations.push(line);
            }
        }
    }

    fn read_version(&self, node: usize) -> Option<u64> {
        let text = self.get(self.nodes[node].metrics(), "/metrics")?.1;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("turnford_config_version "))?;
        line.parse().ok()
    }

    fn get(&self, to: std::net::SocketAddr, path: &str) -> Option<(u16, String)> {
        let request = HttpClient::request(Method::GET, to, path).ok()?;
        let answer = async_io::block_on(self.client.send(to, request, ASK_TIMEOUT)).ok()?;
        Some((answer.status, String::from_utf8(answer.body).ok()?))
    }

    /// Checks how exited processes ended, and schedules their restart.
    fn restart_exited(&mut self) {
        for node in 0..node_count() {
            let Some(status) = self.nodes[node].ended() else {
                continue;
            };
            let now = Instant::now();
            let was_killed = std::os::unix::process::ExitStatusExt::signal(&status) == Some(9);
            match self.stopping.remove(&node) {
                Some(begin) => {
                    self.stops.push(NodeInterval {
                        node,
                        begin,
                        end: now,
                    });
                    let took = now.saturating_duration_since(begin);
                    let is_late = took > Duration::from_secs(GRACE_PERIOD_S);
                    let is_disturbed = self
                        .disturbances
                        .iter()
                        .any(|disturbance| disturbance.node == node && disturbance.end >= begin);
                    if is_late && !is_disturbed {
                        let name = &self.nodes[node].name;
                        self.violations
                            .push(format!("{name} took {took:?} to stop"));
                    }
                }
                None if was_killed => {}
                None => {
                    let name = &self.nodes[node].name;
                    self.violations
                        .push(format!("{name} exited unexpectedly: {status}"));
                }
            }
            self.after(RESTART_DELAY, ScheduledStep::Start(node));
        }
    }

    /// Probes the readiness of nodes, as the platform does, and reads their configuration versions.
    fn poll_nodes(&mut self) {
        for node in 0..node_count() {
            let answer = self.get(self.nodes[node].ready(), "/v1/readiness");
            let is_ready = answer.is_some_and(|(status, _)| status == 200);
            self.context.ready[node].store(is_ready, Ordering::SeqCst);
            let Some(version) = self.read_version(node) else {
                continue;
            };
            let start = self.nodes[node].starts();
            let reported = self.reported.insert(node, (start, version));
            if reported.is_some_and(|(before, old)| before == start && old > version) {
                let name = &self.nodes[node].name;
                self.violations
                    .push(format!("{name} reverted to configuration {version}"));
            }
        }
    }

    /// Stops the clients and runs the checks on their records.
    fn finish(&mut self, recovered_by: Instant, kills_all: bool) {
        self.context.is_over.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(2));
        self.check_version(self.version);
        let records = self.context.ended();
        let interruptions: Vec<NodeInterval> = [&self.interruptions[..], &self.stops[..]].concat();
        let last = last_targets(&self.site.targets);
        for target in &self.site.targets {
            let left = check_leaving(target, &last, &records, &self.restarts, &interruptions);
            self.violations.extend(left);
            let backoff = check_backoff(target, &records, &interruptions);
            self.violations.extend(backoff);
        }
        let limits = self.limits.iter();
        let passed =
            limits.filter_map(|limit| check_limit(limit, &self.limits, &records, &interruptions));
        self.violations.extend(passed);
        if !kills_all {
            let crashing = check_crashing(&self.context.crashing(), &self.site.journal.runs());
            self.violations.extend(crashing);
        }
        let resumed = self.context.resumed();
        let mixed = check_versions(&resumed, &self.site.journal.runs());
        self.violations.extend(mixed);
        // A request that is still in progress has no record yet, and may have run.
        let runs = self.site.journal.runs();
        let known = runs
            .into_iter()
            .filter(|run| records.contains_key(&run.attempt));
        let runs: Vec<_> = known.collect();
        self.violations.extend(check_calls(&records, &runs));
        let stops = check_stops(&records, &runs, &self.stops, &self.disturbances);
        self.violations.extend(stops);
        self.violations
            .extend(check_ends(&records, &self.disturbances));
        self.violations
            .extend(check_recovery(&records, recovered_by));
        let served = records
            .values()
            .filter(|record| matches!(record.end, crate::client::CallResult::Response(200, ..)));
        let gone_on = resumed.iter().filter(|stream| stream.status == Some(200));
        println!(
            "{} requests, {} served; {} streams resumed, {} went on",
            records.len(),
            served.count(),
            resumed.len(),
            gone_on.count()
        );
        // Keeps the executor in use until the end of the run.
        let _ = &self.executor;
    }
}
