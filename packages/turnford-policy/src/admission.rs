//! Admission over the whole chain of stages.

use std::time::Duration;

use crate::DeadlineBudget;
use crate::Moment;

/// Smallest hint for a caller's next try.
const SMALLEST_HINT: Duration = Duration::from_millis(100);

/// What one stage of a request would meet now.
#[derive(Clone, Copy, Debug)]
pub struct StageDemand {
    /// Wait before the stage starts: work held, promised by admitted requests, or over the slots.
    pub wait: Duration,
    /// Quantile of the stage's own time that the template names.
    pub reserve: Duration,
}

/// Answer of admission.
#[derive(Clone, Debug)]
pub enum AdmissionPlan {
    /// The request can start with this budget.
    Admit(DeadlineBudget),
    /// The request can't finish in time; nothing was started.
    Refuse {
        /// When a try is likely to fit.
        retry_after: Duration,
    },
}

/// Decides whether all stages fit into the time that is left.
///
/// Waits of later stages drain while earlier stages run, so a later wait counts only as far as it
/// is longer than what goes before it.
pub fn plan_admission(now: Moment, deadline: Moment, stages: &[StageDemand]) -> AdmissionPlan {
    let mut finish = Duration::ZERO;
    for stage in stages {
        finish = finish.max(stage.wait) + stage.reserve;
    }
    let left = deadline.saturating_sub(now);
    if finish <= left {
        let reserves = stages.iter().map(|stage| stage.reserve).collect();
        return AdmissionPlan::Admit(DeadlineBudget::new(deadline, reserves));
    }
    let retry_after = (finish - left).max(SMALLEST_HINT);
    AdmissionPlan::Refuse { retry_after }
}
