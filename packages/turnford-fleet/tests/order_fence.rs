//! Orders under leases: a giver that slept does nothing, at targets that check and at those that
//! do not.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use turnford_fleet::plan_orders;
use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseOutcome;
use turnford_fleet::LeaseRecord;
use turnford_fleet::LeaseSettings;
use turnford_fleet::ModelTarget;
use turnford_fleet::Moment;
use turnford_fleet::OrderAction;
use turnford_fleet::OrderKind;
use turnford_fleet::OrderOutcome;
use turnford_fleet::OrderQueue;
use turnford_fleet::OrderRecord;
use turnford_fleet::TargetOrder;
use turnford_fleet::Version;

const GIVERS: usize = 2;
const TARGETS: usize = 3;
const OPEN_LIMIT: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    Lease {
        giver: usize,
        works: bool,
    },
    Step {
        giver: usize,
        want: usize,
    },
    EndAct {
        giver: usize,
        effect: bool,
        answered: bool,
    },
    Restart {
        giver: usize,
    },
    Wait {
        millis: u64,
    },
}

/// An order on its way: it takes effect within the longest use of a lease.
struct Flight {
    token: Version,
    target: usize,
    lands: Moment,
}

struct World {
    now: Moment,
    revision: Version,
    lease: Option<(Version, LeaseRecord)>,
    record: Option<(Version, OrderRecord)>,
    holders: Vec<LeaseHolder>,
    books: Vec<OrderQueue>,
    acts: Vec<Option<OrderAction>>,
    flights: Vec<Flight>,
    /// Last token that took effect at each target; none of them checks.
    seen: [Version; TARGETS],
    restarts: u64,
}

impl World {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            revision: 0,
            lease: None,
            record: None,
            holders: (0..GIVERS).map(|giver| holder(giver, 0)).collect(),
            books: (0..GIVERS).map(|_| OrderQueue::new()).collect(),
            acts: vec![None; GIVERS],
            flights: Vec::new(),
            seen: [0; TARGETS],
            restarts: 0,
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Lease { giver, works } => self.turn_lease(giver, works),
            Event::Step { giver, want } => {
                let token = self.holders[giver].token(self.now);
                let wanted = [order(want)];
                let act = self.books[giver].step(self.now, token, &wanted, OPEN_LIMIT);
                if act.is_some() {
                    self.acts[giver] = act;
                }
            }
            Event::EndAct {
                giver,
                effect,
                answered,
            } => self.end_act(giver, effect, answered),
            Event::Restart { giver } => {
                self.restarts += 1;
                self.holders[giver] = holder(giver, self.restarts);
                self.books[giver] = OrderQueue::new();
                self.acts[giver] = None;
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        self.land()
    }

    fn turn_lease(&mut self, giver: usize, works: bool) {
        let Some(action) = self.holders[giver].step(self.now, true, false) else {
            return;
        };
        let answer = match action {
            _ if !works => LeaseOutcome::Failed,
            LeaseAction::Read => LeaseOutcome::Found(self.lease.clone()),
            LeaseAction::Write { expected, record } => {
                if self.lease.as_ref().map_or(0, |(version, _)| *version) == expected {
                    self.revision += 1;
                    self.lease = Some((self.revision, record));
                    LeaseOutcome::Accepted(self.revision)
                } else {
                    LeaseOutcome::Conflict
                }
            }
        };
        self.holders[giver].handle_outcome(self.now, answer);
    }

    fn end_act(&mut self, giver: usize, effect: bool, answered: bool) {
        let Some(act) = self.acts[giver].take() else {
            return;
        };
        let answer = match act {
            OrderAction::Read if answered => OrderOutcome::Found(self.record.clone()),
            OrderAction::Read => OrderOutcome::Failed,
            OrderAction::Write { expected, record } => {
                let fits = self.record.as_ref().map_or(0, |(version, _)| *version) == expected;
                if fits && effect {
                    self.revision += 1;
                    self.record = Some((self.revision, record));
                }
                match (fits, effect, answered) {
                    (true, true, true) => OrderOutcome::Accepted(self.revision),
                    (false, _, true) | (_, _, false) => OrderOutcome::Reread,
                    (true, false, true) => OrderOutcome::Failed,
                }
            }
            // The giver asks its lease right before the call.
            OrderAction::Send { order, token } => match self.holders[giver].token(self.now) {
                Some(held) if held >= token => {
                    if effect {
                        let longest = LeaseSettings::default().max_action_time;
                        let target = order.target[2..].parse().unwrap_or(0);
                        self.flights.push(Flight {
                            token: held,
                            target,
                            lands: self.now + longest,
                        });
                    }
                    if answered {
                        OrderOutcome::Done
                    } else {
                        OrderOutcome::NotDone
                    }
                }
                _ => OrderOutcome::Deferred(Duration::from_millis(200)),
            },
        };
        self.books[giver].handle_outcome(self.now, answer);
    }

    /// Lets orders land as late as they may; an older token after a newer one is a fault.
    fn land(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        let (landed, flying): (Vec<Flight>, Vec<Flight>) = self
            .flights
            .drain(..)
            .partition(|flight| flight.lands <= now);
        self.flights = flying;
        for flight in landed {
            let seen = &mut self.seen[flight.target];
            prop_assert!(flight.token >= *seen, "token {} after {seen}", flight.token);
            *seen = flight.token;
        }
        let open = self
            .record
            .as_ref()
            .map_or(0, |(_, record)| record.intents.len());
        prop_assert!(open <= OPEN_LIMIT, "{open} orders at a time");
        Ok(())
    }
}

fn holder(giver: usize, restarts: u64) -> LeaseHolder {
    let mark = restarts * 1_000_000 + giver as u64 * 1_000;
    LeaseHolder::new(format!("node-{giver}"), LeaseSettings::default(), mark)
}

fn order(target: usize) -> TargetOrder {
    TargetOrder {
        target: format!("t-{}", target % TARGETS),
        kind: OrderKind::Load,
        model: format!("model-{target}"),
    }
}

fn event() -> impl Strategy<Value = Event> {
    let giver = 0..GIVERS;
    let often = prop::bool::weighted(0.85);
    prop_oneof![
        6 => (giver.clone(), often).prop_map(|(giver, works)| Event::Lease { giver, works }),
        6 => (giver.clone(), 0_usize..9).prop_map(|(giver, want)| Event::Step { giver, want }),
        6 => (giver.clone(), often, often)
            .prop_map(|(giver, effect, answered)| Event::EndAct { giver, effect, answered }),
        1 => giver.prop_map(|giver| Event::Restart { giver }),
        4 => (1_u64..2000).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(common::histories(3000))]

    #[test]
    fn rising_tokens(events in prop::collection::vec(event(), 1..250)) {
        let mut world = World::new();
        for event in events {
            world.apply(event)?;
        }
    }
}

/// Steps a book whose acts all work, and returns the orders that it gave.
fn drive(book: &mut OrderQueue, record: &mut Option<(Version, OrderRecord)>, give: bool) -> usize {
    let mut given = 0;
    for round in 0..200 {
        let now = Duration::from_secs(round * 2);
        let wanted = if round == 0 {
            vec![order(1)]
        } else {
            Vec::new()
        };
        let answer = match book.step(now, Some(9), &wanted, OPEN_LIMIT) {
            Some(OrderAction::Read) => OrderOutcome::Found(record.clone()),
            Some(OrderAction::Write { record: new, .. }) => {
                let version = record.as_ref().map_or(0, |(version, _)| *version) + 1;
                *record = Some((version, new));
                OrderOutcome::Accepted(version)
            }
            Some(OrderAction::Send { .. }) => {
                given += 1;
                if give {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::NotDone
                }
            }
            None => continue,
        };
        book.handle_outcome(now, answer);
    }
    given
}

#[test]
fn finished_by_successor() {
    // The first giver wrote its intent and died before it gave the order.
    let mut record = Some((
        3,
        OrderRecord {
            intents: vec![order(1), order(2)],
        },
    ));
    let given = drive(&mut OrderQueue::new(), &mut record, true);
    assert_eq!(given, 2);
    assert_eq!(record.map(|(_, record)| record.intents.len()), Some(0));
}

#[test]
fn halted_giver() {
    // Orders that no target takes stop the giver; it does not go on over the whole pool.
    let intents = (0..2).map(order).collect();
    let mut record = Some((1, OrderRecord { intents }));
    let mut book = OrderQueue::new();
    for target in 0..20 {
        drive(&mut book, &mut record, false);
        if book.is_halted() {
            assert!(target <= 5);
            book.resume();
            assert!(!book.is_halted());
            return;
        }
        let version = record.as_ref().map_or(0, |(version, _)| *version) + 1;
        record = Some((
            version,
            OrderRecord {
                intents: vec![order(target)],
            },
        ));
        book = std::mem::take(&mut book);
        book.step(Duration::from_secs(9_999), None, &[], OPEN_LIMIT);
    }
    panic!("the giver never stopped");
}

fn target(name: &str, models: &[&str]) -> ModelTarget {
    let models = models.iter().map(|model| (*model).to_owned()).collect();
    ModelTarget {
        name: name.to_owned(),
        slots: 10,
        models,
        model_capacity: 2,
    }
}

fn planned(demand: &[(&str, f64)], targets: &[ModelTarget]) -> Vec<String> {
    let demand: BTreeMap<String, f64> = demand
        .iter()
        .map(|(model, busy)| ((*model).to_owned(), *busy))
        .collect();
    let orders = plan_orders(&demand, targets);
    let text = orders
        .iter()
        .map(|order| format!("{:?} {} {}", order.kind, order.model, order.target));
    text.collect()
}

#[test]
fn planned_loads() {
    let targets = [
        target("x", &["a"]),
        target("y", &["a"]),
        target("z", &["b"]),
    ];
    assert!(
        planned(&[("a", 5.0), ("b", 5.0)], &targets).is_empty(),
        "enough is there"
    );
    // Model b is short: the targets of the idle model a take it.
    assert_eq!(planned(&[("a", 1.0), ("b", 12.0)], &targets), ["Load b x"]);
    // Nobody has model c yet.
    assert_eq!(planned(&[("c", 0.5)], &targets), ["Load c x"]);
}

#[test]
fn planned_room() {
    // All room is taken: the model that can be spared is dropped first.
    let targets = [target("x", &["a", "b"]), target("y", &["a", "b"])];
    assert_eq!(planned(&[("a", 6.0), ("c", 3.0)], &targets), ["Unload b x"]);
    // The last holder of a model keeps it.
    let targets = [target("x", &["a", "b"])];
    assert!(planned(&[("c", 3.0)], &targets).is_empty());
}
