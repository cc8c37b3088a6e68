//! Requests are placed where their prompt is kept, unless the engine has too much to read.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::EngineScheduler;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptSegment;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn board(count: usize) -> TargetTable {
    let targets: Vec<TargetSpec> = (0..count)
        .map(|number| TargetSpec {
            id: Arc::from(format!("s{number}")),
            process_start: 0,
            service: Arc::from("sprog"),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: Arc::from(if number % 2 == 0 { "a" } else { "b" }),
            slots: 128,
            orders: 0,
            leaving: false,
        })
        .collect();
    let mut board = TargetTable::default();
    board.set_targets(targets.iter());
    board
}

fn engines() -> EngineScheduler {
    let mut engines = EngineScheduler::default();
    engines.set_capacity(280_000);
    engines
}

fn need(subject: u64, own: u64) -> PlacementRequest {
    let part = |id, tokens| PromptSegment { id, tokens };
    PlacementRequest {
        segments: vec![part(1, 2500), part(subject, 3700), part(own, 2900)],
        prompt_tokens: 9100,
        max_output_tokens: 100,
        inputs: Vec::new(),
        tried: Vec::new(),
        due: 1600 * MS,
        deadline: 8000 * MS,
    }
}

#[test]
fn same_engine() {
    let board = board(12);
    let mut engines = engines();
    let (first, ticket) = engines.place(MS, &board, &need(7, 100)).expect("a place");
    engines.record_first_event(ticket, 400 * MS);
    engines.record_end(ticket);
    let (second, _) = engines
        .place(1000 * MS, &board, &need(7, 101))
        .expect("a place");
    assert_eq!(first.id, second.id);
}

#[test]
fn same_home() {
    // Two nodes that know nothing of each other's requests choose alike.
    let board = board(12);
    for subject in 0..20 {
        let (one, _) = engines()
            .place(MS, &board, &need(subject, 1))
            .expect("a place");
        let (two, _) = engines()
            .place(MS, &board, &need(subject, 2))
            .expect("a place");
        assert_eq!(one.id, two.id);
    }
}

#[test]
fn spread_reading() {
    // Twelve prompts at once go to twelve engines, although one keeps their shared part.
    let board = board(12);
    let mut engines = engines();
    let mut used: Vec<_> = (0..12)
        .map(|own| {
            let need = need(own, 100 + own);
            engines.place(MS, &board, &need).expect("a place").0.id
        })
        .collect();
    used.sort();
    used.dedup();
    assert!(used.len() >= 10, "{used:?}");
}

#[test]
fn tried_passed() {
    let board = board(2);
    let mut engines = engines();
    let (first, _) = engines.place(MS, &board, &need(7, 1)).expect("a place");
    let again = PlacementRequest {
        tried: vec![first.id.clone()],
        ..need(7, 1)
    };
    let (second, _) = engines.place(MS, &board, &again).expect("a place");
    assert_ne!(first.id, second.id);
    let all = PlacementRequest {
        tried: vec![first.id, second.id],
        ..need(7, 1)
    };
    assert!(engines.place(MS, &board, &all).is_none());
}

#[test]
fn near_inputs() {
    let board = board(2);
    let mut engines = engines();
    let near = PlacementRequest {
        segments: vec![PromptSegment { id: 9, tokens: 100 }],
        prompt_tokens: 100,
        inputs: vec![(Arc::from("b"), 4_000_000)],
        ..need(7, 1)
    };
    for _ in 0..3 {
        let (target, ticket) = engines.place(MS, &board, &near).expect("a place");
        assert_eq!(&*target.hall, "b");
        engines.record_end(ticket);
    }
}

#[test]
fn lost_ends() {
    // A request whose node was lost does not count for ever.
    let board = board(1);
    let mut engines = engines();
    for own in 0..40 {
        engines
            .place(MS, &board, &need(own, 1000 + own))
            .expect("a place");
    }
    let (_, ticket) = engines
        .place(20_000 * MS, &board, &need(7, 1))
        .expect("a place");
    assert!(engines.target_of(ticket).is_some());
    assert!(
        engines.target_of(1).is_none(),
        "forgotten after its deadline"
    );
}
