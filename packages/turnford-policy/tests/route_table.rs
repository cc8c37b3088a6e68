//! Requests are routed by host and longest path prefix, and API keys map to accounts.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::AccountSpec;
use turnford_policy::CallKind;
use turnford_policy::RouteConfig;
use turnford_policy::RouteSpec;
use turnford_policy::RouteTable;
use turnford_policy::ServiceShare;
use turnford_policy::StageGraph;
use turnford_policy::StageSpec;

fn route(name: &str, host: &str, prefix: &str) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        name: Arc::from(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        gap_objective: None,
        first_event_timeout: None,
        rank: 0,
        shares: vec![ServiceShare {
            service: Arc::from("s"),
            weight: 1.0,
        }],
        max_targets: 1,
        stages: Vec::new(),
        anonymous: false,
        resumable: false,
    })
}

fn table() -> RouteTable {
    RouteTable::new(&RouteConfig {
        version: 1,
        routes: vec![
            route("short", "One.example", "/a/"),
            route("long", "one.example", "/a/b/"),
            route("other", "two.example", "/a/"),
        ],
        accounts: Some(vec![AccountSpec {
            name: Arc::from("skagen"),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            rank: Some(1),
        }]),
        ..RouteConfig::default()
    })
}

fn found(host: &str, path: &str) -> Option<String> {
    let table = table();
    let route = table.find(host, path);
    route.map(|route| route.name.to_string())
}

#[test]
fn longest_prefix() {
    assert_eq!(found("one.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(found("one.example", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(found("ONE.example:8080", "/a/b").as_deref(), Some("short"));
    assert_eq!(found("two.example", "/a/b/x").as_deref(), Some("other"));
    assert_eq!(found("two.example", "/b/"), None);
    assert_eq!(found("three.example", "/a/"), None);
}

#[test]
fn known_keys() {
    let table = table();
    assert!(table.requires_key());
    let grant = table.grant("k2").expect("a grant");
    assert_eq!((&*grant.account, grant.rank), ("skagen", Some(1)));
    assert_eq!(table.grant("k3"), None);
}

fn stage(after: &[usize]) -> StageSpec {
    StageSpec {
        service: Arc::from("s"),
        after: after.to_vec(),
        result_bytes: 1,
    }
}

#[test]
fn stage_order() {
    let stages = [stage(&[]), stage(&[]), stage(&[1]), stage(&[2])];
    let graph = StageGraph::new(&stages, |_| 2);
    assert_eq!(graph.sinks(), [0, 3]);
    assert_eq!(graph.inputs(2), [1]);
    assert_eq!(graph.dependents(1).collect::<Vec<_>>(), [2]);
}

#[test]
fn skipped_stage() {
    let stages = [stage(&[]), stage(&[0]), stage(&[1])];
    let graph = StageGraph::new(&stages, |number| u32::from(number != 1));
    assert_eq!(graph.inputs(2), [] as [usize; 0]);
    assert_eq!(graph.sinks(), [0, 2]);
    assert!(StageGraph::new(&stages, |_| 0).is_empty());
}
