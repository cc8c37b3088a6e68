//! The choice of a target, and the simple policies it is measured against.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::Moment;
use crate::StageEstimates;
use crate::StageWork;
use crate::TargetView;

/// Candidates looked at for one decision.
const SAMPLE_COUNT: usize = 16;

/// Part of the time that a held prefix saves; learned values replace it once engines report it.
const PREFIX_SAVING: f64 = 0.3;

/// Calls let through at a target for each slot, when other nodes use it, too.
const OVERCOMMIT: f64 = 1.2;

/// Margin of time that an account with all weight on cost wants, as a factor on the finish time.
const LEAST_MARGIN: f64 = 1.3;

/// Added to the margin for an account with all weight on attainment.
const MARGIN_SPAN: f64 = 1.2;

/// Weight of the price among targets that leave the margin.
const PRICE_WEIGHT: f64 = 0.5;

/// Weight of the time among targets that leave the margin.
const TIME_WEIGHT: f64 = 0.02;

/// Added to the score of a candidate that is not expected to finish in time.
const LATE_PENALTY: f64 = 10.0;

/// Smallest probability of success assumed, so that a failing target's estimate stays finite.
const SMALLEST_SUCCESS: f64 = 0.05;

/// How a pool chooses its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Estimated time to finish, with cost by the account's weight.
    Estimated,
    /// Any target (baseline).
    Random,
    /// One after another (baseline).
    RoundRobin,
    /// The fewest calls in flight from this node (baseline).
    LeastInFlight,
}

impl RoutingPolicy {
    /// Every policy, with the name that the command line takes.
    pub const ALL: [(&'static str, RoutingPolicy); 4] = [
        ("estimated", RoutingPolicy::Estimated),
        ("random", RoutingPolicy::Random),
        ("round-robin", RoutingPolicy::RoundRobin),
        ("least-in-flight", RoutingPolicy::LeastInFlight),
    ];
}

/// What a choice looks at beside the targets.
pub(crate) struct RoutingInput<'a> {
    pub(crate) now: Moment,
    pub(crate) work: &'a StageWork,
    pub(crate) estimates: &'a StageEstimates,
    /// Part of a target's slots that this node may fill whatever others are thought to have there.
    pub(crate) node_share: f64,
}

impl RoutingInput<'_> {
    /// Tells whether a target may take the work at all.
    pub(crate) fn is_usable(&self, view: &TargetView) -> bool {
        !view.leaving
            && view.has_model(self.work.model.as_ref())
            && !self.work.tried.contains(&view.facts.id)
    }

    /// Tells whether a target has a slot for the work.
    ///
    /// A few calls beyond the slots are let through: what other nodes have there is known late, and
    /// a short queue at the target costs less than a slot that stays empty meanwhile.
    pub(crate) fn has_slot(&self, view: &TargetView) -> bool {
        if !view.health.admits(view.own_inflight()) {
            return false;
        }
        let slots = f64::from(view.facts.slots);
        let floor = (slots * self.node_share).floor();
        let alone = self.node_share >= 1.0;
        let room = if alone { slots } else { slots * OVERCOMMIT };
        f64::from(view.own_inflight()) < floor || view.inflight(self.now) + 1.0 <= room
    }

    /// Returns the expected time of the work itself on a target.
    pub(crate) fn run_time(&self, view: &TargetView) -> Duration {
        let mean = self
            .estimates
            .mean(self.now, &view.facts.hardware, self.work.length);
        let saving = match self.work.prefix {
            Some(prefix) if view.has_prefix(prefix) => 1.0 - PREFIX_SAVING,
            _ => 1.0,
        };
        let success = (1.0 - view.health.failure_rate()).max(SMALLEST_SUCCESS);
        mean.mul_f64(saving * view.health.slowness().max(0.2) / success)
    }

    /// Returns the expected time until the answer is back, for a time of the work itself.
    fn finish_time(&self, view: &TargetView, run: Duration) -> Duration {
        let slots = f64::from(view.facts.slots.max(1));
        let inflight = view.inflight(self.now);
        let over = (inflight + 1.0 - slots).max(0.0);
        // A busy engine batches, so each call beside this one costs a little even below the slots.
        let crowding = 1.0 + 0.25 * (inflight / slots).min(1.0);
        run.mul_f64(crowding + over / slots) + view.facts.one_way_delay * 2
    }

    /// Returns a score; the smallest wins.
    ///
    /// An answer in good time is worth no more for coming earlier, so among targets that leave a
    /// margin the cheaper one wins; without the margin, time does.
    fn score(&self, view: &TargetView, run: Duration, top_price: f64) -> f64 {
        let finish = self.finish_time(view, run).as_secs_f64();
        let left = self
            .work
            .latest_end
            .saturating_sub(self.now)
            .as_secs_f64()
            .max(0.001);
        let weight = self.work.cost_weight.clamp(0.0, 1.0);
        let margin = LEAST_MARGIN + MARGIN_SPAN * (1.0 - weight);
        let share = finish / left;
        let risk = (share * margin - 1.0).max(0.0);
        let late = if share > 1.0 { LATE_PENALTY } else { 0.0 };
        let price = price_of(view, run) / top_price.max(1e-9);
        risk + late + PRICE_WEIGHT * price + TIME_WEIGHT * share
    }
}

fn price_of(view: &TargetView, run: Duration) -> f64 {
    view.facts.cost * run.as_secs_f64()
}

/// Chooses among candidates by their place in `views`. `holder` is the place of a target that is
/// thought to hold the work's prefix.
pub(crate) fn choose_estimated(
    input: &RoutingInput<'_>,
    views: &[TargetView],
    holder: Option<usize>,
    rng: &mut SmallRng,
) -> Option<usize> {
    let candidates = sample_candidates(input, views, holder, rng);
    let timed: Vec<(usize, Duration)> = candidates
        .into_iter()
        .map(|at| (at, input.run_time(&views[at])))
        .collect();
    let prices = timed.iter().map(|(at, run)| price_of(&views[*at], *run));
    let top_price = prices.fold(0.0, f64::max);
    let scored = timed
        .into_iter()
        .map(|(at, run)| (input.score(&views[at], run, top_price), at));
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, at)| at)
}

/// Picks a few targets with a slot, from a random place on.
///
/// Nodes that see the same stale report start at different places, so they do not all go to the
/// one target that looks idle. Of a small pool at most three quarters are looked at.
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
    // A step that shares no factor with the length visits every place once, in a mixed order.
    let step = coprime_step(views.len(), rng);
    let mut at = start;
    for _ in 0..views.len() {
        let view = &views[at];
        if input.is_usable(view) && input.has_slot(view) {
            candidates.push(at);
            if candidates.len() >= wanted {
                break;
            }
        }
        at = (at + step) % views.len();
    }
    let usable = holder.filter(|at| input.is_usable(&views[*at]) && input.has_slot(&views[*at]));
    candidates.extend(usable.filter(|at| !candidates.contains(at)));
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

/// Chooses as a baseline does: any live target, whether it has a slot or not.
pub(crate) fn choose_baseline(
    policy: RoutingPolicy,
    input: &RoutingInput<'_>,
    views: &[TargetView],
    turn: &mut usize,
    rng: &mut SmallRng,
) -> Option<usize> {
    let usable: Vec<usize> = (0..views.len())
        .filter(|at| input.is_usable(&views[*at]))
        .collect();
    if usable.is_empty() {
        return None;
    }
    match policy {
        RoutingPolicy::Random => Some(usable[rng.random_range(0..usable.len())]),
        RoutingPolicy::LeastInFlight => usable
            .into_iter()
            .min_by_key(|at| views[*at].own_inflight()),
        RoutingPolicy::RoundRobin | RoutingPolicy::Estimated => {
            *turn = turn.wrapping_add(1);
            Some(usable[*turn % usable.len()])
        }
    }
}
