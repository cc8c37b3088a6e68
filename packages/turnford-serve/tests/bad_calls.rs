//! A client's bad request gets its status, and nothing runs.

mod common;

use common::text;
use common::ClientRequest;
use common::RouteSite;
use common::QUICK;

fn site() -> (RouteSite, usize) {
    let mut site = RouteSite::new();
    site.target("b1", "booking", QUICK);
    let node = site.node("one");
    (site, node)
}

fn refused(ask: ClientRequest<'_>, status: u16) {
    let (site, node) = site();
    let answer = site.call(node, ask).expect("an answer");
    assert_eq!(answer.status, status, "{}", text(&answer));
    assert!(text(&answer).contains(r#""ran":"no""#), "{}", text(&answer));
    assert_eq!(site.journal.runs(), []);
}

#[test]
fn no_route() {
    refused(ClientRequest::new("a1", "/nowhere/"), 404);
}

#[test]
fn no_key() {
    let mut ask = ClientRequest::new("a1", "/hold/1");
    ask.key = None;
    refused(ask, 401);
}

#[test]
fn unknown_key() {
    let mut ask = ClientRequest::new("a1", "/hold/1");
    ask.key = Some("key-nobody");
    refused(ask, 401);
}

#[test]
fn no_attempt() {
    refused(ClientRequest::new("", "/hold/1"), 400);
}

#[test]
fn odd_numbers() {
    let mut ask = ClientRequest::new("a1", "/hold/1");
    ask.headers = &[("x-turnford-token-counts", "many")];
    refused(ask, 400);
    ask.headers = &[("x-turnford-deadline-ms", "soon")];
    refused(ask, 400);
    ask.headers = &[("x-turnford-pieces", "2,-1")];
    refused(ask, 400);
}

#[test]
fn long_body() {
    let body = "x".repeat(5000);
    let mut ask = ClientRequest::new("a1", "/hold/1");
    ask.body = &body;
    refused(ask, 413);
}

#[test]
fn before_configuration() {
    let mut site = RouteSite::new();
    site.store.remove("config", "main");
    site.target("b1", "booking", QUICK);
    let node = site.node_unready("one");
    let answer = site
        .call(node, ClientRequest::new("a1", "/hold/1"))
        .expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(site.readiness(node), 503);
    site.store.put("config", "main", common::config(2));
    common::wait_until("the node is ready", || site.readiness(node) == 200);
}
