//! Orders to targets, logged as intents and protected by a lease.
//!
//! At most one node sends the orders of a service at a time. The intent of an order is made durable
//! at the platform before the order is sent, so that a successor can complete it. Each order
//! carries the lease's fencing token, and targets that check it reject older tokens. For targets
//! that do not, the sender verifies its lease immediately before the call, and the lease is not
//! handed over while an order may be in flight.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::Version;

/// Minimum time between calls.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after an error.
const ERROR_BACKOFF: Duration = Duration::from_secs(1);

/// Number of attempts after which an order is abandoned.
const MAX_ATTEMPTS: u32 = 3;

/// Number of consecutive abandoned orders after which sending stops until an operator resumes it.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Operation that a target is ordered to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// An order to a target. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Name of the target.
    pub target: String,
    /// Operation.
    pub kind: OrderKind,
    /// Name of the model or adapter.
    pub model: String,
}

/// Stored record of a service's orders that were started and have not finished.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Intents, oldest first.
    pub intents: Vec<TargetOrder>,
}

/// Action to be performed by the caller of [`OrderQueue::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the service's object.
    Read,
    /// Write the record if the object has the expected version.
    Write {
        /// Required version of the object; 0 means absent.
        expected: Version,
        /// Record to write.
        record: OrderRecord,
    },
    /// Send an order, provided that the lease is still held immediately before the call.
    Send {
        /// The order.
        order: TargetOrder,
        /// Fencing token to send with it.
        token: Version,
    },
}

/// Outcome of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The object that was read, or `None` if it is absent.
    Found(Option<(Version, OrderRecord)>),
    /// The write was accepted with this version.
    Accepted(Version),
    /// The object has a different version, or the outcome of the write is unknown.
    Reread,
    /// The platform did not accept the call.
    Failed,
    /// The target accepted the order.
    Done,
    /// The target did not accept the order, or its response was lost.
    NotDone,
    /// The order has to wait this long for the lease or the weight store.
    Deferred(Duration),
}

/// Action in flight.
#[derive(Debug)]
enum OrderCall {
    Read,
    Write(OrderRecord),
    Send(TargetOrder),
}

/// Orders of one service, as driven by one node.
#[derive(Debug, Default)]
pub struct OrderQueue {
    cached: Option<(Version, OrderRecord)>,
    call: Option<OrderCall>,
    finished: BTreeSet<TargetOrder>,
    attempts: u32,
    failures: u32,
    next_call_at: Moment,
}

impl OrderQueue {
    /// Creates a queue without a cached record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether sending has stopped because of consecutive failures.
    pub fn is_halted(&self) -> bool {
        self.failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Resumes sending after a halt, on request of an operator.
    pub fn resume(&mut self) {
        self.failures = 0;
    }

    /// Returns the intents of the cached record.
    pub fn open_intents(&self) -> &[TargetOrder] {
        self.cached
            .as_ref()
            .map_or(&[], |(_, record)| &record.intents)
    }

    /// Returns the next action. `token` is the fencing token while the lease is held, `wanted` are
    /// the orders that the current demand requires, and at most `limit` orders are open at a time.
    pub fn step(
        &mut self,
        now: Moment,
        token: Option<Version>,
        wanted: &[TargetOrder],
        limit: usize,
    ) -> Option<OrderAction> {
        if self.call.is_some() || now < self.next_call_at {
            return None;
        }
        let Some(token) = token else {
            // Another node may be sending orders, so the cached record will be out of date.
            self.cached = None;
            self.finished.clear();
            return None;
        };
        if self.is_halted() {
            return None;
        }
        let Some((version, record)) = self.cached.clone() else {
            self.call = Some(OrderCall::Read);
            return Some(OrderAction::Read);
        };
        let next_record = self.next_record(&record, wanted, limit);
        if next_record != record {
            self.call = Some(OrderCall::Write(next_record.clone()));
            return Some(OrderAction::Write {
                expected: version,
                record: next_record,
            });
        }
        let order = record.intents.into_iter().next()?;
        self.call = Some(OrderCall::Send(order.clone()));
        Some(OrderAction::Send { order, token })
    }

    /// Handles the outcome of an action.
    pub fn handle_outcome(&mut self, now: Moment, outcome: OrderOutcome) {
        let Some(call) = self.call.take() else {
            debug_assert!(false, "no action is in flight");
            return;
        };
        self.next_call_at = now + CALL_INTERVAL;
        match (call, outcome) {
            (OrderCall::Read, OrderOutcome::Found(found)) => {
                self.cached = Some(found.unwrap_or_default());
                self.finished.clear();
            }
            (OrderCall::Write(record), OrderOutcome::Accepted(version)) => {
                self.finished.retain(|order| record.intents.contains(order));
                self.cached = Some((version, record));
            }
            (OrderCall::Send(order), OrderOutcome::Done) => {
                self.attempts = 0;
                self.failures = 0;
                self.finished.insert(order);
            }
            (OrderCall::Send(order), OrderOutcome::NotDone) => {
                self.record_failed_attempt(now, order)
            }
            (_, OrderOutcome::Deferred(wait)) => self.next_call_at = now + wait.max(CALL_INTERVAL),
            (_, OrderOutcome::Failed) => self.next_call_at = now + ERROR_BACKOFF,
            _ => self.cached = None,
        }
    }

    fn record_failed_attempt(&mut self, now: Moment, order: TargetOrder) {
        self.attempts += 1;
        self.next_call_at = now + ERROR_BACKOFF;
        if self.attempts >= MAX_ATTEMPTS {
            self.attempts = 0;
            self.failures += 1;
            self.finished.insert(order);
        }
    }

    /// Returns the record without finished orders and with as many wanted ones as fit.
    fn next_record(
        &self,
        record: &OrderRecord,
        wanted: &[TargetOrder],
        limit: usize,
    ) -> OrderRecord {
        let kept = record
            .intents
            .iter()
            .filter(|order| !self.finished.contains(order));
        let mut intents: Vec<TargetOrder> = kept.cloned().collect();
        for order in wanted {
            let busy = intents.iter().any(|other| other.target == order.target);
            if intents.len() < limit && !busy && !self.finished.contains(order) {
                intents.push(order.clone());
            }
        }
        OrderRecord { intents }
    }
}
