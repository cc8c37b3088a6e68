//! State of one target as seen by one node.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;
use crate::PrefixHash;
use crate::TargetHealth;
use crate::TargetId;

/// Age at which the load in a target's report is weighted by one half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Age at which the load reported by peers expires.
const PEER_MAX_AGE: Duration = Duration::from_secs(3);

/// Number of past changes of the own call count that are kept to match delayed reports.
const HISTORY_LIMIT: usize = 128;

/// Time by which a target's report that it is not leaving must be newer than the last leaving
/// signal.
const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// Maximum number of cached prefixes remembered for one target.
const PREFIX_LIMIT: usize = 256;

/// Attributes of a target from the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFacts {
    /// Name of the target, unique in the fleet.
    pub id: TargetId,
    /// Hardware class; health is compared between targets of the same class.
    pub hardware: Arc<str>,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Cost of one slot for one second, in the operators' unit.
    pub cost: f64,
    /// One-way network delay from this node.
    pub one_way_delay: Duration,
    /// Loaded models and adapters; empty if the service has none.
    pub models: Vec<Arc<str>>,
}

/// Load reported by the target itself, with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of calls running and queued at the target, from all nodes.
    pub inflight: u32,
    /// Time of the count, on this node's clock.
    pub taken_at: Moment,
}

/// One node's view of a target: attributes, own calls, load reports and health.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Attributes from the VM list.
    pub facts: TargetFacts,
    /// Health as measured by this node.
    pub health: TargetHealth,
    /// True after any signal that the target is leaving.
    pub leaving: bool,
    /// True while the VM list marks the target as leaving.
    pub listed_leaving: bool,
    left_signal_at: Moment,
    own_inflight: u32,
    /// Recent changes of the own call count, oldest first.
    history: VecDeque<(Moment, u32)>,
    /// Calls of other nodes according to the target's last report, with the report's time.
    others: Option<(Moment, u32)>,
    /// Calls of other nodes according to those nodes, with the time of reception.
    peers: Option<(Moment, u32)>,
    prefixes: VecDeque<PrefixHash>,
}

impl TargetView {
    /// Creates a view without load.
    pub fn new(facts: TargetFacts) -> Self {
        Self {
            facts,
            health: TargetHealth::default(),
            leaving: false,
            listed_leaving: false,
            left_signal_at: Moment::ZERO,
            own_inflight: 0,
            history: VecDeque::new(),
            others: None,
            peers: None,
            prefixes: VecDeque::new(),
        }
    }

    /// Returns the number of calls that this node has in flight at the target.
    pub fn own_inflight(&self) -> u32 {
        self.own_inflight
    }

    /// Records a signal that the target is leaving. Returns true if it is the first one.
    pub fn record_leaving(&mut self, now: Moment) -> bool {
        let first = !self.leaving;
        self.leaving = true;
        self.left_signal_at = now;
        first
    }

    /// Records the target's own report that it is not leaving. Returns true if the target gets work
    /// again.
    ///
    /// That requires a report well after the last leaving signal, as after a restart in place, and
    /// a VM list that does not mark the target as leaving.
    pub fn record_active(&mut self, taken_at: Moment) -> bool {
        let is_newer = taken_at > self.left_signal_at + LEAVING_GRACE;
        let returns = self.leaving && !self.listed_leaving && is_newer;
        if returns {
            self.leaving = false;
        }
        returns
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Moment) {
        self.own_inflight += 1;
        self.push_history(now);
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, now: Moment) {
        debug_assert!(self.own_inflight > 0, "a call ended that was never sent");
        self.own_inflight = self.own_inflight.saturating_sub(1);
        self.push_history(now);
    }

    /// Applies a load report. Calls that this node had in flight at the time of the report are
    /// subtracted, so that they are not counted twice.
    pub fn apply_report(&mut self, report: LoadReport) {
        if self
            .others
            .is_some_and(|(taken_at, _)| taken_at > report.taken_at)
        {
            return;
        }
        let own_inflight = self.own_inflight_at(report.taken_at);
        let others = report.inflight.saturating_sub(own_inflight);
        self.others = Some((report.taken_at, others));
    }

    /// Sets the number of calls that peers have in flight at the target.
    pub fn apply_peer_load(&mut self, now: Moment, inflight: u32) {
        self.peers = Some((now, inflight));
    }

    /// Returns the expected number of calls in flight from all nodes. Reported load decays with
    /// age.
    pub fn inflight(&self, now: Moment) -> f64 {
        let fresh_peers = self
            .peers
            .filter(|(at, _)| now.saturating_sub(*at) <= PEER_MAX_AGE);
        let others = match (fresh_peers, self.others) {
            (Some((_, inflight)), _) => f64::from(inflight),
            (None, Some((taken_at, inflight))) => {
                let age = now.saturating_sub(taken_at).as_secs_f64();
                f64::from(inflight) * 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
            }
            (None, None) => 0.0,
        };
        f64::from(self.own_inflight) + others
    }

    /// Returns the age of the target's last load report.
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.others
            .map(|(taken_at, _)| now.saturating_sub(taken_at))
    }

    /// Records that the target caches a prefix, after its own report or a request that ran there.
    pub fn record_prefix(&mut self, prefix: PrefixHash) {
        if let Some(index) = self.prefixes.iter().position(|known| *known == prefix) {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_LIMIT {
            self.prefixes.pop_front();
        }
    }

    /// Records that the target evicted a prefix.
    pub fn remove_prefix(&mut self, prefix: PrefixHash) {
        self.prefixes.retain(|known| *known != prefix);
    }

    /// Clears the cached prefixes, for example after a gap in the cache events.
    pub fn clear_prefixes(&mut self) {
        self.prefixes.clear();
    }

    /// Returns true if the target is believed to cache a prefix.
    pub fn has_prefix(&self, prefix: PrefixHash) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns true if the target has loaded a model or adapter, or if none is required.
    pub fn has_model(&self, model: Option<&Arc<str>>) -> bool {
        model.is_none_or(|wanted| self.facts.models.contains(wanted))
    }

    fn push_history(&mut self, now: Moment) {
        self.history.push_back((now, self.own_inflight));
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn own_inflight_at(&self, moment: Moment) -> u32 {
        let earlier = self.history.iter().rev().find(|(at, _)| *at <= moment);
        match (earlier, self.history.front()) {
            (Some((_, own_inflight)), _) => *own_inflight,
            (None, Some(_)) if self.history.len() < HISTORY_LIMIT => 0,
            (None, Some((_, oldest))) => *oldest,
            (None, None) => self.own_inflight,
        }
    }
}
