//! Backlog of admitted work at one service, and the measured rate at which it is processed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ClassRank;
use crate::Moment;
use crate::ServiceId;

/// Ranks of a request: that of its account, which takes precedence, and that of its route.
pub(super) type Ranks = (ClassRank, ClassRank);

/// Window over which the rate of results is measured. It covers several calls of each target.
const RATE_WINDOW: Duration = Duration::from_millis(800);

/// Ready work, in time at the nominal rate, above which a service counts as busy. Only then the
/// measured rate tells what the service is capable of.
const BUSY_BACKLOG: Duration = Duration::from_millis(600);

/// Weight of the newest window in the measured rate.
const RATE_WEIGHT: f64 = 0.5;

/// Weight of the nominal rate in each window in which the service was not busy.
const NOMINAL_WEIGHT: f64 = 0.25;

/// Lower bound of the rate, as a fraction of the nominal one and in results per second, so that a
/// service whose targets were all down is tried again.
pub(super) const MIN_RATE: f64 = 0.2;

/// Capacity of a service by its configuration and its available targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageRate {
    /// Results per second while all targets make full calls.
    pub nominal: f64,
    /// Duration of a call without its pieces.
    pub call_overhead: Duration,
    /// Duration of each piece.
    pub piece_time: Duration,
    /// Maximum number of pieces in a call.
    pub max_pieces: u32,
    /// Time until the first target takes calls again if all are backing off.
    pub available_in: Duration,
}

impl StageRate {
    /// Returns the duration of a call with this number of pieces.
    pub(super) fn call_time(&self, pieces: u32) -> Duration {
        self.call_overhead + self.piece_time * pieces.min(self.max_pieces)
    }
}

/// An unfinished stage of an admitted request.
#[derive(Clone, Debug)]
pub(super) struct OpenStage {
    pub(super) service: ServiceId,
    pub(super) pieces: u32,
    /// Stages that have to be done before.
    pub(super) inputs: Vec<usize>,
    /// Pieces that were ahead of this stage when it was admitted.
    pub(super) ahead_at_admission: u64,
    /// Counters at admission: pieces of more urgent requests that had arrived, and pieces of
    /// requests that go before this one that had been finished.
    pub(super) counters_at_admission: (u64, u64),
}

/// Backlog and measured rate of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowService {
    /// Unfinished pieces by the ranks of their requests.
    backlog: BTreeMap<Ranks, u64>,
    /// Unfinished pieces that wait for no other stage.
    pub(super) ready: u64,
    /// Total pieces that have arrived, and total pieces that were finished or are no longer needed.
    arrived: BTreeMap<Ranks, u64>,
    finished: BTreeMap<Ranks, u64>,
    /// Measured results per second. `None` before the first window ends.
    rate: Option<f64>,
    /// Measured pieces per second that arrive, by the ranks of their requests.
    arrival_rates: BTreeMap<Ranks, f64>,
    window_start: Moment,
    pub(super) window_finished: u64,
    window_arrived: BTreeMap<Ranks, u64>,
    /// Earliest retry of the next refused request.
    pub(super) next_retry: Moment,
    /// Whether the service has been busy since the start of the window.
    is_busy: bool,
}

impl FlowService {
    fn update_arrival_rates(&mut self, duration: Duration) {
        let arrived = std::mem::take(&mut self.window_arrived);
        for ranks in arrived.keys() {
            self.arrival_rates.entry(*ranks).or_default();
        }
        for (ranks, rate) in &mut self.arrival_rates {
            let count = arrived.get(ranks).copied().unwrap_or(0);
            let sample = count as f64 / duration.as_secs_f64();
            *rate += RATE_WEIGHT * (sample - *rate);
        }
    }

    /// Returns the time until this number of pieces ahead of a request is done, with the more
    /// urgent ones expected to arrive meanwhile.
    pub(super) fn wait(&self, nominal: f64, ranks: Ranks, ahead: u64) -> Duration {
        let rate = self.rate(nominal).max(MIN_RATE);
        let urgent: f64 = self
            .arrival_rates
            .range(..ranks)
            .map(|(_, rate)| rate)
            .sum();
        let meanwhile = (urgent / rate).min(1.0);
        Duration::from_secs_f64(ahead as f64 / rate * (1.0 + meanwhile))
    }

    fn counters(&self, ranks: Ranks) -> (u64, u64) {
        let arrived = self.arrived.range(..ranks).map(|(_, count)| count).sum();
        let finished = self.finished.range(..=ranks).map(|(_, count)| count).sum();
        (arrived, finished)
    }

    /// Returns the number of pieces that are now ahead of an open stage.
    pub(super) fn pieces_ahead_of(&self, ranks: Ranks, stage: &OpenStage) -> u64 {
        let (arrived, finished) = self.counters(ranks);
        let ahead = stage.ahead_at_admission + (arrived - stage.counters_at_admission.0);
        ahead.saturating_sub(finished - stage.counters_at_admission.1)
    }

    pub(super) fn pieces_ahead(&self, ranks: Ranks) -> u64 {
        self.backlog.range(..=ranks).map(|(_, count)| count).sum()
    }

    pub(super) fn total_backlog(&self) -> u64 {
        self.backlog.values().sum()
    }

    pub(super) fn rate(&self, nominal: f64) -> f64 {
        let rate = self.rate.unwrap_or(nominal);
        rate.clamp(nominal * MIN_RATE, nominal.max(MIN_RATE))
    }

    /// Updates the measured rate at the end of each window.
    pub(super) fn update_rate(&mut self, now: Moment, nominal: f64) {
        self.is_busy &= self.ready as f64 > nominal * BUSY_BACKLOG.as_secs_f64();
        let duration = now.saturating_sub(self.window_start);
        if duration < RATE_WINDOW {
            return;
        }
        let old = self.rate(nominal);
        let (sample, weight) = if self.is_busy {
            (
                self.window_finished as f64 / duration.as_secs_f64(),
                RATE_WEIGHT,
            )
        } else {
            (nominal, NOMINAL_WEIGHT)
        };
        self.rate = Some(old + weight * (sample - old));
        self.update_arrival_rates(duration);
        self.window_start = now;
        self.window_finished = 0;
        self.is_busy = true;
    }

    /// Adds a stage of an admitted request.
    pub(super) fn add_stage(&mut self, ranks: Ranks, stage: &mut OpenStage) {
        let pieces = u64::from(stage.pieces);
        stage.ahead_at_admission = self.pieces_ahead(ranks);
        stage.counters_at_admission = self.counters(ranks);
        *self.arrived.entry(ranks).or_default() += pieces;
        *self.window_arrived.entry(ranks).or_default() += pieces;
        *self.backlog.entry(ranks).or_default() += pieces;
        if stage.inputs.is_empty() {
            self.ready += pieces;
        }
    }

    pub(super) fn remove_stage(&mut self, ranks: Ranks, stage: &OpenStage) {
        let pieces = u64::from(stage.pieces);
        *self.finished.entry(ranks).or_default() += pieces;
        if let Some(count) = self.backlog.get_mut(&ranks) {
            *count = count.saturating_sub(pieces);
        }
        if stage.inputs.is_empty() {
            self.ready = self.ready.saturating_sub(pieces);
        }
    }
}
