//! Orders to targets: intent first, then the order, under a lease.
//!
//! One giver a service at a time. Before an order is given, its intent is durable at the platform,
//! so a successor can finish it. The lease's token goes out with the order: targets that check it
//! refuse an older one. For targets that do not check, the giver asks its lease right before the
//! order, and the lease is not passed on while an order can be in flight.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::Version;

/// Pause between calls.
const CALL_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a fault.
const FAULT_PAUSE: Duration = Duration::from_secs(1);

/// Tries of one order before it is given up.
const TRY_LIMIT: u32 = 3;

/// Orders given up in a row after which the giver stops and leaves it to the operators.
const FAILURE_LIMIT: u32 = 5;

/// What a target is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Drop a model or adapter.
    Unload,
}

/// One order. Giving it twice does no more than giving it once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Name of the target.
    pub target: String,
    /// What to do.
    pub kind: OrderKind,
    /// Model or adapter.
    pub model: String,
}

/// Orders of one service that were begun and not ended, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Intents, oldest first.
    pub intents: Vec<TargetOrder>,
}

/// Act that a step asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the service's object.
    Read,
    /// Write the record if the object has this version; 0 means absent.
    Write {
        /// Version that the object must have.
        expected: Version,
        /// Record to write.
        record: OrderRecord,
    },
    /// Give an order, if the lease still holds when the call is about to be made.
    Send {
        /// The order.
        order: TargetOrder,
        /// Token to send with it.
        token: Version,
    },
}

/// How an act ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The object as read; `None` if it is absent.
    Found(Option<(Version, OrderRecord)>),
    /// The write was accepted with this version.
    Accepted(Version),
    /// The object has another version, or the write's end is not known.
    Reread,
    /// The platform did not take the call.
    Failed,
    /// The target took the order.
    Done,
    /// The target did not take the order, or its answer is lost.
    NotDone,
    /// The order must wait, for the lease or the weight store.
    Deferred(Duration),
}

/// What is under way.
#[derive(Debug)]
enum OrderCall {
    Read,
    Write(OrderRecord),
    Give(TargetOrder),
}

/// One service's orders on one node.
#[derive(Debug, Default)]
pub struct OrderQueue {
    known: Option<(Version, OrderRecord)>,
    call: Option<OrderCall>,
    ended: BTreeSet<TargetOrder>,
    tries: u32,
    failures: u32,
    next_call: Moment,
}

impl OrderQueue {
    /// Makes a book that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether the giver stopped because its orders fail.
    pub fn is_halted(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Lets a halted giver go on, at an operator's word.
    pub fn resume(&mut self) {
        self.failures = 0;
    }

    /// Returns the intents known to be open.
    pub fn open_intents(&self) -> &[TargetOrder] {
        self.known
            .as_ref()
            .map_or(&[], |(_, record)| &record.intents)
    }

    /// Returns the act to do now. `token` is the lease's, if it holds; `wanted` are orders that the
    /// demand asks for; at most `limit` are open at a time.
    pub fn step(
        &mut self,
        now: Moment,
        token: Option<Version>,
        wanted: &[TargetOrder],
        limit: usize,
    ) -> Option<OrderAction> {
        if self.call.is_some() || now < self.next_call {
            return None;
        }
        let Some(token) = token else {
            // Another node may be the giver; what is known here is old by the next time.
            self.known = None;
            self.ended.clear();
            return None;
        };
        if self.is_halted() {
            return None;
        }
        let Some((version, record)) = self.known.clone() else {
            self.call = Some(OrderCall::Read);
            return Some(OrderAction::Read);
        };
        let changed = self.changed(&record, wanted, limit);
        if changed != record {
            self.call = Some(OrderCall::Write(changed.clone()));
            return Some(OrderAction::Write {
                expected: version,
                record: changed,
            });
        }
        let order = record.intents.into_iter().next()?;
        self.call = Some(OrderCall::Give(order.clone()));
        Some(OrderAction::Send { order, token })
    }

    /// Takes the end of an act.
    pub fn handle_outcome(&mut self, now: Moment, answer: OrderOutcome) {
        let Some(call) = self.call.take() else {
            debug_assert!(false, "no act is under way");
            return;
        };
        self.next_call = now + CALL_PAUSE;
        match (call, answer) {
            (OrderCall::Read, OrderOutcome::Found(found)) => {
                self.known = Some(found.unwrap_or_default());
                self.ended.clear();
            }
            (OrderCall::Write(record), OrderOutcome::Accepted(version)) => {
                self.ended.retain(|order| record.intents.contains(order));
                self.known = Some((version, record));
            }
            (OrderCall::Give(order), OrderOutcome::Done) => {
                self.tries = 0;
                self.failures = 0;
                self.ended.insert(order);
            }
            (OrderCall::Give(order), OrderOutcome::NotDone) => self.note_not_done(now, order),
            (_, OrderOutcome::Deferred(wait)) => self.next_call = now + wait.max(CALL_PAUSE),
            (_, OrderOutcome::Failed) => self.next_call = now + FAULT_PAUSE,
            _ => self.known = None,
        }
    }

    fn note_not_done(&mut self, now: Moment, order: TargetOrder) {
        self.tries += 1;
        self.next_call = now + FAULT_PAUSE;
        if self.tries >= TRY_LIMIT {
            self.tries = 0;
            self.failures += 1;
            self.ended.insert(order);
        }
    }

    /// Returns the record without ended orders and with wanted ones, as far as there is room.
    fn changed(&self, record: &OrderRecord, wanted: &[TargetOrder], limit: usize) -> OrderRecord {
        let kept = record
            .intents
            .iter()
            .filter(|order| !self.ended.contains(order));
        let mut intents: Vec<TargetOrder> = kept.cloned().collect();
        for order in wanted {
            let busy = intents.iter().any(|other| other.target == order.target);
            if intents.len() < limit && !busy && !self.ended.contains(order) {
                intents.push(order.clone());
            }
        }
        OrderRecord { intents }
    }
}
