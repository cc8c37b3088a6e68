//! The list of targets with lapsed entries, and its updates between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use turnford_policy::Moment;
use turnford_policy::StorePosition;
use turnford_policy::TargetList;
use turnford_policy::TargetSpec;

fn target(number: usize, leaving: bool) -> TargetSpec {
    TargetSpec {
        id: Arc::from(format!("t{number}")),
        process_start: 0,
        service: Arc::from("sprog"),
        address: SocketAddr::from(([10, 0, 0, 1], 9000)),
        hall: Arc::from("hal-a"),
        slots: 4,
        orders: 0,
        leaving,
        version: None,
    }
}

fn secs(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

#[test]
fn lapse_returns() {
    let mut list = TargetList::default();
    list.put(target(1, false));
    list.put(target(2, false));
    list.record_store_lost(secs(10.0));
    list.record_store_recovered(secs(14.0));
    list.replace_all(secs(14.0), StorePosition::new(0, 9), Vec::new());
    assert_eq!(list.targets().len(), 2);
    list.put(target(1, false));
    list.expire(secs(16.3));
    assert!(list.targets().contains_key("t1"));
    assert!(!list.targets().contains_key("t2"));
}

#[test]
fn short_loss() {
    // Entries can't lapse within a second, so missing ones were removed.
    let mut list = TargetList::default();
    list.put(target(1, false));
    list.record_store_lost(secs(10.0));
    list.record_store_recovered(secs(11.0));
    list.remove(secs(11.0), "t1");
    assert!(list.targets().is_empty());
}

#[test]
fn leaving_gone() {
    let mut list = TargetList::default();
    list.put(target(1, true));
    list.record_store_lost(secs(10.0));
    list.record_store_recovered(secs(14.0));
    list.remove(secs(14.0), "t1");
    assert!(list.targets().is_empty());
}

#[test]
fn lapse_learned() {
    // A node that learns of a lapsed target from another one removes it at the same time.
    let mut first = TargetList::default();
    first.put(target(1, false));
    first.record_store_lost(secs(10.0));
    first.record_store_recovered(secs(14.0));
    first.remove(secs(14.0), "t1");
    let mut second = TargetList::default();
    assert!(second.apply_update(secs(14.0), first.position(), first.updates_since(None)));
    assert_eq!(second.targets().len(), 1);
    second.expire(secs(16.3));
    assert!(second.targets().is_empty());
}

#[test]
fn rejects_outdated() {
    let mut list = TargetList::default();
    list.advance_to(StorePosition::new(0, 7));
    list.put(target(1, false));
    let old = TargetList::default();
    assert!(!list.apply_update(secs(0.0), StorePosition::new(0, 6), old.updates_since(None)));
    assert_eq!(list.targets().len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Put(usize, bool),
    Remove(usize),
    Ask,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..12, any::<bool>()).prop_map(|(number, leaving)| Step::Put(number, leaving)),
        3 => (0_usize..12).prop_map(Step::Remove),
        2 => Just(Step::Ask),
    ]
}

proptest! {
    #[test]
    fn updates_agree(steps in prop::collection::vec(step(), 1..900)) {
        // A node that applies all updates, in whatever portions, knows the same targets as their
        // sender.
        let mut sender = TargetList::default();
        let mut receiver = TargetList::default();
        let mut cursor = None;
        for (revision, step) in (1_u64..).zip(steps) {
            sender.advance_to(StorePosition::new(0, revision));
            match step {
                Step::Put(number, leaving) => sender.put(target(number, leaving)),
                Step::Remove(number) => sender.remove(Moment::ZERO, &format!("t{number}")),
                Step::Ask => {
                    prop_assert!(receiver.apply_update(
                        secs(0.0),
                        sender.position(),
                        sender.updates_since(cursor),
                    ));
                    cursor = Some(sender.newest_change());
                    prop_assert_eq!(receiver.targets(), sender.targets());
                }
            }
        }
        prop_assert!(receiver.apply_update(
            secs(0.0),
            sender.position(),
            sender.updates_since(cursor),
        ));
        prop_assert_eq!(receiver.targets(), sender.targets());
    }
}
