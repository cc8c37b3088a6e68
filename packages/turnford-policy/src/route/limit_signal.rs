//! What a target's answer says of the calls that it takes from all nodes together.

use std::fmt;

/// Calls a second.
pub type CallRate = f64;

/// What a target's answer says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// It names none.
    Unlimited,
    /// Calls a second that it takes from all nodes together.
    Rate(CallRate),
}

impl LimitSignal {
    /// Returns the rate that it names, `None` if it names none.
    pub fn rate(self) -> Option<CallRate> {
        match self {
            LimitSignal::Unlimited => None,
            LimitSignal::Rate(rate) => Some(rate),
        }
    }

    /// Tells whether it lets fewer calls pass than another word.
    pub fn is_stricter(self, other: Self) -> bool {
        let rate = |word: Self| word.rate().unwrap_or(CallRate::INFINITY);
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
