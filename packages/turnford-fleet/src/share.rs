//! A node's share of an account's limits.

use std::time::Duration;

use crate::Moment;
use crate::Version;

/// How long a grant holds, counted by its holder from before it asked. It is longer than the time
/// in which a lost lender is replaced, so that its nodes keep their shares meanwhile.
pub(crate) const GRANT_LIFE: Duration = Duration::from_secs(10);

/// How long a node without a lender waits before it takes its even part. By then every grant that
/// was lent without reserving that part is over.
pub(crate) const FALLBACK_WAIT: Duration = Duration::from_secs(20);

/// How long a request may run on after its node's grant ended. Templates with longer deadlines can
/// exceed an account's concurrency by the requests of a node that was cut off.
pub(crate) const RUN_SPAN: Duration = Duration::from_secs(5);

/// Order of grants: the lender's lease token, then the lender's own count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct GrantNumber {
    /// Token of the lease under which it was granted.
    pub token: Version,
    /// Number under that token.
    pub sequence: u64,
}

/// A rate and a concurrency.
#[derive(Clone, Copy, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareSize {
    /// Requests a second.
    pub rate: f64,
    /// Requests at a time.
    pub concurrency: u32,
}

/// What a lender lets a node use.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareGrant {
    /// Name of the account.
    pub account: String,
    /// Order of the grant.
    pub number: GrantNumber,
    /// What may be used.
    pub size: ShareSize,
}

/// What a node needs of one account, and what it uses.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareDemand {
    /// Name of the account.
    pub account: String,
    /// Requests a second that came, refused ones among them.
    pub rate: f64,
    /// Requests that run.
    pub running: u32,
    /// Newest grant that the node ever held; it never goes back to an older one.
    pub newest: GrantNumber,
    /// What the node may use now, by a grant or without a lender.
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
    /// Returns one node's even part. The concurrency is rounded down, so the parts never add up to
    /// more than the whole.
    pub fn even_share(self, fleet_size: u32) -> Self {
        let nodes = fleet_size.max(1);
        Self {
            rate: self.rate / f64::from(nodes),
            concurrency: self.concurrency / nodes,
        }
    }

    /// Returns the smaller of each.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            concurrency: self.concurrency.min(other.concurrency),
        }
    }
}

impl ShareHolder {
    /// Starts without a share. `fleet_size` is the most nodes that the fleet ever has.
    pub fn new(limit: ShareSize, fleet_size: u32) -> Self {
        Self {
            limit,
            fleet_size: fleet_size.max(1),
            newest: GrantNumber::default(),
            grant: None,
        }
    }

    /// Sets new limits. A grant made from the old ones is cut to the even part of the new.
    pub fn set_limit(&mut self, limit: ShareSize) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        let part = limit.even_share(self.fleet_size);
        if let Some((_, size)) = &mut self.grant {
            *size = size.min(part);
        }
    }

    /// Takes a grant that was asked for at `asked`, unless a later one was held.
    pub fn apply(&mut self, asked: Moment, grant: &ShareGrant) {
        if grant.number > self.newest {
            self.newest = grant.number;
            self.grant = Some((asked + GRANT_LIFE, grant.size));
        }
    }

    /// Notes that the lender answered without being asked for this account: it counts nothing here
    /// once the last grant is over.
    pub fn clear_expired(&mut self, now: Moment) {
        if self.grant.is_some_and(|(ends, _)| now >= ends) {
            self.grant = None;
        }
    }

    /// Returns the number of the newest grant.
    pub fn newest(&self) -> GrantNumber {
        self.newest
    }

    /// Returns what this node may use now. `contact` is when it last received a lender's reply, or
    /// when the node started.
    ///
    /// A lender that does not hear of a node for some seconds reserves its even part. So a node
    /// whose grant ended keeps what lies within that part, and takes the whole part after a wait.
    pub fn usable(&self, now: Moment, contact: Moment) -> ShareSize {
        if self.fleet_size == 1 {
            return self.limit;
        }
        let part = self.limit.even_share(self.fleet_size);
        match self.grant {
            Some((ends, size)) if now < ends => size,
            _ if now >= contact + FALLBACK_WAIT => part,
            Some((_, size)) => size.min(part),
            None => ShareSize::default(),
        }
    }
}
