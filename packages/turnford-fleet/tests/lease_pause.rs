//! Competing holders of one lease that are suspended, lose responses and restart.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_fleet::LeaseSettings;
use turnford_fleet::Moment;
use turnford_fleet::Version;

const HOLDERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Event {
    Step {
        holder: usize,
        wanted: bool,
    },
    EndCall {
        holder: usize,
        effect: bool,
        answered: bool,
        delayed: bool,
    },
    DeliverLate,
    Restart {
        holder: usize,
    },
    Wait {
        millis: u64,
    },
    /// The platform's state is saved to a backup.
    Snapshot,
    /// The platform is restored from the backup, and versions are reused.
    Restore,
}

struct World {
    now: Moment,
    record: Option<(Version, LeaseRecord)>,
    revision: Version,
    delayed: Vec<(Version, LeaseRecord)>,
    holders: Vec<LeaseHolder>,
    calls: Vec<Option<LeaseAction>>,
    /// Latest time at which each holder may have started an action.
    last_used_at: Vec<Option<Moment>>,
    tokens: Vec<(Version, usize)>,
    restarts: u64,
    snapshot: (Option<(Version, LeaseRecord)>, Version),
    /// Whether the platform was restored, in which case tokens may have decreased.
    was_restored: bool,
}

impl World {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            record: None,
            revision: 0,
            delayed: Vec::new(),
            holders: (0..HOLDERS).map(|number| holder(number, 0)).collect(),
            calls: vec![None; HOLDERS],
            last_used_at: vec![None; HOLDERS],
            tokens: Vec::new(),
            restarts: 0,
            snapshot: (None, 0),
            was_restored: false,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Step { holder, wanted } => {
                let action = self.holders[holder].step(self.now, wanted, false);
                if action.is_some() {
                    self.calls[holder] = action;
                }
            }
            Event::EndCall {
                holder,
                effect,
                answered,
                delayed,
            } => {
                if let Some(action) = self.calls[holder].take() {
                    let outcome = self.apply_call(action, effect, delayed);
                    let outcome = if answered {
                        outcome
                    } else {
                        LeaseOutcome::Failed
                    };
                    self.holders[holder].handle_outcome(self.now, outcome);
                }
            }
            Event::DeliverLate => {
                if !self.delayed.is_empty() {
                    let (expected, record) = self.delayed.remove(0);
                    self.write(expected, record);
                }
            }
            Event::Restart { holder: number } => {
                self.restarts += 1;
                if let Some(LeaseAction::Write { expected, record }) = self.calls[number].take() {
                    self.delayed.push((expected, record));
                }
                self.holders[number] = holder(number, self.restarts * 1_000_000);
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
            Event::Snapshot => self.snapshot = (self.record.clone(), self.revision),
            Event::Restore => {
                (self.record, self.revision) = self.snapshot.clone();
                self.was_restored = true;
            }
        }
    }

    fn apply_call(&mut self, action: LeaseAction, effect: bool, delayed: bool) -> LeaseOutcome {
        match action {
            LeaseAction::Read => LeaseOutcome::Found(self.record.clone()),
            LeaseAction::Write { expected, record } if effect => self.write(expected, record),
            LeaseAction::Write { expected, record } => {
                if delayed {
                    self.delayed.push((expected, record));
                }
                LeaseOutcome::Failed
            }
        }
    }

    fn write(&mut self, expected: Version, record: LeaseRecord) -> LeaseOutcome {
        let current = self.record.as_ref().map_or(0, |(version, _)| *version);
        if current != expected {
            return LeaseOutcome::Conflict;
        }
        self.revision += 1;
        self.record = Some((self.revision, record));
        LeaseOutcome::Accepted(self.revision)
    }

    /// Checks that the actions of two holders cannot overlap, and that tokens increase from holder
    /// to holder.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let longest = LeaseSettings::default().max_action_time;
        for number in 0..HOLDERS {
            let Some(token) = self.holders[number].token(self.now) else {
                continue;
            };
            for other in (0..HOLDERS).filter(|other| *other != number) {
                let over = self.last_used_at[other]
                    .is_none_or(|last_used_at| last_used_at + longest <= self.now);
                prop_assert!(
                    over,
                    "holder {number} starts while an action of {other} may still take effect"
                );
            }
            self.last_used_at[number] = Some(self.now);
            let known = self.tokens.last().copied();
            if let Some((last, holder)) = known.filter(|_| !self.was_restored) {
                prop_assert!(
                    token >= last,
                    "token {token} of {number} after {last} of {holder}"
                );
            }
            self.tokens.push((token, number));
        }
        Ok(())
    }
}

fn holder(number: usize, first_write_id: u64) -> LeaseHolder {
    let first_mark = first_write_id + number as u64 * 1_000;
    LeaseHolder::new(
        format!("node-{number}"),
        LeaseSettings::default(),
        first_mark,
    )
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    prop_oneof![
        6 => (holder.clone(), prop::bool::weighted(0.9))
            .prop_map(|(holder, wanted)| Event::Step { holder, wanted }),
        6 => (holder.clone(), prop::bool::weighted(0.8), prop::bool::weighted(0.8), any::<bool>())
            .prop_map(|(holder, effect, answered, delayed)| {
                Event::EndCall { holder, effect, answered, delayed }
            }),
        1 => Just(Event::DeliverLate),
        1 => holder.prop_map(|holder| Event::Restart { holder }),
        4 => (1_u64..2500).prop_map(|millis| Event::Wait { millis }),
    ]
}

/// Events including restores of the platform.
fn event_with_restores() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => event(),
        1 => Just(Event::Snapshot),
        1 => Just(Event::Restore),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(4000))]

    /// Guards against two holders after a restore lost acknowledged writes and versions are reused.
    /// Two ways led there: a lease missing from the backup was acquired at once, while its holder
    /// continued for up to the lease duration; and a takeover that waited on a version matched a
    /// reused one. Tokens may decrease.
    #[test]
    fn one_through_drills(events in prop::collection::vec(event_with_restores(), 1..200)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            world.check()?;
        }
    }

    #[test]
    fn one_holder(events in prop::collection::vec(event(), 1..200)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            world.check()?;
        }
    }
}

/// Steps one holder for some time with all calls succeeding.
fn run(world: &mut World, holder: usize, duration: Duration) {
    let end = world.now + duration;
    while world.now < end {
        world.apply(Event::Step {
            holder,
            wanted: true,
        });
        world.apply(Event::EndCall {
            holder,
            effect: true,
            answered: true,
            delayed: false,
        });
        world.apply(Event::Wait { millis: 100 });
    }
}

#[test]
fn slept_holder() {
    let mut world = World::new();
    run(&mut world, 0, Duration::from_secs(5));
    assert!(world.holders[0].token(world.now).is_some());
    // The holder is suspended. When it resumes, it checks its own clock first.
    world.now += Duration::from_secs(60);
    assert_eq!(world.holders[0].token(world.now), None);
}

#[test]
fn lost_renewal() {
    let mut world = World::new();
    run(&mut world, 0, Duration::from_secs(2));
    world.apply(Event::Wait { millis: 1000 });
    world.apply(Event::Step {
        holder: 0,
        wanted: true,
    });
    world.apply(Event::EndCall {
        holder: 0,
        effect: true,
        answered: false,
        delayed: false,
    });
    // The next read shows by the write id that the renewal took effect, so the lease stays held.
    run(&mut world, 0, Duration::from_secs(5));
    assert!(world.holders[0].token(world.now).is_some());
}

#[test]
fn dead_holder() {
    let mut world = World::new();
    run(&mut world, 0, Duration::from_secs(2));
    run(&mut world, 1, Duration::from_secs(8));
    assert!(
        world.holders[1].token(world.now).is_some(),
        "nobody took over"
    );
    assert_eq!(world.holders[1].term().map(|(_, clean)| clean), Some(false));
}
