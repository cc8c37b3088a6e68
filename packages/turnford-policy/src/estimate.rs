//! Stage time estimates by hardware class and input length.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::DecayingHistogram;
use crate::Moment;

/// Half-life of the samples: a burst must show within seconds, but a lull must not erase all.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Stage time assumed without any measurement.
const DEFAULT_TIME: Duration = Duration::from_millis(50);

/// Sample weight from which a bucket is preferred to the overall distribution.
const TRUSTED_WEIGHT: f32 = 5.0;

/// Sample weight below which the overall distribution is ignored.
const MIN_WEIGHT: f32 = 0.5;

/// Sample weight required for a loss timeout.
const LOSS_TIMEOUT_WEIGHT: f32 = 20.0;

/// Quantile of the stage time that the loss timeout is based on.
const LOSS_TIMEOUT_QUANTILE: f64 = 0.99;

/// Ratio of the loss timeout to that quantile.
const LOSS_TIMEOUT_FACTOR: u32 = 2;

/// Stage time estimates of one service.
#[derive(Debug)]
pub struct StageEstimates {
    by_hardware: HashMap<Arc<str>, HashMap<u8, DecayingHistogram>>,
    by_length: HashMap<u8, DecayingHistogram>,
    overall: DecayingHistogram,
    /// Mean measured by peers, used as long as this node has no measurements.
    prior: Option<Duration>,
}

impl StageEstimates {
    /// Creates estimates without samples.
    pub fn new() -> Self {
        Self {
            by_hardware: HashMap::new(),
            by_length: HashMap::new(),
            overall: DecayingHistogram::new(HALF_LIFE),
            prior: None,
        }
    }

    /// Sets the mean measured by peers.
    pub fn set_prior(&mut self, mean: Duration) {
        self.prior = Some(mean);
    }

    /// Returns true if this node has too few recent samples.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.overall.weight(now) < TRUSTED_WEIGHT
    }

    /// Records the time of a completed stage on a hardware class. `length` is the input length in
    /// tokens.
    pub fn record(&mut self, now: Moment, hardware: &Arc<str>, length: u32, time: Duration) {
        let bucket = length_bucket(length);
        let fresh = || DecayingHistogram::new(HALF_LIFE);
        let own = self.by_hardware.entry(hardware.clone()).or_default();
        own.entry(bucket).or_insert_with(fresh).record(now, time);
        self.by_length
            .entry(bucket)
            .or_insert_with(fresh)
            .record(now, time);
        self.overall.record(now, time);
    }

    /// Returns the mean time on a hardware class for an input length, or the mean over all hardware
    /// without enough samples.
    pub fn mean(&self, now: Moment, hardware: &str, length: u32) -> Duration {
        let own = self.by_hardware.get(hardware);
        let own = own.and_then(|lengths| lengths.get(&length_bucket(length)));
        let trusted = own.filter(|found| found.weight(now) >= TRUSTED_WEIGHT);
        let mean = trusted.and_then(DecayingHistogram::mean);
        mean.unwrap_or_else(|| self.mean_of_length(now, length))
    }

    /// Returns the mean time over all hardware for an input length.
    pub fn mean_of_length(&self, now: Moment, length: u32) -> Duration {
        let found = self
            .length_histogram(now, length)
            .and_then(DecayingHistogram::mean);
        found.or(self.prior).unwrap_or(DEFAULT_TIME)
    }

    /// Returns a quantile, 0 to 1, of the time over all hardware for an input length.
    pub fn quantile(&self, now: Moment, length: u32, quantile: f64) -> Duration {
        let found = self.length_histogram(now, length);
        let time = found.and_then(|histogram| histogram.quantile(quantile));
        time.or(self.prior).unwrap_or(DEFAULT_TIME)
    }

    /// Returns the time after which a call is presumed lost, or `None` without enough samples.
    pub fn loss_timeout(&self, now: Moment, length: u32) -> Option<Duration> {
        let own = self.by_length.get(&length_bucket(length))?;
        if own.weight(now) < LOSS_TIMEOUT_WEIGHT {
            return None;
        }
        own.quantile(LOSS_TIMEOUT_QUANTILE)
            .map(|time| time * LOSS_TIMEOUT_FACTOR)
    }

    fn length_histogram(&self, now: Moment, length: u32) -> Option<&DecayingHistogram> {
        let own = self.by_length.get(&length_bucket(length));
        let trusted = own.filter(|found| found.weight(now) >= TRUSTED_WEIGHT);
        let overall = Some(&self.overall).filter(|found| found.weight(now) >= MIN_WEIGHT);
        trusted.or(overall)
    }
}

impl Default for StageEstimates {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the bucket of an input length. Each bucket spans a factor of two.
fn length_bucket(length: u32) -> u8 {
    let bits = u32::BITS - length.leading_zeros();
    bits as u8
}
