//! Attempt ids that no other attempt ever has.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Identity of one try of one stage at one target.
///
/// The incarnation is drawn at random when a node's process starts, so that a restarted node never
/// repeats an id although its sequence starts anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Random number of the node's process.
    pub incarnation: u64,
    /// Number of the request in that process.
    pub sequence: u64,
    /// Position of the stage in the template.
    pub stage: u8,
    /// Number of the try of that stage.
    pub attempt: u8,
}

/// Gives out request numbers of one process.
pub struct AttemptSource {
    incarnation: u64,
    next: AtomicU64,
}

impl AttemptSource {
    /// Starts a source for one incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// Returns the process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the first attempt of the first stage of a new request.
    pub fn next_request(&self) -> AttemptId {
        AttemptId {
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
            stage: 0,
            attempt: 0,
        }
    }
}

impl AttemptId {
    /// Returns the id of a try of a stage of the same request.
    pub fn with_attempt(self, stage: u8, attempt: u8) -> Self {
        Self {
            stage,
            attempt,
            ..self
        }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            incarnation,
            sequence,
            stage,
            attempt,
        } = self;
        write!(f, "{incarnation:016x}-{sequence}-{stage}-{attempt}")
    }
}

/// A text that is no attempt id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseAttemptError;

impl FromStr for AttemptId {
    type Err = ParseAttemptError;

    fn from_str(text: &str) -> Result<Self, ParseAttemptError> {
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or(ParseAttemptError);
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseAttemptError)?;
        let sequence = part()?.parse().map_err(|_| ParseAttemptError)?;
        let stage = part()?.parse().map_err(|_| ParseAttemptError)?;
        let attempt = part()?.parse().map_err(|_| ParseAttemptError)?;
        if parts.next().is_some() {
            return Err(ParseAttemptError);
        }
        Ok(Self {
            incarnation,
            sequence,
            stage,
            attempt,
        })
    }
}
