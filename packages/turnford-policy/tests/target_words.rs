//! What a target says of itself holds against its entry, and ends with its process.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::histories;
use proptest::prelude::*;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const SECOND: Duration = Duration::from_secs(1);

/// Longest time until a target that says that it stays is asked, from the aim that no word holds for
/// ever.
const ASKED_WITHIN: Duration = Duration::from_secs(20);

fn target(born: ProcessStart, orders: u64, leaving: bool) -> TargetSpec {
    TargetSpec {
        id: Arc::from("b1"),
        process_start: born,
        service: Arc::from("booking"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 6,
        orders,
        leaving,
    }
}

fn board(spec: &TargetSpec) -> TargetTable {
    let mut board = TargetTable::default();
    board.set_targets([spec].into_iter());
    board
}

#[test]
fn holds_against_entry() {
    let spec = target(7, 3, false);
    let mut board = board(&spec);
    assert!(board.record_leaving(SECOND, "b1", 7));
    assert!(!board.record_leaving(SECOND, "b1", 7));
    assert_eq!(board.open_count(), 0);
    board.set_targets([&target(7, 4, false)].into_iter());
    assert_eq!(board.open_count(), 0);
}

#[test]
fn ends_with_process() {
    let cases = [
        (target(7, 3, false), target(8, 0, false), true),
        (target(7, 3, false), target(7, 0, false), false),
        (target(0, 3, false), target(0, 3, false), false),
        (target(0, 3, false), target(0, 2, false), true),
        (target(0, 3, false), target(8, 3, false), true),
    ];
    for (before, after, is_open) in cases {
        let mut board = board(&before);
        board.record_leaving(SECOND, "b1", before.process_start);
        board.set_targets([&after].into_iter());
        assert_eq!(
            board.open_count(),
            usize::from(is_open),
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn gone_and_back() {
    let spec = target(0, 0, false);
    let mut board = board(&spec);
    board.record_leaving(SECOND, "b1", 0);
    board.set_targets([].into_iter());
    board.set_targets([&spec].into_iter());
    assert_eq!(board.open_count(), 1);
}

#[test]
fn older_process() {
    // Late news of the process before says nothing of this one.
    let mut board = board(&target(8, 0, false));
    assert!(!board.record_leaving(SECOND, "b1", 7));
    assert_eq!(board.open_count(), 1);
}

#[test]
fn asked_in_time() {
    let mut board = board(&target(7, 0, false));
    board.record_leaving(SECOND, "b1", 7);
    assert!(board.take_due_probes(2 * SECOND, 1.0).is_empty());
    let at = SECOND + ASKED_WITHIN;
    assert_eq!(board.take_due_probes(at, 1.0).len(), 1);
    // It is asked once, and again where it gave no answer.
    assert!(board.take_due_probes(at + SECOND, 1.0).is_empty());
    assert_eq!(board.take_due_probes(at + ASKED_WITHIN, 1.0).len(), 1);
    board.record_active("b1", 7);
    assert_eq!(board.open_count(), 1);
    assert!(board.take_due_probes(at + 3 * ASKED_WITHIN, 1.0).is_empty());
}

#[test]
fn asked_in_turn() {
    // Nodes that heard the word together ask over several seconds, one by one.
    let asked_at = |later: f64| {
        let mut board = board(&target(7, 0, false));
        board.record_leaving(SECOND, "b1", 7);
        let due = |second: &u32| !board.take_due_probes(*second * SECOND, later).is_empty();
        (1..60).find(due).expect("a question")
    };
    let asks: std::collections::BTreeSet<u32> = (0..20)
        .map(|node| asked_at(f64::from(node) / 20.0))
        .collect();
    assert!(asks.len() >= 6, "{asks:?}");
}

#[test]
fn draining_not_asked() {
    // Its entry says the same: nothing is to be asked, and it stays closed whatever it says.
    let mut board = board(&target(7, 0, false));
    board.record_leaving(SECOND, "b1", 7);
    board.set_targets([&target(7, 1, true)].into_iter());
    assert!(board.take_due_probes(100 * SECOND, 1.0).is_empty());
    board.record_active("b1", 7);
    assert_eq!(board.open_count(), 0);
}

#[test]
fn rest_holds() {
    let mut board = board(&target(7, 0, false));
    board.record_start("b1");
    board.record_backoff(SECOND, "b1", 7, 3 * SECOND);
    // The call that was under way ends well, and a second one is told less.
    board.record_success(SECOND, "b1");
    board.record_end("b1");
    board.record_backoff(SECOND, "b1", 7, SECOND / 10);
    board.set_targets([&target(7, 1, false)].into_iter());
    assert!(!board.has_open(3 * SECOND, &[]));
    assert_eq!(board.opens_at(2 * SECOND, &[]), Some(4 * SECOND));
    assert_eq!(board.backoff_until(2 * SECOND, "b1"), Some(4 * SECOND));
    assert!(board.has_open(4 * SECOND, &[]));
    assert_eq!(board.backoff_until(4 * SECOND, "b1"), None);
}

#[test]
fn back_by_degrees() {
    // One call, then twice as many with each round of good answers, until all its places are used.
    let mut board = board(&target(7, 0, false));
    board.record_backoff(Duration::ZERO, "b1", 7, SECOND);
    let mut now = SECOND;
    let mut rounds = Vec::new();
    for _ in 0..4 {
        let mut sent = 0;
        while board.is_open(now, "b1") && sent < 20 {
            board.record_start("b1");
            sent += 1;
        }
        rounds.push(sent);
        now += SECOND / 10;
        for _ in 0..sent {
            board.record_success(now, "b1");
            board.record_end("b1");
        }
    }
    assert_eq!(rounds, [1, 2, 4, 20]);
}

#[test]
fn rest_again() {
    // The next rest begins anew with one call.
    let mut board = board(&target(7, 0, false));
    board.record_backoff(Duration::ZERO, "b1", 7, SECOND);
    board.record_success(SECOND, "b1");
    board.record_backoff(SECOND, "b1", 7, SECOND);
    board.record_start("b1");
    assert!(!board.is_open(2 * SECOND, "b1"));
}

#[test]
fn endless_rest() {
    // It is kept whatever its length, and ends with the process.
    let mut board = board(&target(7, 0, false));
    board.record_backoff(SECOND, "b1", 7, Duration::MAX);
    assert!(!board.has_open(1_000_000 * SECOND, &[]));
    board.set_targets([&target(8, 0, false)].into_iter());
    assert!(board.has_open(SECOND, &[]));
}

#[test]
fn leaving_never_opens() {
    let mut board = board(&target(7, 0, false));
    board.record_backoff(SECOND, "b1", 7, SECOND);
    board.record_leaving(SECOND, "b1", 7);
    assert_eq!(board.opens_at(SECOND, &[]), None);
    // It is not asked whether it stays while it rests.
    board.record_backoff(SECOND, "b1", 7, 3 * ASKED_WITHIN);
    assert!(board
        .take_due_probes(SECOND + 2 * ASKED_WITHIN, 1.0)
        .is_empty());
    assert_eq!(
        board.take_due_probes(SECOND + 3 * ASKED_WITHIN, 1.0).len(),
        1
    );
}

/// Something that happens to a board.
#[derive(Clone, Debug)]
enum Step {
    Says(ProcessStart),
    Stays(ProcessStart),
    Listed(ProcessStart, bool),
    Unlisted,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..4_u64).prop_map(Step::Says),
        (1..4_u64).prop_map(Step::Stays),
        ((1..4_u64), any::<bool>()).prop_map(|(born, leaving)| Step::Listed(born, leaving)),
        Just(Step::Unlisted),
    ]
}

proptest! {
    #![proptest_config(histories(2000))]

    /// A process that said that it leaves is never open again, unless it says that it stays, or its entry
    /// was gone in between.
    #[test]
    fn never_open_again(steps in prop::collection::vec(step(), 1..60)) {
        let mut board = TargetTable::default();
        let mut said: BTreeMap<ProcessStart, bool> = BTreeMap::new();
        let mut listed: Option<(ProcessStart, bool)> = None;
        for (number, step) in steps.into_iter().enumerate() {
            let now: Moment = SECOND * u32::try_from(number).expect("few steps");
            match step {
                Step::Says(born) => {
                    board.record_leaving(now, "b1", born);
                    if listed.is_some_and(|(listed, _)| listed == born) {
                        said.insert(born, true);
                    }
                }
                Step::Stays(born) => {
                    board.record_active("b1", born);
                    said.remove(&born);
                }
                Step::Listed(born, leaving) => {
                    if listed.is_some_and(|(before, _)| before != born) {
                        said.clear();
                    }
                    listed = Some((born, leaving));
                    board.set_targets([&target(born, 0, leaving)].into_iter());
                }
                Step::Unlisted => {
                    listed = None;
                    said.clear();
                    board.set_targets([].into_iter());
                }
            }
            let is_open = listed.is_some_and(|(born, leaving)| !leaving && !said.contains_key(&born));
            prop_assert_eq!(board.open_count(), usize::from(is_open));
        }
    }
}
