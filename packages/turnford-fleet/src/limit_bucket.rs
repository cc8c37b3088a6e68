//! The calls that one target takes from all nodes together, as they become free.

use std::time::Duration;

use turnford_policy::CallRate;

use crate::Moment;

/// Time whose calls may go together: permits are asked for at odd moments, and what is not asked for in
/// time would be lost.
const BURST_SPAN: Duration = Duration::from_millis(100);

/// Least number of calls that may go together, for the same reason.
const LEAST_BURST: f64 = 2.0;

/// Part of a target's calls that may go to its upkeep.
const UPKEEP_PART: f64 = 0.25;

/// Most calls for which a question may go ahead of time.
const QUESTION_DEBT: f64 = -1.0;

/// Longest wait that is told where a target takes nothing.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PermitPurpose {
    /// A request or pieces.
    Work,
    /// What a target's work needs beside that: reports, releases, questions.
    Maintenance,
}

/// A token bucket; it starts empty.
#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    rate: CallRate,
    tokens: f64,
    upkeep: f64,
    at: Moment,
    /// When a call was let through last.
    pub(crate) granted_at: Moment,
}

impl LimitBucket {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            tokens: 0.0,
            upkeep: 0.0,
            at: now,
            granted_at: now,
        }
    }

    /// Goes on to now, and lets so many calls a second become free from now on.
    pub(crate) fn advance(&mut self, now: Moment, rate: CallRate) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = (self.rate * BURST_SPAN.as_secs_f64()).max(LEAST_BURST);
        self.tokens = (self.tokens + self.rate * span).min(most);
        self.upkeep = (self.upkeep + self.rate * span * UPKEEP_PART).min(1.0);
        self.rate = rate;
    }

    /// Returns the calls that are free, with parts of one.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Lets a call through; false if none is free.
    pub(crate) fn take(&mut self, now: Moment, purpose: PermitPurpose) -> bool {
        let is_upkeep = purpose == PermitPurpose::Maintenance;
        if self.tokens < 1.0 || (is_upkeep && self.upkeep < 1.0) {
            return false;
        }
        self.tokens -= 1.0;
        if is_upkeep {
            self.upkeep -= 1.0;
        }
        self.granted_at = now;
        true
    }

    /// Lets a question through, which may go ahead of its time: a target that gets no call says nothing.
    pub(crate) fn take_question(&mut self, now: Moment) {
        self.tokens = (self.tokens - 1.0).max(QUESTION_DEBT);
        self.granted_at = now;
    }

    /// Returns the time until a call for this is free.
    pub(crate) fn wait(&self, purpose: PermitPurpose) -> Duration {
        let work = (1.0 - self.tokens).max(0.0) / self.rate;
        let upkeep = (1.0 - self.upkeep).max(0.0) / (self.rate * UPKEEP_PART);
        let wait = match purpose {
            PermitPurpose::Work => work,
            PermitPurpose::Maintenance => work.max(upkeep),
        };
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_WAIT);
        wait.min(LONGEST_WAIT)
    }
}
