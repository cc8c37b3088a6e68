//! A node's share of an account's limits.

use std::time::Duration;

use crate::Moment;
use crate::Version;

/// Part of a limit that is never lent and split evenly, so that a node without a lender can serve.
const FLOOR_PART: f64 = 0.04;

/// How long a grant holds, counted by its holder from before it asked. It is longer than the time
/// in which a lost lender is replaced, so that its nodes keep their shares meanwhile.
pub(crate) const GRANT_LIFE: Duration = Duration::from_secs(10);

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

/// What a lender lets a node use, beside its floor.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareGrant {
    /// Name of the account.
    pub account: String,
    /// Order of the grant.
    pub number: GrantNumber,
    /// Requests a second.
    pub rate: f64,
    /// Requests at a time.
    pub concurrency: u32,
}

/// What a node needs of one account, and what it holds.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ShareDemand {
    /// Name of the account.
    pub account: String,
    /// Requests a second that came, refused ones among them.
    pub rate: f64,
    /// Requests that run.
    pub running: u32,
    /// Grant that the node uses now; it never goes back to an older one.
    pub held: Option<ShareGrant>,
}

/// A node's share of one account.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    limit_rate: f64,
    limit_concurrency: u32,
    fleet_size: u32,
    grant: Option<(Moment, ShareGrant)>,
}

impl ShareHolder {
    /// Starts with the floor. `fleet_size` is the most nodes that the fleet ever has.
    pub fn new(rate: f64, concurrency: u32, fleet_size: u32) -> Self {
        Self {
            limit_rate: rate,
            limit_concurrency: concurrency,
            fleet_size: fleet_size.max(1),
            grant: None,
        }
    }

    /// Sets new limits; a grant made from the old ones is dropped.
    pub fn set_limits(&mut self, rate: f64, concurrency: u32) {
        if rate != self.limit_rate || concurrency != self.limit_concurrency {
            self.limit_rate = rate;
            self.limit_concurrency = concurrency;
            self.grant = None;
        }
    }

    /// Takes a grant that was asked for at `asked`, unless a later one is held.
    pub fn apply(&mut self, asked: Moment, grant: ShareGrant) {
        let newer = self
            .grant
            .as_ref()
            .is_none_or(|(_, held)| grant.number > held.number);
        if newer {
            self.grant = Some((asked + GRANT_LIFE, grant));
        }
    }

    /// Returns the grant that holds now.
    pub fn held(&self, now: Moment) -> Option<&ShareGrant> {
        let held = self.grant.as_ref().filter(|(ends, _)| now < *ends);
        held.map(|(_, grant)| grant)
    }

    /// Returns the rate and concurrency that this node may use now.
    pub fn usable(&self, now: Moment) -> (f64, u32) {
        let (rate, concurrency) =
            floor_of(self.limit_rate, self.limit_concurrency, self.fleet_size);
        match self.held(now) {
            Some(grant) => (rate + grant.rate, concurrency + grant.concurrency),
            None => (rate, concurrency),
        }
    }
}

/// Returns one node's floor; a node that is alone has the whole limit. The concurrency is rounded down, so floors never add up to more.
pub(crate) fn floor_of(rate: f64, concurrency: u32, fleet_size: u32) -> (f64, u32) {
    if fleet_size <= 1 {
        return (rate, concurrency);
    }
    let nodes = f64::from(fleet_size);
    let floor_rate = rate * FLOOR_PART / nodes;
    let floor_concurrency = (f64::from(concurrency) * FLOOR_PART / nodes).floor() as u32;
    (floor_rate, floor_concurrency)
}
