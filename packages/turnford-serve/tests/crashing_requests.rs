//! Requests that crash the targets which run them.
//!
//!
//! Guards against a request that crashes one engine after another. Its client retried it under new
//! ids on any node, and each node counted only the attempts of one arrival, so that every arrival
//! crashed the next healthy engine: 40 engines ended in all, 23 of them after three crashes had
//! been seen, and up to 27 streams of other clients broke with one engine. 64 of 68 crashes came
//! 100 to 300 ms after a request of one account on one route, which all eight nodes had sent.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_standin::EndpointState;
use turnford_standin::RouteTarget;
use turnford_standin::TargetRole;

/// Body of the request that crashes targets.
const CRASHING: &str = "a brief that no engine survives";

/// Maximum number of runs of that request: three crashes are needed for the verdict, and three more
/// may follow.
const MAX_RUNS: usize = 6;

/// Attempts of clients that keep retrying.
const ARRIVALS: usize = 30;

/// Engines of a site; more than the request may crash.
const ENGINES: usize = 10;

/// An engine whose streams last long enough to be cut by a crash during them.
const LASTING: TargetRole = TargetRole::Engine {
    first_event: Duration::from_millis(10),
    event_gap: Duration::from_millis(20),
    events: 20,
};

/// Starts targets of a service that crash when they run the request.
fn fragile_targets(site: &RouteSite, service: &str, role: &TargetRole) -> Vec<RouteTarget> {
    let start = |number| {
        let id = format!("{service}-{number}");
        let target = site.target(&id, service, role.clone());
        target.crash_on(CRASHING);
        target
    };
    let targets = (0..ENGINES).map(start).collect();
    // The site has one target of a plain service in addition.
    wait_targets(site, ENGINES + 1);
    targets
}

/// Waits until all nodes know `count` targets.
fn wait_targets(site: &RouteSite, count: usize) {
    let line = format!("turnford_targets {count}\n");
    for node in 0..site.nodes.len() {
        wait_until("the nodes know the targets", || {
            site.metrics(node).contains(&line)
        });
    }
}

/// Sends the crashing request [`ARRIVALS`] times, to each node in turn. Returns how often it
/// reached targets.
fn send_crashing(site: &RouteSite, path: &str) -> usize {
    for number in 0..ARRIVALS {
        let attempt = format!("bad-{number}");
        let request = ClientRequest {
            body: CRASHING,
            ..ClientRequest::new(&attempt, path)
        };
        // The outcome does not matter, since the request can't be served.
        let _ = site.call(number % site.nodes.len(), request);
        std::thread::sleep(Duration::from_millis(20));
    }
    reached(site)
}

fn reached(site: &RouteSite) -> usize {
    let runs = site.journal.runs().into_iter();
    runs.filter(|run| run.attempt.starts_with("bad-")).count()
}

fn start_site() -> RouteSite {
    let mut site = RouteSite::new();
    site.target("warm", "booking", QUICK);
    for name in ["one", "two", "three"] {
        site.node(name);
    }
    site.settle();
    site
}

#[test]
fn few_engines() {
    let site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    let reached = send_crashing(&site, "/draft/1");
    assert!(reached <= MAX_RUNS, "it reached {reached} engines");
}

#[test]
fn before_head() {
    // Guards against a request that crashes each engine before the head of a response, and so left no
    // record.
    let site = start_site();
    for engine in fragile_targets(&site, "sprog", &LASTING) {
        engine.crash_before_head();
    }
    let reached = send_crashing(&site, "/draft/1");
    assert!(reached <= MAX_RUNS, "it reached {reached} engines");
}

#[test]
fn few_services() {
    // A target of a plain service gives no sign of a run before its response.
    let site = start_site();
    fragile_targets(&site, "booking", &QUICK);
    let reached = send_crashing(&site, "/pay/1");
    assert!(reached <= MAX_RUNS, "it reached {reached} targets");
}

#[test]
fn concurrent_copies() {
    // Copies arrive at all nodes at the same time, before any node has seen a crash.
    let site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for node in 0..site.nodes.len() {
            for copy in 0..ARRIVALS / 3 {
                let site = &site;
                scope.spawn(move || {
                    let attempt = format!("bad-{node}-{copy}");
                    let request = ClientRequest {
                        body: CRASHING,
                        ..ClientRequest::new(&attempt, "/draft/1")
                    };
                    let _ = site.call(node, request);
                });
            }
        }
    });
    let earlier = reached(&site);
    let took = started_at.elapsed();
    // The engines have restarted, and their backoffs have ended.
    std::thread::sleep(Duration::from_secs(3));
    let later = send_crashing(&site, "/draft/1") - earlier;
    assert!(later <= 3, "{later} more after {earlier} in {took:?}");
}

#[test]
fn others_served() {
    // Requests that ran on the same engines, and other requests of the account, are still served.
    let site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    let send = |attempt: &str, body: &str| {
        let request = ClientRequest {
            body,
            ..ClientRequest::new(attempt, "/draft/1")
        };
        site.call(attempt.len() % 3, request)
    };
    std::thread::scope(|scope| {
        for neighbour in 0..20 {
            scope.spawn(move || {
                let attempt = format!("good-{neighbour}");
                let _ = send(&attempt, &attempt);
            });
        }
        let site = &site;
        scope.spawn(move || send_crashing(site, "/draft/1"));
    });
    std::thread::sleep(Duration::from_millis(1500));
    for neighbour in 0..20 {
        let attempt = format!("again-{neighbour}");
        let response = send(&attempt, &format!("good-{neighbour}")).expect("a response");
        assert_eq!(response.status, 200, "{}", text(&response));
    }
}

#[test]
fn popular_served() {
    // Many clients send the same request while engines lose power three times. That is no reason to
    // refuse it, since it ends cleanly on every engine that stays up.
    let site = start_site();
    let engines = fragile_targets(&site, "sprog", &LASTING);
    let clients = 12;
    let send = |client: usize, number: usize| {
        let attempt = format!("same-{client}-{number}");
        let request = ClientRequest {
            body: "what all ask",
            ..ClientRequest::new(&attempt, "/draft/1")
        };
        let response = site.call(client % 3, request);
        response.is_ok_and(|response| response.status == 200 && !response.body.is_empty())
    };
    let failed: usize = std::thread::scope(|scope| {
        let tasks: Vec<_> = (0..clients)
            .map(|client| {
                scope.spawn(move || (0..8).filter(|number| !send(client, *number)).count())
            })
            .collect();
        for hall in engines.chunks(3).take(3) {
            std::thread::sleep(Duration::from_millis(700));
            hall.iter().for_each(RouteTarget::crash);
        }
        tasks
            .into_iter()
            .map(|task| task.join().expect("a client"))
            .sum()
    });

    assert!(failed <= 30, "{failed} of 96 were not served");
    std::thread::sleep(Duration::from_millis(800));
    for client in 0..clients {
        assert!(send(client, 100), "refused after the engines were back");
    }
}

#[test]
fn refused_at_once() {
    let site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    send_crashing(&site, "/draft/1");
    for node in 0..site.nodes.len() {
        let started_at = Instant::now();
        let attempt = format!("bad-last-{node}");
        let request = ClientRequest {
            body: CRASHING,
            ..ClientRequest::new(&attempt, "/draft/1")
        };
        let response = site.call(node, request).expect("a response");
        assert_eq!(response.status, 503);
        assert!(
            text(&response).contains("crashes-targets"),
            "{}",
            text(&response)
        );
        assert!(response.header("retry-after").is_some());
        assert!(started_at.elapsed() < Duration::from_millis(300));
        assert!(site.journal.requests(&attempt).is_empty());
    }
}

/// Sends the crashing request to a node. Returns whether the node refused it as crashing targets.
fn is_refused(site: &RouteSite, node: usize, attempt: &str) -> bool {
    let request = ClientRequest {
        body: CRASHING,
        ..ClientRequest::new(attempt, "/draft/1")
    };
    let response = site.call(node, request);
    response.is_ok_and(|response| text(&response).contains("crashes-targets"))
}

#[test]
fn node_lost() {
    // The node that saw the crashes is gone, and so is the store; the other nodes still know.
    let mut site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    wait_until("the node refuses it", || is_refused(&site, 0, "bad-first"));
    for number in 0..site.nodes.len() {
        site.store
            .set_endpoint(site.nodes[number].endpoint, EndpointState::Unavailable);
    }
    let first = site.nodes[0].node.take();
    first.expect("a node").stop();
    for node in 1..site.nodes.len() {
        assert!(is_refused(&site, node, "bad-later"), "node {node}");
    }
}

#[test]
fn node_started() {
    // A starting node asks the others before it reports itself ready.
    let mut site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    wait_until("the node refuses it", || is_refused(&site, 0, "bad-first"));
    let started = site.node("four");
    assert!(is_refused(&site, started, "bad-later"));
    assert!(site.metrics(started).contains("turnford_suspect_requests"));
}

#[test]
fn all_restarted() {
    // All nodes end together, and the nodes that start have lost their knowledge. Copies that
    // arrive at all nodes at once must not start over: three more crashes are allowed after the
    // first three.
    let mut site = start_site();
    fragile_targets(&site, "sprog", &LASTING);
    wait_until("the node refuses it", || is_refused(&site, 0, "bad-first"));
    // A crash is written to the store after a delay that tells it from a loss of power; nodes that
    // end earlier write nothing.
    wait_until("it is kept", || {
        !site.store.names("turnford-suspects").is_empty()
    });
    let before = reached(&site);
    for node in &mut site.nodes {
        node.node.take().expect("a node").stop();
    }
    site.nodes.clear();
    for name in ["one", "two", "three"] {
        site.node(name);
    }
    site.settle();
    wait_targets(&site, ENGINES + 1);
    std::thread::scope(|scope| {
        for copy in 0..ARRIVALS {
            let site = &site;
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(20) * (copy / 3) as u32);
                is_refused(site, copy % 3, &format!("bad-again-{copy}"));
            });
        }
    });
    let later = reached(&site) - before;
    assert!(later <= 3, "{later} more after {before}");
}

#[test]
fn few_stages() {
    // The pieces of the request crash the targets of a stage, whose calls hold pieces of other
    // requests, too.
    let site = start_site();
    let targets = fragile_targets(&site, "kort", &STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", LASTING);
    wait_targets(&site, ENGINES + 3);
    let piece_headers: Vec<(&str, &str)> = STAGED
        .iter()
        .map(|(name, value)| match *name {
            "x-turnford-piece-key" => (*name, CRASHING),
            _ => (*name, *value),
        })
        .collect();
    for number in 0..ARRIVALS {
        let attempt = format!("bad-{number}");
        let request = ClientRequest {
            body: CRASHING,
            headers: &piece_headers,
            ..ClientRequest::new(&attempt, "/chat/")
        };
        // The outcome does not matter, since the request can't be served.
        let _ = site.call(number % site.nodes.len(), request);
    }
    let crashes: u64 = targets.iter().map(RouteTarget::crash_count).sum();
    assert!(crashes <= MAX_RUNS as u64, "{crashes} targets crashed");
    let request = ClientRequest {
        headers: STAGED,
        body: "another",
        ..ClientRequest::new("good", "/chat/")
    };
    let response = site.call(0, request).expect("a response");
    assert_eq!(response.status, 200, "{}", text(&response));
}
