//! Linear model of durations by the size of the work, learned from samples.

use std::time::Duration;

/// Decay of older samples with each new one. About fifty samples count, a few seconds of a busy
/// service. Nothing decays while there are no samples.
const SAMPLE_DECAY: f64 = 0.98;

/// Weight of each of the two prior points, in samples. They define the line while all samples have
/// one size, and are a hundredth of the weight of fifty samples.
const PRIOR_WEIGHT: f64 = 0.25;

/// Maximum factor by which a sample may differ from the prediction. A hung target says nothing
/// about the speed of the others, and a prior that is far off is still corrected soon.
const MAX_DEVIATION: f64 = 3.0;

/// A line fitted to sizes and durations by least squares, with decaying weights.
#[derive(Clone, Debug)]
pub struct LatencyModel {
    weight: f64,
    sizes: f64,
    durations: f64,
    squares: f64,
    products: f64,
    /// Prior duration for size 0 and for a typical size, in seconds, and that size.
    prior: (f64, f64, f64),
}

impl LatencyModel {
    /// Creates a model from prior durations for size 0 and for a typical size.
    ///
    /// # Panics
    ///
    /// Panics if the typical size is not above 0.
    pub fn new(base: Duration, typical_size: f64, typical_duration: Duration) -> Self {
        assert!(typical_size > 0.0, "typical size must be above 0");
        Self {
            weight: 0.0,
            sizes: 0.0,
            durations: 0.0,
            squares: 0.0,
            products: 0.0,
            prior: (
                base.as_secs_f64(),
                typical_duration.as_secs_f64(),
                typical_size,
            ),
        }
    }

    /// Adds a sample of the duration for a size.
    pub fn observe(&mut self, size: f64, duration: Duration) {
        let expected = self.predict(size).as_secs_f64();
        let duration = duration.as_secs_f64();
        let duration = duration.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        for sum in [
            &mut self.weight,
            &mut self.sizes,
            &mut self.durations,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.weight += 1.0;
        self.sizes += size;
        self.durations += duration;
        self.squares += size * size;
        self.products += size * duration;
    }

    /// Returns the expected duration for a size.
    pub fn predict(&self, size: f64) -> Duration {
        let (base, slope) = self.fit();
        Duration::from_secs_f64(base + slope * size)
    }

    /// Returns the expected duration for size 0.
    pub fn base(&self) -> Duration {
        Duration::from_secs_f64(self.fit().0)
    }

    /// Returns the increase of the duration per unit of size, in seconds.
    pub fn slope(&self) -> f64 {
        self.fit().1
    }

    /// Returns the base and the slope of the line, neither below 0.
    fn fit(&self) -> (f64, f64) {
        let (prior_base, prior_duration, size) = self.prior;
        let weight = self.weight + 2.0 * PRIOR_WEIGHT;
        let sizes = self.sizes + PRIOR_WEIGHT * size;
        let durations = self.durations + PRIOR_WEIGHT * (prior_base + prior_duration);
        let squares = self.squares + PRIOR_WEIGHT * size * size;
        let products = self.products + PRIOR_WEIGHT * size * prior_duration;
        // Above 0, since the sizes of the two prior points differ.
        let spread = weight * squares - sizes * sizes;
        let slope = (weight * products - sizes * durations) / spread;
        let base = (durations - slope * sizes) / weight;
        if slope < 0.0 {
            (durations / weight, 0.0)
        } else if base < 0.0 {
            (0.0, products / squares)
        } else {
            (base, slope)
        }
    }
}
