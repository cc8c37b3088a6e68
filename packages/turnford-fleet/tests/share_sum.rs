//! Shares of one account's limits never add up to more than the limit.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::Moment;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareGrant;
use turnford_fleet::ShareHolder;
use turnford_fleet::ShareLender;

const NODES: usize = 4;
const RATE: f64 = 100.0;
const CONCURRENCY: u32 = 200;

/// Longest run of a request in the model; the lender assumes no longer one.
const LONGEST_RUN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask { node: usize, rate: f64 },
    Lend { node: usize },
    Deliver { node: usize, lost: bool },
    Start { node: usize, count: u32 },
    End { node: usize },
    NewLender,
    Wait { millis: u64 },
}

/// What a node has asked and what is on its way back.
#[derive(Default)]
struct Exchange {
    asked: Option<(Moment, ShareDemand)>,
    reply: Option<(Moment, ShareGrant)>,
}

struct World {
    now: Moment,
    token: u64,
    lender: ShareLender,
    holders: Vec<ShareHolder>,
    exchanges: Vec<Exchange>,
    running: Vec<Vec<Moment>>,
}

impl World {
    fn new() -> Self {
        let size = NODES as u32;
        Self {
            now: Moment::ZERO,
            token: 1,
            lender: ShareLender::new(Moment::ZERO, 1, (RATE, CONCURRENCY), size, true),
            holders: vec![ShareHolder::new(RATE, CONCURRENCY, size); NODES],
            exchanges: (0..NODES).map(|_| Exchange::default()).collect(),
            running: vec![Vec::new(); NODES],
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask { node, rate } => {
                // A new ask gives the one before up, with its answer.
                let held = self.holders[node].held(self.now).cloned();
                let running = self.running[node].len() as u32;
                let account = "a".to_owned();
                let demand = ShareDemand {
                    account,
                    rate,
                    running,
                    held,
                };
                self.exchanges[node] = Exchange {
                    asked: Some((self.now, demand)),
                    reply: None,
                };
            }
            Event::Lend { node } => {
                if let Some((asked, demand)) = self.exchanges[node].asked.take() {
                    let name = format!("node-{node}");
                    let grant = self.lender.lend(self.now, &name, &demand);
                    self.exchanges[node].reply = Some((asked, grant));
                }
            }
            Event::Deliver { node, lost } => {
                if let Some((asked, grant)) = self.exchanges[node].reply.take() {
                    if !lost {
                        self.holders[node].apply(asked, grant);
                    }
                }
            }
            Event::Start { node, count } => {
                let (_, usable) = self.holders[node].usable(self.now);
                let running = &mut self.running[node];
                let room = (usable as usize).saturating_sub(running.len());
                running.extend(std::iter::repeat_n(self.now, room.min(count as usize)));
            }
            Event::End { node } => {
                self.running[node].pop();
            }
            Event::NewLender => {
                self.token += 1;
                let limits = (RATE, CONCURRENCY);
                let size = NODES as u32;
                self.lender = ShareLender::new(self.now, self.token, limits, size, false);
                // Asks that the old lender has not seen reach nobody.
                for exchange in &mut self.exchanges {
                    exchange.asked = None;
                }
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        let now = self.now;
        for running in &mut self.running {
            running.retain(|started| now < *started + LONGEST_RUN);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let rate: f64 = self
            .holders
            .iter()
            .map(|holder| holder.usable(self.now).0)
            .sum();
        prop_assert!(
            rate <= RATE * 1.000_001,
            "{rate} requests a second of {RATE} in use"
        );
        let running: usize = self.running.iter().map(Vec::len).sum();
        prop_assert!(
            running <= CONCURRENCY as usize,
            "{running} run of {CONCURRENCY}"
        );
        Ok(())
    }
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), 0.0..200.0).prop_map(|(node, rate)| Event::Ask { node, rate }),
        6 => node.clone().prop_map(|node| Event::Lend { node }),
        6 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, lost)| Event::Deliver { node, lost }),
        4 => (node.clone(), 1_u32..250).prop_map(|(node, count)| Event::Start { node, count }),
        1 => node.prop_map(|node| Event::End { node }),
        1 => Just(Event::NewLender),
        1 => (4000_u64..12_000).prop_map(|millis| Event::Wait { millis }),
        4 => (1_u64..4000).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(common::histories(4000))]

    #[test]
    fn within_limit(events in prop::collection::vec(event(), 1..200)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            world.check()?;
        }
    }
}

/// One round of all nodes, 300 ms long.
fn round(world: &mut World, rates: &[f64; NODES]) {
    for (node, rate) in rates.iter().enumerate() {
        world.apply(Event::Ask { node, rate: *rate });
        world.apply(Event::Lend { node });
        world.apply(Event::Deliver { node, lost: false });
    }
    world.apply(Event::Wait { millis: 300 });
}

#[test]
fn skewed_arrivals() {
    let mut world = World::new();
    for _ in 0..10 {
        round(&mut world, &[25.0; NODES]);
    }
    // All traffic moves to one node; six rounds are 1.8 s.
    for _ in 0..6 {
        round(&mut world, &[RATE, 0.0, 0.0, 0.0]);
    }
    let (rate, _) = world.holders[0].usable(world.now);
    assert!(rate >= 0.95 * RATE, "{rate}");
}

#[test]
fn lost_lender() {
    let mut world = World::new();
    for _ in 0..10 {
        round(&mut world, &[25.0; NODES]);
    }
    let (before, _) = world.holders[0].usable(world.now);
    // The lender is replaced within 6 s: shares go on as they were.
    world.apply(Event::Wait { millis: 6000 });
    world.apply(Event::NewLender);
    round(&mut world, &[25.0; NODES]);
    let (after, _) = world.holders[0].usable(world.now);
    assert!(after >= 0.99 * before, "{after} after {before}");
    // Without any lender the floor remains.
    world.apply(Event::Wait { millis: 11_000 });
    let (floor, _) = world.holders[0].usable(world.now);
    assert!(floor > 0.0 && floor < before, "{floor}");
}

#[test]
fn cut_node() {
    // Requests of a node that was cut off run on after its grant; their places are not lent yet.
    let mut world = World::new();
    round(&mut world, &[50.0, 0.0, 0.0, 0.0]);
    world.apply(Event::Wait { millis: 9_000 });
    world.apply(Event::Start {
        node: 0,
        count: 250,
    });
    world.apply(Event::Wait { millis: 2_000 });
    for _ in 0..5 {
        world.apply(Event::Ask {
            node: 1,
            rate: 500.0,
        });
        world.apply(Event::Lend { node: 1 });
        world.apply(Event::Deliver {
            node: 1,
            lost: false,
        });
        world.apply(Event::Start {
            node: 1,
            count: 250,
        });
        assert!(world.check().is_ok(), "more run than the limit");
    }
}
