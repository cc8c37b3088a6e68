//! Streams that clients resume, while targets run several software versions.
//!
//! Guards against streams whose events come from two versions: nodes that resumed a stream did not
//! know which version had begun it.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use common::RouteSite;
use turnford_standin::EndpointState;
use turnford_standin::RouteTarget;
use turnford_standin::TargetIdentity;
use turnford_standin::TargetRole;

/// An engine whose streams last long enough to be interrupted.
const LONG_ENGINE: TargetRole = TargetRole::Engine {
    first_event: Duration::from_millis(10),
    event_gap: Duration::from_millis(60),
    events: EVENTS,
};

/// Events of a whole stream.
const EVENTS: u64 = 10;

/// Timeout of a client that reads a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum ratio of resumed streams that go on, relative to new streams that begin.
const MIN_RESUMED_RATIO: f64 = 0.9;

/// Time within which a started node has asked the others for versions.
const ADOPTION_TIME: Duration = Duration::from_millis(1500);

/// Longest time for which a stream that can't be resumed may be held.
const MAX_HOLD: Duration = Duration::from_millis(700);

/// Headers of requests that have no prompt and no stages.
const HEADERS: &str = "host: site.example\r\nx-turnford-deadline-ms: 8000\r\ncontent-length: 0\r\n";

/// A stream that a client reads.
struct ClientStream {
    reader: BufReader<TcpStream>,
    status: u16,
    retry_after: Option<f64>,
    /// Id of the last complete event.
    last_event: u64,
    is_whole: bool,
}

impl ClientStream {
    /// Sends a request with further headers, and reads the head of the response.
    fn open(
        site: &RouteSite,
        node: usize,
        key: &str,
        attempt: &str,
        headers: &str,
    ) -> Option<Self> {
        let mut connection = TcpStream::connect(site.nodes[node].settings.listen).ok()?;
        connection.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        let call = format!(
            "POST /chat/ HTTP/1.1\r\n{HEADERS}authorization: Bearer {key}\r\n\
             x-turnford-attempt-id: {attempt}\r\n{headers}\r\n"
        );
        connection.write_all(call.as_bytes()).ok()?;
        let mut stream = Self {
            reader: BufReader::new(connection),
            status: 0,
            retry_after: None,
            last_event: 0,
            is_whole: false,
        };
        let status = stream.line()?;
        stream.status = status.split(' ').nth(1)?.parse().ok()?;
        loop {
            let line = stream.line()?.to_ascii_lowercase();
            if line.is_empty() {
                return Some(stream);
            }
            if let Some(value) = line.strip_prefix("retry-after: ") {
                stream.retry_after = value.parse().ok();
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Reads events until one with the given id, or until the response ends.
    fn read_until(&mut self, event: u64) {
        while self.last_event < event {
            let Some(line) = self.line() else {
                return;
            };
            if line == "0" {
                self.is_whole = true;
                return;
            }
            if let Some(data) = line.strip_prefix("data: token ") {
                self.last_event = data.parse().expect("an event's number");
            }
        }
    }

    fn text(mut self) -> String {
        let mut text = Vec::new();
        // The connection stays open after a whole response.
        let _ = self
            .reader
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(50)));
        let _ = self.reader.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Streams that were resumed, and how they ended.
#[derive(Debug, Default)]
struct ResumeCount {
    begun: usize,
    begun_ok: usize,
    resumed: usize,
    resumed_ok: usize,
    mixed: Vec<String>,
}

impl ResumeCount {
    /// Asserts that no stream was mixed, and that those resumed went on as often as new ones begin.
    fn check(&self) {
        assert!(self.mixed.is_empty(), "streams of two versions: {self:?}");
        let begun = self.begun_ok as f64 / self.begun.max(1) as f64;
        let resumed = self.resumed_ok as f64 / self.resumed.max(1) as f64;
        assert!(self.resumed > 0, "nothing was resumed: {self:?}");
        assert!(
            resumed >= MIN_RESUMED_RATIO * begun,
            "too few streams went on: {self:?}"
        );
    }
}

/// A site whose engines run several versions.
struct VersionSite {
    site: RouteSite,
    targets: Vec<RouteTarget>,
    next: usize,
    count: ResumeCount,
}

impl VersionSite {
    fn new(nodes: usize, versions: &[&str]) -> Self {
        let mut versioned = Self {
            site: RouteSite::new(),
            targets: Vec::new(),
            next: 0,
            count: ResumeCount::default(),
        };
        for version in versions {
            versioned.add_target(version);
        }
        for number in 0..nodes {
            versioned.site.node(&format!("node-{number}"));
        }
        versioned.site.settle();
        versioned
    }

    fn add_target(&mut self, version: &str) {
        let id = format!("s{}", self.targets.len());
        let site = &self.site;
        let identity = TargetIdentity {
            id: &id,
            service: "sprog",
            version,
        };
        let (executor, journal) = (&site.executor, &site.journal);
        let target = RouteTarget::start_as(executor, &site.store, journal, &identity, LONG_ENGINE);
        self.targets.push(target.expect("a free port"));
    }

    fn open(&self, node: usize, attempt: &str, headers: &str) -> Option<ClientStream> {
        ClientStream::open(&self.site, node, "key-skagen", attempt, headers)
    }

    fn next_attempt(&mut self) -> String {
        self.next += 1;
        format!("a{}", self.next)
    }

    /// Begins a stream and reads its first events.
    fn begin(&mut self, node: usize) -> Option<(String, ClientStream)> {
        let attempt = self.next_attempt();
        self.count.begun += 1;
        let mut stream = self.open(node, &attempt, "")?;
        stream.read_until(2);
        if stream.last_event < 2 {
            return None;
        }
        self.count.begun_ok += 1;
        Some((attempt, stream))
    }

    /// Resumes a stream whose client has received events up to `last_event`.
    fn resume(&mut self, node: usize, first: &str, last_event: u64) {
        let attempt = self.next_attempt();
        let headers = format!("resumes: {first}\r\nlast-event-id: {last_event}\r\n");
        self.count.resumed += 1;
        let Some(mut stream) = self.open(node, &attempt, &headers) else {
            return;
        };
        stream.read_until(EVENTS);
        if stream.last_event == EVENTS {
            self.count.resumed_ok += 1;
        }
        self.check_versions(first, &attempt);
    }

    /// Records a violation if two attempts ran at different versions.
    fn check_versions(&mut self, first: &str, second: &str) {
        let version = |attempt: &str| {
            let runs = self.site.journal.requests(attempt);
            runs.last().map(|run| run.version.clone())
        };
        let versions = (version(first), version(second));
        if versions.1.is_some() && versions.0 != versions.1 {
            self.count
                .mixed
                .push(format!("{first}, {second}: {versions:?}"));
        }
    }

    /// Has clients drop streams and resume them at another node.
    fn drop_and_resume(&mut self, streams: usize, nodes: usize) {
        for number in 0..streams {
            let Some((attempt, stream)) = self.begin(number % nodes) else {
                continue;
            };
            let last_event = stream.last_event;
            drop(stream);
            self.resume((number + 1) % nodes, &attempt, last_event);
        }
    }
}

#[test]
fn dropped_streams() {
    let mut site = VersionSite::new(4, &["v1", "v1", "v2", "v2"]);
    site.drop_and_resume(24, 4);
    site.count.check();
}

#[test]
fn killed_node() {
    let mut site = VersionSite::new(4, &["v1", "v1", "v2", "v2"]);
    let begun: Vec<_> = (0..12).filter_map(|_| site.begin(0)).collect();
    site.site.nodes[0].node.take().expect("a node").stop();
    for (number, (attempt, stream)) in begun.into_iter().enumerate() {
        let last_event = stream.last_event;
        drop(stream);
        site.resume(1 + number % 3, &attempt, last_event);
    }
    site.count.check();
}

#[test]
fn two_killed_nodes() {
    // A record survives the node that began the stream and any other one.
    let mut site = VersionSite::new(5, &["v1", "v1", "v2", "v2"]);
    let begun: Vec<_> = (0..16)
        .filter_map(|number| site.begin(number % 2))
        .collect();
    for number in 0..2 {
        site.site.nodes[number].node.take().expect("a node").stop();
    }
    for (number, (attempt, stream)) in begun.into_iter().enumerate() {
        let last_event = stream.last_event;
        drop(stream);
        site.resume(2 + number % 3, &attempt, last_event);
    }
    site.count.check();
}

#[test]
fn stopped_in_turn() {
    // Guards against a node that started a short time ago and doesn't know that the service has one version,
    // which only the node that stops now knew.
    let mut site = VersionSite::new(2, &["v1", "v1"]);
    site.site.restart(0);
    std::thread::sleep(ADOPTION_TIME);
    let begun: Vec<_> = (0..12).filter_map(|_| site.begin(1)).collect();
    site.site.nodes[1].node.take().expect("a node").stop();
    for (attempt, stream) in begun {
        let last_event = stream.last_event;
        drop(stream);
        site.resume(0, &attempt, last_event);
    }
    site.count.check();
}

#[test]
fn silent_store() {
    let mut site = VersionSite::new(4, &["v1", "v1", "v2", "v2"]);
    for node in &site.site.nodes {
        site.site
            .store
            .set_endpoint(node.endpoint, EndpointState::Unavailable);
    }
    site.drop_and_resume(16, 4);
    site.count.check();
}

#[test]
fn second_version_appears() {
    // The streams began while the service had one version.
    let mut site = VersionSite::new(4, &["v1", "v1"]);
    let begun: Vec<_> = (0..8).filter_map(|number| site.begin(number % 4)).collect();
    for _ in 0..4 {
        site.add_target("v2");
    }
    for node in 0..4 {
        let site = &site.site;
        wait_until("the new targets are known", || {
            site.metrics(node).contains("turnford_targets 6\n")
        });
    }
    std::thread::sleep(Duration::from_millis(200));
    for (number, (attempt, stream)) in begun.into_iter().enumerate() {
        let last_event = stream.last_event;
        drop(stream);
        site.resume((number + 1) % 4, &attempt, last_event);
    }
    site.count.check();
}

#[test]
fn replaced_process() {
    // A target's process is replaced by one of another version before the store says so.
    let mut site = VersionSite::new(4, &["v1", "v1", "v1", "v2", "v2", "v2"]);
    for (target, version) in [(0, "v2"), (3, "v1"), (1, "v2"), (4, "v1")] {
        site.targets[target].replace_process(version, Duration::from_secs(1));
        std::thread::sleep(Duration::from_millis(50));
        site.drop_and_resume(10, 4);
    }
    site.count.check();
}

#[test]
fn version_gone() {
    let mut site = VersionSite::new(2, &["v1", "v2", "v2"]);
    let begun: Vec<_> = (0..12)
        .filter_map(|number| site.begin(number % 2))
        .collect();
    site.targets[0].publish("draining");
    std::thread::sleep(Duration::from_millis(300));
    let mut refused = 0;
    for (number, (attempt, stream)) in begun.into_iter().enumerate() {
        let last_event = stream.last_event;
        drop(stream);
        let runs = site.site.journal.requests(&attempt);
        let is_old = runs.last().is_some_and(|run| run.version == "v1");
        let second = site.next_attempt();
        let headers = format!("resumes: {attempt}\r\nlast-event-id: {last_event}\r\n");
        let at = Instant::now();
        let stream = site
            .open((number + 1) % 2, &second, &headers)
            .expect("a response");
        if is_old {
            refused += 1;
            assert_eq!(stream.status, 503);
            assert!(at.elapsed() < MAX_HOLD, "refused at once");
            assert!(stream.retry_after.is_some());
            assert!(stream.text().contains("version-gone"));
            assert!(site.site.journal.requests(&second).is_empty(), "not run");
        } else {
            assert_eq!(stream.status, 200);
        }
    }
    assert!(refused > 0, "no stream began at the version that left");
}

#[test]
fn unknown_streams() {
    // Neither an unknown stream nor another account's stream is resumed.
    let mut site = VersionSite::new(2, &["v1", "v2"]);
    let (attempt, _stream) = site.begin(0).expect("a stream");
    let cases = [
        (
            "key-skagen",
            "resumes: never-sent\r\nlast-event-id: 2\r\n".to_owned(),
        ),
        (
            "key-fyn",
            format!("resumes: {attempt}\r\nlast-event-id: 2\r\n"),
        ),
        ("key-skagen", "last-event-id: 2\r\n".to_owned()),
        ("key-skagen", "resumes: never-sent\r\n".to_owned()),
    ];
    for (key, headers) in cases {
        let second = site.next_attempt();
        let at = Instant::now();
        let stream = ClientStream::open(&site.site, 1, key, &second, &headers);
        let stream = stream.expect("a response");
        assert_eq!(stream.status, 503, "{headers}");
        assert!(at.elapsed() < MAX_HOLD, "refused at once: {headers}");
        assert!(stream.retry_after.is_some());
        assert!(stream.text().contains("stream-unknown"), "{headers}");
        assert!(site.site.journal.requests(&second).is_empty(), "not run");
    }
    let second = site.next_attempt();
    let stream = site.open(1, &second, "resumes: \r\nlast-event-id: 2\r\n");
    assert_eq!(stream.expect("a response").status, 400, "an empty id");
}

#[test]
fn same_id() {
    // An attempt id that began streams at both versions names neither.
    let mut site = VersionSite::new(2, &["v1", "v2"]);
    let runs = |site: &VersionSite| {
        let runs = site.site.journal.requests("twice").into_iter();
        let versions: std::collections::BTreeSet<String> = runs.map(|run| run.version).collect();
        versions.len()
    };
    let mut streams = Vec::new();
    while runs(&site) < 2 {
        let mut stream = site
            .open(streams.len() % 2, "twice", "")
            .expect("a response");
        stream.read_until(1);
        streams.push(stream);
        assert!(streams.len() < 30, "all streams went to one version");
    }
    let second = site.next_attempt();
    let stream = site.open(0, &second, "resumes: twice\r\nlast-event-id: 1\r\n");
    let stream = stream.expect("a response");
    assert_eq!(stream.status, 503);
    assert!(stream.text().contains("stream-unknown"));
}
