//! The fault plan of a run, derived from a seed.

use std::time::Duration;

use http::StatusCode;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_standin::LinkCut;
use turnford_standin::LinkState;
use turnford_standin::StallPoint;
use turnford_standin::TargetFault;

/// Default number of nodes.
const NODES: usize = 5;

/// Environment variable with the number of nodes of a long run, limited by the machine's capacity.
const NODES_VARIABLE: &str = "TURNFORD_SOAK_NODES";

/// Ratio of the runs in which a client sends a request that crashes the targets that run it.
const CRASHING_PART: f64 = 0.5;

/// Targets of a run's site: two for each of five services.
pub(crate) const TARGETS: usize = 10;

/// Time before the first fault, in which nodes discover each other.
const WARM_UP: Duration = Duration::from_secs(4);

/// Length of the period in which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(9);

/// Basic faults per run.
const FAULTS: usize = 14;

/// Faults per run that concern large configurations and stalled connections.
const LINK_FAULTS: usize = 4;

/// Faults per run that concern announcements of targets and the store's snapshots.
const ANNOUNCEMENT_FAULTS: usize = 6;

/// Number of announcements per run of a limit for all nodes together, and the possible limits in calls
/// per second.
const LIMITS: usize = 5;
const LIMIT_RATES: [&str; 4] = ["0", "0.5", "1", "2"];

/// Length of the period in which announced limits begin; short, so that they end with the last fault.
const LIMIT_START_PERIOD: Duration = Duration::from_secs(2);

/// Cuts per run of a node's links to all targets, and announcements that a target is brittle.
const TARGET_CUTS: usize = 3;
const BRITTLE: usize = 2;

/// Periods per run in which a target repeats some of its responses, and in which some stall: one in so many.
const REPEAT_PERIODS: usize = 2;
const STALL_PERIODS: usize = 2;
const FAULTY_RESPONSES: usize = 6;

/// The targets that repeat responses: those of the services whose calls name an attempt.
const REPEATING: std::ops::Range<usize> = 0..4;

/// Number of times per run that a plain target fails some calls that it runs with the status of a refusal.
const FALSE_REFUSALS: usize = 3;
const PLAIN: std::ops::Range<usize> = 0..2;

/// Periods per run in which most new connections go to one node that gets a part of a core.
const HOT_NODES: usize = 2;

/// Processes of engines that are replaced per run, by one of these software versions.
const REPLACED: usize = 6;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// The engines among the targets of a run's site.
const ENGINES: [usize; 2] = [2, 3];

/// Rejections in a second that a brittle target bears, and requests that it runs at the same time.
pub(crate) const BRITTLE_REJECTIONS: u32 = 2;
pub(crate) const BRITTLE_ROOM: usize = 4;

/// Rate of a throttled link to the store in bytes per second; the largest configuration of a run takes
/// two seconds at this rate.
const SLOW_RATE: u32 = 200_000;

/// A fault to inject.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The node receives SIGTERM and is restarted after it exited.
    Stop(usize),
    /// The node is killed and restarted.
    Kill(usize),
    /// All nodes are killed and restarted.
    KillAll,
    /// The node is suspended for this time.
    Pause(usize, Duration),
    /// The link between a node, or all nodes, and the store is disturbed for this time.
    StoreLink(Option<usize>, LinkState, Duration),
    /// The link between clients and a node is disturbed for this time.
    ClientLink(usize, LinkState, Duration),
    /// This number of calls of a target fail.
    Target(usize, TargetFault, usize),
    /// The target's store entry is set to leaving; it is ready again some seconds later.
    Leave(usize),
    /// A configuration with a higher version is written.
    Config,
    /// A configuration with a higher version and many more routes is written.
    LargeConfig,
    /// Data on a node's open connections to the store is discarded; new connections work.
    BlackholeStore(usize),
    /// The store compacts its history.
    Compact,
    /// The target announces in its responses that it is leaving, while its store entry is unchanged.
    AnnounceLeaving(usize),
    /// The target rejects all calls for this time and requests back-off.
    Backoff(usize, Duration),
    /// The store is briefly unavailable and is restored from a snapshot of this age.
    RestoreStore(Duration),
    /// The target announces a limit in its responses for this time.
    Limit(usize, &'static str, Duration),
    /// The links between the node and all targets are cut for this time.
    TargetCut(usize, LinkCut, Duration),
    /// The target's process is replaced by one of this software version; its store entry follows after
    /// this time.
    Replace(usize, &'static str, Duration),
    /// Most new connections go to the node for this time, in which it gets a part of a core.
    HotNode(usize, Duration),
    /// For this time the target repeats one in so many of its responses where the next one is due.
    Repeat(usize, usize, Duration),
    /// For this time one in so many of the target's responses stalls.
    Stall(usize, usize, StallPoint, Duration),
    /// The target announces for this time that it fails when it rejects too many requests.
    Brittle(usize, Duration),
}

/// Returns the number of nodes per run.
pub(crate) fn node_count() -> usize {
    let named = std::env::var(NODES_VARIABLE).ok();
    named.map_or(NODES, |text| text.parse().expect("a number of nodes"))
}

/// The faults of a run, ordered by time.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    /// Whether a client sends a request that crashes targets while faults begin.
    pub(crate) has_crashing: bool,
    pub(crate) steps: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Derives a plan from a seed.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::with_capacity(FAULTS);
        for _ in 0..FAULTS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_fault(&mut rng)));
        }
        // Each group has its own generator, so that adding a group doesn't change the plans of existing
        // seeds.
        let mut rng = StdRng::seed_from_u64(!seed);
        for _ in 0..LINK_FAULTS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_link_fault(&mut rng)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(31));
        for _ in 0..ANNOUNCEMENT_FAULTS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_announcement_fault(&mut rng)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(47));
        for _ in 0..LIMITS {
            let at = WARM_UP + LIMIT_START_PERIOD.mul_f64(rng.random());
            steps.push((at, random_limit(&mut rng)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(11));
        for _ in 0..TARGET_CUTS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_target_cut(&mut rng)));
        }
        for _ in 0..BRITTLE {
            let at = WARM_UP + LIMIT_START_PERIOD.mul_f64(rng.random());
            let duration = Duration::from_millis(rng.random_range(4000..9000));
            steps.push((at, Fault::Brittle(rng.random_range(0..TARGETS), duration)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(23));
        for _ in 0..REPLACED {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_replacement(&mut rng)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(5));
        for _ in 0..HOT_NODES {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            let duration = Duration::from_millis(rng.random_range(1500..5000));
            let node = rng.random_range(0..node_count());
            steps.push((at, Fault::HotNode(node, duration)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(53));
        for _ in 0..REPEAT_PERIODS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_repeat(&mut rng)));
        }
        for _ in 0..STALL_PERIODS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_stall(&mut rng)));
        }
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(29));
        for _ in 0..FALSE_REFUSALS {
            let at = WARM_UP + FAULT_PERIOD.mul_f64(rng.random());
            steps.push((at, random_false_refusals(&mut rng)));
        }
        steps.sort_by_key(|(at, _)| *at);
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(17));
        Self {
            has_crashing: rng.random_bool(CRASHING_PART),
            steps,
        }
    }

    /// Returns the begin and end of the period in which faults begin.
    pub(crate) fn fault_period() -> (Duration, Duration) {
        (WARM_UP, WARM_UP + FAULT_PERIOD)
    }

    /// Returns whether all nodes are killed at once, which loses everything that nodes hold in memory.
    pub(crate) fn kills_all(&self) -> bool {
        let mut faults = self.steps.iter().map(|(_, fault)| fault);
        faults.any(|fault| matches!(fault, Fault::KillAll))
    }

    /// Returns the time at which the last fault is over and nodes must have recovered.
    pub(crate) fn recovery_deadline() -> Duration {
        WARM_UP + FAULT_PERIOD + Duration::from_secs(9)
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..node_count());
    let target = rng.random_range(0..TARGETS);
    let duration = Duration::from_millis(rng.random_range(300..3500));
    match rng.random_range(0..22) {
        0..3 => Fault::Stop(node),
        3..6 => Fault::Kill(node),
        6 => Fault::KillAll,
        7..9 => Fault::Pause(node, duration),
        9..11 => Fault::StoreLink(Some(node), random_link_state(rng), duration),
        11 => Fault::StoreLink(None, random_link_state(rng), duration),
        12..14 => Fault::ClientLink(node, random_link_state(rng), duration),
        14..17 => Fault::Target(target, random_target_fault(rng), rng.random_range(1..8)),
        17..19 => Fault::Leave(target),
        19..21 => Fault::Config,
        _ => Fault::Compact,
    }
}

fn random_link_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..node_count());
    let duration = Duration::from_millis(rng.random_range(1000..5000));
    match rng.random_range(0..4) {
        0 => Fault::BlackholeStore(node),
        1 => Fault::StoreLink(Some(node), LinkState::Throttled(SLOW_RATE), duration),
        _ => Fault::LargeConfig,
    }
}

fn random_announcement_fault(rng: &mut StdRng) -> Fault {
    let target = rng.random_range(0..TARGETS);
    let duration = Duration::from_millis(rng.random_range(1000..4000));
    match rng.random_range(0..6) {
        0..2 => Fault::AnnounceLeaving(target),
        2..5 => Fault::Backoff(target, duration),
        _ => Fault::RestoreStore(duration),
    }
}

fn random_limit(rng: &mut StdRng) -> Fault {
    let target = rng.random_range(0..TARGETS);
    let duration = Duration::from_millis(rng.random_range(10_000..12_000));
    let rate = LIMIT_RATES[rng.random_range(0..LIMIT_RATES.len())];
    Fault::Limit(target, rate, duration)
}

fn random_repeat(rng: &mut StdRng) -> Fault {
    let duration = Duration::from_millis(rng.random_range(1000..4000));
    Fault::Repeat(rng.random_range(REPEATING), FAULTY_RESPONSES, duration)
}

fn random_stall(rng: &mut StdRng) -> Fault {
    let points = [StallPoint::Start, StallPoint::Head, StallPoint::Body];
    let point = points[rng.random_range(0..points.len())];
    let duration = Duration::from_millis(rng.random_range(1000..4000));
    Fault::Stall(
        rng.random_range(0..TARGETS),
        FAULTY_RESPONSES,
        point,
        duration,
    )
}

fn random_false_refusals(rng: &mut StdRng) -> Fault {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let status = statuses[rng.random_range(0..statuses.len())];
    let fault = TargetFault::FailWith(status);
    Fault::Target(rng.random_range(PLAIN), fault, rng.random_range(4..16))
}

fn random_replacement(rng: &mut StdRng) -> Fault {
    let target = ENGINES[rng.random_range(0..ENGINES.len())];
    let version = VERSIONS[rng.random_range(0..VERSIONS.len())];
    let delay = Duration::from_millis(rng.random_range(0..1500));
    Fault::Replace(target, version, delay)
}

fn random_target_cut(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..node_count());
    let cuts = [LinkCut::Silent, LinkCut::Reset, LinkCut::RefuseNew];
    let cut = cuts[rng.random_range(0..cuts.len())];
    let duration = Duration::from_millis(rng.random_range(1000..7000));
    Fault::TargetCut(node, cut, duration)
}

fn random_link_state(rng: &mut StdRng) -> LinkState {
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

fn random_target_fault(rng: &mut StdRng) -> TargetFault {
    let slow = Duration::from_millis(rng.random_range(50..900));
    let faults = [
        TargetFault::Reject,
        TargetFault::Disconnect,
        TargetFault::Truncate,
        TargetFault::Unframed,
        TargetFault::AttemptMismatch,
        TargetFault::Fail,
        TargetFault::Slow(slow),
    ];
    faults[rng.random_range(0..faults.len())].clone()
}
