//! What the threads of a node share.

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
use turnford_policy::CallKind;
use turnford_policy::Clock;
use turnford_policy::Moment;
use turnford_policy::RouteConfig;
use turnford_policy::RouteTable;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_policy::ThreadHeartbeat;

use crate::metrics::ServeMetrics;
use crate::suspect_channel::SuspectChannel;

/// Least number of nodes that shares of fleet-wide limits are reckoned with, so that a node that
/// knows nobody yet does not take the limit for its own.
const LEAST_FLEET: usize = 4;

/// Another node that lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FleetMember {
    pub(crate) name: Arc<str>,
    pub(crate) hall: Arc<str>,
    /// Address for news of the fleet.
    pub(crate) inner: SocketAddr,
    /// Address for work.
    pub(crate) work: SocketAddr,
    /// Start of its process, in milliseconds of the time of day.
    pub(crate) started: u64,
}

/// Part of the grace time that is left for the last bytes and the process's own end.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time that most streams take with their stages. A stream that comes when less is left of the
/// grace time goes to another node.
const LONG_SPAN: Duration = Duration::from_millis(4500);

/// What the control thread knows, as the traffic thread reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteView {
    pub(crate) config: Arc<RouteConfig>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) targets: Arc<BTreeMap<TargetId, TargetSpec>>,
    /// The other nodes that live, by name.
    pub(crate) members: Arc<Vec<FleetMember>>,
    /// Most nodes that may be alive, this one among them.
    pub(crate) fleet: usize,
    /// Nodes among them that fell silent lately and did not stop as planned.
    pub(crate) missing: usize,
}

impl RouteView {
    /// Returns the number of nodes to share fleet-wide limits with.
    pub(crate) fn share_count(&self) -> f64 {
        self.fleet.max(LEAST_FLEET) as f64
    }

    /// Tells whether this node reaches at least half of the nodes that may be alive, itself among them.
    pub(crate) fn reaches_half(&self) -> bool {
        self.members.len() + 1 >= self.missing
    }

    /// Tells whether requests can be served.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.version > 0 && !self.targets.is_empty()
    }
}

/// State that all threads of a node reach.
pub(crate) struct ServeShared {
    pub(crate) settings: ServeSettings,
    pub(crate) clock: Arc<dyn Clock>,
    /// Start of this process, in milliseconds of the time of day.
    pub(crate) started: u64,
    pub(crate) view: ArcSwap<RouteView>,
    /// Wakes the traffic thread after a change of the view.
    pub(crate) changes: Sender<()>,
    pub(crate) draining: AtomicBool,
    /// When the stop began, in milliseconds of the node's clock; 0 before.
    pub(crate) stop_begun: AtomicU64,
    /// Turns of the thread that takes clients' connections.
    pub(crate) turns: ThreadHeartbeat,
    /// Whether the store was asked for the other nodes, with whatever success.
    pub(crate) has_asked_members: AtomicBool,
    /// Whether another node told which requests crash targets, or there is none to ask.
    pub(crate) has_crash_snapshot: AtomicBool,
    /// Whether another node told what it knows of the configuration and the targets, or there is none to
    /// ask. What the store holds may be older.
    pub(crate) knows_view: AtomicBool,
    /// Whether the machine was suspended and nothing has confirmed since what this node knows.
    pub(crate) has_slept: AtomicBool,
    /// Requests under which targets crashed, as they are kept in the store.
    pub(crate) suspects: SuspectChannel,
    /// Requests under way.
    pub(crate) running: AtomicU64,
    pub(crate) metrics: ServeMetrics,
}

impl ServeShared {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the time since a moment of the time of day, which is near enough on all nodes; steps
    /// of this VM's clock since its start don't count.
    pub(crate) fn age_of(&self, started: u64) -> Duration {
        let now = Duration::from_millis(self.started) + self.now();
        now.saturating_sub(Duration::from_millis(started))
    }

    /// Returns those of some members, and this node, that have run long enough to do duties for
    /// others. A node that stops does no more duties than it must.
    pub(crate) fn settled_names<'a>(
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

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins the stop.
    pub(crate) fn begin_stop(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.stop_begun.store(now.max(1), Ordering::SeqCst);
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns when the process ends at the latest, `None` while it is not stopping.
    pub(crate) fn exit_deadline(&self) -> Option<Moment> {
        let begun = self.stop_begun.load(Ordering::SeqCst);
        let begun = (begun > 0).then(|| Duration::from_millis(begun))?;
        Some(begun + self.settings.stop_grace.saturating_sub(EXIT_MARGIN))
    }

    /// Tells whether a new request of a kind can be finished before the process ends.
    pub(crate) fn can_finish(&self, kind: CallKind, timeout: Duration) -> bool {
        let Some(end) = self.exit_deadline() else {
            return true;
        };
        let span = if kind == CallKind::Stream {
            LONG_SPAN
        } else {
            timeout
        };
        self.now() + span.min(LONG_SPAN) <= end
    }

    /// Tells whether new connections should come to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let has_asked = self.has_crash_snapshot.load(Ordering::SeqCst)
            && self.knows_view.load(Ordering::SeqCst);
        let is_awake = !self.has_slept.load(Ordering::SeqCst);
        let is_complete = has_asked && is_awake && self.view.load().is_complete();
        !self.is_draining() && is_complete && self.turns.is_alive(self.now())
    }

    /// Puts a new view into force.
    pub(crate) fn set_view(&self, change: impl Fn(&RouteView) -> RouteView) {
        let old = self.view.load();
        self.view.store(Arc::new(change(&old)));
        // A full channel holds a wake-up already.
        let _ = self.changes.try_send(());
    }
}
