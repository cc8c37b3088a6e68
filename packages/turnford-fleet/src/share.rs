//! A node's share of an account's limits.

use std::time::Duration;

use crate::Moment;
use crate::Version;

/// Validity of a grant, measured by its holder from before the request. Longer than the time needed
/// to replace a lost lender, so that nodes keep their shares meanwhile.
pub(crate) const GRANT_TTL: Duration = Duration::from_secs(10);

/// Time without a lender after which a node uses its even share. By then every grant that was made
/// without reserving that share has expired.
pub(crate) const FALLBACK_DELAY: Duration = Duration::from_secs(20);

/// Time for which a request may continue after its node's grant expired. Templates with longer
/// deadlines can exceed an account's concurrency by the requests of a disconnected node.
pub(crate) const MAX_RUN_TIME: Duration = Duration::from_secs(5);

/// Order of grants: the token of the lender's lease, then the lender's own counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct GrantNumber {
    /// Token of the lease under which the grant was made.
    pub token: Version,
    /// Sequence number under that token.
    pub sequence: u64,
}

/// A rate and a concurrency.
#[derive(Clone, Copy, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareSize {
    /// Requests per second.
    pub rate: f64,
    /// Concurrent requests.
    pub concurrency: u32,
}

/// Share that a lender grants to a node.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareGrant {
    /// Name of the account.
    pub account: String,
    /// Position in the order of grants.
    pub number: GrantNumber,
    /// Granted share.
    pub size: ShareSize,
}

/// A node's demand for one account, and its current use.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareDemand {
    /// Name of the account.
    pub account: String,
    /// Arriving requests per second, including rejected ones.
    pub rate: f64,
    /// Requests in progress.
    pub running: u32,
    /// Newest grant that the node has held. It never returns to an older one.
    pub newest: GrantNumber,
    /// Share that the node may use now, by a grant or without a lender.
    pub using: ShareSize,
}

/// A node's share of one account.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    limit: ShareSize,
    fleet_size: u32,
    newest: GrantNumber,
    grant: Option<(Moment, ShareSize)>,
}

impl ShareSize {
    /// Returns the even share of one node. The concurrency is rounded down, so the shares never add
    /// up to more than the total.
    pub fn even_share(self, fleet_size: u32) -> Self {
        let nodes = fleet_size.max(1);
        Self {
            rate: self.rate / f64::from(nodes),
            concurrency: self.concurrency / nodes,
        }
    }

    /// Returns the minimum of each component.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            concurrency: self.concurrency.min(other.concurrency),
        }
    }
}

impl ShareHolder {
    /// Creates a holder without a share. `fleet_size` is the maximum number of nodes in the fleet.
    pub fn new(limit: ShareSize, fleet_size: u32) -> Self {
        Self {
            limit,
            fleet_size: fleet_size.max(1),
            newest: GrantNumber::default(),
            grant: None,
        }
    }

    /// Sets new limits. A grant based on the old limits is reduced to the even share of the new
    /// ones.
    pub fn set_limit(&mut self, limit: ShareSize) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        let even_share = limit.even_share(self.fleet_size);
        if let Some((_, size)) = &mut self.grant {
            *size = size.min(even_share);
        }
    }

    /// Applies a grant that was requested at `asked_at`, unless a later one was held.
    pub fn apply(&mut self, asked_at: Moment, grant: &ShareGrant) {
        if grant.number > self.newest {
            self.newest = grant.number;
            self.grant = Some((asked_at + GRANT_TTL, grant.size));
        }
    }

    /// Clears an expired grant after the lender replied to a request that did not include this
    /// account: the lender no longer counts anything for this node.
    pub fn clear_expired(&mut self, now: Moment) {
        if self.grant.is_some_and(|(ends_at, _)| now >= ends_at) {
            self.grant = None;
        }
    }

    /// Returns the number of the newest grant.
    pub fn newest(&self) -> GrantNumber {
        self.newest
    }

    /// Returns the share that this node may use now. `contact` is the time of the last reply from a
    /// lender, or of the node's start.
    ///
    /// A lender reserves the even share of a node that it has not heard from for some seconds. A
    /// node whose grant has expired therefore keeps the part of it within the even share, and uses
    /// the whole even share after a delay.
    pub fn usable(&self, now: Moment, contact: Moment) -> ShareSize {
        if self.fleet_size == 1 {
            return self.limit;
        }
        let even_share = self.limit.even_share(self.fleet_size);
        match self.grant {
            Some((ends_at, size)) if now < ends_at => size,
            _ if now >= contact + FALLBACK_DELAY => even_share,
            Some((_, size)) => size.min(even_share),
            None => ShareSize::default(),
        }
    }
}
