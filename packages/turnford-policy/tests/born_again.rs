//! A target that starts again under its id knows nothing of before, and nothing of before holds for it.

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

fn target(id: &str, born: ProcessStart) -> TargetSpec {
    TargetSpec {
        id: Arc::from(id),
        process_start: born,
        service: Arc::from("kort"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 4,
        orders: 0,
        leaving: false,
    }
}

fn board(targets: &[TargetSpec]) -> TargetTable {
    let mut board = TargetTable::default();
    board.set_targets(targets.iter());
    board
}

#[test]
fn speed_forgotten() {
    let mut board = board(&[target("k1", 1)]);
    for _ in 0..5 {
        board.record_slowness(MS, "k1", 6.0);
        board.record_refusal(MS, "k1");
        board.record_start("k1");
    }
    assert!(board.is_paused(2 * MS, "k1"));
    board.set_targets([target("k1", 2)].iter());
    assert_eq!(board.measured_slowness(2 * MS, "k1"), None);
    assert!(!board.is_paused(2 * MS, "k1"));
    // Calls of before end, but not at this process.
    board.record_start("k1");
    assert_eq!(board.in_flight("k1"), 1);
}

#[test]
fn prompts_forgotten() {
    let before: Vec<TargetSpec> = ["s1", "s2"].map(|id| target(id, 1)).to_vec();
    let mut known = board(&before);
    let mut engines = EngineScheduler::default();
    engines.set_capacity(280_000);
    let need = |own: u64, tried: &[&TargetSpec]| PlacementRequest {
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
    let place = |engines: &mut EngineScheduler, known: &TargetTable, need: &PlacementRequest| {
        let (target, ticket) = engines.place(MS, known, need).expect("a place");
        engines.record_first_event(ticket, 100 * MS);
        engines.record_end(ticket);
        target
    };
    // The engine that is not the prompt's home comes to keep it.
    let home = EngineScheduler::default()
        .place(MS, &known, &need(7, &[]))
        .expect("a place")
        .0;
    let other = place(&mut engines, &known, &need(8, &[&home]));
    assert_eq!(place(&mut engines, &known, &need(9, &[])).id, other.id);
    let after: Vec<TargetSpec> = before.iter().map(|old| target(&old.id, 2)).collect();
    known.set_targets(after.iter());
    engines.retain_listed(&known);
    assert_eq!(place(&mut engines, &known, &need(10, &[])).id, home.id);
}

#[test]
fn room_forgotten() {
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
    let mut batches = BatchScheduler::new(spec);
    batches.retain_listed(&board(&before));
    batches.record_report(MS, &before[0].id, u64::MAX);
    batches.push(work("a"));
    batches.push(work("b"));
    assert_eq!(batches.plan(MS, &board(&before), &before).0.len(), 1);
    let kept = [("h1", 4000), ("h2", 4000)];
    batches.record_end(300 * MS, &before[0].id, 8000, kept.into_iter());
    batches.push(work("c"));
    assert!(batches
        .plan(300 * MS, &board(&before), &before)
        .0
        .is_empty());
    let after = [target("k1", 2)];
    let known = board(&after);
    batches.retain_listed(&known);
    assert_eq!(
        batches.take_unreported(310 * MS, &after).len(),
        1,
        "it is asked anew"
    );
    batches.record_report(320 * MS, &after[0].id, u64::MAX);
    assert_eq!(batches.plan(330 * MS, &known, &after).0.len(), 1);
}
