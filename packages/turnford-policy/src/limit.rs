//! Rate and concurrency of one account on one node.

use std::time::Duration;

use crate::Moment;

/// Span of the rate that may be used at once.
const BURST_SPAN: Duration = Duration::from_secs(1);

/// Hint for a caller over its concurrency.
const CONCURRENCY_HINT: Duration = Duration::from_millis(250);

/// Which limit refused, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// Over the rate.
    Rate {
        /// Time until the next call fits.
        retry_after: Duration,
    },
    /// Over the concurrency.
    Concurrency {
        /// A guess of when one ends.
        retry_after: Duration,
    },
}

/// Token bucket and counter of one account.
#[derive(Clone, Debug)]
pub struct AccountLimit {
    rate: f64,
    concurrency: u32,
    tokens: f64,
    filled_at: Moment,
    running: u32,
    arrivals: u32,
}

impl AccountLimit {
    /// Makes a full limit; `rate` in requests a second.
    pub fn new(now: Moment, rate: f64, concurrency: u32) -> Self {
        Self {
            rate,
            concurrency,
            tokens: burst_of(rate),
            filled_at: now,
            running: 0,
            arrivals: 0,
        }
    }

    /// Sets new limits while requests run. Tokens saved under a higher rate are cut.
    pub fn set(&mut self, now: Moment, rate: f64, concurrency: u32) {
        self.fill(now);
        self.rate = rate;
        self.concurrency = concurrency;
        self.tokens = self.tokens.min(burst_of(rate));
    }

    /// Takes a place for one request.
    ///
    /// # Errors
    ///
    /// Returns which limit is reached; nothing is taken then.
    pub fn start(&mut self, now: Moment) -> Result<(), LimitRefusal> {
        self.fill(now);
        self.arrivals = self.arrivals.saturating_add(1);
        if self.running >= self.concurrency {
            let retry_after = CONCURRENCY_HINT;
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

    /// Gives the place back.
    pub fn finish(&mut self) {
        debug_assert!(self.running > 0, "a request finished that never started");
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that came since the last call, refused ones among them.
    pub fn take_arrivals(&mut self) -> u32 {
        std::mem::take(&mut self.arrivals)
    }

    fn fill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(burst_of(self.rate));
        self.filled_at = now;
    }
}

fn burst_of(rate: f64) -> f64 {
    (rate * BURST_SPAN.as_secs_f64()).max(1.0)
}
