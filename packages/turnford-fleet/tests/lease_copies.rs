//! Leases on a platform that is restored from backups a few seconds old.

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

const DURATION: Duration = Duration::from_secs(60);

/// Age of the oldest backup that the platform is restored from.
const MAX_BACKUP_AGE: Duration = Duration::from_secs(6);

/// Time between two restores for which mutual exclusion is guaranteed without restore reports.
const MIN_RESTORE_INTERVAL: Duration = Duration::from_secs(12);

/// Time for which nodes may use what an earlier holder granted them.
const GRANT_TTL: Duration = Duration::from_secs(10);

/// Maximum time in milliseconds after which a write abandoned by its sender can still take effect.
const MAX_WRITE_DELAY_MS: u64 = 3000;

/// Maximum difference in milliseconds between the nodes' wall clocks.
const MAX_CLOCK_SKEW_MS: u64 = 500;

type StoredLease = (Version, Option<(Version, LeaseRecord)>);

/// A platform call in flight.
struct Call {
    holder: usize,
    action: LeaseAction,
    takes_effect_at: Moment,
    responds_at: Moment,
    /// Whether the sender receives the response.
    is_answered: bool,
    outcome: LeaseOutcome,
    /// Time since the platform's last restore, as reported in the response.
    restored_ago: Option<Duration>,
}

struct Node {
    holder: LeaseHolder,
    is_wanted: bool,
    paused_until: Moment,
    skew: u64,
    last_used_at: Option<Moment>,
}

struct World {
    rng: StdRng,
    now: Moment,
    stored: StoredLease,
    backups: VecDeque<StoredLease>,
    nodes: Vec<Node>,
    calls: Vec<Call>,
    last_token: Version,
    starts: u64,
    restores: usize,
    /// Time of the platform's last restore, and whether responses report it.
    restored_at: Option<Moment>,
    reports_restores: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            stored: (0, None),
            backups: VecDeque::new(),
            nodes: Vec::new(),
            calls: Vec::new(),
            last_token: 0,
            starts: 0,
            restores: 0,
            restored_at: None,
            reports_restores: false,
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
        let first_write_id = self.starts * 1_000_000;
        Node {
            holder: LeaseHolder::new(name, LeaseSettings::default(), first_write_id),
            is_wanted: self.rng.random_bool(0.5),
            paused_until: Moment::ZERO,
            skew: self.rng.random_range(0..MAX_CLOCK_SKEW_MS),
            last_used_at: None,
        }
    }

    fn random_event(&mut self, every: Duration) -> bool {
        self.rng
            .random_bool(TICK.as_secs_f64() / every.as_secs_f64())
    }

    /// Runs a simulation in which the platform is restored every `mean_interval` on average, with
    /// at least `min_interval` between restores.
    fn play(&mut self, mean_interval: Duration, min_interval: Duration) -> Result<(), String> {
        let mut last_restore = None;
        while self.now < DURATION {
            self.now += TICK;
            self.backups.push_back(self.stored.clone());
            if self.backups.len() > MAX_BACKUP_AGE.as_millis() as usize / TICK.as_millis() as usize
            {
                self.backups.pop_front();
            }
            self.process_calls();
            let is_due = last_restore.is_none_or(|last| self.now >= last + min_interval);
            if is_due && self.random_event(mean_interval) {
                last_restore = Some(self.now);
                self.restore();
            }
            for number in 0..HOLDERS {
                self.inject_faults(number);
                self.step(number);
                self.check(number)?;
            }
        }
        Ok(())
    }

    /// Restores a random earlier state. Versions issued since then are reused.
    fn restore(&mut self) {
        let oldest = self.backups.len();
        // Half of the backups are recent, so that only the latest renewals are lost.
        let newest = if self.rng.random_bool(0.5) {
            oldest * 9 / 10
        } else {
            0
        };
        let age = self.rng.random_range(newest..oldest);
        self.stored = self.backups[age].clone();
        self.backups.clear();
        self.backups.push_back(self.stored.clone());
        self.restores += 1;
        self.restored_at = Some(self.now);
    }

    fn inject_faults(&mut self, number: usize) {
        if self.random_event(Duration::from_secs(8)) {
            self.nodes[number].is_wanted = self.rng.random_bool(0.6);
        }
        if self.random_event(Duration::from_secs(20)) {
            let pause = Duration::from_millis(self.rng.random_range(100..9000));
            self.nodes[number].paused_until = self.now + pause;
        }
        if self.random_event(Duration::from_secs(40)) {
            let last_used_at = self.nodes[number].last_used_at;
            self.calls.iter_mut().for_each(|call| {
                call.is_answered &= call.holder != number;
                if call.holder == number {
                    call.responds_at = Moment::MAX;
                }
            });
            self.nodes[number] = self.start(number);
            self.nodes[number].last_used_at = last_used_at;
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
        let Some(action) = node.holder.step(now, node.is_wanted, false) else {
            return;
        };
        let mut millis =
            |from: u64, to: u64| Duration::from_millis(self.rng.random_range(from..to));
        let (takes_effect_at, responds_at) = match millis(0, 10).as_millis() {
            // Either slow, or abandoned by the sender and taking effect later.
            0 => (millis(10, 1500), millis(1500, 2000)),
            1 => (millis(10, MAX_WRITE_DELAY_MS), millis(10, 600)),
            _ => (millis(1, 10), millis(10, 30)),
        };
        self.calls.push(Call {
            holder: number,
            action,
            takes_effect_at: now + takes_effect_at,
            responds_at: now + responds_at,
            is_answered: takes_effect_at <= responds_at && self.rng.random_bool(0.9),
            outcome: LeaseOutcome::Failed,
            restored_ago: None,
        });
    }

    fn process_calls(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| call.takes_effect_at <= now) {
            call.takes_effect_at = Moment::MAX;
            call.outcome = apply_call(&mut self.stored, &call.action);
            if self.reports_restores {
                let ago = self.restored_at.map_or(Duration::MAX, |at| now - at);
                call.restored_ago = Some(ago);
            }
        }
        for call in &mut calls {
            let node = &mut self.nodes[call.holder];
            if call.responds_at > now || now < node.paused_until {
                continue;
            }
            call.responds_at = Moment::MAX;
            let outcome = std::mem::replace(&mut call.outcome, LeaseOutcome::Failed);
            let outcome = if call.is_answered {
                outcome
            } else {
                LeaseOutcome::Failed
            };
            node.holder.set_restored_ago(call.restored_ago.take());
            node.holder.handle_outcome(now, outcome);
        }
        calls.retain(|call| call.takes_effect_at < Moment::MAX || call.responds_at < Moment::MAX);
        self.calls = calls;
    }

    /// Lets a node act if its lease allows it, and checks that no other node may still be acting.
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
            if other != number
                && node
                    .last_used_at
                    .is_some_and(|last_used_at| last_used_at + longest > now)
            {
                return Err(format!(
                    "nodes {number} and {other} both act at {now:?}, after {} restores",
                    self.restores
                ));
            }
        }
        if token < self.last_token {
            let last = self.last_token;
            return Err(format!("token {token} after {last} at {now:?}"));
        }
        self.last_token = token;
        self.nodes[number].last_used_at = Some(now);
        Ok(())
    }
}

/// Applies a call to the platform's state.
fn apply_call(stored: &mut StoredLease, action: &LeaseAction) -> LeaseOutcome {
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

/// Runs a simulation in which restores are sufficiently far apart.
fn check_history(seed: u64) -> Result<(), String> {
    World::new(seed).play(Duration::from_secs(6), MIN_RESTORE_INTERVAL)
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::proptest_config(200) })]

    /// Only one node acts at a time, and tokens never decrease, however old the backup is.
    #[test]
    fn one_actor(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed), Ok(()));
    }

    /// The same for arbitrarily frequent restores, if the platform reports them.
    #[test]
    fn reported_restores(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.reports_restores = true;
        let end = world.play(Duration::from_secs(3), Duration::ZERO);
        prop_assert_eq!(end, Ok(()));
    }
}

/// Guards against continuing a wait across a restore that lost another node's acquisition.
#[test]
fn kept_returns() {
    let mut world = World::new(10_685_897_787_437_882_704);
    world.reports_restores = true;
    let end = world.play(Duration::from_secs(3), Duration::ZERO);
    assert_eq!(end, Ok(()));
}

/// One node, and a platform whose calls succeed immediately.
struct ReliableWorld {
    now: Moment,
    stored: StoredLease,
    holder: LeaseHolder,
    restored_ago: Option<Duration>,
}

impl ReliableWorld {
    /// Starts with a free lease.
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            stored: (0, None),
            holder: LeaseHolder::new("one".to_owned(), LeaseSettings::default(), 1),
            restored_ago: None,
        }
    }

    /// Makes the next call, if one is due.
    fn step(&mut self) {
        self.now += TICK;
        if let Some(action) = self.holder.step(self.now, true, false) {
            let outcome = apply_call(&mut self.stored, &action);
            self.holder.set_restored_ago(self.restored_ago);
            self.holder.handle_outcome(self.now, outcome);
        }
    }

    /// Steps until the lease is usable and returns the time this took.
    ///
    /// # Panics
    ///
    /// If it takes longer than nodes can use the grants of an earlier holder.
    fn acquire(&mut self) -> Duration {
        let began = self.now;
        while self.holder.token(self.now).is_none() {
            assert!(
                self.now < began + GRANT_TTL,
                "not usable within {GRANT_TTL:?}"
            );
            self.step();
        }
        self.now - began
    }

    /// Fails the next call that is due, and returns it.
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

fn record_of(holder: &str, first_write_id: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.to_owned(),
        write_id: first_write_id,
        clean: false,
        token: 1,
        pending: false,
    }
}

/// Guards against using a free lease whose previous holder was lost in a restore and has not
/// stopped yet.
#[test]
fn free_copy() {
    let mut world = ReliableWorld::new();
    let settings = LeaseSettings::default();
    let last_act = settings.duration - settings.margin + settings.max_action_time;
    assert!(world.acquire() >= last_act);
}

/// Guards against waiting for earlier holders although the platform reports that it was never
/// restored.
#[test]
fn reported_never() {
    let mut world = ReliableWorld::new();
    world.restored_ago = Some(Duration::MAX);
    assert!(world.acquire() < Duration::from_millis(100));
}

/// Guards against a lease that stays unused after the platform was restored.
#[test]
fn back_in_use() {
    for age in 0..12 {
        let mut world = ReliableWorld::new();
        world.acquire();
        let mut backups = Vec::new();
        for _ in 0..800 {
            backups.push(world.stored.clone());
            world.step();
        }
        world.stored = backups[backups.len() - 1 - age * 50].clone();
        // The lease stays in use until the next renewal reveals that it was lost.
        (0..100).for_each(|_| world.step());
        world.acquire();
    }
}

/// Guards against a takeover that completes only after the grants of the old holder have expired.
#[test]
fn lost_holder() {
    let mut world = ReliableWorld::new();
    world.stored = (7, Some((7, record_of("gone", 9))));
    world.acquire();
}

/// Guards against a holder that continues over another node's record because the record has the
/// same version as its own.
#[test]
fn reused_version() {
    let mut world = ReliableWorld::new();
    world.acquire();
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

/// Guards against a renewal that took effect after the lease had expired, replacing another node's
/// record of the same version.
#[test]
fn late_renewal() {
    let mut world = ReliableWorld::new();
    world.acquire();
    let action = loop {
        world.now += TICK;
        if let Some(action) = world.holder.step(world.now, true, false) {
            break action;
        }
    };
    world.now += LeaseSettings::default().duration;
    let outcome = apply_call(&mut world.stored, &action);
    assert!(matches!(outcome, LeaseOutcome::Accepted(_)));
    world.holder.handle_outcome(world.now, outcome);
    assert_eq!(world.holder.token(world.now), None);
    assert!(world.acquire() >= Duration::from_secs(4));
}
