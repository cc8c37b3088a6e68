//! The models and adapters of one target, and the load and unload orders for them.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// Body of an order.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct OrderBody {
    pub(crate) token: u64,
    pub(crate) kind: String,
    pub(crate) model: String,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    Accepted,
    /// The token is lower than one seen before.
    Stale,
    /// The target is at capacity, or the kind of the order is unknown.
    Rejected,
}

/// Models that are present or being loaded.
#[derive(Debug)]
pub(crate) struct ModelTable {
    models: Vec<(String, Instant)>,
    capacity: usize,
    load_time: Duration,
    checks_tokens: bool,
    highest_token: u64,
}

impl ModelTable {
    pub(crate) fn new(
        models: &[String],
        capacity: usize,
        load_time: Duration,
        checks_tokens: bool,
    ) -> Self {
        let now = Instant::now();
        Self {
            models: models.iter().map(|model| (model.clone(), now)).collect(),
            capacity,
            load_time,
            checks_tokens,
            highest_token: 0,
        }
    }

    /// Returns the models that have been loaded.
    pub(crate) fn present(&self) -> Vec<String> {
        let now = Instant::now();
        let ready = self.models.iter().filter(|(_, ready)| *ready <= now);
        ready.map(|(model, _)| model.clone()).collect()
    }

    /// Applies an order. An order that has been applied already is accepted without effect.
    pub(crate) fn apply(&mut self, order: &OrderBody) -> OrderResult {
        if self.checks_tokens && order.token < self.highest_token {
            return OrderResult::Stale;
        }
        self.highest_token = self.highest_token.max(order.token);
        let held = self.models.iter().any(|(model, _)| *model == order.model);
        match order.kind.as_str() {
            "load" if held => OrderResult::Accepted,
            "load" if self.models.len() < self.capacity => {
                let ready = Instant::now() + self.load_time;
                self.models.push((order.model.clone(), ready));
                OrderResult::Accepted
            }
            "unload" => {
                self.models.retain(|(model, _)| *model != order.model);
                OrderResult::Accepted
            }
            _ => OrderResult::Rejected,
        }
    }
}
