//! Guards against responses to earlier calls, repeated on kept connections, that count for later ones.

mod common;

use std::sync::Mutex;
use std::time::Duration;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_http::HttpError;
use turnford_standin::LinkCut;
use turnford_standin::RawEnd;
use turnford_standin::RawResponse;
use turnford_standin::RouteTarget;
use turnford_standin::TargetFault;
use turnford_standin::TargetRole;

/// Concurrent clients, more than the targets have slots on their own.
const CLIENTS: usize = 8;

/// Requests of each client.
const REQUESTS: usize = 40;

/// Targets of a site.
const TARGETS: usize = 3;

/// A call short enough that its connection is soon used again.
const SHORT: TargetRole = TargetRole::Plain(Duration::from_millis(2));

/// A request that ended.
#[derive(Debug)]
struct Ended {
    attempt: String,
    status: u16,
    body: String,
}

/// Starts targets that refuse some calls and repeat half of their responses.
fn repeating_targets(site: &RouteSite) -> Vec<RouteTarget> {
    let targets: Vec<RouteTarget> = (0..TARGETS)
        .map(|number| site.target(&format!("b{number}"), "booking", SHORT))
        .collect();
    for target in &targets {
        target.repeat_responses(2);
        let faults = (0..CLIENTS * REQUESTS).map(|number| match number % 4 {
            0 => TargetFault::Reject,
            _ => TargetFault::Slow(Duration::ZERO),
        });
        target.inject_faults(faults);
    }
    targets
}

/// Sends requests to a node from concurrent clients.
fn send_requests(site: &RouteSite, node: usize, paths: &[&str]) -> Vec<Ended> {
    let ended = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let ended = &ended;
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let path = paths[number % paths.len()];
                    let attempt = format!("{client}-{number}-{}", path.trim_matches('/'));
                    let response = site.call(node, ClientRequest::new(&attempt, path));
                    let response = response.expect("a response");
                    ended.lock().expect("no panic").push(Ended {
                        attempt,
                        status: response.status,
                        body: text(&response),
                    });
                }
            });
        }
    });
    ended.into_inner().expect("no panic")
}

/// Returns the requests whose end contradicts what the targets ran.
fn find_wrong(site: &RouteSite, ended: &[Ended]) -> Vec<String> {
    let mut wrong = Vec::new();
    for request in ended {
        let runs = site.journal.requests(&request.attempt).len();
        let is_repeatable = request.attempt.ends_with("pay");
        if runs > 1 && !is_repeatable {
            wrong.push(format!("{runs} runs: {request:?}"));
        }
        if runs > 0 && request.status == 503 {
            wrong.push(format!("refused, but ran: {request:?}"));
        }
        if request.status == 200 && request.body != format!("answer to {}", request.attempt) {
            wrong.push(format!("response to another request: {request:?}"));
        }
    }
    wrong
}

fn assert_none(wrong: &[String]) {
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

fn repeat_count(targets: &[RouteTarget]) -> usize {
    targets.iter().map(RouteTarget::repeat_count).sum()
}

#[test]
fn repeated_refusals() {
    let mut site = RouteSite::new();
    let targets = repeating_targets(&site);
    let node = site.node("one");
    let ended = send_requests(&site, node, &["/hold/", "/book/", "/pay/"]);
    assert_none(&find_wrong(&site, &ended));
    assert!(repeat_count(&targets) > 0);
}

#[test]
fn relayed_refusals() {
    // The node that took the requests reaches the targets only through the second one.
    let mut site = RouteSite::new();
    let targets = repeating_targets(&site);
    let (node, links) = site.node_behind("one", &targets);
    site.node("two");
    site.settle();
    for link in &links {
        link.cut(LinkCut::Reset).expect("a port");
    }
    let ended = send_requests(&site, node, &["/hold/", "/book/", "/pay/"]);
    assert_none(&find_wrong(&site, &ended));
    assert!(repeat_count(&targets) > 0);
    assert!(site.metrics(node).contains("event=\"relayed\""));
}

#[test]
fn served_again() {
    // After its first repeated response, a target gets calls that may not be repeated on new connections.
    let mut site = RouteSite::new();
    let target = site.target("b1", "booking", QUICK);
    let node = site.node("one");
    target.repeat_responses(1);
    let mut lost = 0;
    for number in 0..50 {
        let attempt = format!("{number}-hold");
        let response = site.call(node, ClientRequest::new(&attempt, "/hold/"));
        lost += usize::from(response.expect("a response").status != 200);
    }
    assert_eq!(lost, 1);
    let mismatch = "turnford_service_events_total{service=\"booking\",event=\"other-attempt\"} 1\n";
    assert!(site.metrics(node).contains(mismatch));
}

/// Sends requests that may not be repeated to all nodes in turn. Returns how many were lost.
fn count_lost(site: &RouteSite, row: &str, rounds: usize) -> usize {
    let mut lost = 0;
    for number in 0..rounds * site.nodes.len() {
        let attempt = format!("{row}{number}-hold");
        let call = ClientRequest::new(&attempt, "/hold/");
        let response = site.call(number % site.nodes.len(), call);
        if response.expect("a response").status != 200 {
            lost += 1;
            wait_known(site, lost);
        }
    }
    lost
}

/// Waits until all nodes expect that many targets to repeat responses.
fn wait_known(site: &RouteSite, targets: usize) {
    let line = format!("turnford_repeating_targets {targets}\n");
    wait_until("all nodes know of the targets", || {
        let mut nodes = 0..site.nodes.len();
        nodes.all(|node| site.metrics(node).contains(&line))
    });
}

#[test]
fn lost_once() {
    // One node's observation of a target spares the others theirs.
    let mut site = RouteSite::new();
    let targets: Vec<RouteTarget> = (0..2)
        .map(|number| site.target(&format!("b{number}"), "booking", QUICK))
        .collect();
    for number in 0..6 {
        site.node(&format!("n{number}"));
    }
    site.settle();
    assert_eq!(count_lost(&site, "before-", 4), 0);
    for target in &targets {
        target.repeat_responses(1);
    }
    let lost = count_lost(&site, "", 10);
    assert!(lost <= targets.len(), "{lost} lost");
}

#[test]
fn safe_served() {
    // A request that may run twice is sent again.
    let mut site = RouteSite::new();
    let targets: Vec<RouteTarget> = (0..TARGETS)
        .map(|number| site.target(&format!("b{number}"), "booking", QUICK))
        .collect();
    let node = site.node("one");
    for target in &targets {
        target.repeat_responses(5);
    }
    for number in 0..100 {
        let attempt = format!("{number}-pay");
        let response = site.call(node, ClientRequest::new(&attempt, "/pay/"));
        let response = response.expect("a response");
        assert_eq!(text(&response), format!("answer to {attempt}"));
    }
    assert!(repeat_count(&targets) > 0);
}

#[test]
fn stale_limit() {
    // A repeated response does not announce its target's limit again.
    let mut site = RouteSite::new();
    let target = site.target("b1", "booking", QUICK);
    let node = site.node("one");
    let announced = "turnford_service_events_total{service=\"booking\",event=\"named-limit\"} 1\n";
    target.announce_limit(Some("100"));
    let call = |attempt| site.call(node, ClientRequest::new(attempt, "/hold/"));
    assert_eq!(call("1-hold").expect("a response").status, 200);
    assert!(site.metrics(node).contains(announced));
    target.announce_limit(None);
    target.repeat_responses(1);
    assert_ne!(call("2-hold").expect("a response").status, 200);
    assert_eq!(target.repeat_count(), 1);
    assert!(site.metrics(node).contains(announced));
}

/// Signals that a target must not be believed to send in a response to another call.
const SIGNALS: &str = "x-turnford-not-run: 1\r\nserver-leaving: 1\r\nretry-after: 30\r\n\
    server-limit: 0.01\r\nserver-brittle: 1\r\nx-turnford-server-load: 9,9,1\r\n\
    content-length: 2\r\n";

/// Events that are counted when such signals are believed.
const BELIEVED: [&str; 4] = ["not-run", "said-leaving", "asked-for-rest", "named-limit"];

/// Returns a response to another call with all signals.
fn other_response(status: u16) -> RawResponse {
    RawResponse {
        attempt: Some("ffffffffffffffff"),
        is_signed: true,
        status,
        framing: SIGNALS.to_owned(),
        body: b"{}".to_vec(),
        end: RawEnd::KeepOpen,
    }
}

/// Starts a target of each service.
fn all_targets(site: &RouteSite) -> Vec<RouteTarget> {
    let roles = [
        ("b1", "booking", QUICK),
        ("s1", "sprog", ENGINE),
        ("k1", "kort", STAGE),
        ("e1", "ejer", STAGE),
    ];
    let targets = roles.map(|(id, service, role)| site.target(id, service, role));
    targets.to_vec()
}

/// Sends a request and returns the status of its response.
fn status_of(
    site: &RouteSite,
    node: usize,
    attempt: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<u16, HttpError> {
    let request = ClientRequest {
        headers,
        ..ClientRequest::new(attempt, path)
    };
    site.call(node, request).map(|response| response.status)
}

/// Sends requests whose calls, reports and probes all get responses to other calls, and checks that
/// nothing in these is believed.
fn assert_unbelieved(site: &RouteSite, node: usize, targets: &[RouteTarget]) {
    let paths = [("/hold/", &[][..]), ("/draft/", &[]), ("/chat/", STAGED)];
    for status in [200, 409, 421, 429, 500, 503] {
        for target in targets {
            target.respond_raw(Some(other_response(status)));
            // Open connections get the responses of before.
            target.restart();
        }
        for (path, headers) in paths {
            let short = [headers, &[("x-turnford-deadline-ms", "600")]].concat();
            let end = status_of(site, node, &format!("{status}{path}"), path, &short);
            assert_ne!(end, Ok(200), "{status} {path}");
        }
    }
    for number in 0..site.nodes.len() {
        let metrics = site.metrics(number);
        for event in BELIEVED {
            let line = format!("event=\"{event}\"");
            assert!(!metrics.contains(&line), "{event}: {metrics}");
        }
        assert!(metrics.contains("turnford_limited_targets 0\n"));
    }
    for target in targets {
        target.respond_raw(None);
        target.restart();
    }
    for (path, headers) in paths {
        let mut number = 0;
        wait_until("requests are served again", || {
            number += 1;
            status_of(site, node, &format!("again-{number}{path}"), path, headers) == Ok(200)
        });
    }
}

#[test]
fn foreign_signals() {
    let mut site = RouteSite::new();
    let targets = all_targets(&site);
    let node = site.node("one");
    assert_unbelieved(&site, node, &targets);
}

#[test]
fn relayed_signals() {
    let mut site = RouteSite::new();
    let targets = all_targets(&site);
    let (node, links) = site.node_behind("one", &targets);
    site.node("two");
    site.settle();
    for link in &links {
        link.cut(LinkCut::Reset).expect("a port");
    }
    assert_unbelieved(&site, node, &targets);
}

#[test]
fn repeated_streams() {
    let mut site = RouteSite::new();
    let engine = site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    engine.repeat_responses(2);
    for number in 0..30 {
        let attempt = format!("{number}-draft");
        let response = site.call(node, ClientRequest::new(&attempt, "/draft/"));
        let response = response.expect("a response");
        let runs = site.journal.requests(&attempt).len();
        assert!(runs <= 1, "{attempt} ran {runs} times");
        assert!(runs == 0 || response.status != 503, "{attempt}");
    }
    assert!(engine.repeat_count() > 0);
}
