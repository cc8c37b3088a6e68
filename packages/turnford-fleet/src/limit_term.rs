//! Who divides the limits of a service's targets among all nodes, and since when.

use std::net::SocketAddr;

use crate::NodeName;

/// A process that may divide limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct AllocatorId {
    /// Name of the node.
    pub name: NodeName,
    /// Start of its process, in milliseconds of the time of day.
    pub process: u64,
    /// Where it takes work.
    pub work: SocketAddr,
}

/// A span in which one process divides. Of two that hold, the later one counts; the holder orders those
/// that two began at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct LimitTerm {
    /// Number of the term, one more than that of the one before.
    pub number: u64,
    /// Who divides.
    pub holder: AllocatorId,
}
