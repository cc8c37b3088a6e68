//! State of one target.

use std::time::Duration;

use crate::Moment;

use super::gate::TargetGate;
use super::TargetSpec;

/// Half-life of the load that a target reported.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(400);

/// Load that a target reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Number of concurrent requests.
    pub slots: u32,
}

/// A target and what this node has measured of it.
#[derive(Clone, Debug)]
pub(super) struct TargetRecord {
    /// The target. Marked as leaving, too, if it announced that itself.
    pub(super) spec: TargetSpec,
    /// Whether its store entry says that it is leaving.
    pub(super) is_listed_leaving: bool,
    /// State that it announced in its responses.
    pub(super) gate: TargetGate,
    /// Calls of this node in flight.
    pub(super) inflight: u32,
    /// Last reported load, with the calls of this node in flight at that time.
    pub(super) reported_load: Option<(Moment, LoadSample, u32)>,
    pub(super) failure_rate: f64,
    /// Average duration of its calls relative to the expected one, and the time of the last sample.
    pub(super) slowness: Option<(f64, Moment)>,
    pub(super) consecutive_refusals: u32,
    pub(super) paused_until: Moment,
}

impl TargetRecord {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            is_listed_leaving: spec.leaving,
            spec,
            gate: TargetGate::default(),
            inflight: 0,
            reported_load: None,
            failure_rate: 0.0,
            slowness: None,
            consecutive_refusals: 0,
            paused_until: Moment::ZERO,
        }
    }

    /// Applies the target's store entry. The target's own announcement that it is leaving takes
    /// precedence.
    pub(super) fn update_spec(&mut self, spec: &TargetSpec) {
        self.spec = spec.clone();
        self.is_listed_leaving = spec.leaving;
        self.spec.leaving |= self.gate.is_leaving();
    }

    /// Returns the calls of other nodes at the target, decayed since its last report.
    fn peer_load(&self, now: Moment) -> f64 {
        let Some((at, sample, own)) = self.reported_load else {
            return 0.0;
        };
        let reported = f64::from(sample.running + sample.waiting) - f64::from(own);
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        reported.max(0.0) * 0.5_f64.powf(age)
    }

    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.inflight) + self.peer_load(now)
    }

    /// Returns whether the target takes one more call of this node.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.spec.leaving && self.gate.allows(now, self.inflight + 1)
    }
}
