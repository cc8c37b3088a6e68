//! One run: the site, its nodes, the faults of a plan, and the promises.

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
use turnford_standin::RunKind;
use turnford_standin::SharedExecutor;

use crate::check::check_calls;
use crate::check::check_crashing;
use crate::check::check_recovery;
use crate::check::check_stops;
use crate::check::NodeSpan;
use crate::check::IN_FORCE;
use crate::client::run_client;
use crate::client::run_crashing;
use crate::client::ClientRoom;
use crate::client::CRASHING;
use crate::plan::node_count;
use crate::plan::Fault;
use crate::plan::FaultPlan;
use crate::process::NodeProcess;
use crate::process::GRACE_S;
use crate::word::check_leaving;
use crate::word::check_limit;
use crate::word::check_rests;
use crate::word::last_targets;
use crate::word::LimitSpan;

/// Clients of a run.
const CLIENTS: usize = 24;

/// Pause between steps of a run.
const TICK: Duration = Duration::from_millis(20);

/// Pause between questions whether nodes are ready, as the platform makes them.
const READY_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for an answer about a node.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Time before a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Time in which a target that left comes back, as a new entry.
const RETURN_PAUSE: Duration = Duration::from_secs(5);

/// Time after a fault of a node for which it is not held to time bounds.
const CONTACT_SPAN: Duration = Duration::from_secs(4);

/// Time after all faults in which requests must be served.
const LAST_SPAN: Duration = Duration::from_secs(4);

/// Time in which a node finds out that its connections to the store are silent: its longest watch
/// and the margin of that.
const MUTE_SPAN: Duration = Duration::from_secs(4);

/// Time in which a process that was started has a configuration.
const START_SPAN: Duration = Duration::from_secs(2);

/// Routes that a large change adds; they have some 200 KB.
const ADDED_ROUTES: usize = 800;

/// Age by which copies of the store are kept, the oldest that a drill takes.
const COPY_SPAN: Duration = Duration::from_secs(4);

/// Pause between copies of the store.
const COPY_PAUSE: Duration = Duration::from_millis(250);

/// Time for which the store is away before it comes back from a copy.
const DRILL_SPAN: Duration = Duration::from_millis(400);

/// Time after that in which the operator and the targets have written again what is missing.
const REWRITE_SPAN: Duration = Duration::from_millis(1200);

/// Number of runs that this process has begun, for addresses of their own.
static RUNS: AtomicU16 = AtomicU16::new(0);

/// Something that is to be done later.
enum Later {
    Start(usize),
    Wake(usize),
    StoreLink(Option<usize>),
    ClientLink(usize),
    Return(usize),
    /// The target starts again and no longer says that it leaves.
    Reborn(usize),
    /// The target of a limit names none any more.
    Unlimited(usize),
    /// The store comes back from a copy.
    Restore(Box<MetaSnapshot>),
    /// The operator and the targets write again what they wrote.
    Rewrite,
    /// Check that a target has got nothing since it left.
    Left(usize, usize),
    /// Check that a configuration is in force.
    InForce(u64),
}

/// A run.
struct SoakRun {
    executor: SharedExecutor,
    site: RouteSite,
    config: Value,
    version: u64,
    nodes: Vec<NodeProcess>,
    stores: Vec<LinkProxy>,
    room: Arc<ClientRoom>,
    client: HttpClient,
    later: Vec<(Instant, Later)>,
    /// Planned stops, from the signal to the end of the process.
    stops: Vec<NodeSpan>,
    /// Faults of nodes and their links.
    harms: Vec<NodeSpan>,
    stopping: HashMap<usize, Instant>,
    /// Kills and freezes of nodes, after which what they heard before excuses them.
    interrupts: Vec<NodeSpan>,
    /// Copies of the store, the newest last.
    copies: Vec<(Instant, MetaSnapshot)>,
    /// Starts of targets under their ids, since the run began.
    reborn: Vec<(String, Instant)>,
    /// Limits that targets named.
    limits: Vec<LimitSpan>,
    /// Highest version that a process told, with the process's number.
    told: HashMap<usize, (usize, u64)>,
    broken: Vec<String>,
    folder: PathBuf,
}

/// Plays the plan of a seed; returns what broke a promise, and where the logs are.
pub(crate) fn play(seed: u64) -> (Vec<String>, PathBuf) {
    let mut run = SoakRun::start(seed);
    let plan = FaultPlan::new(seed);
    let begun = Instant::now();
    let settled = begun + FaultPlan::settled_at();
    if plan.has_crashing {
        run.start_crashing(begun);
    }
    let forgets = plan.kills_all();
    let mut steps = plan.steps.into_iter().peekable();
    let mut ask_at = begun;
    while Instant::now() < settled + LAST_SPAN {
        while steps
            .next_if(|(at, _)| begun + *at <= Instant::now())
            .map(|(_, fault)| run.apply(fault))
            .is_some()
        {}
        run.keep_copy();
        run.do_due();
        run.watch_ends();
        if Instant::now() >= ask_at {
            ask_at = Instant::now() + READY_PAUSE;
            run.ask_nodes();
        }
        std::thread::sleep(TICK);
    }
    run.finish(settled, forgets);
    (run.broken.clone(), run.folder.clone())
}

impl SoakRun {
    fn start(seed: u64) -> Self {
        let executor = start_threads("soak", 3);
        let config = include_str!("../../../../scenarios/routes.json");
        let site = RouteSite::start(config, &executor).expect("a site on loopback");
        let number = RUNS.fetch_add(1, Ordering::SeqCst);
        let process = (std::process::id() % 251) as u16;
        let run = number.wrapping_mul(251).wrapping_add(process);
        let folder =
            std::env::temp_dir().join(format!("turnford-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let mut nodes = Vec::new();
        let mut stores = Vec::new();
        let mut links = Vec::new();
        for node in 0..node_count() {
            let store = LinkProxy::start(&executor, site.address).expect("a free port");
            let mut process = NodeProcess::new(&folder, run, node, store.address);
            links.push(LinkProxy::start(&executor, process.listen()).expect("a free port"));
            process.start();
            nodes.push(process);
            stores.push(store);
        }
        let room = ClientRoom::new(links, site.calls());
        for _ in 0..CLIENTS {
            executor.spawn(run_client(room.clone())).detach();
        }
        let config: Value = serde_json::from_str(config).expect("a configuration");
        Self {
            executor,
            version: config["version"].as_u64().unwrap_or(1),
            config,
            site,
            nodes,
            stores,
            room,
            client: HttpClient::new(),
            later: Vec::new(),
            stops: Vec::new(),
            harms: Vec::new(),
            stopping: HashMap::new(),
            interrupts: Vec::new(),
            copies: Vec::new(),
            reborn: Vec::new(),
            limits: Vec::new(),
            told: HashMap::new(),
            broken: Vec::new(),
            folder,
        }
    }

    fn after(&mut self, span: Duration, later: Later) {
        self.later.push((Instant::now() + span, later));
    }

    fn harm(&mut self, node: usize, span: Duration) {
        let begin = Instant::now();
        self.harms.push(NodeSpan {
            node,
            begin,
            end: begin + span,
        });
    }

    fn interrupt(&mut self, node: usize, span: Duration) {
        let begin = Instant::now();
        self.interrupts.push(NodeSpan {
            node,
            begin,
            end: begin + span,
        });
    }

    /// Has a client send a request that crashes targets while faults begin.
    fn start_crashing(&self, begun: Instant) {
        for target in &self.site.targets {
            target.crash_on(CRASHING);
        }
        let (lead, end) = FaultPlan::fault_span();
        let room = self.room.clone();
        let send = async move {
            Timer::after(lead).await;
            run_crashing(room, begun + end).await;
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
            Fault::Pause(node, span) => {
                self.harm(node, span + CONTACT_SPAN);
                self.interrupt(node, span);
                self.nodes[node].signal(Signal::STOP);
                self.after(span, Later::Wake(node));
            }
            Fault::StoreLink(node, state, span) => {
                for node in node.map_or(0..node_count(), |node| node..node + 1) {
                    self.harm(node, span + CONTACT_SPAN);
                    self.stores[node].set(state);
                }
                self.after(span, Later::StoreLink(node));
            }
            Fault::ClientLink(node, state, span) => {
                self.harm(node, span + CONTACT_SPAN);
                self.room.links[node].set(state);
                self.after(span, Later::ClientLink(node));
            }
            Fault::Target(target, fault, count) => {
                self.site.targets[target].inject_faults(vec![fault; count]);
            }
            Fault::Leave(target) => {
                self.site.targets[target].publish("draining");
                self.after(
                    IN_FORCE,
                    Later::Left(target, self.site.journal.runs().len()),
                );
                self.after(RETURN_PAUSE, Later::Return(target));
            }
            Fault::Config => self.write_config(),
            Fault::LargeConfig => {
                self.add_routes();
                self.write_config();
            }
            Fault::StoreMute(node) => {
                self.harm(node, MUTE_SPAN + CONTACT_SPAN);
                self.stores[node].blackhole_open();
            }
            Fault::Compact => self.site.store.compact_history(),
            Fault::SayLeaving(target) => {
                self.site.targets[target].announce_leaving(true);
                self.after(RETURN_PAUSE, Later::Reborn(target));
            }
            Fault::Rest(target, span) => self.site.targets[target].request_backoff(span),
            Fault::Drill(age) => self.begin_drill(age),
            Fault::Limit(target, rate, span) => {
                let target = &self.site.targets[target];
                target.announce_limit(Some(rate));
                let begin = Instant::now();
                self.limits.push(LimitSpan {
                    target: target.clone(),
                    rate: rate.parse().expect("a rate"),
                    begin,
                    end: begin + span,
                });
                self.after(span, Later::Unlimited(self.limits.len() - 1));
            }
        }
    }

    /// Has the store be away for a moment, and come back from a copy that is so old.
    fn begin_drill(&mut self, age: Duration) {
        let taken = Instant::now().checked_sub(age);
        let copy = self.copies.iter().find(|(at, _)| Some(*at) >= taken);
        let Some((_, copy)) = copy else {
            return;
        };
        let copy = Box::new(copy.clone());
        for node in 0..node_count() {
            self.harm(node, DRILL_SPAN + REWRITE_SPAN + CONTACT_SPAN);
            self.stores[node].set(LinkState::Reset);
        }
        self.after(DRILL_SPAN, Later::Restore(copy));
        self.after(DRILL_SPAN, Later::StoreLink(None));
        self.after(DRILL_SPAN + REWRITE_SPAN, Later::Rewrite);
    }

    /// Keeps copies of the store as old as a drill may need them.
    fn keep_copy(&mut self) {
        let now = Instant::now();
        let is_due = |(at, _): &(Instant, MetaSnapshot)| now.duration_since(*at) >= COPY_PAUSE;
        if self.copies.last().is_none_or(is_due) {
            self.copies
                .retain(|(at, _)| now.duration_since(*at) <= COPY_SPAN);
            self.copies.push((now, self.site.store.snapshot()));
        }
    }

    /// Writes the configuration with a higher version.
    fn write_config(&mut self) {
        self.version += 3;
        self.config["version"] = Value::from(self.version);
        self.site.store.put("config", "main", self.config.clone());
        self.after(IN_FORCE, Later::InForce(self.version));
    }

    /// Adds routes that no client asks for.
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
        self.harm(node, RESTART_PAUSE + CONTACT_SPAN);
        self.interrupt(node, RESTART_PAUSE);
        self.nodes[node].signal(Signal::KILL);
    }

    /// Does what is due.
    fn do_due(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, step) in due {
            self.do_later(step);
        }
    }

    fn do_later(&mut self, step: Later) {
        match step {
            Later::Start(node) => self.nodes[node].start(),
            Later::Wake(node) => self.nodes[node].signal(Signal::CONT),
            Later::StoreLink(node) => {
                for node in node.map_or(0..node_count(), |node| node..node + 1) {
                    self.stores[node].set(LinkState::Open);
                }
            }
            Later::ClientLink(node) => self.room.links[node].set(LinkState::Open),
            Later::Return(target) => self.site.targets[target].publish("ready"),
            Later::Reborn(target) => {
                let target = &self.site.targets[target];
                target.announce_leaving(false);
                target.restart();
                self.reborn.push((target.id().to_owned(), Instant::now()));
            }
            Later::Unlimited(limit) => self.limits[limit].target.announce_limit(None),
            Later::Restore(copy) => {
                self.site.store.restore(*copy);
                // What was copied before is of another history.
                self.copies.clear();
            }
            Later::Rewrite => {
                self.site.store.put("config", "main", self.config.clone());
                for target in &self.site.targets {
                    target.republish();
                }
                self.after(IN_FORCE, Later::InForce(self.version));
            }
            Later::Left(target, before) => self.check_left(target, before),
            Later::InForce(version) => self.check_version(version),
        }
    }

    /// Tells whether a node has been free of faults for long enough to be held to time bounds.
    fn is_calm(&self, node: usize) -> bool {
        let now = Instant::now();
        let is_harmed = |harm: &NodeSpan| harm.node == node && harm.begin <= now && now <= harm.end;
        let is_stopping = self.stopping.contains_key(&node);
        self.nodes[node].is_running() && !is_stopping && !self.harms.iter().any(is_harmed)
    }

    /// Checks that a target that leaves got nothing in the last moments, where all nodes are calm.
    fn check_left(&mut self, target: usize, before: usize) {
        if !(0..node_count()).all(|node| self.is_calm(node)) {
            return;
        }
        let id = self.site.targets[target].id().to_owned();
        // What is new in the journal came since the target left; the last part of that is too late.
        let seen = self.site.journal.runs().len();
        std::thread::sleep(Duration::from_millis(300));
        let runs = self.site.journal.runs();
        let late = runs[seen.max(before)..]
            .iter()
            .find(|run| run.target == id && !matches!(run.kind, RunKind::Release(_)));
        if let Some(run) = late {
            self.broken
                .push(format!("a target that left got a call: {run:?}"));
        }
    }

    fn check_version(&mut self, version: u64) {
        for node in 0..node_count() {
            if !self.is_calm(node) {
                continue;
            }
            let told = self.read_version(node);
            if told == Some(0) && self.nodes[node].age() < START_SPAN {
                // It serves nobody yet; what it serves from soon is looked at then.
                self.after(START_SPAN, Later::InForce(version));
                continue;
            }
            if told.is_some_and(|told| told < version) && self.is_calm(node) {
                let name = &self.nodes[node].name;
                let line = format!("{name} is at configuration {told:?}, {version} was written");
                self.broken.push(line);
            }
        }
    }

    fn read_version(&self, node: usize) -> Option<u64> {
        let text = self.ask(self.nodes[node].metrics(), "/metrics")?.1;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("turnford_config_version "))?;
        line.parse().ok()
    }

    fn ask(&self, to: std::net::SocketAddr, path: &str) -> Option<(u16, String)> {
        let request = HttpClient::request(Method::GET, to, path).ok()?;
        let answer = async_io::block_on(self.client.send(to, request, ASK_LIMIT)).ok()?;
        Some((answer.status, String::from_utf8(answer.body).ok()?))
    }

    /// Takes processes that ended, and has them started again.
    fn watch_ends(&mut self) {
        for node in 0..node_count() {
            let Some(status) = self.nodes[node].ended() else {
                continue;
            };
            let now = Instant::now();
            let was_killed = std::os::unix::process::ExitStatusExt::signal(&status) == Some(9);
            match self.stopping.remove(&node) {
                Some(begin) => {
                    self.stops.push(NodeSpan {
                        node,
                        begin,
                        end: now,
                    });
                    let took = now.saturating_duration_since(begin);
                    let is_late = took > Duration::from_secs(GRACE_S);
                    let is_harmed = self
                        .harms
                        .iter()
                        .any(|harm| harm.node == node && harm.end >= begin);
                    if is_late && !is_harmed {
                        let name = &self.nodes[node].name;
                        self.broken.push(format!("{name} took {took:?} to stop"));
                    }
                }
                None if was_killed => {}
                None => {
                    let name = &self.nodes[node].name;
                    self.broken
                        .push(format!("{name} ended by itself: {status}"));
                }
            }
            self.after(RESTART_PAUSE, Later::Start(node));
        }
    }

    /// Asks nodes whether they are ready, as the platform does, and which configuration they have.
    fn ask_nodes(&mut self) {
        for node in 0..node_count() {
            let answer = self.ask(self.nodes[node].ready(), "/v1/readiness");
            let is_ready = answer.is_some_and(|(status, _)| status == 200);
            self.room.ready[node].store(is_ready, Ordering::SeqCst);
            let Some(version) = self.read_version(node) else {
                continue;
            };
            let start = self.nodes[node].starts();
            let told = self.told.insert(node, (start, version));
            if told.is_some_and(|(before, old)| before == start && old > version) {
                let name = &self.nodes[node].name;
                self.broken
                    .push(format!("{name} went back to configuration {version}"));
            }
        }
    }

    /// Ends the clients and checks what they saw.
    fn finish(&mut self, settled: Instant, forgets: bool) {
        self.room.is_over.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(2));
        self.check_version(self.version);
        let records = self.room.ended();
        let interrupts: Vec<NodeSpan> = [&self.interrupts[..], &self.stops[..]].concat();
        let last = last_targets(&self.site.targets);
        for target in &self.site.targets {
            let left = check_leaving(target, &last, &records, &self.reborn, &interrupts);
            self.broken.extend(left);
            let rests = check_rests(target, &records, &interrupts);
            self.broken.extend(rests);
        }
        let limits = self.limits.iter();
        let passed =
            limits.filter_map(|limit| check_limit(limit, &self.limits, &records, &interrupts));
        self.broken.extend(passed);
        if !forgets {
            let crashing = check_crashing(&self.room.crashing(), &self.site.journal.runs());
            self.broken.extend(crashing);
        }
        // A request that is still under way has no record, and may run.
        let runs = self.site.journal.runs();
        let known = runs
            .into_iter()
            .filter(|run| records.contains_key(&run.attempt));
        let runs: Vec<_> = known.collect();
        self.broken.extend(check_calls(&records, &runs));
        let stops = check_stops(&records, &runs, &self.stops, &self.harms);
        self.broken.extend(stops);
        self.broken.extend(check_recovery(&records, settled));
        let served = records
            .values()
            .filter(|record| matches!(record.end, crate::client::CallEnd::Answer(200, ..)));
        println!("{} requests, {} served", records.len(), served.count());
        // The executor's threads end with it.
        let _ = &self.executor;
    }
}
