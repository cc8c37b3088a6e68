//! Retries of a service as a fraction of its traffic over the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Fraction of the allowed ratio that is used. The rest covers requests that an outside observer
/// counts in another window.
const USABLE_RATIO: f64 = 0.95;

/// Fraction of the slack that may be saved. The rest accrues over each window.
const SAVED_SLACK: f64 = 0.8;

/// Fraction of the retries allowed by the requests of the last window that may be saved besides. A node without
/// a part of the slack has no others.
const REQUEST_BURST: f64 = 0.1;

/// The same fraction for pieces. A call carries many of them, which fail together.
const PIECE_BURST: f64 = 0.5;

/// One node's share of the retries allowed for a service within a sliding window.
///
/// Each request earns a fraction of a retry, and a part of the slack accrues with time. What is not used is
/// saved, up to a limit: the rest of the slack, and of what the requests of the last window allow. What is
/// taken within a window was saved before it or added within it, so the sum over all nodes stays below
/// ratio x requests + slack, with the requests counted in the window or in the one before. This holds
/// whenever processes start, since these have nothing saved.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    slack: f64,
    burst: f64,
    /// Requests of the last window.
    first_attempts: VecDeque<Moment>,
    saved: f64,
    updated_at: Option<Moment>,
    /// Whether nothing can have been taken before, so that the first part of the slack is saved already.
    is_first: bool,
}

impl RetryAllowance {
    /// Creates the allowance of a process whose part of the slack is `slack` retries.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio: ratio * USABLE_RATIO,
            slack,
            burst: REQUEST_BURST,
            first_attempts: VecDeque::new(),
            saved: 0.0,
            updated_at: None,
            is_first: false,
        }
    }

    /// Makes this the allowance of a node's first process, which has no predecessor.
    pub fn first(self) -> Self {
        let slack = self.slack;
        let mut allowance = Self {
            is_first: true,
            ..self
        };
        allowance.set_slack(slack);
        allowance
    }

    /// Makes this the allowance of a service that runs pieces of stages.
    pub fn for_pieces(self) -> Self {
        Self {
            burst: PIECE_BURST,
            ..self
        }
    }

    /// Sets this node's part of the slack, which depends on the number of nodes.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
        if self.is_first && slack > 0.0 {
            self.is_first = false;
            self.saved = SAVED_SLACK * slack;
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Moment) {
        self.record_first_attempts(now, 1);
    }

    /// Records the first attempts of this number of requests or pieces.
    pub fn record_first_attempts(&mut self, now: Moment, count: usize) {
        self.update(now);
        self.saved += (1.0 - self.burst) * self.ratio * count as f64;
        self.first_attempts.extend(std::iter::repeat_n(now, count));
    }

    /// Takes one retry if the window allows it.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.try_take_many(now, 1)
    }

    /// Takes this number of retries, all or none.
    pub fn try_take_many(&mut self, now: Moment, count: usize) -> bool {
        self.update(now);
        let count = count as f64;
        if count > self.saved {
            return false;
        }
        self.saved -= count;
        true
    }

    /// Gives back a retry that was not sent.
    pub fn release(&mut self) {
        self.saved += 1.0;
    }

    /// Adds what has accrued since the last update, up to the limit.
    fn update(&mut self, now: Moment) {
        let start = now.saturating_sub(self.window);
        // While the window reaches back to the start, nothing is expired.
        let is_expired = |at: &Moment| start > Moment::ZERO && *at < start;
        while self.first_attempts.front().is_some_and(is_expired) {
            self.first_attempts.pop_front();
        }
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(updated_at).as_secs_f64();
        let accrued = (1.0 - SAVED_SLACK) * self.slack * elapsed / self.window.as_secs_f64();
        let earned = self.ratio * self.first_attempts.len() as f64;
        let limit = SAVED_SLACK * self.slack + self.burst * earned;
        self.saved = (self.saved + accrued).min(limit);
    }
}
