//! Changes of the configuration come into force soon, from the store or from a peer, and are never
//! rolled back.

mod common;

use common::config;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::QUICK;
use turnford_standin::EndpointState;

fn version(site: &RouteSite, node: usize, version: u64) -> bool {
    let line = format!("turnford_config_version {version}\n");
    site.metrics(node).contains(&line)
}

#[test]
fn key_revoked() {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    assert_eq!(
        site.call(node, ClientRequest::new("a1", "/hold/1"))
            .expect("a response")
            .status,
        200
    );
    let mut next = config(5);
    next["tenants"][0]["api_keys"] = serde_json::json!([]);
    site.store.put("config", "main", next);
    wait_until("version 5 is in force", || version(&site, node, 5));
    assert_eq!(
        site.call(node, ClientRequest::new("a2", "/hold/1"))
            .expect("a response")
            .status,
        401
    );
}

#[test]
fn never_rolled_back() {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    site.store.put("config", "main", config(7));
    wait_until("version 7 is in force", || version(&site, node, 7));
    site.store.put("config", "main", config(6));
    site.store.put("config", "main", config(8));
    wait_until("version 8 is in force", || version(&site, node, 8));
    site.store.put("config", "main", config(3));
    site.store
        .put("servers", "odd", serde_json::json!({ "state": "unknown" }));
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert!(version(&site, node, 8));
}

#[test]
fn unreadable_refused() {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    site.store.put(
        "config",
        "main",
        serde_json::json!({ "version": 9, "routes": "none" }),
    );
    site.store.put("config", "main", config(10));
    wait_until("version 10 is in force", || version(&site, node, 10));
    assert_eq!(
        site.call(node, ClientRequest::new("a1", "/hold/1"))
            .expect("a response")
            .status,
        200
    );
}

#[test]
fn from_peer() {
    // The store rejects one node, which has to get the change from the other.
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let first = site.node("one");
    let second = site.node("two");
    site.settle();
    site.store
        .set_endpoint(site.nodes[second].endpoint, EndpointState::Unavailable);
    let mut next = config(4);
    next["tenants"][0]["api_keys"] = serde_json::json!(["key-new"]);
    site.store.put("config", "main", next);
    for node in [first, second] {
        wait_until("version 4 is in force", || version(&site, node, 4));
    }
    assert_eq!(
        site.call(second, ClientRequest::new("a1", "/hold/1"))
            .expect("a response")
            .status,
        401
    );
}

#[test]
fn forgotten_history() {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    site.store
        .set_endpoint(site.nodes[node].endpoint, EndpointState::Unavailable);
    wait_until("the store is lost", || {
        site.store.put("config", "main", config(2));
        true
    });
    site.store.compact_history();
    site.store.put("config", "main", config(3));
    site.store
        .set_endpoint(site.nodes[node].endpoint, EndpointState::Open);
    wait_until("version 3 is in force", || version(&site, node, 3));
}
