//! One target with what this node learned of it.

use std::time::Duration;

use crate::Moment;

use super::gate::TargetGate;
use super::TargetSpec;

/// Time after which half of what a target told of its load no longer counts.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(400);

/// Load that a target told with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// A target with what this node learned of it.
#[derive(Clone, Debug)]
pub(super) struct BoardEntry {
    /// The target; it is leaving, too, where it said so itself.
    pub(super) spec: TargetSpec,
    /// Whether its entry says that it leaves.
    pub(super) is_listed_leaving: bool,
    /// What it said in its answers.
    pub(super) gate: TargetGate,
    /// Calls of this node under way.
    pub(super) in_flight: u32,
    /// Last load told, with the calls of this node that were under way then.
    pub(super) mark: Option<(Moment, LoadSample, u32)>,
    pub(super) failure: f64,
    /// Average time of a call against what was expected of it, and when it was last measured.
    pub(super) slowness: Option<(f64, Moment)>,
    pub(super) failures_in_row: u32,
    pub(super) paused_until: Moment,
}

impl BoardEntry {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            is_listed_leaving: spec.leaving,
            spec,
            gate: TargetGate::default(),
            in_flight: 0,
            mark: None,
            failure: 0.0,
            slowness: None,
            failures_in_row: 0,
            paused_until: Moment::ZERO,
        }
    }

    /// Takes what the target's entry says now. Its own word that it leaves holds against that.
    pub(super) fn take_spec(&mut self, spec: &TargetSpec) {
        self.spec = spec.clone();
        self.is_listed_leaving = spec.leaving;
        self.spec.leaving |= self.gate.leaves();
    }

    /// Returns the calls of other nodes that the target still works on, as last told and aged.
    fn foreign_load(&self, now: Moment) -> f64 {
        let Some((at, mark, own)) = self.mark else {
            return 0.0;
        };
        let told = f64::from(mark.running + mark.waiting) - f64::from(own);
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        told.max(0.0) * 0.5_f64.powf(age)
    }

    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.in_flight) + self.foreign_load(now)
    }

    /// Tells whether it takes one more call of this node.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.spec.leaving && self.gate.has_room(now, self.in_flight + 1)
    }
}
