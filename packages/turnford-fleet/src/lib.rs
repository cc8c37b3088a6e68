//! Coordination between the nodes of a fleet: configuration replication, membership, duty
//! assignment, claims, leases, quota shares, limit allocation, crash tracking and load digests.
//!
//! All types are sans-I/O state machines: events and the current time go in, actions come out.
//! Decisions that need agreement go through conditional updates of the platform's objects; every
//! other message may be lost at any time.

mod allocator_election;
mod block;
mod claim;
mod config;
mod crash;
mod crash_entry;
mod crash_keys;
mod crash_update;
mod crash_verdict;
mod digest;
mod duty;
mod envelope;
mod lease;
mod lease_record;
mod lender;
mod limit_allocator;
mod limit_bucket;
mod limit_record;
mod limit_term;
mod member;
mod order;
mod permit_queue;
mod placement;
mod room_allocator;
mod rumor;
mod share;
mod stream_evidence;
mod stream_table;
mod success_memory;
mod trial;
mod watcher;

pub use allocator_election::AllocationRole;
pub use allocator_election::AllocatorElection;
pub use allocator_election::HolderStatus;
pub use block::ClaimBlock;
pub use block::ClaimEntry;
pub use block::ClaimKey;
pub use block::ClaimOwner;
pub use block::ClaimState;
pub use claim::ClaimAction;
pub use claim::ClaimCommitter;
pub use claim::ClaimRequest;
pub use claim::ClaimStep;
pub use claim::ClaimTicket;
pub use claim::ClaimVerdict;
pub use claim::RangeRead;
pub use claim::RangeWrite;
pub use claim::RANGE_COUNT;
pub use config::ConfigChange;
pub use config::ConfigDigest;
pub use config::ConfigView;
pub use crash::CrashTable;
pub use crash_keys::CrashKey;
pub use crash_keys::CrashKeys;
pub use crash_update::CrashEvent;
pub use crash_update::CrashPart;
pub use crash_update::CrashUpdate;
pub use crash_update::TargetProcess;
pub use crash_verdict::CrashCounts;
pub use crash_verdict::CrashSuspect;
pub use crash_verdict::CrashVerdict;
pub use digest::hash_target;
pub use digest::DigestTable;
pub use digest::LoadDigest;
pub use digest::ServiceLoad;
pub use digest::TargetHash;
pub use duty::account_group;
pub use duty::is_duty_eligible;
pub use duty::rank_members;
pub use duty::Duty;
pub use duty::ACCOUNT_GROUP_COUNT;
pub use envelope::ConfigEnvelope;
pub use envelope::EnvelopeChange;
pub use lease::LeaseHolder;
pub use lease_record::LeaseAction;
pub use lease_record::LeaseOutcome;
pub use lease_record::LeaseRecord;
pub use lease_record::LeaseSettings;
pub use lender::LenderStamp;
pub use lender::NodeContacts;
pub use lender::ShareLender;
pub use limit_allocator::LimitAllocator;
pub use limit_allocator::LimitEntry;
pub use limit_allocator::PERMIT_LIFETIME;
pub use limit_bucket::PermitPurpose;
pub use limit_term::AllocatorId;
pub use limit_term::LimitTerm;
pub use member::MemberRecord;
pub use member::MemberState;
pub use member::MemberTable;
pub use member::MemberUpdate;
pub use member::ProbePlan;
pub use order::OrderAction;
pub use order::OrderKind;
pub use order::OrderOutcome;
pub use order::OrderQueue;
pub use order::OrderRecord;
pub use order::TargetOrder;
pub use permit_queue::CallSupply;
pub use permit_queue::PermitDecision;
pub use permit_queue::PermitQueue;
pub use permit_queue::PermitRanks;
pub use permit_queue::QueuedRequest;
pub use placement::plan_orders;
pub use placement::ModelTarget;
pub use room_allocator::RoomAllocator;
pub use room_allocator::RoomTicket;
pub use rumor::Rumor;
pub use rumor::RumorTable;
pub use rumor::RUMOR_FANOUT;
pub use share::GrantNumber;
pub use share::ShareDemand;
pub use share::ShareGrant;
pub use share::ShareHolder;
pub use share::ShareSize;
pub use stream_evidence::find_version;
pub use stream_evidence::StreamAnswer;
pub use stream_evidence::StreamEvidence;
pub use stream_evidence::StreamVerdict;
pub use stream_evidence::VersionKnowledge;
pub use stream_table::stream_key;
pub use stream_table::stream_origin;
pub use stream_table::StreamKey;
pub use stream_table::StreamLookup;
pub use stream_table::StreamOrigin;
pub use stream_table::StreamRecord;
pub use stream_table::StreamTable;
pub use success_memory::SuccessMemory;
pub use trial::TrialAdmission;
pub use trial::TrialId;
pub use trial::TrialTable;
pub use watcher::choose_watchers;

/// Name of a node, unique in the fleet.
pub type NodeName = String;

/// Version of an object at the platform. Versions increase monotonically across all objects.
pub type Version = u64;

/// Time since an arbitrary origin, measured by the node's own monotonic clock.
pub type Moment = std::time::Duration;
