//! Rate and concurrency limits of one account on one node.

use std::time::Duration;

use crate::Moment;

/// Time span over which the rate may be used in a single burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Retry delay suggested to a caller that exceeds its concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The limit that refused a request, with the suggested retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// The rate limit is reached.
    Rate {
        /// Time until the next request is within the rate.
        retry_after: Duration,
    },
    /// The concurrency limit is reached.
    Concurrency {
        /// Fixed delay; the end of running requests is not known.
        retry_after: Duration,
    },
}

/// Token bucket and concurrency counter of one account.
#[derive(Clone, Debug)]
pub struct AccountLimit {
    rate: f64,
    concurrency: u32,
    tokens: f64,
    refilled_at: Moment,
    running: u32,
    arrivals: u32,
}

impl AccountLimit {
    /// Creates a limit with a full bucket. `rate` is in requests per second.
    pub fn new(now: Moment, rate: f64, concurrency: u32) -> Self {
        Self {
            rate,
            concurrency,
            tokens: burst_size(rate),
            refilled_at: now,
            running: 0,
            arrivals: 0,
        }
    }

    /// Sets new limits, also while requests run. Tokens beyond the burst of the new rate are
    /// dropped.
    pub fn set(&mut self, now: Moment, rate: f64, concurrency: u32) {
        self.refill(now);
        self.rate = rate;
        self.concurrency = concurrency;
        self.tokens = self.tokens.min(burst_size(rate));
    }

    /// Starts a request, which takes one token and counts as running.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached; the request is not started then.
    pub fn start(&mut self, now: Moment) -> Result<(), LimitRefusal> {
        self.refill(now);
        self.arrivals = self.arrivals.saturating_add(1);
        if self.running >= self.concurrency {
            let retry_after = CONCURRENCY_RETRY_AFTER;
            return Err(LimitRefusal::Concurrency { retry_after });
        }
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / self.rate.max(0.001);
            let retry_after = Duration::from_secs_f64(missing.min(60.0));
            return Err(LimitRefusal::Rate { retry_after });
        }
        self.tokens -= 1.0;
        self.running += 1;
        Ok(())
    }

    /// Ends a running request.
    pub fn finish(&mut self) {
        debug_assert!(self.running > 0, "a request finished that never started");
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests since the last call, including refused ones, and resets it.
    pub fn take_arrivals(&mut self) -> u32 {
        std::mem::take(&mut self.arrivals)
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(burst_size(self.rate));
        self.refilled_at = now;
    }
}

fn burst_size(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}
