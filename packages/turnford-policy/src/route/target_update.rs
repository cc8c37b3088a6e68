//! What nodes tell each other of the targets, and what became of these.

use crate::Moment;
use crate::TargetId;

use super::TargetSpec;

/// A target with what is left of its time where its entry lapsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The target.
    pub spec: TargetSpec,
    /// When it counts as gone unless its entry comes back; `None` while its entry is there.
    pub expires_at: Option<Moment>,
    /// Whether its entry was not written since the store came back from a copy, so that it may be older
    /// than what others know.
    pub is_restored: bool,
}

/// What one node tells another of the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetUpdate {
    /// Whether these are all targets, or only those that changed.
    pub is_full: bool,
    /// Targets that are new or changed.
    pub listed: Vec<ListedTarget>,
    /// Targets that are gone.
    pub removed: Vec<TargetId>,
}

/// Targets whose time ran out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredTargets {
    /// Targets that lapsed and did not return.
    pub removed: Vec<TargetId>,
    /// Targets that had been gone before the store came back from a copy, and live.
    pub reinstated: Vec<TargetId>,
}
