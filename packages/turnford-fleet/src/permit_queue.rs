//! Requests of all nodes that wait for the calls of targets that all have limits.

use std::collections::BTreeMap;
use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::ClassRank;
use turnford_policy::MAX_RETRY_AFTER;

use crate::Moment;

/// Ranks of a request: that of its account, which goes first, and that of its route.
pub type PermitRanks = (ClassRank, ClassRank);

/// Time for which a request may wait and be refused all the same, since more urgent ones came. From then
/// on those that would make it late go behind it.
const KEEP_SPAN: Duration = Duration::from_millis(300);

/// Longest pause between two looks of a request that waits.
const LOOK_SPAN: Duration = Duration::from_secs(1);

/// Shortest such pause.
const LEAST_LOOK: Duration = Duration::from_millis(5);

/// Time after its look at which a request that does not come any more loses its place.
const LOST_SPAN: Duration = Duration::from_millis(300);

/// Time after which half of the requests that came no longer count in their rate.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(2);

/// Least part of the calls that is left for a rank, however many more urgent requests come.
const LEAST_LEFT: f64 = 0.05;

/// A request that asks for its turn.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Number of the request; it keeps it while it waits.
    pub number: u64,
    /// Its ranks; 0 goes first.
    pub ranks: PermitRanks,
    /// When it was first asked for.
    pub requested_at: Moment,
    /// When it must be sent at the latest.
    pub deadline: Moment,
}

/// Whether it is a request's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// It is.
    Granted,
    /// Not yet; it has a place, and should ask again after this time.
    Wait(Duration),
    /// It can't be sent in time; there will be room for one like it after this time.
    Rejected(Duration),
}

/// Calls that the targets take.
#[derive(Clone, Copy, Debug)]
pub struct CallSupply {
    /// Whole calls that are free now.
    ready: usize,
    /// Time until the next one is.
    next: Duration,
    /// Calls a second that become free.
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
    /// Adds a target with so many free calls, parts of one among them, and so many more a second. Parts at
    /// two targets are no call.
    pub fn add(&mut self, tokens: f64, rate: CallRate) {
        let whole = tokens.floor();
        self.ready += whole.max(0.0) as usize;
        let next = Duration::try_from_secs_f64((1.0 + whole - tokens) / rate);
        self.next = self.next.min(next.unwrap_or(Duration::MAX));
        self.rate += rate;
    }

    /// Returns the calls a second that become free.
    pub fn rate(self) -> CallRate {
        self.rate
    }

    /// Returns the time until the call is free that comes after so many others, at such a rate.
    fn wait(self, ahead: usize, rate: CallRate) -> Duration {
        if ahead < self.ready {
            return Duration::ZERO;
        }
        let more = (ahead - self.ready) as f64 / rate;
        let more = Duration::try_from_secs_f64(more).unwrap_or(Duration::MAX);
        self.next.saturating_add(more)
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
struct TurnEntry {
    ask: QueuedRequest,
    /// Whether it waits for so long that nobody may take its place.
    is_kept: bool,
    /// When it is forgotten unless it asks again.
    lost_at: Moment,
}

/// Requests that came in, as an average.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    count: f64,
    at: Moment,
}

impl ArrivalRate {
    fn aged(self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / ARRIVAL_HALF_LIFE.as_secs_f64())
    }

    fn note(&mut self, now: Moment) {
        self.count = self.aged(now) + 1.0;
        self.at = now;
    }

    /// Returns the requests a second: a steady stream adds up to its rate over the mean life.
    fn rate(self, now: Moment) -> f64 {
        self.aged(now) * std::f64::consts::LN_2 / ARRIVAL_HALF_LIFE.as_secs_f64()
    }
}

/// The requests of all nodes that wait, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct PermitQueue {
    waiting: Vec<TurnEntry>,
    arrivals: BTreeMap<PermitRanks, ArrivalRate>,
    /// When the next request that is refused may come back.
    next_return: Moment,
}

impl PermitQueue {
    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Tells a request whether it is its turn.
    pub fn request(
        &mut self,
        now: Moment,
        ask: &QueuedRequest,
        supply: CallSupply,
    ) -> PermitDecision {
        self.waiting.retain(|entry| now < entry.lost_at);
        let known = self.place_of(ask.number);
        let (place, rate) = match known {
            Some(place) => (place, supply.rate),
            None => {
                self.arrivals.entry(ask.ranks).or_default().note(now);
                (
                    self.new_place(now, ask, supply),
                    self.rate_left(now, ask.ranks, supply),
                )
            }
        };
        let wait = supply.wait(place, rate);
        if wait.is_zero() {
            if known.is_some() {
                self.waiting.remove(place);
            }
            return PermitDecision::Granted;
        }
        if now.saturating_add(wait) > ask.deadline {
            if known.is_some() {
                self.waiting.remove(place);
            }
            let late = now
                .saturating_add(wait)
                .saturating_sub(ask.deadline.max(now));
            return PermitDecision::Rejected(self.schedule_retry(now, late, rate));
        }
        PermitDecision::Wait(self.keep(now, place, known.is_some(), ask, supply))
    }

    /// Returns the time until it is the turn of a request like this, with so many that will come before it;
    /// nothing is noted.
    pub fn forecast(
        &self,
        now: Moment,
        ranks: PermitRanks,
        coming: usize,
        supply: CallSupply,
    ) -> Duration {
        let waiting = self.waiting.iter().filter(|entry| now < entry.lost_at);
        let ahead = waiting.filter(|entry| entry.ask.ranks <= ranks).count();
        supply.wait(ahead + coming, self.rate_left(now, ranks, supply))
    }

    /// Returns when a request should come back that would be late by so much, each at another time.
    pub fn schedule_retry(&mut self, now: Moment, late: Duration, rate: CallRate) -> Duration {
        let back = now.saturating_add(late).max(self.next_return);
        let longest = now + MAX_RETRY_AFTER;
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        self.next_return = back.saturating_add(step).min(longest);
        back.min(longest).saturating_sub(now)
    }

    fn place_of(&self, number: u64) -> Option<usize> {
        let mut entries = self.waiting.iter();
        entries.position(|entry| entry.ask.number == number)
    }

    /// Returns the place of a request that comes: before all that are less urgent, but behind those that
    /// are kept and would be late for it.
    fn new_place(&self, now: Moment, ask: &QueuedRequest, supply: CallSupply) -> usize {
        let goes_before = |entry: &TurnEntry| entry.ask.ranks <= ask.ranks;
        let place = self.waiting.iter().rposition(goes_before);
        let place = place.map_or(0, |place| place + 1);
        let would_be_late = |(place, entry): (usize, &TurnEntry)| {
            let turn = now.saturating_add(supply.wait(place + 1, supply.rate));
            entry.is_kept && turn > entry.ask.deadline
        };
        let last = self.waiting.iter().enumerate().skip(place);
        let last = last.rev().find(|entry| would_be_late(*entry));
        last.map_or(place, |(place, _)| place + 1)
    }

    /// Returns the calls a second that are left for a rank beside what more urgent requests need.
    fn rate_left(&self, now: Moment, ranks: PermitRanks, supply: CallSupply) -> CallRate {
        let urgent = self.arrivals.range(..ranks);
        let urgent: f64 = urgent.map(|(_, arrivals)| arrivals.rate(now)).sum();
        (supply.rate - urgent).max(supply.rate * LEAST_LEFT)
    }

    /// Keeps a request's place; returns when it should ask again.
    fn keep(
        &mut self,
        now: Moment,
        place: usize,
        is_known: bool,
        ask: &QueuedRequest,
        supply: CallSupply,
    ) -> Duration {
        let is_kept = now.saturating_sub(ask.requested_at) >= KEEP_SPAN;
        let turn = supply.wait(place, supply.rate);
        let kept_in = (ask.requested_at + KEEP_SPAN).saturating_sub(now);
        let look = if is_kept { turn } else { turn.min(kept_in) };
        let look = look.clamp(LEAST_LOOK, LOOK_SPAN);
        let entry = TurnEntry {
            ask: ask.clone(),
            is_kept,
            lost_at: now + look + LOST_SPAN,
        };
        if is_known {
            self.waiting[place] = entry;
        } else {
            self.waiting.insert(place, entry);
        }
        look
    }
}
