//! Links of a node to its targets: which calls go through another node.
//!
//!
//! Guards against nodes that take a target that they can't reach for down, and against nodes that
//! wait for links that are known to be down.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::CallPath;
use turnford_policy::LinkTable;
use turnford_policy::Moment;

const TARGETS: [&str; 6] = ["t0", "t1", "t2", "t3", "t4", "t5"];

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

#[test]
fn down_for_all() {
    let mut table = LinkTable::default();
    table.record_contact(at(0), "t1");
    table.record_failure(at(100), "t0");
    assert_eq!(table.path(at(110), "t0"), CallPath::Direct);
    table.record_peer_failure(at(120), "t0");
    assert!(!table.may_ask_peers(at(200), "t0"));
    assert!(table.may_ask_peers(at(2000), "t0"));
    assert_eq!(table.lost_count(), 0);
}

#[test]
fn lost_here() {
    let mut table = LinkTable::default();
    table.record_contact(at(0), "t1");
    table.record_failure(at(100), "t0");
    assert!(table.record_peer_contact("t0"));
    assert!(!table.record_peer_contact("t0"), "reported once");
    assert_eq!(table.path(at(1000), "t0"), CallPath::Relayed);
    assert_eq!(table.path(at(1000), "t1"), CallPath::Direct);
    assert!(!table.is_isolated());
    assert!(table.record_contact(at(900), "t0"));
    assert_eq!(table.path(at(1000), "t0"), CallPath::Direct);
}

#[test]
fn isolated_node() {
    let mut table = LinkTable::default();
    table.record_contact(at(0), "t5");
    for (number, id) in TARGETS[..3].iter().enumerate() {
        assert!(!table.is_isolated());
        table.record_failure(at(100 + number as u64), id);
    }
    assert!(table.is_isolated());
    assert_eq!(
        table.path(at(1000), "t5"),
        CallPath::Relayed,
        "not waited for"
    );
    table.record_contact(at(500), "t5");
    assert!(!table.is_isolated());
    assert_eq!(
        table.path(at(1000), "t0"),
        CallPath::Direct,
        "no peer reached it"
    );
}

/// Guards against a node that takes itself for isolated for as long as three targets are down.
#[test]
fn down_targets_end() {
    let mut table = LinkTable::default();
    for id in &TARGETS[..3] {
        table.record_failure(at(100), id);
    }
    assert_eq!(table.path(at(200), "t5"), CallPath::Relayed);
    table.record_peer_contact("t5");
    assert_eq!(table.take_due_probes(at(300), 9), vec!["t5".into()]);
    table.record_contact(at(310), "t5");
    assert_eq!(table.path(at(320), "t5"), CallPath::Direct);
    assert_eq!(table.path(at(320), "t4"), CallPath::Direct);
}

#[test]
fn probes_spread() {
    let mut table = LinkTable::default();
    for id in TARGETS {
        table.record_failure(at(0), id);
    }
    assert!(table.take_due_probes(at(100), 4).is_empty());
    assert_eq!(table.take_due_probes(at(600), 4).len(), 4);
    assert_eq!(table.take_due_probes(at(600), 4).len(), 2);
    assert!(table.take_due_probes(at(700), 4).is_empty());
    table.expedite_probes(at(700));
    assert_eq!(table.take_due_probes(at(700), 9).len(), 6);
}

#[test]
fn silent_target() {
    let mut table = LinkTable::default();
    let sent = at(1000);
    table.record_contact(at(1200), "t1");
    assert!(!table.take_check(at(1300), "t0", sent), "others respond");
    assert!(table.take_check(at(1600), "t0", sent), "nobody responds");
    assert!(!table.take_check(at(2000), "t0", sent), "just checked");
    table.record_contact(at(3900), "t1");
    assert!(table.take_check(at(3950), "t0", sent));
}

#[derive(Clone, Debug)]
enum Event {
    Contact(usize),
    Failure(usize),
    PeerContact(usize),
    PeerFailure(usize),
    Probes,
}

fn event() -> impl Strategy<Value = Event> {
    let target = 0..TARGETS.len();
    prop_oneof![
        target.clone().prop_map(Event::Contact),
        target.clone().prop_map(Event::Failure),
        target.clone().prop_map(Event::PeerContact),
        target.prop_map(Event::PeerFailure),
        Just(Event::Probes),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]

    /// A call is relayed only after its target, or several ones, were not reached by this node since
    /// the last contact, which the table assumes of further targets then, and a lost link is probed
    /// at least once a second.
    #[test]
    fn relayed_with_reason(events in prop::collection::vec((1_u64..300, event()), 1..200)) {
        let mut table = LinkTable::default();
        let mut now = 0;
        let mut failed: BTreeMap<usize, u64> = BTreeMap::new();
        // Targets that were to be called while the node was isolated.
        let mut assumed: BTreeSet<usize> = BTreeSet::new();
        let mut last_contact = None;
        for (pause, event) in events {
            now += pause;
            match event {
                Event::Contact(target) => {
                    table.record_contact(at(now), TARGETS[target]);
                    failed.remove(&target);
                    assumed.remove(&target);
                    last_contact = Some(now);
                }
                Event::Failure(target) => {
                    table.record_failure(at(now), TARGETS[target]);
                    failed.insert(target, now);
                }
                Event::PeerContact(target) => {
                    table.record_peer_contact(TARGETS[target]);
                }
                Event::PeerFailure(target) => table.record_peer_failure(at(now), TARGETS[target]),
                Event::Probes => {
                    table.take_due_probes(at(now), TARGETS.len());
                    let due = table.clone().take_due_probes(at(now + 1000), TARGETS.len());
                    prop_assert!(due.len() >= table.lost_count());
                }
            }
            let since = failed.values().filter(|at| last_contact.is_none_or(|last| last < **at));
            let is_isolated = since.count() >= 3;
            prop_assert_eq!(table.is_isolated(), is_isolated);
            for (number, id) in TARGETS.iter().enumerate() {
                if is_isolated {
                    assumed.insert(number);
                }
                let has_reason = failed.contains_key(&number) || assumed.contains(&number);
                prop_assert!(table.path(at(now), id) == CallPath::Direct || has_reason);
                prop_assert!(!table.is_lost(id) || has_reason);
            }
        }
    }
}
