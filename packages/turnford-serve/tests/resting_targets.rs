//! Targets that refuse a request and ask for backoff.
//!
//! Guards against a node that ignores the requested backoff: it paused the target for 250 ms only,
//! ended the pause at any successful response, and still called the target if no other one was
//! left. A plain target that asked for 3 s of backoff got four more requests from the same node in
//! that time, where two crossing ones are allowed.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_standin::RouteTarget;
use turnford_standin::TargetFault;
use turnford_standin::TargetRole;
use turnford_standin::BACKOFF_GRACE;

/// Upper bound of the time to refuse a request if the node decides by its own state alone.
const IMMEDIATE: Duration = Duration::from_millis(200);

/// Sends a request to a node and returns its status.
fn send(site: &RouteSite, node: usize, attempt: &str, path: &str) -> u16 {
    let response = site.call(node, ClientRequest::new(attempt, path));
    response.expect("a response").status
}

fn backoff_violations(target: &RouteTarget) -> usize {
    let arrivals = target.arrivals().into_iter();
    arrivals.filter(|call| call.violates_backoff).count()
}

/// Sends a request every few milliseconds for the given time and returns the statuses.
fn send_for(site: &RouteSite, duration: Duration, path: &str) -> Vec<u16> {
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    while started_at.elapsed() < duration {
        let attempt = format!("a{}", statuses.len());
        statuses.push(send(site, 0, &attempt, path));
        std::thread::sleep(Duration::from_millis(10));
    }
    statuses
}

#[test]
fn others_serve() {
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.target("b2", "booking", QUICK);
    site.node("one");
    first.request_backoff(Duration::from_secs(3));
    let statuses = send_for(&site, Duration::from_secs(3), "/pay/1");
    assert_eq!(backoff_violations(&first), 0);
    assert!(statuses.iter().all(|status| *status == 200));
    wait_until("it is used again", || {
        send(&site, 0, "later", "/pay/1");
        let last = first.arrivals().last().map(|call| call.attempt.clone());
        last.as_deref() == Some("later")
    });
}

#[test]
fn good_end_beside() {
    // A call in flight ends successfully after the target has asked for backoff, and after the time
    // in which calls may still cross that signal.
    let mut site = RouteSite::new();
    let slow = TargetRole::Plain(BACKOFF_GRACE + Duration::from_millis(400));
    let first = site.target("b1", "booking", slow);
    site.node("one");
    std::thread::scope(|scope| {
        let running = scope.spawn(|| send(&site, 0, "before", "/hold/1"));
        wait_until("it runs", || !site.journal.runs_of("before").is_empty());
        first.request_backoff(Duration::from_millis(2500));
        let request = ClientRequest {
            headers: &[("x-turnford-deadline-ms", "500")],
            ..ClientRequest::new("told", "/hold/1")
        };
        assert_eq!(site.call(0, request).expect("a response").status, 503);
        assert_eq!(running.join().expect("an end"), 200);
    });
    for number in 0..10 {
        let attempt = format!("a{number}");
        let request = ClientRequest {
            headers: &[("x-turnford-deadline-ms", "300")],
            ..ClientRequest::new(&attempt, "/hold/1")
        };
        assert_eq!(site.call(0, request).expect("a response").status, 503);
        std::thread::sleep(Duration::from_millis(120));
    }
    assert_eq!(backoff_violations(&first), 0);
}

#[test]
fn shorter_word() {
    // Two calls in flight are both refused, the second with a shorter backoff. The first backoff
    // holds.
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.node("one");
    first.inject_faults([TargetFault::Backoff("2.5"), TargetFault::Backoff("0.1")]);
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..2 {
            let site = &site;
            scope.spawn(move || send(site, 0, &format!("told-{number}"), "/hold/1"));
        }
    });
    let refused_count = first.arrivals().len();
    assert_eq!(refused_count, 2);
    assert_eq!(send(&site, 0, "after", "/hold/1"), 200);
    assert!(started_at.elapsed() >= Duration::from_millis(2500));
    assert!(first.arrivals().len() > refused_count);
}

#[test]
fn all_rest() {
    // Requests that can wait for the end of the backoff are served after it. The others are refused
    // at once with the time to retry after.
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.node("one");
    first.request_backoff(Duration::from_millis(1500));
    let requested_at = Instant::now();
    // Its route allows one target only.
    assert_eq!(send(&site, 0, "told", "/hold/1"), 503);
    assert_eq!(send(&site, 0, "waits", "/hold/1"), 200);
    assert!(requested_at.elapsed() >= Duration::from_millis(1500));
    assert_eq!(first.arrivals().len(), 2);

    first.request_backoff(Duration::from_secs(3));
    let hasty = |attempt| {
        let request = ClientRequest {
            headers: &[("x-turnford-deadline-ms", "1000")],
            ..ClientRequest::new(attempt, "/hold/1")
        };
        site.call(0, request).expect("a response")
    };
    assert_eq!(hasty("told-again").status, 503);
    let started_at = Instant::now();
    let response = hasty("refused");
    assert_eq!(response.status, 503, "{}", text(&response));
    assert!(
        started_at.elapsed() < IMMEDIATE,
        "{:?}",
        started_at.elapsed()
    );
    let back = response.header("retry-after").expect("a time to come back");
    let back: f64 = back.parse().expect("seconds");
    assert!((2.0..4.5).contains(&back), "{back}");
    assert_eq!(backoff_violations(&first), 0);
}

#[test]
fn by_degrees() {
    // Forty requests wait for the end of a backoff. The target is not sent all of them at once when
    // it ends.
    let mut site = RouteSite::new();
    let slow = TargetRole::Plain(Duration::from_millis(30));
    let first = site.target("b1", "booking", slow);
    site.node("one");
    first.request_backoff(Duration::from_secs(1));
    assert_eq!(send(&site, 0, "told", "/hold/1"), 503);
    std::thread::scope(|scope| {
        for number in 0..40 {
            let site = &site;
            scope.spawn(move || {
                let status = send(site, 0, &format!("w{number}"), "/hold/1");
                assert_eq!(status, 200);
            });
        }
    });
    let arrivals = first.arrivals();
    let later = &arrivals[1..];
    let soon = later[0].at + Duration::from_millis(20);
    let first_round = later.iter().filter(|call| call.at < soon).count();
    assert_eq!(later.len(), 40);
    assert!(first_round <= 2, "{first_round} came in the first round");
    assert_eq!(backoff_violations(&first), 0);
}

#[test]
fn placer_knows() {
    // An engine asks one node for backoff. Whichever node places, that node's requests go to the
    // other engine.
    for node in 0..2 {
        let mut site = RouteSite::new();
        let engines = ["e1", "e2"].map(|id| site.target(id, "sprog", ENGINE));
        site.node("one");
        site.node("two");
        site.settle();
        engines[0].inject_faults([TargetFault::Backoff("3")]);
        let mut number = 0;
        wait_until("the engine asks for backoff", || {
            number += 1;
            send(&site, node, &format!("hear-{number}"), "/draft/1");
            !engines[0].arrivals().is_empty()
        });
        let count_before = engines[0].arrivals().len();
        for number in 0..20 {
            assert_eq!(send(&site, node, &format!("a{number}"), "/draft/1"), 200);
        }
        assert_eq!(engines[0].arrivals().len(), count_before);
    }
}

#[test]
fn pieces_rest() {
    // A target of a stage that has asked for backoff gets no pieces, no report request and no
    // release.
    let mut site = RouteSite::new();
    let stages = ["k1", "k2"].map(|id| site.target(id, "kort", STAGE));
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    site.node("one");
    stages[0].request_backoff(Duration::from_secs(3));
    let started_at = Instant::now();
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(3) {
        let attempt = format!("a{number}");
        let request = ClientRequest {
            headers: STAGED,
            ..ClientRequest::new(&attempt, "/chat/1")
        };
        let response = site.call(0, request).expect("a response");
        assert_eq!(response.status, 200, "{}", text(&response));
        number += 1;
    }
    assert!(!stages[0].arrivals().is_empty());
    assert_eq!(backoff_violations(&stages[0]), 0);
}

#[test]
fn stage_rests() {
    // The only target of a stage asks for backoff. Requests that can wait are served after it; the
    // others are refused before any of their stages runs.
    for nodes in 1..=2 {
        let mut site = RouteSite::new();
        let stage = site.target("k1", "kort", STAGE);
        site.target("e1", "ejer", STAGE);
        site.target("s1", "sprog", ENGINE);
        for name in ["one", "two"].into_iter().take(nodes) {
            site.node(name);
        }
        site.settle();
        let staged = |attempt: &str, timeout: &'static str| {
            let headers = [STAGED, &[("x-turnford-deadline-ms", timeout)]].concat();
            let request = ClientRequest {
                headers: &headers,
                ..ClientRequest::new(attempt, "/chat/1")
            };
            site.call(0, request).expect("a response")
        };
        assert_eq!(staged("before", "8000").status, 200);
        stage.request_backoff(Duration::from_secs(3));
        std::thread::scope(|scope| {
            let patient = scope.spawn(|| staged("patient", "8000").status);
            wait_until("the target asks for backoff", || {
                stage
                    .arrivals()
                    .iter()
                    .any(|call| call.backoff_until.is_some())
            });
            // The update is on its way to the admitting node.
            std::thread::sleep(Duration::from_millis(50));
            let started_at = Instant::now();
            let response = staged("hasty", "1500");
            assert_eq!(response.status, 503, "{}", text(&response));
            assert!(
                started_at.elapsed() < IMMEDIATE,
                "{:?}",
                started_at.elapsed()
            );
            assert_eq!(site.journal.runs_of("hasty"), []);
            assert_eq!(patient.join().expect("an end"), 200);
        });
        assert_eq!(backoff_violations(&stage), 0);
    }
}

#[test]
fn urgent_first() {
    // The more urgent request arrived last and goes first.
    let mut site = RouteSite::new();
    let slow = TargetRole::Plain(Duration::from_millis(100));
    let first = site.target("b1", "booking", slow);
    site.node("one");
    first.request_backoff(Duration::from_millis(1500));
    assert_eq!(send(&site, 0, "told", "/hold/1"), 503);
    std::thread::scope(|scope| {
        for (attempt, key) in [("later", "key-skagen"), ("urgent", "key-fyn")] {
            let site = &site;
            scope.spawn(move || {
                let request = ClientRequest {
                    key: Some(key),
                    ..ClientRequest::new(attempt, "/hold/1")
                };
                assert_eq!(site.call(0, request).expect("a response").status, 200);
            });
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let attempts = first.arrivals().into_iter().map(|call| call.attempt);
    assert_eq!(attempts.collect::<Vec<_>>(), ["told", "urgent", "later"]);
}

#[test]
fn other_node() {
    // A backoff holds between one node and one target: the other node goes on.
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.node("one");
    site.node("two");
    site.settle();
    first.inject_faults([TargetFault::Backoff("5")]);
    assert_eq!(send(&site, 0, "told", "/hold/1"), 503);
    assert_eq!(send(&site, 1, "other", "/hold/1"), 200);
}

#[test]
fn odd_words() {
    // A malformed time is no backoff. The usual pause applies, and the target is soon used again.
    for odd in ["soon", "-3", "Fri, 04 Dec 2026 07:28:00 GMT", "inf"] {
        let mut site = RouteSite::new();
        let first = site.target("b1", "booking", QUICK);
        site.node("one");
        first.inject_faults([TargetFault::Backoff(odd)]);
        send(&site, 0, "told", "/hold/1");
        let started_at = Instant::now();
        wait_until("it is used again", || {
            send(&site, 0, "later", "/hold/1") == 200
        });
        assert!(started_at.elapsed() < Duration::from_secs(1), "{odd}");
    }
}

#[test]
fn started_again() {
    // A very long backoff ends with the process that asked for it.
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.node("one");
    first.inject_faults([TargetFault::Backoff("100000")]);
    assert_eq!(send(&site, 0, "told", "/hold/1"), 503);
    assert_eq!(send(&site, 0, "refused", "/hold/1"), 503);
    first.restart();
    wait_until("it is used again", || {
        send(&site, 0, "later", "/hold/1") == 200
    });
}
