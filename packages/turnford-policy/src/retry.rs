//! Retries as a part of the traffic.

/// Retries allowed per primary attempt.
const RETRY_RATIO: f64 = 0.1;

/// Most retries that can be saved up.
const RETRY_CAP: f64 = 20.0;

/// Retries a fresh budget starts with, so that a quiet service can retry at all.
const RETRY_START: f64 = 5.0;

/// Budget of retries of one service, shared by all causes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget with a few retries.
    pub fn new() -> Self {
        Self {
            tokens: RETRY_START,
        }
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_CAP);
    }

    /// Takes one retry if the budget holds one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
