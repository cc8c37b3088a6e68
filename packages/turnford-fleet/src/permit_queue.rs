//! Priority queue of requests from all nodes that wait for calls to limited targets.

use std::collections::BTreeMap;
use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::ClassRank;
use turnford_policy::MAX_RETRY_AFTER;

use crate::Moment;

/// Ranks of a request: first the rank of its account, then the rank of its route.
pub type PermitRanks = (ClassRank, ClassRank);

/// Time for which a waiting request may still be displaced by more urgent ones. Afterwards,
/// requests that would delay it past its deadline queue behind it.
const PROTECTION_DELAY: Duration = Duration::from_millis(300);

/// Maximum interval between two polls of a waiting request.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after a missed poll when a request loses its position.
const EXPIRY_GRACE: Duration = Duration::from_millis(300);

/// Half-life of an arrival in the arrival rate.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum fraction of the calls that is left for a rank, however many more urgent requests arrive.
const MIN_REMAINING_RATIO: f64 = 0.05;

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Id of the request, constant while it waits.
    pub number: u64,
    /// Ranks of the request; 0 is the most urgent.
    pub ranks: PermitRanks,
    /// Time of the first request for a permit.
    pub requested_at: Moment,
    /// Latest time at which the request can be sent.
    pub deadline: Moment,
}

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent.
    Granted,
    /// The request is queued and should ask again after this time.
    Wait(Duration),
    /// The request cannot be sent before its deadline. There will be capacity for a similar request
    /// after this time.
    Rejected(Duration),
}

/// Calls that a set of targets accepts.
#[derive(Clone, Copy, Debug)]
pub struct CallSupply {
    /// Complete calls available now.
    ready: usize,
    /// Time until the next call becomes available.
    next: Duration,
    /// Calls per second that become available.
    rate: CallRate,
}

impl Default for CallSupply {
    fn default() -> Self {
        Self {
            ready: 0,
            next: Duration::MAX,
            rate: 0.0,
        }
    }
}

impl CallSupply {
    /// Adds a target with `tokens` available calls, which may be fractional, and `rate` further
    /// calls per second. Fractions at different targets do not add up to a call.
    pub fn add(&mut self, tokens: f64, rate: CallRate) {
        let whole_tokens = tokens.floor();
        self.ready += whole_tokens.max(0.0) as usize;
        let next = Duration::try_from_secs_f64((1.0 + whole_tokens - tokens) / rate);
        self.next = self.next.min(next.unwrap_or(Duration::MAX));
        self.rate += rate;
    }

    /// Returns the calls per second that become available.
    pub fn rate(self) -> CallRate {
        self.rate
    }

    /// Returns the time until a call is available behind `ahead` others, if calls become available
    /// at `rate`.
    fn wait(self, ahead: usize, rate: CallRate) -> Duration {
        if ahead < self.ready {
            return Duration::ZERO;
        }
        let refill_time = (ahead - self.ready) as f64 / rate;
        let refill_time = Duration::try_from_secs_f64(refill_time).unwrap_or(Duration::MAX);
        self.next.saturating_add(refill_time)
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
struct PermitEntry {
    request: QueuedRequest,
    /// Whether the request has waited for so long that it may not be displaced.
    is_protected: bool,
    /// Time at which the entry is dropped unless the request asks again.
    expires_at: Moment,
}

/// Exponentially decaying arrival rate.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    count: f64,
    updated_at: Moment,
}

impl ArrivalRate {
    fn decayed(self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * 0.5_f64.powf(age / ARRIVAL_HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, now: Moment) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the arrivals per second. The decayed count of a steady stream equals its rate times
    /// the mean lifetime of an arrival.
    fn rate(self, now: Moment) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / ARRIVAL_HALF_LIFE.as_secs_f64()
    }
}

/// Waiting requests of all nodes, ordered by urgency.
#[derive(Clone, Debug, Default)]
pub struct PermitQueue {
    entries: Vec<PermitEntry>,
    arrivals: BTreeMap<PermitRanks, ArrivalRate>,
    /// Earliest time at which the next rejected request may be retried.
    next_retry_at: Moment,
}

impl PermitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request is waiting.
    pub fn contains(&self, number: u64) -> bool {
        self.position_of(number).is_some()
    }

    /// Decides whether a request may be sent, and queues it if it has to wait.
    pub fn request(
        &mut self,
        now: Moment,
        request: &QueuedRequest,
        supply: CallSupply,
    ) -> PermitDecision {
        self.entries.retain(|entry| now < entry.expires_at);
        let known = self.position_of(request.number);
        let (position, rate) = match known {
            Some(position) => (position, supply.rate),
            None => {
                self.arrivals.entry(request.ranks).or_default().record(now);
                (
                    self.insert_position(now, request, supply),
                    self.remaining_rate(now, request.ranks, supply),
                )
            }
        };
        let wait = supply.wait(position, rate);
        if wait.is_zero() {
            if known.is_some() {
                self.entries.remove(position);
            }
            return PermitDecision::Granted;
        }
        if now.saturating_add(wait) > request.deadline {
            if known.is_some() {
                self.entries.remove(position);
            }
            let lateness = now
                .saturating_add(wait)
                .saturating_sub(request.deadline.max(now));
            return PermitDecision::Rejected(self.schedule_retry(now, lateness, rate));
        }
        PermitDecision::Wait(self.update_entry(now, position, known.is_some(), request, supply))
    }

    /// Estimates the wait of a request of these ranks behind `upcoming` further requests, without
    /// recording anything.
    pub fn forecast(
        &self,
        now: Moment,
        ranks: PermitRanks,
        upcoming: usize,
        supply: CallSupply,
    ) -> Duration {
        let entries = self.entries.iter().filter(|entry| now < entry.expires_at);
        let ahead = entries.filter(|entry| entry.request.ranks <= ranks).count();
        supply.wait(ahead + upcoming, self.remaining_rate(now, ranks, supply))
    }

    /// Returns the delay after which a request that would be late by `lateness` should be retried.
    /// Retries of different requests are spread out.
    pub fn schedule_retry(&mut self, now: Moment, lateness: Duration, rate: CallRate) -> Duration {
        let retry_at = now.saturating_add(lateness).max(self.next_retry_at);
        let longest = now + MAX_RETRY_AFTER;
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        self.next_retry_at = retry_at.saturating_add(step).min(longest);
        retry_at.min(longest).saturating_sub(now)
    }

    fn position_of(&self, number: u64) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.request.number == number)
    }

    /// Returns the position of a new request: before all less urgent ones, but behind protected
    /// ones that would otherwise miss their deadline.
    fn insert_position(&self, now: Moment, request: &QueuedRequest, supply: CallSupply) -> usize {
        let goes_before = |entry: &PermitEntry| entry.request.ranks <= request.ranks;
        let position = self.entries.iter().rposition(goes_before);
        let position = position.map_or(0, |position| position + 1);
        let would_be_delayed = |(position, entry): (usize, &PermitEntry)| {
            let sent_at = now.saturating_add(supply.wait(position + 1, supply.rate));
            entry.is_protected && sent_at > entry.request.deadline
        };
        let last = self.entries.iter().enumerate().skip(position);
        let last = last.rev().find(|entry| would_be_delayed(*entry));
        last.map_or(position, |(position, _)| position + 1)
    }

    /// Returns the calls per second that more urgent arrivals leave for a rank.
    fn remaining_rate(&self, now: Moment, ranks: PermitRanks, supply: CallSupply) -> CallRate {
        let urgent = self.arrivals.range(..ranks);
        let urgent: f64 = urgent.map(|(_, arrivals)| arrivals.rate(now)).sum();
        (supply.rate - urgent).max(supply.rate * MIN_REMAINING_RATIO)
    }

    /// Stores a request's entry, and returns the time until it should ask again.
    fn update_entry(
        &mut self,
        now: Moment,
        position: usize,
        is_known: bool,
        request: &QueuedRequest,
        supply: CallSupply,
    ) -> Duration {
        let is_protected = now.saturating_sub(request.requested_at) >= PROTECTION_DELAY;
        let wait = supply.wait(position, supply.rate);
        let protected_in = (request.requested_at + PROTECTION_DELAY).saturating_sub(now);
        let poll_in = if is_protected {
            wait
        } else {
            wait.min(protected_in)
        };
        let poll_in = poll_in.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
        let entry = PermitEntry {
            request: request.clone(),
            is_protected,
            expires_at: now + poll_in + EXPIRY_GRACE,
        };
        if is_known {
            self.entries[position] = entry;
        } else {
            self.entries.insert(position, entry);
        }
        poll_in
    }
}
