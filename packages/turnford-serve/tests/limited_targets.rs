//! Targets that announce a limit for all nodes together.
//!
//!
//! Guards against nodes that ignore the limit, or keep it without regard to each other's calls. An
//! engine that announced a limit of one request a second for all nodes together got twelve within 4
//! s from eight nodes, where eleven are allowed.

mod common;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_standin::limit_allowance;
use turnford_standin::max_window_calls;
use turnford_standin::RouteTarget;
use turnford_standin::LIMIT_GRACE;
use turnford_standin::LIMIT_WINDOW;

/// Maximum time for which a request may be held that is not served in the end.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Tolerance for the time between a client and a node on a busy machine.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(100);

/// Minimum ratio of the limits that is used where all targets have one.
const MIN_USED_RATIO: f64 = 0.8;

/// A limit window and the time before the limits are in force, with a margin.
const STREAM_TIME: Duration = Duration::from_millis(9000);

/// A request of a stream of requests.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    held: Duration,
    status: u16,
    retry_after: Option<f64>,
}

/// A stream of requests from many clients.
#[derive(Clone, Copy)]
struct Stream<'a> {
    path: &'a str,
    key: &'a str,
    headers: &'a [(&'a str, &'a str)],
    /// Requests per second, over all nodes.
    rate: f64,
    deadline_ms: &'a str,
}

impl<'a> Stream<'a> {
    fn new(path: &'a str, rate: f64) -> Self {
        Self {
            path,
            key: "key-skagen",
            headers: &[],
            rate,
            deadline_ms: "3000",
        }
    }

    /// Sends requests to the nodes in turn for `duration`, without waiting for earlier ones.
    fn send(self, site: &RouteSite, nodes: &[usize], duration: Duration) -> Vec<Sent> {
        let sent = Mutex::new(Vec::new());
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            for number in 0.. {
                let due = Duration::from_secs_f64(f64::from(number) / self.rate);
                if due >= duration {
                    break;
                }
                std::thread::sleep((started_at + due).saturating_duration_since(Instant::now()));
                let node = nodes[number as usize % nodes.len()];
                let sent = &sent;
                scope.spawn(move || {
                    let ended = self.send_one(site, node);
                    sent.lock().expect("no panic").push(ended);
                });
            }
        });
        let mut sent = sent.into_inner().expect("no panic");
        sent.sort_by_key(|sent| sent.at);
        sent
    }

    fn send_one(self, site: &RouteSite, node: usize) -> Sent {
        static TRIES: AtomicU64 = AtomicU64::new(0);
        let at = Instant::now();
        let attempt = format!("a{}", TRIES.fetch_add(1, Ordering::SeqCst));
        let deadline = [("x-turnford-deadline-ms", self.deadline_ms)];
        let headers = [self.headers, &deadline].concat();
        let request = ClientRequest {
            key: Some(self.key),
            headers: &headers,
            ..ClientRequest::new(&attempt, self.path)
        };
        let response = site.call(node, request);
        let retry_after = response.as_ref().ok().and_then(|response| {
            let retry_after = response.header("retry-after")?;
            retry_after.parse().ok()
        });
        Sent {
            at,
            held: at.elapsed(),
            status: response.map_or(0, |response| response.status),
            retry_after,
        }
    }
}

fn served(sent: &[Sent]) -> usize {
    sent.iter().filter(|sent| sent.status == 200).count()
}

/// Has targets announce a limit. Returns the time from which it must be kept.
fn limit_all(targets: &[RouteTarget], limit: &str) -> Instant {
    for target in targets {
        target.announce_limit(Some(limit));
    }
    Instant::now() + LIMIT_GRACE
}

/// Asserts that no window holds more calls than the platform's rules allow.
fn assert_kept(targets: &[RouteTarget], rate: f64, from: Instant) {
    for target in targets {
        let worst = max_window_calls(&target.arrivals(), from);
        let allowed = limit_allowance(rate);
        let id = target.id();
        assert!(worst <= allowed, "{id} got {worst} of {allowed} in 4 s");
    }
}

/// Asserts that requests that were not served were refused soon, with a retry delay.
fn assert_refused_soon(sent: &[Sent], from: Instant) {
    for sent in sent.iter().filter(|sent| sent.at >= from) {
        if sent.status != 200 {
            assert_eq!(sent.status, 503);
            assert!(sent.held <= MAX_HOLD + TRANSIT_TOLERANCE, "{:?}", sent.held);
            assert!(sent
                .retry_after
                .is_some_and(|retry_after| retry_after > 0.0));
        }
    }
}

/// Asserts that the limits are used between two points in time.
fn assert_used(targets: &[RouteTarget], rate: f64, from: Instant, until: Instant) {
    let duration_s = (until - from).as_secs_f64();
    let all: usize = targets
        .iter()
        .map(|target| {
            let calls = target.arrivals();
            let calls = calls.iter();
            calls
                .filter(|call| call.at >= from && call.at < until)
                .count()
        })
        .sum();
    let least = MIN_USED_RATIO * rate * targets.len() as f64 * duration_s;
    assert!(
        all as f64 >= least,
        "{all} calls in {duration_s} s, {least} at least"
    );
}

fn site_with<const N: usize>(
    nodes: usize,
    ids: [&str; N],
    service: &str,
    role: &turnford_standin::TargetRole,
) -> (RouteSite, Vec<usize>, Vec<RouteTarget>) {
    let mut site = RouteSite::new();
    let targets = ids.map(|id| site.target(id, service, role.clone()));
    let names = ["one", "two", "three", "four"];
    let nodes = names[..nodes].iter().map(|name| site.node(name)).collect();
    site.settle();
    (site, nodes, targets.into())
}

/// Waits until all nodes know `targets` targets.
fn wait_listed(site: &RouteSite, targets: usize) {
    let line = format!("turnford_targets {targets}\n");
    for node in 0..site.nodes.len() {
        wait_until("the targets are known", || {
            site.metrics(node).contains(&line)
        });
    }
}

#[test]
fn others_serve() {
    let (site, nodes, targets) = site_with(3, ["b1", "b2"], "booking", &QUICK);
    let from = limit_all(&targets[..1], "1");
    let sent = Stream::new("/pay/1", 60.0).send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets[..1], 1.0, from);
    assert_eq!(served(&sent), sent.len());
    let late = sent.iter().filter(|sent| sent.held > MAX_HOLD).count();
    assert!(late * 100 <= sent.len(), "{late} of {} waited", sent.len());
}

#[test]
fn engines_serve() {
    let (site, nodes, targets) = site_with(3, ["e1", "e2", "e3"], "sprog", &ENGINE);
    let from = limit_all(&targets[..2], "1");
    let sent = Stream::new("/draft/1", 40.0).send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets[..2], 1.0, from);
    assert_eq!(served(&sent), sent.len());
}

#[test]
fn plain_used() {
    let (site, nodes, targets) = site_with(3, ["b1", "b2"], "booking", &QUICK);
    let from = limit_all(&targets, "8");
    let until = Instant::now() + STREAM_TIME;
    let stream = Stream {
        deadline_ms: "800",
        ..Stream::new("/hold/1", 60.0)
    };
    let sent = stream.send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 8.0, from);
    assert_used(&targets, 8.0, from, until);
    assert_refused_soon(&sent, from);
}

#[test]
fn engines_used() {
    let (site, nodes, targets) = site_with(3, ["e1", "e2"], "sprog", &ENGINE);
    let from = limit_all(&targets, "5");
    let until = Instant::now() + STREAM_TIME;
    let sent = Stream::new("/draft/1", 40.0).send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 5.0, from);
    assert_used(&targets, 5.0, from, until);
    assert_refused_soon(&sent, from);
}

#[test]
fn fractional_limit_used() {
    // A limit below one request a second is valid, too.
    let (site, nodes, targets) = site_with(2, ["b1"], "booking", &QUICK);
    let from = limit_all(&targets, "0.5");
    let until = Instant::now() + STREAM_TIME;
    let sent = Stream::new("/hold/1", 10.0).send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 0.5, from);
    assert_refused_soon(&sent, from);
    // Only whole calls count: one less than the ratio may fall into the interval.
    let calls = targets[0].arrivals();
    let calls = calls.iter().filter(|call| call.at >= from);
    let least = MIN_USED_RATIO * 0.5 * (until - from).as_secs_f64();
    assert!(calls.count() as f64 >= least.floor());
}

#[test]
fn pieces_used() {
    // Reports and releases are calls, too; each call takes as many pieces as are waiting.
    let (site, nodes, targets) = site_with(3, ["k1", "k2"], "kort", &STAGE);
    site.target("x1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    wait_listed(&site, 4);
    let stream = Stream {
        headers: STAGED,
        deadline_ms: "4000",
        ..Stream::new("/chat/1", 10.0)
    };
    let before = stream.send(&site, &nodes, Duration::from_secs(1));
    assert_eq!(served(&before), before.len());
    let from = limit_all(&targets, "3");
    let sent = stream.send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 3.0, from);
    let later: Vec<Sent> = sent.into_iter().filter(|sent| sent.at >= from).collect();
    // Two targets with three calls a second of eight pieces each make 48 a second; 20 are
    // requested.
    assert!(
        served(&later) as f64 >= MIN_USED_RATIO * later.len() as f64,
        "{} of {} served",
        served(&later),
        later.len()
    );
}

#[test]
fn before_stages() {
    // Requests that can't be served at the remaining rate are refused before their stages run.
    let (site, nodes, engines) = site_with(2, ["s1"], "sprog", &ENGINE);
    let first = site.target("k1", "kort", STAGE);
    site.target("x1", "ejer", STAGE);
    wait_listed(&site, 3);
    let from = limit_all(&engines, "1");
    let stream = Stream {
        headers: STAGED,
        deadline_ms: "2000",
        ..Stream::new("/chat/1", 10.0)
    };
    let sent = stream.send(&site, &nodes, STREAM_TIME);
    assert_kept(&engines, 1.0, from);
    assert_refused_soon(&sent, from);
    let later: Vec<&Sent> = sent.iter().filter(|sent| sent.at >= from).collect();
    let served = later.iter().filter(|sent| sent.status == 200).count();
    assert!(served >= 3, "{served} of {} served", later.len());
    let stage_calls = first.arrivals();
    let stage_calls = stage_calls
        .iter()
        .filter(|call| call.at >= from && call.path == "/v1/stage-run");
    let stage_calls = stage_calls.count();
    assert!(
        stage_calls <= 2 * served,
        "{stage_calls} calls for {served} requests"
    );
}

#[test]
fn limit_removed() {
    let (site, nodes, targets) = site_with(3, ["b1"], "booking", &QUICK);
    let from = limit_all(&targets, "2");
    let (sent, ended) = std::thread::scope(|scope| {
        let (site, nodes) = (&site, &nodes);
        let stream = Stream::new("/hold/1", 60.0);
        let sent = scope.spawn(move || stream.send(site, nodes, Duration::from_secs(14)));
        std::thread::sleep(Duration::from_secs(8));
        targets[0].announce_limit(None);
        let ended = Instant::now();
        (sent.join().expect("an end"), ended)
    });
    let calls = targets[0].arrivals();
    let of_then = |begin: Duration, end: Duration| {
        let calls = calls.iter();
        calls
            .filter(|call| call.at >= ended + begin && call.at < ended + end)
            .count()
    };
    let before: Vec<_> = calls
        .iter()
        .filter(|call| call.at < ended)
        .cloned()
        .collect();
    assert!(max_window_calls(&before, from) <= limit_allowance(2.0));
    // The rate rises gradually, and is unlimited after some seconds.
    let first = of_then(Duration::ZERO, Duration::from_secs(1));
    assert!(first <= 30, "{first} in the first second");
    let full = ended + Duration::from_secs(5);
    let later: Vec<Sent> = sent.into_iter().filter(|sent| sent.at >= full).collect();
    assert_eq!(served(&later), later.len());
}

#[test]
fn probed_by_one() {
    // While other targets take all requests, a single node probes the limited target from time to
    // time.
    let (site, nodes, targets) = site_with(3, ["b1", "b2"], "booking", &QUICK);
    let from = limit_all(&targets[..1], "0");
    std::thread::scope(|scope| {
        let (site, nodes) = (&site, &nodes);
        let stream = Stream::new("/pay/1", 30.0);
        let sent = scope.spawn(move || stream.send(site, nodes, Duration::from_secs(20)));
        std::thread::sleep(Duration::from_secs(12));
        let calls = targets[0].arrivals();
        let probe_count = calls.iter().filter(|call| call.at >= from).count();
        assert!(probe_count >= 1, "no probe arrived");
        assert_kept(&targets[..1], 0.0, from);
        targets[0].announce_limit(None);
        let ended = Instant::now();
        let sent = sent.join().expect("an end");
        assert_eq!(served(&sent), sent.len());
        let calls = targets[0].arrivals();
        let last = calls.last().expect("calls").at;
        assert!(
            last > ended + Duration::from_secs(6),
            "it is not used again"
        );
    });
}

#[test]
fn allocator_ends() {
    // Each node ends in turn, including the allocator, and a new node starts in its place.
    let (mut site, mut nodes, targets) = site_with(3, ["e1", "e2"], "sprog", &ENGINE);
    let from = limit_all(&targets, "4");
    let stream = Stream::new("/draft/1", 30.0);
    for turn in 0..3 {
        let duration_s = if turn == 0 { 5 } else { 3 };
        stream.send(&site, &nodes, Duration::from_secs(duration_s));
        let ended = nodes.remove(0);
        if let Some(node) = site.nodes[ended].node.take() {
            node.stop();
        }
        nodes.push(site.node(&format!("later-{turn}")));
    }
    let until = Instant::now() + Duration::from_secs(6);
    stream.send(&site, &nodes, Duration::from_secs(6));
    assert_kept(&targets, 4.0, from);
    assert_used(&targets, 4.0, until - Duration::from_secs(3), until);
}

#[test]
fn divider_stops() {
    // Guards against a node that stops as planned: it accepts no permit requests but still responds
    // to probes. Its successor redirected permit requests back to it, so that no call was permitted
    // until it had ended.
    std::thread::scope(|scope| {
        for left in 0..2 {
            scope.spawn(move || stop_allocator(left));
        }
    });
}

/// Stops the allocator while requests arrive at one of the two other nodes.
fn stop_allocator(left: usize) {
    let (mut site, mut nodes, targets) = site_with(3, ["e1", "e2"], "sprog", &ENGINE);
    let from = limit_all(&targets, "4");
    let stream = Stream::new("/draft/1", 30.0);
    stream.send(&site, &nodes, Duration::from_secs(4));
    let allocates = |node: &usize| {
        let text = site.metrics(*node);
        let mut lines = text.lines();
        let rate = lines.find_map(|line| line.strip_prefix("turnford_limit_rate "));
        rate.is_some_and(|rate| rate != "0.0")
    };
    let place = nodes.iter().position(allocates).expect("an allocator");
    let stopping = nodes.remove(place);
    let node = site.nodes[stopping].node.take().expect("a node");
    // The remaining nodes have not been contacted for a while.
    std::thread::sleep(Duration::from_millis(1500));
    std::thread::scope(|scope| {
        scope.spawn(|| async_io::block_on(node.drain()));
        let started_at = Instant::now();
        stream.send(&site, &nodes[left..=left], Duration::from_millis(2200));
        // Half of the limits may be used while the other node may not know of the new allocator.
        let seen = started_at + Duration::from_millis(700);
        assert_used(
            &targets,
            2.0,
            seen,
            started_at + Duration::from_millis(2200),
        );
    });
    assert_kept(&targets, 4.0, from);
}

#[test]
fn uninformed_nodes() {
    // Only one node received a response with the limit; the others keep it as well.
    let (site, nodes, targets) = site_with(4, ["b1"], "booking", &QUICK);
    limit_all(&targets, "1");
    let first = Stream::new("/pay/1", 50.0).send(&site, &nodes[..1], Duration::from_millis(200));
    assert!(served(&first) > 0);
    std::thread::sleep(LIMIT_GRACE);
    let count_before = targets[0].arrivals().len();
    Stream::new("/pay/2", 60.0).send(&site, &nodes[1..], LIMIT_WINDOW);
    let calls = targets[0].arrivals().len() - count_before;
    assert!(calls <= limit_allowance(1.0), "{calls} calls");
}

#[test]
fn changed_limit() {
    let (site, nodes, targets) = site_with(2, ["b1"], "booking", &QUICK);
    let stream = Stream::new("/hold/1", 40.0);
    limit_all(&targets, "10");
    stream.send(&site, &nodes, Duration::from_secs(3));
    let from = limit_all(&targets, "2");
    stream.send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 2.0, from);
    let from = limit_all(&targets, "10");
    let until = Instant::now() + STREAM_TIME;
    stream.send(&site, &nodes, STREAM_TIME);
    assert_kept(&targets, 10.0, from);
    assert_used(&targets, 10.0, from, until);
}

#[test]
fn malformed_limit() {
    // A value that is not a valid number neither starts nor ends a limit.
    let (site, nodes, targets) = site_with(2, ["b1"], "booking", &QUICK);
    let stream = Stream::new("/hold/1", 40.0);
    targets[0].announce_limit(Some("soon"));
    let sent = stream.send(&site, &nodes, Duration::from_secs(1));
    assert_eq!(served(&sent), sent.len());
    let from = limit_all(&targets, "2");
    stream.send(&site, &nodes, LIMIT_GRACE);
    targets[0].announce_limit(Some("-5"));
    stream.send(&site, &nodes, LIMIT_WINDOW * 2);
    assert_kept(&targets, 2.0, from);
}

#[test]
fn process_restarted() {
    // A limit ends with the process that announced it.
    let (site, nodes, targets) = site_with(2, ["b1"], "booking", &QUICK);
    let stream = Stream::new("/hold/1", 40.0);
    limit_all(&targets, "0");
    stream.send(&site, &nodes, LIMIT_GRACE);
    let held = targets[0].arrivals().len();
    stream.send(&site, &nodes, LIMIT_WINDOW);
    assert!(targets[0].arrivals().len() <= held + limit_allowance(0.0));
    targets[0].announce_limit(None);
    targets[0].restart();
    wait_until("it is used again", || {
        let sent = stream.send(&site, &nodes, Duration::from_millis(500));
        served(&sent) == sent.len()
    });
}

#[test]
fn urgent_first() {
    let (site, nodes, targets) = site_with(3, ["b1"], "booking", &QUICK);
    let from = limit_all(&targets, "6");
    let (urgent, other) = std::thread::scope(|scope| {
        let (site, nodes) = (&site, &nodes);
        let urgent = Stream {
            key: "key-fyn",
            ..Stream::new("/hold/1", 4.0)
        };
        let other = Stream::new("/hold/1", 30.0);
        let urgent = scope.spawn(move || urgent.send(site, nodes, STREAM_TIME));
        let other = scope.spawn(move || other.send(site, nodes, STREAM_TIME));
        (
            urgent.join().expect("an end"),
            other.join().expect("an end"),
        )
    });
    assert_kept(&targets, 6.0, from);
    let part = |sent: &[Sent]| {
        let later = sent.iter().filter(|sent| sent.at >= from);
        let later: Vec<Sent> = later.cloned().collect();
        served(&later) as f64 / later.len() as f64
    };
    assert!(part(&urgent) >= 0.9, "{} of the urgent", part(&urgent));
    assert!(part(&urgent) > part(&other));
    assert_refused_soon(&other, from);
}
