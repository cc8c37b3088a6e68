//! Terms in which one process allocates the limits of a service's targets for the whole fleet.

use std::net::SocketAddr;

use crate::NodeName;

/// A process that may allocate limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct AllocatorId {
    /// Name of the node.
    pub name: NodeName,
    /// Start of its process in milliseconds of the time of day.
    pub process_start: u64,
    /// Address at which it accepts work from other nodes.
    pub work_address: SocketAddr,
}

/// A term in which one process allocates limits. The later of two competing terms wins; if two
/// processes started a term with the same number, the holder breaks the tie.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct LimitTerm {
    /// Number of the term, one higher than that of the previous term.
    pub number: u64,
    /// Process that allocates.
    pub holder: AllocatorId,
}
