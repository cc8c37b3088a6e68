//! Decisions about single requests: deadlines, admission, queueing, load shedding, routing,
//! retries, target health and limits.
//!
//! The decisions are made by plain state machines that take an event and the current time. Time is a [`Moment`], the duration since an arbitrary start, so that tests
//! and sweeps run in virtual time.

mod admission;
mod attempt;
mod budget;
mod clock;
mod code;
mod connection_gate;
mod demand;
mod estimate;
mod event_scanner;
mod evidence;
mod health;
mod heartbeat;
mod histogram;
mod limit;
mod pool;
mod prefix;
mod queue;
mod readiness_gate;
mod result;
mod retry;
mod route;
mod routing;
mod target;
mod view_table;
mod work;

pub use admission::plan_admission;
pub use admission::AdmissionPlan;
pub use admission::ProbeGate;
pub use admission::StageDemand;
pub use attempt::AttemptId;
pub use attempt::AttemptSource;
pub use budget::DeadlineBudget;
pub use clock::boot_time;
pub use clock::monotonic_time;
pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SuspendDetector;
pub use clock::SystemClock;
pub use code::ResultCode;
pub use connection_gate::ConnectionGate;
pub use connection_gate::GateChange;
pub use connection_gate::GateDecision;
pub use estimate::StageEstimates;
pub use event_scanner::EventScanner;
pub use evidence::AttemptEvidence;
pub use evidence::ClaimEvidence;
pub use evidence::RanStatus;
pub use evidence::RequestEvidence;
pub use health::HealthSettings;
pub use health::HealthState;
pub use health::TargetHealth;
pub use heartbeat::ThreadHeartbeat;
pub use histogram::DecayingHistogram;
pub use limit::AccountLimit;
pub use limit::LimitRefusal;
pub use pool::ServicePool;
pub use queue::QueuedWork;
pub use queue::WorkQueue;
pub use readiness_gate::PeerLoad;
pub use readiness_gate::ReadinessChange;
pub use readiness_gate::ReadinessGate;
pub use result::RequestResult;
pub use retry::RetryBudget;
pub use route::cell_of_hall;
pub use route::split_cells;
pub use route::AccountGrant;
pub use route::AccountSpec;
pub use route::BatchPlan;
pub use route::BatchScheduler;
pub use route::BatchSpec;
pub use route::BrittleSignal;
pub use route::CallAttributes;
pub use route::CallKind;
pub use route::CallPath;
pub use route::CallRate;
pub use route::ChangeNumber;
pub use route::ClientLimits;
pub use route::EngineScheduler;
pub use route::EngineSpec;
pub use route::ExpiredTargets;
pub use route::FlowController;
pub use route::FlowForecast;
pub use route::FlowRefusal;
pub use route::FlowRequest;
pub use route::FlowStage;
pub use route::FlowTicket;
pub use route::LatencyModel;
pub use route::LimitObservation;
pub use route::LimitSignal;
pub use route::LimitState;
pub use route::LimitTable;
pub use route::LinkTable;
pub use route::ListedTarget;
pub use route::LoadSample;
pub use route::PieceTicket;
pub use route::PieceWork;
pub use route::PlacementRequest;
pub use route::ProcessStart;
pub use route::PromptAffinity;
pub use route::PromptSegment;
pub use route::RepeatTable;
pub use route::RequestDigest;
pub use route::RetryAllowance;
pub use route::RouteConfig;
pub use route::RouteSpec;
pub use route::RouteTable;
pub use route::RunTicket;
pub use route::ServiceShare;
pub use route::ServiceSpec;
pub use route::SoftwareVersion;
pub use route::StageGraph;
pub use route::StageRate;
pub use route::StageSpec;
pub use route::StorePosition;
pub use route::TargetList;
pub use route::TargetSpec;
pub use route::TargetTable;
pub use route::TargetUpdate;
pub use route::DIGEST_BYTES;
pub use route::MAX_RETRY_AFTER;
pub use route::RANK_COUNT;
pub use routing::RoutingPolicy;
pub use target::LoadReport;
pub use target::TargetFacts;
pub use target::TargetView;
pub use work::PoolSettings;
pub use work::PoolSummary;
pub use work::QueueDecision;
pub use work::StageOutcome;
pub use work::StagePlacement;
pub use work::StageWork;
pub use work::SubmitResult;

use std::sync::Arc;
use std::time::Duration;

/// Time since an arbitrary start of the process or the test.
pub type Moment = Duration;

/// Name of a target, unique in the fleet.
pub type TargetId = Arc<str>;

/// Name of a client account.
pub type AccountId = Arc<str>;

/// Name of a service, which is a pool of interchangeable targets.
pub type ServiceId = Arc<str>;

/// Priority class of an account: 0 is served first and shed last.
pub type ClassRank = u8;

/// Hash of a prompt prefix.
pub type PrefixHash = u64;

/// Number of a queued work item, unique in one pool.
pub type QueueTicket = u64;
