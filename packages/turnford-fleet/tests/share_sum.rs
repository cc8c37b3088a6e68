//! The shares of one account's limits never add up to more than the limits.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::LenderStamp;
use turnford_fleet::Moment;
use turnford_fleet::NodeContacts;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareGrant;
use turnford_fleet::ShareHolder;
use turnford_fleet::ShareLender;
use turnford_fleet::ShareSize;

const NODES: usize = 4;
const LIMIT: ShareSize = ShareSize {
    rate: 100.0,
    concurrency: 200,
};

/// Maximum duration of a request in the model, as assumed by the lender.
const MAX_RUN_TIME: Duration = Duration::from_secs(5);

/// Minimum time to replace a lost lender: lease duration plus maximum action time.
const TAKEOVER_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Requests a share of the account, or only maintains contact.
    Request {
        node: usize,
        rate: Option<f64>,
    },
    Lend {
        node: usize,
    },
    Deliver {
        node: usize,
        lost: bool,
    },
    Start {
        node: usize,
        count: u32,
    },
    End {
        node: usize,
    },
    NewLender,
    Wait {
        millis: u64,
    },
}

/// A node's pending request, and the reply on its way back.
#[derive(Default)]
struct Exchange {
    requested: Option<(Moment, LenderStamp, Option<ShareDemand>)>,
    reply: Option<Reply>,
}

struct Reply {
    requested: Moment,
    stamp: LenderStamp,
    grant: Option<ShareGrant>,
    listed: bool,
}

struct World {
    now: Moment,
    token: u64,
    lender: ShareLender,
    node_contacts: NodeContacts,
    lends_after: Moment,
    holders: Vec<ShareHolder>,
    contacts: Vec<Moment>,
    stamps: Vec<LenderStamp>,
    exchanges: Vec<Exchange>,
    running: Vec<Vec<Moment>>,
}

impl World {
    fn new() -> Self {
        let size = NODES as u32;
        Self {
            now: Moment::ZERO,
            token: 1,
            lender: ShareLender::new(Moment::ZERO, 1, LIMIT, true),
            node_contacts: NodeContacts::new(Moment::ZERO, 1, size),
            lends_after: Moment::ZERO,
            holders: vec![ShareHolder::new(LIMIT, size); NODES],
            contacts: vec![Moment::ZERO; NODES],
            stamps: vec![LenderStamp::default(); NODES],
            exchanges: (0..NODES).map(|_| Exchange::default()).collect(),
            running: vec![Vec::new(); NODES],
        }
    }

    fn usable(&self, node: usize) -> ShareSize {
        self.holders[node].usable(self.now, self.contacts[node])
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Request { node, rate } => self.request(node, rate),
            Event::Lend { node } => self.lend(node),
            Event::Deliver { node, lost } => self.deliver(node, lost),
            Event::Start { node, count } => {
                let room = self.usable(node).concurrency as usize;
                let running = &mut self.running[node];
                let room = room.saturating_sub(running.len());
                running.extend(std::iter::repeat_n(self.now, room.min(count as usize)));
            }
            Event::End { node } => {
                self.running[node].pop();
            }
            Event::NewLender => {
                self.token += 1;
                let began = self.now + TAKEOVER_TIME;
                self.lender = ShareLender::new(began, self.token, LIMIT, false);
                self.node_contacts = NodeContacts::new(began, self.token, NODES as u32);
                self.lends_after = began;
                // Requests that the old lender has not received are lost.
                for exchange in &mut self.exchanges {
                    exchange.requested = None;
                }
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        let now = self.now;
        for running in &mut self.running {
            running.retain(|started| now < *started + MAX_RUN_TIME);
        }
    }

    fn request(&mut self, node: usize, rate: Option<f64>) {
        let demand = rate.map(|rate| ShareDemand {
            account: "a".to_owned(),
            rate,
            running: self.running[node].len() as u32,
            newest: self.holders[node].newest(),
            using: self.usable(node),
        });
        // A new request abandons the previous one and its reply.
        self.exchanges[node] = Exchange {
            requested: Some((self.now, self.stamps[node], demand)),
            reply: None,
        };
    }

    fn lend(&mut self, node: usize) {
        if self.now < self.lends_after {
            return;
        }
        let Some((requested, stamp, demand)) = self.exchanges[node].requested.take() else {
            return;
        };
        let name = format!("node-{node}");
        let stamp = self.node_contacts.record_contact(self.now, &name, stamp);
        let listed = demand.is_some();
        let grant = demand.and_then(|demand| {
            self.lender
                .lend(self.now, &name, &demand, &self.node_contacts)
        });
        self.exchanges[node].reply = Some(Reply {
            requested,
            stamp,
            grant,
            listed,
        });
    }

    fn deliver(&mut self, node: usize, lost: bool) {
        let Some(reply) = self.exchanges[node].reply.take() else {
            return;
        };
        if lost {
            return;
        }
        self.contacts[node] = self.now;
        self.stamps[node] = reply.stamp;
        match reply.grant {
            Some(grant) => self.holders[node].apply(reply.requested, &grant),
            None if !reply.listed => self.holders[node].clear_expired(reply.requested),
            None => (),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let rate: f64 = (0..NODES).map(|node| self.usable(node).rate).sum();
        prop_assert!(
            rate <= LIMIT.rate * 1.000_001,
            "shares of {rate} requests per second"
        );
        let running: usize = self.running.iter().map(Vec::len).sum();
        prop_assert!(
            running <= LIMIT.concurrency as usize,
            "{running} requests in progress"
        );
        Ok(())
    }
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    let rate = prop::option::weighted(0.8, 0.0..200.0);
    prop_oneof![
        6 => (node.clone(), rate).prop_map(|(node, rate)| Event::Request { node, rate }),
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
    #![proptest_config(common::proptest_config(4000))]

    #[test]
    fn within_limit(events in prop::collection::vec(event(), 1..250)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            world.check()?;
        }
    }
}

/// Runs one round of 300 ms for some nodes.
fn round(world: &mut World, rates: &[(usize, f64)]) {
    for (node, rate) in rates {
        let rate = (*rate > 0.0).then_some(*rate);
        world.apply(Event::Request { node: *node, rate });
        world.apply(Event::Lend { node: *node });
        world.apply(Event::Deliver {
            node: *node,
            lost: false,
        });
    }
    world.apply(Event::Wait { millis: 300 });
    assert!(world.check().is_ok(), "the shares exceed the limit");
}

const EVEN: [(usize, f64); NODES] = [(0, 25.0), (1, 25.0), (2, 25.0), (3, 25.0)];

fn rounds(world: &mut World, count: usize, rates: &[(usize, f64)]) {
    for _ in 0..count {
        round(world, rates);
    }
}

#[test]
fn skewed_arrivals() {
    let mut world = World::new();
    rounds(&mut world, 10, &EVEN);
    // All traffic moves to one node within six rounds, or 1.8 s. The others only maintain contact.
    rounds(
        &mut world,
        6,
        &[(0, 100.0), (1, 0.01), (2, 0.01), (3, 0.01)],
    );
    let rate = world.usable(0).rate;
    assert!(rate >= 0.95 * LIMIT.rate, "{rate}");
}

#[test]
fn lost_lender() {
    let mut world = World::new();
    rounds(
        &mut world,
        10,
        &[(0, 40.0), (1, 20.0), (2, 20.0), (3, 20.0)],
    );
    let before = world.usable(0).rate;
    // The lender is replaced while its grants are valid, so the shares must not change.
    world.apply(Event::NewLender);
    world.apply(Event::Wait { millis: 5000 });
    rounds(&mut world, 8, &[(0, 40.0), (1, 20.0), (2, 20.0), (3, 20.0)]);
    let after = world.usable(0).rate;
    assert!(after >= 0.99 * before, "{after} after {before}");
}

#[test]
fn long_outage() {
    // Without a lender for a minute, every node gets its even share, and keeps it when a lender
    // returns.
    let mut world = World::new();
    rounds(&mut world, 10, &EVEN);
    for _ in 0..60 {
        world.apply(Event::Wait { millis: 1000 });
        let rate = world.usable(2).rate;
        assert!(rate >= 0.99 * LIMIT.rate / NODES as f64, "{rate}");
        assert!(world.check().is_ok(), "the shares exceed the limit");
    }
    world.apply(Event::NewLender);
    world.apply(Event::Wait { millis: 5000 });
    rounds(&mut world, 60, &EVEN);
    let rate = world.usable(2).rate;
    assert!(rate >= 0.99 * LIMIT.rate / NODES as f64, "{rate}");
}

#[test]
fn cut_node() {
    // Requests of a disconnected node continue after its grant has expired, so their concurrency
    // must not be granted to others yet.
    let mut world = World::new();
    rounds(&mut world, 3, &[(0, 50.0), (1, 0.01), (2, 0.01), (3, 0.01)]);
    world.apply(Event::Wait { millis: 9_000 });
    world.apply(Event::Start {
        node: 0,
        count: 250,
    });
    world.apply(Event::Wait { millis: 2_000 });
    for _ in 0..5 {
        rounds(&mut world, 1, &[(1, 500.0), (2, 0.0), (3, 0.0)]);
        world.apply(Event::Start {
            node: 1,
            count: 250,
        });
        assert!(world.check().is_ok(), "the requests exceed the limit");
    }
}

#[test]
fn silent_node() {
    // An idle node that is disconnected uses its even share after a delay. By then that share must
    // be reserved.
    let mut world = World::new();
    rounds(
        &mut world,
        10,
        &[(0, 100.0), (1, 0.01), (2, 0.01), (3, 0.01)],
    );
    assert!(world.usable(3).rate < 1.0);
    rounds(&mut world, 90, &[(0, 100.0), (1, 0.01), (2, 0.01)]);
    assert_eq!(world.usable(3).rate, LIMIT.rate / NODES as f64);
}

#[test]
fn lost_reply() {
    // A smaller grant never reached its node, which continues with the larger one.
    let mut world = World::new();
    rounds(
        &mut world,
        10,
        &[(0, 100.0), (1, 0.01), (2, 0.01), (3, 0.01)],
    );
    let rate = Some(0.01);
    world.apply(Event::Request { node: 0, rate });
    world.apply(Event::Lend { node: 0 });
    world.apply(Event::Deliver {
        node: 0,
        lost: true,
    });
    rounds(&mut world, 3, &[(1, 100.0), (2, 0.01), (3, 0.01)]);
    assert!(world.usable(0).rate > 90.0);
}

#[test]
fn one_place_each() {
    // The first node to ask while the rate is scarce must not get all of the concurrency.
    let mut world = World::new();
    rounds(&mut world, 3, &[(0, 0.0), (1, 0.0), (2, 0.0), (3, 0.0)]);
    for node in 0..NODES {
        round(&mut world, &[(node, 900.0)]);
        assert!(
            world.usable(node).concurrency >= 1,
            "node {node} has no concurrency"
        );
    }
}
