//! A request that can't be served within its deadline is refused once this is known. A request that
//! can be served is held and served, however long it takes.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::text;
use common::wait_until;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::STAGED;
use turnford_standin::TargetRole;

/// The stage before the lost one takes long enough for the loss to be noticed.
const FIRST_STAGE: TargetRole = TargetRole::Stage {
    call_overhead: Duration::from_millis(800),
    piece_time: Duration::from_millis(1),
};

/// Time from the end of that stage within which an infeasible request is refused, on a busy
/// machine.
const REFUSAL_TIME: Duration = Duration::from_millis(1500);

fn staged(attempt: &str) -> ClientRequest<'_> {
    let mut request = ClientRequest::new(attempt, "/chat/");
    request.headers = STAGED;
    request
}

#[test]
fn stage_lost() {
    // All targets of a later stage leave while the first stage is running.
    let mut site = RouteSite::new();
    site.target("k1", "kort", FIRST_STAGE);
    let later = site.target("e1", "ejer", common::STAGE);
    site.target("s1", "sprog", ENGINE);
    let nodes = [site.node("one"), site.node("two")];
    site.settle();
    let site = &site;
    for node in nodes {
        later.publish("ready");
        wait_until("the stage has a target", || {
            site.metrics(node).contains("turnford_targets 3\n")
        });
        let attempt = format!("a{node}");
        let started_at = Instant::now();
        let response = std::thread::scope(|scope| {
            let call = scope.spawn(|| site.call(node, staged(&attempt)));
            std::thread::sleep(Duration::from_millis(150));
            later.unpublish();
            call.join().expect("no panic").expect("a response")
        });
        let took = started_at.elapsed();
        assert_eq!(response.status, 503, "{}", text(&response));
        assert!(text(&response).contains(r#""ran":"no""#));
        let back = response.header("retry-after").expect("a time to come back");
        let back: f64 = back.parse().expect("seconds");
        assert!((0.01..=10.0).contains(&back), "{back}");
        assert!(
            took < Duration::from_millis(800) + REFUSAL_TIME,
            "after {took:?}"
        );
    }
}

#[test]
fn refused_first() {
    // Nothing starts for a request whose later stage has no target.
    let mut site = RouteSite::new();
    site.target("k1", "kort", FIRST_STAGE);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    let response = site.call(node, staged("a1")).expect("a response");
    assert_eq!(response.status, 503, "{}", text(&response));
    assert_eq!(site.journal.runs_of("a1"), []);
}

#[test]
fn slow_served() {
    // The stages take forty times as long as configured, and much longer than the latency
    // objective.
    let mut site = RouteSite::new();
    let slow = TargetRole::Stage {
        call_overhead: Duration::from_millis(2000),
        piece_time: Duration::from_millis(1),
    };
    site.target("k1", "kort", slow.clone());
    site.target("e1", "ejer", slow);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    let response = site.call(node, staged("a1")).expect("a response");
    assert_eq!(response.status, 200, "{}", text(&response));
}
