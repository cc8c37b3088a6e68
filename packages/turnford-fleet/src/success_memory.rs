//! Recent good ends of requests, as one node has seen them.

use std::collections::HashMap;
use std::time::Duration;

use turnford_policy::RequestDigest;

use crate::Moment;

/// Time for which a good end is remembered.
pub(crate) const SUCCESS_RETENTION: Duration = Duration::from_secs(30);

/// Number of keys above which old ones are dropped.
const MAX_KEYS: usize = 8192;

/// Keys of requests that ended well, with the last time that each did.
#[derive(Clone, Debug, Default)]
pub struct SuccessMemory {
    times: HashMap<RequestDigest, Moment>,
}

impl SuccessMemory {
    /// Records a good end.
    pub fn record(&mut self, now: Moment, keys: impl Iterator<Item = RequestDigest>) {
        for digest in keys {
            self.times.insert(digest, now);
        }
        if self.times.len() > MAX_KEYS {
            self.evict(now);
        }
    }

    /// Returns the age of the last good end of a key, if it is recent.
    pub fn age(&self, now: Moment, digest: &RequestDigest) -> Option<Duration> {
        let age = now.saturating_sub(*self.times.get(digest)?);
        (age < SUCCESS_RETENTION).then_some(age)
    }

    /// Drops the older half of the keys.
    fn evict(&mut self, now: Moment) {
        let ages = self.times.values().map(|at| now.saturating_sub(*at));
        let mut ages: Vec<Duration> = ages.collect();
        let middle = ages.len() / 2;
        let (_, limit, _) = ages.select_nth_unstable(middle);
        let limit = *limit;
        self.times.retain(|_, at| now.saturating_sub(*at) < limit);
    }
}
