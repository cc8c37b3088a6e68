//! Targets that fail, refuse or are slow get less work, and come back.

use std::sync::Arc;
use std::time::Duration;

use turnford_policy::LoadSample;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const MS: Duration = Duration::from_millis(1);

fn target(id: &str) -> TargetSpec {
    TargetSpec {
        id: Arc::from(id),
        process_start: 0,
        service: Arc::from("booking"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 6,
        orders: 0,
        leaving: false,
    }
}

fn board() -> TargetTable {
    let mut board = TargetTable::default();
    board.set_targets([target("b1"), target("b2")].iter());
    board
}

fn chosen(board: &TargetTable, now: Duration) -> String {
    let choice = board.choose(now, &[], |_, load| load);
    choice.expect("a choice").id.to_string()
}

#[test]
fn least_loaded() {
    let mut board = board();
    board.record_start("b1");
    assert_eq!(chosen(&board, MS), "b2");
    board.record_start("b2");
    board.record_start("b2");
    assert_eq!(chosen(&board, MS), "b1");
    board.record_end("b2");
    board.record_end("b2");
    assert_eq!(chosen(&board, MS), "b2");
}

#[test]
fn told_load() {
    // What others have there counts, less and less with time.
    let mut board = board();
    let mark = LoadSample {
        running: 5,
        waiting: 3,
        slots: 6,
    };
    board.record_load(MS, "b1", mark);
    board.record_start("b2");
    assert_eq!(chosen(&board, 2 * MS), "b2");
    assert_eq!(chosen(&board, 3000 * MS), "b1");
}

#[test]
fn pause_doubles() {
    let mut board = board();
    board.record_refusal(Duration::ZERO, "b1");
    assert!(board.is_paused(200 * MS, "b1"));
    assert!(!board.is_paused(300 * MS, "b1"));
    board.record_refusal(300 * MS, "b1");
    assert!(board.is_paused(700 * MS, "b1"));
    board.record_success(300 * MS, "b1");
    assert!(!board.is_paused(700 * MS, "b1"));
}

#[test]
fn failing_spared() {
    let mut board = board();
    for _ in 0..4 {
        board.record_failure("b1");
    }
    for _ in 0..5 {
        board.record_start("b2");
    }
    assert_eq!(
        chosen(&board, MS),
        "b2",
        "a failing target that is idle draws no work"
    );
}

#[test]
fn last_resort() {
    let mut board = board();
    board.record_refusal(Duration::ZERO, "b1");
    board.record_refusal(Duration::ZERO, "b2");
    assert!(board.choose(MS, &[], |_, load| load).is_some());
}

#[test]
fn leaving_passed() {
    let mut board = board();
    let leaving = TargetSpec {
        leaving: true,
        ..target("b1")
    };
    board.set_targets([leaving, target("b2")].iter());
    assert_eq!(chosen(&board, MS), "b2");
    let tried = [Arc::from("b2")];
    assert!(board.choose(MS, &tried, |_, load| load).is_none());
}

/// Calls that each of sixteen equal targets gets in 14 s from twelve callers over four nodes, where a call
/// takes 130 ms.
fn equal_shares() -> Vec<usize> {
    let targets: Vec<TargetSpec> = (0..16)
        .map(|number| target(&format!("b{number:02}")))
        .collect();
    let mut boards = vec![TargetTable::default(); 4];
    for board in &mut boards {
        board.set_targets(targets.iter());
    }
    let mut shares = vec![0; targets.len()];
    let mut running: Vec<Option<(usize, usize, Duration)>> = vec![None; 12];
    for step in 0..2800_u32 {
        let now = MS * 5 * step;
        for (caller, call) in running.iter_mut().enumerate() {
            match *call {
                Some((node, chosen, until)) if until <= now => {
                    boards[node].record_end(&targets[chosen].id);
                    *call = None;
                }
                Some(_) => {}
                None => {
                    let node = (caller + step as usize) % boards.len();
                    let cost = |target: &TargetSpec, load: f64| load / f64::from(target.slots);
                    let choice = boards[node].choose(now, &[], cost).expect("a choice");
                    boards[node].record_start(&choice.id);
                    let chosen = targets.iter().position(|target| target.id == choice.id);
                    let chosen = chosen.expect("a target of the list");
                    shares[chosen] += 1;
                    *call = Some((node, chosen, now + 130 * MS));
                }
            }
        }
    }
    shares
}

#[test]
fn equal_targets() {
    // Each node took the first by its id of those that cost the same, so that all nodes chose alike: the four
    // busiest targets got many times what the others did, and some got nothing.
    let shares = equal_shares();
    let mean = shares.iter().sum::<usize>() / shares.len();
    let most = shares.iter().max().copied().unwrap_or(0);
    let least = shares.iter().min().copied().unwrap_or(0);
    assert!(most <= 2 * mean && least >= mean / 2, "{shares:?}");
}
