//! The lender of one account's limits, on the node that holds the lease for it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::share::GrantNumber;
use crate::share::ShareSize;
use crate::share::GRANT_LIFE;
use crate::share::RUN_SPAN;
use crate::Moment;
use crate::NodeName;
use crate::ShareDemand;
use crate::ShareGrant;
use crate::Version;

/// Demand beyond what was seen that a node is lent, so that its traffic can grow.
const HEADROOM: f64 = 1.5;

/// Silence after which a node's even part is reserved for it.
const SILENCE: Duration = Duration::from_secs(3);

/// Time in which a new lender only listens, so that it knows what the nodes use.
const LISTEN_SPAN: Duration = Duration::from_secs(1);

/// A lender's time in a reply, which the node sends back with its next ask.
///
/// It proves to the lender that the node received a reply made at that time, and so when the node
/// can take its even part at the earliest. An ask alone proves nothing: it can have been on its way
/// for long, and its reply can be lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct LenderStamp {
    /// Token at which the lender's term began.
    pub token: Version,
    /// The lender's time, in milliseconds of its own clock.
    pub millis: u64,
}

/// The nodes that a lender heard of, for all accounts of its group.
#[derive(Debug)]
pub struct NodeContacts {
    token: Version,
    began: Moment,
    fleet_size: u32,
    at: BTreeMap<NodeName, Moment>,
}

/// One grant that may still be in use.
#[derive(Clone, Copy, Debug)]
struct LentGrant {
    number: GrantNumber,
    size: ShareSize,
    until: Moment,
}

/// What one node was lent, and what it last asked for.
///
/// A grant whose answer is lost leaves the node with an earlier one, so the node counts with the
/// largest grant that it may still use: those from the newest that it said to have.
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
    limit: ShareSize,
    /// End of all grants of an earlier lender; until then nodes keep what they use.
    recovers_until: Option<Moment>,
    nodes: BTreeMap<NodeName, NodeShare>,
}

impl NodeContacts {
    /// Starts at the begin of a lease's term.
    pub fn new(now: Moment, token: Version, fleet_size: u32) -> Self {
        Self {
            token,
            began: now,
            fleet_size,
            at: BTreeMap::new(),
        }
    }

    /// Notes the stamp that a node sent back, and returns the stamp for the reply.
    pub fn record_contact(&mut self, now: Moment, node: &str, stamp: LenderStamp) -> LenderStamp {
        self.at.retain(|_, at| now.saturating_sub(*at) < SILENCE);
        if stamp.token == self.token {
            self.at
                .insert(node.to_owned(), Duration::from_millis(stamp.millis));
        }
        LenderStamp {
            token: self.token,
            millis: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Tells whether all grants of earlier lenders are over, and the requests that began under them.
    pub fn has_outlived_grants(&self, now: Moment) -> bool {
        now >= self.began + GRANT_LIFE + RUN_SPAN
    }

    fn is_heard(&self, now: Moment, node: &str) -> bool {
        let at = self.at.get(node);
        at.is_some_and(|at| now.saturating_sub(*at) < SILENCE)
    }

    /// Returns how many nodes there may be that were not heard of.
    fn silent(&self, now: Moment) -> u32 {
        let heard = self
            .at
            .values()
            .filter(|at| now.saturating_sub(**at) < SILENCE);
        self.fleet_size.saturating_sub(heard.count() as u32)
    }
}

impl ShareLender {
    /// Starts a lender under a lease's token, at the begin of its term. Unless nothing of an earlier
    /// lender may still hold (`is_first`), nodes first keep what they use.
    pub fn new(began: Moment, token: Version, limit: ShareSize, is_first: bool) -> Self {
        Self {
            token,
            sequence: 0,
            limit,
            recovers_until: (!is_first).then_some(began + GRANT_LIFE),
            nodes: BTreeMap::new(),
        }
    }

    /// Sets new limits. Nodes drop their grants when the new configuration reaches them.
    pub fn set_limit(&mut self, limit: ShareSize) {
        self.limit = limit;
    }

    /// Tells whether nothing that was lent may still be in use, here or from an earlier lender.
    pub fn is_clear(&self, now: Moment) -> bool {
        let used = self.nodes.values().any(|node| {
            let size = node.size(now);
            size.rate > 0.0 || size.concurrency > 0
        });
        !self.recovers(now, RUN_SPAN) && !used
    }

    /// Lends a node its share; `None` while the lender only listens. The grant holds from when the
    /// node asked, so it ends at the node before it ends here.
    pub fn lend(
        &mut self,
        now: Moment,
        node: &str,
        demand: &ShareDemand,
        heard: &NodeContacts,
    ) -> Option<ShareGrant> {
        self.nodes.retain(|_, other| other.expire(now));
        let mut own = self.nodes.remove(node).unwrap_or_default();
        self.confirm(now, &mut own, demand);
        if self.recovers(now, Duration::ZERO) && now < heard.began + LISTEN_SPAN {
            self.nodes.insert(node.to_owned(), own);
            return None;
        }
        let room = self.room(now, heard);
        let size = self.size_for(now, &own, demand, room, heard.fleet_size);
        self.sequence += 1;
        let number = GrantNumber {
            token: self.token,
            sequence: self.sequence,
        };
        let until = now + GRANT_LIFE;
        own.grants.push(LentGrant {
            number,
            size,
            until,
        });
        self.nodes.insert(node.to_owned(), own);
        Some(ShareGrant {
            account: demand.account.clone(),
            number,
            size,
        })
    }

    /// Takes what the node says: grants before its newest are never used again. What it uses by an
    /// earlier lender's grant counts until that is over.
    fn confirm(&self, now: Moment, own: &mut NodeShare, demand: &ShareDemand) {
        own.demand = demand.rate * HEADROOM;
        own.running = demand.running;
        own.grants.retain(|grant| grant.number >= demand.newest);
        if demand.newest.token < self.token && self.recovers(now, RUN_SPAN) {
            own.grants.push(LentGrant {
                number: demand.newest,
                size: demand.using,
                until: now + GRANT_LIFE,
            });
        }
    }

    /// Returns what the others leave of the limit: what they may use, the even part of each node that
    /// was not heard of, and one place for each that was heard of and has none.
    fn room(&self, now: Moment, heard: &NodeContacts) -> ShareSize {
        let part = self.limit.even_share(heard.fleet_size);
        let silent = heard.silent(now);
        let mut rate = part.rate * f64::from(silent);
        let mut concurrency = part.concurrency * silent;
        let mut without = heard.fleet_size.saturating_sub(silent + 1);
        for (name, node) in &self.nodes {
            let size = node.size(now);
            if heard.is_heard(now, name) {
                rate += size.rate;
                concurrency += size.concurrency;
                without = without.saturating_sub(u32::from(size.concurrency > 0));
            } else {
                // Its even part is counted among the silent.
                rate += (size.rate - part.rate).max(0.0);
                concurrency += size.concurrency.saturating_sub(part.concurrency);
            }
        }
        ShareSize {
            rate: (self.limit.rate - rate).max(0.0),
            concurrency: self.limit.concurrency.saturating_sub(concurrency + without),
        }
    }

    /// Returns a node's share within the room.
    ///
    /// While the demands fit into the limit, the rest is split evenly, so that a lull at one node
    /// does not leave it without room for the next burst. Otherwise the demands share the limit.
    fn size_for(
        &self,
        now: Moment,
        own: &NodeShare,
        demand: &ShareDemand,
        room: ShareSize,
        fleet_size: u32,
    ) -> ShareSize {
        let others: f64 = self.nodes.values().map(|other| other.demand).sum();
        let total = own.demand + others;
        let spare = (self.limit.rate - total).max(0.0) / f64::from(fleet_size.max(1));
        let scale = (self.limit.rate / total.max(1e-9)).min(1.0);
        let part = (own.demand * scale + spare) / self.limit.rate.max(1e-9);
        let mut fair = ShareSize {
            rate: self.limit.rate * part,
            // A node that asks can run at least one, whatever its part of a scarce rate.
            concurrency: (f64::from(self.limit.concurrency) * part).floor().max(1.0) as u32,
        };
        // Nobody gets more than it uses while an earlier lender's grants may hold; for requests
        // that run on after them, a little longer.
        if self.recovers(now, Duration::ZERO) {
            fair.rate = demand.using.rate;
        }
        if self.recovers(now, RUN_SPAN) {
            fair.concurrency = demand.using.concurrency;
        }
        fair.min(room)
    }

    /// Tells whether an earlier lender's grants, or what runs on for a span after them, count.
    fn recovers(&self, now: Moment, span: Duration) -> bool {
        self.recovers_until.is_some_and(|until| now < until + span)
    }
}

impl NodeShare {
    /// Drops what is over; false if nothing is left.
    fn expire(&mut self, now: Moment) -> bool {
        self.grants.retain(|grant| now < grant.until + RUN_SPAN);
        if self.grants.iter().all(|grant| now >= grant.until) {
            self.demand = 0.0;
        }
        !self.grants.is_empty()
    }

    /// Returns what the node may use. Requests that started under a larger grant still run; they
    /// count until they ended.
    fn size(&self, now: Moment) -> ShareSize {
        let held = self.grants.iter().filter(|grant| now < grant.until);
        let rate = held.map(|grant| grant.size.rate).fold(0.0, f64::max);
        let running = self
            .grants
            .iter()
            .filter(|grant| now < grant.until + RUN_SPAN);
        let most = running
            .map(|grant| grant.size.concurrency)
            .max()
            .unwrap_or(0);
        let concurrency = most.max(self.running);
        ShareSize { rate, concurrency }
    }
}
