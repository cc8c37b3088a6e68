//! One node batches the pieces of all nodes. If it stops, the others go on.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::ClientRequest;
use common::RouteSite;
use common::ENGINE;
use common::STAGED;
use turnford_standin::RunKind;
use turnford_standin::TargetRole;

/// Targets slow enough for pieces to accumulate during a call.
const SLOW_STAGE: TargetRole = TargetRole::Stage {
    call_overhead: Duration::from_millis(200),
    piece_time: Duration::from_millis(1),
};

/// Targets whose calls go on for some time after a node has begun to stop.
const LONG_STAGE: TargetRole = TargetRole::Stage {
    call_overhead: Duration::from_millis(600),
    piece_time: Duration::from_millis(1),
};

fn calls_of(site: &RouteSite, target: &str) -> BTreeSet<u64> {
    let runs = site.journal.runs().into_iter();
    let own = runs.filter(|run| run.target == target);
    own.filter_map(|run| match run.kind {
        RunKind::Piece { call, .. } => Some(call),
        _ => None,
    })
    .collect()
}

fn call_all(site: &RouteSite, nodes: &[usize], names: &[String]) {
    std::thread::scope(|scope| {
        for (number, name) in names.iter().enumerate() {
            let node = nodes[number % nodes.len()];
            scope.spawn(move || {
                let mut request = ClientRequest::new(name, "/chat/");
                request.headers = STAGED;
                let response = site.call(node, request).expect("a response");
                assert_eq!(response.status, 200, "{name} at node {node}");
            });
        }
    });
}

#[test]
fn few_calls() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", SLOW_STAGE);
    site.target("e1", "ejer", SLOW_STAGE);
    site.target("s1", "sprog", ENGINE);
    let nodes: Vec<usize> = ["one", "two", "three"].map(|name| site.node(name)).to_vec();
    site.settle();
    let names: Vec<String> = (0..12).map(|number| format!("a{number}")).collect();
    call_all(&site, &nodes, &names);
    // 24 pieces in calls of up to eight: the first call takes what is queued, the others are full.
    let calls = calls_of(&site, "k1").len();
    assert!(calls <= 5, "{calls} calls for 24 pieces");
}

#[test]
fn gatherer_stops() {
    let mut site = RouteSite::new();
    site.target("k1", "kort", SLOW_STAGE);
    site.target("e1", "ejer", SLOW_STAGE);
    site.target("s1", "sprog", ENGINE);
    let nodes: Vec<usize> = ["one", "two", "three"].map(|name| site.node(name)).to_vec();
    site.settle();
    // Whichever node batches, one of these stops affects it. The remaining node serves all
    // requests.
    for stopped in [0, 1] {
        let node = site.nodes[stopped].node.take().expect("a node");
        let left: Vec<usize> = nodes[stopped + 1..].to_vec();
        let site = &site;
        std::thread::scope(|scope| {
            let names: Vec<String> = (0..6)
                .map(|number| format!("s{stopped}-{number}"))
                .collect();
            let calls = scope.spawn(move || call_all(site, &left, &names));
            std::thread::sleep(Duration::from_millis(100));
            node.stop();
            calls.join().expect("all are served");
        });
    }
}

#[test]
fn silent_target() {
    // A target stops responding while more pieces are queued than the other one can take at once.
    // Its pieces soon go to the other target, and all requests are served.
    let mut site = RouteSite::new();
    let silent = site.target("k1", "kort", SLOW_STAGE);
    site.target("k2", "kort", SLOW_STAGE);
    site.target("e1", "ejer", SLOW_STAGE);
    site.target("s1", "sprog", ENGINE);
    let node = site.node("one");
    call_all(&site, &[node], &["w0".to_owned()]);
    silent.set_unresponsive(true);
    let names: Vec<String> = (0..24).map(|number| format!("a{number}")).collect();
    call_all(&site, &[node], &names);
}

#[test]
fn stop_finishes() {
    // A stopping node refuses new pieces and completes those that it has: no piece runs twice.
    let mut site = RouteSite::new();
    site.target("k1", "kort", LONG_STAGE);
    site.target("e1", "ejer", LONG_STAGE);
    site.target("s1", "sprog", ENGINE);
    let nodes: Vec<usize> = ["one", "two", "three"].map(|name| site.node(name)).to_vec();
    site.settle();
    // Whichever node batches, one of these stops affects it.
    for stopped in [0, 1] {
        let left = &nodes[stopped + 1..];
        let site = &site;
        std::thread::scope(|scope| {
            for number in 0..12 {
                let names = [format!("s{stopped}-{number}")];
                scope.spawn(move || call_all(site, &left[number % left.len()..][..1], &names));
                std::thread::sleep(Duration::from_millis(25));
                if number == 6 {
                    let node = site.nodes[stopped].node.as_ref().expect("a node");
                    scope.spawn(move || async_io::block_on(node.drain()));
                }
            }
        });
    }
    let mut made = BTreeSet::new();
    for run in site.journal.runs() {
        if let RunKind::Piece { stage, piece, .. } = run.kind {
            let is_new = made.insert((run.attempt.clone(), stage, piece));
            assert!(is_new, "{} stage {stage} piece {piece} twice", run.attempt);
        }
    }
}
