//! Offered load by model.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;

/// Time constant of the exponential moving average.
const AVERAGING_TIME: Duration = Duration::from_secs(10);

/// Number of busy slots below which a model is not reported.
const MIN_BUSY_SLOTS: f64 = 0.001;

/// Load submitted for each model in busy slots, averaged over some seconds.
#[derive(Debug, Default)]
pub(crate) struct ModelDemand {
    models: HashMap<Arc<str>, (Moment, f64)>,
}

impl ModelDemand {
    /// Records a work item.
    pub(crate) fn record(&mut self, now: Moment, model: &Arc<str>, expected: Duration) {
        let (at, busy_slots) = self.models.entry(model.clone()).or_insert((now, 0.0));
        let added = expected.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        *busy_slots = *busy_slots * decay(now.saturating_sub(*at)) + added;
        *at = now;
    }

    /// Returns the number of busy slots of each model.
    pub(crate) fn busy(&self, now: Moment) -> BTreeMap<String, f64> {
        let models = self.models.iter().map(|(model, (at, busy_slots))| {
            (
                model.to_string(),
                busy_slots * decay(now.saturating_sub(*at)),
            )
        });
        models
            .filter(|(_, busy_slots)| *busy_slots > MIN_BUSY_SLOTS)
            .collect()
    }
}

fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
