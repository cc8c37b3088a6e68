//! Retries of a service as a fraction of its traffic over the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Fraction of the allowed ratio that is used. The rest covers requests that an outside observer
/// counts in another window.
const USABLE_RATIO: f64 = 0.8;

/// One node's share of the retries allowed for a service within a sliding window.
///
/// Each node counts its own requests and spends its own part of the slack, so the sum over all
/// nodes stays below ratio x requests + slack.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    slack: f64,
    first_attempts: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryAllowance {
    /// Creates an allowance for a node that may spend `slack` retries of its own in each window.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets this node's part of the slack, which depends on the number of nodes.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Moment) {
        self.record_first_attempts(now, 1);
    }

    /// Records the first attempts of this number of requests.
    pub fn record_first_attempts(&mut self, now: Moment, count: usize) {
        self.remove_expired(now);
        self.first_attempts.extend(std::iter::repeat_n(now, count));
    }

    /// Takes one retry if the window allows it.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.try_take_many(now, 1)
    }

    /// Takes this number of retries, all or none.
    pub fn try_take_many(&mut self, now: Moment, count: usize) -> bool {
        self.remove_expired(now);
        let limit = self.ratio * USABLE_RATIO * self.first_attempts.len() as f64 + self.slack;
        if (self.retries.len() + count) as f64 > limit {
            return false;
        }
        self.retries.extend(std::iter::repeat_n(now, count));
        true
    }

    /// Gives back the newest retry, which was not sent.
    pub fn release(&mut self) {
        self.retries.pop_back();
    }

    /// Returns the number of retries in the window that ends now.
    pub fn used(&mut self, now: Moment) -> usize {
        self.remove_expired(now);
        self.retries.len()
    }

    fn remove_expired(&mut self, now: Moment) {
        let start = now.saturating_sub(self.window);
        // While the window reaches back to the start, nothing is expired.
        let is_expired = |at: &Moment| start > Moment::ZERO && *at < start;
        while self.first_attempts.front().is_some_and(is_expired) {
            self.first_attempts.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
