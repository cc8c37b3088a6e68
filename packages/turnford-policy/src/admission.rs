//! Admission over the whole chain of stages.

use std::time::Duration;

use crate::DeadlineBudget;
use crate::Moment;

/// Smallest hint for a caller's next try.
const SMALLEST_HINT: Duration = Duration::from_millis(100);

/// Pause between requests that are let through to measure anew.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// What one stage of a request would meet now.
#[derive(Clone, Copy, Debug)]
pub struct StageDemand {
    /// Wait before the stage starts: work held, promised by admitted requests, or over the slots.
    pub wait: Duration,
    /// Mean of the stage's own time.
    pub expected_time: Duration,
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

/// Lets a request through now and then although the learned times say that it can't finish.
///
/// Learned times change only by requests that run. If all were refused by times learned in a bad
/// moment, the moment would never end.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeGate {
    next: Moment,
}

impl ProbeGate {
    /// Tells whether a request may pass now.
    pub fn pass(&mut self, now: Moment) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + PROBE_PAUSE;
        true
    }
}

/// Decides whether all stages fit into the time that is left.
///
/// Waits of later stages drain while earlier stages run, so a later wait counts only as far as it
/// is longer than what goes before it. The stages' own times seldom all reach their quantiles at
/// once; their distances from the means add up as those of independent times do.
///
/// `probes` is given for a request whose deadline is the usual one: a caller's own short deadline
/// is no sign that the learned times are wrong.
pub fn plan_admission(
    now: Moment,
    deadline: Moment,
    stages: &[StageDemand],
    probes: Option<&mut ProbeGate>,
) -> AdmissionPlan {
    let mut finish = Duration::ZERO;
    let mut squares = 0.0;
    let mut own = Duration::ZERO;
    for stage in stages {
        finish = finish.max(stage.wait) + stage.expected_time;
        own += stage.expected_time;
        let distance = stage
            .reserve
            .saturating_sub(stage.expected_time)
            .as_secs_f64();
        squares += distance * distance;
    }
    let spread = Duration::from_secs_f64(squares.sqrt());
    let left = deadline.saturating_sub(now);
    let fits = finish + spread <= left;
    // Only times that were learned can be wrong for good; a wait is counted, and passes.
    let learned = own + spread > left;
    if fits || (learned && probes.is_some_and(|gate| gate.pass(now))) {
        let reserves = stages.iter().map(|stage| stage.reserve).collect();
        return AdmissionPlan::Admit(DeadlineBudget::new(deadline, reserves));
    }
    let retry_after = (finish + spread).saturating_sub(left).max(SMALLEST_HINT);
    AdmissionPlan::Refuse { retry_after }
}
