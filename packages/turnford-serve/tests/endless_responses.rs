//! Guards against requests, other requests and memory that suffer from targets whose responses go on without end.

mod common;

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::CLIENT_TIMEOUT;
use common::ENGINE;
use common::LIMIT;
use common::QUICK;
use common::SHORT_TIMEOUT;
use common::STAGE;
use common::STAGED;
use turnford_standin::EndlessResponse;
use turnford_standin::LinkCut;
use turnford_standin::RouteTarget;

/// Time after a route's timeout within which a request must have ended.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Time within which a request ends whose response can't be one any more.
const INVALID_LIMIT: Duration = Duration::from_millis(750);

/// Time after the end of a request within which its target's connection is closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Timeout of the longest call that is no request of a client.
const MAINTENANCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the end of a request within which its results are released.
const RELEASE_MARGIN: Duration = Duration::from_millis(50);

/// Time within which a healthy service answers, a third of its routes' objective.
const HEALTHY_LIMIT: Duration = Duration::from_secs(1);

/// Requests that receive endless responses at the same time.
const CLIENTS: usize = 4;

/// Size of a client's reads, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Head lines of a response that belongs to the call.
const OWN: &str =
    "x-turnford-attempt-id: {attempt}\r\nx-turnford-server-stamp: stamp-{attempt}\r\n";

/// When a request with an endless response ends at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// As soon as the bytes can't be a response any more.
    Invalid,
    /// At the timeout of its route.
    Timeout,
}

/// A place at which a response goes on without end.
#[derive(Clone, Copy, Debug)]
struct Place {
    name: &'static str,
    /// Status line, and further header lines after [`OWN`].
    start: (&'static str, &'static str),
    repeated: &'static [u8],
    end: RequestEnd,
}

const fn place(
    name: &'static str,
    start: (&'static str, &'static str),
    repeated: &'static [u8],
    end: RequestEnd,
) -> Place {
    Place {
        name,
        start,
        repeated,
        end,
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "content-length: 90000000000\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const CHUNK: &[u8] = b"10\r\nbytes of a chunk\r\n";
const TINY_CHUNK: &[u8] = b"1\r\nx\r\n";
const TEXT: &[u8] = b"bytes without end";

const PLACES: [Place; 13] = [
    place("no-line-end", ("", ""), TEXT, RequestEnd::Invalid),
    place(
        "status-line",
        ("HTTP/1.1 200 ", ""),
        TEXT,
        RequestEnd::Invalid,
    ),
    place(
        "interim",
        ("", ""),
        b"HTTP/1.1 100 Continue\r\n\r\n",
        RequestEnd::Invalid,
    ),
    place(
        "header-lines",
        (OK, "x: y\r\n"),
        b"x-more: y\r\n",
        RequestEnd::Invalid,
    ),
    place("header-value", (OK, "x-long: "), TEXT, RequestEnd::Invalid),
    place("length", (OK, LENGTH), TEXT, RequestEnd::Timeout),
    place("chunks", (OK, CHUNKED), CHUNK, RequestEnd::Timeout),
    place(
        "tiny-chunks",
        (OK, CHUNKED),
        TINY_CHUNK,
        RequestEnd::Timeout,
    ),
    place(
        "chunk-extension",
        (OK, "transfer-encoding: chunked\r\n\r\n1;"),
        TEXT,
        RequestEnd::Invalid,
    ),
    place(
        "close",
        (OK, "connection: close\r\n\r\n"),
        TEXT,
        RequestEnd::Timeout,
    ),
    place(
        "trailers",
        (OK, "transfer-encoding: chunked\r\n\r\n0\r\n"),
        b"x-more: y\r\n",
        RequestEnd::Invalid,
    ),
    place(
        "failure",
        ("HTTP/1.1 500 -\r\n", LENGTH),
        TEXT,
        RequestEnd::Timeout,
    ),
    place(
        "refusal",
        (
            "HTTP/1.1 503 -\r\n",
            "x-turnford-not-run: yes\r\ncontent-length: 90000000000\r\n\r\n",
        ),
        TEXT,
        RequestEnd::Invalid,
    ),
];

const EVENTS: [Place; 3] = [
    place(
        "events",
        (
            OK,
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        ),
        b"9\r\ndata: x\n\n\r\n",
        RequestEnd::Timeout,
    ),
    place(
        "one-event",
        (
            OK,
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n",
        ),
        CHUNK,
        RequestEnd::Timeout,
    ),
    place(
        "event-by-length",
        (
            OK,
            "content-type: text/event-stream\r\ncontent-length: 90000000000\r\n\r\ndata: ",
        ),
        TEXT,
        RequestEnd::Timeout,
    ),
];

impl Place {
    fn response(&self, path: &'static str) -> EndlessResponse {
        let (status, lines) = self.start;
        let has_head = status.ends_with('\n');
        EndlessResponse {
            path,
            start: [status, if has_head { OWN } else { "" }, lines].concat(),
            repeated: self.repeated,
        }
    }
}

/// How fast a client reads.
#[derive(Clone, Copy, Debug)]
enum Reader {
    Fast,
    /// It pauses after each read.
    Slow,
    /// It reads nothing.
    Never,
}

/// End of a request, as its client sees it.
#[derive(Debug)]
struct Ended {
    head: String,
    elapsed: Duration,
}

/// Sends a request and reads its response until it ends, at most for [`LIMIT`].
fn call(to: SocketAddr, path: &str, attempt: &str, reader: Reader) -> Ended {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-turnford-attempt-id: {attempt}\r\n\
         x-turnford-deadline-ms: {}\r\nauthorization: Bearer key-skagen\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n",
        CLIENT_TIMEOUT.as_millis()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let mut start = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match reader {
            Reader::Fast => {}
            Reader::Slow => std::thread::sleep(Duration::from_millis(20)),
            Reader::Never => {
                std::thread::sleep(SHORT_TIMEOUT);
                break;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) if start.len() < READ_BYTES => start.extend_from_slice(&buffer[..length]),
            Ok(_) => {}
            Err(error) => {
                assert_ne!(error.kind(), ErrorKind::WouldBlock, "{attempt}: no end");
                break;
            }
        }
    }
    Ended {
        head: String::from_utf8_lossy(&start[..start.len().min(200)]).into_owned(),
        elapsed: started_at.elapsed(),
    }
}

/// Waits until the targets' endless responses have ended. Returns how many go on after `limit`, if any.
fn open_after(targets: &[RouteTarget], limit: Duration) -> Option<usize> {
    let started_at = Instant::now();
    loop {
        let open: usize = targets.iter().map(RouteTarget::open_endless_count).sum();
        if open == 0 {
            return None;
        }
        if started_at.elapsed() > limit {
            return Some(open);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the value of a metric.
fn metric(text: &str, name: &str) -> Option<u64> {
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

/// Nodes before healthy targets and some with endless responses.
struct EndlessSite {
    _running: MutexGuard<'static, ()>,
    site: RouteSite,
    node: usize,
    plain: Vec<RouteTarget>,
    engines: Vec<RouteTarget>,
    stages: Vec<RouteTarget>,
}

impl EndlessSite {
    fn new(is_relayed: bool) -> Self {
        let running = serialize();
        let mut site = RouteSite::new();
        let target = |site: &RouteSite, id, service, role| site.target(id, service, role);
        let plain = ["b1", "b2"].map(|id| target(&site, id, "booking", QUICK));
        let engines = ["s1", "s2"].map(|id| target(&site, id, "sprog", ENGINE));
        let stages = [("k1", "kort"), ("e1", "ejer")];
        let stages = stages.map(|(id, service)| target(&site, id, service, STAGE));
        let node = if is_relayed {
            let all = [&plain[..], &engines[..], &stages[..]].concat();
            let (node, links) = site.node_behind("one", &all);
            site.node("two");
            site.settle();
            for link in &links {
                link.cut(LinkCut::Reset).expect("a port");
            }
            // The calls through the second node open its connections.
            for path in ["/pay/", "/draft/"] {
                let response = site.call(node, ClientRequest::new("warm", path));
                assert_eq!(response.expect("a response").status, 200);
            }
            node
        } else {
            site.node("one")
        };
        Self {
            _running: running,
            site,
            node,
            plain: plain.to_vec(),
            engines: engines.to_vec(),
            stages: stages.to_vec(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.site.nodes[self.node].settings.listen
    }

    /// Returns the number of failed calls to a service that the first node has counted.
    fn failures(&self, service: &str) -> u64 {
        let name =
            format!("turnford_service_events_total{{service=\"{service}\",event=\"broken\"}}");
        metric(&self.site.metrics(self.node), &name).unwrap_or(0)
    }

    /// Calls a healthy service and checks the bytes that the nodes hold until `is_done`; returns what is wrong.
    fn watch(&self, row: &str, path: &str, is_done: &AtomicBool) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut number = 0;
        while !is_done.load(Ordering::SeqCst) {
            let attempt = format!("{row}-healthy-{number}");
            number += 1;
            let started_at = Instant::now();
            let response = self
                .site
                .call(self.node, ClientRequest::new(&attempt, path));
            let elapsed = started_at.elapsed();
            let status = response.map(|response| response.status);
            if status != Ok(200) || elapsed > HEALTHY_LIMIT {
                wrong.push(format!("{attempt}: {status:?} after {elapsed:?}"));
            }
            for node in 0..self.site.nodes.len() {
                let text = self.site.metrics(node);
                let held = metric(&text, "turnford_body_bytes");
                let limit = metric(&text, "turnford_body_bytes_limit");
                if held.is_none() || held > limit {
                    wrong.push(format!("{row}: node {node} holds {held:?} of {limit:?}"));
                }
            }
        }
        wrong
    }

    /// Sends requests whose targets respond without end; returns what is wrong.
    fn check(&self, row: &Row<'_>) -> Vec<String> {
        let Row { path, place, .. } = *row;
        let is_stream = path.starts_with("/draft");
        let (service, targets, healthy) = if is_stream {
            ("sprog", &self.engines, "/pay/")
        } else {
            ("booking", &self.plain, "/draft/")
        };
        for target in targets {
            target.respond_endless(Some(place.response(path)));
        }
        let failures = self.failures(service);
        let is_done = AtomicBool::new(false);
        let name = format!("{}{}", place.name, path.replace('/', "-"));
        let mut wrong = Vec::new();
        let address = self.address();
        std::thread::scope(|scope| {
            let watch = scope.spawn(|| self.watch(&name, healthy, &is_done));
            let calls: Vec<_> = (0..CLIENTS)
                .map(|number| {
                    let attempt = format!("{name}-{number}");
                    scope.spawn(move || (call(address, path, &attempt, row.reader), attempt))
                })
                .collect();
            if matches!(row.reader, Reader::Slow) {
                // The client reads on what was sent before.
                let limit = SHORT_TIMEOUT + TIMEOUT_MARGIN;
                if let Some(open) = open_after(targets, limit) {
                    wrong.push(format!("{name}: {open} connections are open"));
                }
            }
            for ended in calls {
                let (ended, attempt) = ended.join().expect("a call");
                if let Some(fault) = row.fault(&ended) {
                    wrong.push(format!("{attempt}: {fault}"));
                }
            }
            if let Some(open) = open_after(targets, CLOSE_LIMIT) {
                wrong.push(format!("{name}: {open} connections are open"));
            }
            is_done.store(true, Ordering::SeqCst);
            wrong.extend(watch.join().expect("a watch"));
        });
        if row.is_failure() && self.failures(service) == failures {
            wrong.push(format!("{name}: no failure was counted"));
        }
        for target in targets {
            target.respond_endless(None);
        }
        self.check_idle();
        wrong
    }

    /// Checks that no call and no request is left.
    fn check_idle(&self) {
        for number in 0..self.site.nodes.len() {
            wait_until("all requests have ended", || {
                let text = self.site.metrics(number);
                metric(&text, "turnford_running") == Some(0)
                    && metric(&text, "turnford_body_bytes").unwrap_or(0) == 0
            });
        }
    }
}

/// Requests to one route whose targets respond without end.
struct Row<'a> {
    path: &'static str,
    place: &'a Place,
    reader: Reader,
}

impl Row<'_> {
    /// Returns whether the target counts as failed. A refusal is none, and a stream that its client received
    /// until its timeout tells nothing of its target.
    fn is_failure(&self) -> bool {
        let is_passed_on = self.path.starts_with("/draft")
            && self.place.end == RequestEnd::Timeout
            && self.place.name != "failure";
        self.place.name != "refusal" && !is_passed_on
    }

    /// Returns what is wrong with the end of a request.
    fn fault(&self, ended: &Ended) -> Option<String> {
        let limit = match self.place.end {
            RequestEnd::Invalid => INVALID_LIMIT,
            RequestEnd::Timeout => SHORT_TIMEOUT + TIMEOUT_MARGIN,
        };
        let status = ended.head.split(' ').nth(1).unwrap_or("");
        let expected: &[&str] = match (self.reader, self.place.name) {
            (Reader::Never, _) => &[""],
            (_, "refusal") => &["503"],
            (_, "failure") => &["500", "502", "504"],
            _ if self.path.starts_with("/draft") => &["200", "502", "503", "504"],
            _ => &["502", "504"],
        };
        let is_late = ended.elapsed > limit && !matches!(self.reader, Reader::Slow);
        (is_late || !expected.contains(&status))
            .then(|| format!("{:?}: {:?}", ended.elapsed, ended.head))
    }
}

/// Keeps the endless responses of one test from those of another.
fn serialize() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_none(wrong: &[String]) {
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

/// Checks all places of plain responses on a route.
fn check_places(site: &EndlessSite, path: &'static str) {
    let rows = PLACES.iter().map(|place| Row {
        path,
        place,
        reader: Reader::Fast,
    });
    let wrong: Vec<String> = rows.flat_map(|row| site.check(&row)).collect();
    assert_none(&wrong);
}

/// Checks all places of streams, with clients that read at different speeds.
fn check_streams(site: &EndlessSite) {
    let readers = [Reader::Fast, Reader::Slow, Reader::Never];
    let streams = EVENTS
        .iter()
        .flat_map(|place| readers.map(|reader| (place, reader)));
    let places = PLACES.iter().map(|place| (place, Reader::Fast));
    let rows = streams.chain(places).map(|(place, reader)| Row {
        path: "/draft-soon/",
        place,
        reader,
    });
    let wrong: Vec<String> = rows.flat_map(|row| site.check(&row)).collect();
    assert_none(&wrong);
}

#[test]
fn direct_unsafe() {
    check_places(&EndlessSite::new(false), "/hold-soon/");
}

#[test]
fn direct_safe() {
    check_places(&EndlessSite::new(false), "/pay-soon/");
}

#[test]
fn relayed_unsafe() {
    check_places(&EndlessSite::new(true), "/hold-soon/");
}

#[test]
fn direct_streams() {
    check_streams(&EndlessSite::new(false));
}

#[test]
fn relayed_streams() {
    check_streams(&EndlessSite::new(true));
}

/// Checks calls to a path that are not requests of clients, while others are served.
fn check_internal(site: &EndlessSite, path: &'static str) {
    let mut wrong = Vec::new();
    for place in &PLACES {
        let name = format!("{}{}", place.name, path.replace('/', "-"));
        let sick = [&site.stages[..], &site.engines[..]].concat();
        for target in &sick {
            target.respond_endless(Some(place.response(path)));
        }
        let is_done = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let watch = scope.spawn(|| site.watch(&name, "/pay/", &is_done));
            let started_at = Instant::now();
            let timeout = SHORT_TIMEOUT.as_millis().to_string();
            let headers = [STAGED, &[("x-turnford-deadline-ms", &*timeout)]].concat();
            let mut request = ClientRequest::new(&name, "/chat/");
            request.headers = &headers;
            // Whether it is served depends on whether the call is needed.
            let response = site.site.call(site.node, request);
            let elapsed = started_at.elapsed();
            if elapsed > SHORT_TIMEOUT + TIMEOUT_MARGIN {
                wrong.push(format!("{name}: {response:?} after {elapsed:?}"));
            }
            std::thread::sleep(RELEASE_MARGIN);
            for target in &sick {
                target.respond_endless(None);
            }
            if let Some(open) = open_after(&sick, CLOSE_LIMIT + MAINTENANCE_TIMEOUT) {
                wrong.push(format!("{name}: {open} connections are open"));
            }
            is_done.store(true, Ordering::SeqCst);
            wrong.extend(watch.join().expect("a watch"));
        });
        site.check_idle();
    }
    let begun: usize = site.stages.iter().map(RouteTarget::endless_count).sum();
    assert!(begun > 0, "no call received an endless response");
    assert_none(&wrong);
}

#[test]
fn direct_reports() {
    check_internal(&EndlessSite::new(false), "/v1/report");
}

#[test]
fn direct_pieces() {
    check_internal(&EndlessSite::new(false), "/v1/stage-run");
}

#[test]
fn direct_releases() {
    check_internal(&EndlessSite::new(false), "/v1/stage-free");
}

#[test]
fn relayed_pieces() {
    check_internal(&EndlessSite::new(true), "/v1/stage-run");
}
