//! Retry budget as a fraction of the traffic.

/// Retries allowed per first attempt.
const RETRY_RATIO: f64 = 0.1;

/// Maximum number of unused retries.
const MAX_RETRIES: f64 = 20.0;

/// Initial number of retries, which lets a service with little traffic retry at all.
const INITIAL_RETRIES: f64 = 5.0;

/// Retry budget of one service, shared by all causes of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with the initial number of retries.
    pub fn new() -> Self {
        Self {
            tokens: INITIAL_RETRIES,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if there is none.
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
