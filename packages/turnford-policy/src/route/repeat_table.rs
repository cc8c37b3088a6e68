//! Targets that repeat responses on kept connections.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

/// Time after a repeated response for which its target is expected to repeat others. Faults of targets last some
/// seconds.
const REPEAT_MEMORY: Duration = Duration::from_secs(30);

/// Targets that were observed to repeat a response.
#[derive(Clone, Debug, Default)]
pub struct RepeatTable {
    last_repeats: BTreeMap<TargetId, Moment>,
}

impl RepeatTable {
    /// Records a repeated response of a target.
    pub fn record_repeat(&mut self, now: Moment, target: &str) {
        self.last_repeats
            .retain(|_, last| now.saturating_sub(*last) < REPEAT_MEMORY);
        self.last_repeats.insert(target.into(), now);
    }

    /// Returns whether a target is expected to repeat responses.
    pub fn is_expected(&self, now: Moment, target: &str) -> bool {
        let last = self.last_repeats.get(target);
        last.is_some_and(|last| now.saturating_sub(*last) < REPEAT_MEMORY)
    }
}
