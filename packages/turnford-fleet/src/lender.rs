//! Lender of one account's limits, on the node that holds the corresponding lease.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::share::GrantNumber;
use crate::share::ShareSize;
use crate::share::GRANT_TTL;
use crate::share::MAX_RUN_TIME;
use crate::Moment;
use crate::NodeName;
use crate::ShareDemand;
use crate::ShareGrant;
use crate::Version;

/// Factor by which the granted rate may exceed the observed demand, so that traffic can grow.
const DEMAND_HEADROOM: f64 = 1.5;

/// Time without contact after which a node's even share is reserved.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a new lender only collects what the nodes currently use.
const LISTEN_PERIOD: Duration = Duration::from_secs(1);

/// A lender's time in a reply, which the node returns with its next request.
///
/// The returned stamp proves that the node received a reply sent at that time, and therefore bounds
/// when the node can fall back to its even share. A request alone proves nothing: it may have been
/// delayed, and its reply may be lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct LenderStamp {
    /// Token with which the lender's term began.
    pub token: Version,
    /// Time of the lender's clock in milliseconds.
    pub millis: u64,
}

/// Nodes in contact with a lender, shared by all accounts of its group.
#[derive(Debug)]
pub struct NodeContacts {
    token: Version,
    started_at: Moment,
    fleet_size: u32,
    contacted_at: BTreeMap<NodeName, Moment>,
}

/// A grant that may still be in use.
#[derive(Clone, Copy, Debug)]
struct LentGrant {
    number: GrantNumber,
    size: ShareSize,
    ends_at: Moment,
}

/// Grants and last demand of one node.
///
/// If the reply with a grant is lost, the node continues with an earlier grant. The node is
/// therefore charged with the largest of the grants that it may still use, beginning with the
/// newest that it has reported.
#[derive(Clone, Debug, Default)]
struct NodeShare {
    demand: f64,
    running: u32,
    grants: Vec<LentGrant>,
}

/// Lends one account's limits to nodes by demand. The shares that may be in use never exceed the
/// limits.
#[derive(Debug)]
pub struct ShareLender {
    token: Version,
    sequence: u64,
    limit: ShareSize,
    /// Time at which all grants of an earlier lender have expired. Until then nodes keep what they
    /// use.
    recovery_ends_at: Option<Moment>,
    nodes: BTreeMap<NodeName, NodeShare>,
}

impl NodeContacts {
    /// Starts tracking at the beginning of a lease term.
    pub fn new(now: Moment, token: Version, fleet_size: u32) -> Self {
        Self {
            token,
            started_at: now,
            fleet_size,
            contacted_at: BTreeMap::new(),
        }
    }

    /// Records the stamp that a node returned, and returns the stamp for the reply.
    pub fn record_contact(&mut self, now: Moment, node: &str, stamp: LenderStamp) -> LenderStamp {
        self.contacted_at
            .retain(|_, contacted_at| now.saturating_sub(*contacted_at) < CONTACT_TIMEOUT);
        if stamp.token == self.token {
            self.contacted_at
                .insert(node.to_owned(), Duration::from_millis(stamp.millis));
        }
        LenderStamp {
            token: self.token,
            millis: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns whether all grants of earlier lenders, and the requests started under them, are
    /// over.
    pub fn has_outlived_grants(&self, now: Moment) -> bool {
        now >= self.started_at + GRANT_TTL + MAX_RUN_TIME
    }

    fn is_in_contact(&self, now: Moment, node: &str) -> bool {
        let contacted_at = self.contacted_at.get(node);
        contacted_at.is_some_and(|contacted_at| now.saturating_sub(*contacted_at) < CONTACT_TIMEOUT)
    }

    /// Returns the maximum number of nodes that exist without being in contact.
    fn silent_count(&self, now: Moment) -> u32 {
        let contacts = self
            .contacted_at
            .values()
            .filter(|contacted_at| now.saturating_sub(**contacted_at) < CONTACT_TIMEOUT);
        self.fleet_size.saturating_sub(contacts.count() as u32)
    }
}

impl ShareLender {
    /// Starts a lender under a lease token at the beginning of its term. Unless nothing granted by
    /// an earlier lender can still be in use (`is_first`), nodes first keep what they use.
    pub fn new(started_at: Moment, token: Version, limit: ShareSize, is_first: bool) -> Self {
        Self {
            token,
            sequence: 0,
            limit,
            recovery_ends_at: (!is_first).then_some(started_at + GRANT_TTL),
            nodes: BTreeMap::new(),
        }
    }

    /// Sets new limits. Nodes drop their grants once they receive the new configuration.
    pub fn set_limit(&mut self, limit: ShareSize) {
        self.limit = limit;
    }

    /// Returns whether no grant of this or an earlier lender can still be in use.
    pub fn is_clear(&self, now: Moment) -> bool {
        let used = self.nodes.values().any(|node| {
            let size = node.size(now);
            size.rate > 0.0 || size.concurrency > 0
        });
        !self.is_recovering(now, MAX_RUN_TIME) && !used
    }

    /// Grants a node its share, or returns `None` while the lender only collects. The node measures
    /// the validity from before its request, so the grant expires there before it expires here.
    pub fn lend(
        &mut self,
        now: Moment,
        node: &str,
        demand: &ShareDemand,
        contacts: &NodeContacts,
    ) -> Option<ShareGrant> {
        self.nodes.retain(|_, other| other.expire(now));
        let mut own = self.nodes.remove(node).unwrap_or_default();
        self.confirm(now, &mut own, demand);
        if self.is_recovering(now, Duration::ZERO) && now < contacts.started_at + LISTEN_PERIOD {
            self.nodes.insert(node.to_owned(), own);
            return None;
        }
        let available = self.available(now, contacts);
        let size = self.share_for(now, &own, demand, available, contacts.fleet_size);
        self.sequence += 1;
        let number = GrantNumber {
            token: self.token,
            sequence: self.sequence,
        };
        let ends_at = now + GRANT_TTL;
        own.grants.push(LentGrant {
            number,
            size,
            ends_at,
        });
        self.nodes.insert(node.to_owned(), own);
        Some(ShareGrant {
            account: demand.account.clone(),
            number,
            size,
        })
    }

    /// Updates a node's state from its demand. Grants older than its newest one are never used
    /// again. A share in use from an earlier lender is charged until it expires.
    fn confirm(&self, now: Moment, own: &mut NodeShare, demand: &ShareDemand) {
        own.demand = demand.rate * DEMAND_HEADROOM;
        own.running = demand.running;
        own.grants.retain(|grant| grant.number >= demand.newest);
        if demand.newest.token < self.token && self.is_recovering(now, MAX_RUN_TIME) {
            own.grants.push(LentGrant {
                number: demand.newest,
                size: demand.using,
                ends_at: now + GRANT_TTL,
            });
        }
    }

    /// Returns what the other nodes leave of the limit: subtracts their possible use, the even
    /// share of each node that is not in contact, and one concurrent request for each node that is
    /// in contact without a grant.
    fn available(&self, now: Moment, contacts: &NodeContacts) -> ShareSize {
        let even_share = self.limit.even_share(contacts.fleet_size);
        let silent_count = contacts.silent_count(now);
        let mut rate = even_share.rate * f64::from(silent_count);
        let mut concurrency = even_share.concurrency * silent_count;
        let mut without_grant = contacts.fleet_size.saturating_sub(silent_count + 1);
        for (name, node) in &self.nodes {
            let size = node.size(now);
            if contacts.is_in_contact(now, name) {
                rate += size.rate;
                concurrency += size.concurrency;
                without_grant = without_grant.saturating_sub(u32::from(size.concurrency > 0));
            } else {
                // The even share of this node is already included in the silent nodes.
                rate += (size.rate - even_share.rate).max(0.0);
                concurrency += size.concurrency.saturating_sub(even_share.concurrency);
            }
        }
        ShareSize {
            rate: (self.limit.rate - rate).max(0.0),
            concurrency: self
                .limit
                .concurrency
                .saturating_sub(concurrency + without_grant),
        }
    }

    /// Returns a node's share of the available limit.
    ///
    /// While the demands fit into the limit, the rest is split evenly, so that a node after a quiet
    /// period has capacity for the next burst. Otherwise the limit is divided in proportion to the
    /// demands.
    fn share_for(
        &self,
        now: Moment,
        own: &NodeShare,
        demand: &ShareDemand,
        available: ShareSize,
        fleet_size: u32,
    ) -> ShareSize {
        let others: f64 = self.nodes.values().map(|other| other.demand).sum();
        let total = own.demand + others;
        let spare = (self.limit.rate - total).max(0.0) / f64::from(fleet_size.max(1));
        let scale = (self.limit.rate / total.max(1e-9)).min(1.0);
        let fraction = (own.demand * scale + spare) / self.limit.rate.max(1e-9);
        let mut share = ShareSize {
            rate: self.limit.rate * fraction,
            // A node that asks can run at least one request, however small its fraction of a scarce
            // rate.
            concurrency: (f64::from(self.limit.concurrency) * fraction)
                .floor()
                .max(1.0) as u32,
        };
        // While grants of an earlier lender may be valid, no node gets more than it uses. For the
        // concurrency this extends to requests that continue after those grants.
        if self.is_recovering(now, Duration::ZERO) {
            share.rate = demand.using.rate;
        }
        if self.is_recovering(now, MAX_RUN_TIME) {
            share.concurrency = demand.using.concurrency;
        }
        share.min(available)
    }

    /// Returns whether grants of an earlier lender still count, `grace` after their expiry.
    fn is_recovering(&self, now: Moment, grace: Duration) -> bool {
        self.recovery_ends_at
            .is_some_and(|ends_at| now < ends_at + grace)
    }
}

impl NodeShare {
    /// Drops expired grants. Returns false if none is left.
    fn expire(&mut self, now: Moment) -> bool {
        self.grants
            .retain(|grant| now < grant.ends_at + MAX_RUN_TIME);
        if self.grants.iter().all(|grant| now >= grant.ends_at) {
            self.demand = 0.0;
        }
        !self.grants.is_empty()
    }

    /// Returns the share that the node may use. Requests started under a larger grant are counted
    /// until they end.
    fn size(&self, now: Moment) -> ShareSize {
        let held = self.grants.iter().filter(|grant| now < grant.ends_at);
        let rate = held.map(|grant| grant.size.rate).fold(0.0, f64::max);
        let running = self
            .grants
            .iter()
            .filter(|grant| now < grant.ends_at + MAX_RUN_TIME);
        let most = running
            .map(|grant| grant.size.concurrency)
            .max()
            .unwrap_or(0);
        let concurrency = most.max(self.running);
        ShareSize { rate, concurrency }
    }
}
