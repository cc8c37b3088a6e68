//! How much work each model is asked for.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;

/// Time constant of the average.
const AVERAGE_SPAN: Duration = Duration::from_secs(10);

/// Busy slots below which a model is forgotten.
const LEAST_BUSY: f64 = 0.001;

/// Work offered by model, as busy slots, averaged over some seconds.
#[derive(Debug, Default)]
pub(crate) struct ModelDemand {
    models: HashMap<Arc<str>, (Moment, f64)>,
}

impl ModelDemand {
    /// Notes a piece of work.
    pub(crate) fn note(&mut self, now: Moment, model: &Arc<str>, expected: Duration) {
        let (at, busy) = self.models.entry(model.clone()).or_insert((now, 0.0));
        let added = expected.as_secs_f64() / AVERAGE_SPAN.as_secs_f64();
        *busy = *busy * decay(now.saturating_sub(*at)) + added;
        *at = now;
    }

    /// Returns the busy slots of each model.
    pub(crate) fn busy(&self, now: Moment) -> BTreeMap<String, f64> {
        let models = self
            .models
            .iter()
            .map(|(model, (at, busy))| (model.to_string(), busy * decay(now.saturating_sub(*at))));
        models.filter(|(_, busy)| *busy > LEAST_BUSY).collect()
    }
}

fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / AVERAGE_SPAN.as_secs_f64()).exp()
}
