//! Admission of clients' connections by the load of the thread that serves them.

use std::time::Duration;

use crate::Moment;

/// Delay of the thread's tasks that is aimed at while the node is saturated. A request waits for the
/// thread some five times before its first byte, so more than this would cost short calls their
/// latency objective.
const TARGET_DELAY: Duration = Duration::from_millis(20);

/// Number of consecutive samples whose smallest delay counts. A single late sample may come from a
/// quota of processor time that was used up for a moment.
const WINDOW_SAMPLES: usize = 3;

/// Interval over which the rate of accepted connections is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Ratio of that rate that is accepted when the node becomes saturated. What was accepted before is
/// still to be served.
const INITIAL_RATIO: f64 = 0.5;

/// Factors of the accepted rate for each sample above and below the target.
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 1.03;

/// Minimum rate in connections per second. A node that is ready must go on accepting connections.
const MIN_RATE: f64 = 2.0;

/// Time for which connections may be accepted in one burst, in parts of the rate.
const BURST: Duration = Duration::from_millis(100);

/// Time without a rejected connection after which the node is no longer saturated.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// It is served.
    Accept,
    /// It is closed before anything is read from it, so that its client can go to another node.
    Reject,
}

/// Change of the state of a [`ConnectionGate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateChange {
    /// The node has more work than it gets processor time for.
    Saturated {
        /// Smallest delay of the last samples.
        delay: Duration,
        /// Connections per second that are accepted from now on.
        rate: f64,
    },
    /// The node has time for all connections again.
    Recovered {
        /// Connections that were rejected in the meantime.
        rejected: u64,
    },
}

/// Accepts as many connections as the node has processor time for.
///
/// The load of the thread shows in the delay of its timers, and in connections that it has no time to
/// take from the kernel's queue. While even the smallest delay of several
/// samples exceeds a target, a rate of accepted connections is adjusted until the delay stays at the
/// target. What was accepted is served; the others are rejected before they are read.
#[derive(Clone, Debug, Default)]
pub struct ConnectionGate {
    /// Latest delays, and the position of the oldest one.
    delays: [Duration; WINDOW_SAMPLES],
    next_sample: usize,
    /// Since when the kernel's queue has always held further connections after some were taken.
    queued_since: Option<Moment>,
    /// Start of the current rate window and the connections accepted in it.
    window_start: Moment,
    window_count: u32,
    /// Accepted connections per second in the last complete window.
    accepted_rate: f64,
    saturation: Option<Saturation>,
}

/// State of a saturated node.
#[derive(Clone, Debug)]
struct Saturation {
    /// Accepted connections per second.
    rate: f64,
    /// Connections that may be accepted now.
    tokens: f64,
    refilled_at: Moment,
    rejected: u64,
    rejected_at: Moment,
}

impl ConnectionGate {
    /// Records whether further connections wait in the kernel's queue after some were taken from it.
    pub fn record_queue(&mut self, now: Moment, has_more: bool) {
        if has_more {
            self.queued_since.get_or_insert(now);
        } else {
            self.queued_since = None;
        }
    }

    /// Records the delay of a timer of the thread, and returns whether the state changes.
    pub fn record_delay(&mut self, now: Moment, delay: Duration) -> Option<GateChange> {
        let queued = self.queued_since.map(|since| now.saturating_sub(since));
        let delay = delay.max(queued.unwrap_or_default());
        self.delays[self.next_sample] = delay;
        self.next_sample = (self.next_sample + 1) % WINDOW_SAMPLES;
        self.close_window(now);
        let delay = self.standing_delay();
        let is_late = delay > TARGET_DELAY;
        let Some(saturation) = &mut self.saturation else {
            return is_late.then(|| self.saturate(now, delay));
        };
        let factor = if is_late { DECREASE } else { INCREASE };
        saturation.rate = (saturation.rate * factor).max(MIN_RATE);
        let idle = now.saturating_sub(saturation.rejected_at);
        if is_late || idle < RECOVERY_TIME {
            return None;
        }
        let rejected = saturation.rejected;
        self.saturation = None;
        Some(GateChange::Recovered { rejected })
    }

    /// Decides on a new connection. It is only rejected if its client has an alternative: another node
    /// of the hall, to which the balancer hands it.
    pub fn decide(&mut self, now: Moment, has_alternative: bool) -> GateDecision {
        self.close_window(now);
        if let Some(saturation) = &mut self.saturation {
            if !saturation.take_token(now) && has_alternative {
                saturation.rejected += 1;
                saturation.rejected_at = now;
                return GateDecision::Reject;
            }
        }
        self.window_count += 1;
        GateDecision::Accept
    }

    /// Returns whether the node has more work than processor time even with the connections that it
    /// rejects.
    pub fn is_overdue(&self) -> bool {
        self.saturation.is_some() && self.standing_delay() > TARGET_DELAY
    }

    /// Returns whether the node rejects connections beyond a rate.
    pub fn is_saturated(&self) -> bool {
        self.saturation.is_some()
    }

    /// Returns the smallest delay of the latest samples.
    fn standing_delay(&self) -> Duration {
        self.delays.iter().min().copied().unwrap_or_default()
    }

    fn saturate(&mut self, now: Moment, delay: Duration) -> GateChange {
        let rate = (self.accepted_rate * INITIAL_RATIO).max(MIN_RATE);
        self.saturation = Some(Saturation {
            rate,
            tokens: 0.0,
            refilled_at: now,
            rejected: 0,
            rejected_at: now,
        });
        GateChange::Saturated { delay, rate }
    }

    /// Measures the rate of accepted connections once its window is over.
    fn close_window(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= RATE_WINDOW {
            self.accepted_rate = f64::from(self.window_count) / elapsed.as_secs_f64();
            self.window_start = now;
            self.window_count = 0;
        }
    }
}

impl Saturation {
    fn take_token(&mut self, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let most = (self.rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(most);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
