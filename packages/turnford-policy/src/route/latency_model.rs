//! A span that grows with the size of what is done, learned from what was seen.

use std::time::Duration;

/// Part of what was learned that is left after one more sample: some fifty samples are remembered,
/// a few seconds of a busy service, and what was learned stays while nothing is done.
const KEEP_PART: f64 = 0.98;

/// Weight of each of the two points of the start line, in samples. It holds the line where all
/// samples have one size, and is a hundredth of what fifty samples weigh.
const START_WEIGHT: f64 = 0.25;

/// Most times a sample may differ from what was expected. A target that hangs is no sign of how fast
/// the others are; a start line that is far off is still left soon.
const LARGEST_FACTOR: f64 = 3.0;

/// A line through the sizes and spans that were seen, the newest counting most.
#[derive(Clone, Debug)]
pub struct LatencyModel {
    weight: f64,
    sizes: f64,
    spans: f64,
    squares: f64,
    products: f64,
    /// Span of nothing and of a usual size at the start, in seconds, and that size.
    start: (f64, f64, f64),
}

impl LatencyModel {
    /// Makes a line from what is thought at the start: the span of nothing, and that of a usual
    /// size.
    ///
    /// # Panics
    ///
    /// Panics if the usual size is not above 0.
    pub fn new(base: Duration, usual_size: f64, usual_span: Duration) -> Self {
        assert!(usual_size > 0.0, "a usual size has to be above 0");
        Self {
            weight: 0.0,
            sizes: 0.0,
            spans: 0.0,
            squares: 0.0,
            products: 0.0,
            start: (base.as_secs_f64(), usual_span.as_secs_f64(), usual_size),
        }
    }

    /// Learns the span of something of a size.
    pub fn observe(&mut self, size: f64, span: Duration) {
        let expected = self.predict(size).as_secs_f64();
        let span = span.as_secs_f64();
        let span = span.clamp(expected / LARGEST_FACTOR, expected * LARGEST_FACTOR);
        for sum in [
            &mut self.weight,
            &mut self.sizes,
            &mut self.spans,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= KEEP_PART;
        }
        self.weight += 1.0;
        self.sizes += size;
        self.spans += span;
        self.squares += size * size;
        self.products += size * span;
    }

    /// Returns the expected span of something of a size.
    pub fn predict(&self, size: f64) -> Duration {
        let (base, slope) = self.fit();
        Duration::from_secs_f64(base + slope * size)
    }

    /// Returns the expected span of nothing: what is spent whatever the size.
    pub fn base(&self) -> Duration {
        Duration::from_secs_f64(self.fit().0)
    }

    /// Returns by how much the span grows with each unit of size, in seconds.
    pub fn slope(&self) -> f64 {
        self.fit().1
    }

    /// Returns the base and the slope of the line, neither below 0.
    fn fit(&self) -> (f64, f64) {
        let (start_base, start_span, size) = self.start;
        let weight = self.weight + 2.0 * START_WEIGHT;
        let sizes = self.sizes + START_WEIGHT * size;
        let spans = self.spans + START_WEIGHT * (start_base + start_span);
        let squares = self.squares + START_WEIGHT * size * size;
        let products = self.products + START_WEIGHT * size * start_span;
        // The start's two sizes differ, so this is above 0.
        let spread = weight * squares - sizes * sizes;
        let slope = (weight * products - sizes * spans) / spread;
        let base = (spans - slope * sizes) / weight;
        if slope < 0.0 {
            (spans / weight, 0.0)
        } else if base < 0.0 {
            (0.0, products / squares)
        } else {
            (base, slope)
        }
    }
}
