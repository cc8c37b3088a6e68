//! Nodes tell each other of crashes, and stop once all know them.
//!
//! Guards against updates that nodes pass on to each other without end once there are more suspects than a node
//! remembers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_fleet::CrashEvent;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::Moment;
use turnford_policy::DIGEST_BYTES;

/// Nodes of the fleet, and how many of them a node notifies.
const NODES: usize = 20;
const FANOUT: usize = 6;

/// Updates in one message, and time for which they are batched, as in `turnford-serve`.
const MAX_UPDATES: usize = 64;
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Longest delay of a message.
const MAX_DELAY_MS: u64 = 40;

/// Time after the last crash within which nodes have to stop notifying each other.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Number of sent updates at which a test ends: those of its crashes are far fewer.
const MAX_SENT: usize = 1_000_000;

struct Node {
    table: CrashTable,
    pending: Vec<CrashUpdate>,
    sent_updates: usize,
}

struct Fleet {
    nodes: Vec<Node>,
    /// Receivers and updates of messages, by arrival.
    in_transit: BTreeMap<Moment, Vec<(usize, Vec<CrashUpdate>)>>,
    now: Moment,
    rng: StdRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let node = || Node {
            table: CrashTable::default(),
            pending: Vec::new(),
            sent_updates: 0,
        };
        Self {
            nodes: std::iter::repeat_with(node).take(NODES).collect(),
            in_transit: BTreeMap::new(),
            now: Duration::from_secs(1000),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A target crashes under a request of a node with the given keys.
    fn crash(&mut self, node: usize, target: &str, keys: std::ops::Range<usize>) {
        for key in keys {
            let mut digest = [0; DIGEST_BYTES];
            digest[..8].copy_from_slice(&(key as u64 + 1).to_le_bytes());
            let update = CrashUpdate {
                digest,
                event: CrashEvent::Crashed {
                    target: target.to_owned(),
                    born: 1,
                    part: CrashPart::Shared,
                    is_cleared: false,
                },
                age_ms: 0,
            };
            self.receive(node, &update);
        }
    }

    fn receive(&mut self, node: usize, update: &CrashUpdate) {
        let node = &mut self.nodes[node];
        if node.table.apply(self.now, update) {
            node.pending.push(update.clone());
        }
    }

    fn step(&mut self) {
        self.now += BATCH_DELAY;
        let later = self.in_transit.split_off(&self.now);
        let arrived = std::mem::replace(&mut self.in_transit, later);
        for (receiver, updates) in arrived.into_values().flatten() {
            for update in updates {
                self.receive(receiver, &update);
            }
        }
        for node in 0..NODES {
            let mut updates = std::mem::take(&mut self.nodes[node].pending);
            if updates.is_empty() {
                continue;
            }
            updates.truncate(MAX_UPDATES);
            self.nodes[node].sent_updates += updates.len() * FANOUT;
            for _ in 0..FANOUT {
                let receiver = self.rng.random_range(0..NODES);
                let delay = Duration::from_millis(self.rng.random_range(1..=MAX_DELAY_MS));
                let arriving = self.in_transit.entry(self.now + delay).or_default();
                arriving.push((receiver, updates.clone()));
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
            assert!(self.sent_updates() < MAX_SENT, "not at rest");
        }
    }

    fn sent_updates(&self) -> usize {
        self.nodes.iter().map(|node| node.sent_updates).sum()
    }
}

/// Runs a fleet until it should be at rest, and returns the number of updates that were sent, until then and
/// afterwards.
fn settle(fleet: &mut Fleet) -> (usize, usize) {
    fleet.run(QUIET_TIME);
    let sent = fleet.sent_updates();
    fleet.run(QUIET_TIME);
    (sent, fleet.sent_updates() - sent)
}

/// Checks that a fleet comes to rest, and that each node passes each update on once at most.
fn assert_rests(fleet: &mut Fleet, updates: usize) {
    let (sent, late) = settle(fleet);
    assert_eq!(late, 0, "updates are still sent, after {sent} before");
    assert!(sent <= updates * NODES * FANOUT, "{sent} sent");
}

#[test]
fn few_keys() {
    let mut fleet = Fleet::new(1);
    fleet.crash(0, "s0", 0..300);
    assert_rests(&mut fleet, 300);
}

#[test]
fn many_at_once() {
    // More suspects than a node remembers: an engine with 128 requests of eleven keys each.
    for seed in 1..4 {
        let mut fleet = Fleet::new(seed);
        for request in 0..128 {
            let node = fleet.rng.random_range(0..NODES);
            fleet.crash(node, "s0", request * 11..(request + 1) * 11);
        }
        assert_rests(&mut fleet, 128 * 11);
    }
}

#[test]
fn full_tables() {
    // All remembered suspects are more relevant than the new ones.
    for seed in 1..4 {
        let mut fleet = Fleet::new(seed);
        for target in ["s0", "s1"] {
            for node in 0..NODES {
                fleet.crash(node, target, 0..1024);
            }
        }
        let (before, _) = settle(&mut fleet);
        for number in 0..27 {
            let first = 2000 + number * 11;
            fleet.crash(number % NODES, "s2", first..first + 11);
        }
        let (sent, late) = settle(&mut fleet);
        assert_eq!(late, 0, "updates are still sent, after {sent} before");
        assert!(sent - before <= 297 * NODES * FANOUT, "{sent} sent");
    }
}

#[test]
fn many_crashes() {
    // One suspect with more crashes than a node keeps of it, all at the same time.
    for seed in 1..4 {
        let mut fleet = Fleet::new(seed);
        for target in 0..12 {
            fleet.crash(target, &format!("s{target}"), 0..1);
        }
        assert_rests(&mut fleet, 12);
    }
}
