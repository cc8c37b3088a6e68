//! A configuration comes into force soon, however large it is and however slow the link.
//!
//!
//! Guards against timeouts on whole responses that are shorter than a large response takes. With a
//! configuration of 0.85 MB on links of 10 Mbit/s, each retry started over and competed with the
//! others for the link, so that none ended: for up to ten seconds after a change, single nodes
//! received 1,060 KB a second without result (9.2 and 8.5 MB in all) and answered 404 on the routes
//! that it added. A whole response took 0.7 s on an idle link; the timeouts were 0.8 s for the
//! store's and 0.3 s for peers' responses.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use common::config;
use common::settings;
use common::wait_until;
use common::RouteSite;
use common::QUICK;
use serde_json::json;
use serde_json::Value;
use turnford_serve::ServeNode;
use turnford_standin::LinkProxy;
use turnford_standin::LinkState;

/// Number of routes of a large configuration, which has about 300 KB.
const ROUTES: usize = 1400;

/// Throughput of the slow link, in bytes per second: a large configuration takes 3 s.
const RATE: u32 = 100_000;

/// Time within which a configuration that takes 3 s to arrive has to be in force.
const BOUND: Duration = Duration::from_secs(6);

/// Returns a configuration with many routes.
fn large_config(version: u64) -> Value {
    let mut config = config(version);
    let template = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("routes");
    for number in 0..ROUTES {
        let mut route = template.clone();
        route["name"] = json!(format!("added-{number}"));
        route["path_prefix"] = json!(format!("/added-{number}/"));
        routes.push(route);
    }
    config
}

/// Returns a ready node whose link to the store is a proxy.
fn start_linked_node(
    site: &RouteSite,
    name: &str,
    peers: Vec<SocketAddr>,
) -> (ServeNode, LinkProxy) {
    let (_, store) = site
        .store
        .open_endpoint(&site.executor)
        .expect("a free port");
    let link = LinkProxy::start(&site.executor, store).expect("a free port");
    let node = ServeNode::start(settings(name, link.address, peers)).expect("free ports");
    wait_until("the node is ready", || node.is_ready());
    (node, link)
}

fn has_version(node: &ServeNode, site: &RouteSite, version: u64) -> bool {
    let line = format!("turnford_config_version {version}\n");
    site.metrics_at(node.settings().metrics).contains(&line)
}

#[test]
fn slow_link() {
    let site = RouteSite::new();
    let _target = site.target("b1", "booking", QUICK);
    let (node, link) = start_linked_node(&site, "one", Vec::new());
    link.set(LinkState::Throttled(RATE));
    let started_at = Instant::now();
    site.store.put("config", "main", large_config(2));
    wait_until("the large configuration is in force", || {
        has_version(&node, &site, 2)
    });
    let taken = started_at.elapsed();
    assert!(taken < BOUND, "in force after {taken:?}");
}

#[test]
fn slow_start() {
    // A starting node reads the configuration by a list call.
    let site = RouteSite::new();
    let _target = site.target("b1", "booking", QUICK);
    site.store.put("config", "main", large_config(2));
    let (_, store) = site
        .store
        .open_endpoint(&site.executor)
        .expect("a free port");
    let link = LinkProxy::start(&site.executor, store).expect("a free port");
    link.set(LinkState::Throttled(RATE));
    let started_at = Instant::now();
    let node = ServeNode::start(settings("one", link.address, Vec::new())).expect("free ports");
    wait_until("the node is ready", || node.is_ready());
    let taken = started_at.elapsed();
    assert!(taken < BOUND, "ready after {taken:?}");
}

#[test]
fn sooner_from_peer() {
    // The store's response would take half a minute; a peer sends the configuration compressed.
    let mut site = RouteSite::new();
    let _target = site.target("b1", "booking", QUICK);
    let peer = site.node("two");
    let inner = site.nodes[peer].settings.inner;
    let (node, link) = start_linked_node(&site, "one", vec![inner]);
    site.settle_with(1);
    link.set(LinkState::Throttled(RATE / 10));
    let started_at = Instant::now();
    site.store.put("config", "main", large_config(2));
    wait_until("the large configuration is in force", || {
        has_version(&node, &site, 2)
    });
    let taken = started_at.elapsed();
    assert!(taken < BOUND, "in force after {taken:?}");
}

#[test]
fn many_versions() {
    // Seven versions accumulate while the first is read. Reading all of them would take 18 s, the
    // newest alone 3 s.
    let site = RouteSite::new();
    let _target = site.target("b1", "booking", QUICK);
    let (node, link) = start_linked_node(&site, "one", Vec::new());
    link.set(LinkState::Throttled(RATE));
    let started_at = Instant::now();
    for version in 2..9 {
        site.store.put("config", "main", large_config(version));
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_until("the newest is in force", || has_version(&node, &site, 8));
    let taken = started_at.elapsed();
    assert!(taken < 2 * BOUND, "in force after {taken:?}");
}
