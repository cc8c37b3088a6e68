//! Repeats of one service as a part of its traffic, over the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Part of the allowed ratio that is used. The rest covers requests that are counted in another
/// window by whoever looks from outside.
const RATIO_PART: f64 = 0.8;

/// One node's share of the repeats that a service may get in a sliding window.
///
/// The sum over all nodes stays below ratio x requests + slack, since each node counts its own
/// requests and spends its own part of the slack.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    slack: f64,
    firsts: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryAllowance {
    /// Makes an allowance for a node that may spend `slack` repeats of its own in each window.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Sets this node's part of the slack anew, as the number of nodes changes.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Notes a request that is new to the service.
    pub fn record_first_attempt(&mut self, now: Moment) {
        self.record_first_attempts(now, 1);
    }

    /// Notes so many requests that are new to the service.
    pub fn record_first_attempts(&mut self, now: Moment, count: usize) {
        self.forget(now);
        self.firsts.extend(std::iter::repeat_n(now, count));
    }

    /// Takes one repeat if the window has room for it.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.try_take_many(now, 1)
    }

    /// Takes so many repeats, all or none.
    pub fn try_take_many(&mut self, now: Moment, count: usize) -> bool {
        self.forget(now);
        let room = self.ratio * RATIO_PART * self.firsts.len() as f64 + self.slack;
        if (self.repeats.len() + count) as f64 > room {
            return false;
        }
        self.repeats.extend(std::iter::repeat_n(now, count));
        true
    }

    /// Gives the newest repeat back, which was not made.
    pub fn release(&mut self) {
        self.repeats.pop_back();
    }

    /// Returns the repeats in the window that ends now.
    pub fn used(&mut self, now: Moment) -> usize {
        self.forget(now);
        self.repeats.len()
    }

    fn forget(&mut self, now: Moment) {
        let begin = now.saturating_sub(self.window);
        // Where the window reaches back to the start, nothing is old yet.
        let is_old = |at: &Moment| begin > Moment::ZERO && *at < begin;
        while self.firsts.front().is_some_and(is_old) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
