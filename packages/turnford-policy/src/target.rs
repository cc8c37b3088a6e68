//! What a node knows of one target.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;
use crate::PrefixHash;
use crate::TargetHealth;
use crate::TargetId;

/// Age at which a report from the target counts half.
const REPORT_HALF_AGE: Duration = Duration::from_secs(2);

/// Age at which what peers said is forgotten.
const PEER_MAX_AGE: Duration = Duration::from_secs(3);

/// Changes of the own count that are kept to match a lagging report.
const HISTORY_LIMIT: usize = 128;

/// How much newer than the last signal of leaving a target's own word to stay must be.
const STAY_SPAN: Duration = Duration::from_secs(5);

/// Prefix hints kept for one target.
const PREFIX_LIMIT: usize = 256;

/// Fixed facts of a target, from the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFacts {
    /// Name, unique in the fleet.
    pub id: TargetId,
    /// Hardware class; only targets of one class are compared with each other.
    pub hardware: Arc<str>,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Cost of one second of one slot, in the operators' unit.
    pub cost: f64,
    /// One-way delay from this node.
    pub one_way_delay: Duration,
    /// Models and adapters present; empty where the service has none.
    pub models: Vec<Arc<str>>,
}

/// Load as the target itself reports it, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls running and queued at the target, from all nodes.
    pub inflight: u32,
    /// When the target counted, on this node's clock.
    pub taken_at: Moment,
}

/// The view of one target: facts, own work, reports, peers' word, health.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Facts from the VM list.
    pub facts: TargetFacts,
    /// Health as seen by this node.
    pub health: TargetHealth,
    /// True once any signal said that the target leaves.
    pub leaving: bool,
    /// True while the VM list says that the target leaves.
    pub listed_leaving: bool,
    left_at: Moment,
    own: u32,
    history: VecDeque<(Moment, u32)>,
    others: Option<(Moment, u32)>,
    peers: Option<(Moment, u32)>,
    prefixes: VecDeque<PrefixHash>,
}

impl TargetView {
    /// Starts a view without load.
    pub fn new(facts: TargetFacts) -> Self {
        Self {
            facts,
            health: TargetHealth::default(),
            leaving: false,
            listed_leaving: false,
            left_at: Moment::ZERO,
            own: 0,
            history: VecDeque::new(),
            others: None,
            peers: None,
            prefixes: VecDeque::new(),
        }
    }

    /// Returns the calls that this node has running there.
    pub fn own_inflight(&self) -> u32 {
        self.own
    }

    /// Notes a signal that the target leaves; true if it is the first.
    pub fn record_leaving(&mut self, now: Moment) -> bool {
        let first = !self.leaving;
        self.leaving = true;
        self.left_at = now;
        first
    }

    /// Notes the target's own word that it does not leave. It takes work again if the word is much
    /// newer than the last signal, as after a restart in place, and the list does not say otherwise.
    pub fn record_active(&mut self, taken_at: Moment) -> bool {
        let newer = taken_at > self.left_at + STAY_SPAN;
        let back = self.leaving && !self.listed_leaving && newer;
        if back {
            self.leaving = false;
        }
        back
    }

    /// Notes a call sent there.
    pub fn record_start(&mut self, now: Moment) {
        self.own += 1;
        self.remember(now);
    }

    /// Notes that a call ended there.
    pub fn record_end(&mut self, now: Moment) {
        debug_assert!(self.own > 0, "a call ended that was never sent");
        self.own = self.own.saturating_sub(1);
        self.remember(now);
    }

    /// Takes a report; what this node itself had there at that time is not counted again.
    pub fn apply_report(&mut self, report: LoadReport) {
        if self
            .others
            .is_some_and(|(taken_at, _)| taken_at > report.taken_at)
        {
            return;
        }
        let own_then = self.own_at(report.taken_at);
        let others = report.inflight.saturating_sub(own_then);
        self.others = Some((report.taken_at, others));
    }

    /// Takes the sum of what peers have running there.
    pub fn apply_peer_load(&mut self, now: Moment, inflight: u32) {
        self.peers = Some((now, inflight));
    }

    /// Returns the expected calls in flight from all nodes, old numbers counting less.
    pub fn inflight(&self, now: Moment) -> f64 {
        let fresh = self
            .peers
            .filter(|(at, _)| now.saturating_sub(*at) <= PEER_MAX_AGE);
        let others = match (fresh, self.others) {
            (Some((_, inflight)), _) => f64::from(inflight),
            (None, Some((taken_at, inflight))) => {
                let age = now.saturating_sub(taken_at).as_secs_f64();
                f64::from(inflight) * 0.5_f64.powf(age / REPORT_HALF_AGE.as_secs_f64())
            }
            (None, None) => 0.0,
        };
        f64::from(self.own) + others
    }

    /// Returns the age of the target's last report.
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.others
            .map(|(taken_at, _)| now.saturating_sub(taken_at))
    }

    /// Notes that the target holds a prefix, by its word or by a request that ran there.
    pub fn record_prefix(&mut self, prefix: PrefixHash) {
        if let Some(at) = self.prefixes.iter().position(|known| *known == prefix) {
            self.prefixes.remove(at);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_LIMIT {
            self.prefixes.pop_front();
        }
    }

    /// Notes that the target dropped a prefix.
    pub fn remove_prefix(&mut self, prefix: PrefixHash) {
        self.prefixes.retain(|known| *known != prefix);
    }

    /// Forgets all hints, for example after a gap in the cache events.
    pub fn clear_prefixes(&mut self) {
        self.prefixes.clear();
    }

    /// Tells whether the target is thought to hold a prefix.
    pub fn has_prefix(&self, prefix: PrefixHash) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Tells whether the target has a model or adapter, or the service has none at all.
    pub fn has_model(&self, model: Option<&Arc<str>>) -> bool {
        model.is_none_or(|wanted| self.facts.models.contains(wanted))
    }

    fn remember(&mut self, now: Moment) {
        self.history.push_back((now, self.own));
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn own_at(&self, moment: Moment) -> u32 {
        let before = self.history.iter().rev().find(|(at, _)| *at <= moment);
        match (before, self.history.front()) {
            (Some((_, own)), _) => *own,
            (None, Some(_)) if self.history.len() < HISTORY_LIMIT => 0,
            (None, Some((_, oldest))) => *oldest,
            (None, None) => self.own,
        }
    }
}
