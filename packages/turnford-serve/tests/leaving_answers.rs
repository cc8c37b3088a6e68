//! Targets that announce in their responses that they leave.
//!
//!
//! Guards against nodes that ignore the announcement while the store does not respond and the
//! target's entry still says that it is ready. A node that had forwarded such a response sent the
//! engine further requests 3,369 and 6,016 ms later, where 2,000 ms are allowed. One node places
//! the requests of all, so the announcement has to reach it from the node that received the
//! response.

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
use turnford_standin::EndpointState;
use turnford_standin::RouteTarget;
use turnford_standin::TargetFault;

/// Time after a target's announcement from which it gets no new work, as required by the users.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Maximum time for a refusal that depends on this node's knowledge alone.
const REFUSAL_LIMIT: Duration = Duration::from_millis(200);

/// Time within which a target that came back under its id is used again.
const REUSE_LIMIT: Duration = Duration::from_secs(4);

/// Sends a request to a node and returns its status.
fn send(site: &RouteSite, node: usize, attempt: &str, path: &str) -> u16 {
    let response = site.call(node, ClientRequest::new(attempt, path));
    response.expect("a response").status
}

/// Sends requests to a node until the target has responded to one of them.
fn receive_announcement(site: &RouteSite, node: usize, target: &RouteTarget, path: &str) {
    let before = target.arrivals().len();
    let mut number = 0;
    wait_until("the target answers", || {
        number += 1;
        send(site, node, &format!("hear-{node}-{number}"), path);
        target.arrivals().len() > before
    });
}

/// Sends `count` requests to each node. Returns how many of them reached the target.
fn reached(site: &RouteSite, target: &RouteTarget, path: &str, count: usize) -> usize {
    let before = target.arrivals().len();
    for node in 0..site.nodes.len() {
        for number in 0..count {
            let status = send(site, node, &format!("after-{node}-{number}"), path);
            assert_eq!(status, 200);
        }
    }
    target.arrivals().len() - before
}

fn silence_store(site: &RouteSite) {
    for node in &site.nodes {
        site.store
            .set_endpoint(node.endpoint, EndpointState::Unresponsive);
    }
}

/// Returns a site of two nodes that know each other and two targets of a service, with the first of
/// these targets.
fn site_of_two(service: &str, role: &turnford_standin::TargetRole) -> (RouteSite, RouteTarget) {
    let mut site = RouteSite::new();
    let first = site.target("t1", service, role.clone());
    site.target("t2", service, role.clone());
    site.node("one");
    site.node("two");
    site.settle();
    (site, first)
}

#[test]
fn silent_store() {
    let (site, first) = site_of_two("booking", &QUICK);
    silence_store(&site);
    first.announce_leaving(true);
    receive_announcement(&site, 0, &first, "/hold/1");
    std::thread::sleep(PROPAGATION_LIMIT);
    assert_eq!(reached(&site, &first, "/hold/1", 20), 0);
}

#[test]
fn placed_elsewhere() {
    // Whichever node places the requests for the engines, the other one receives the announcement.
    for node in 0..2 {
        let (site, first) = site_of_two("sprog", &ENGINE);
        silence_store(&site);
        first.announce_leaving(true);
        receive_announcement(&site, node, &first, "/draft/1");
        std::thread::sleep(PROPAGATION_LIMIT);
        assert_eq!(reached(&site, &first, "/draft/1", 20), 0);
    }
}

#[test]
fn every_response() {
    // The only response with the announcement is a failure, a refusal, or has an otherwise
    // malformed header.
    for fault in [
        TargetFault::Fail,
        TargetFault::Reject,
        TargetFault::InvalidLoad,
    ] {
        let mut site = RouteSite::new();
        let first = site.target("t1", "booking", QUICK);
        site.target("t2", "booking", QUICK);
        site.node("one");
        silence_store(&site);
        first.announce_leaving(true);
        first.inject_faults([fault.clone()]);
        receive_announcement(&site, 0, &first, "/hold/1");
        first.announce_leaving(false);
        std::thread::sleep(PROPAGATION_LIMIT);
        assert_eq!(reached(&site, &first, "/hold/1", 20), 0, "{fault:?}");
    }
}

#[test]
fn pieces_elsewhere() {
    let mut site = RouteSite::new();
    let first = site.target("k1", "kort", STAGE);
    site.target("k2", "kort", STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    site.node("one");
    site.node("two");
    site.settle();
    silence_store(&site);
    let staged = |attempt: &str, node| {
        let request = ClientRequest {
            headers: STAGED,
            ..ClientRequest::new(attempt, "/chat/1")
        };
        let response = site.call(node, request).expect("a response");
        assert_eq!(response.status, 200, "{}", text(&response));
    };
    let runs = |target: &RouteTarget| {
        let arrivals = target.arrivals().into_iter();
        arrivals.filter(|call| call.path.ends_with("run")).count()
    };
    let mut number = 0;
    wait_until("the target makes pieces", || {
        number += 1;
        staged(&format!("before-{number}"), 0);
        runs(&first) > 0
    });
    first.announce_leaving(true);
    // The announcing response may be to pieces, to a probe or to a release.
    let before = first.arrivals().len();
    wait_until("the target answers", || {
        number += 1;
        staged(&format!("hear-{number}"), 0);
        first.arrivals().len() > before
    });
    std::thread::sleep(PROPAGATION_LIMIT);
    let before = runs(&first);
    for number in 0..10 {
        staged(&format!("after-{number}"), number % 2);
    }
    assert_eq!(runs(&first) - before, 0);
}

#[test]
fn entry_still_ready() {
    // Its entry is rewritten and says that it is ready; the announcement is newer.
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    receive_announcement(&site, 0, &first, "/hold/1");
    first.republish_changed();
    std::thread::sleep(PROPAGATION_LIMIT);
    first.republish_changed();
    assert_eq!(reached(&site, &first, "/hold/1", 20), 0);
}

/// Has a target leave, come back by `come_back`, and be used again.
fn comes_back(come_back: impl FnOnce(&RouteTarget)) {
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    receive_announcement(&site, 0, &first, "/hold/1");
    std::thread::sleep(PROPAGATION_LIMIT);
    assert_eq!(reached(&site, &first, "/hold/1", 10), 0);
    first.announce_leaving(false);
    come_back(&first);
    let started_at = Instant::now();
    receive_announcement(&site, 0, &first, "/hold/1");
    assert!(
        started_at.elapsed() < REUSE_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn restarted() {
    comes_back(|target| target.restart());
}

#[test]
fn listed_again() {
    comes_back(|target| {
        target.unpublish();
        std::thread::sleep(Duration::from_millis(500));
        target.publish("ready");
    });
}

#[test]
fn stays_active() {
    // Its process continues, its entry says that it is ready, and it no longer announces that it
    // leaves.
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    receive_announcement(&site, 0, &first, "/hold/1");
    first.announce_leaving(false);
    let before = first.arrivals().len();
    wait_until("it is used again", || {
        std::thread::sleep(Duration::from_millis(100));
        send(&site, 0, "later", "/hold/1");
        let arrivals = first.arrivals().into_iter().skip(before);
        arrivals.filter(|call| call.attempt == "later").count() > 0
    });
    // It was probed before it got work.
    let arrivals = first.arrivals();
    assert_eq!(arrivals[before].path, "/health");
}

#[test]
fn all_leave() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", STAGE);
    site.target("e1", "ejer", STAGE);
    let engine = site.target("s1", "sprog", ENGINE);
    let plain = site.target("b1", "booking", QUICK);
    site.node("one");
    silence_store(&site);
    for target in [&engine, &plain] {
        target.announce_leaving(true);
    }
    receive_announcement(&site, 0, &engine, "/draft/1");
    receive_announcement(&site, 0, &plain, "/pay/1");
    std::thread::sleep(PROPAGATION_LIMIT);
    for (attempt, path) in [("a1", "/pay/1"), ("a2", "/draft/1"), ("a3", "/chat/1")] {
        let started_at = Instant::now();
        let request = ClientRequest {
            headers: STAGED,
            ..ClientRequest::new(attempt, path)
        };
        let response = site.call(0, request).expect("a response");
        assert_eq!(response.status, 503, "{}", text(&response));
        assert!(
            started_at.elapsed() < REFUSAL_LIMIT,
            "{path}: {:?}",
            started_at.elapsed()
        );
        assert_eq!(site.journal.runs_of(attempt), [], "its stages ran in vain");
    }
}
