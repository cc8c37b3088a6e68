//! A planned stop interrupts no request.

mod common;

use std::time::Duration;

use common::text;
use common::ClientRequest;
use common::RouteSite;
use turnford_standin::TargetRole;

#[test]
fn running_finishes() {
    let mut site = RouteSite::new();
    let slow = TargetRole::Engine {
        first_event: Duration::from_millis(50),
        event_gap: Duration::from_millis(100),
        events: 20,
    };
    site.target("s1", "sprog", slow);
    let node = site.node("one");
    let running = site.nodes[node].node.take().expect("a node");
    let site = &site;
    std::thread::scope(|scope| {
        let call = scope.spawn(|| site.call(node, ClientRequest::new("a1", "/draft/")));
        common::wait_until("the request runs", || site.journal.runs_of("a1").len() == 1);
        let stop = scope.spawn(|| async_io::block_on(running.drain()));
        common::wait_until("the node is not ready", || site.readiness(node) == 503);
        let response = call.join().expect("no panic").expect("a response");
        assert_eq!(text(&response).matches("data: token").count(), 20);
        assert_eq!(stop.join().expect("no panic"), 0);
    });
}

#[test]
fn late_arrivals() {
    // A request that can't complete before the stop is refused as not run, so that another node
    // takes it.
    let mut site = RouteSite::new();
    let engine = TargetRole::Engine {
        first_event: Duration::from_millis(10),
        event_gap: Duration::from_millis(300),
        events: 15,
    };
    site.target("s1", "sprog", engine);
    let node = site.node("one");
    let running = site.nodes[node].node.take().expect("a node");
    let site = &site;
    std::thread::scope(|scope| {
        // A running request keeps the node from stopping early.
        let first = scope.spawn(|| site.call(node, ClientRequest::new("a1", "/draft/")));
        common::wait_until("the request runs", || site.journal.runs_of("a1").len() == 1);
        let stop = scope.spawn(|| async_io::block_on(running.drain()));
        std::thread::sleep(Duration::from_millis(1500));
        let response = site
            .call(node, ClientRequest::new("a2", "/draft/"))
            .expect("a response");
        assert_eq!(response.status, 503, "{}", text(&response));
        assert!(response.header("retry-after").is_some());
        assert_eq!(site.journal.runs_of("a2"), []);
        assert_eq!(
            first.join().expect("no panic").expect("a response").status,
            200
        );
        assert_eq!(stop.join().expect("no panic"), 0);
    });
}
