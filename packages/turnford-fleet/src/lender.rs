//! The lender of one account's limits, on the node that holds the lease for it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::share::floor_of;
use crate::share::GrantNumber;
use crate::share::GRANT_LIFE;
use crate::share::RUN_SPAN;
use crate::Moment;
use crate::NodeName;
use crate::ShareDemand;
use crate::ShareGrant;
use crate::Version;

/// Demand beyond what was seen that a node is lent, so that its traffic can grow.
const HEADROOM: f64 = 1.5;

/// One grant that may still be in use.
#[derive(Clone, Copy, Debug)]
struct LentGrant {
    number: GrantNumber,
    rate: f64,
    concurrency: u32,
    until: Moment,
}

/// What one node was lent, and what it last asked for.
///
/// A grant whose answer is lost leaves the node with an earlier one, so the node counts with the
/// largest grant that it may still use: those from the one it last said to hold.
#[derive(Clone, Debug, Default)]
struct NodeShare {
    demand: f64,
    running: u32,
    grants: Vec<LentGrant>,
}

/// Lends one account's limits to nodes by demand. What may be in use never exceeds the limit.
#[derive(Debug)]
pub struct ShareLender {
    token: Version,
    sequence: u64,
    fleet_size: u32,
    rate: f64,
    concurrency: u32,
    /// Until then nodes keep exactly what they hold from an earlier lender.
    recovers_until: Option<Moment>,
    nodes: BTreeMap<NodeName, NodeShare>,
}

impl ShareLender {
    /// Starts a lender under a lease's token. If another lender came before, nothing new is lent
    /// until all its grants are over; nodes keep what they hold from it.
    pub fn new(
        now: Moment,
        token: Version,
        limits: (f64, u32),
        fleet_size: u32,
        is_first: bool,
    ) -> Self {
        let mut lender = Self {
            token,
            sequence: 0,
            fleet_size,
            rate: 0.0,
            concurrency: 0,
            recovers_until: (!is_first).then_some(now + GRANT_LIFE),
            nodes: BTreeMap::new(),
        };
        lender.set_limits(limits.0, limits.1);
        lender
    }

    /// Sets new limits. Nodes drop their grants when the new configuration reaches them.
    pub fn set_limits(&mut self, rate: f64, concurrency: u32) {
        let (floor_rate, floor_concurrency) = floor_of(rate, concurrency, self.fleet_size);
        self.rate = rate - floor_rate * f64::from(self.fleet_size);
        self.concurrency = concurrency.saturating_sub(floor_concurrency * self.fleet_size);
    }

    /// Returns the sums that may be in use at a time: rate and concurrency.
    pub fn outstanding(&self, now: Moment) -> (f64, u32) {
        let nodes = self.nodes.values();
        let rate = nodes.clone().map(|node| node.rate(now)).sum();
        let concurrency = nodes.map(|node| node.concurrency(now)).sum();
        (rate, concurrency)
    }

    /// Lends a node its share. The grant holds from when the node asked, so it ends at the node
    /// before it ends here.
    pub fn lend(&mut self, now: Moment, node: &str, demand: &ShareDemand) -> ShareGrant {
        self.nodes.retain(|_, other| other.expire(now));
        let mut own = self.nodes.remove(node).unwrap_or_default();
        own.confirm(demand);
        let kept = self.recover(&own, demand);
        let fair = self.share(now, &own);
        let rate = if self.recovers(now, Duration::ZERO) {
            kept.0
        } else {
            fair.0
        };
        // Requests that began under grants of an earlier lender may run on after them.
        let concurrency = if self.recovers(now, RUN_SPAN) {
            kept.1
        } else {
            fair.1
        };
        self.sequence += 1;
        let number = GrantNumber {
            token: self.token,
            sequence: self.sequence,
        };
        let until = now + GRANT_LIFE;
        own.grants.push(LentGrant {
            number,
            rate,
            concurrency,
            until,
        });
        self.nodes.insert(node.to_owned(), own);
        ShareGrant {
            account: demand.account.clone(),
            number,
            rate,
            concurrency,
        }
    }

    /// Tells whether nothing that was lent may still be in use, here or from an earlier lender.
    pub fn is_clear(&self, now: Moment) -> bool {
        let (rate, concurrency) = self.outstanding(now);
        !self.recovers(now, RUN_SPAN) && rate <= 0.0 && concurrency == 0
    }

    /// Takes a node's share back when it stops as planned and runs nothing any more.
    pub fn give_back(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    /// Tells whether an earlier lender's grants, or what runs on for a span after them, count.
    fn recovers(&self, now: Moment, span: Duration) -> bool {
        self.recovers_until.is_some_and(|until| now < until + span)
    }

    /// Returns a node's part of what nobody else may be using.
    ///
    /// While the demands fit into the limit, the rest is split evenly, so that a lull at one node
    /// does not leave it without room for the next burst. Otherwise the demands share the limit.
    fn share(&self, now: Moment, own: &NodeShare) -> (f64, u32) {
        let others: f64 = self.nodes.values().map(|other| other.demand).sum();
        let total = own.demand + others;
        let count = (self.nodes.len() as f64 + 1.0).max(f64::from(self.fleet_size));
        let spare = (self.rate - total).max(0.0) / count;
        let scale = (self.rate / total.max(1e-9)).min(1.0);
        let fair = own.demand * scale + spare;
        let (lent_rate, lent_concurrency) = self.outstanding(now);
        let rate = fair.min((self.rate - lent_rate).max(0.0));
        let part = fair / self.rate.max(1e-9);
        let fair = (f64::from(self.concurrency) * part).floor() as u32;
        let left = self.concurrency.saturating_sub(lent_concurrency);
        (rate, fair.min(left))
    }

    /// Returns what a node holds from an earlier lender, which counted it within the limit.
    fn recover(&self, own: &NodeShare, demand: &ShareDemand) -> (f64, u32) {
        if let Some(last) = own.grants.last() {
            return (last.rate, last.concurrency);
        }
        let held = demand
            .held
            .as_ref()
            .filter(|held| held.number.token < self.token);
        held.map_or((0.0, 0), |held| (held.rate, held.concurrency))
    }
}

impl NodeShare {
    /// Takes what the node says: grants before the one it holds are never used again.
    fn confirm(&mut self, demand: &ShareDemand) {
        self.demand = demand.rate * HEADROOM;
        self.running = demand.running;
        if let Some(held) = &demand.held {
            self.grants.retain(|grant| grant.number >= held.number);
        }
    }

    /// Drops what is over; false if nothing is left.
    fn expire(&mut self, now: Moment) -> bool {
        self.grants.retain(|grant| now < grant.until + RUN_SPAN);
        !self.grants.is_empty()
    }

    fn rate(&self, now: Moment) -> f64 {
        let held = self.grants.iter().filter(|grant| now < grant.until);
        held.map(|grant| grant.rate).fold(0.0, f64::max)
    }

    /// Requests that started under a larger grant still run; they count until they ended.
    fn concurrency(&self, now: Moment) -> u32 {
        let held = self
            .grants
            .iter()
            .filter(|grant| now < grant.until + RUN_SPAN);
        let most = held.map(|grant| grant.concurrency).max().unwrap_or(0);
        most.max(self.running)
    }
}
