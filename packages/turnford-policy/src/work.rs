//! Input and output types of a pool: settings, work, placements, decisions and counters.

use std::sync::Arc;
use std::time::Duration;

use crate::AccountId;
use crate::ClassRank;
use crate::HealthSettings;
use crate::Moment;
use crate::PrefixHash;
use crate::QueueTicket;
use crate::ResultCode;
use crate::RoutingPolicy;
use crate::TargetId;

/// Settings of one pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Policy by which targets are selected.
    pub policy: RoutingPolicy,
    /// Whether work is queued until a slot is free; baselines send it immediately.
    pub queues_work: bool,
    /// Maximum number of queued work items.
    pub queue_limit: usize,
    /// Ejection of unhealthy targets; `None` disables it (baseline).
    pub health: Option<HealthSettings>,
    /// Seed of the random target selection.
    pub seed: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Estimated,
            queues_work: true,
            queue_limit: 512,
            health: Some(HealthSettings::default()),
            seed: 1,
        }
    }
}

/// One stage of one request, as submitted to a pool.
#[derive(Clone, Debug)]
pub struct StageWork {
    /// Account of the request.
    pub account: AccountId,
    /// Priority class of the account.
    pub class: ClassRank,
    /// Scheduling weight of the account in its class; 1 is the default.
    pub share: f64,
    /// Weight of cost against time, 0 to 1.
    pub cost_weight: f64,
    /// Input length in tokens.
    pub length: u32,
    /// Expected run time, averaged over the targets.
    pub expected_time: Duration,
    /// Latest start that preserves the reserves of this and the later stages.
    pub latest_start: Moment,
    /// Latest end that preserves the reserves of the later stages.
    pub latest_end: Moment,
    /// Time after which the request can't meet its deadline even if all stages take their expected
    /// time.
    pub infeasible_after: Moment,
    /// Required model or adapter.
    pub model: Option<Arc<str>>,
    /// Hash of the prompt prefix.
    pub prefix: Option<PrefixHash>,
    /// Targets at which earlier attempts at this stage failed.
    pub tried: Vec<TargetId>,
}

/// A target selected for a work item. It must be released with
/// [`ServicePool::finish`](crate::ServicePool::finish).
#[derive(Clone, Debug)]
pub struct StagePlacement {
    /// Selected target.
    pub target: TargetId,
    /// Time of the selection.
    pub placed_at: Moment,
    /// Input length of the work in tokens.
    pub length: u32,
    /// Hash of the work's prompt prefix.
    pub prefix: Option<PrefixHash>,
    /// Expected run time of the work.
    pub expected_time: Duration,
    /// Id of the placement, unique in its pool.
    pub id: u64,
}

/// Result of submitting a work item.
#[derive(Clone, Debug)]
pub enum SubmitResult {
    /// The work runs now.
    Run(StagePlacement),
    /// The work is queued; [`ServicePool::dispatch`](crate::ServicePool::dispatch) returns the
    /// decision.
    Queued(QueueTicket),
    /// The work is refused and has not been started.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Time after which a new attempt is likely to be accepted.
        retry_after: Duration,
    },
}

/// Decision on a queued work item.
#[derive(Clone, Debug)]
pub enum QueueDecision {
    /// The work runs now.
    Run(QueueTicket, StagePlacement),
    /// The work was dropped before it ran.
    Shed(QueueTicket, ResultCode),
}

/// Outcome of a placed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageOutcome {
    /// The response was complete.
    Completed,
    /// The target failed the call.
    Failed,
    /// The call was cancelled after its time limit.
    TimedOut,
    /// The target was full and refused the call before it started.
    RefusedFull,
    /// The target refused or closed the call because it is leaving.
    Leaving,
    /// The caller disconnected, which says nothing about the target.
    Cancelled,
}

/// Counters of a pool for status pages, load digests and admission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSummary {
    /// Number of known targets.
    pub targets: usize,
    /// Number of ejected targets.
    pub ejected: usize,
    /// Number of leaving targets.
    pub leaving: usize,
    /// Slots of the targets that are neither leaving nor ejected.
    pub slots: u32,
    /// Number of calls that this node has in flight.
    pub inflight: u32,
    /// Number of queued work items.
    pub queued: usize,
    /// Queued and pending work of this node in expected seconds.
    pub backlog: f64,
    /// Mean call time measured by this node, or `None` without enough samples.
    pub mean: Option<Duration>,
}
