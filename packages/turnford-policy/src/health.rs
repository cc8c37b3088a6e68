//! Outlier detection: the health of a target compared with its peers of the same hardware class.
//!
//! The comparison with peers grouped by instance type, failing open and the limit on automatic
//! ejections are taken from the paper "Implementing health checks". docs/decisions/0005 gives the
//! measurements behind the choice of its ideas.

use std::time::Duration;

use crate::Moment;

/// Weight of the newest sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Number of samples required before a target can be an outlier.
const MIN_SAMPLES: u32 = 5;

/// Lower bound of the median slowness that a target is compared with.
const MIN_MEDIAN_SLOWNESS: f64 = 0.5;

/// Number of successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;

/// Upper bound of the ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Thresholds and durations of target ejection.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Failure rate, 0 to 1, above which a target is an outlier if it also exceeds its peers'
    /// median by `failure_margin`.
    pub failure_threshold: f64,
    /// Required distance of the failure rate from the median of the peers.
    pub failure_margin: f64,
    /// Ratio to the peers' median slowness above which a target is an outlier.
    pub slowness_threshold: f64,
    /// Maximum fraction of a pool that may be ejected at a time, 0 to 1.
    pub max_ejected_ratio: f64,
    /// Duration of the first ejection; it doubles with each further one.
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

/// Eligibility of a target for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Gets work without restriction.
    Healthy,
    /// Gets no work until this time.
    Ejected(Moment),
    /// Gets one call at a time until enough calls have succeeded; counts the successes.
    Probation(u32),
}

/// Health of one target as measured by a node.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Eligibility for work.
    pub state: HealthState,
    failure_rate: f64,
    slowness: f64,
    samples: u32,
    /// Number of ejections less the passed probations; exponent of the ejection time.
    ejection_level: u32,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failure_rate: 0.0,
            slowness: 1.0,
            samples: 0,
            ejection_level: 0,
        }
    }
}

impl TargetHealth {
    /// Returns the recent fraction of failed calls.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the recent ratio of call time to the mean of the hardware class for the same input
    /// length.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Records a complete response and the ratio of its time to the mean of the hardware class.
    pub fn record_success(&mut self, ratio: f64) {
        self.record_sample(0.0);
        let ratio = ratio.clamp(0.05, 50.0);
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness);
        if let HealthState::Probation(successes) = self.state {
            self.record_probation(successes + 1);
        }
    }

    /// Records a failure. Its time is ignored, because fast failures must not make a target look
    /// fast.
    pub fn record_failure(&mut self) {
        self.record_sample(1.0);
    }

    /// Records a call that was cancelled after `ratio` times the mean of the hardware class.
    pub fn record_timeout(&mut self, ratio: f64) {
        if ratio > self.slowness {
            self.samples = self.samples.saturating_add(1);
            self.slowness += SAMPLE_WEIGHT * (ratio.clamp(0.05, 50.0) - self.slowness);
        }
    }

    /// Returns true if the target could be an outlier for any peers. The comparison with the peers
    /// is skipped otherwise.
    pub fn may_be_outlier(&self, settings: &HealthSettings) -> bool {
        let on_probation = matches!(self.state, HealthState::Probation(_));
        let is_slow = self.slowness > settings.slowness_threshold * MIN_MEDIAN_SLOWNESS;
        on_probation || self.failure_rate > settings.failure_threshold || is_slow
    }

    /// Returns true if the target is an outlier compared with the medians of its peers.
    pub fn is_outlier(
        &self,
        settings: &HealthSettings,
        median_failure: f64,
        median_slow: f64,
    ) -> bool {
        if self.samples < MIN_SAMPLES {
            return false;
        }
        let fails = self.failure_rate > settings.failure_threshold;
        let exceeds_peers = self.failure_rate > median_failure + settings.failure_margin;
        let is_slow =
            self.slowness > settings.slowness_threshold * median_slow.max(MIN_MEDIAN_SLOWNESS);
        (fails && exceeds_peers) || is_slow
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: Moment, settings: &HealthSettings) {
        let factor = 2_u32.saturating_pow(self.ejection_level.min(8));
        let duration = (settings.base_ejection * factor).min(MAX_EJECTION);
        self.state = HealthState::Ejected(now + duration);
        self.ejection_level = self.ejection_level.saturating_add(1);
    }

    /// Starts the probation if the ejection has expired.
    pub fn expire_ejection(&mut self, now: Moment) {
        if matches!(self.state, HealthState::Ejected(until) if now >= until) {
            self.state = HealthState::Probation(0);
            self.failure_rate = 0.0;
            self.slowness = 1.0;
            self.samples = 0;
        }
    }

    /// Returns true if the target may get another call besides the `own_inflight` ones in flight.
    pub fn admits(&self, own_inflight: u32) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected(_) => false,
            HealthState::Probation(_) => own_inflight == 0,
        }
    }

    /// Returns true if the target is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected(_))
    }

    /// Returns true if the target is on probation and has failed it.
    pub fn fails_probation(&self, settings: &HealthSettings) -> bool {
        let on_probation = matches!(self.state, HealthState::Probation(_));
        on_probation
            && (self.failure_rate > 0.0 || self.slowness > settings.slowness_threshold / 2.0)
    }

    fn record_sample(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += SAMPLE_WEIGHT * (failed - self.failure_rate);
    }

    fn record_probation(&mut self, successes: u32) {
        if successes >= PROBATION_SUCCESSES {
            self.state = HealthState::Healthy;
            self.ejection_level = self.ejection_level.saturating_sub(1);
        } else {
            self.state = HealthState::Probation(successes);
        }
    }
}
