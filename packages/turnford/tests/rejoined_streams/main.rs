//! Streams that clients resume after all nodes were killed, over separate processes.
//!
//! Guards against streams that are joined from two software versions, and against streams of a service with
//! one version that can't be resumed.

#[allow(dead_code)]
#[path = "../soak/process.rs"]
mod process;
#[allow(dead_code)]
#[path = "../hot_node/quota.rs"]
mod quota;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use rustix::process::Signal;
use serde_json::json;
use turnford_http::HttpClient;
use turnford_standin::start_threads;
use turnford_standin::MetaStore;
use turnford_standin::RouteJournal;
use turnford_standin::RouteTarget;
use turnford_standin::SharedExecutor;
use turnford_standin::TargetIdentity;
use turnford_standin::TargetRole;

use crate::process::NodeProcess;

/// Number of nodes.
const NODES: usize = 4;

/// Targets of each version.
const TARGETS: usize = 4;

/// Streams that are interrupted.
const STREAMS: usize = 16;

/// Events of a whole stream.
const EVENTS: u64 = 10;

/// Longest time for which a route holds a request.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Deadline of clients, longer than the timeout of the route.
const LONG_TIMEOUT: Duration = Duration::from_secs(40);

/// Time after which all that was known by this process alone would cover the route's timeout.
const LATER: Duration = Duration::from_secs(10);

/// Time between the kill of a process and its next start.
const DOWNTIME: Duration = Duration::from_millis(500);

/// Time within which nodes start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Time within which all nodes see a change of the store: `drain_ms` of the platform.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// Number of attempts to resume a stream, and the pause between two.
const ATTEMPTS: usize = 3;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);

/// Minimum part of the streams of a service with one version that go on.
const MIN_RESUMED: usize = STREAMS * 9 / 10;

/// Minimum part of the streams that go on while two versions serve: half of those that begin, by the platform's
/// rule.
const MIN_RECORDED: usize = STREAMS / 2;

/// Time within which a small fleet has stored the records of its streams.
const BACKUP_TIME: Duration = Duration::from_millis(800);

/// Number of runs that this process has started; gives each run its own addresses.
static RUNS: AtomicU16 = AtomicU16::new(0);

/// A service whose streams a client can interrupt.
#[derive(Clone, Copy)]
enum ServiceKind {
    Engine,
    Plain,
}

/// A stream whose first events a client has read.
struct BegunStream {
    attempt: String,
    last_event: u64,
    version: String,
}

/// What became of resumed streams.
#[derive(Debug, Default)]
struct ResumeCount {
    whole: usize,
    refused: usize,
    mixed: usize,
}

/// A fleet of separate processes before targets with versions.
struct VersionFleet {
    executor: SharedExecutor,
    store: MetaStore,
    journal: Arc<RouteJournal>,
    targets: Vec<RouteTarget>,
    nodes: Vec<NodeProcess>,
    next_attempt: AtomicUsize,
    folder: PathBuf,
}

impl VersionFleet {
    fn start(kind: ServiceKind, version: &str) -> Self {
        let fleet = Self::start_unsettled(kind, version);
        std::thread::sleep(CHANGE_TIME);
        fleet
    }

    /// Starts a fleet whose nodes have just become ready.
    fn start_unsettled(kind: ServiceKind, version: &str) -> Self {
        let executor = start_threads("standin", 2);
        let store = MetaStore::new();
        store.put("config", "main", config(kind));
        let (_, address) = store.open_endpoint(&executor).expect("a free port");
        let run = RUNS.fetch_add(1, Ordering::SeqCst) + (std::process::id() % 60_000) as u16;
        let name = format!("turnford-rejoined-{}-{run}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let nodes = (0..NODES)
            .map(|number| NodeProcess::new(&folder, run, number, "hal-a", address, &[]))
            .collect();
        let mut fleet = Self {
            executor,
            store,
            journal: Arc::default(),
            targets: Vec::new(),
            nodes,
            next_attempt: AtomicUsize::new(1),
            folder,
        };
        fleet.add_targets(version);
        for node in &mut fleet.nodes {
            node.set_first_start();
            node.start();
        }
        fleet.nodes.iter().for_each(wait_ready);
        fleet
    }

    fn add_targets(&mut self, version: &str) {
        for _ in 0..TARGETS {
            let id = format!("sprog-{}", self.targets.len());
            let identity = TargetIdentity {
                id: &id,
                service: "sprog",
                version,
            };
            let role = TargetRole::Engine {
                first_event: Duration::from_millis(10),
                event_gap: Duration::from_millis(200),
                events: EVENTS,
            };
            let (executor, journal) = (&self.executor, &self.journal);
            let target = RouteTarget::start_as(executor, &self.store, journal, &identity, role);
            self.targets.push(target.expect("a free port"));
        }
    }

    /// Replaces all targets by ones of another version.
    fn replace_targets(&mut self, version: &str) {
        let old = self.targets.len();
        self.add_targets(version);
        for target in &self.targets[..old] {
            target.unpublish();
        }
    }

    /// Begins streams at the given nodes in turn and reads their first events.
    fn begin(&self, nodes: &[usize]) -> (Vec<BegunStream>, Vec<BufReader<TcpStream>>) {
        let opened = (0..STREAMS).map(|number| {
            let node = self.nodes[nodes[number % nodes.len()]].listen();
            let attempt = self.next_attempt();
            let reader = send(node, &attempt, "").expect("a node that is ready");
            (attempt, reader)
        });
        let opened: Vec<_> = opened.collect();
        let (mut begun, mut open) = (Vec::new(), Vec::new());
        for (attempt, mut reader) in opened {
            let last_event = read_until(&mut reader, 2);
            assert_eq!(last_event, 2, "the stream begins");
            let runs = self.journal.requests(&attempt);
            begun.push(BegunStream {
                attempt,
                last_event,
                version: runs.last().expect("a run").version.clone(),
            });
            open.push(reader);
        }
        (begun, open)
    }

    /// Has clients resume streams at the given nodes in turn.
    fn resume(&self, nodes: &[usize], begun: &[BegunStream]) -> ResumeCount {
        std::thread::scope(|scope| {
            let clients = begun.iter().enumerate();
            let clients = clients.map(|(number, stream)| {
                scope.spawn(move || self.resume_stream(nodes, number, stream))
            });
            let clients: Vec<_> = clients.collect();
            let mut count = ResumeCount::default();
            for client in clients {
                let (is_whole, is_mixed) = client.join().expect("no panic");
                count.whole += usize::from(is_whole);
                count.refused += usize::from(!is_whole);
                count.mixed += usize::from(is_mixed);
            }
            count
        })
    }

    /// Resumes a stream until it is whole. Returns whether it is, and whether an attempt ran at another
    /// version.
    fn resume_stream(&self, nodes: &[usize], number: usize, stream: &BegunStream) -> (bool, bool) {
        let (mut is_whole, mut is_mixed) = (false, false);
        for retry in 0..ATTEMPTS {
            let attempt = self.next_attempt();
            let (first, last) = (&stream.attempt, stream.last_event);
            let headers = format!("resumes: {first}\r\nlast-event-id: {last}\r\n");
            let node = self.nodes[nodes[(number + retry) % nodes.len()]].listen();
            let reader = send(node, &attempt, &headers);
            let last_event = reader.map_or(0, |mut reader| read_until(&mut reader, EVENTS));
            let runs = self.journal.requests(&attempt);
            is_mixed |= runs.iter().any(|run| run.version != stream.version);
            is_whole = last_event == EVENTS;
            if is_whole {
                break;
            }
            std::thread::sleep(ATTEMPT_PAUSE);
        }
        (is_whole, is_mixed)
    }

    fn next_attempt(&self) -> String {
        let number = self.next_attempt.fetch_add(1, Ordering::SeqCst);
        format!("{number:016x}")
    }

    fn kill(&mut self, nodes: &[usize]) {
        for number in nodes {
            self.nodes[*number].signal(Signal::KILL);
        }
        for number in nodes {
            while self.nodes[*number].ended().is_none() {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }

    fn restart(&mut self) {
        std::thread::sleep(DOWNTIME);
        for node in &mut self.nodes {
            if !node.is_running() {
                node.start();
            }
        }
        self.nodes.iter().for_each(wait_ready);
    }
}

impl Drop for VersionFleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Only the logs are left behind otherwise.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn config(kind: ServiceKind) -> serde_json::Value {
    let mut service = json!({
        "name": "sprog", "health_check_path": "/health", "connection_limit": 600,
    });
    if matches!(kind, ServiceKind::Engine) {
        service["inference_engine"] = json!({ "slots": 128, "kv_cache_tokens": 286_093 });
    }
    json!({
        "version": 1,
        "routes": [{
            "name": "chat", "host": "site.example", "path_prefix": "/chat/", "kind": "streaming",
            "timeout_ms": ROUTE_TIMEOUT.as_millis(), "target_latency_ms": 1000, "priority": 1,
            "service": "sprog", "max_attempts": 2, "stages": [], "allow_anonymous": true,
            "resumable": true, "target_gap_ms": 500,
        }],
        "services": [service],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4096,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}

/// Sends a request and reads the head of the response. Returns `None` for a refusal.
fn send(node: SocketAddr, attempt: &str, headers: &str) -> Option<BufReader<TcpStream>> {
    let mut connection = TcpStream::connect(node).ok()?;
    connection.set_read_timeout(Some(ROUTE_TIMEOUT * 2)).ok()?;
    let timeout = LONG_TIMEOUT.as_millis();
    let request = format!(
        "POST /chat/ HTTP/1.1\r\nhost: site.example\r\nx-turnford-deadline-ms: {timeout}\r\n\
         content-length: 0\r\nx-turnford-attempt-id: {attempt}\r\n{headers}\r\n"
    );
    connection.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(connection);
    let mut status = String::new();
    reader.read_line(&mut status).ok()?;
    status.starts_with("HTTP/1.1 200").then_some(reader)
}

/// Reads events until one with the given id, or until the response ends. Returns the last one's id.
fn read_until(reader: &mut BufReader<TcpStream>, event: u64) -> u64 {
    let (mut last_event, mut line) = (0, String::new());
    while last_event < event {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
            break;
        }
        if let Some(data) = line.trim_end().strip_prefix("data: token ") {
            last_event = data.parse().expect("an event's number");
        }
    }
    last_event
}

fn wait_ready(node: &NodeProcess) {
    let started_at = Instant::now();
    let is_ready = || {
        let request = HttpClient::request(Method::GET, node.ready(), "/v1/readiness");
        let client = HttpClient::new();
        let response = client.send(node.ready(), request.expect("a path"), CHANGE_TIME);
        async_io::block_on(response).is_ok_and(|response| response.status == 200)
    };
    while !is_ready() {
        assert!(started_at.elapsed() < START_LIMIT, "{} is ready", node.name);
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Replaces the targets and kills all nodes a moment later. Clients resume after `pause`.
fn replaced_before_kill(kind: ServiceKind, pause: Duration) -> ResumeCount {
    let mut fleet = VersionFleet::start(kind, "v1");
    let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
    fleet.replace_targets("v2");
    std::thread::sleep(Duration::from_millis(200));
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    std::thread::sleep(pause);
    fleet.resume(&[0, 1, 2, 3], &begun)
}

#[test]
fn old_version_left() {
    // Nodes that had seen the new version alone for some seconds took it for the only one.
    let count = replaced_before_kill(ServiceKind::Engine, LATER);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert_eq!(count.refused, STREAMS, "{count:?}");
}

#[test]
fn old_version_left_calls() {
    let count = replaced_before_kill(ServiceKind::Plain, LATER);
    assert_eq!(count.mixed, 0, "{count:?}");
}

#[test]
fn old_version_just_left() {
    let count = replaced_before_kill(ServiceKind::Engine, Duration::ZERO);
    assert_eq!(count.mixed, 0, "{count:?}");
}

#[test]
fn replaced_after_kill() {
    // A node is gone for good, and with it the only records of its streams, when all targets are replaced.
    let mut fleet = VersionFleet::start(ServiceKind::Engine, "v1");
    let (begun, open) = fleet.begin(&[0]);
    fleet.kill(&[0]);
    drop(open);
    std::thread::sleep(Duration::from_millis(300));
    fleet.replace_targets("v2");
    std::thread::sleep(LATER);
    let count = fleet.resume(&[1, 2, 3], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
}

#[test]
fn both_versions_serve() {
    let mut fleet = VersionFleet::start(ServiceKind::Engine, "v1");
    fleet.add_targets("v2");
    std::thread::sleep(CHANGE_TIME);
    let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
    std::thread::sleep(BACKUP_TIME);
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    let count = fleet.resume(&[3, 2, 1, 0], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert!(count.whole >= MIN_RECORDED, "{count:?}");
}

#[test]
fn killed_twice() {
    // The records that a node had restored were lost with its second kill.
    let mut fleet = VersionFleet::start(ServiceKind::Engine, "v1");
    fleet.add_targets("v2");
    std::thread::sleep(CHANGE_TIME);
    let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
    std::thread::sleep(BACKUP_TIME);
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    let (_, open) = fleet.begin(&[0, 1, 2, 3]);
    std::thread::sleep(BACKUP_TIME);
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    let count = fleet.resume(&[3, 2, 1, 0], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert!(count.whole >= MIN_RECORDED, "{count:?}");
}

#[test]
fn one_version() {
    // No node remembered that the service had only one version.
    let mut fleet = VersionFleet::start(ServiceKind::Engine, "v1");
    for _ in 0..2 {
        let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
        fleet.kill(&[0, 1, 2, 3]);
        drop(open);
        fleet.restart();
        let count = fleet.resume(&[3, 2, 1, 0], &begun);
        assert_eq!(count.mixed, 0, "{count:?}");
        assert!(count.whole >= MIN_RESUMED, "{count:?}");
    }
}

#[test]
fn one_version_calls() {
    let mut fleet = VersionFleet::start(ServiceKind::Plain, "v1");
    let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    let count = fleet.resume(&[3, 2, 1, 0], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert!(count.whole >= MIN_RESUMED, "{count:?}");
}

#[test]
fn all_but_newest() {
    // All nodes but the one that started last are killed.
    let mut fleet = VersionFleet::start(ServiceKind::Engine, "v1");
    fleet.kill(&[0]);
    fleet.restart();
    let (begun, open) = fleet.begin(&[1, 2, 3]);
    fleet.kill(&[1, 2, 3]);
    drop(open);
    let count = fleet.resume(&[0], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert!(count.whole >= MIN_RESUMED, "{count:?}");
}

#[test]
fn restarted_early() {
    // A node that starts again within the first second doesn't take the fleet for one with older streams.
    let mut fleet = VersionFleet::start_unsettled(ServiceKind::Engine, "v1");
    fleet.kill(&[0]);
    fleet.restart();
    let (begun, open) = fleet.begin(&[0, 1, 2, 3]);
    fleet.kill(&[0, 1, 2, 3]);
    drop(open);
    fleet.restart();
    let count = fleet.resume(&[3, 2, 1, 0], &begun);
    assert_eq!(count.mixed, 0, "{count:?}");
    assert!(count.whole >= MIN_RESUMED, "{count:?}");
}
