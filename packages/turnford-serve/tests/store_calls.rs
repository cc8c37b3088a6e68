//! Calls to the store are priced: changes in a row cost few, and few nodes watch for all.

mod common;

use std::time::Duration;

use common::wait_until;
use common::RouteSite;
use serde_json::json;

fn list_target(site: &RouteSite, number: usize) {
    let spec = json!({
        "service": "booking", "address": format!("127.0.0.1:{}", 20_000 + number),
        "zone": "hal-a", "slots": 8, "state": "ready",
    });
    site.store.put("servers", &format!("b{number}"), spec);
}

#[test]
fn changes_gather() {
    let mut site = RouteSite::new();
    list_target(&site, 0);
    let node = site.node("one");
    let door = site.nodes[node].door;
    let before = site.store.calls(door);
    // Targets that list themselves one after the other.
    for number in 1..=30 {
        list_target(&site, number);
        std::thread::sleep(Duration::from_millis(10));
    }
    wait_until("all are known", || {
        site.metrics(node).contains("turnford_targets 31\n")
    });
    let made = site.store.calls(door) - before;
    assert!(made <= 10, "{made} calls for 30 changes in a row");
}
