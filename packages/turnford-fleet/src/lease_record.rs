//! What a lease stores at the platform, and the calls that it takes.

use std::time::Duration;

use crate::NodeName;
use crate::Version;

/// Spans of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a renewal holds.
    pub duration: Duration,
    /// How long before its end the holder stops using it.
    pub margin: Duration,
    /// Longest time for which an act begun under the lease can take effect after its end.
    pub max_action_time: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            max_action_time: Duration::from_secs(1),
        }
    }
}

impl LeaseSettings {
    /// Returns the time after a renewal from which its holder no longer begins acts.
    pub(crate) fn usable_span(&self) -> Duration {
        self.duration.saturating_sub(self.margin)
    }

    /// Returns the time after a renewal from which no act of its holder can take effect.
    pub(crate) fn effect_span(&self) -> Duration {
        self.usable_span() + self.max_action_time
    }
}

/// Stored form of a lease.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// Node that holds it; empty once it was given back.
    pub holder: NodeName,
    /// Unique mark of the write.
    #[serde(rename = "mark")]
    pub write_id: u64,
    /// True on a lease that was given back with nothing done under it that may still hold.
    pub clean: bool,
    /// Fencing token of the term; it rises from term to term.
    #[serde(default)]
    pub token: Version,
    /// True while the holder waits until no earlier holder can act.
    #[serde(default)]
    pub pending: bool,
}

/// Call to the platform for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease's object.
    Read,
    /// Write the record if the object has this version; 0 means absent.
    Write {
        /// Version that the object must have.
        expected: Version,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The object as read; `None` if it is absent.
    Found(Option<(Version, LeaseRecord)>),
    /// The write was accepted with this version.
    Accepted(Version),
    /// The object has another version.
    Conflict,
    /// No answer, or a refusal.
    Failed,
}
