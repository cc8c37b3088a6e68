//! Claims at a platform that comes back from a copy which lacks some of them.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::ClaimAction;
use turnford_fleet::ClaimCommitter;
use turnford_fleet::ClaimKey;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimVerdict;
use turnford_fleet::Moment;
use turnford_fleet::RangeRead;
use turnford_fleet::RangeWrite;
use turnford_fleet::Version;

const KEY: ClaimKey = [7; 16];

const ASK_LIFE: Duration = Duration::from_secs(5);

type StoredRange = (Version, Vec<u8>);

/// One committer and a platform whose calls work.
#[derive(Default)]
struct World {
    now: Moment,
    stored: StoredRange,
    range: ClaimCommitter,
}

impl World {
    /// Asks, and returns the answer.
    fn ask(&mut self, ask: ClaimRequest) -> ClaimVerdict {
        let ticket = self.range.submit(ask, self.now + ASK_LIFE).unwrap();
        for _ in 0..1000 {
            let verdicts = self.step();
            if let Some((_, verdict)) = verdicts.into_iter().find(|(known, _)| *known == ticket) {
                return verdict;
            }
        }
        panic!("{ask:?} was not answered");
    }

    fn step(&mut self) -> Vec<(u64, ClaimVerdict)> {
        self.now += Duration::from_millis(10);
        let step = self.range.step(self.now);
        let mut verdicts = step.verdicts;
        match step.action {
            Some(ClaimAction::Read) => {
                let (version, bytes) = self.stored.clone();
                self.range
                    .handle_read(self.now, RangeRead::Found(version, bytes));
            }
            Some(ClaimAction::Write { expected, bytes }) => {
                let write = if expected == self.stored.0 {
                    self.stored = (expected + 1, bytes);
                    RangeWrite::Accepted(expected + 1)
                } else {
                    RangeWrite::Conflict
                };
                verdicts.extend(self.range.handle_write(self.now, write));
            }
            None => {}
        }
        verdicts
    }

    /// Starts a committer that remembers nothing.
    fn replace(&mut self) {
        self.range = ClaimCommitter::new();
    }
}

fn owner(sequence: u64) -> ClaimOwner {
    ClaimOwner {
        incarnation: 1,
        sequence,
    }
}

fn take(key: ClaimKey, sequence: u64) -> ClaimRequest {
    ClaimRequest::Acquire(key, owner(sequence))
}

/// Guards against a second run of a request id whose claim was lost with the copy.
#[test]
fn lost_claim() {
    let mut world = World::default();
    assert_eq!(world.ask(take([1; 16], 1)), ClaimVerdict::Granted);
    let copy = world.stored.clone();
    assert_eq!(world.ask(take(KEY, 2)), ClaimVerdict::Granted);
    world.stored = copy;
    world.now += Duration::from_secs(10);
    assert!(matches!(world.ask(take(KEY, 3)), ClaimVerdict::Taken(_)));
    // It stands at the platform again, for committers that did not see it.
    assert_eq!(world.ask(take([2; 16], 4)), ClaimVerdict::Granted);
    world.replace();
    assert!(matches!(world.ask(take(KEY, 5)), ClaimVerdict::Taken(_)));
}

/// Guards against a second run of a request that ended after the platform lost its claim.
#[test]
fn lost_before_end() {
    let mut world = World::default();
    let copy = world.stored.clone();
    assert_eq!(world.ask(take(KEY, 1)), ClaimVerdict::Granted);
    world.stored = copy;
    world.replace();
    let finish = ClaimRequest::Finish(KEY, owner(1), 0);
    assert_eq!(world.ask(finish), ClaimVerdict::Granted);
    assert!(matches!(world.ask(take(KEY, 2)), ClaimVerdict::Taken(_)));
}

/// Guards against an id that stays taken though another committer gave it back.
#[test]
fn released_elsewhere() {
    let mut world = World::default();
    assert_eq!(world.ask(take(KEY, 1)), ClaimVerdict::Granted);
    let first = std::mem::take(&mut world.range);
    let release = ClaimRequest::Release(KEY, owner(1));
    assert_eq!(world.ask(release), ClaimVerdict::Granted);
    world.range = first;
    world.now += Duration::from_secs(10);
    assert_eq!(world.ask(take(KEY, 2)), ClaimVerdict::Granted);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Take(u8),
    Finish(u8),
    Wait(u64),
    Copy,
    Drill,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..4).prop_map(Event::Take),
        2 => (0_u8..4).prop_map(Event::Finish),
        2 => (1_u64..4000).prop_map(Event::Wait),
        1 => Just(Event::Copy),
        1 => Just(Event::Drill),
    ]
}

proptest! {
    #![proptest_config(common::histories(1000))]

    /// Each id is granted once while its committer lives, however often the platform goes back.
    #[test]
    fn granted_once(events in prop::collection::vec(event(), 1..60)) {
        let mut world = World::default();
        let mut copy = world.stored.clone();
        let mut granted: [Option<u64>; 4] = [None; 4];
        for (sequence, event) in events.into_iter().enumerate() {
            let sequence = sequence as u64;
            match event {
                Event::Take(key) => {
                    let verdict = world.ask(take([key; 16], sequence));
                    if verdict == ClaimVerdict::Granted {
                        let before = granted[usize::from(key)].replace(sequence);
                        prop_assert_eq!(before, None, "id {} was granted twice", key);
                    }
                }
                Event::Finish(key) => {
                    if let Some(sequence) = granted[usize::from(key)] {
                        world.ask(ClaimRequest::Finish([key; 16], owner(sequence), 0));
                    }
                }
                Event::Wait(millis) => world.now += Duration::from_millis(millis),
                Event::Copy => copy = world.stored.clone(),
                Event::Drill => world.stored = copy.clone(),
            }
        }
    }
}
