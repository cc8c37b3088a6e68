//! Places in the history of the platform's store.

use std::fmt;

/// A place in the store's history. The store may come back from an older copy of itself: it then gives
/// revisions out again, and tells a new era. So places are compared era first.
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
    /// How often the store came back from a copy.
    pub era: u64,
    /// Revision of the store in that era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the place of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
