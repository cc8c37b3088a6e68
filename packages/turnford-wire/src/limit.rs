//! What nodes say to each other of limits that targets name for all nodes together.

use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitPurpose;
use turnford_policy::CallRate;
use turnford_policy::LimitState;

/// What the node that divides says of a service's targets.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitUpdate {
    /// Service that they run.
    pub service: String,
    /// Who divides.
    pub term: LimitTerm,
    /// What holds of each.
    pub entries: Vec<LimitEntry>,
}

/// What an answer of a target said of its limit, told to the node that divides.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct LimitReport {
    /// Service that it runs.
    pub service: String,
    /// Who divides, as the sender knows it.
    pub term: Option<LimitTerm>,
    /// Its id.
    pub target: String,
    /// Start of its process, in milliseconds of the time of day; 0 where it does not tell.
    pub process_start: u64,
    /// Calls a second that it takes, `None` if it names no limit.
    pub rate: Option<CallRate>,
    /// Milliseconds since the call was sent that it answered.
    pub sent_ms: u64,
    /// Milliseconds since the answer came.
    pub received_ms: u64,
}

/// May I send a call to this target?
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct PermitAcquire {
    /// Service that it runs.
    pub service: String,
    /// Who divides, as the sender knows it.
    pub term: Option<LimitTerm>,
    /// Its id.
    pub target: String,
    /// Start of its process, in milliseconds of the time of day; 0 where it does not tell.
    pub process_start: u64,
    /// What the sender knows of its limit.
    pub state: LimitState,
    /// What the call is for.
    pub purpose: PermitPurpose,
}

/// Answer to that.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PermitReply {
    /// One call, soon.
    Granted,
    /// It has no limit any more.
    Unlimited,
    /// Not now.
    Wait {
        /// Milliseconds until there may be one.
        wait_ms: u32,
    },
    /// Another node divides.
    Redirect(LimitTerm),
}

/// How new a node's knowledge of a service's limits is.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct LimitDigest {
    /// The service.
    pub service: String,
    /// Who divides.
    pub term: Option<LimitTerm>,
    /// Sum over what that one said of its targets.
    pub sum: u64,
}
