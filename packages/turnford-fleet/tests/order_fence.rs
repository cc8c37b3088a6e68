//! Orders under leases: a sender that was suspended has no effect, whether or not the targets check
//! tokens.

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

const SENDERS: usize = 2;
const TARGETS: usize = 3;
const MAX_OPEN_ORDERS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    StepLease {
        sender: usize,
        works: bool,
    },
    Step {
        sender: usize,
        wanted_model: usize,
    },
    EndAction {
        sender: usize,
        effect: bool,
        answered: bool,
    },
    Restart {
        sender: usize,
    },
    Wait {
        millis: u64,
    },
}

/// An order in flight. It takes effect within the maximum action time of the lease.
struct OrderInFlight {
    token: Version,
    target: usize,
    takes_effect_at: Moment,
}

struct World {
    now: Moment,
    revision: Version,
    lease: Option<(Version, LeaseRecord)>,
    record: Option<(Version, OrderRecord)>,
    holders: Vec<LeaseHolder>,
    queues: Vec<OrderQueue>,
    actions: Vec<Option<OrderAction>>,
    in_flight: Vec<OrderInFlight>,
    /// Last token that took effect at each target. None of the targets checks tokens.
    last_tokens: [Version; TARGETS],
    restarts: u64,
}

impl World {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            revision: 0,
            lease: None,
            record: None,
            holders: (0..SENDERS).map(|sender| holder(sender, 0)).collect(),
            queues: (0..SENDERS).map(|_| OrderQueue::new()).collect(),
            actions: vec![None; SENDERS],
            in_flight: Vec::new(),
            last_tokens: [0; TARGETS],
            restarts: 0,
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::StepLease { sender, works } => self.step_lease(sender, works),
            Event::Step {
                sender,
                wanted_model,
            } => {
                let token = self.holders[sender].token(self.now);
                let wanted = [order(wanted_model)];
                let action = self.queues[sender].step(self.now, token, &wanted, MAX_OPEN_ORDERS);
                if action.is_some() {
                    self.actions[sender] = action;
                }
            }
            Event::EndAction {
                sender,
                effect,
                answered,
            } => self.end_action(sender, effect, answered),
            Event::Restart { sender } => {
                self.restarts += 1;
                self.holders[sender] = holder(sender, self.restarts);
                self.queues[sender] = OrderQueue::new();
                self.actions[sender] = None;
            }
            Event::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        self.apply_orders()
    }

    fn step_lease(&mut self, sender: usize, works: bool) {
        let Some(action) = self.holders[sender].step(self.now, true, false) else {
            return;
        };
        let outcome = match action {
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
        self.holders[sender].handle_outcome(self.now, outcome);
    }

    fn end_action(&mut self, sender: usize, effect: bool, answered: bool) {
        let Some(action) = self.actions[sender].take() else {
            return;
        };
        let outcome = match action {
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
            // The sender verifies its lease immediately before the call.
            OrderAction::Send { order, token } => match self.holders[sender].token(self.now) {
                Some(held) if held >= token => {
                    if effect {
                        let longest = LeaseSettings::default().max_action_time;
                        let target = order.target[2..].parse().unwrap_or(0);
                        self.in_flight.push(OrderInFlight {
                            token: held,
                            target,
                            takes_effect_at: self.now + longest,
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
        self.queues[sender].handle_outcome(self.now, outcome);
    }

    /// Applies orders at the latest possible time. An older token after a newer one is an error.
    fn apply_orders(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        let (due, remaining): (Vec<OrderInFlight>, Vec<OrderInFlight>) = self
            .in_flight
            .drain(..)
            .partition(|order| order.takes_effect_at <= now);
        self.in_flight = remaining;
        for order in due {
            let last_token = &mut self.last_tokens[order.target];
            prop_assert!(
                order.token >= *last_token,
                "token {} after {last_token}",
                order.token
            );
            *last_token = order.token;
        }
        let open = self
            .record
            .as_ref()
            .map_or(0, |(_, record)| record.intents.len());
        prop_assert!(open <= MAX_OPEN_ORDERS, "{open} orders at a time");
        Ok(())
    }
}

fn holder(sender: usize, restarts: u64) -> LeaseHolder {
    let first_write_id = restarts * 1_000_000 + sender as u64 * 1_000;
    LeaseHolder::new(
        format!("node-{sender}"),
        LeaseSettings::default(),
        first_write_id,
    )
}

fn order(target: usize) -> TargetOrder {
    TargetOrder {
        target: format!("t-{}", target % TARGETS),
        kind: OrderKind::Load,
        model: format!("model-{target}"),
    }
}

fn event() -> impl Strategy<Value = Event> {
    let sender = 0..SENDERS;
    let often = prop::bool::weighted(0.85);
    prop_oneof![
        6 => (sender.clone(), often).prop_map(|(sender, works)| Event::StepLease { sender, works }),
        6 => (sender.clone(), 0_usize..9).prop_map(|(sender, wanted_model)| Event::Step { sender, wanted_model }),
        6 => (sender.clone(), often, often)
            .prop_map(|(sender, effect, answered)| Event::EndAction { sender, effect, answered }),
        1 => sender.prop_map(|sender| Event::Restart { sender }),
        4 => (1_u64..2000).prop_map(|millis| Event::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(common::proptest_config(3000))]

    #[test]
    fn rising_tokens(events in prop::collection::vec(event(), 1..250)) {
        let mut world = World::new();
        for event in events {
            world.apply(event)?;
        }
    }
}

/// Steps a queue whose platform calls all succeed, and returns the number of orders it sent.
fn drive(
    queue: &mut OrderQueue,
    record: &mut Option<(Version, OrderRecord)>,
    succeeds: bool,
) -> usize {
    let mut sent = 0;
    for round in 0..200 {
        let now = Duration::from_secs(round * 2);
        let wanted = if round == 0 {
            vec![order(1)]
        } else {
            Vec::new()
        };
        let outcome = match queue.step(now, Some(9), &wanted, MAX_OPEN_ORDERS) {
            Some(OrderAction::Read) => OrderOutcome::Found(record.clone()),
            Some(OrderAction::Write { record: new, .. }) => {
                let version = record.as_ref().map_or(0, |(version, _)| *version) + 1;
                *record = Some((version, new));
                OrderOutcome::Accepted(version)
            }
            Some(OrderAction::Send { .. }) => {
                sent += 1;
                if succeeds {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::NotDone
                }
            }
            None => continue,
        };
        queue.handle_outcome(now, outcome);
    }
    sent
}

#[test]
fn finished_by_successor() {
    // The first sender stored its intents and failed before sending the orders.
    let mut record = Some((
        3,
        OrderRecord {
            intents: vec![order(1), order(2)],
        },
    ));
    let sent = drive(&mut OrderQueue::new(), &mut record, true);
    assert_eq!(sent, 2);
    assert_eq!(record.map(|(_, record)| record.intents.len()), Some(0));
}

#[test]
fn halted_giver() {
    // Orders that no target accepts stop the sender before it has tried the whole pool.
    let intents = (0..2).map(order).collect();
    let mut record = Some((1, OrderRecord { intents }));
    let mut queue = OrderQueue::new();
    for target in 0..20 {
        drive(&mut queue, &mut record, false);
        if queue.is_halted() {
            assert!(target <= 5);
            queue.resume();
            assert!(!queue.is_halted());
            return;
        }
        let version = record.as_ref().map_or(0, |(version, _)| *version) + 1;
        record = Some((
            version,
            OrderRecord {
                intents: vec![order(target)],
            },
        ));
        queue = std::mem::take(&mut queue);
        queue.step(Duration::from_secs(9_999), None, &[], MAX_OPEN_ORDERS);
    }
    panic!("the sender never stopped");
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
    // Model b is short of slots and is loaded on a target of the idle model a.
    assert_eq!(planned(&[("a", 1.0), ("b", 12.0)], &targets), ["Load b x"]);
    // No target has model c yet.
    assert_eq!(planned(&[("c", 0.5)], &targets), ["Load c x"]);
}

#[test]
fn planned_room() {
    // All targets are full: the model that can be spared is unloaded first.
    let targets = [target("x", &["a", "b"]), target("y", &["a", "b"])];
    assert_eq!(planned(&[("a", 6.0), ("c", 3.0)], &targets), ["Unload b x"]);
    // The last target of a model keeps it.
    let targets = [target("x", &["a", "b"])];
    assert!(planned(&[("c", 3.0)], &targets).is_empty());
}
