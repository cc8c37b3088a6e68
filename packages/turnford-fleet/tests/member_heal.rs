//! Detection of failures, restarts and healed partitions, in simulated time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use turnford_fleet::MemberState;
use turnford_fleet::MemberTable;
use turnford_fleet::MemberUpdate;
use turnford_fleet::Moment;

const TICK: Duration = Duration::from_millis(100);

/// Member tables that communicate by function calls. During a partition, even and odd members
/// cannot reach each other.
struct World {
    now: Moment,
    tables: Vec<MemberTable>,
    down: BTreeSet<usize>,
    is_partitioned: bool,
    longest: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let mut tables: Vec<MemberTable> = (0..count)
            .map(|number| MemberTable::new(update(number, 1), number as u64))
            .collect();
        // Each member knows one other; the rest is learned by gossip and full exchanges.
        for (number, table) in tables.iter_mut().enumerate().skip(1) {
            table.apply(Moment::ZERO, update(number - 1, 1));
        }
        let (down, is_partitioned) = (BTreeSet::new(), false);
        Self {
            now: Moment::ZERO,
            tables,
            down,
            is_partitioned,
            longest: 0,
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let cut = self.is_partitioned && (from % 2 != to % 2);
        !cut && !self.down.contains(&from) && !self.down.contains(&to)
    }

    /// Exchanges gossip in both directions. Returns false if the members cannot reach each other.
    fn ping(&mut self, from: usize, to: usize) -> bool {
        if !self.can_reach(from, to) {
            return false;
        }
        let there = self.tables[from].take_gossip(&name(to));
        let back = self.tables[to].take_gossip(&name(from));
        self.longest = self.longest.max(there.len()).max(back.len());
        for update in there {
            self.tables[to].apply(self.now, update);
        }
        for update in back {
            self.tables[from].apply(self.now, update);
        }
        if self.tables[from].checksum() != self.tables[to].checksum() {
            let list: Vec<MemberUpdate> = self.tables[to]
                .live()
                .map(|record| record.update.clone())
                .collect();
            for update in list {
                self.tables[from].apply(self.now, update);
            }
        }
        true
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            for number in 0..self.tables.len() {
                if !self.down.contains(&number) {
                    self.step_node(number);
                }
            }
            self.now += TICK;
        }
    }

    fn step_node(&mut self, number: usize) {
        let now = self.now;
        self.tables[number].expire(now);
        let Some(plan) = self.tables[number].probe_due(now) else {
            return;
        };
        let target = index(&plan.name);
        if self.ping(number, target) {
            return;
        }
        let helpers = self.tables[number].indirect_probes(&plan.name);
        let mut reached = false;
        for helper in helpers {
            let helper = index(&helper.name);
            reached |= self.can_reach(number, helper) && self.ping(helper, target);
        }
        if !reached {
            self.tables[number].record_probe_failure(now, &plan.name);
        }
    }

    fn counts(&self) -> Vec<usize> {
        let up = (0..self.tables.len()).filter(|number| !self.down.contains(number));
        up.map(|number| self.tables[number].live().count() + 1)
            .collect()
    }
}

fn update(number: usize, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: name(number),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        work_address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        hall: "hal-a".to_owned(),
        incarnation,
        state: MemberState::Alive,
    }
}

fn name(number: usize) -> String {
    format!("node-{number:03}")
}

fn index(name: &str) -> usize {
    name.trim_start_matches("node-")
        .parse()
        .expect("names are numbered")
}

#[test]
fn everyone_found() {
    let mut world = World::new(30);
    world.run(Duration::from_secs(20));
    assert!(
        world.counts().iter().all(|count| *count == 30),
        "{:?}",
        world.counts()
    );
    assert!(
        world.longest <= 6,
        "a message grew to {} updates",
        world.longest
    );
}

#[test]
fn death_found() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.down.insert(3);
    world.run(Duration::from_secs(15));
    assert!(
        world.counts().iter().all(|count| *count == 7),
        "{:?}",
        world.counts()
    );
}

#[test]
fn halves_heal() {
    let mut world = World::new(8);
    world.run(Duration::from_secs(10));
    world.is_partitioned = true;
    world.run(Duration::from_secs(30));
    assert!(
        world.counts().iter().all(|count| *count == 4),
        "{:?}",
        world.counts()
    );
    world.is_partitioned = false;
    world.run(Duration::from_secs(60));
    assert!(
        world.counts().iter().all(|count| *count == 8),
        "{:?}",
        world.counts()
    );
}

#[test]
fn old_incarnation() {
    let mut world = World::new(4);
    world.run(Duration::from_secs(5));
    world.down.insert(2);
    world.run(Duration::from_secs(15));
    // The process restarts under the same name with the lowest incarnation.
    world.tables[2] = MemberTable::new(update(2, 1), 99);
    world.tables[2].apply(world.now, update(0, 1));
    world.down.remove(&2);
    world.run(Duration::from_secs(20));
    assert!(
        world.counts().iter().all(|count| *count == 4),
        "{:?}",
        world.counts()
    );
    assert!(
        world.tables[2].own().incarnation > 1,
        "the old incarnation was not raised"
    );
}

#[test]
fn planned_leave() {
    let mut world = World::new(5);
    world.run(Duration::from_secs(5));
    world.tables[1].leave();
    world.ping(1, 0);
    world.ping(1, 2);
    world.down.insert(1);
    world.run(Duration::from_secs(3));
    let state = world.tables[4]
        .get("node-001")
        .map(|record| record.update.state);
    assert_eq!(state, Some(MemberState::Left));
}

#[test]
fn all_restarted() {
    // All processes restart at once, each having read old records of all others.
    const COUNT: usize = 60;
    let mut world = World::new(COUNT);
    for number in 0..COUNT {
        let mut table = MemberTable::new(update(number, 100), number as u64);
        for other in (0..COUNT).filter(|other| *other != number) {
            table.apply(world.now, update(other, 1));
        }
        world.tables[number] = table;
    }
    world.run(Duration::from_secs(8));
    for table in &world.tables {
        let old = table.live().filter(|record| record.update.incarnation == 1);
        assert_eq!(old.count(), 0, "old records at {}", table.own().name);
    }
}
