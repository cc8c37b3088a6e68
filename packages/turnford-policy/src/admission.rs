//! Admission control over all stages of a request.

use std::time::Duration;

use crate::DeadlineBudget;
use crate::Moment;

/// Lower bound of the retry delay suggested to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Interval between requests that are admitted to refresh the estimates.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Expected wait and times of one stage of a request.
#[derive(Clone, Copy, Debug)]
pub struct StageDemand {
    /// Queueing time before the stage starts, from queued work, pending work of admitted requests
    /// and load beyond the slots.
    pub wait: Duration,
    /// Mean run time of the stage.
    pub expected_time: Duration,
    /// Quantile of the run time of the stage; the template sets which.
    pub reserve: Duration,
}

/// Result of an admission check.
#[derive(Clone, Debug)]
pub enum AdmissionPlan {
    /// The request may start with this budget.
    Admit(DeadlineBudget),
    /// The request can't finish in time; nothing has been started.
    Refuse {
        /// Time after which a new attempt is likely to be admitted.
        retry_after: Duration,
    },
}

/// Periodically admits a request that the estimates reject.
///
/// Estimates are updated only by requests that run. If they were inflated by a temporary slowdown
/// and all requests were refused because of it, they would never recover.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeGate {
    next_probe: Moment,
}

impl ProbeGate {
    /// Returns true if a request may pass now.
    pub fn pass(&mut self, now: Moment) -> bool {
        if now < self.next_probe {
            return false;
        }
        self.next_probe = now + PROBE_INTERVAL;
        true
    }
}

/// Decides whether all stages fit into the remaining time.
///
/// Queues of later stages drain while earlier stages run, so the wait of a stage counts only as far
/// as it exceeds the time of the stages before it. The run times of all stages seldom reach their
/// quantiles together, so their distances from the means are added as for independent variables, by
/// the root of the sum of squares.
///
/// `probes` is set for requests with the default deadline only: a short deadline set by the caller
/// does not indicate that the estimates are wrong.
pub fn plan_admission(
    now: Moment,
    deadline: Moment,
    stages: &[StageDemand],
    probes: Option<&mut ProbeGate>,
) -> AdmissionPlan {
    let mut finish = Duration::ZERO;
    let mut variance = 0.0;
    let mut total_run = Duration::ZERO;
    for stage in stages {
        finish = finish.max(stage.wait) + stage.expected_time;
        total_run += stage.expected_time;
        let deviation = stage
            .reserve
            .saturating_sub(stage.expected_time)
            .as_secs_f64();
        variance += deviation * deviation;
    }
    let total_deviation = Duration::from_secs_f64(variance.sqrt());
    let remaining = deadline.saturating_sub(now);
    let fits = finish + total_deviation <= remaining;
    // Only estimated run times can stay wrong. Waits are computed from current work and drain.
    let run_time_exceeds = total_run + total_deviation > remaining;
    if fits || (run_time_exceeds && probes.is_some_and(|gate| gate.pass(now))) {
        let reserves = stages.iter().map(|stage| stage.reserve).collect();
        return AdmissionPlan::Admit(DeadlineBudget::new(deadline, reserves));
    }
    let retry_after = (finish + total_deviation)
        .saturating_sub(remaining)
        .max(MIN_RETRY_AFTER);
    AdmissionPlan::Refuse { retry_after }
}
