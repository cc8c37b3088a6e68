//! Who tries to do a duty: rendezvous hashing over the members.
//!
//! The choice only saves work. Two nodes that disagree on the members may both try; a conditional
//! update or a lease at the platform decides who may.

use std::fmt;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// A thing that one or a few nodes do for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Watches the configuration for a hall.
    Watch(String),
    /// Commits the claims of a range.
    Claims(u16),
    /// Lends the limits of a group of accounts.
    Lend(u16),
    /// Gives orders to the targets of a service.
    Orders(String),
    /// Gathers the pieces of a cell of a service's targets.
    Gather(String, usize),
    /// Places the requests of a service with model engines.
    Place(String),
    /// Removes the platform's records of nodes that are gone.
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
            Duty::Sweep => f.write_str("sweep"),
        }
    }
}

/// Returns up to `count` members in the order in which they should do a duty.
///
/// A member that leaves moves only its own duties; the others keep theirs.
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

/// Part of the longest-running member's age over which a member takes duties.
const SETTLED_PART: f64 = 0.5;

/// Age over which every member takes duties.
const SETTLED_AGE: Duration = Duration::from_secs(60);

/// Tells whether a member has run long enough to take duties whose doer has state to lose. While
/// members are restarted one after the other, duties stay with those that have not been yet; where
/// all are new, all take them.
pub fn is_duty_eligible(age: Duration, longest: Duration) -> bool {
    age >= SETTLED_AGE || age >= longest.mul_f64(SETTLED_PART)
}

fn weight(duty: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(duty.as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_bytes());
    hasher.finish()
}

/// Groups of accounts; each has one lender.
pub const ACCOUNT_GROUP_COUNT: u16 = 4;

/// Returns the group whose lender lends an account's limits. It must be the same on every node, or
/// an account would have two lenders.
pub fn account_group(account: &str) -> u16 {
    let mut hasher = SipHasher13::new();
    hasher.write(account.as_bytes());
    (hasher.finish() % u64::from(ACCOUNT_GROUP_COUNT)) as u16
}
