//! Division of a request's deadline between its remaining stages.

use std::time::Duration;

use crate::Moment;

/// Deadline of one request and the time reserved for each of its stages.
#[derive(Clone, Debug)]
pub struct DeadlineBudget {
    deadline: Moment,
    reserves: Vec<Duration>,
}

impl DeadlineBudget {
    /// Creates a budget from the time reserved for each stage, in order.
    pub fn new(deadline: Moment, reserves: Vec<Duration>) -> Self {
        Self { deadline, reserves }
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the latest end of a stage that preserves the reserves of the later stages.
    pub fn latest_end(&self, stage: usize) -> Moment {
        let later: Duration = self.reserves.iter().skip(stage + 1).sum();
        self.deadline.saturating_sub(later)
    }

    /// Returns the latest start of a stage that preserves its own reserve and those of the later
    /// stages.
    pub fn latest_start(&self, stage: usize) -> Moment {
        let own = self.reserves.get(stage).copied().unwrap_or_default();
        self.latest_end(stage).saturating_sub(own)
    }

    /// Returns the sum of the reserves of a stage and all later stages.
    pub fn reserve_from(&self, stage: usize) -> Duration {
        self.reserves.iter().skip(stage).sum()
    }
}
