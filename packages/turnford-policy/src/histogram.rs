//! Histogram of durations with exponential decay.

use std::time::Duration;

use crate::Moment;

/// Number of buckets per doubling; a bucket spans a factor of 2^(1/4), about 19%.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of buckets: 22 octaves from [`MIN_SECONDS`] reach beyond 400 s.
const BUCKET_COUNT: usize = 88;

/// Upper bound of the first bucket, in seconds.
const MIN_SECONDS: f64 = 0.000_1;

/// Distribution of durations in which samples lose weight with age.
///
/// All counts are halved once every half-life. Buckets are logarithmic, which limits the error of a
/// quantile to about 19%.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    counts: [f32; BUCKET_COUNT],
    total: f32,
    sum: f64,
    half_life: Duration,
    decayed_at: Moment,
}

impl DecayingHistogram {
    /// Creates an empty histogram whose counts are halved every `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
            sum: 0.0,
            half_life,
            decayed_at: Moment::ZERO,
        }
    }

    /// Records a sample.
    pub fn record(&mut self, now: Moment, sample: Duration) {
        self.decay(now);
        let seconds = sample.as_secs_f64();
        self.counts[bucket_index(seconds)] += 1.0;
        self.total += 1.0;
        self.sum += seconds;
    }

    /// Returns the decayed number of samples.
    ///
    /// It falls while nothing is recorded, so that callers stop relying on old samples.
    pub fn weight(&self, now: Moment) -> f32 {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let halvings = (elapsed / self.half_life.as_secs_f64()).floor();
        self.total * 0.5_f64.powf(halvings) as f32
    }

    /// Returns the mean, or `None` without samples.
    pub fn mean(&self) -> Option<Duration> {
        if self.total <= f32::EPSILON {
            return None;
        }
        Some(Duration::from_secs_f64(self.sum / f64::from(self.total)))
    }

    /// Returns the upper bound of the bucket that contains the quantile, or `None` without samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total <= f32::EPSILON {
            return None;
        }
        let target_weight = (quantile.clamp(0.0, 1.0) as f32) * self.total;
        let mut cumulative = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if *count > 0.0 && cumulative >= target_weight {
                return Some(upper_bound(index));
            }
        }
        self.counts
            .iter()
            .rposition(|count| *count > 0.0)
            .map(upper_bound)
    }

    /// Halves the counts once for each elapsed half-life.
    fn decay(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < self.half_life {
            return;
        }
        let halvings = elapsed.as_secs_f64() / self.half_life.as_secs_f64();
        let factor = 0.5_f64.powf(halvings.floor());
        for count in &mut self.counts {
            *count *= factor as f32;
        }
        self.total *= factor as f32;
        self.sum *= factor;
        self.decayed_at = now;
    }
}

fn bucket_index(seconds: f64) -> usize {
    if seconds <= MIN_SECONDS {
        return 0;
    }
    let octaves = (seconds / MIN_SECONDS).log2();
    let index = (octaves * BUCKETS_PER_OCTAVE).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

fn upper_bound(index: usize) -> Duration {
    Duration::from_secs_f64(MIN_SECONDS * 2.0_f64.powf(index as f64 / BUCKETS_PER_OCTAVE))
}
