//! Target selection by estimated finish time, and the baseline policies it is compared with.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::Moment;
use crate::StageEstimates;
use crate::StageWork;
use crate::TargetView;

/// Maximum number of candidates sampled for one decision.
const SAMPLE_COUNT: usize = 16;

/// Fraction of the run time that a cached prefix is assumed to save. Engines don't report the
/// actual saving yet.
const PREFIX_SAVING: f64 = 0.3;

/// Calls admitted per slot of a target that other nodes use as well.
const OVERCOMMIT: f64 = 1.2;

/// Safety factor on the finish time for an account that weighs only cost.
const MIN_MARGIN: f64 = 1.3;

/// Increase of the safety factor for an account that weighs only attainment.
const MARGIN_RANGE: f64 = 1.2;

/// Weight of the price among targets that finish within the safety margin.
const PRICE_WEIGHT: f64 = 0.5;

/// Weight of the time among targets that finish within the safety margin.
const TIME_WEIGHT: f64 = 0.02;

/// Score penalty of a candidate that is not expected to finish in time.
const LATE_PENALTY: f64 = 10.0;

/// Lower bound of the success probability, which keeps the estimate of a failing target finite.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Policy by which a pool selects targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Estimated finish time and cost, weighted by account.
    Estimated,
    /// A random target (baseline).
    Random,
    /// Each target in turn (baseline).
    RoundRobin,
    /// The target with the fewest calls in flight from this node (baseline).
    LeastInFlight,
}

impl RoutingPolicy {
    /// All policies with their names on the command line.
    pub const ALL: [(&'static str, RoutingPolicy); 4] = [
        ("estimated", RoutingPolicy::Estimated),
        ("random", RoutingPolicy::Random),
        ("round-robin", RoutingPolicy::RoundRobin),
        ("least-in-flight", RoutingPolicy::LeastInFlight),
    ];
}

/// Input of a routing decision besides the target views.
pub(crate) struct RoutingInput<'a> {
    pub(crate) now: Moment,
    pub(crate) work: &'a StageWork,
    pub(crate) estimates: &'a StageEstimates,
    /// Fraction of a target's slots, 0 to 1, that this node may fill regardless of the load that
    /// other nodes are believed to have there.
    pub(crate) node_share: f64,
}

impl RoutingInput<'_> {
    /// Returns true if a target is eligible for the work, regardless of free slots.
    pub(crate) fn is_usable(&self, view: &TargetView) -> bool {
        !view.leaving
            && view.has_model(self.work.model.as_ref())
            && !self.work.tried.contains(&view.facts.id)
    }

    /// Returns true if a target has a free slot for the work.
    ///
    /// Shared targets are slightly overcommitted: the load of other nodes is known with a delay,
    /// and a short queue at the target costs less than an idle slot.
    pub(crate) fn has_slot(&self, view: &TargetView) -> bool {
        if !view.health.admits(view.own_inflight()) {
            return false;
        }
        let slots = f64::from(view.facts.slots);
        let floor = (slots * self.node_share).floor();
        let is_only_node = self.node_share >= 1.0;
        let capacity = if is_only_node {
            slots
        } else {
            slots * OVERCOMMIT
        };
        f64::from(view.own_inflight()) < floor || view.inflight(self.now) + 1.0 <= capacity
    }

    /// Returns the expected run time of the work on a target, without queueing and network delay.
    pub(crate) fn run_time(&self, view: &TargetView) -> Duration {
        let mean = self
            .estimates
            .mean(self.now, &view.facts.hardware, self.work.length);
        let saving = match self.work.prefix {
            Some(prefix) if view.has_prefix(prefix) => 1.0 - PREFIX_SAVING,
            _ => 1.0,
        };
        let success = (1.0 - view.health.failure_rate()).max(MIN_SUCCESS_RATE);
        mean.mul_f64(saving * view.health.slowness().max(0.2) / success)
    }

    /// Returns the expected time until the response is back, from the run time of the work.
    fn finish_time(&self, view: &TargetView, run: Duration) -> Duration {
        let slots = f64::from(view.facts.slots.max(1));
        let inflight = view.inflight(self.now);
        let overload = (inflight + 1.0 - slots).max(0.0);
        // Engines batch concurrent calls, so each of them slows the others even below the slot
        // limit.
        let crowding = 1.0 + 0.25 * (inflight / slots).min(1.0);
        run.mul_f64(crowding + overload / slots) + view.facts.one_way_delay * 2
    }

    /// Returns the score of a target; the lowest score wins.
    ///
    /// A response within the deadline is worth no more for arriving earlier. Among targets that
    /// finish within the safety margin the cheapest one wins; beyond it the fastest one does.
    fn score(&self, view: &TargetView, run: Duration, max_price: f64) -> f64 {
        let finish = self.finish_time(view, run).as_secs_f64();
        let left = self
            .work
            .latest_end
            .saturating_sub(self.now)
            .as_secs_f64()
            .max(0.001);
        let weight = self.work.cost_weight.clamp(0.0, 1.0);
        let margin = MIN_MARGIN + MARGIN_RANGE * (1.0 - weight);
        let share = finish / left;
        let risk = (share * margin - 1.0).max(0.0);
        let penalty = if share > 1.0 { LATE_PENALTY } else { 0.0 };
        let price = price_of(view, run) / max_price.max(1e-9);
        risk + penalty + PRICE_WEIGHT * price + TIME_WEIGHT * share
    }
}

fn price_of(view: &TargetView, run: Duration) -> f64 {
    view.facts.cost * run.as_secs_f64()
}

/// Selects the candidate with the lowest score and returns its index in `views`. `holder` is the
/// index of the target that is believed to cache the work's prefix.
pub(crate) fn choose_estimated(
    input: &RoutingInput<'_>,
    views: &[TargetView],
    holder: Option<usize>,
    rng: &mut SmallRng,
) -> Option<usize> {
    let candidates = sample_candidates(input, views, holder, rng);
    let timed: Vec<(usize, Duration)> = candidates
        .into_iter()
        .map(|index| (index, input.run_time(&views[index])))
        .collect();
    let prices = timed
        .iter()
        .map(|(index, run)| price_of(&views[*index], *run));
    let max_price = prices.fold(0.0, f64::max);
    let scored = timed
        .into_iter()
        .map(|(index, run)| (input.score(&views[index], run, max_price), index));
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, index)| index)
}

/// Samples some targets with a free slot in a random order.
///
/// Nodes that see the same stale report sample different targets, so they do not all select the one
/// that looks idle. At most three quarters of a small pool are sampled.
fn sample_candidates(
    input: &RoutingInput<'_>,
    views: &[TargetView],
    holder: Option<usize>,
    rng: &mut SmallRng,
) -> Vec<usize> {
    let mut candidates = Vec::with_capacity(SAMPLE_COUNT);
    if views.is_empty() {
        return candidates;
    }
    let wanted = (views.len() * 3).div_ceil(4).min(SAMPLE_COUNT);
    let start = rng.random_range(0..views.len());
    // A step coprime to the length visits every index once, in a shuffled order.
    let step = coprime_step(views.len(), rng);
    let mut index = start;
    for _ in 0..views.len() {
        let view = &views[index];
        if input.is_usable(view) && input.has_slot(view) {
            candidates.push(index);
            if candidates.len() >= wanted {
                break;
            }
        }
        index = (index + step) % views.len();
    }
    let usable =
        holder.filter(|index| input.is_usable(&views[*index]) && input.has_slot(&views[*index]));
    candidates.extend(usable.filter(|index| !candidates.contains(index)));
    candidates
}

fn coprime_step(length: usize, rng: &mut SmallRng) -> usize {
    const PRIMES: [usize; 6] = [1, 7, 11, 13, 17, 19];
    let step = PRIMES[rng.random_range(0..PRIMES.len())];
    if length.is_multiple_of(step) {
        return 1;
    }
    step
}

/// Selects a target by a baseline policy, which ignores free slots and health.
pub(crate) fn choose_baseline(
    policy: RoutingPolicy,
    input: &RoutingInput<'_>,
    views: &[TargetView],
    round_robin_index: &mut usize,
    rng: &mut SmallRng,
) -> Option<usize> {
    let usable: Vec<usize> = (0..views.len())
        .filter(|index| input.is_usable(&views[*index]))
        .collect();
    if usable.is_empty() {
        return None;
    }
    match policy {
        RoutingPolicy::Random => Some(usable[rng.random_range(0..usable.len())]),
        RoutingPolicy::LeastInFlight => usable
            .into_iter()
            .min_by_key(|index| views[*index].own_inflight()),
        RoutingPolicy::RoundRobin | RoutingPolicy::Estimated => {
            *round_robin_index = round_robin_index.wrapping_add(1);
            Some(usable[*round_robin_index % usable.len()])
        }
    }
}
