//! Injected faults and their times.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::AnswerScript;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls take `factor` times as long.
    Slow,
    /// Calls run and then fail.
    Error,
    /// Calls fail at once.
    FastError,
    /// Calls never return.
    Hang,
    /// Connections close without a response.
    Die,
    /// The target refuses new calls and is listed as leaving.
    Leave,
    /// Responses carry the id of another attempt.
    Swap,
    /// Responses are truncated.
    Truncate,
    /// The object API rejects all calls.
    Outage,
    /// The object API drops the responses to writes that took effect.
    LoseAnswers,
}

/// An injected fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Begin, in milliseconds after the start of the stand-ins.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub for_ms: u64,
    /// Affected target, service or hall; `platform` for the object API.
    pub at: String,
    /// Factor on the time of calls, or ratio of the affected calls (all by default).
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_factor() -> f64 {
    1.0
}

/// All faults of one run; faults can be added during the run.
pub struct FaultTable {
    start: Instant,
    faults: Mutex<Vec<FaultSpec>>,
    script: AnswerScript,
}

impl FaultTable {
    /// Creates a table whose time starts now.
    pub fn new(faults: Vec<FaultSpec>) -> Self {
        Self {
            start: Instant::now(),
            faults: Mutex::new(faults),
            script: AnswerScript::default(),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the answers that targets give instead of their own.
    pub fn script(&self) -> &AnswerScript {
        &self.script
    }

    /// Adds a fault that begins now.
    pub fn add_now(&self, kind: FaultKind, at: &str, duration: Duration, factor: f64) {
        let fault = FaultSpec {
            kind,
            at_ms: millis(self.elapsed()),
            for_ms: millis(duration),
            at: at.to_owned(),
            factor,
        };
        self.list().push(fault);
    }

    /// Returns the factor of a fault that currently affects any of the places.
    pub fn active(&self, kind: FaultKind, places: &[&str]) -> Option<f64> {
        self.active_at(kind, places, self.elapsed())
    }

    /// Returns the factor of a fault that affected any of the places at a time.
    pub fn active_at(&self, kind: FaultKind, places: &[&str], at: Duration) -> Option<f64> {
        let now = millis(at);
        let list = self.list();
        let mut active = list.iter().filter(|fault| {
            let is_current = now >= fault.at_ms && now < fault.at_ms.saturating_add(fault.for_ms);
            is_current && fault.kind == kind && places.contains(&fault.at.as_str())
        });
        active.next().map(|fault| fault.factor)
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Vec<FaultSpec>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
