//! What goes into a pool and comes out of it: work, placements, verdicts, numbers.

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

/// How one pool behaves.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Choice of targets.
    pub policy: RoutingPolicy,
    /// Whether work is held for a slot; baselines send at once.
    pub queues_work: bool,
    /// Most pieces of work held.
    pub queue_limit: usize,
    /// When targets are taken out; `None` never takes one out (baseline).
    pub health: Option<HealthSettings>,
    /// Seed of the choices.
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

/// One stage of one request, as the pool sees it.
#[derive(Clone, Debug)]
pub struct StageWork {
    /// Account that asked.
    pub account: AccountId,
    /// Class of the account.
    pub class: ClassRank,
    /// Share of the account inside its class; 1 is usual.
    pub share: f64,
    /// Weight of cost against time, from 0 to 1.
    pub cost_weight: f64,
    /// Input length in tokens.
    pub length: u32,
    /// Expected time on the mean target.
    pub expected_time: Duration,
    /// Latest start that leaves the later stages their reserves.
    pub latest_start: Moment,
    /// Latest end that leaves the later stages their reserves.
    pub latest_end: Moment,
    /// After this time the request can't finish even if all goes as expected.
    pub infeasible_after: Moment,
    /// Model or adapter needed.
    pub model: Option<Arc<str>>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<PrefixHash>,
    /// Targets that failed this stage already.
    pub tried: Vec<TargetId>,
}

/// A target chosen for a piece of work. It must be given back with [`ServicePool::finish`].
#[derive(Clone, Debug)]
pub struct StagePlacement {
    /// The target.
    pub target: TargetId,
    /// When it was chosen.
    pub placed_at: Moment,
    /// Input length of the work.
    pub length: u32,
    /// Prefix of the work.
    pub prefix: Option<PrefixHash>,
    /// Time that was expected.
    pub expected_time: Duration,
    /// Number of the placement in its pool.
    pub id: u64,
}

/// Answer to an offer of work.
#[derive(Clone, Debug)]
pub enum SubmitResult {
    /// Runs now.
    Run(StagePlacement),
    /// Waits; [`ServicePool::dispatch`] gives the verdict.
    Queued(QueueTicket),
    /// Refused; nothing was started.
    Refused {
        /// Why.
        code: ResultCode,
        /// When a try is likely to fit.
        retry_after: Duration,
    },
}

/// End of a wait.
#[derive(Clone, Debug)]
pub enum QueueDecision {
    /// Runs now.
    Run(QueueTicket, StagePlacement),
    /// Dropped before it ran.
    Shed(QueueTicket, ResultCode),
}

/// How a placed call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageOutcome {
    /// Whole answer.
    Completed,
    /// The target failed the call.
    Failed,
    /// The call was given up after its time ran out.
    TimedOut,
    /// The target refused before it started because it is full.
    RefusedFull,
    /// The target refused or closed because it leaves.
    Leaving,
    /// The caller went away; says nothing of the target.
    Cancelled,
}

/// Numbers of a pool for status pages, digests and admission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSummary {
    /// Targets known.
    pub targets: usize,
    /// Targets that get no work because they fail.
    pub ejected: usize,
    /// Targets that leave.
    pub leaving: usize,
    /// Slots of the targets that get work.
    pub slots: u32,
    /// Calls of this node in flight.
    pub inflight: u32,
    /// Pieces of work held.
    pub queued: usize,
    /// Expected seconds of held and promised work of this node.
    pub backlog: f64,
    /// Mean time of a call as measured here; `None` before enough was measured.
    pub mean: Option<Duration>,
}
