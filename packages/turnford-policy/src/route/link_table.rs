//! The links of one node to its targets, and whether calls have to go through another node.
//!
//! A node that can't reach a target doesn't know whether the target or its own link is down. Only
//! another node that reaches the target tells the two apart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

/// Number of targets that a node must have failed to reach, without contact to any target since, to
/// count as isolated.
const MIN_ISOLATING_FAILURES: usize = 3;

/// Interval between probes of a lost link.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which other nodes are not asked again about a target that they did not reach either.
const DENIAL_PERIOD: Duration = Duration::from_secs(1);

/// Silence of all targets after which the link of a waiting call is checked.
const MAX_SILENCE: Duration = Duration::from_millis(250);

/// Silence of one target after which the link of a waiting call is checked while others respond.
const MAX_TARGET_SILENCE: Duration = Duration::from_secs(1);

/// Minimum interval between checks of the link to one target.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How a call gets to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPath {
    /// Over this node's link.
    Direct,
    /// Through another node.
    Relayed,
}

/// A failed link.
#[derive(Clone, Copy, Debug)]
struct LinkFailure {
    /// Whether another node reached the target, so that only this node's link is down.
    is_confirmed: bool,
    next_probe: Moment,
}

/// Contacts over the link to one target.
#[derive(Clone, Debug, Default)]
struct LinkHistory {
    last_contact: Option<Moment>,
    last_check: Option<Moment>,
    /// Time until which other nodes are not asked about the target.
    denied_until: Moment,
}

/// Links of one node to the targets that it has called.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    histories: HashMap<TargetId, LinkHistory>,
    failures: BTreeMap<TargetId, LinkFailure>,
    /// Targets that were not reached since the last contact to any target.
    unreached: BTreeSet<TargetId>,
    /// Last contact to any target.
    last_contact: Option<Moment>,
}

impl LinkTable {
    /// Removes the links to targets that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.histories.retain(|id, _| is_listed(id));
        self.failures.retain(|id, _| is_listed(id));
        self.unreached.retain(|id| is_listed(id));
    }

    /// Returns how a call gets to a target. An isolated node does not wait for its own links, but has
    /// those that it would use probed: the targets that it did not reach may be down.
    pub fn path(&mut self, now: Moment, id: &str) -> CallPath {
        if self.is_lost(id) {
            return CallPath::Relayed;
        }
        if !self.is_isolated() {
            return CallPath::Direct;
        }
        self.failures.entry(id.into()).or_insert(LinkFailure {
            is_confirmed: false,
            next_probe: now,
        });
        CallPath::Relayed
    }

    /// Returns whether the link to a target is down while another node reaches the target.
    pub fn is_lost(&self, id: &str) -> bool {
        let failure = self.failures.get(id);
        failure.is_some_and(|failure| failure.is_confirmed)
    }

    /// Returns the number of lost links.
    pub fn lost_count(&self) -> usize {
        let failures = self.failures.values();
        failures.filter(|failure| failure.is_confirmed).count()
    }

    /// Returns whether this node reaches none of several targets, as far as it knows.
    pub fn is_isolated(&self) -> bool {
        self.unreached.len() >= MIN_ISOLATING_FAILURES
    }

    /// Records bytes received from a target over this node's link, or a connection opened to it.
    /// Returns true if its link was lost.
    pub fn record_contact(&mut self, now: Moment, id: &str) -> bool {
        self.last_contact = Some(now);
        self.unreached.clear();
        match self.histories.get_mut(id) {
            Some(history) => history.last_contact = Some(now),
            None => self.history(id).last_contact = Some(now),
        }
        let failure = self.failures.remove(id);
        failure.is_some_and(|failure| failure.is_confirmed)
    }

    /// Records that this node could not reach a target.
    pub fn record_failure(&mut self, now: Moment, id: &str) {
        self.unreached.insert(id.into());
        let failure = LinkFailure {
            is_confirmed: self.is_lost(id),
            next_probe: now + PROBE_INTERVAL,
        };
        self.failures.insert(id.into(), failure);
    }

    /// Records that another node reached a target. Returns true if this node's link to it counts as
    /// lost from now on.
    pub fn record_peer_contact(&mut self, id: &str) -> bool {
        if let Some(history) = self.histories.get_mut(id) {
            history.denied_until = Moment::ZERO;
        }
        let failure = self.failures.get_mut(id);
        failure.is_some_and(|failure| !std::mem::replace(&mut failure.is_confirmed, true))
    }

    /// Records that other nodes that reach targets do not reach this one either.
    pub fn record_peer_failure(&mut self, now: Moment, id: &str) {
        self.history(id).denied_until = now + DENIAL_PERIOD;
        if let Some(failure) = self.failures.get_mut(id) {
            failure.is_confirmed = false;
        }
    }

    /// Returns whether other nodes may be asked about a target now.
    pub fn may_ask_peers(&self, now: Moment, id: &str) -> bool {
        let history = self.histories.get(id);
        history.is_none_or(|history| history.denied_until <= now)
    }

    /// Returns whether the link of a call that has waited since `since` must be checked now, and
    /// records the check.
    pub fn take_check(&mut self, now: Moment, id: &str, since: Moment) -> bool {
        let silence = |contact: Option<Moment>| {
            let from = contact.map_or(since, |at| at.max(since));
            now.saturating_sub(from)
        };
        let all = silence(self.last_contact);
        let history = self.history(id);
        let own = silence(history.last_contact);
        let is_silent = own >= MAX_TARGET_SILENCE || (own >= MAX_SILENCE && all >= MAX_SILENCE);
        let is_recent = history
            .last_check
            .is_some_and(|at| now.saturating_sub(at) < CHECK_INTERVAL);
        if !is_silent || is_recent {
            return false;
        }
        history.last_check = Some(now);
        true
    }

    /// Returns the targets whose links are due for a probe, at most `count`, those that wait for
    /// the longest time first. Links to targets that no other node reached are probed, too, while
    /// this node is isolated.
    pub fn take_due_probes(&mut self, now: Moment, count: usize) -> Vec<TargetId> {
        let is_isolated = self.is_isolated();
        let due = self.failures.iter().filter(|(_, failure)| {
            failure.next_probe <= now && (failure.is_confirmed || is_isolated)
        });
        let due = due.map(|(id, failure)| (failure.next_probe, id.clone()));
        let mut due: Vec<(Moment, TargetId)> = due.collect();
        due.sort();
        due.truncate(count);
        let ids: Vec<TargetId> = due.into_iter().map(|(_, id)| id).collect();
        for id in &ids {
            if let Some(failure) = self.failures.get_mut(id) {
                failure.next_probe = now + PROBE_INTERVAL;
            }
        }
        ids
    }

    /// Makes all failed links due for a probe, because one of them works again.
    pub fn expedite_probes(&mut self, now: Moment) {
        for failure in self.failures.values_mut() {
            failure.next_probe = failure.next_probe.min(now);
        }
    }

    fn history(&mut self, id: &str) -> &mut LinkHistory {
        self.histories.entry(id.into()).or_default()
    }
}
