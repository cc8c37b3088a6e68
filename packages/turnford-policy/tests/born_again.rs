//! State of a target's process does not carry over to a restarted process with the same id.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::BatchScheduler;
use turnford_policy::BatchSpec;
use turnford_policy::EngineScheduler;
use turnford_policy::PieceWork;
use turnford_policy::PlacementRequest;
use turnford_policy::ProcessStart;
use turnford_policy::PromptSegment;
use turnford_policy::RequestDigest;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn target(id: &str, process_start: ProcessStart) -> TargetSpec {
    TargetSpec {
        id: Arc::from(id),
        process_start,
        service: Arc::from("kort"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 4,
        orders: 0,
        leaving: false,
        version: None,
    }
}

fn table(targets: &[TargetSpec]) -> TargetTable {
    let mut table = TargetTable::default();
    table.set_targets(targets.iter());
    table
}

#[test]
fn slowness_reset() {
    let mut table = table(&[target("k1", 1)]);
    for _ in 0..5 {
        table.record_slowness(MS, "k1", 6.0);
        table.record_refusal(MS, "k1");
        table.record_start("k1");
    }
    assert!(table.is_paused(2 * MS, "k1"));
    table.set_targets([target("k1", 2)].iter());
    assert_eq!(table.measured_slowness(2 * MS, "k1"), None);
    assert!(!table.is_paused(2 * MS, "k1"));
    // Calls to the old process end without affecting the new one.
    table.record_start("k1");
    assert_eq!(table.inflight("k1"), 1);
}

#[test]
fn cache_reset() {
    let before: Vec<TargetSpec> = ["s1", "s2"].map(|id| target(id, 1)).to_vec();
    let mut table = table(&before);
    let mut scheduler = EngineScheduler::default();
    scheduler.set_capacity(280_000);
    let request = |own: u64, tried: &[&TargetSpec]| PlacementRequest {
        segments: vec![
            PromptSegment {
                id: 1,
                tokens: 6000,
            },
            PromptSegment {
                id: own,
                tokens: 100,
            },
        ],
        prompt_tokens: 6100,
        max_output_tokens: 100,
        inputs: Vec::new(),
        tried: tried.iter().map(|target| target.id.clone()).collect(),
        due: 1600 * MS,
        deadline: 8000 * MS,
    };
    let place =
        |scheduler: &mut EngineScheduler, table: &TargetTable, request: &PlacementRequest| {
            let (target, ticket) = scheduler.place(MS, table, request).expect("a place");
            scheduler.record_first_event(ticket, 100 * MS);
            scheduler.record_end(ticket);
            target
        };
    // The engine without affinity for the prompt comes to cache it.
    let preferred = EngineScheduler::default()
        .place(MS, &table, &request(7, &[]))
        .expect("a place")
        .0;
    let other = place(&mut scheduler, &table, &request(8, &[&preferred]));
    assert_eq!(place(&mut scheduler, &table, &request(9, &[])).id, other.id);
    let after: Vec<TargetSpec> = before.iter().map(|old| target(&old.id, 2)).collect();
    table.set_targets(after.iter());
    scheduler.retain_listed(&table);
    assert_eq!(
        place(&mut scheduler, &table, &request(10, &[])).id,
        preferred.id
    );
}

#[test]
fn capacity_reset() {
    let spec = BatchSpec {
        slots: 1,
        queue_limit: 2,
        max_pieces: 4,
        call_overhead: 200 * MS,
        piece_time: 20 * MS,
        result_capacity: 10_000,
        result_ttl: 4000 * MS,
    };
    let work = |name: &str| PieceWork {
        digest: RequestDigest::default(),
        is_suspect: false,
        attempt: Arc::from(name),
        stage: 0,
        piece: 0,
        piece_key: None,
        inputs: Arc::from([]),
        deadline: 8000 * MS,
        due: 3000 * MS,
        ranks: (0, 0),
        result_bytes: 4000,
        hall: None,
        hall_deadline: Duration::ZERO,
    };
    let before = [target("k1", 1)];
    let mut scheduler = BatchScheduler::new(spec);
    scheduler.retain_listed(&table(&before));
    scheduler.record_report(MS, &before[0].id, u64::MAX);
    scheduler.push(work("a"));
    scheduler.push(work("b"));
    assert_eq!(scheduler.plan(MS, &table(&before), &before).0.len(), 1);
    let results = [("h1", 4000), ("h2", 4000)];
    scheduler.record_end(300 * MS, &before[0].id, 8000, results.into_iter());
    scheduler.push(work("c"));
    assert!(scheduler
        .plan(300 * MS, &table(&before), &before)
        .0
        .is_empty());
    let after = [target("k1", 2)];
    let table = table(&after);
    scheduler.retain_listed(&table);
    assert_eq!(
        scheduler.take_unreported(310 * MS, &after).len(),
        1,
        "report is requested again"
    );
    scheduler.record_report(320 * MS, &after[0].id, u64::MAX);
    assert_eq!(scheduler.plan(330 * MS, &table, &after).0.len(), 1);
}
