//! Leases at a platform that comes back from a copy which is some seconds old.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_fleet::LeaseSettings;
use turnford_fleet::Moment;
use turnford_fleet::Version;

const HOLDERS: usize = 3;

const TICK: Duration = Duration::from_millis(10);

const SPAN: Duration = Duration::from_secs(60);

/// Age of the oldest copy that the platform comes back from.
const COPY_AGE: Duration = Duration::from_secs(6);

/// Time between two such returns for which the lease is proved to hold.
const DRILL_PAUSE: Duration = Duration::from_secs(12);

/// Time for which nodes go on with what a holder lent them.
const GRANT_LIFE: Duration = Duration::from_secs(10);

/// Longest time for which a write can still take effect after its sender gave it up.
const LATE: u64 = 3000;

/// Difference between the nodes' times of day.
const SKEW: u64 = 500;

type StoredLease = (Version, Option<(Version, LeaseRecord)>);

/// A call under way at the platform.
struct Call {
    holder: usize,
    action: LeaseAction,
    lands: Moment,
    ends: Moment,
    /// Whether its sender gets the answer.
    is_answered: bool,
    answer: LeaseOutcome,
    /// What the answer tells of the platform's last return.
    restored_ago: Option<Duration>,
}

struct Node {
    holder: LeaseHolder,
    wants: bool,
    paused_until: Moment,
    skew: u64,
    used: Option<Moment>,
}

struct World {
    rng: StdRng,
    now: Moment,
    stored: StoredLease,
    copies: VecDeque<StoredLease>,
    nodes: Vec<Node>,
    calls: Vec<Call>,
    last_token: Version,
    starts: u64,
    drills: usize,
    /// When the platform last came back, and whether its answers tell.
    restored_at: Option<Moment>,
    tells: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            stored: (0, None),
            copies: VecDeque::new(),
            nodes: Vec::new(),
            calls: Vec::new(),
            last_token: 0,
            starts: 0,
            drills: 0,
            restored_at: None,
            tells: false,
        };
        for number in 0..HOLDERS {
            let node = world.start(number);
            world.nodes.push(node);
        }
        world
    }

    fn start(&mut self, number: usize) -> Node {
        self.starts += 1;
        let name = format!("node-{number}");
        let mark = self.starts * 1_000_000;
        Node {
            holder: LeaseHolder::new(name, LeaseSettings::default(), mark),
            wants: self.rng.random_bool(0.5),
            paused_until: Moment::ZERO,
            skew: self.rng.random_range(0..SKEW),
            used: None,
        }
    }

    fn is_hit(&mut self, every: Duration) -> bool {
        self.rng
            .random_bool(TICK.as_secs_f64() / every.as_secs_f64())
    }

    /// Plays a history in which the platform comes back from a copy about as often as that, at least
    /// `pause` apart.
    fn play(&mut self, drill_every: Duration, pause: Duration) -> Result<(), String> {
        let mut last_drill = None;
        while self.now < SPAN {
            self.now += TICK;
            self.copies.push_back(self.stored.clone());
            if self.copies.len() > COPY_AGE.as_millis() as usize / TICK.as_millis() as usize {
                self.copies.pop_front();
            }
            self.land_calls();
            let is_due = last_drill.is_none_or(|last| self.now >= last + pause);
            if is_due && self.is_hit(drill_every) {
                last_drill = Some(self.now);
                self.drill();
            }
            for number in 0..HOLDERS {
                self.disturb(number);
                self.step(number);
                self.check(number)?;
            }
        }
        Ok(())
    }

    /// Goes back to what was stored some time ago; versions are given out again.
    fn drill(&mut self) {
        let oldest = self.copies.len();
        // Half of the copies are fresh: what they lost is what was renewed a moment ago.
        let newest = if self.rng.random_bool(0.5) {
            oldest * 9 / 10
        } else {
            0
        };
        let age = self.rng.random_range(newest..oldest);
        self.stored = self.copies[age].clone();
        self.copies.clear();
        self.copies.push_back(self.stored.clone());
        self.drills += 1;
        self.restored_at = Some(self.now);
    }

    fn disturb(&mut self, number: usize) {
        if self.is_hit(Duration::from_secs(8)) {
            self.nodes[number].wants = self.rng.random_bool(0.6);
        }
        if self.is_hit(Duration::from_secs(20)) {
            let pause = Duration::from_millis(self.rng.random_range(100..9000));
            self.nodes[number].paused_until = self.now + pause;
        }
        if self.is_hit(Duration::from_secs(40)) {
            let used = self.nodes[number].used;
            self.calls.iter_mut().for_each(|call| {
                call.is_answered &= call.holder != number;
                if call.holder == number {
                    call.ends = Moment::MAX;
                }
            });
            self.nodes[number] = self.start(number);
            self.nodes[number].used = used;
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if now < node.paused_until {
            return;
        }
        let time_of_day = 1_000_000 + now.as_millis() as u64 + node.skew;
        node.holder.raise_token_floor(time_of_day);
        let Some(action) = node.holder.step(now, node.wants, false) else {
            return;
        };
        let mut millis =
            |from: u64, to: u64| Duration::from_millis(self.rng.random_range(from..to));
        let (lands, ends) = match millis(0, 10).as_millis() {
            // Slow on the way, or given up and landing later.
            0 => (millis(10, 1500), millis(1500, 2000)),
            1 => (millis(10, LATE), millis(10, 600)),
            _ => (millis(1, 10), millis(10, 30)),
        };
        self.calls.push(Call {
            holder: number,
            action,
            lands: now + lands,
            ends: now + ends,
            is_answered: lands <= ends && self.rng.random_bool(0.9),
            answer: LeaseOutcome::Failed,
            restored_ago: None,
        });
    }

    fn land_calls(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| call.lands <= now) {
            call.lands = Moment::MAX;
            call.answer = perform(&mut self.stored, &call.action);
            if self.tells {
                let ago = self.restored_at.map_or(Duration::MAX, |at| now - at);
                call.restored_ago = Some(ago);
            }
        }
        for call in &mut calls {
            let node = &mut self.nodes[call.holder];
            if call.ends > now || now < node.paused_until {
                continue;
            }
            call.ends = Moment::MAX;
            let answer = std::mem::replace(&mut call.answer, LeaseOutcome::Failed);
            let answer = if call.is_answered {
                answer
            } else {
                LeaseOutcome::Failed
            };
            node.holder.set_restored_ago(call.restored_ago.take());
            node.holder.handle_outcome(now, answer);
        }
        calls.retain(|call| call.lands < Moment::MAX || call.ends < Moment::MAX);
        self.calls = calls;
    }

    /// Lets a node begin an act if its lease allows it, and checks it against those of the others.
    fn check(&mut self, number: usize) -> Result<(), String> {
        let now = self.now;
        if now < self.nodes[number].paused_until {
            return Ok(());
        }
        let Some(token) = self.nodes[number].holder.token(now) else {
            return Ok(());
        };
        let longest = LeaseSettings::default().max_action_time;
        for (other, node) in self.nodes.iter().enumerate() {
            if other != number && node.used.is_some_and(|used| used + longest > now) {
                return Err(format!(
                    "{number} and {other} act at {now:?}, {} returns",
                    self.drills
                ));
            }
        }
        if token < self.last_token {
            let last = self.last_token;
            return Err(format!("token {token} after {last} at {now:?}"));
        }
        self.last_token = token;
        self.nodes[number].used = Some(now);
        Ok(())
    }
}

/// Performs a call at the platform.
fn perform(stored: &mut StoredLease, action: &LeaseAction) -> LeaseOutcome {
    let (revision, record) = stored;
    match action {
        LeaseAction::Read => LeaseOutcome::Found(record.clone()),
        LeaseAction::Write { expected, .. }
            if record.as_ref().map_or(0, |(version, _)| *version) != *expected =>
        {
            LeaseOutcome::Conflict
        }
        LeaseAction::Write { record: new, .. } => {
            *revision += 1;
            *record = Some((*revision, new.clone()));
            LeaseOutcome::Accepted(*revision)
        }
    }
}

/// Plays a history with returns far enough apart.
fn check_history(seed: u64) -> Result<(), String> {
    World::new(seed).play(Duration::from_secs(6), DRILL_PAUSE)
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::histories(200) })]

    /// One node acts at a time, and tokens never fall, however old the copy is.
    #[test]
    fn one_actor(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed), Ok(()));
    }

    /// The same however often the platform comes back, where it tells.
    #[test]
    fn told_returns(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.tells = true;
        let end = world.play(Duration::from_secs(3), Duration::ZERO);
        prop_assert_eq!(end, Ok(()));
    }
}

/// Guards against a wait that goes on over a return in which another node's taking was lost.
#[test]
fn kept_returns() {
    let mut world = World::new(10_685_897_787_437_882_704);
    world.tells = true;
    let end = world.play(Duration::from_secs(3), Duration::ZERO);
    assert_eq!(end, Ok(()));
}

/// One node and a platform whose calls work at once.
struct CalmWorld {
    now: Moment,
    stored: StoredLease,
    holder: LeaseHolder,
    restored_ago: Option<Duration>,
}

impl CalmWorld {
    /// Starts before a free lease.
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            stored: (0, None),
            holder: LeaseHolder::new("one".to_owned(), LeaseSettings::default(), 1),
            restored_ago: None,
        }
    }

    /// Makes the call that is due, if there is one.
    fn step(&mut self) {
        self.now += TICK;
        if let Some(action) = self.holder.step(self.now, true, false) {
            let answer = perform(&mut self.stored, &action);
            self.holder.set_restored_ago(self.restored_ago);
            self.holder.handle_outcome(self.now, answer);
        }
    }

    /// Steps until the lease is in use; returns the time that it took.
    ///
    /// # Panics
    ///
    /// If it takes longer than nodes can go on with what an earlier holder lent them.
    fn await_use(&mut self) -> Duration {
        let began = self.now;
        while self.holder.token(self.now).is_none() {
            assert!(
                self.now < began + GRANT_LIFE,
                "not in use for {GRANT_LIFE:?}"
            );
            self.step();
        }
        self.now - began
    }

    /// Lets the next call that is due fail, and returns it.
    fn fail_call(&mut self) -> LeaseAction {
        loop {
            self.now += TICK;
            if let Some(action) = self.holder.step(self.now, true, false) {
                self.holder.handle_outcome(self.now, LeaseOutcome::Failed);
                return action;
            }
        }
    }
}

fn record_of(holder: &str, mark: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        write_id: mark,
        clean: false,
        token: 1,
        pending: false,
    }
}

/// Guards against use of a free lease whose holder was lost with the copy and has not stopped yet.
#[test]
fn free_copy() {
    let mut world = CalmWorld::new();
    let settings = LeaseSettings::default();
    let last_act = settings.duration - settings.margin + settings.max_action_time;
    assert!(world.await_use() >= last_act);
}

/// Guards against a wait for holders that there can't be: the platform tells that it never came back.
#[test]
fn told_never() {
    let mut world = CalmWorld::new();
    world.restored_ago = Some(Duration::MAX);
    assert!(world.await_use() < Duration::from_millis(100));
}

/// Guards against a lease that stays unused after the platform came back from a copy.
#[test]
fn back_in_use() {
    for age in 0..12 {
        let mut world = CalmWorld::new();
        world.await_use();
        let mut copies = Vec::new();
        for _ in 0..800 {
            copies.push(world.stored.clone());
            world.step();
        }
        world.stored = copies[copies.len() - 1 - age * 50].clone();
        // It is in use until the next renewal tells that it is lost.
        (0..100).for_each(|_| world.step());
        world.await_use();
    }
}

/// Guards against a takeover that comes after the grants of the old holder are over.
#[test]
fn lost_holder() {
    let mut world = CalmWorld::new();
    world.stored = (7, Some((7, record_of("gone", 9))));
    world.await_use();
}

/// Guards against a holder that goes on over another's record, since that has the version of its own.
#[test]
fn reused_version() {
    let mut world = CalmWorld::new();
    world.await_use();
    let (version, _) = world.stored.1.clone().unwrap();
    world.stored.1 = Some((version, record_of("two", 9)));
    world.fail_call();
    (0..100).for_each(|_| world.step());
    assert_eq!(world.holder.token(world.now), None);
    let (_, record) = world.stored.1.unwrap();
    assert_eq!(
        record.holder, "two",
        "replaced the record of another holder"
    );
}

/// Guards against a renewal that took effect after the lease had ended, over another's record of the same
/// version.
#[test]
fn late_renewal() {
    let mut world = CalmWorld::new();
    world.await_use();
    let action = loop {
        world.now += TICK;
        if let Some(action) = world.holder.step(world.now, true, false) {
            break action;
        }
    };
    world.now += LeaseSettings::default().duration;
    let answer = perform(&mut world.stored, &action);
    assert!(matches!(answer, LeaseOutcome::Accepted(_)));
    world.holder.handle_outcome(world.now, answer);
    assert_eq!(world.holder.token(world.now), None);
    assert!(world.await_use() >= Duration::from_secs(4));
}
