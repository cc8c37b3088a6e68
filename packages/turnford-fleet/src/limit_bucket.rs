//! Token bucket for the calls that one target accepts from all nodes together.

use std::time::Duration;

use turnford_policy::CallRate;

use crate::Moment;

/// Period whose calls may be sent in one burst. Permits are requested at irregular times, and
/// unused capacity would otherwise be lost.
const BURST_PERIOD: Duration = Duration::from_millis(100);

/// Minimum burst size, for the same reason.
const MIN_BURST: f64 = 2.0;

/// Fraction of a target's calls that may be used for maintenance.
const MAINTENANCE_RATIO: f64 = 0.25;

/// Lowest token balance that a probe may leave by being sent ahead of time.
const PROBE_DEBT: f64 = -1.0;

/// Maximum reported wait for a target that accepts no calls.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum PermitPurpose {
    /// A request or a batch of pieces.
    Work,
    /// Auxiliary calls: reports, releases and probes.
    Maintenance,
}

/// A token bucket, initially empty.
#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    rate: CallRate,
    tokens: f64,
    maintenance: f64,
    updated_at: Moment,
    /// Time at which a call was last permitted.
    pub(crate) granted_at: Moment,
}

impl LimitBucket {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            tokens: 0.0,
            maintenance: 0.0,
            updated_at: now,
            granted_at: now,
        }
    }

    /// Refills the bucket up to `now`, and sets the rate in calls per second from now on.
    pub(crate) fn advance(&mut self, now: Moment, rate: CallRate) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let max_tokens = (self.rate * BURST_PERIOD.as_secs_f64()).max(MIN_BURST);
        self.tokens = (self.tokens + self.rate * elapsed).min(max_tokens);
        self.maintenance = (self.maintenance + self.rate * elapsed * MAINTENANCE_RATIO).min(1.0);
        self.rate = rate;
    }

    /// Returns the available calls, including fractions.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes a token for a call. Returns false if none is available.
    pub(crate) fn take(&mut self, now: Moment, purpose: PermitPurpose) -> bool {
        let is_maintenance = purpose == PermitPurpose::Maintenance;
        if self.tokens < 1.0 || (is_maintenance && self.maintenance < 1.0) {
            return false;
        }
        self.tokens -= 1.0;
        if is_maintenance {
            self.maintenance -= 1.0;
        }
        self.granted_at = now;
        true
    }

    /// Takes a token for a probe, possibly ahead of time: a target that receives no calls cannot
    /// report a change of its limit.
    pub(crate) fn take_probe(&mut self, now: Moment) {
        self.tokens = (self.tokens - 1.0).max(PROBE_DEBT);
        self.granted_at = now;
    }

    /// Returns the time until a call for this purpose is available.
    pub(crate) fn wait(&self, purpose: PermitPurpose) -> Duration {
        let work = (1.0 - self.tokens).max(0.0) / self.rate;
        let maintenance = (1.0 - self.maintenance).max(0.0) / (self.rate * MAINTENANCE_RATIO);
        let wait = match purpose {
            PermitPurpose::Work => work,
            PermitPurpose::Maintenance => work.max(maintenance),
        };
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT);
        wait.min(MAX_WAIT)
    }
}
