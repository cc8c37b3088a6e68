//! Several committers of one range on a store that loses responses, delays writes and becomes
//! unavailable.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::ClaimAction;
use turnford_fleet::ClaimBlock;
use turnford_fleet::ClaimCommitter;
use turnford_fleet::ClaimKey;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimState;
use turnford_fleet::ClaimTicket;
use turnford_fleet::ClaimVerdict;
use turnford_fleet::Moment;
use turnford_fleet::RangeRead;
use turnford_fleet::RangeWrite;
use turnford_fleet::Version;

const COMMITTERS: usize = 3;
const OWNERS: usize = 6;
const KEYS: usize = 2;
const REQUEST_TTL: Duration = Duration::from_millis(900);

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Succeeds,
    LostAfterEffect,
    LostBeforeEffect,
    LostAndLate,
    Refused,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request {
        owner: usize,
        committer: usize,
    },
    Step {
        committer: usize,
    },
    EndCall {
        committer: usize,
        outcome: CallOutcome,
    },
    DeliverLate,
    GiveUp {
        owner: usize,
        committer: usize,
    },
    Finish {
        owner: usize,
        committer: usize,
    },
    Crash {
        committer: usize,
    },
    Wait {
        millis: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnerState {
    Idle,
    Asking,
    Sent,
    GivenUp,
}

#[derive(Default)]
struct Store {
    version: Version,
    bytes: Vec<u8>,
}

impl Store {
    fn write(&mut self, expected: Version, bytes: Vec<u8>) -> RangeWrite {
        if expected != self.version {
            return RangeWrite::Conflict;
        }
        self.version += 1;
        self.bytes = bytes;
        RangeWrite::Accepted(self.version)
    }
}

struct World {
    now: Moment,
    store: Store,
    delayed_writes: Vec<(Version, Vec<u8>)>,
    committers: Vec<ClaimCommitter>,
    calls: Vec<Option<ClaimAction>>,
    requests: Vec<(usize, ClaimTicket, usize)>,
    owners: Vec<OwnerState>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            store: Store::default(),
            delayed_writes: Vec::new(),
            committers: (0..COMMITTERS).map(|_| ClaimCommitter::new()).collect(),
            calls: vec![None; COMMITTERS],
            requests: Vec::new(),
            owners: vec![OwnerState::Idle; OWNERS],
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Request { owner, committer } => self.request(owner, committer),
            Event::Step { committer } => self.step(committer),
            Event::EndCall { committer, outcome } => self.end_call(committer, outcome),
            Event::DeliverLate => {
                if !self.delayed_writes.is_empty() {
                    let (expected, bytes) = self.delayed_writes.remove(0);
                    self.store.write(expected, bytes);
                }
            }
            Event::GiveUp { owner, committer } => self.give_up(owner, committer),
            Event::Finish { owner, committer } => {
                if self.owners[owner] == OwnerState::Sent {
                    let request = ClaimRequest::Finish(key_of(owner), owner_id(owner), 0);
                    self.committers[committer].submit(request, self.now + Duration::from_secs(60));
                }
            }
            Event::Crash { committer } => {
                self.committers[committer] = ClaimCommitter::new();
                if let Some(ClaimAction::Write { expected, bytes }) = self.calls[committer].take() {
                    self.delayed_writes.push((expected, bytes));
                }
                self.requests.retain(|(at, _, _)| *at != committer);
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
        }
    }

    /// An owner may ask a second committer while the first has not answered yet.
    fn request(&mut self, owner: usize, committer: usize) {
        if !matches!(self.owners[owner], OwnerState::Idle | OwnerState::Asking) {
            return;
        }
        self.owners[owner] = OwnerState::Asking;
        let request = ClaimRequest::Acquire(key_of(owner), owner_id(owner));
        let expires = self.now + REQUEST_TTL;
        if let Some(ticket) = self.committers[committer].submit(request, expires) {
            self.requests.push((committer, ticket, owner));
        }
    }

    fn step(&mut self, committer: usize) {
        let step = self.committers[committer].step(self.now);
        self.take(committer, step.verdicts);
        if step.action.is_some() {
            assert!(
                self.calls[committer].is_none(),
                "a second call was started while one is in flight"
            );
            self.calls[committer] = step.action;
        }
    }

    fn end_call(&mut self, committer: usize, outcome: CallOutcome) {
        match self.calls[committer].take() {
            Some(ClaimAction::Read) => {
                let read = match outcome {
                    CallOutcome::Succeeds => {
                        RangeRead::Found(self.store.version, self.store.bytes.clone())
                    }
                    _ => RangeRead::Failed,
                };
                self.committers[committer].handle_read(self.now, read);
            }
            Some(ClaimAction::Write { expected, bytes }) => {
                let write = match outcome {
                    CallOutcome::Succeeds => self.store.write(expected, bytes),
                    CallOutcome::LostAfterEffect => {
                        self.store.write(expected, bytes);
                        RangeWrite::Lost
                    }
                    CallOutcome::LostBeforeEffect => RangeWrite::Lost,
                    CallOutcome::LostAndLate => {
                        self.delayed_writes.push((expected, bytes));
                        RangeWrite::Lost
                    }
                    CallOutcome::Refused => RangeWrite::Refused,
                };
                let verdicts = self.committers[committer].handle_write(self.now, write);
                self.take(committer, verdicts);
            }
            None => (),
        }
    }

    fn take(&mut self, committer: usize, verdicts: Vec<(ClaimTicket, ClaimVerdict)>) {
        for (ticket, verdict) in verdicts {
            let found = self
                .requests
                .iter()
                .position(|(at, known, _)| (*at, *known) == (committer, ticket));
            let Some(found) = found else { continue };
            let (_, _, owner) = self.requests.remove(found);
            if verdict == ClaimVerdict::Granted && self.owners[owner] == OwnerState::Asking {
                self.owners[owner] = OwnerState::Sent;
            }
        }
    }

    /// An owner that has given up never sends the call, and releases its claim.
    fn give_up(&mut self, owner: usize, committer: usize) {
        if self.owners[owner] == OwnerState::Asking {
            self.owners[owner] = OwnerState::GivenUp;
            let request = ClaimRequest::Release(key_of(owner), owner_id(owner));
            self.committers[committer].submit(request, self.now + Duration::from_secs(60));
        }
    }

    fn sent_count(&self, key: usize) -> usize {
        let owners = (0..OWNERS).filter(|owner| owner % KEYS == key);
        owners
            .filter(|owner| self.owners[*owner] == OwnerState::Sent)
            .count()
    }
}

fn key_of(owner: usize) -> ClaimKey {
    [(owner % KEYS) as u8; 16]
}

fn owner_id(owner: usize) -> ClaimOwner {
    ClaimOwner {
        incarnation: 7,
        sequence: owner as u64,
    }
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Succeeds),
        1 => Just(CallOutcome::LostAfterEffect),
        1 => Just(CallOutcome::LostBeforeEffect),
        1 => Just(CallOutcome::LostAndLate),
        1 => Just(CallOutcome::Refused),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let committer = 0..COMMITTERS;
    let owner = 0..OWNERS;
    prop_oneof![
        3 => (owner.clone(), committer.clone())
            .prop_map(|(owner, committer)| Event::Request { owner, committer }),
        6 => committer.clone().prop_map(|committer| Event::Step { committer }),
        6 => (committer.clone(), outcome())
            .prop_map(|(committer, outcome)| Event::EndCall { committer, outcome }),
        1 => Just(Event::DeliverLate),
        1 => (owner.clone(), committer.clone())
            .prop_map(|(owner, committer)| Event::GiveUp { owner, committer }),
        1 => (owner, committer.clone())
            .prop_map(|(owner, committer)| Event::Finish { owner, committer }),
        1 => committer.prop_map(|committer| Event::Crash { committer }),
        3 => (1_u64..1200).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(2000))]

    #[test]
    fn one_sender(events in prop::collection::vec(event(), 1..150)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            for key in 0..KEYS {
                prop_assert!(world.sent_count(key) <= 1, "two requests of one id were sent");
            }
        }
    }
}

/// Steps one committer without faults until it is idle.
fn run_until_idle(world: &mut World, committer: usize) {
    for _ in 0..200 {
        world.step(committer);
        world.end_call(committer, CallOutcome::Succeeds);
        world.now += Duration::from_millis(50);
        if world.committers[committer].is_idle() {
            return;
        }
    }
    panic!("the committer never became idle");
}

#[test]
fn grouped_commit() {
    let mut world = World::new();
    for sequence in 0..1000_u64 {
        let mut key = ClaimKey::default();
        key[..8].copy_from_slice(&sequence.to_be_bytes());
        let request = ClaimRequest::Acquire(
            key,
            ClaimOwner {
                incarnation: 1,
                sequence,
            },
        );
        assert!(world.committers[0]
            .submit(request, Duration::from_secs(5))
            .is_some());
    }
    run_until_idle(&mut world, 0);
    let block = ClaimBlock::decode(&world.store.bytes).expect("the stored block is readable");
    assert_eq!((world.store.version, block.len()), (1, 1000));
}

#[test]
fn released_id() {
    let mut world = World::new();
    world.request(0, 0);
    world.give_up(0, 0);
    run_until_idle(&mut world, 0);
    world.request(2, 1);
    run_until_idle(&mut world, 1);
    assert_eq!(world.owners[2], OwnerState::Sent);
}

#[test]
fn kept_generations() {
    let mut world = World::new();
    world.request(0, 0);
    run_until_idle(&mut world, 0);
    // Two generation durations pass with an occasional write; the claim must be retained.
    world.now += Duration::from_secs(601);
    world.request(1, 0);
    run_until_idle(&mut world, 0);
    world.now += Duration::from_secs(601);
    world.apply(Event::Finish {
        owner: 1,
        committer: 0,
    });
    run_until_idle(&mut world, 0);
    world.request(2, 0);
    run_until_idle(&mut world, 0);
    let block = ClaimBlock::decode(&world.store.bytes).expect("the stored block is readable");
    assert_eq!(block.generation, 2);
    let entry = block.get(&key_of(0)).expect("the claim is kept");
    assert_eq!((entry.owner, entry.state), (owner_id(0), ClaimState::Held));
    assert_eq!(
        world.owners[2],
        OwnerState::Asking,
        "the id was granted again"
    );
}

#[test]
fn young_generation() {
    // A committer that has just taken over has not observed the generation itself and must not
    // close it.
    let mut world = World::new();
    world.request(0, 0);
    run_until_idle(&mut world, 0);
    world.now += Duration::from_secs(5000);
    world.request(1, 1);
    run_until_idle(&mut world, 1);
    let block = ClaimBlock::decode(&world.store.bytes).expect("the stored block is readable");
    assert_eq!(block.generation, 0);
}

proptest! {
    #![proptest_config(common::proptest_config(500))]

    #[test]
    fn damaged_block(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        // Arbitrary bytes must decode to a block or `None`, and never panic.
        if let Some(block) = ClaimBlock::decode(&bytes) {
            prop_assert!(block.len() <= bytes.len());
        }
    }
}
