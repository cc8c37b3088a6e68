//! Nodes tell each other that targets are brittle, for as long as these announce it.
//!
//! Guards against announcements that nodes pass on to each other without end.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_policy::BrittleSignal;
use turnford_policy::Moment;

const NODES: usize = 200;

/// Nodes that a node notifies.
const FANOUT: usize = 6;

/// Time after the last announcement from which on no node counts targets as brittle.
const END_TIME: Duration = Duration::from_secs(8);

/// Nodes with messages between them, some of which are late.
struct Fleet {
    nodes: Vec<BrittleSignal>,
    /// Messages by arrival and number: receiver and age of the announcement.
    in_transit: BTreeMap<(Moment, usize), (usize, Duration)>,
    sent: usize,
    now: Moment,
    rng: StdRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            nodes: vec![BrittleSignal::default(); NODES],
            in_transit: BTreeMap::new(),
            sent: 0,
            now: Duration::from_secs(100),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn announce(&mut self, node: usize, at: Moment) {
        if !self.nodes[node].record_announcement(self.now, at) {
            return;
        }
        for _ in 0..FANOUT {
            let mut delay_ms = self.rng.random_range(1..20);
            if self.rng.random_bool(0.05) {
                delay_ms += self.rng.random_range(0..1500);
            }
            let arrival = self.now + Duration::from_millis(delay_ms);
            let receiver = self.rng.random_range(0..NODES);
            self.sent += 1;
            let key = (arrival, self.sent);
            self.in_transit.insert(key, (receiver, self.now - at));
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(first) = self.in_transit.first_entry() {
            if first.key().0 > until {
                break;
            }
            let ((arrival, _), (receiver, age)) = first.remove_entry();
            self.now = arrival;
            self.announce(receiver, arrival.saturating_sub(age));
        }
        self.now = until;
    }

    fn brittle_count(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|signal| signal.is_brittle(self.now)).count()
    }
}

#[test]
fn one_announcement() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.announce(0, fleet.now);
        fleet.run(Duration::from_millis(200));
        assert!(fleet.brittle_count() > NODES * 9 / 10);
        fleet.run(END_TIME);
        assert_eq!(fleet.brittle_count(), 0);
        assert!(fleet.sent <= NODES * FANOUT, "{} messages", fleet.sent);
        assert!(fleet.in_transit.is_empty());
    }
}

#[test]
fn lasting_announcements() {
    // One node gets responses of the targets; all nodes know for as long as it does.
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        for second in 0..30 {
            for _ in 0..10 {
                fleet.announce(0, fleet.now);
                fleet.run(Duration::from_millis(100));
            }
            assert!(fleet.brittle_count() > NODES * 9 / 10, "second {second}");
        }
        // Half of the messages that one in each second would be.
        assert!(fleet.sent <= 16 * NODES * FANOUT, "{} messages", fleet.sent);
        fleet.run(END_TIME);
        assert_eq!(fleet.brittle_count(), 0);
    }
}

#[test]
fn ended_announcements() {
    let mut signal = BrittleSignal::default();
    let at = Duration::from_secs;
    assert!(signal.record_announcement(at(10), at(10)));
    signal.record_absence(at(11), at(9));
    assert!(signal.is_brittle(at(11)), "the call was sent before");
    signal.record_absence(at(12), at(11));
    assert!(!signal.is_brittle(at(12)));
    assert!(!signal.record_announcement(at(20), at(14)), "outdated");
}
