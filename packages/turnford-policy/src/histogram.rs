//! A small histogram of durations that forgets.

use std::time::Duration;

use crate::Moment;

/// Buckets per doubling; one bucket spans a factor of 2^(1/4), about 19%.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of buckets: 22 octaves from [`SMALLEST`] reach over 400 s.
const BUCKET_COUNT: usize = 88;

/// Upper edge of the first bucket, in seconds.
const SMALLEST: f64 = 0.000_1;

/// Distribution of durations in which old samples count less.
///
/// All counts are halved once every half-life. Samples are put into logarithmic buckets, so a
/// quantile is exact to about 19%.
#[derive(Clone, Debug)]
pub struct DecayingHistogram {
    counts: [f32; BUCKET_COUNT],
    total: f32,
    sum: f64,
    half_life: Duration,
    halved_at: Moment,
}

impl DecayingHistogram {
    /// Makes an empty histogram whose counts halve every `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
            sum: 0.0,
            half_life,
            halved_at: Moment::ZERO,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Moment, sample: Duration) {
        self.age(now);
        let seconds = sample.as_secs_f64();
        self.counts[bucket_of(seconds)] += 1.0;
        self.total += 1.0;
        self.sum += seconds;
    }

    /// Returns the number of samples as aged until now.
    ///
    /// It falls while nothing is recorded, so that old times lose trust and are measured anew.
    pub fn weight(&self, now: Moment) -> f32 {
        let passed = now.saturating_sub(self.halved_at).as_secs_f64();
        let halvings = (passed / self.half_life.as_secs_f64()).floor();
        self.total * 0.5_f64.powf(halvings) as f32
    }

    /// Returns the mean; `None` without samples.
    pub fn mean(&self) -> Option<Duration> {
        if self.total <= f32::EPSILON {
            return None;
        }
        Some(Duration::from_secs_f64(self.sum / f64::from(self.total)))
    }

    /// Returns the upper edge of the bucket that holds the quantile; `None` without samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total <= f32::EPSILON {
            return None;
        }
        let wanted = (quantile.clamp(0.0, 1.0) as f32) * self.total;
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if *count > 0.0 && seen >= wanted {
                return Some(edge_of(index));
            }
        }
        self.counts
            .iter()
            .rposition(|count| *count > 0.0)
            .map(edge_of)
    }

    /// Halves the counts once for each half-life that passed.
    fn age(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.halved_at);
        if passed < self.half_life {
            return;
        }
        let halvings = passed.as_secs_f64() / self.half_life.as_secs_f64();
        let factor = 0.5_f64.powf(halvings.floor());
        for count in &mut self.counts {
            *count *= factor as f32;
        }
        self.total *= factor as f32;
        self.sum *= factor;
        self.halved_at = now;
    }
}

fn bucket_of(seconds: f64) -> usize {
    if seconds <= SMALLEST {
        return 0;
    }
    let octaves = (seconds / SMALLEST).log2();
    let index = (octaves * BUCKETS_PER_OCTAVE).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

fn edge_of(index: usize) -> Duration {
    Duration::from_secs_f64(SMALLEST * 2.0_f64.powf(index as f64 / BUCKETS_PER_OCTAVE))
}
