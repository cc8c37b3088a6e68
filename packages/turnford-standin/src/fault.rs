//! Faults by time.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls take `factor` times as long.
    Slow,
    /// Calls run and then fail.
    Error,
    /// Calls fail at once.
    FastError,
    /// Calls never end.
    Hang,
    /// Connections break without an answer.
    Die,
    /// The target refuses new calls and is listed as leaving.
    Leave,
    /// Answers carry the id of another attempt.
    Swap,
    /// Answers are cut short.
    Truncate,
    /// The object API refuses all calls.
    Outage,
    /// The object API loses the answers of writes that took effect.
    LoseAnswers,
}

/// One fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Begin, in milliseconds after the stand-ins' start.
    pub at_ms: u64,
    /// Span in milliseconds.
    pub for_ms: u64,
    /// Target, service or hall; `platform` for the object API.
    pub at: String,
    /// Factor of a slowness, or part of the calls that are hit (all by default).
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_factor() -> f64 {
    1.0
}

/// All faults of one run; more can be added while it runs.
pub struct FaultTable {
    start: Instant,
    faults: Mutex<Vec<FaultSpec>>,
}

impl FaultTable {
    /// Starts the table's time now.
    pub fn new(faults: Vec<FaultSpec>) -> Self {
        Self {
            start: Instant::now(),
            faults: Mutex::new(faults),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a fault that begins now.
    pub fn add_now(&self, kind: FaultKind, at: &str, span: Duration, factor: f64) {
        let fault = FaultSpec {
            kind,
            at_ms: millis(self.elapsed()),
            for_ms: millis(span),
            at: at.to_owned(),
            factor,
        };
        self.list().push(fault);
    }

    /// Returns the factor of a fault that holds at any of the places now.
    pub fn active(&self, kind: FaultKind, places: &[&str]) -> Option<f64> {
        self.active_at(kind, places, self.elapsed())
    }

    /// Returns the factor of a fault that held at any of the places at a time.
    pub fn active_at(&self, kind: FaultKind, places: &[&str], at: Duration) -> Option<f64> {
        let now = millis(at);
        let list = self.list();
        let mut active = list.iter().filter(|fault| {
            let begun = now >= fault.at_ms && now < fault.at_ms.saturating_add(fault.for_ms);
            begun && fault.kind == kind && places.contains(&fault.at.as_str())
        });
        active.next().map(|fault| fault.factor)
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Vec<FaultSpec>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
