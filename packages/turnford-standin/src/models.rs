//! The models and adapters of one target, and the orders that change them.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// An order as it comes in.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct OrderBody {
    pub(crate) token: u64,
    pub(crate) kind: String,
    pub(crate) model: String,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    Taken,
    /// The token is older than one seen before.
    Stale,
    /// There is no room, or the order is not understood.
    Refused,
}

/// Models present or on their way.
#[derive(Debug)]
pub(crate) struct ModelShelf {
    models: Vec<(String, Instant)>,
    room: usize,
    load_time: Duration,
    checks: bool,
    highest: u64,
}

impl ModelShelf {
    pub(crate) fn new(models: &[String], room: usize, load_time: Duration, checks: bool) -> Self {
        let now = Instant::now();
        Self {
            models: models.iter().map(|model| (model.clone(), now)).collect(),
            room,
            load_time,
            checks,
            highest: 0,
        }
    }

    /// Returns the models that can serve now.
    pub(crate) fn present(&self) -> Vec<String> {
        let now = Instant::now();
        let ready = self.models.iter().filter(|(_, ready)| *ready <= now);
        ready.map(|(model, _)| model.clone()).collect()
    }

    /// Takes an order. One that is done already is taken again without effect.
    pub(crate) fn apply(&mut self, order: &OrderBody) -> OrderResult {
        if self.checks && order.token < self.highest {
            return OrderResult::Stale;
        }
        self.highest = self.highest.max(order.token);
        let held = self.models.iter().any(|(model, _)| *model == order.model);
        match order.kind.as_str() {
            "load" if held => OrderResult::Taken,
            "load" if self.models.len() < self.room => {
                let ready = Instant::now() + self.load_time;
                self.models.push((order.model.clone(), ready));
                OrderResult::Taken
            }
            "unload" => {
                self.models.retain(|(model, _)| *model != order.model);
                OrderResult::Taken
            }
            _ => OrderResult::Refused,
        }
    }
}
