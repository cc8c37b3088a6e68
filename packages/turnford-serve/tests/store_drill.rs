//! The store comes back from a copy that is some seconds old: what it had acknowledged since is gone, and
//! the revisions of that time are given out again.
//!
//! A node that watched from a revision of the lost history got no word that it was lost once the store had
//! passed it, and never learned what was written below it: a change of the configuration stayed out of
//! force for as long as the node ran. Places in the store's history were taken for ever rising: what was
//! true after the drill was refused as older.

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

/// Time in which a change must be in force, from the users' bounds.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time after the store's return in which targets write their entries anew, from the users' pages.
const REWRITTEN: Duration = Duration::from_secs(2);

/// Changes that nobody here follows, of which a drill loses some.
const NOISE: u64 = 12;

/// A site of nodes that know each other. Where all targets are idle, the one whose id is the lowest is
/// taken; tests name the target that they watch so that it would be.
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

fn set_doors(site: &RouteSite, state: EndpointState) {
    for node in &site.nodes {
        site.store.set_endpoint(node.endpoint, state);
    }
}

/// Waits until the nodes have followed the store to where it is: a change at its end is in force.
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

/// Waits until a version is in force on all nodes, for as long as that may take.
fn assert_in_force(site: &RouteSite, version: u64) {
    let begun = Instant::now();
    for node in 0..site.nodes.len() {
        wait_until("it is in force", || in_force(site, node, version));
        let took = begun.elapsed();
        assert!(
            took < IN_FORCE,
            "version {version} after {took:?} at {node}"
        );
    }
}

fn send(site: &RouteSite, node: usize, attempt: &str) -> u16 {
    let answer = site.call(node, ClientRequest::new(attempt, "/pay/1"));
    answer.expect("an answer").status
}

/// Sends requests to all nodes for so long; returns how many were not served.
fn unserved_for(site: &RouteSite, span: Duration) -> usize {
    let begun = Instant::now();
    let mut unserved = 0;
    while begun.elapsed() < span {
        for node in 0..site.nodes.len() {
            unserved += usize::from(send(site, node, "any") != 200);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    unserved
}

#[test]
fn asked_before() {
    // The nodes ask from their place before the store has passed it again.
    let site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    site.store.restore(copy);
    std::thread::sleep(IN_FORCE);
    site.store.put("config", "main", config(6));
    assert_in_force(&site, 6);
}

#[test]
fn asked_after() {
    // The store has passed their place again before they can ask it, with a change below it.
    let site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    let passed = site.store.revision();
    set_doors(&site, EndpointState::Unavailable);
    site.store.restore(copy);
    site.store.put("config", "main", config(6));
    assert!(site.store.revision() < passed);
    make_noise(&site, 100);
    make_noise(&site, 200);
    assert!(site.store.revision() > passed);
    set_doors(&site, EndpointState::Open);
    assert_in_force(&site, 6);
}

#[test]
fn waiting_watch() {
    // Watches that wait go on as if nothing was; the store passes their place while they do.
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
fn twice() {
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
fn told_by_peer() {
    // The store turns one node away; what it knows is of the lost history, with a higher revision.
    let site = start_site(&["one", "two"]);
    let first = site.target("a1", "booking", QUICK);
    let copy = site.store.snapshot();
    make_noise(&site, 0);
    catch_up(&site, 5);
    site.store
        .set_endpoint(site.nodes[1].endpoint, EndpointState::Unavailable);
    site.store.restore(copy);
    std::thread::sleep(IN_FORCE);
    site.store.put("config", "main", config(6));
    first.publish("draining");
    assert_in_force(&site, 6);
    std::thread::sleep(IN_FORCE);
    let before = first.arrivals().len();
    assert_eq!(unserved_for(&site, Duration::from_millis(500)), 0);
    assert_eq!(first.arrivals().len(), before);
}

#[test]
fn revoked_stays() {
    // The change that revoked a key is lost. It stays in force, also on a node that starts then.
    let mut site = start_site(&["one", "two"]);
    let copy = site.store.snapshot();
    let mut next = config(5);
    next["tenants"][0]["api_keys"] = json!([]);
    site.store.put("config", "main", next.clone());
    assert_in_force(&site, 5);
    site.store.restore(copy);
    for (name, hall) in [("three", "hal-b"), ("four", "hal-c"), ("five", "hal-d")] {
        // It gets requests once it says that it is ready.
        site.node_in_hall(name, hall);
        for node in 0..site.nodes.len() {
            assert_eq!(send(&site, node, "revoked"), 401, "at {node}");
        }
    }
    std::thread::sleep(IN_FORCE);
    for node in 0..site.nodes.len() {
        assert_eq!(send(&site, node, "revoked"), 401, "at {node}");
    }
    site.store.put("config", "main", next);
    assert_in_force(&site, 5);
}

#[test]
fn leaving_stays() {
    // The copy says that a target is ready which had said that it leaves.
    let site = start_site(&["one", "two"]);
    let leaving = site.target("a1", "booking", QUICK);
    catch_up(&site, 4);
    let copy = site.store.snapshot();
    leaving.publish("draining");
    catch_up(&site, 5);
    std::thread::sleep(IN_FORCE);
    site.store.restore(copy);
    let before = leaving.arrivals().len();
    assert_eq!(unserved_for(&site, REWRITTEN), 0);
    leaving.publish("draining");
    assert_eq!(unserved_for(&site, REWRITTEN), 0);
    assert_eq!(leaving.arrivals().len() - before, 0);
}

#[test]
fn gone_stays() {
    // The copy has a target that ended meanwhile; its entry lapses again after some seconds.
    let site = start_site(&["one", "two"]);
    let gone = site.target("a1", "booking", QUICK);
    catch_up(&site, 4);
    let copy = site.store.snapshot();
    gone.unpublish();
    catch_up(&site, 5);
    std::thread::sleep(IN_FORCE);
    site.store.restore(copy);
    let before = gone.arrivals().len();
    assert_eq!(unserved_for(&site, Duration::from_millis(3600)), 0);
    gone.unpublish();
    assert_eq!(unserved_for(&site, REWRITTEN), 0);
    assert_eq!(gone.arrivals().len() - before, 0);
}

#[test]
fn gone_but_alive() {
    // It lives and its entry stays, or is written anew: it is used again.
    for is_rewritten in [false, true] {
        let site = start_site(&["one"]);
        let back = site.target("a1", "booking", QUICK);
        catch_up(&site, 4);
        let copy = site.store.snapshot();
        back.unpublish();
        catch_up(&site, 5);
        site.store.restore(copy);
        if is_rewritten {
            back.republish_changed();
        }
        let before = back.arrivals().len();
        wait_until("it is used again", || {
            send(&site, 0, "any");
            back.arrivals().len() > before
        });
    }
}

/// Has the only target of a service be missing from the copy.
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
    assert_eq!(unserved_for(&site, REWRITTEN), 0);
    new.publish("ready");
    assert_eq!(unserved_for(&site, REWRITTEN), 0);
}

#[test]
fn missing_goes() {
    // One that does not write again counts as gone, but not before the others had their time.
    let (site, new) = missing_target();
    std::thread::sleep(2 * REWRITTEN);
    let before = new.arrivals().len();
    unserved_for(&site, Duration::from_millis(300));
    assert_eq!(new.arrivals().len(), before);
}

#[test]
fn nodes_listed_again() {
    // What the nodes wrote of themselves is gone; a node that starts finds the others all the same.
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
