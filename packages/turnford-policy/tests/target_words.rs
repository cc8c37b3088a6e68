//! State that a target announces itself overrides its store entry, and ends with its process.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::proptest_config;
use proptest::prelude::*;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::TargetSpec;
use turnford_policy::TargetTable;

const SECOND: Duration = Duration::from_secs(1);

/// Maximum time until a target that may stay is probed, so that no announcement holds forever.
const PROBED_WITHIN: Duration = Duration::from_secs(20);

fn target(process_start: ProcessStart, orders: u64, leaving: bool) -> TargetSpec {
    TargetSpec {
        id: Arc::from("b1"),
        process_start,
        service: Arc::from("booking"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: Arc::from("a"),
        slots: 6,
        orders,
        leaving,
        version: None,
    }
}

fn table(spec: &TargetSpec) -> TargetTable {
    let mut table = TargetTable::default();
    table.set_targets([spec].into_iter());
    table
}

#[test]
fn holds_against_entry() {
    let spec = target(7, 3, false);
    let mut table = table(&spec);
    assert!(table.record_leaving(SECOND, "b1", 7));
    assert!(!table.record_leaving(SECOND, "b1", 7));
    assert_eq!(table.open_count(), 0);
    table.set_targets([&target(7, 4, false)].into_iter());
    assert_eq!(table.open_count(), 0);
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
        let mut table = table(&before);
        table.record_leaving(SECOND, "b1", before.process_start);
        table.set_targets([&after].into_iter());
        assert_eq!(
            table.open_count(),
            usize::from(is_open),
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn gone_and_back() {
    let spec = target(0, 0, false);
    let mut table = table(&spec);
    table.record_leaving(SECOND, "b1", 0);
    table.set_targets([].into_iter());
    table.set_targets([&spec].into_iter());
    assert_eq!(table.open_count(), 1);
}

#[test]
fn older_process() {
    // A late announcement of the previous process does not apply to this one.
    let mut table = table(&target(8, 0, false));
    assert!(!table.record_leaving(SECOND, "b1", 7));
    assert_eq!(table.open_count(), 1);
}

#[test]
fn probed_in_time() {
    let mut table = table(&target(7, 0, false));
    table.record_leaving(SECOND, "b1", 7);
    assert!(table.take_due_probes(2 * SECOND, 1.0).is_empty());
    let at = SECOND + PROBED_WITHIN;
    assert_eq!(table.take_due_probes(at, 1.0).len(), 1);
    // It is probed once, and again after no answer.
    assert!(table.take_due_probes(at + SECOND, 1.0).is_empty());
    assert_eq!(table.take_due_probes(at + PROBED_WITHIN, 1.0).len(), 1);
    table.record_active("b1", 7);
    assert_eq!(table.open_count(), 1);
    assert!(table
        .take_due_probes(at + 3 * PROBED_WITHIN, 1.0)
        .is_empty());
}

#[test]
fn probes_spread() {
    // Nodes that learn of the announcement together probe over several seconds.
    let probed_at = |jitter: f64| {
        let mut table = table(&target(7, 0, false));
        table.record_leaving(SECOND, "b1", 7);
        let due = |second: &u32| !table.take_due_probes(*second * SECOND, jitter).is_empty();
        (1..60).find(due).expect("a question")
    };
    let probes: std::collections::BTreeSet<u32> = (0..20)
        .map(|node| probed_at(f64::from(node) / 20.0))
        .collect();
    assert!(probes.len() >= 6, "{probes:?}");
}

#[test]
fn draining_not_probed() {
    // Its store entry says the same: it is not probed, and stays closed whatever it announces.
    let mut table = table(&target(7, 0, false));
    table.record_leaving(SECOND, "b1", 7);
    table.set_targets([&target(7, 1, true)].into_iter());
    assert!(table.take_due_probes(100 * SECOND, 1.0).is_empty());
    table.record_active("b1", 7);
    assert_eq!(table.open_count(), 0);
}

#[test]
fn backoff_holds() {
    let mut table = table(&target(7, 0, false));
    table.record_start("b1");
    table.record_backoff(SECOND, "b1", 7, 3 * SECOND);
    // The call in flight succeeds, and a second one gets a shorter backoff.
    table.record_success(SECOND, "b1");
    table.record_end("b1");
    table.record_backoff(SECOND, "b1", 7, SECOND / 10);
    table.set_targets([&target(7, 1, false)].into_iter());
    assert!(!table.has_open(3 * SECOND, &[]));
    assert_eq!(table.opens_at(2 * SECOND, &[]), Some(4 * SECOND));
    assert_eq!(table.backoff_until(2 * SECOND, "b1"), Some(4 * SECOND));
    assert!(table.has_open(4 * SECOND, &[]));
    assert_eq!(table.backoff_until(4 * SECOND, "b1"), None);
}

#[test]
fn back_by_degrees() {
    // One call, then twice as many with each round of successes, until all its slots are used.
    let mut table = table(&target(7, 0, false));
    table.record_backoff(Duration::ZERO, "b1", 7, SECOND);
    let mut now = SECOND;
    let mut rounds = Vec::new();
    for _ in 0..4 {
        let mut sent = 0;
        while table.is_open(now, "b1") && sent < 20 {
            table.record_start("b1");
            sent += 1;
        }
        rounds.push(sent);
        now += SECOND / 10;
        for _ in 0..sent {
            table.record_success(now, "b1");
            table.record_end("b1");
        }
    }
    assert_eq!(rounds, [1, 2, 4, 20]);
}

#[test]
fn backoff_again() {
    // The next backoff starts with one call again.
    let mut table = table(&target(7, 0, false));
    table.record_backoff(Duration::ZERO, "b1", 7, SECOND);
    table.record_success(SECOND, "b1");
    table.record_backoff(SECOND, "b1", 7, SECOND);
    table.record_start("b1");
    assert!(!table.is_open(2 * SECOND, "b1"));
}

#[test]
fn endless_backoff() {
    // The backoff holds whatever its length, and ends with the process.
    let mut table = table(&target(7, 0, false));
    table.record_backoff(SECOND, "b1", 7, Duration::MAX);
    assert!(!table.has_open(1_000_000 * SECOND, &[]));
    table.set_targets([&target(8, 0, false)].into_iter());
    assert!(table.has_open(SECOND, &[]));
}

#[test]
fn leaving_never_opens() {
    let mut table = table(&target(7, 0, false));
    table.record_backoff(SECOND, "b1", 7, SECOND);
    table.record_leaving(SECOND, "b1", 7);
    assert_eq!(table.opens_at(SECOND, &[]), None);
    // It is not probed for whether it stays during a backoff.
    table.record_backoff(SECOND, "b1", 7, 3 * PROBED_WITHIN);
    assert!(table
        .take_due_probes(SECOND + 2 * PROBED_WITHIN, 1.0)
        .is_empty());
    assert_eq!(
        table.take_due_probes(SECOND + 3 * PROBED_WITHIN, 1.0).len(),
        1
    );
}

/// An event of a table.
#[derive(Clone, Debug)]
enum Step {
    Leaving(ProcessStart),
    Active(ProcessStart),
    Listed(ProcessStart, bool),
    Unlisted,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..4_u64).prop_map(Step::Leaving),
        (1..4_u64).prop_map(Step::Active),
        ((1..4_u64), any::<bool>())
            .prop_map(|(process_start, leaving)| Step::Listed(process_start, leaving)),
        Just(Step::Unlisted),
    ]
}

proptest! {
    #![proptest_config(proptest_config(2000))]

    /// A process that announced that it is leaving is never open again, unless it announces that it
    /// is active or its store entry was missing in between.
    #[test]
    fn never_open_again(steps in prop::collection::vec(step(), 1..60)) {
        let mut table = TargetTable::default();
        let mut announced: BTreeMap<ProcessStart, bool> = BTreeMap::new();
        let mut listed: Option<(ProcessStart, bool)> = None;
        for (number, step) in steps.into_iter().enumerate() {
            let now: Moment = SECOND * u32::try_from(number).expect("few steps");
            match step {
                Step::Leaving(process_start) => {
                    table.record_leaving(now, "b1", process_start);
                    if listed.is_some_and(|(listed, _)| listed == process_start) {
                        announced.insert(process_start, true);
                    }
                }
                Step::Active(process_start) => {
                    table.record_active("b1", process_start);
                    announced.remove(&process_start);
                }
                Step::Listed(process_start, leaving) => {
                    if listed.is_some_and(|(before, _)| before != process_start) {
                        announced.clear();
                    }
                    listed = Some((process_start, leaving));
                    table.set_targets([&target(process_start, 0, leaving)].into_iter());
                }
                Step::Unlisted => {
                    listed = None;
                    announced.clear();
                    table.set_targets([].into_iter());
                }
            }
            let is_open = listed.is_some_and(|(process_start, leaving)| {
                !leaving && !announced.contains_key(&process_start)
            });
            prop_assert_eq!(table.open_count(), usize::from(is_open));
        }
    }
}
