//! Stored form of a lease and the platform calls that maintain it.

use std::time::Duration;

use crate::NodeName;
use crate::Version;

/// Timing of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Time for which a renewal is valid.
    pub duration: Duration,
    /// Safety margin before expiry during which the holder no longer uses the lease.
    pub margin: Duration,
    /// Maximum time between the start of an action under the lease and its last effect.
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
    /// Returns the time after a renewal at which its holder stops starting actions.
    pub(crate) fn usable_time(&self) -> Duration {
        self.duration.saturating_sub(self.margin)
    }

    /// Returns the time after a renewal at which no action of its holder can take effect anymore.
    pub(crate) fn effect_time(&self) -> Duration {
        self.usable_time() + self.max_action_time
    }
}

/// Stored form of a lease.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// Node that holds the lease, or an empty name after its release.
    pub holder: NodeName,
    /// Unique id of the write.
    #[serde(rename = "mark")]
    pub write_id: u64,
    /// True for a released lease if nothing granted under it can still be in use.
    pub clean: bool,
    /// Fencing token, which increases from term to term.
    #[serde(default)]
    pub token: Version,
    /// True while the holder waits until no earlier holder can act.
    #[serde(default)]
    pub pending: bool,
}

/// Platform call for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease's object.
    Read,
    /// Write the record if the object has the expected version.
    Write {
        /// Required version of the object; 0 means absent.
        expected: Version,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The object that was read, or `None` if it is absent.
    Found(Option<(Version, LeaseRecord)>),
    /// The write was accepted with this version.
    Accepted(Version),
    /// The object has a different version.
    Conflict,
    /// The call was rejected, or no response arrived.
    Failed,
}
