//! Pieces are gathered into calls, by urgency, near their bytes and within the room.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::BatchScheduler;
use turnford_policy::BatchSpec;
use turnford_policy::PieceWork;
use turnford_policy::RequestDigest;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        queue_limit: 2,
        max_pieces: 4,
        call_overhead: 200 * MS,
        piece_time: 20 * MS,
        result_capacity: 10_000,
        result_ttl: 4000 * MS,
    }
}

fn target(id: &str, hall: &str) -> TargetSpec {
    TargetSpec {
        id: Arc::from(id),
        process_start: 0,
        service: Arc::from("kort"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from(hall),
        slots: 1,
        orders: 0,
        leaving: false,
    }
}

/// A board whose targets are known.
fn board(targets: &[TargetSpec]) -> (BatchScheduler, TargetTable) {
    let mut batches = BatchScheduler::new(spec());
    let mut board = TargetTable::default();
    board.set_targets(targets.iter());
    for target in targets {
        batches.record_report(Duration::ZERO, &target.id, u64::MAX);
    }
    (batches, board)
}

fn work(attempt: &str, due: u32, rank: u8) -> PieceWork {
    PieceWork {
        digest: RequestDigest::default(),
        is_suspect: false,
        attempt: Arc::from(attempt),
        stage: 0,
        piece: 0,
        piece_key: None,
        inputs: Arc::from([]),
        deadline: 8000 * MS,
        due: due * MS,
        ranks: (rank, 0),
        result_bytes: 100,
        hall: None,
        hall_deadline: Duration::ZERO,
    }
}

fn names(pieces: &[(u64, PieceWork)]) -> Vec<&str> {
    pieces.iter().map(|(_, work)| &*work.attempt).collect()
}

#[test]
fn busy_gathers() {
    let targets = [target("k1", "a")];
    let (mut batches, board) = board(&targets);
    batches.push(work("first", 3000, 0));
    assert_eq!(batches.plan(MS, &board, &targets).0.len(), 1);
    for number in 0..6 {
        batches.push(work(&format!("w{number}"), 3000, 0));
    }
    assert!(
        batches.plan(2 * MS, &board, &targets).0.is_empty(),
        "it is busy"
    );
    batches.record_end(220 * MS, &targets[0].id, 100, std::iter::empty());
    let (plans, _) = batches.plan(220 * MS, &board, &targets);
    assert_eq!(plans[0].pieces.len(), 4);
    assert_eq!(batches.queue_len(), 2);
}

#[test]
fn urgent_first() {
    let targets = [target("k1", "a")];
    let (mut batches, board) = board(&targets);
    batches.push(work("late", 100, 0));
    batches.push(work("low", 1000, 2));
    batches.push(work("later", 3000, 0));
    batches.push(work("sooner", 2000, 0));
    let (plans, _) = batches.plan(MS, &board, &targets);
    // What can't be in time any more goes last, whatever its rank.
    assert_eq!(names(&plans[0].pieces), ["sooner", "later", "low", "late"]);
}

#[test]
fn over_time() {
    let targets = [target("k1", "a")];
    let (mut batches, board) = board(&targets);
    let ticket = batches.push(work("gone", 100, 0));
    let (plans, late) = batches.plan(8000 * MS, &board, &targets);
    assert!(plans.is_empty());
    assert_eq!(late, [ticket]);
}

#[test]
fn near_bytes() {
    let targets = [target("k1", "a"), target("k2", "b")];
    let (mut batches, board) = board(&targets);
    let near = PieceWork {
        hall: Some(Arc::from("b")),
        hall_deadline: 300 * MS,
        ..work("near", 3000, 0)
    };
    batches.push(near.clone());
    batches.push(PieceWork {
        piece: 1,
        ..near.clone()
    });
    let (plans, _) = batches.plan(MS, &board, &targets);
    assert_eq!(plans.len(), 1);
    assert_eq!(&*plans[0].target, "k2");
    // The near one is busy: for a while the piece waits, then any target will do.
    batches.push(PieceWork { piece: 2, ..near });
    assert!(batches.plan(10 * MS, &board, &targets).0.is_empty());
    assert_eq!(batches.next_wakeup(10 * MS), Some(300 * MS));
    let (plans, _) = batches.plan(300 * MS, &board, &targets);
    assert_eq!(&*plans[0].target, "k1");
}

#[test]
fn within_room() {
    let targets = [target("k1", "a")];
    let (mut batches, board) = board(&targets);
    for number in 0..3 {
        let large = PieceWork {
            result_bytes: 4000,
            ..work(&format!("w{number}"), 3000, 0)
        };
        batches.push(large);
    }
    let (plans, _) = batches.plan(MS, &board, &targets);
    assert_eq!(plans[0].pieces.len(), 2, "two of 4000 fit into 9200");
    let kept = [("h1", 4000), ("h2", 4000)];
    batches.record_end(300 * MS, &targets[0].id, 8000, kept.into_iter());
    assert!(
        batches.plan(300 * MS, &board, &targets).0.is_empty(),
        "no room"
    );
    batches.record_release("h1");
    assert_eq!(batches.plan(310 * MS, &board, &targets).0.len(), 1);
}

#[test]
fn others_results() {
    // A target that others used before tells how much room they left.
    let targets = [target("k1", "a")];
    let mut batches = BatchScheduler::new(spec());
    let mut board = TargetTable::default();
    board.set_targets(targets.iter());
    let large = PieceWork {
        result_bytes: 4000,
        ..work("w", 3000, 0)
    };
    batches.push(large.clone());
    batches.push(PieceWork { piece: 1, ..large });
    assert!(
        batches.plan(MS, &board, &targets).0.is_empty(),
        "it is not known"
    );
    assert_eq!(batches.take_unreported(MS, &targets).len(), 1);
    assert!(
        batches.take_unreported(MS, &targets).is_empty(),
        "it is asked once"
    );
    batches.record_report(MS, &targets[0].id, 5000);
    assert_eq!(batches.plan(MS, &board, &targets).0[0].pieces.len(), 1);
}

#[test]
fn full_pauses() {
    let targets = [target("k1", "a")];
    let (mut batches, board) = board(&targets);
    batches.push(work("w", 3000, 0));
    let (plans, _) = batches.plan(MS, &board, &targets);
    let (ticket, piece) = plans[0].pieces[0].clone();
    batches.record_refusal(MS, "k1");
    batches.record_end(MS, &targets[0].id, 100, std::iter::empty());
    batches.requeue(ticket, piece);
    assert!(batches.plan(2 * MS, &board, &targets).0.is_empty());
    let look = batches.next_wakeup(2 * MS).expect("a look");
    assert_eq!(batches.plan(look, &board, &targets).0.len(), 1);
}

#[test]
fn slow_spared() {
    let targets = [target("k1", "a"), target("k2", "a")];
    let (mut batches, mut board) = board(&targets);
    board.record_slowness(MS, "k1", 5.0);
    board.record_slowness(MS, "k2", 1.0);
    batches.push(work("w", 3000, 0));
    assert_eq!(&*batches.plan(MS, &board, &targets).0[0].target, "k2");
    batches.push(work("x", 3000, 0));
    assert!(
        batches.plan(MS, &board, &targets).0.is_empty(),
        "the quick one is sooner"
    );
    for number in 0..4 {
        batches.push(work(&format!("w{number}"), 3000, 0));
    }
    assert_eq!(&*batches.plan(MS, &board, &targets).0[0].target, "k1");
}
