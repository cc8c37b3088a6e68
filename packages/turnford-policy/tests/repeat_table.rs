//! Nodes tell each other of targets that repeat responses, within a bound of messages.
//!
//! Guards against nodes that each lose a request to a target that others know, and against observations that nodes
//! pass on to each other without end.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::proptest_config;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_policy::Moment;
use turnford_policy::RepeatTable;
use turnford_policy::TargetId;

/// Nodes that a node notifies.
const FANOUT: usize = 6;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);

/// Upper bound of the time for which a target is remembered after its last repeated response.
const MEMORY: Duration = Duration::from_secs(31);

/// Messages that a node may send within a time.
fn message_limit(elapsed: Duration) -> usize {
    9 + elapsed.as_secs() as usize / 4
}

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// Receiver, and each target with the age of its observation.
type Message = (usize, Vec<(TargetId, Duration)>);

/// Nodes with messages between them, each delayed by a random time.
struct Fleet {
    nodes: Vec<RepeatTable>,
    sent: Vec<usize>,
    /// Messages by arrival.
    in_transit: BTreeMap<Moment, Vec<Message>>,
    max_delay_ms: u64,
    now: Moment,
    rng: StdRng,
}

impl Fleet {
    fn new(size: usize, max_delay_ms: u64, seed: u64) -> Self {
        Self {
            nodes: vec![RepeatTable::default(); size],
            sent: vec![0; size],
            in_transit: BTreeMap::new(),
            max_delay_ms,
            now: at(1_000_000),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn observe(&mut self, node: usize, target: &str) {
        self.nodes[node].record_repeat(self.now, target, self.now);
    }

    fn step(&mut self) {
        self.now += STEP;
        let later = self.in_transit.split_off(&self.now);
        let arrived = std::mem::replace(&mut self.in_transit, later);
        for (receiver, updates) in arrived.into_values().flatten() {
            for (target, age) in updates {
                let seen_at = self.now.saturating_sub(age);
                self.nodes[receiver].record_repeat(self.now, &target, seen_at);
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].message_wait(self.now) == Some(Duration::ZERO) {
                self.send(node);
            }
        }
    }

    fn send(&mut self, node: usize) {
        let message = self.nodes[node].take_message(self.now);
        assert!(message.len() <= 16, "{} in one message", message.len());
        self.sent[node] += 1;
        let updates: Vec<_> = message
            .into_iter()
            .map(|(target, seen_at)| (target, self.now - seen_at))
            .collect();
        for _ in 0..FANOUT {
            let receiver = self.rng.random_range(0..self.nodes.len());
            let delay = self.rng.random_range(1..=self.max_delay_ms);
            let arrival = self.now + at(delay);
            let arriving = self.in_transit.entry(arrival).or_default();
            arriving.push((receiver, updates.clone()));
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn knowing(&self, target: &str) -> usize {
        let tables = self.nodes.iter();
        let knowing = tables.filter(|table| table.is_expected(self.now, target));
        knowing.count()
    }
}

#[test]
fn all_hear() {
    let mut fleet = Fleet::new(880, 20, 1);
    fleet.observe(17, "b1");
    fleet.run(Duration::from_millis(500));
    assert!(fleet.knowing("b1") > 870, "{} know", fleet.knowing("b1"));
    assert!(fleet.sent.iter().all(|sent| *sent <= 1));
}

#[test]
fn renewed_memory() {
    // Each node keeps the target in mind while any of them still observes it, without a gap.
    let mut fleet = Fleet::new(100, 20, 2);
    fleet.observe(0, "b1");
    fleet.run(Duration::from_secs(1));
    let known = fleet.knowing("b1");
    for second in 0..120 {
        fleet.observe(second % 3, "b1");
        fleet.run(Duration::from_secs(1));
        assert!(fleet.knowing("b1") >= known.min(98), "second {second}");
    }
    fleet.run(MEMORY);
    assert_eq!(fleet.knowing("b1"), 0);
}

#[test]
fn all_targets() {
    // All of 4,500 targets repeat responses for half a minute.
    const TARGETS: usize = 4500;
    let mut fleet = Fleet::new(8, 20, 3);
    let started_at = fleet.now;
    for _ in 0..30 {
        for target in 0..TARGETS {
            let node = fleet.rng.random_range(0..fleet.nodes.len());
            fleet.observe(node, &format!("b{target}"));
        }
        fleet.run(Duration::from_secs(1));
    }
    let limit = message_limit(fleet.now - started_at);
    assert!(fleet.sent.iter().all(|sent| *sent <= limit));
    for table in &fleet.nodes {
        assert!(table.expected_count(fleet.now) <= TARGETS);
    }
}

#[test]
fn unlisted_target() {
    let mut table = RepeatTable::default();
    assert!(table.record_repeat(at(0), "b1", at(0)));
    table.retain_listed(|_| false);
    assert!(!table.is_expected(at(1), "b1"));
    assert_eq!(table.message_wait(at(1)), None);
}

#[test]
fn old_news() {
    let mut table = RepeatTable::default();
    assert!(!table.record_repeat(at(40_000), "b1", at(0)));
    assert!(!table.is_expected(at(40_000), "b1"));
}

proptest! {
    #![proptest_config(proptest_config(60))]

    /// Whatever the delays are, news ends with what was observed, and is bounded until then.
    #[test]
    fn news_ends(
        size in 2_usize..60,
        max_delay_ms in 1_u64..3000,
        seed in any::<u64>(),
        observations in prop::collection::vec((0_usize..60, 0_usize..30, 0_u64..4000), 1..60),
    ) {
        let mut fleet = Fleet::new(size, max_delay_ms, seed);
        let started_at = fleet.now;
        for (node, target, pause_ms) in observations {
            fleet.observe(node % size, &format!("b{target}"));
            fleet.run(at(pause_ms));
        }
        let limit = message_limit(fleet.now - started_at);
        prop_assert!(fleet.sent.iter().all(|sent| *sent <= limit));
        fleet.run(MEMORY + at(max_delay_ms));
        let before = fleet.sent.clone();
        fleet.run(MEMORY);
        prop_assert_eq!(&before, &fleet.sent, "news goes on");
        prop_assert!(fleet.nodes.iter().all(|table| table.expected_count(fleet.now) == 0));
    }
}
