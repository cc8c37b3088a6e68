//! Globally unique attempt ids.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Id of one attempt at one stage of a request.
///
/// The incarnation is a random number chosen at process start, so that a restarted node does not
/// repeat ids although its sequence restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Random number that identifies the node's process.
    pub incarnation: u64,
    /// Sequence number of the request in that process.
    pub sequence: u64,
    /// Index of the stage in the template.
    pub stage: u8,
    /// Number of the attempt at that stage.
    pub attempt: u8,
}

/// Allocates the request sequence numbers of one process.
pub struct AttemptSource {
    incarnation: u64,
    next_sequence: AtomicU64,
}

impl AttemptSource {
    /// Creates a source for one incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            next_sequence: AtomicU64::new(1),
        }
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the id of the first attempt at the first stage of a new request.
    pub fn next_request(&self) -> AttemptId {
        AttemptId {
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            stage: 0,
            attempt: 0,
        }
    }
}

impl AttemptId {
    /// Returns the id of an attempt at a stage of the same request.
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

/// Error for a string that is not an attempt id.
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
