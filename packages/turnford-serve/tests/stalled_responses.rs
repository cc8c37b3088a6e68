//! Guards against requests without a response at their route's timeout because a target's response stalls.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::CLIENT_TIMEOUT;
use common::ENGINE;
use common::QUICK;
use common::SHORT_TIMEOUT;
use common::STAGE;
use common::STAGED;
use turnford_standin::LinkCut;
use turnford_standin::RawEnd;
use turnford_standin::RawResponse;
use turnford_standin::RouteTarget;
use turnford_standin::StallPoint;
use turnford_standin::TargetFault;
use turnford_standin::TargetRole;

/// Time after a route's timeout within which a request must have ended.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

const POINTS: [StallPoint; 3] = [StallPoint::Start, StallPoint::Head, StallPoint::Body];

/// A node before two targets of each service, all of which stall.
struct StallSite {
    site: RouteSite,
    node: usize,
    targets: Vec<RouteTarget>,
}

impl StallSite {
    fn targets(site: &RouteSite) -> Vec<RouteTarget> {
        let targets = [("b", "booking", QUICK), ("s", "sprog", ENGINE)];
        let targets = targets.iter().flat_map(|(id, service, role)| {
            (1..3).map(move |number| site.target(&format!("{id}{number}"), service, role.clone()))
        });
        targets.collect()
    }

    fn direct() -> Self {
        let mut site = RouteSite::new();
        let targets = Self::targets(&site);
        let node = site.node("one");
        Self {
            site,
            node,
            targets,
        }
    }

    /// Creates a site whose first node reaches the targets only through the second one.
    fn relayed() -> Self {
        let mut site = RouteSite::new();
        let targets = Self::targets(&site);
        let (node, links) = site.node_behind("one", &targets);
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
        Self {
            site,
            node,
            targets,
        }
    }

    fn stall(&self, every: usize, point: StallPoint) {
        for target in &self.targets {
            target.stall_responses(every, point);
        }
    }

    /// Sends a request to each route whose timeout is short, and checks its end.
    fn check_routes(&self, row: &str) {
        for path in ["/hold-soon/", "/pay-soon/", "/draft-soon/"] {
            let attempt = format!("{row}{}", path.trim_matches('/'));
            let started_at = Instant::now();
            let response = self
                .site
                .call(self.node, ClientRequest::new(&attempt, path));
            let elapsed = started_at.elapsed();
            let limit = SHORT_TIMEOUT + TIMEOUT_MARGIN;
            assert!(elapsed < limit, "{attempt}: no end for {elapsed:?}");
            // A stream that has begun ends without its last chunk.
            let Ok(response) = response else {
                assert!(path.starts_with("/draft"), "{attempt}: {response:?}");
                continue;
            };
            let runs = self.site.journal.requests(&attempt).len();
            assert!(runs <= 1 || path.starts_with("/pay"), "{attempt}: {runs}");
            // Before a stream, the status report of its target may stall.
            let is_refused = response.status == 503 && runs == 0;
            assert!(
                is_refused || response.status == 504,
                "{attempt}: {}",
                text(&response)
            );
        }
        self.check_idle();
    }

    /// Checks that no call and no request is left.
    fn check_idle(&self) {
        for number in 0..self.site.nodes.len() {
            wait_until("all requests have ended", || {
                self.site.metrics(number).contains("turnford_running 0\n")
            });
        }
    }
}

#[test]
fn direct_calls() {
    let site = StallSite::direct();
    for point in POINTS {
        site.stall(1, point);
        site.check_routes(&format!("{point:?}-"));
    }
}

#[test]
fn relayed_calls() {
    let site = StallSite::relayed();
    for point in POINTS {
        site.stall(1, point);
        site.check_routes(&format!("{point:?}-"));
    }
    assert!(site.site.metrics(site.node).contains("event=\"relayed\""));
}

#[test]
fn failure_bodies() {
    // The body of a failure stalls, on the routes of streams as well.
    let site = StallSite::direct();
    for target in &site.targets {
        target.respond_raw(Some(RawResponse {
            attempt: None,
            is_signed: true,
            status: 500,
            framing: "content-length: 20\r\n".to_owned(),
            body: b"half".to_vec(),
            end: RawEnd::KeepOpen,
        }));
    }
    site.check_routes("failure-");
}

#[test]
fn safe_served() {
    // A request that may run twice goes to another target while there is time.
    for point in POINTS {
        let site = StallSite::direct();
        site.targets[0].stall_responses(1, point);
        for number in 0..6 {
            let attempt = format!("{number}-{point:?}");
            let call = ClientRequest::new(&attempt, "/pay-soon/");
            let response = site.site.call(site.node, call).expect("a response");
            assert_eq!(text(&response), format!("answer to {attempt}"));
        }
        assert!(site.targets[0].stall_count() > 0, "{point:?}");
        site.check_idle();
    }
}

#[test]
fn silent_twelfth() {
    // One response in twelve stalls at all targets: requests that may run twice are served all the same.
    const REQUESTS: usize = 240;
    let mut site = RouteSite::new();
    let targets: Vec<RouteTarget> = (0..8)
        .map(|number| site.target(&format!("b{number}"), "booking", QUICK))
        .collect();
    let node = site.node("one");
    for target in &targets {
        target.stall_responses(12, StallPoint::Body);
    }
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for client in 0..8 {
            let (site, served) = (&site, &served);
            scope.spawn(move || {
                for number in 0..REQUESTS / 8 {
                    let attempt = format!("{client}-{number}");
                    let response = site.call(node, ClientRequest::new(&attempt, "/pay-soon/"));
                    let is_served = response.expect("a response").status == 200;
                    served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                }
            });
        }
    });
    let stalls: usize = targets.iter().map(RouteTarget::stall_count).sum();
    assert!(stalls > REQUESTS / 24, "{stalls}");
    let served = served.into_inner();
    assert!(served as f64 >= 0.97 * REQUESTS as f64, "{served} served");
    let runs = site.journal.runs().len();
    // The allowance of `common::settings`: a ratio of 0.2 and a slack of 40.
    assert!(runs <= REQUESTS + REQUESTS / 5 + 40, "{runs} runs");
    wait_until("all requests have ended", || {
        site.metrics(node).contains("turnford_running 0\n")
    });
}

/// Ends of calls to targets of which one response in twelve stalls.
#[derive(Debug, Default)]
struct StallCosts {
    served: AtomicUsize,
    /// Calls that ended more than a second after they were sent, far above the time of those that are served.
    waited: AtomicUsize,
    late: AtomicUsize,
}

/// Sends requests to a route from concurrent clients while one response in twelve stalls. Returns what
/// became of them, and the number of stalled responses.
fn count_stalled(
    path: &str,
    headers: &[(&str, &str)],
    point: StallPoint,
    requests: usize,
) -> (StallCosts, usize) {
    let mut site = RouteSite::new();
    let services = [
        ("booking", QUICK),
        ("sprog", ENGINE),
        ("kort", STAGE),
        ("ejer", STAGE),
    ];
    let mut stalled = Vec::new();
    for (service, role) in services {
        for number in 0..8 {
            let target = site.target(&format!("{service}{number}"), service, role.clone());
            if matches!(service, "booking" | "sprog") {
                stalled.push(target);
            }
        }
    }
    let node = site.node("one");
    for target in &stalled {
        target.stall_responses(12, point);
    }
    let costs = StallCosts::default();
    std::thread::scope(|scope| {
        for client in 0..8 {
            let (site, costs) = (&site, &costs);
            scope.spawn(move || {
                for number in 0..requests / 8 {
                    let attempt = format!("{client}-{number}");
                    let started_at = Instant::now();
                    let request = ClientRequest {
                        headers,
                        ..ClientRequest::new(&attempt, path)
                    };
                    let status = site
                        .call(node, request)
                        .map_or(0, |response| response.status);
                    let elapsed = started_at.elapsed();
                    let is_late = elapsed > SHORT_TIMEOUT + TIMEOUT_MARGIN;
                    let is_waited = elapsed > Duration::from_secs(1);
                    costs
                        .served
                        .fetch_add(usize::from(status == 200), Ordering::SeqCst);
                    costs
                        .waited
                        .fetch_add(usize::from(is_waited), Ordering::SeqCst);
                    costs.late.fetch_add(usize::from(is_late), Ordering::SeqCst);
                }
            });
        }
    });
    let stalls = stalled.iter().map(RouteTarget::stall_count).sum();
    (costs, stalls)
}

/// Checks that a response that stalls costs its own request, and no other one.
fn check_silent(path: &str, headers: &[(&str, &str)]) {
    const REQUESTS: usize = 120;
    for point in POINTS {
        let (costs, stalls) = count_stalled(path, headers, point, REQUESTS);
        let row = format!("{path} {point:?}: {costs:?} of {REQUESTS}, {stalls} stalled");
        println!("{row}");
        assert!(stalls > 0, "{row}");
        assert_eq!(costs.late.into_inner(), 0, "{row}");
        assert!(costs.served.into_inner() + stalls >= REQUESTS, "{row}");
    }
}

#[test]
fn silent_unsafe() {
    check_silent("/hold-soon/", &[]);
}

#[test]
fn silent_streams() {
    check_silent("/draft-soon/", &[]);
}

#[test]
fn silent_resumable() {
    let headers = [STAGED, &[("x-turnford-deadline-ms", "1500")]].concat();
    check_silent("/chat/", &headers);
}

#[test]
fn lone_target() {
    // A slow response is waited for where no other target is left.
    let mut site = RouteSite::new();
    let slow = TargetRole::Plain(Duration::from_millis(1200));
    site.target("b1", "booking", slow);
    let node = site.node("one");
    let response = site.call(node, ClientRequest::new("a1", "/pay-soon/"));
    assert_eq!(text(&response.expect("a response")), "answer to a1");
}

#[test]
fn unsafe_waits() {
    // The silence of a target does not end a call that may not be repeated before its timeout.
    let mut site = RouteSite::new();
    for id in ["b1", "b2"] {
        let target = site.target(id, "booking", QUICK);
        target.inject_faults([TargetFault::Slow(Duration::from_millis(1200))]);
    }
    let node = site.node("one");
    let response = site.call(node, ClientRequest::new("a1", "/hold-soon/"));
    assert_eq!(text(&response.expect("a response")), "answer to a1");
}

#[test]
fn unread_stream() {
    // A client that reads nothing does not hold a target longer than its timeout.
    let mut site = RouteSite::new();
    let engine = site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    engine.respond_raw(Some(RawResponse {
        attempt: None,
        is_signed: true,
        status: 200,
        framing: "transfer-encoding: chunked\r\n".to_owned(),
        body: [&b"800000\r\n"[..], &[b':'; 0x80_0000][..]].concat(),
        end: RawEnd::KeepOpen,
    }));
    let mut client = TcpStream::connect(site.nodes[node].settings.listen).expect("a connection");
    let head = format!(
        "POST /draft-soon/ HTTP/1.1\r\nhost: site.example\r\nx-turnford-attempt-id: a1\r\n\
         x-turnford-deadline-ms: {}\r\nauthorization: Bearer key-skagen\r\ncontent-length: 0\r\n\r\n",
        CLIENT_TIMEOUT.as_millis()
    );
    client.write_all(head.as_bytes()).expect("sent");
    let started_at = Instant::now();
    wait_until("the request is running", || {
        site.metrics(node).contains("turnford_running 1\n")
    });
    wait_until("the request has ended", || {
        site.metrics(node).contains("turnford_running 0\n")
    });
    let elapsed = started_at.elapsed();
    assert!(elapsed < SHORT_TIMEOUT + TIMEOUT_MARGIN, "{elapsed:?}");
}
