//! Claims on a platform that is restored from a backup without some of them.

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

const REQUEST_TTL: Duration = Duration::from_secs(5);

type StoredBlock = (Version, Vec<u8>);

/// One committer, and a platform whose calls always succeed.
#[derive(Default)]
struct World {
    now: Moment,
    stored: StoredBlock,
    committer: ClaimCommitter,
}

impl World {
    /// Submits a request and returns its verdict.
    fn request(&mut self, request: ClaimRequest) -> ClaimVerdict {
        let ticket = self
            .committer
            .submit(request, self.now + REQUEST_TTL)
            .unwrap();
        for _ in 0..1000 {
            let verdicts = self.step();
            if let Some((_, verdict)) = verdicts.into_iter().find(|(known, _)| *known == ticket) {
                return verdict;
            }
        }
        panic!("{request:?} got no verdict");
    }

    fn step(&mut self) -> Vec<(u64, ClaimVerdict)> {
        self.now += Duration::from_millis(10);
        let step = self.committer.step(self.now);
        let mut verdicts = step.verdicts;
        match step.action {
            Some(ClaimAction::Read) => {
                let (version, bytes) = self.stored.clone();
                self.committer
                    .handle_read(self.now, RangeRead::Found(version, bytes));
            }
            Some(ClaimAction::Write { expected, bytes }) => {
                let write = if expected == self.stored.0 {
                    self.stored = (expected + 1, bytes);
                    RangeWrite::Accepted(expected + 1)
                } else {
                    RangeWrite::Conflict
                };
                verdicts.extend(self.committer.handle_write(self.now, write));
            }
            None => {}
        }
        verdicts
    }

    /// Replaces the committer by one without any state.
    fn replace(&mut self) {
        self.committer = ClaimCommitter::new();
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

/// Guards against running a request id twice after its claim was lost in a restore.
#[test]
fn lost_claim() {
    let mut world = World::default();
    assert_eq!(world.request(take([1; 16], 1)), ClaimVerdict::Granted);
    let snapshot = world.stored.clone();
    assert_eq!(world.request(take(KEY, 2)), ClaimVerdict::Granted);
    world.stored = snapshot;
    world.now += Duration::from_secs(10);
    assert!(matches!(
        world.request(take(KEY, 3)),
        ClaimVerdict::Taken(_)
    ));
    // The claim is stored again, so that committers that never saw it find it.
    assert_eq!(world.request(take([2; 16], 4)), ClaimVerdict::Granted);
    world.replace();
    assert!(matches!(
        world.request(take(KEY, 5)),
        ClaimVerdict::Taken(_)
    ));
}

/// Guards against running a request twice if it finished after its claim was lost.
#[test]
fn lost_before_end() {
    let mut world = World::default();
    let snapshot = world.stored.clone();
    assert_eq!(world.request(take(KEY, 1)), ClaimVerdict::Granted);
    world.stored = snapshot;
    world.replace();
    let finish = ClaimRequest::Finish(KEY, owner(1), 0);
    assert_eq!(world.request(finish), ClaimVerdict::Granted);
    assert!(matches!(
        world.request(take(KEY, 2)),
        ClaimVerdict::Taken(_)
    ));
}

/// Guards against an id that stays taken although another committer released it.
#[test]
fn released_elsewhere() {
    let mut world = World::default();
    assert_eq!(world.request(take(KEY, 1)), ClaimVerdict::Granted);
    let first = std::mem::take(&mut world.committer);
    let release = ClaimRequest::Release(KEY, owner(1));
    assert_eq!(world.request(release), ClaimVerdict::Granted);
    world.committer = first;
    world.now += Duration::from_secs(10);
    assert_eq!(world.request(take(KEY, 2)), ClaimVerdict::Granted);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Acquire(u8),
    Finish(u8),
    Wait(u64),
    Snapshot,
    Restore,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..4).prop_map(Event::Acquire),
        2 => (0_u8..4).prop_map(Event::Finish),
        2 => (1_u64..4000).prop_map(Event::Wait),
        1 => Just(Event::Snapshot),
        1 => Just(Event::Restore),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(1000))]

    /// Each id is granted once during the lifetime of its committer, regardless of how often the
    /// platform is restored.
    #[test]
    fn granted_once(events in prop::collection::vec(event(), 1..60)) {
        let mut world = World::default();
        let mut snapshot = world.stored.clone();
        let mut granted: [Option<u64>; 4] = [None; 4];
        for (sequence, event) in events.into_iter().enumerate() {
            let sequence = sequence as u64;
            match event {
                Event::Acquire(key) => {
                    let verdict = world.request(take([key; 16], sequence));
                    if verdict == ClaimVerdict::Granted {
                        let before = granted[usize::from(key)].replace(sequence);
                        prop_assert_eq!(before, None, "id {} was granted twice", key);
                    }
                }
                Event::Finish(key) => {
                    if let Some(sequence) = granted[usize::from(key)] {
                        world.request(ClaimRequest::Finish([key; 16], owner(sequence), 0));
                    }
                }
                Event::Wait(millis) => world.now += Duration::from_millis(millis),
                Event::Snapshot => snapshot = world.stored.clone(),
                Event::Restore => world.stored = snapshot.clone(),
            }
        }
    }
}
