//! The store is restored from a copy that is some seconds old: changes that it acknowledged since
//! are lost, and their revisions are assigned again.
//!
//!
//! Guards against two failures. A node that watched from a revision of the lost history was not
//! notified of the loss once the store had passed that revision, and never learned of changes below
//! it: a change of the configuration stayed out of force for as long as the node ran. Positions in
//! the store's history were assumed to only increase: what was true after the restore was rejected
//! as older.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::config;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use serde_json::json;
use turnford_standin::EndpointState;
use turnford_standin::RouteTarget;

/// Time within which a change must be in force, as required by the users.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time after the store's return within which targets rewrite their entries, as specified by the
/// platform.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Number of changes that no node follows, some of which are lost by a restore.
const NOISE: u64 = 12;

/// Starts a site of nodes that know each other. If all targets are idle, the one with the lowest id
/// is chosen; tests give the target that they observe such an id.
fn start_site(names: &[&str]) -> RouteSite {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    for name in names {
        site.node(name);
    }
    site.settle();
    site
}

/// Raises the store's revision.
fn make_noise(site: &RouteSite, from: u64) {
    for number in from..from + NOISE {
        site.store.put("noise", "n", json!({ "number": number }));
    }
}

fn set_endpoints(site: &RouteSite, state: EndpointState) {
    for node in &site.nodes {
        site.store.set_endpoint(node.endpoint, state);
    }
}

/// Waits until the nodes have followed the store to its current revision, by a change at its end.
fn catch_up(site: &RouteSite, version: u64) {
    site.store.put("config", "main", config(version));
    for node in 0..site.nodes.len() {
        wait_until("the nodes have caught up", || in_force(site, node, version));
    }
}

fn in_force(site: &RouteSite, node: usize, version: u64) -> bool {
    let line = format!("turnford_config_version {version}\n");
    site.metrics(node).contains(&line)
}

/// Asserts that a version comes into force on all nodes in time.
fn assert_in_force(site: &RouteSite, version: u64) {
    let started_at = Instant::now();
    for node in 0..site.nodes.len() {
        wait_until("it is in force", || in_force(site, node, version));
        let took = started_at.elapsed();
        assert!(
            took < PROPAGATION_LIMIT,
            "version {version} after {took:?} at {node}"
        );
    }
}

fn send(site: &RouteSite, node: usize, attempt: &str) -> u16 {
    let response = site.call(node, ClientRequest::new(attempt, "/pay/1"));
    response.expect("a response").status
}

/// Sends requests to all nodes for `duration`. Returns how many were not served.
fn unserved_for(site: &RouteSite, duration: Duration) -> usize {
    let started_at = Instant::now();
    let mut unserved = 0;
    while started_at.elapsed() < duration {
        for node in 0..site.nodes.len() {
            unserved += usize::from(send(site, node, "any") != 200);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    unserved
}

#[test]
fn called_before_passed() {
    // The nodes call from their position before the store has passed it again.
    let site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    site.store.restore(copy);
    std::thread::sleep(PROPAGATION_LIMIT);
    site.store.put("config", "main", config(6));
    assert_in_force(&site, 6);
}

#[test]
fn called_after_passed() {
    // The store has passed the nodes' position again before they can call it, with a change below
    // it.
    let site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    let passed = site.store.revision();
    set_endpoints(&site, EndpointState::Unavailable);
    site.store.restore(copy);
    site.store.put("config", "main", config(6));
    assert!(site.store.revision() < passed);
    make_noise(&site, 100);
    make_noise(&site, 200);
    assert!(site.store.revision() > passed);
    set_endpoints(&site, EndpointState::Open);
    assert_in_force(&site, 6);
}

#[test]
fn pending_watch() {
    // Pending watches continue through the restore; the store passes their position in the
    // meantime.
    let site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    site.store.restore(copy);
    site.store.put("config", "main", config(6));
    make_noise(&site, 100);
    make_noise(&site, 200);
    assert_in_force(&site, 6);
}

#[test]
fn restored_repeatedly() {
    let site = start_site(&["one"]);
    for round in 0..3 {
        let copy = site.store.snapshot();
        make_noise(&site, 1000 * round);
        catch_up(&site, 10 * round + 15);
        site.store.restore(copy);
        site.store.put("config", "main", config(10 * round + 16));
        make_noise(&site, 1000 * round + 100);
        make_noise(&site, 1000 * round + 200);
        assert_in_force(&site, 10 * round + 16);
    }
}

#[test]
fn updated_by_peer() {
    // The store rejects one node, whose knowledge is from the lost history, with a higher revision.
    let site = start_site(&["one", "two"]);
    let first = site.target("a1", "booking", QUICK);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    site.store
        .set_endpoint(site.nodes[1].endpoint, EndpointState::Unavailable);
    site.store.restore(copy);
    std::thread::sleep(PROPAGATION_LIMIT);
    site.store.put("config", "main", config(6));
    first.publish("draining");
    assert_in_force(&site, 6);
    std::thread::sleep(PROPAGATION_LIMIT);
    let before = first.arrivals().len();
    assert_eq!(unserved_for(&site, Duration::from_millis(500)), 0);
    assert_eq!(first.arrivals().len(), before);
}

#[test]
fn revoked_stays() {
    // The change that revoked a key is lost. The key stays revoked, also on nodes that start
    // afterwards.
    let mut site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    let mut next = config(5);
    next["tenants"][0]["api_keys"] = json!([]);
    site.store.put("config", "main", next.clone());
    assert_in_force(&site, 5);
    site.store.restore(copy);
    for (name, hall) in [("three", "hal-b"), ("four", "hal-c"), ("five", "hal-d")] {
        // The node gets requests once it is ready.
        site.node_in_hall(name, hall);
        for node in 0..site.nodes.len() {
            assert_eq!(send(&site, node, "revoked"), 401, "at {node}");
        }
    }
    std::thread::sleep(PROPAGATION_LIMIT);
    for node in 0..site.nodes.len() {
        assert_eq!(send(&site, node, "revoked"), 401, "at {node}");
    }
    site.store.put("config", "main", next);
    assert_in_force(&site, 5);
}

#[test]
fn leaving_stays() {
    // The copy says that a target is ready that had announced that it leaves.
    let site = start_site(&["one", "two"]);
    let leaving = site.target("a1", "booking", QUICK);
    catch_up(&site, 4);
    let copy = site.store.snapshot();
    leaving.publish("draining");
    catch_up(&site, 5);
    std::thread::sleep(PROPAGATION_LIMIT);
    site.store.restore(copy);
    let before = leaving.arrivals().len();
    assert_eq!(unserved_for(&site, REWRITE_TIME), 0);
    leaving.publish("draining");
    assert_eq!(unserved_for(&site, REWRITE_TIME), 0);
    assert_eq!(leaving.arrivals().len() - before, 0);
}

#[test]
fn removed_target_stays_removed() {
    // The copy holds a target that has ended in the meantime; its entry lapses again after some
    // seconds.
    let site = start_site(&["one", "two"]);
    let removed = site.target("a1", "booking", QUICK);
    catch_up(&site, 4);
    let copy = site.store.snapshot();
    removed.unpublish();
    catch_up(&site, 5);
    std::thread::sleep(PROPAGATION_LIMIT);
    site.store.restore(copy);
    let before = removed.arrivals().len();
    assert_eq!(unserved_for(&site, Duration::from_millis(3600)), 0);
    removed.unpublish();
    assert_eq!(unserved_for(&site, REWRITE_TIME), 0);
    assert_eq!(removed.arrivals().len() - before, 0);
}

#[test]
fn removed_but_alive() {
    // The target is alive, and its entry stays or is rewritten: it is used again.
    for is_rewritten in [false, true] {
        let site = start_site(&["one"]);
        let target = site.target("a1", "booking", QUICK);
        catch_up(&site, 4);
        let copy = site.store.snapshot();
        target.unpublish();
        catch_up(&site, 5);
        site.store.restore(copy);
        if is_rewritten {
            target.republish_changed();
        }
        let before = target.arrivals().len();
        wait_until("it is used again", || {
            send(&site, 0, "any");
            target.arrivals().len() > before
        });
    }
}

/// Returns a site whose store was restored from a copy without the only target of a service.
fn missing_target() -> (RouteSite, RouteTarget) {
    let mut site = RouteSite::new();
    site.target("s1", "sprog", ENGINE);
    site.node("one");
    site.node("two");
    site.settle();
    let copy = site.store.snapshot();
    let new = site.target("b1", "booking", QUICK);
    catch_up(&site, 5);
    site.store.restore(copy);
    (site, new)
}

#[test]
fn missing_kept() {
    let (site, new) = missing_target();
    assert_eq!(unserved_for(&site, REWRITE_TIME), 0);
    new.publish("ready");
    assert_eq!(unserved_for(&site, REWRITE_TIME), 0);
}

#[test]
fn missing_goes() {
    // A target that does not rewrite its entry counts as removed, but not before the others had
    // time for it.
    let (site, new) = missing_target();
    std::thread::sleep(2 * REWRITE_TIME);
    let before = new.arrivals().len();
    unserved_for(&site, Duration::from_millis(300));
    assert_eq!(new.arrivals().len(), before);
}

#[test]
fn nodes_listed_again() {
    // The entries of the nodes themselves are lost; the nodes register again, so that a starting
    // node finds them.
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let copy = site.store.snapshot();
    site.node("one");
    site.node("two");
    site.settle();
    site.store.restore(copy);
    wait_until("they are listed again", || {
        site.store.names("turnford-nodes").len() == 2
    });
}
