//! Positions in the history of the platform's store.

use std::fmt;

/// A position in the store's history. When the store is restored from an older backup it reuses
/// revisions, and announces a new era. Positions are therefore ordered by era first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
)]
pub struct StorePosition {
    /// How often the store was restored from a backup.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
