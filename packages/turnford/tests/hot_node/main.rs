//! Most new connections are handed to one node of a small fleet, which has a part of a core.
//!
//! Guards against a node that reads more requests than its processor time allows and then serves
//! few of them.

mod client;
#[allow(dead_code)]
#[path = "../soak/process.rs"]
mod process;
mod quota;

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use rand::Rng;
use turnford_http::HttpClient;
use turnford_standin::start_threads;
use turnford_standin::RouteCall;
use turnford_standin::RouteSite;

use crate::client::send_attempt;
use crate::client::Attempt;
use crate::client::SentRequest;
use crate::process::NodeProcess;
use crate::quota::cpu_time;
use crate::quota::CpuQuota;

/// Number of nodes.
const NODES: usize = 6;

/// Processor time that each node gets, in parts of what it needs with evenly spread connections.
const CPU_RATIO: f64 = 1.6;

/// Requests per second of all clients together.
const RATE: f64 = 200.0;

/// Route whose requests have stages, and how often it is called.
const STAGED_ROUTE: &str = "reply";
const STAGED_INTERVAL: u32 = 12;

/// Ratio of the new connections that the balancer hands to the hot node.
const HOT_RATIO: f64 = 0.9;

/// Length of the period in which the needed processor time is measured.
const CALIBRATION_PERIOD: Duration = Duration::from_secs(3);

/// Length of the period with evenly spread connections.
const EVEN_PERIOD: Duration = Duration::from_secs(5);

/// Time from which requests must be served while most connections go to one node.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Length of the period that is measured after that.
const HOT_PERIOD: Duration = Duration::from_secs(6);

/// Minimum ratio of the requests served at the first attempt that was read, in parts of the ratio with
/// evenly spread connections.
const MIN_SERVED_RATIO: f64 = 0.97;

/// Minimum ratio of requests that are served with evenly spread connections.
const MIN_EVEN_RATIO: f64 = 0.97;

/// Time within which nine in ten of the connections that are left unread must end, so that their
/// clients can go elsewhere.
const MAX_UNREAD_HOLD: Duration = Duration::from_millis(100);

/// Time within which nodes start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Number of runs that this process has started; gives each run its own addresses.
static RUNS: AtomicU16 = AtomicU16::new(0);

/// Interval of the balancer's readiness probes, and the failed ones after which a node is out.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_FAILED_PROBES: u32 = 2;

/// A fleet of separate processes before the targets of a site.
struct HotSite {
    calls: Vec<RouteCall>,
    _site: RouteSite,
    nodes: Vec<NodeProcess>,
    folder: PathBuf,
    next_attempt: AtomicU64,
}

impl HotSite {
    /// Starts the nodes; `hall` names the hall of each.
    fn start(hall: fn(usize) -> &'static str) -> Self {
        let executor = start_threads("standin", 2);
        let config = include_str!("../../../../scenarios/routes.json");
        let site = RouteSite::start(config, &executor).expect("a site on loopback");
        let run = RUNS.fetch_add(1, Ordering::SeqCst) + (std::process::id() % 60_000) as u16;
        let folder =
            std::env::temp_dir().join(format!("turnford-hot-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let mut nodes: Vec<NodeProcess> = (0..NODES)
            .map(|number| NodeProcess::new(&folder, run, number, hall(number), site.address, &[]))
            .collect();
        nodes.iter_mut().for_each(NodeProcess::start);
        for node in &nodes {
            wait_ready(node);
        }
        Self {
            calls: site.calls(),
            _site: site,
            nodes,
            folder,
            next_attempt: AtomicU64::new(1),
        }
    }

    /// Sends requests for a while; `choose` draws the node of each new connection.
    fn send(&self, duration: Duration, choose: impl Fn() -> usize + Sync) -> Vec<SentRequest> {
        let sent = Mutex::new(Vec::new());
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            for number in 0_u32.. {
                let due = Duration::from_secs_f64(f64::from(number) / RATE);
                if due >= duration {
                    break;
                }
                std::thread::sleep((started_at + due).saturating_duration_since(Instant::now()));
                let call = self.next_call(number);
                let (sent, choose) = (&sent, &choose);
                scope.spawn(move || {
                    let request = self.send_request(call, choose());
                    sent.lock().expect("no panic").push(request);
                });
            }
        });
        sent.into_inner().expect("no panic")
    }

    /// Returns the call of a request: one with stages after some plain ones.
    fn next_call(&self, number: u32) -> &RouteCall {
        let has_stages = number.is_multiple_of(STAGED_INTERVAL);
        let mut calls = self.calls.iter().cycle();
        let matching = calls.find(|call| (call.name == STAGED_ROUTE) == has_stages);
        matching.expect("a route")
    }

    /// Sends a request to a node, and to another one if the connection ends without a response.
    fn send_request(&self, call: &RouteCall, node: usize) -> SentRequest {
        let at = Instant::now();
        let mut attempts = vec![self.send_attempt(call, node)];
        if attempts[0].is_cut {
            let other = (node + rand::rng().random_range(1..NODES)) % NODES;
            attempts.push(self.send_attempt(call, other));
        }
        SentRequest { at, attempts }
    }

    fn send_attempt(&self, call: &RouteCall, node: usize) -> Attempt {
        let number = self.next_attempt.fetch_add(1, Ordering::SeqCst);
        let to = self.nodes[node].listen();
        send_attempt(to, call, &format!("{number:016x}"))
    }

    /// Returns the ids of the attempts that nodes have read, by their logs.
    fn read_attempts(&self) -> HashSet<String> {
        let mut ids = HashSet::new();
        for node in &self.nodes {
            let path = self.folder.join(format!("{}.log", node.name));
            let text = std::fs::read_to_string(path).expect("a log");
            let read = text.split("request=").skip(1);
            ids.extend(read.filter_map(|line| Some(line.split(' ').next()?.to_owned())));
        }
        ids
    }
}

fn is_ready(node: &NodeProcess) -> bool {
    let request = HttpClient::request(Method::GET, node.ready(), "/v1/readiness");
    let request = request.expect("a path");
    let client = HttpClient::new();
    let response = client.send(node.ready(), request, PROBE_INTERVAL);
    async_io::block_on(response).is_ok_and(|response| response.status == 200)
}

fn wait_ready(node: &NodeProcess) {
    let started_at = Instant::now();
    while !is_ready(node) {
        assert!(started_at.elapsed() < START_LIMIT, "{} is ready", node.name);
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Probes a node as the balancer does, and records whether it gets new connections.
fn probe_node(node: &NodeProcess, is_in: &AtomicBool, is_over: &AtomicBool) {
    let mut failed = 0;
    while !is_over.load(Ordering::SeqCst) {
        failed = if is_ready(node) { 0 } else { failed + 1 };
        is_in.store(failed < MAX_FAILED_PROBES, Ordering::SeqCst);
        std::thread::sleep(PROBE_INTERVAL);
    }
}

/// Returns the ratio of requests that were served at the first attempt that a node read. A request
/// whose attempts were all left unread counts as not served.
fn served_ratio(requests: &[&SentRequest], read: &HashSet<String>) -> f64 {
    let is_served = |request: &&&SentRequest| {
        let mut attempts = request.attempts.iter();
        let first_read = attempts.find(|attempt| !attempt.is_cut || read.contains(&attempt.id));
        first_read.is_some_and(Attempt::is_served)
    };
    let served = requests.iter().filter(is_served).count();
    served as f64 / requests.len().max(1) as f64
}

/// Returns the part of a core that a node uses with evenly spread connections, on average.
fn even_cpu_share(site: &HotSite) -> f64 {
    let total = || {
        let pids = site.nodes.iter().filter_map(NodeProcess::pid);
        pids.map(cpu_time).sum::<Duration>()
    };
    let started_at = Instant::now();
    let before = total();
    site.send(CALIBRATION_PERIOD, || rand::rng().random_range(0..NODES));
    let used = total().saturating_sub(before);
    used.as_secs_f64() / started_at.elapsed().as_secs_f64() / NODES as f64
}

/// Hands most new connections to the first node, for as long as it is in, and checks what is served.
fn check_hot_node(hall: fn(usize) -> &'static str) {
    let site = HotSite::start(hall);
    let share = even_cpu_share(&site) * CPU_RATIO;
    let quotas = site.nodes.iter().map(|node| node.limit_cpu(share));
    let _quotas: Vec<CpuQuota> = quotas.map(|quota| quota.expect("a process")).collect();
    let even = site.send(EVEN_PERIOD, || rand::rng().random_range(0..NODES));
    let hot_since = Instant::now();
    let (is_in, is_over) = (AtomicBool::new(true), AtomicBool::new(false));
    let choose = || match is_in.load(Ordering::SeqCst) {
        true if rand::rng().random_bool(HOT_RATIO) => 0,
        true => rand::rng().random_range(0..NODES),
        false => rand::rng().random_range(1..NODES),
    };
    let hot = std::thread::scope(|scope| {
        scope.spawn(|| probe_node(&site.nodes[0], &is_in, &is_over));
        let hot = site.send(CONTACT_TIME + HOT_PERIOD, choose);
        is_over.store(true, Ordering::SeqCst);
        hot
    });
    let read = site.read_attempts();
    let before = served_ratio(&even.iter().collect::<Vec<_>>(), &read);
    let hot: Vec<&SentRequest> = hot
        .iter()
        .filter(|request| request.at >= hot_since + CONTACT_TIME)
        .collect();
    let under = served_ratio(&hot, &read);
    let attempts = hot.iter().flat_map(|request| &request.attempts);
    let unread = attempts.filter(|attempt| attempt.is_cut && !read.contains(&attempt.id));
    let mut unread_holds: Vec<Duration> = unread.map(|attempt| attempt.held).collect();
    unread_holds.sort();
    let slow_hold = unread_holds.get(unread_holds.len() * 9 / 10).copied();
    let summary = format!(
        "served {before:.3} of {} before, {under:.3} of {} while one node is hot; {} attempts left \
         unread, nine in ten within {:?}; {share:.3} of a core each",
        even.len(),
        hot.len(),
        unread_holds.len(),
        slow_hold.unwrap_or_default(),
    );
    println!("{summary}");
    assert!(before >= MIN_EVEN_RATIO, "{summary}");
    assert!(under >= before * MIN_SERVED_RATIO, "{summary}");
    let is_quick = slow_hold.is_none_or(|held| held <= MAX_UNREAD_HOLD);
    assert!(is_quick, "{summary}");
}

/// The tests measure processor time, so they run one at a time.
static ALONE: Mutex<()> = Mutex::new(());

#[test]
fn most_connections() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    check_hot_node(|_| "hal-a");
}

/// A node without others in its hall, whose clients have nowhere to go while it is ready.
#[test]
fn lone_node() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    check_hot_node(|number| if number == 0 { "hal-a" } else { "hal-b" });
}
