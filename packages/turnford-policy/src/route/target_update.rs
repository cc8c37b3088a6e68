//! Updates of the target list that nodes exchange, and the outcome of timeouts.

use crate::Moment;
use crate::TargetId;

use super::TargetSpec;

/// A target of the list, with the state of its store entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The target.
    pub spec: TargetSpec,
    /// When the target is removed unless its entry is rewritten. `None` while the entry is present.
    pub expires_at: Option<Moment>,
    /// Whether the entry has not been written since the store was restored from a backup. It may
    /// then be older than what other nodes know.
    pub is_restored: bool,
}

/// Update of the target list from another node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetUpdate {
    /// Whether these are all targets, or only those that changed.
    pub is_full: bool,
    /// New or changed targets.
    pub listed: Vec<ListedTarget>,
    /// Removed targets.
    pub removed: Vec<TargetId>,
}

/// Targets affected by timeouts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredTargets {
    /// Lapsed targets whose entry was not rewritten.
    pub removed: Vec<TargetId>,
    /// Targets that had been known to have ended before the store was restored from a backup, and
    /// are alive.
    pub reinstated: Vec<TargetId>,
}
