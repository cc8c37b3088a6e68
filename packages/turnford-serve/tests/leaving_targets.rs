//! Leaving targets get no new work; targets whose entries merely lapsed come back.

mod common;

use std::time::Duration;

use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::QUICK;
use turnford_standin::EndpointState;

/// Time within which a change must be in force, as required by the users.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

fn targets(site: &RouteSite, node: usize) -> String {
    let metrics = site.metrics(node);
    let line = metrics
        .lines()
        .find(|line| line.starts_with("turnford_targets "));
    line.unwrap_or("").to_owned()
}

#[test]
fn no_new_work() {
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.target("b2", "booking", QUICK);
    let node = site.node("one");
    first.publish("draining");
    // The change must be in force within this time; from then on the target gets no requests.
    std::thread::sleep(PROPAGATION_LIMIT);
    for number in 0..20 {
        let attempt = format!("a{number}");
        let response = site
            .call(node, ClientRequest::new(&attempt, "/hold/1"))
            .expect("a response");
        assert_eq!(response.status, 200);
        assert_eq!(site.journal.runs_of(&attempt)[0].target, "b2");
    }
}

#[test]
fn removed_at_once() {
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    site.target("b2", "booking", QUICK);
    let node = site.node("one");
    wait_until("both are known", || {
        targets(&site, node) == "turnford_targets 2"
    });
    first.unpublish();
    wait_until("one is left", || {
        targets(&site, node) == "turnford_targets 1"
    });
}

#[test]
fn lapse_and_return() {
    // Entries that lapsed while the store was unreachable keep their targets until they return.
    let mut site = RouteSite::new();
    let target = site.target("b1", "booking", QUICK);
    let node = site.node("one");
    let endpoint = site.nodes[node].endpoint;
    site.store
        .set_endpoint(endpoint, EndpointState::Unavailable);
    std::thread::sleep(Duration::from_millis(5000));
    target.unpublish();
    site.store.set_endpoint(endpoint, EndpointState::Open);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(
        site.call(node, ClientRequest::new("a1", "/hold/1"))
            .expect("a response")
            .status,
        200
    );
    target.publish("ready");
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(
        site.call(node, ClientRequest::new("a2", "/hold/1"))
            .expect("a response")
            .status,
        200
    );
}

#[test]
fn other_instance() {
    // The address now belongs to another process, which refuses the call.
    let mut site = RouteSite::new();
    let first = site.target("b1", "booking", QUICK);
    let spec = serde_json::json!({
        "service": "booking", "address": first.address().to_string(), "zone": "hal-a",
        "slots": 8, "version": "v1", "cold_remaining_ms": 0, "call_sequence": 0, "state": "ready",
    });
    site.store.put("servers", "b0", spec);
    first.unpublish();
    let node = site.node("one");
    let response = site
        .call(node, ClientRequest::new("a1", "/hold/1"))
        .expect("a response");
    assert_eq!(response.status, 503);
    assert_eq!(site.journal.runs(), []);
}
