//! One service of the stages: what admitted requests still need of it, and how fast it makes that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ClassRank;
use crate::Moment;
use crate::ServiceId;

/// Ranks of a request: that of its account, which goes first, and that of its route.
pub(super) type Ranks = (ClassRank, ClassRank);

/// Time over which the rate of a service's results is measured: some calls of each target.
const RATE_WINDOW: Duration = Duration::from_millis(800);

/// A service is busy while it has so much to do at once: only then its rate says what it is able to do.
const BUSY_SPAN: Duration = Duration::from_millis(600);

/// Weight of a window in the measured rate.
const RATE_WEIGHT: f64 = 0.5;

/// Weight of the nominal rate in each window in which the service was not busy.
const CALM_WEIGHT: f64 = 0.25;

/// Least part of the nominal rate that is reckoned with, so that a service whose targets were all
/// down is tried again.
pub(super) const LEAST_RATE: f64 = 0.2;

/// What a service can do, by its configuration and the targets that take work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageRate {
    /// Results a second while all targets make full calls.
    pub nominal: f64,
    /// Time of a call without its pieces.
    pub call_overhead: Duration,
    /// Time of a piece.
    pub piece_time: Duration,
    /// Most pieces of a call.
    pub max_pieces: u32,
    /// Time until its first target takes calls, where all want rest.
    pub available_in: Duration,
}

impl StageRate {
    /// Returns the time of a call of so many pieces.
    pub(super) fn span(&self, pieces: u32) -> Duration {
        self.call_overhead + self.piece_time * pieces.min(self.max_pieces)
    }
}

/// A stage of an admitted request that is not done.
#[derive(Clone, Debug)]
pub(super) struct OpenStage {
    pub(super) service: ServiceId,
    pub(super) pieces: u32,
    /// Stages that have to be done before.
    pub(super) inputs: Vec<usize>,
    /// Pieces that went before its own when it was admitted.
    pub(super) before: u64,
    /// Pieces of more urgent requests that had come until then, and pieces that had been made of all
    /// that go before it.
    pub(super) marks: (u64, u64),
}

/// One service.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowService {
    /// Pieces to be made, by the ranks of their requests.
    backlog: BTreeMap<Ranks, u64>,
    /// Of these, the pieces that no other stage has to be done for.
    pub(super) ready: u64,
    /// Pieces that ever came, and those that were made or are no longer needed.
    came: BTreeMap<Ranks, u64>,
    went: BTreeMap<Ranks, u64>,
    /// Measured results a second, `None` before the first window.
    rate: Option<f64>,
    /// Measured pieces that come in a second, by the ranks of their requests.
    arrivals: BTreeMap<Ranks, f64>,
    window_begin: Moment,
    pub(super) window_done: u64,
    window_came: BTreeMap<Ranks, u64>,
    /// When the next request that is refused may come back.
    pub(super) next_return: Moment,
    /// Whether there was enough to do ever since the window began.
    is_busy: bool,
}

impl FlowService {
    fn measure_arrivals(&mut self, span: Duration) {
        let came = std::mem::take(&mut self.window_came);
        for ranks in came.keys() {
            self.arrivals.entry(*ranks).or_default();
        }
        for (ranks, arrivals) in &mut self.arrivals {
            let count = came.get(ranks).copied().unwrap_or(0);
            let sample = count as f64 / span.as_secs_f64();
            *arrivals += RATE_WEIGHT * (sample - *arrivals);
        }
    }

    /// Returns the time until so many pieces that go before those of a request are made, with the more
    /// urgent ones that come meanwhile.
    pub(super) fn wait(&self, nominal: f64, ranks: Ranks, ahead: u64) -> Duration {
        let rate = self.rate(nominal).max(LEAST_RATE);
        let urgent: f64 = self.arrivals.range(..ranks).map(|(_, rate)| rate).sum();
        let meanwhile = (urgent / rate).min(1.0);
        Duration::from_secs_f64(ahead as f64 / rate * (1.0 + meanwhile))
    }

    fn marks(&self, ranks: Ranks) -> (u64, u64) {
        let came = self.came.range(..ranks).map(|(_, count)| count).sum();
        let went = self.went.range(..=ranks).map(|(_, count)| count).sum();
        (came, went)
    }

    /// Returns the pieces that go before those of an open stage now.
    pub(super) fn ahead_of(&self, ranks: Ranks, stage: &OpenStage) -> u64 {
        let (came, went) = self.marks(ranks);
        let ahead = stage.before + (came - stage.marks.0);
        ahead.saturating_sub(went - stage.marks.1)
    }

    pub(super) fn ahead(&self, ranks: Ranks) -> u64 {
        self.backlog.range(..=ranks).map(|(_, count)| count).sum()
    }

    pub(super) fn all(&self) -> u64 {
        self.backlog.values().sum()
    }

    pub(super) fn rate(&self, nominal: f64) -> f64 {
        let rate = self.rate.unwrap_or(nominal);
        rate.clamp(nominal * LEAST_RATE, nominal.max(LEAST_RATE))
    }

    /// Ends the window if it is over.
    pub(super) fn measure(&mut self, now: Moment, nominal: f64) {
        self.is_busy &= self.ready as f64 > nominal * BUSY_SPAN.as_secs_f64();
        let span = now.saturating_sub(self.window_begin);
        if span < RATE_WINDOW {
            return;
        }
        let old = self.rate(nominal);
        let (sample, weight) = if self.is_busy {
            (self.window_done as f64 / span.as_secs_f64(), RATE_WEIGHT)
        } else {
            (nominal, CALM_WEIGHT)
        };
        self.rate = Some(old + weight * (sample - old));
        self.measure_arrivals(span);
        self.window_begin = now;
        self.window_done = 0;
        self.is_busy = true;
    }

    /// Adds a stage of a request.
    pub(super) fn add(&mut self, ranks: Ranks, stage: &mut OpenStage) {
        let pieces = u64::from(stage.pieces);
        stage.before = self.ahead(ranks);
        stage.marks = self.marks(ranks);
        *self.came.entry(ranks).or_default() += pieces;
        *self.window_came.entry(ranks).or_default() += pieces;
        *self.backlog.entry(ranks).or_default() += pieces;
        if stage.inputs.is_empty() {
            self.ready += pieces;
        }
    }

    pub(super) fn take(&mut self, ranks: Ranks, stage: &OpenStage) {
        let pieces = u64::from(stage.pieces);
        *self.went.entry(ranks).or_default() += pieces;
        if let Some(count) = self.backlog.get_mut(&ranks) {
            *count = count.saturating_sub(pieces);
        }
        if stage.inputs.is_empty() {
            self.ready = self.ready.saturating_sub(pieces);
        }
    }
}
