//! Allocation of the room of targets that fail when they reject too many requests.
//!
//!
//! Guards against an allocator that sends more to a target than it has room for, or that sends
//! further requests right after a rejection.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::Moment;
use turnford_fleet::PermitDecision;
use turnford_fleet::QueuedRequest;
use turnford_fleet::RoomAllocator;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

/// Time after a rejection in which the target gets no request.
const REJECTION_PAUSE: Duration = Duration::from_millis(500);

const TARGETS: usize = 3;

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn targets(slots: u32) -> Vec<TargetSpec> {
    let target = |number: usize| TargetSpec {
        id: format!("t{number}").into(),
        service: "booking".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "hal-a".into(),
        slots,
        process_start: 1,
        orders: 0,
        leaving: false,
        version: None,
    };
    (0..TARGETS).map(target).collect()
}

fn request(number: u64, now: Moment) -> QueuedRequest {
    QueuedRequest {
        number,
        ranks: (1, 1),
        requested_at: now,
        deadline: now + Duration::from_secs(3),
    }
}

/// Sends a request if it is granted, and returns its target.
fn send(
    allocator: &mut RoomAllocator,
    now: Moment,
    number: u64,
    targets: &[TargetSpec],
) -> Option<TargetId> {
    let decision = allocator.request(now, &request(number, now), targets);
    if decision != PermitDecision::Granted {
        return None;
    }
    let target = allocator.free_targets(now, targets).first().cloned();
    let target = target.expect("a granted request has a target");
    allocator.start(now, number, &target, now + Duration::from_secs(4));
    Some(target)
}

#[test]
fn starts_small() {
    let targets = targets(64);
    let mut allocator = RoomAllocator::default();
    let sent = (0..20).filter_map(|number| send(&mut allocator, at(0), number, &targets));
    assert_eq!(sent.count(), TARGETS, "one for each target");
}

#[test]
fn grows_until_rejection() {
    let targets = &targets(8)[..1];
    let mut allocator = RoomAllocator::default();
    let mut number = 0;
    for round in 0..5 {
        let now = at(100 * round);
        let first = number;
        while send(&mut allocator, now, number, targets).is_some() {
            number += 1;
        }
        for ticket in first..number {
            allocator.end(now + Duration::from_millis(50), ticket);
        }
    }
    let now = at(600);
    let first = number;
    while send(&mut allocator, now, number, targets).is_some() {
        number += 1;
    }
    assert_eq!(number - first, 8, "all slots are used");
    allocator.record_rejection(now, number - 1);
    assert!(send(&mut allocator, at(1000), number, targets).is_none());
    assert_eq!(allocator.in_use("t0"), 7);
}

#[test]
fn new_process() {
    let mut listed = targets(2);
    let mut allocator = RoomAllocator::default();
    assert!(send(&mut allocator, at(0), 1, &listed).is_some());
    for target in &mut listed {
        target.process_start = 2;
    }
    send(&mut allocator, at(10), 2, &listed);
    assert!(listed
        .iter()
        .all(|target| allocator.in_use(&target.id) <= 1));
    allocator.end(at(20), 1);
    let all: usize = listed
        .iter()
        .map(|target| allocator.in_use(&target.id))
        .sum();
    assert_eq!(
        all, 1,
        "the end of a run at the old process changes nothing"
    );
}

#[test]
fn new_term() {
    // Another node has allocated in the meantime, so what targets accept is unknown again.
    let targets = &targets(4)[..1];
    let mut allocator = RoomAllocator::default();
    allocator.begin_term(1);
    for number in 0..4 {
        let now = at(100 * number);
        assert!(send(&mut allocator, now, number, targets).is_some());
        allocator.end(now + Duration::from_millis(50), number);
    }
    allocator.begin_term(1);
    assert!(send(&mut allocator, at(400), 10, targets).is_some());
    assert!(
        send(&mut allocator, at(400), 11, targets).is_some(),
        "the same term goes on"
    );
    allocator.end(at(450), 10);
    allocator.end(at(450), 11);
    allocator.begin_term(3);
    assert!(send(&mut allocator, at(500), 20, targets).is_some());
    assert!(
        send(&mut allocator, at(500), 21, targets).is_none(),
        "a new term starts small"
    );
}

#[derive(Clone, Debug)]
enum Event {
    Request,
    End(usize),
    Reject,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Request),
        3 => (0_usize..100).prop_map(Event::End),
        1 => Just(Event::Reject),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]

    /// No target gets more than its slots at the same time, or a request in the pause after a
    /// rejection of one that was sent last.
    #[test]
    fn room_kept(
        slots in 1_u32..6,
        events in prop::collection::vec((0_u64..60, event()), 1..300),
    ) {
        let targets = targets(slots);
        let mut allocator = RoomAllocator::default();
        let mut now = at(1);
        let mut running: Vec<(u64, TargetId)> = Vec::new();
        let mut rejected: BTreeMap<TargetId, Moment> = BTreeMap::new();
        for (number, (pause, event)) in events.into_iter().enumerate() {
            now += at(pause);
            match event {
                Event::Request => {
                    let number = number as u64;
                    if let Some(target) = send(&mut allocator, now, number, &targets) {
                        let last = rejected.get(&target);
                        prop_assert!(last.is_none_or(|last| now >= *last + REJECTION_PAUSE));
                        running.push((number, target));
                    }
                }
                Event::End(index) if !running.is_empty() => {
                    let (ticket, _) = running.remove(index % running.len());
                    allocator.end(now, ticket);
                }
                Event::Reject => {
                    if let Some((ticket, target)) = running.pop() {
                        allocator.record_rejection(now, ticket);
                        rejected.entry(target).or_insert(now);
                    }
                }
                Event::End(_) => {}
            }
            rejected.retain(|_, at| now < *at + REJECTION_PAUSE);
            for target in &targets {
                let count = running.iter().filter(|(_, id)| *id == target.id).count();
                prop_assert!(count <= slots as usize);
                prop_assert_eq!(allocator.in_use(&target.id), count);
            }
        }
    }
}
