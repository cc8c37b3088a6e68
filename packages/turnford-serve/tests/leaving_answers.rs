//! Targets that say in their answers that they leave.
//!
//! An engine that left said so in each answer while the store gave nobody an answer, and its entry went
//! on saying that it was ready. No node read the word: one that had passed such an answer on at 9.088 s
//! sent the engine requests 3,369 and 6,016 ms later, where 2,000 ms are allowed. Its place is chosen by
//! one node for all, so the node that heard the word was not the one that had to know it.

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

/// Time after a target's word from which it gets no new work, from the users' bounds.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Longest time until a refusal that needs nothing but what the node knows.
const AT_ONCE: Duration = Duration::from_millis(200);

/// Time in which a target that came back under its id is used again.
const USED_AGAIN: Duration = Duration::from_secs(4);

/// Sends a request to a node; returns its status.
fn send(site: &RouteSite, node: usize, attempt: &str, path: &str) -> u16 {
    let answer = site.call(node, ClientRequest::new(attempt, path));
    answer.expect("an answer").status
}

/// Sends requests to a node until the target has answered one of them.
fn hear_word(site: &RouteSite, node: usize, target: &RouteTarget, path: &str) {
    let heard = target.arrivals().len();
    let mut number = 0;
    wait_until("the target answers", || {
        number += 1;
        send(site, node, &format!("hear-{node}-{number}"), path);
        target.arrivals().len() > heard
    });
}

/// Sends so many requests to each node; returns how many of them reached the target.
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

/// A site of two nodes that know each other, and two targets of a service.
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
    hear_word(&site, 0, &first, "/hold/1");
    std::thread::sleep(IN_FORCE);
    assert_eq!(reached(&site, &first, "/hold/1", 20), 0);
}

#[test]
fn placed_elsewhere() {
    // Whichever of the nodes places for the engines, the other one hears the word.
    for node in 0..2 {
        let (site, first) = site_of_two("sprog", &ENGINE);
        silence_store(&site);
        first.announce_leaving(true);
        hear_word(&site, node, &first, "/draft/1");
        std::thread::sleep(IN_FORCE);
        assert_eq!(reached(&site, &first, "/draft/1", 20), 0);
    }
}

#[test]
fn every_answer() {
    // The one answer that tells it is a failure, a refusal, or has a head that makes no sense else.
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
        hear_word(&site, 0, &first, "/hold/1");
        first.announce_leaving(false);
        std::thread::sleep(IN_FORCE);
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
        let ask = ClientRequest {
            headers: STAGED,
            ..ClientRequest::new(attempt, "/chat/1")
        };
        let answer = site.call(node, ask).expect("an answer");
        assert_eq!(answer.status, 200, "{}", text(&answer));
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
    // The answer that tells may be to pieces, to a question or to a release.
    let heard = first.arrivals().len();
    wait_until("the target answers", || {
        number += 1;
        staged(&format!("hear-{number}"), 0);
        first.arrivals().len() > heard
    });
    std::thread::sleep(IN_FORCE);
    let before = runs(&first);
    for number in 0..10 {
        staged(&format!("after-{number}"), number % 2);
    }
    assert_eq!(runs(&first) - before, 0);
}

#[test]
fn entry_still_ready() {
    // Its entry is written anew and says that it is ready; its own word is the newer one.
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    hear_word(&site, 0, &first, "/hold/1");
    first.republish_changed();
    std::thread::sleep(IN_FORCE);
    first.republish_changed();
    assert_eq!(reached(&site, &first, "/hold/1", 20), 0);
}

/// Has a target leave, come back in some way, and be used again.
fn comes_back(come_back: impl FnOnce(&RouteTarget)) {
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    hear_word(&site, 0, &first, "/hold/1");
    std::thread::sleep(IN_FORCE);
    assert_eq!(reached(&site, &first, "/hold/1", 10), 0);
    first.announce_leaving(false);
    come_back(&first);
    let begun = Instant::now();
    hear_word(&site, 0, &first, "/hold/1");
    assert!(begun.elapsed() < USED_AGAIN, "{:?}", begun.elapsed());
}

#[test]
fn born_again() {
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
fn stays_after_all() {
    // Its process goes on, its entry says that it is ready, and it no longer says that it leaves.
    let (site, first) = site_of_two("booking", &QUICK);
    first.announce_leaving(true);
    hear_word(&site, 0, &first, "/hold/1");
    first.announce_leaving(false);
    let before = first.arrivals().len();
    wait_until("it is used again", || {
        std::thread::sleep(Duration::from_millis(100));
        send(&site, 0, "later", "/hold/1");
        let arrivals = first.arrivals().into_iter().skip(before);
        arrivals.filter(|call| call.attempt == "later").count() > 0
    });
    // It was asked before it got work.
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
    hear_word(&site, 0, &engine, "/draft/1");
    hear_word(&site, 0, &plain, "/pay/1");
    std::thread::sleep(IN_FORCE);
    for (attempt, path) in [("a1", "/pay/1"), ("a2", "/draft/1"), ("a3", "/chat/1")] {
        let begun = Instant::now();
        let ask = ClientRequest {
            headers: STAGED,
            ..ClientRequest::new(attempt, path)
        };
        let answer = site.call(0, ask).expect("an answer");
        assert_eq!(answer.status, 503, "{}", text(&answer));
        assert!(begun.elapsed() < AT_ONCE, "{path}: {:?}", begun.elapsed());
        assert_eq!(
            site.journal.runs_of(attempt),
            [],
            "its stages began in vain"
        );
    }
}
