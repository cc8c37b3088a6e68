//! The limits of targets, as one node knows them.

use std::time::Duration;

use turnford_policy::HeardWord;
use turnford_policy::LimitBoard;
use turnford_policy::LimitState;
use turnford_policy::LimitWord;
use turnford_policy::TargetBoard;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

const SECOND: Duration = Duration::from_secs(1);

fn id() -> TargetId {
    "b1".into()
}

fn listed(born: u64) -> TargetBoard {
    let target = TargetSpec {
        id: id(),
        born,
        service: "booking".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 6,
        orders: 0,
        leaving: false,
    };
    let mut board = TargetBoard::default();
    board.set_targets([target].iter());
    board
}

fn named(at: Duration) -> HeardWord {
    HeardWord {
        word: LimitWord::Rate(1.0),
        sent: at,
        heard: at,
    }
}

/// A board that knows of a limit of the first process.
fn limited() -> LimitBoard {
    let mut limits = LimitBoard::default();
    limits.keep_only(SECOND, &listed(1));
    assert_eq!(limits.hear(&id(), 1, named(SECOND)), Some(LimitState::Free));
    limits
}

#[test]
fn kept_at_once() {
    // Nothing more is sent without a permit, whoever divides knows of the limit or not.
    let mut limits = limited();
    assert!(!limits.enter(SECOND, "b1"));
    limits.add_permit("b1", 2 * SECOND);
    assert!(limits.enter(SECOND, "b1"));
    assert!(!limits.enter(SECOND, "b1"));
}

#[test]
fn permit_ends() {
    let mut limits = limited();
    limits.add_permit("b1", 2 * SECOND);
    assert!(!limits.enter(2 * SECOND, "b1"));
}

#[test]
fn missing_entry() {
    // An entry that lapses and is written again does not end a limit.
    let mut limits = limited();
    limits.keep_only(2 * SECOND, &TargetBoard::default());
    limits.keep_only(9 * SECOND, &listed(1));
    assert!(limits.has_limits());
    limits.keep_only(10 * SECOND, &TargetBoard::default());
    limits.keep_only(80 * SECOND, &TargetBoard::default());
    assert!(!limits.has_limits());
}

#[test]
fn other_process() {
    // Neither the limit of a process that has ended holds, nor another node's old word of it.
    let mut limits = limited();
    limits.keep_only(2 * SECOND, &listed(2));
    assert!(limits.enter(2 * SECOND, "b1"));
    assert!(!limits.set(2 * SECOND, &id(), 1, 9, LimitState::Limited(1.0)));
    assert_eq!(limits.hear(&id(), 1, named(2 * SECOND)), None);
    assert!(!limits.has_limits());
}

#[test]
fn numbered_words() {
    // The divider's words hold by their numbers; another divider's are numbered anew.
    let mut limits = limited();
    assert!(limits.set(SECOND, &id(), 1, 2, LimitState::Easing));
    assert!(!limits.set(SECOND, &id(), 1, 1, LimitState::Limited(4.0)));
    assert_eq!(limits.state("b1"), LimitState::Easing);
    limits.renumber();
    assert!(limits.set(SECOND, &id(), 1, 1, LimitState::Free));
    assert!(limits.enter(SECOND, "b1"));
}
