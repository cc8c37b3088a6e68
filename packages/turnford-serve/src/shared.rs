//! State shared between the threads of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;

use turnford_config::ServeSettings;
use turnford_fleet::is_duty_eligible;
use turnford_http::DeliveryCounter;
use turnford_policy::CallKind;
use turnford_policy::Clock;
use turnford_policy::Moment;
use turnford_policy::RouteConfig;
use turnford_policy::RouteTable;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_policy::ThreadHeartbeat;

use crate::body_budget::BodyBudget;
use crate::ledger_channel::LedgerChannel;
use crate::ledger_channel::LedgerView;
use crate::metrics::ServeMetrics;
use crate::stream_backup::StreamBackup;
use crate::suspect_channel::SuspectChannel;

/// Minimum number of nodes assumed when fleet-wide limits are divided, so that a node that knows no
/// other nodes yet does not claim a whole limit for itself.
const MIN_FLEET_SIZE: usize = 4;

/// Another live node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FleetMember {
    pub(crate) name: Arc<str>,
    pub(crate) hall: Arc<str>,
    /// Address of its control thread, for membership and view updates.
    pub(crate) inner: SocketAddr,
    /// Address of its traffic thread, for work.
    pub(crate) work: SocketAddr,
    /// Start of its process, in milliseconds of the time of day.
    pub(crate) started: u64,
}

/// Part of the grace time that is reserved for the last bytes and the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Duration of most streams including their stages. A stream that arrives when less of the grace
/// time is left is sent to another node.
const TYPICAL_STREAM_TIME: Duration = Duration::from_millis(4500);

/// Snapshot of the control thread's knowledge for the traffic thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteView {
    pub(crate) config: Arc<RouteConfig>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) targets: Arc<BTreeMap<TargetId, TargetSpec>>,
    /// The other live nodes, sorted by name.
    pub(crate) members: Arc<Vec<FleetMember>>,
    /// Upper bound on the number of live nodes, including this one.
    pub(crate) fleet_size: usize,
    /// Largest [`Self::fleet_size`] since the start of this process.
    pub(crate) max_fleet_size: usize,
    /// Whether the store's list of nodes has been read since the start of this process.
    pub(crate) has_member_list: bool,
    /// Number of nodes among them that recently became unreachable without a planned stop.
    pub(crate) missing_count: usize,
    /// Software versions whose streams may still be resumed.
    pub(crate) ledger: Arc<LedgerView>,
}

impl RouteView {
    /// Returns the number of nodes that fleet-wide limits are divided by.
    pub(crate) fn share_count(&self) -> f64 {
        self.fleet_size.max(MIN_FLEET_SIZE) as f64
    }

    /// Returns this node's part of the retries that the whole fleet may send. A node that is cut off from the
    /// others keeps the part that it had; one that has not read the list of nodes has none.
    pub(crate) fn retry_share(&self) -> f64 {
        if !self.has_member_list {
            return 0.0;
        }
        1.0 / self.max_fleet_size.max(MIN_FLEET_SIZE) as f64
    }

    /// Returns whether this node reaches at least half of the nodes that may be alive, including
    /// itself.
    pub(crate) fn reaches_half(&self) -> bool {
        self.members.len() + 1 >= self.missing_count
    }

    /// Returns whether requests can be served.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.version > 0 && !self.targets.is_empty()
    }
}

/// State that is accessible to all threads of a node.
pub(crate) struct ServeShared {
    pub(crate) settings: ServeSettings,
    pub(crate) clock: Arc<dyn Clock>,
    /// Start of this process, in milliseconds of the time of day.
    pub(crate) started: u64,
    pub(crate) view: ArcSwap<RouteView>,
    /// Wakes the traffic thread after a change of the view.
    pub(crate) changes: Sender<()>,
    pub(crate) draining: AtomicBool,
    /// Start of the planned stop, in milliseconds of the node's clock; 0 before it.
    pub(crate) stop_started_at: AtomicU64,
    /// Heartbeat of the thread that accepts clients' connections.
    pub(crate) heartbeat: ThreadHeartbeat,
    /// Whether the store has been asked for the other nodes, successfully or not.
    pub(crate) has_queried_members: AtomicBool,
    /// Whether another node has sent its crash records, or there was no node to ask.
    pub(crate) has_crash_snapshot: AtomicBool,
    /// Whether another node has sent its configuration and targets, or there was no node to ask.
    /// The store may hold an older copy.
    pub(crate) has_view_snapshot: AtomicBool,
    /// Whether the machine was suspended and this node's knowledge has not been confirmed since.
    pub(crate) was_suspended: AtomicBool,
    /// Whether other halls take the connections of this node because it is saturated.
    pub(crate) is_relieved: AtomicBool,
    /// Channel for suspects that are stored.
    pub(crate) suspects: SuspectChannel,
    /// Channel for the ledger of software versions.
    pub(crate) ledger_requests: LedgerChannel,
    /// Copy of the records of this node's streams in the store.
    pub(crate) stream_backup: StreamBackup,
    /// Number of requests and relayed calls in flight.
    pub(crate) running: AtomicU64,
    /// Counts connections of clients that a planned stop waits for.
    pub(crate) deliveries: Arc<DeliveryCounter>,
    pub(crate) metrics: ServeMetrics,
    /// Bytes of buffered bodies.
    pub(crate) bodies: Arc<BodyBudget>,
}

impl ServeShared {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the time since a time of day. Clocks of all nodes agree closely enough for this;
    /// steps of this VM's clock after the start of the process have no effect.
    pub(crate) fn age_of(&self, started: u64) -> Duration {
        let now = Duration::from_millis(self.started) + self.now();
        now.saturating_sub(Duration::from_millis(started))
    }

    /// Returns the names of the nodes, among the given members and this one, that have run long
    /// enough to own duties. A stopping node counts as new, so that it owns no more duties than
    /// necessary.
    pub(crate) fn duty_eligible_names<'a>(
        &'a self,
        members: impl Iterator<Item = &'a FleetMember>,
    ) -> Vec<&'a str> {
        let own_age = if self.is_draining() {
            Duration::ZERO
        } else {
            self.age_of(self.started)
        };
        let own = (&*self.settings.name, own_age);
        let others = members.map(|member| (&*member.name, self.age_of(member.started)));
        let ages: Vec<(&str, Duration)> = others.chain([own]).collect();
        let longest = ages.iter().map(|(_, age)| *age).max().unwrap_or_default();
        let settled = ages
            .iter()
            .filter(|(_, age)| is_duty_eligible(*age, longest));
        settled.map(|(name, _)| *name).collect()
    }

    /// Counts a request or a relayed call that a planned stop waits for.
    pub(crate) fn record_start(&self) {
        self.running.fetch_add(1, Ordering::SeqCst);
    }

    /// Records the end of such a request or call.
    pub(crate) fn record_end(&self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts the planned stop.
    pub(crate) fn begin_stop(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.stop_started_at.store(now.max(1), Ordering::SeqCst);
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the time by which the process ends, or `None` while it is not stopping.
    pub(crate) fn exit_deadline(&self) -> Option<Moment> {
        let started_at = self.stop_started_at.load(Ordering::SeqCst);
        let started_at = (started_at > 0).then(|| Duration::from_millis(started_at))?;
        Some(started_at + self.settings.stop_grace.saturating_sub(EXIT_MARGIN))
    }

    /// Returns whether a new request can be finished before the process ends.
    pub(crate) fn can_finish(&self, kind: CallKind, timeout: Duration) -> bool {
        let Some(end) = self.exit_deadline() else {
            return true;
        };
        let required = if kind == CallKind::Stream {
            TYPICAL_STREAM_TIME
        } else {
            timeout
        };
        self.now() + required.min(TYPICAL_STREAM_TIME) <= end
    }

    /// Returns whether new connections should be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let has_snapshots = self.has_crash_snapshot.load(Ordering::SeqCst)
            && self.has_view_snapshot.load(Ordering::SeqCst);
        let is_awake = !self.was_suspended.load(Ordering::SeqCst);
        let is_complete = has_snapshots && is_awake && self.view.load().is_complete();
        let takes_connections = !self.is_draining() && !self.is_relieved.load(Ordering::SeqCst);
        takes_connections && is_complete && self.heartbeat.is_alive(self.now())
    }

    /// Replaces the view and wakes the traffic thread.
    pub(crate) fn set_view(&self, change: impl Fn(&RouteView) -> RouteView) {
        let old = self.view.load();
        self.view.store(Arc::new(change(&old)));
        // A full channel already holds a wake-up.
        let _ = self.changes.try_send(());
    }
}
