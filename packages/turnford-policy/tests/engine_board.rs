//! Requests are placed where their prompt is cached, unless the engine's prefill queue is too long.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::EngineScheduler;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptSegment;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn table(count: usize) -> TargetTable {
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
            version: None,
        })
        .collect();
    let mut table = TargetTable::default();
    table.set_targets(targets.iter());
    table
}

fn scheduler() -> EngineScheduler {
    let mut scheduler = EngineScheduler::default();
    scheduler.set_capacity(280_000);
    scheduler
}

fn request(subject: u64, own: u64) -> PlacementRequest {
    let segment = |id, tokens| PromptSegment { id, tokens };
    PlacementRequest {
        segments: vec![segment(1, 2500), segment(subject, 3700), segment(own, 2900)],
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
    let table = table(12);
    let mut scheduler = scheduler();
    let (first, ticket) = scheduler
        .place(MS, &table, &request(7, 100))
        .expect("a place");
    scheduler.record_first_event(ticket, 400 * MS);
    scheduler.record_end(ticket);
    let (second, _) = scheduler
        .place(1000 * MS, &table, &request(7, 101))
        .expect("a place");
    assert_eq!(first.id, second.id);
}

#[test]
fn same_affinity() {
    // Two nodes that know nothing of each other's requests choose the same engines.
    let table = table(12);
    for subject in 0..20 {
        let (one, _) = scheduler()
            .place(MS, &table, &request(subject, 1))
            .expect("a place");
        let (two, _) = scheduler()
            .place(MS, &table, &request(subject, 2))
            .expect("a place");
        assert_eq!(one.id, two.id);
    }
}

#[test]
fn prefill_spread() {
    // Twelve simultaneous prompts go to different engines although one caches their shared segment.
    let table = table(12);
    let mut scheduler = scheduler();
    let mut used: Vec<_> = (0..12)
        .map(|own| {
            let request = request(own, 100 + own);
            scheduler.place(MS, &table, &request).expect("a place").0.id
        })
        .collect();
    used.sort();
    used.dedup();
    assert!(used.len() >= 10, "{used:?}");
}

#[test]
fn skips_tried() {
    let table = table(2);
    let mut scheduler = scheduler();
    let (first, _) = scheduler
        .place(MS, &table, &request(7, 1))
        .expect("a place");
    let again = PlacementRequest {
        tried: vec![first.id.clone()],
        ..request(7, 1)
    };
    let (second, _) = scheduler.place(MS, &table, &again).expect("a place");
    assert_ne!(first.id, second.id);
    let all = PlacementRequest {
        tried: vec![first.id, second.id],
        ..request(7, 1)
    };
    assert!(scheduler.place(MS, &table, &all).is_none());
}

#[test]
fn local_inputs() {
    let table = table(2);
    let mut scheduler = scheduler();
    let local = PlacementRequest {
        segments: vec![PromptSegment { id: 9, tokens: 100 }],
        prompt_tokens: 100,
        inputs: vec![(Arc::from("b"), 4_000_000)],
        ..request(7, 1)
    };
    for _ in 0..3 {
        let (target, ticket) = scheduler.place(MS, &table, &local).expect("a place");
        assert_eq!(&*target.hall, "b");
        scheduler.record_end(ticket);
    }
}

#[test]
fn unreported_end() {
    // A request whose node was lost is dropped after its deadline.
    let table = table(1);
    let mut scheduler = scheduler();
    for own in 0..40 {
        scheduler
            .place(MS, &table, &request(own, 1000 + own))
            .expect("a place");
    }
    let (_, ticket) = scheduler
        .place(20_000 * MS, &table, &request(7, 1))
        .expect("a place");
    assert!(scheduler.target_of(ticket).is_some());
    assert!(
        scheduler.target_of(1).is_none(),
        "dropped after its deadline"
    );
}
