//! Health of a target by comparison with its peers of the same hardware class.
//!
//! From "Implementing health checks" (the supplied paper) come: comparison with peers collated by
//! instance type, fail open, and a bound on what automation may remove. docs/decisions/0005 gives
//! the measurements that decided which of its ideas are used.

use std::time::Duration;

use crate::Moment;

/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Samples before a target is judged at all.
const JUDGED_SAMPLES: u32 = 5;

/// Least median slowness that a target is compared with.
const LEAST_MEDIAN: f64 = 0.5;

/// Successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// When a target is taken out, and for how long.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Part of failed calls over which a target is bad, if its peers are not like it.
    pub failure_threshold: f64,
    /// How far its failures must be above the median of its peers.
    pub failure_margin: f64,
    /// Factor over its peers' median time at which a target is bad.
    pub slowness_threshold: f64,
    /// Largest part of a pool that may be out at a time.
    pub max_ejected_ratio: f64,
    /// First time out; it doubles with each further one.
    pub base_ejection: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 0.5,
            failure_margin: 0.3,
            slowness_threshold: 4.0,
            max_ejected_ratio: 0.34,
            base_ejection: Duration::from_secs(5),
        }
    }
}

/// Whether a target gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Gets work as any other.
    Healthy,
    /// Gets none until this time.
    Ejected(Moment),
    /// Gets one call at a time until enough succeed.
    Probation(u32),
}

/// What a node measured of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Whether the target gets work.
    pub state: HealthState,
    failure: f64,
    slowness: f64,
    samples: u32,
    strikes: u32,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failure: 0.0,
            slowness: 1.0,
            samples: 0,
            strikes: 0,
        }
    }
}

impl TargetHealth {
    /// Returns the recent part of failed calls.
    pub fn failure_rate(&self) -> f64 {
        self.failure
    }

    /// Returns the recent time over the class's mean for the same input length.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Notes a whole answer and its time over the class's mean.
    pub fn record_success(&mut self, ratio: f64) {
        self.note_sample(0.0);
        let ratio = ratio.clamp(0.05, 50.0);
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness);
        if let HealthState::Probation(successes) = self.state {
            self.note_probation(successes + 1);
        }
    }

    /// Notes a failure. Its time says nothing: fast failures must not look like speed.
    pub fn record_failure(&mut self) {
        self.note_sample(1.0);
    }

    /// Notes a call given up after a wait that was already `ratio` times the class's mean.
    pub fn record_timeout(&mut self, ratio: f64) {
        if ratio > self.slowness {
            self.samples = self.samples.saturating_add(1);
            self.slowness += SAMPLE_WEIGHT * (ratio.clamp(0.05, 50.0) - self.slowness);
        }
    }

    /// Tells whether the target may be bad whatever its peers are like; the comparison with them is
    /// made only then.
    pub fn may_be_outlier(&self, settings: &HealthSettings) -> bool {
        let probed = matches!(self.state, HealthState::Probation(_));
        let slow = self.slowness > settings.slowness_threshold * LEAST_MEDIAN;
        probed || self.failure > settings.failure_threshold || slow
    }

    /// Tells whether the target is bad next to the medians of its peers.
    pub fn is_outlier(
        &self,
        settings: &HealthSettings,
        median_failure: f64,
        median_slow: f64,
    ) -> bool {
        if self.samples < JUDGED_SAMPLES {
            return false;
        }
        let fails = self.failure > settings.failure_threshold;
        let fails_alone = self.failure > median_failure + settings.failure_margin;
        let slow_alone =
            self.slowness > settings.slowness_threshold * median_slow.max(LEAST_MEDIAN);
        (fails && fails_alone) || slow_alone
    }

    /// Takes the target out.
    pub fn eject(&mut self, now: Moment, settings: &HealthSettings) {
        let factor = 2_u32.saturating_pow(self.strikes.min(8));
        let span = (settings.base_ejection * factor).min(LONGEST_EJECTION);
        self.state = HealthState::Ejected(now + span);
        self.strikes = self.strikes.saturating_add(1);
    }

    /// Moves an ejection that is over into probation.
    pub fn expire_ejection(&mut self, now: Moment) {
        if matches!(self.state, HealthState::Ejected(until) if now >= until) {
            self.state = HealthState::Probation(0);
            self.failure = 0.0;
            self.slowness = 1.0;
            self.samples = 0;
        }
    }

    /// Tells whether the target may get one more call beside `own` running ones.
    pub fn admits(&self, own: u32) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected(_) => false,
            HealthState::Probation(_) => own == 0,
        }
    }

    /// Tells whether the target is out now.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected(_))
    }

    /// Tells whether a failure just now ends a probation.
    pub fn fails_probation(&self, settings: &HealthSettings) -> bool {
        let probed = matches!(self.state, HealthState::Probation(_));
        probed && (self.failure > 0.0 || self.slowness > settings.slowness_threshold / 2.0)
    }

    fn note_sample(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure += SAMPLE_WEIGHT * (failed - self.failure);
    }

    fn note_probation(&mut self, successes: u32) {
        if successes >= PROBATION_SUCCESSES {
            self.state = HealthState::Healthy;
            self.strikes = self.strikes.saturating_sub(1);
        } else {
            self.state = HealthState::Probation(successes);
        }
    }
}
