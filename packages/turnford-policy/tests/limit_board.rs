//! Limits of targets as known to one node.

use std::time::Duration;

use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;
use turnford_policy::LimitTable;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const SECOND: Duration = Duration::from_secs(1);

fn id() -> TargetId {
    "b1".into()
}

fn listed(process_start: u64) -> TargetTable {
    let target = TargetSpec {
        id: id(),
        process_start,
        service: "booking".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 6,
        orders: 0,
        leaving: false,
        version: None,
    };
    let mut table = TargetTable::default();
    table.set_targets([target].iter());
    table
}

fn observed(at: Duration) -> LimitObservation {
    LimitObservation {
        signal: LimitSignal::Rate(1.0),
        sent_at: at,
        received_at: at,
    }
}

/// Returns a table that knows a limit of the first process.
fn limited() -> LimitTable {
    let mut limits = LimitTable::default();
    limits.retain_listed(SECOND, &listed(1));
    assert_eq!(
        limits.observe(&id(), 1, observed(SECOND)),
        Some(LimitState::Free)
    );
    limits
}

#[test]
fn applies_at_once() {
    // Calls need a permit even before the allocator knows of the limit.
    let mut limits = limited();
    assert!(!limits.try_acquire(SECOND, "b1"));
    limits.add_permit("b1", 2 * SECOND);
    assert!(limits.try_acquire(SECOND, "b1"));
    assert!(!limits.try_acquire(SECOND, "b1"));
}

#[test]
fn permit_ends() {
    let mut limits = limited();
    limits.add_permit("b1", 2 * SECOND);
    assert!(!limits.try_acquire(2 * SECOND, "b1"));
}

#[test]
fn missing_entry() {
    // A store entry that lapses and is rewritten does not end a limit.
    let mut limits = limited();
    limits.retain_listed(2 * SECOND, &TargetTable::default());
    limits.retain_listed(9 * SECOND, &listed(1));
    assert!(limits.has_limits());
    limits.retain_listed(10 * SECOND, &TargetTable::default());
    limits.retain_listed(80 * SECOND, &TargetTable::default());
    assert!(!limits.has_limits());
}

#[test]
fn other_process() {
    // Neither the limit of an ended process nor another node's old announcement of it applies.
    let mut limits = limited();
    limits.retain_listed(2 * SECOND, &listed(2));
    assert!(limits.try_acquire(2 * SECOND, "b1"));
    assert!(!limits.apply(2 * SECOND, &id(), 1, 9, LimitState::Limited(1.0)));
    assert_eq!(limits.observe(&id(), 1, observed(2 * SECOND)), None);
    assert!(!limits.has_limits());
}

#[test]
fn sequenced_announcements() {
    // The allocator's announcements apply by sequence number, and a new allocator starts its own.
    let mut limits = limited();
    assert!(limits.apply(SECOND, &id(), 1, 2, LimitState::Easing));
    assert!(!limits.apply(SECOND, &id(), 1, 1, LimitState::Limited(4.0)));
    assert_eq!(limits.state("b1"), LimitState::Easing);
    limits.reset_sequences();
    assert!(limits.apply(SECOND, &id(), 1, 1, LimitState::Free));
    assert!(limits.try_acquire(SECOND, "b1"));
}
