//! What goes wrong and when, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_standin::LinkState;
use turnford_standin::TargetFault;

/// Nodes of a run, if nothing else is said.
const NODES: usize = 5;

/// Variable that names the nodes of a long run, up to what the machine bears.
const NODES_VARIABLE: &str = "TURNFORD_SOAK_NODES";

/// Part of the runs in which a client sends a request that crashes the targets that run it.
const CRASHING_PART: f64 = 0.5;

/// Targets of a run's site: two of each of five services.
pub(crate) const TARGETS: usize = 10;

/// Time before the first fault, in which nodes find each other.
const LEAD: Duration = Duration::from_secs(4);

/// Time in which faults begin.
const FAULT_SPAN: Duration = Duration::from_secs(9);

/// Faults of one run.
const FAULTS: usize = 14;

/// Faults of one run that have to do with large configurations and silent connections.
const LINK_FAULTS: usize = 4;

/// Faults of one run that have to do with what targets say in their answers, and with the store's copies.
const WORD_FAULTS: usize = 6;

/// Targets of one run that name a limit for all nodes together, and the limits.
const LIMITS: usize = 5;
const LIMIT_RATES: [&str; 4] = ["0", "0.5", "1", "2"];

/// Time in which they begin: what comes after has to be over with the last fault.
const LIMIT_BEGIN_SPAN: Duration = Duration::from_secs(2);

/// What a slow link to the store carries, in bytes a second: the largest configuration of a run
/// takes two seconds.
const SLOW_RATE: u32 = 200_000;

/// Fault of one moment.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The node gets SIGTERM and is started again after its end.
    Stop(usize),
    /// The node is killed and started again.
    Kill(usize),
    /// All nodes are killed and started again.
    KillAll,
    /// The node stands still for a while.
    Pause(usize, Duration),
    /// The link of a node to the store, or of all nodes, is harmed for a while.
    StoreLink(Option<usize>, LinkState, Duration),
    /// The link between clients and a node is harmed for a while.
    ClientLink(usize, LinkState, Duration),
    /// Some calls of a target go wrong.
    Target(usize, TargetFault, usize),
    /// The target says that it leaves; it is listed anew some seconds later.
    Leave(usize),
    /// A configuration with a higher version is written.
    Config,
    /// A configuration with many more routes is written.
    LargeConfig,
    /// The open connections of a node to the store fall silent; new ones work.
    StoreMute(usize),
    /// The store forgets its history.
    Compact,
    /// The target says in its answers that it leaves, while its entry says nothing of it.
    SayLeaving(usize),
    /// The target turns everything away for a while, and asks for rest.
    Rest(usize, Duration),
    /// The store is away for a moment and comes back from a copy that is so old.
    Drill(Duration),
    /// The target names a limit in its answers for a while.
    Limit(usize, &'static str, Duration),
}

/// Returns the number of nodes of each run.
pub(crate) fn node_count() -> usize {
    let named = std::env::var(NODES_VARIABLE).ok();
    named.map_or(NODES, |text| text.parse().expect("a number of nodes"))
}

/// The faults of a run in the order of their times.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    /// Whether a client sends a request that crashes targets while faults begin.
    pub(crate) has_crashing: bool,
    pub(crate) steps: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Draws a plan.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::with_capacity(FAULTS);
        for _ in 0..FAULTS {
            let at = LEAD + FAULT_SPAN.mul_f64(rng.random());
            steps.push((at, draw_fault(&mut rng)));
        }
        // Drawn apart, so that what a seed meant before these were added stays.
        let mut rng = StdRng::seed_from_u64(!seed);
        for _ in 0..LINK_FAULTS {
            let at = LEAD + FAULT_SPAN.mul_f64(rng.random());
            steps.push((at, draw_link_fault(&mut rng)));
        }
        // Drawn apart, too.
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(31));
        for _ in 0..WORD_FAULTS {
            let at = LEAD + FAULT_SPAN.mul_f64(rng.random());
            steps.push((at, draw_word_fault(&mut rng)));
        }
        // Drawn apart, too.
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(47));
        for _ in 0..LIMITS {
            let at = LEAD + LIMIT_BEGIN_SPAN.mul_f64(rng.random());
            steps.push((at, draw_limit(&mut rng)));
        }
        steps.sort_by_key(|(at, _)| *at);
        // Drawn apart, too.
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(17));
        Self {
            has_crashing: rng.random_bool(CRASHING_PART),
            steps,
        }
    }

    /// Returns the time in which faults begin.
    pub(crate) fn fault_span() -> (Duration, Duration) {
        (LEAD, LEAD + FAULT_SPAN)
    }

    /// Tells whether all nodes are killed together, after which none knows anything of before.
    pub(crate) fn kills_all(&self) -> bool {
        let mut faults = self.steps.iter().map(|(_, fault)| fault);
        faults.any(|fault| matches!(fault, Fault::KillAll))
    }

    /// Returns when the last fault is over, with what nodes need to find back.
    pub(crate) fn settled_at() -> Duration {
        LEAD + FAULT_SPAN + Duration::from_secs(9)
    }
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..node_count());
    let target = rng.random_range(0..TARGETS);
    let span = Duration::from_millis(rng.random_range(300..3500));
    match rng.random_range(0..22) {
        0..3 => Fault::Stop(node),
        3..6 => Fault::Kill(node),
        6 => Fault::KillAll,
        7..9 => Fault::Pause(node, span),
        9..11 => Fault::StoreLink(Some(node), draw_link(rng), span),
        11 => Fault::StoreLink(None, draw_link(rng), span),
        12..14 => Fault::ClientLink(node, draw_link(rng), span),
        14..17 => Fault::Target(target, draw_target_fault(rng), rng.random_range(1..8)),
        17..19 => Fault::Leave(target),
        19..21 => Fault::Config,
        _ => Fault::Compact,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..node_count());
    let span = Duration::from_millis(rng.random_range(1000..5000));
    match rng.random_range(0..4) {
        0 => Fault::StoreMute(node),
        1 => Fault::StoreLink(Some(node), LinkState::Throttled(SLOW_RATE), span),
        _ => Fault::LargeConfig,
    }
}

fn draw_word_fault(rng: &mut StdRng) -> Fault {
    let target = rng.random_range(0..TARGETS);
    let span = Duration::from_millis(rng.random_range(1000..4000));
    match rng.random_range(0..6) {
        0..2 => Fault::SayLeaving(target),
        2..5 => Fault::Rest(target, span),
        _ => Fault::Drill(span),
    }
}

fn draw_limit(rng: &mut StdRng) -> Fault {
    let target = rng.random_range(0..TARGETS);
    let span = Duration::from_millis(rng.random_range(10_000..12_000));
    let rate = LIMIT_RATES[rng.random_range(0..LIMIT_RATES.len())];
    Fault::Limit(target, rate, span)
}

fn draw_link(rng: &mut StdRng) -> LinkState {
    let delay = Duration::from_millis(rng.random_range(20..400));
    let states = [
        LinkState::Delayed(delay),
        LinkState::Reset,
        LinkState::Stalled,
        LinkState::StalledToServer,
        LinkState::StalledFromServer,
    ];
    states[rng.random_range(0..states.len())]
}

fn draw_target_fault(rng: &mut StdRng) -> TargetFault {
    let slow = Duration::from_millis(rng.random_range(50..900));
    let faults = [
        TargetFault::Reject,
        TargetFault::Disconnect,
        TargetFault::Truncate,
        TargetFault::AttemptMismatch,
        TargetFault::Fail,
        TargetFault::Slow(slow),
    ];
    faults[rng.random_range(0..faults.len())].clone()
}
