//! Learned stage times by hardware class and input length.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::DecayingHistogram;
use crate::Moment;

/// Half-life of what was learned. A burst must show within seconds, a lull must not erase all.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Stage time assumed before anything was measured.
const UNKNOWN_TIME: Duration = Duration::from_millis(50);

/// Samples needed before a bucket of its own is trusted over the whole.
const TRUSTED_WEIGHT: f32 = 5.0;

/// Samples below which nothing is known any more.
const LEAST_WEIGHT: f32 = 0.5;

/// Samples needed before a call can look lost.
const PATIENCE_WEIGHT: f32 = 20.0;

/// Quantile of the time that patience is counted from.
const PATIENCE_QUANTILE: f64 = 0.99;

/// Factor on that quantile.
const PATIENCE_FACTOR: u32 = 2;

/// Stage times of one service.
#[derive(Debug)]
pub struct StageEstimates {
    by_hardware: HashMap<Arc<str>, HashMap<u8, DecayingHistogram>>,
    by_length: HashMap<u8, DecayingHistogram>,
    all: DecayingHistogram,
    /// Mean that peers have learned, for a node that has learned nothing yet.
    prior: Option<Duration>,
}

impl StageEstimates {
    /// Makes empty estimates.
    pub fn new() -> Self {
        Self {
            by_hardware: HashMap::new(),
            by_length: HashMap::new(),
            all: DecayingHistogram::new(HALF_LIFE),
            prior: None,
        }
    }

    /// Sets the mean that peers have learned.
    pub fn set_prior(&mut self, mean: Duration) {
        self.prior = Some(mean);
    }

    /// Tells whether nothing was measured here lately.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.all.weight(now) < TRUSTED_WEIGHT
    }

    /// Learns one whole stage time on a hardware class.
    pub fn record(&mut self, now: Moment, hardware: &Arc<str>, length: u32, time: Duration) {
        let bucket = length_bucket(length);
        let fresh = || DecayingHistogram::new(HALF_LIFE);
        let own = self.by_hardware.entry(hardware.clone()).or_default();
        own.entry(bucket).or_insert_with(fresh).record(now, time);
        self.by_length
            .entry(bucket)
            .or_insert_with(fresh)
            .record(now, time);
        self.all.record(now, time);
    }

    /// Returns the mean time on a hardware class, from the closest trusted data.
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
            .any_hardware(now, length)
            .and_then(DecayingHistogram::mean);
        found.or(self.prior).unwrap_or(UNKNOWN_TIME)
    }

    /// Returns a quantile of the time over all hardware for an input length.
    pub fn quantile(&self, now: Moment, length: u32, quantile: f64) -> Duration {
        let found = self.any_hardware(now, length);
        let time = found.and_then(|histogram| histogram.quantile(quantile));
        time.or(self.prior).unwrap_or(UNKNOWN_TIME)
    }

    /// Returns how long a call may take before it looks lost; `None` before enough was learned.
    pub fn loss_timeout(&self, now: Moment, length: u32) -> Option<Duration> {
        let own = self.by_length.get(&length_bucket(length))?;
        if own.weight(now) < PATIENCE_WEIGHT {
            return None;
        }
        own.quantile(PATIENCE_QUANTILE)
            .map(|time| time * PATIENCE_FACTOR)
    }

    fn any_hardware(&self, now: Moment, length: u32) -> Option<&DecayingHistogram> {
        let own = self.by_length.get(&length_bucket(length));
        let trusted = own.filter(|found| found.weight(now) >= TRUSTED_WEIGHT);
        let whole = Some(&self.all).filter(|found| found.weight(now) >= LEAST_WEIGHT);
        trusted.or(whole)
    }
}

impl Default for StageEstimates {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the bucket of an input length: one per doubling.
fn length_bucket(length: u32) -> u8 {
    let bits = u32::BITS - length.leading_zeros();
    bits as u8
}
