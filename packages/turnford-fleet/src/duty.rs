//! Assignment of duties to members by rendezvous hashing.
//!
//! The assignment only avoids duplicate work. Two nodes with different member lists may both
//! attempt a duty; a conditional update or a lease at the platform decides between them.

use std::fmt;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::StreamKey;

/// A task that one or a few nodes perform for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Watching the configuration for a hall.
    Watch(String),
    /// Committing the claims of a range.
    Claims(u16),
    /// Lending the limits of a group of accounts.
    Lend(u16),
    /// Sending orders to the targets of a service.
    Orders(String),
    /// Batching the pieces for a cell of a service's targets.
    Gather(String, usize),
    /// Placing the requests of a service with model engines.
    Place(String),
    /// Keeping the record of a stream.
    Stream(StreamKey),
    /// Removing the platform's records of nodes that no longer exist.
    Sweep,
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Duty::Watch(hall) => write!(f, "watch/{hall}"),
            Duty::Claims(range) => write!(f, "claims/{range}"),
            Duty::Lend(group) => write!(f, "lend/{group}"),
            Duty::Orders(service) => write!(f, "orders/{service}"),
            Duty::Gather(service, cell) => write!(f, "gather/{service}/{cell}"),
            Duty::Place(service) => write!(f, "place/{service}"),
            Duty::Stream(key) => write!(f, "stream/{key:x}"),
            Duty::Sweep => f.write_str("sweep"),
        }
    }
}

/// Returns up to `count` members in the order in which they are preferred for a duty.
///
/// When a member leaves, only its own duties move to other members.
pub fn rank_members<'a>(
    duty: &Duty,
    members: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let name = duty.to_string();
    let mut ranked: Vec<(u64, &str)> = members
        .map(|member| (weight(&name, member), member))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Fraction of the longest-running member's age above which a member takes duties.
const ELIGIBLE_AGE_RATIO: f64 = 0.5;

/// Age above which every member takes duties.
const ELIGIBLE_AGE: Duration = Duration::from_secs(60);

/// Returns whether a member has run long enough to take duties that keep state in memory. During a
/// rolling restart, duties stay with the members that have not been restarted yet; if all members
/// are new, all of them take duties.
pub fn is_duty_eligible(age: Duration, longest: Duration) -> bool {
    age >= ELIGIBLE_AGE || age >= longest.mul_f64(ELIGIBLE_AGE_RATIO)
}

fn weight(duty: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(duty.as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_bytes());
    hasher.finish()
}

/// Number of account groups. Each group has one lender.
pub const ACCOUNT_GROUP_COUNT: u16 = 4;

/// Returns the group whose lender manages an account's limits. The result must be the same on every
/// node, or an account would have two lenders.
pub fn account_group(account: &str) -> u16 {
    let mut hasher = SipHasher13::new();
    hasher.write(account.as_bytes());
    (hasher.finish() % u64::from(ACCOUNT_GROUP_COUNT)) as u16
}
