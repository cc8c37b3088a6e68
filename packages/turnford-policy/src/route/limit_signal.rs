//! Rate limit named in a target's response.

use std::fmt;

/// Calls per second.
pub type CallRate = f64;

/// Rate limit named in a target's response, for the calls of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// No limit is named.
    Unlimited,
    /// Maximum number of calls per second.
    Rate(CallRate),
}

impl LimitSignal {
    /// Returns the named rate, or `None` without a limit.
    pub fn rate(self) -> Option<CallRate> {
        match self {
            LimitSignal::Unlimited => None,
            LimitSignal::Rate(rate) => Some(rate),
        }
    }

    /// Returns whether this limit allows fewer calls than another one.
    pub fn is_stricter(self, other: Self) -> bool {
        let rate = |signal: Self| signal.rate().unwrap_or(CallRate::INFINITY);
        rate(self) < rate(other)
    }
}

impl fmt::Display for LimitSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitSignal::Unlimited => f.write_str("none"),
            LimitSignal::Rate(rate) => write!(f, "{rate}/s"),
        }
    }
}
