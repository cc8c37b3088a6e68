//! Messages about fleet-wide rate limits: limits that targets announce for all nodes together.

use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitPurpose;
use turnford_policy::CallRate;
use turnford_policy::LimitState;

/// Limits of a service's targets, announced by the node that allocates their permits.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitUpdate {
    /// Service of the targets.
    pub service: String,
    /// Term of the allocator.
    pub term: LimitTerm,
    /// Limit of each target.
    pub entries: Vec<LimitEntry>,
}

/// Limit that a target announced in a response, reported to the allocator.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitReport {
    /// Service of the target.
    pub service: String,
    /// Term of the allocator, as the sender knows it.
    pub term: Option<LimitTerm>,
    /// Id of the target.
    pub target: String,
    /// Start time of the target's process, in Unix milliseconds; 0 if unknown.
    pub process_start: u64,
    /// Calls per second that the target accepts; `None` if it announces no limit.
    pub rate: Option<CallRate>,
    /// Time since the answered call was sent, in milliseconds.
    pub sent_ms: u64,
    /// Time since the response was received, in milliseconds.
    pub received_ms: u64,
}

/// Requests a permit for one call to a target from the allocator.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct PermitAcquire {
    /// Service of the target.
    pub service: String,
    /// Term of the allocator, as the sender knows it.
    pub term: Option<LimitTerm>,
    /// Id of the target.
    pub target: String,
    /// Start time of the target's process, in Unix milliseconds; 0 if unknown.
    pub process_start: u64,
    /// Limit of the target, as the sender knows it.
    pub state: LimitState,
    /// Purpose of the call.
    pub purpose: PermitPurpose,
}

/// Reply to a [`PermitAcquire`].
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PermitReply {
    /// A permit for one call, valid for a short time.
    Granted,
    /// The target no longer has a limit.
    Unlimited,
    /// No permit is available now.
    Wait {
        /// Time until a permit may be available, in milliseconds.
        wait_ms: u32,
    },
    /// Another node is the allocator.
    Redirect(LimitTerm),
}

/// Digest of a node's knowledge of a service's limits, compared between nodes.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct LimitDigest {
    /// The service.
    pub service: String,
    /// Term of the allocator.
    pub term: Option<LimitTerm>,
    /// Checksum of the limits that the allocator announced.
    pub sum: u64,
}
