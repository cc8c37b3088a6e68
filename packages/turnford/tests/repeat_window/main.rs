//! Retries of a service over the whole fleet, counted where they arrive, while nodes are killed.
//!
//! Guards against nodes that spend their share of the retries anew after each start.

#[allow(dead_code)]
#[path = "../soak/process.rs"]
mod process;
#[allow(dead_code)]
#[path = "../hot_node/quota.rs"]
mod quota;

use std::collections::HashSet;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use rustix::process::Signal;
use turnford_http::HttpClient;
use turnford_standin::start_threads;
use turnford_standin::RouteCall;
use turnford_standin::RouteSite;
use turnford_standin::RouteTarget;
use turnford_standin::SharedExecutor;
use turnford_standin::TargetArrival;
use turnford_standin::TargetFault;
use turnford_standin::TargetRole;

use crate::process::NodeProcess;

/// Number of nodes.
const NODES: usize = 8;

/// Targets of the service.
const TARGETS: usize = 18;

/// Requests per second of all clients together.
const RATE: f64 = 80.0;

/// Retries that the fleet may send in a window, as specified by the platform.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;

/// Ratio of the calls that a target ends without a response.
const FAILURE_RATIO: f64 = 0.6;

/// Faults prepared for each target; more than the calls that it gets.
const PREPARED_FAULTS: usize = 4000;

/// Time between two kills of all nodes, and from a kill until the next start.
const KILL_INTERVAL: Duration = Duration::from_secs(4);
const DOWNTIME: Duration = Duration::from_millis(500);

/// Duration of a run.
const RUN_TIME: Duration = Duration::from_secs(24);

/// Time for which clients wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which nodes start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Number of runs that this process has started; gives each run its own addresses.
static RUNS: AtomicU16 = AtomicU16::new(0);

/// The runs need the whole machine, so they run one at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// A fleet of separate processes before failing targets.
struct FailingSite {
    call: RouteCall,
    _site: RouteSite,
    _executor: SharedExecutor,
    targets: Vec<RouteTarget>,
    nodes: Mutex<Vec<NodeProcess>>,
    next_attempt: AtomicU64,
    folder: PathBuf,
}

/// What a run showed.
struct RunCounts {
    /// Times at which clients sent requests.
    sent: Vec<Instant>,
    /// Times at which arrivals past the first of a request reached targets.
    retries: Vec<Instant>,
    served: usize,
}

impl FailingSite {
    fn start(seed: u64) -> Self {
        let executor = start_threads("standin", 2);
        let config = include_str!("../../../../scenarios/routes.json");
        let site = RouteSite::start(config, &executor).expect("a site on loopback");
        let service = "booking";
        let mut targets: Vec<RouteTarget> = site.targets.clone();
        targets.retain(|target| target.id().starts_with(service));
        for number in targets.len()..TARGETS {
            let id = format!("{service}-{number}");
            let role = TargetRole::Plain(Duration::from_millis(15));
            let (store, journal) = (&site.store, &site.journal);
            let target = RouteTarget::start(&executor, store, journal, &id, service, role);
            targets.push(target.expect("a free port"));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        for target in &targets {
            let faults = (0..PREPARED_FAULTS).map(|_| match rng.random_bool(FAILURE_RATIO) {
                true => TargetFault::Disconnect,
                false => TargetFault::Slow(Duration::ZERO),
            });
            target.inject_faults(faults);
        }
        let run = RUNS.fetch_add(1, Ordering::SeqCst) + (std::process::id() % 60_000) as u16;
        let name = format!("turnford-repeats-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let window = WINDOW.as_secs();
        let limits =
            format!("\n[repeats]\nwindow_s = {window}\nratio = {RATIO}\nslack = {SLACK}\n");
        let mut nodes: Vec<NodeProcess> = (0..NODES)
            .map(|number| NodeProcess::new(&folder, run, number, "hal-a", site.address, &[]))
            .collect();
        for node in &mut nodes {
            append_settings(&folder, node, &limits);
            node.start();
        }
        nodes.iter().for_each(wait_ready);
        let mut calls = site.calls().into_iter();
        Self {
            call: calls.find(|call| call.name == "pay").expect("a route"),
            _site: site,
            _executor: executor,
            targets,
            nodes: Mutex::new(nodes),
            next_attempt: AtomicU64::new(1),
            folder,
        }
    }

    /// Sends requests for the whole run, while `act` gets the nodes and the time since its start.
    fn run(&self, seed: u64, mut act: impl FnMut(&mut Vec<NodeProcess>, Duration)) -> RunCounts {
        let started_at = Instant::now();
        let served = AtomicU64::new(0);
        let mut sent = Vec::new();
        let mut rng = SmallRng::seed_from_u64(seed);
        std::thread::scope(|scope| {
            for number in 0_u32.. {
                let due = Duration::from_secs_f64(f64::from(number) / RATE);
                if due >= RUN_TIME {
                    break;
                }
                std::thread::sleep((started_at + due).saturating_duration_since(Instant::now()));
                let mut nodes = self.nodes.lock().expect("no panic");
                act(&mut nodes, started_at.elapsed());
                let to = nodes[rng.random_range(0..NODES)].listen();
                drop(nodes);
                sent.push(Instant::now());
                let served = &served;
                scope.spawn(move || {
                    let id = self.next_attempt.fetch_add(1, Ordering::SeqCst);
                    let request = self.call.request(to, &format!("{id:016x}"));
                    let client = HttpClient::new();
                    let response = client.send(to, request.expect("a path"), RESPONSE_TIMEOUT);
                    if async_io::block_on(response).is_ok_and(|response| response.status == 200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
        RunCounts {
            sent,
            retries: self.retries(),
            served: served.load(Ordering::SeqCst) as usize,
        }
    }

    /// Returns the times of all arrivals past the first of their request.
    fn retries(&self) -> Vec<Instant> {
        let arrivals = self.targets.iter().flat_map(RouteTarget::arrivals);
        let mut arrivals: Vec<TargetArrival> = arrivals.collect();
        arrivals.retain(|arrival| !arrival.attempt.is_empty());
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut seen = HashSet::new();
        let retries = arrivals
            .into_iter()
            .filter(|arrival| !seen.insert(arrival.attempt.clone()));
        retries.map(|arrival| arrival.at).collect()
    }
}

impl Drop for FailingSite {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Only the logs are left behind otherwise.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn append_settings(folder: &Path, node: &NodeProcess, text: &str) {
    let path = folder.join(format!("{}.toml", node.name));
    let settings = std::fs::read_to_string(&path).expect("the settings file");
    std::fs::write(&path, settings + text).expect("a folder for settings");
}

fn wait_ready(node: &NodeProcess) {
    let started_at = Instant::now();
    let is_ready = || {
        let request = HttpClient::request(Method::GET, node.ready(), "/v1/readiness");
        let client = HttpClient::new();
        let response = client.send(node.ready(), request.expect("a path"), RESPONSE_TIMEOUT);
        async_io::block_on(response).is_ok_and(|response| response.status == 200)
    };
    while !is_ready() {
        assert!(started_at.elapsed() < START_LIMIT, "{} is ready", node.name);
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the retries beyond the allowed ones in the worst window. Requests are counted in the window, in
/// the one before or half a window before, whichever has most.
fn worst_excess(counts: &RunCounts) -> f64 {
    let in_window = |times: &[Instant], begin: Instant| {
        let within = times
            .iter()
            .filter(|at| **at >= begin && **at < begin + WINDOW);
        within.count() as f64
    };
    let excess = counts.retries.iter().map(|&begin| {
        let begins = [Duration::ZERO, WINDOW / 2, WINDOW];
        let begins = begins.iter().filter_map(|back| begin.checked_sub(*back));
        let requests = begins.map(|begin| in_window(&counts.sent, begin));
        let requests = requests.fold(0.0, f64::max);
        in_window(&counts.retries, begin) - RATIO * requests - SLACK
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

fn check_window(counts: &RunCounts) {
    let excess = worst_excess(counts);
    let summary = format!(
        "{} retries of {} requests, {} served, {excess:+.0} beside the bound in the worst window",
        counts.retries.len(),
        counts.sent.len(),
        counts.served
    );
    println!("{summary}");
    assert!(!counts.retries.is_empty(), "{summary}");
    assert!(excess <= 0.0, "{summary}");
}

#[test]
fn untouched_nodes() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let site = FailingSite::start(1);
    check_window(&site.run(1, |_, _| {}));
}

#[test]
fn killed_together() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let site = FailingSite::start(2);
    let mut next_kill = KILL_INTERVAL;
    let mut start_at = None;
    let counts = site.run(2, |nodes, elapsed| {
        if elapsed >= next_kill {
            nodes.iter().for_each(|node| node.signal(Signal::KILL));
            start_at = Some(elapsed + DOWNTIME);
            next_kill += KILL_INTERVAL;
        }
        if start_at.is_some_and(|at| elapsed >= at) {
            start_at = None;
            for node in nodes.iter_mut() {
                while node.ended().is_none() {
                    std::thread::sleep(Duration::from_millis(1));
                }
                node.start();
            }
        }
    });
    check_window(&counts);
}

#[test]
fn killed_in_turn() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let site = FailingSite::start(3);
    let interval = KILL_INTERVAL / NODES as u32;
    let mut killed: usize = 0;
    let mut starts: Vec<(Duration, usize)> = Vec::new();
    let counts = site.run(3, |nodes, elapsed| {
        if elapsed >= interval * (killed as u32 + 1) {
            let number = killed % NODES;
            nodes[number].signal(Signal::KILL);
            starts.push((elapsed + DOWNTIME, number));
            killed += 1;
        }
        starts.retain(|&(at, number)| {
            if elapsed < at {
                return true;
            }
            while nodes[number].ended().is_none() {
                std::thread::sleep(Duration::from_millis(1));
            }
            nodes[number].start();
            false
        });
    });
    check_window(&counts);
}
