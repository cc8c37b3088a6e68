//! The split of one deadline over the stages that are left.

use std::time::Duration;

use crate::Moment;

/// Deadline of one request and the reserves of its stages.
#[derive(Clone, Debug)]
pub struct DeadlineBudget {
    deadline: Moment,
    reserves: Vec<Duration>,
}

impl DeadlineBudget {
    /// Makes a budget from the reserve of each stage, in order.
    pub fn new(deadline: Moment, reserves: Vec<Duration>) -> Self {
        Self { deadline, reserves }
    }

    /// Returns the end of the whole request.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the latest end of a stage that leaves the later stages their reserves.
    pub fn latest_end(&self, stage: usize) -> Moment {
        let later: Duration = self.reserves.iter().skip(stage + 1).sum();
        self.deadline.saturating_sub(later)
    }

    /// Returns the latest start of a stage that leaves it and the later stages their reserves.
    pub fn latest_start(&self, stage: usize) -> Moment {
        let own = self.reserves.get(stage).copied().unwrap_or_default();
        self.latest_end(stage).saturating_sub(own)
    }

    /// Returns the sum of the reserves from a stage on.
    pub fn reserve_from(&self, stage: usize) -> Duration {
        self.reserves.iter().skip(stage).sum()
    }
}
