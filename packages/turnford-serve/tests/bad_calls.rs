//! A client's invalid request gets the matching status, and nothing runs.

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

fn refused(request: ClientRequest<'_>, status: u16) {
    let (site, node) = site();
    let response = site.call(node, request).expect("a response");
    assert_eq!(response.status, status, "{}", text(&response));
    assert!(
        text(&response).contains(r#""ran":"no""#),
        "{}",
        text(&response)
    );
    assert_eq!(site.journal.runs(), []);
}

#[test]
fn no_route() {
    refused(ClientRequest::new("a1", "/nowhere/"), 404);
}

#[test]
fn no_key() {
    let mut request = ClientRequest::new("a1", "/hold/1");
    request.key = None;
    refused(request, 401);
}

#[test]
fn unknown_key() {
    let mut request = ClientRequest::new("a1", "/hold/1");
    request.key = Some("key-nobody");
    refused(request, 401);
}

#[test]
fn no_attempt() {
    refused(ClientRequest::new("", "/hold/1"), 400);
}

#[test]
fn odd_numbers() {
    let mut request = ClientRequest::new("a1", "/hold/1");
    request.headers = &[("x-turnford-token-counts", "many")];
    refused(request, 400);
    request.headers = &[("x-turnford-deadline-ms", "soon")];
    refused(request, 400);
    request.headers = &[("x-turnford-pieces", "2,-1")];
    refused(request, 400);
}

#[test]
fn long_body() {
    let body = "x".repeat(5000);
    let mut request = ClientRequest::new("a1", "/hold/1");
    request.body = &body;
    refused(request, 413);
}

#[test]
fn before_configuration() {
    let mut site = RouteSite::new();
    site.store.remove("config", "main");
    site.target("b1", "booking", QUICK);
    let node = site.node_unready("one");
    let response = site
        .call(node, ClientRequest::new("a1", "/hold/1"))
        .expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(site.readiness(node), 503);
    site.store.put("config", "main", common::config(2));
    common::wait_until("the node is ready", || site.readiness(node) == 200);
}
