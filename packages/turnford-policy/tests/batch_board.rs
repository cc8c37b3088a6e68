//! Batching of pieces by urgency, preferred hall and result capacity.

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
        version: None,
    }
}

/// Returns a scheduler that knows the usage of its targets.
fn table(targets: &[TargetSpec]) -> (BatchScheduler, TargetTable) {
    let mut scheduler = BatchScheduler::new(spec());
    let mut table = TargetTable::default();
    table.set_targets(targets.iter());
    for target in targets {
        scheduler.record_report(Duration::ZERO, &target.id, u64::MAX);
    }
    (scheduler, table)
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
fn batches_while_busy() {
    let targets = [target("k1", "a")];
    let (mut scheduler, table) = table(&targets);
    scheduler.push(work("first", 3000, 0));
    assert_eq!(scheduler.plan(MS, &table, &targets).0.len(), 1);
    for number in 0..6 {
        scheduler.push(work(&format!("w{number}"), 3000, 0));
    }
    assert!(
        scheduler.plan(2 * MS, &table, &targets).0.is_empty(),
        "target is busy"
    );
    scheduler.record_end(220 * MS, &targets[0].id, 100, std::iter::empty());
    let (plans, _) = scheduler.plan(220 * MS, &table, &targets);
    assert_eq!(plans[0].pieces.len(), 4);
    assert_eq!(scheduler.queue_len(), 2);
}

#[test]
fn urgent_first() {
    let targets = [target("k1", "a")];
    let (mut scheduler, table) = table(&targets);
    scheduler.push(work("late", 100, 0));
    scheduler.push(work("low", 1000, 2));
    scheduler.push(work("later", 3000, 0));
    scheduler.push(work("sooner", 2000, 0));
    let (plans, _) = scheduler.plan(MS, &table, &targets);
    // Overdue pieces go last, whatever their rank.
    assert_eq!(names(&plans[0].pieces), ["sooner", "later", "low", "late"]);
}

#[test]
fn deadline_passed() {
    let targets = [target("k1", "a")];
    let (mut scheduler, table) = table(&targets);
    let ticket = scheduler.push(work("gone", 100, 0));
    let (plans, expired) = scheduler.plan(8000 * MS, &table, &targets);
    assert!(plans.is_empty());
    assert_eq!(expired, [ticket]);
}

#[test]
fn prefers_local_hall() {
    let targets = [target("k1", "a"), target("k2", "b")];
    let (mut scheduler, table) = table(&targets);
    let local = PieceWork {
        hall: Some(Arc::from("b")),
        hall_deadline: 300 * MS,
        ..work("near", 3000, 0)
    };
    scheduler.push(local.clone());
    scheduler.push(PieceWork {
        piece: 1,
        ..local.clone()
    });
    let (plans, _) = scheduler.plan(MS, &table, &targets);
    assert_eq!(plans.len(), 1);
    assert_eq!(&*plans[0].target, "k2");
    // The local target is busy. The piece waits for it until its hall deadline, then takes any
    // target.
    scheduler.push(PieceWork { piece: 2, ..local });
    assert!(scheduler.plan(10 * MS, &table, &targets).0.is_empty());
    assert_eq!(scheduler.next_wakeup(10 * MS), Some(300 * MS));
    let (plans, _) = scheduler.plan(300 * MS, &table, &targets);
    assert_eq!(&*plans[0].target, "k1");
}

#[test]
fn within_capacity() {
    let targets = [target("k1", "a")];
    let (mut scheduler, table) = table(&targets);
    for number in 0..3 {
        let large_piece = PieceWork {
            result_bytes: 4000,
            ..work(&format!("w{number}"), 3000, 0)
        };
        scheduler.push(large_piece);
    }
    let (plans, _) = scheduler.plan(MS, &table, &targets);
    assert_eq!(
        plans[0].pieces.len(),
        2,
        "two results of 4000 fit into 9200"
    );
    let results = [("h1", 4000), ("h2", 4000)];
    scheduler.record_end(300 * MS, &targets[0].id, 8000, results.into_iter());
    assert!(
        scheduler.plan(300 * MS, &table, &targets).0.is_empty(),
        "no capacity left"
    );
    scheduler.record_release("h1");
    assert_eq!(scheduler.plan(310 * MS, &table, &targets).0.len(), 1);
}

#[test]
fn peer_results() {
    // A target that other nodes used before has to report its free capacity first.
    let targets = [target("k1", "a")];
    let mut scheduler = BatchScheduler::new(spec());
    let mut table = TargetTable::default();
    table.set_targets(targets.iter());
    let large_piece = PieceWork {
        result_bytes: 4000,
        ..work("w", 3000, 0)
    };
    scheduler.push(large_piece.clone());
    scheduler.push(PieceWork {
        piece: 1,
        ..large_piece
    });
    assert!(
        scheduler.plan(MS, &table, &targets).0.is_empty(),
        "usage is unknown"
    );
    assert_eq!(scheduler.take_unreported(MS, &targets).len(), 1);
    assert!(
        scheduler.take_unreported(MS, &targets).is_empty(),
        "report is requested once"
    );
    scheduler.record_report(MS, &targets[0].id, 5000);
    assert_eq!(scheduler.plan(MS, &table, &targets).0[0].pieces.len(), 1);
}

#[test]
fn backs_off_when_full() {
    let targets = [target("k1", "a")];
    let (mut scheduler, table) = table(&targets);
    scheduler.push(work("w", 3000, 0));
    let (plans, _) = scheduler.plan(MS, &table, &targets);
    let (ticket, piece) = plans[0].pieces[0].clone();
    scheduler.record_refusal(MS, "k1");
    scheduler.record_end(MS, &targets[0].id, 100, std::iter::empty());
    scheduler.requeue(ticket, piece);
    assert!(scheduler.plan(2 * MS, &table, &targets).0.is_empty());
    let wakeup = scheduler.next_wakeup(2 * MS).expect("a wakeup");
    assert_eq!(scheduler.plan(wakeup, &table, &targets).0.len(), 1);
}

#[test]
fn slow_spared() {
    let targets = [target("k1", "a"), target("k2", "a")];
    let (mut scheduler, mut table) = table(&targets);
    table.record_slowness(MS, "k1", 5.0);
    table.record_slowness(MS, "k2", 1.0);
    scheduler.push(work("w", 3000, 0));
    assert_eq!(&*scheduler.plan(MS, &table, &targets).0[0].target, "k2");
    scheduler.push(work("x", 3000, 0));
    assert!(
        scheduler.plan(MS, &table, &targets).0.is_empty(),
        "the fast target is sooner"
    );
    for number in 0..4 {
        scheduler.push(work(&format!("w{number}"), 3000, 0));
    }
    assert_eq!(&*scheduler.plan(MS, &table, &targets).0[0].target, "k1");
}
