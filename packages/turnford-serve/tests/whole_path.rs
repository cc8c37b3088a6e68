//! A request of each kind passes from a client through its stages to its target and back.

mod common;

use common::text;
use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::QUICK;
use common::STAGE;
use common::STAGED;
use turnford_standin::RunKind;

#[test]
fn plain_call() {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    let response = site
        .call(node, ClientRequest::new("a1", "/hold/pitch/7"))
        .expect("a response");
    assert_eq!(
        (response.status, text(&response)),
        (200, "answer to a1".to_owned())
    );
    assert_eq!(response.header("x-turnford-server-stamp"), Some("stamp-a1"));
    assert_eq!(response.header("x-turnford-attempt-id"), Some("a1"));
    let runs = site.journal.runs_of("a1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].account.as_deref(), Some("skagen"));
    assert!(!runs[0].has_key, "the key stays with the node");
    let given = runs[0].deadline_ms.expect("a deadline");
    assert!(
        (8000..=9000).contains(&given),
        "{given} ms of the route's 9000"
    );
}

#[test]
fn account_header() {
    // Headers in which a client names its account are ignored.
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    let mut request = ClientRequest::new("a1", "/hold/1");
    request.headers = &[
        ("x-turnford-tenant", "fyn"),
        ("x-turnford-expect-instance", "b9"),
    ];
    assert_eq!(site.call(node, request).expect("a response").status, 200);
    assert_eq!(
        site.journal.runs_of("a1")[0].account.as_deref(),
        Some("skagen")
    );
}

#[test]
fn staged_stream() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    let mut request = ClientRequest::new("a1", "/chat/");
    request.headers = STAGED;
    let response = site.call(node, request).expect("a response");
    assert_eq!(response.status, 200);
    let events = text(&response);
    assert_eq!(events.matches("data: token").count(), 5, "{events}");
    let runs = site.journal.runs_of("a1");
    let second: Vec<_> = runs
        .iter()
        .filter(|run| matches!(run.kind, RunKind::Piece { stage: 1, .. }))
        .collect();
    assert_eq!(second.len(), 3);
    for piece in &second {
        assert_eq!(piece.inputs, ["k1/a1.0.0", "k1/a1.0.1"]);
    }
    let requests = site.journal.requests("a1");
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].inputs, ["e1/a1.1.0", "e1/a1.1.1", "e1/a1.1.2"]);
}

#[test]
fn results_released() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", STAGE);
    site.target("e1", "ejer", STAGE);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    let mut request = ClientRequest::new("a1", "/chat/");
    request.headers = STAGED;
    assert_eq!(site.call(node, request).expect("a response").status, 200);
    let is_release = |kind: &RunKind| matches!(kind, RunKind::Release(_));
    common::wait_until("all five results are released", || {
        let runs = site.journal.runs_of("a1");
        runs.iter().filter(|run| is_release(&run.kind)).count() == 5
    });
}
