//! Randomised simulation of many nodes with one harmful request, which crashes its targets, and
//! innocent requests running next to it.
//!
//! Updates between nodes are delayed, lost and duplicated. The placing node changes, nodes restart
//! and only know what another node sends them, and groups of targets lose power. In every run, the
//! harmful request reaches at most three more targets later than three seconds after its third
//! crash. No request that occurs once is ever refused, and a request of which many copies run is
//! refused only briefly.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_fleet::CrashEvent;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::CrashVerdict;
use turnford_fleet::Moment;
use turnford_fleet::TrialAdmission;
use turnford_fleet::TrialTable;
use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

const NODES: usize = 6;

const TARGETS: usize = 12;

/// Number of targets that lose power together.
const GROUP_SIZE: usize = 4;

/// Number of nodes to which an update is forwarded.
const FANOUT: usize = 3;

/// Duration of a run.
const DURATION: Duration = Duration::from_secs(40);

/// Time after the third crash from which sends are counted.
const CONTAINMENT_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of counted sends.
const MAX_LATE_SENDS: usize = 3;

/// Maximum time for which a request with running copies may be refused after unrelated crashes hit
/// two of its trials in a row. One of the copies succeeds within this time.
const MAX_REFUSAL_SPAN: Duration = Duration::from_secs(4);

/// Maximum time that a suspect waits for another copy.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay until a client retries after that.
const RETRY_DELAY: Duration = Duration::from_secs(1);

const HARMFUL: RequestDigest = RequestDigest([1; 16]);

const POPULAR: RequestDigest = RequestDigest([2; 16]);

type RunNumber = u64;

#[derive(Clone, Debug)]
enum Step {
    /// A client sends a request to a node.
    Arrive(RequestDigest, usize, Moment),
    /// The placing node places a request on behalf of another node.
    Place(RequestDigest, usize, Moment),
    /// A request reaches its target.
    Reach(RunNumber),
    /// A target starts running a request.
    Begin(RunNumber),
    /// A request succeeds or crashes its target.
    End(RunNumber),
    /// The node of a request detects that its target crashed.
    DetectCrash(RunNumber),
    /// The placing node learns that a request ended.
    Release(usize, RunNumber),
    Receive(usize, Vec<CrashUpdate>),
    /// A node synchronises with another one.
    Sync(usize),
    Restart(usize),
    /// Another node takes over placing.
    ChangePlacer,
    /// A group of targets loses power.
    LosePower,
    /// A target is running again.
    Recover(usize),
}

#[derive(Clone, Debug)]
struct Run {
    digest: RequestDigest,
    node: usize,
    target: usize,
    started_at: u64,
    is_alone: bool,
    has_started: bool,
}

impl Run {
    fn part(&self) -> CrashPart {
        match (self.is_alone, self.has_started) {
            (false, _) => CrashPart::Shared,
            (true, false) => CrashPart::QueuedTrial,
            (true, true) => CrashPart::BegunTrial,
        }
    }
}

struct World {
    rng: StdRng,
    now: Moment,
    order: u64,
    steps: BinaryHeap<Reverse<(Moment, u64)>>,
    waiting: HashMap<u64, Step>,
    tables: Vec<CrashTable>,
    trial_tables: Vec<TrialTable>,
    placer: usize,
    /// Start of each target's process, or 0 while it is down.
    started_at: Vec<u64>,
    runs: HashMap<RunNumber, Run>,
    next: RunNumber,
    /// Times at which the harmful request crashed a target, and at which it reached one.
    crashed: Vec<Moment>,
    reached: Vec<Moment>,
    served: HashMap<RequestDigest, usize>,
    held: HashMap<RequestDigest, usize>,
    refused: Vec<(RequestDigest, Moment)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            order: 0,
            steps: BinaryHeap::new(),
            waiting: HashMap::new(),
            tables: vec![CrashTable::default(); NODES],
            trial_tables: vec![TrialTable::default(); NODES],
            placer: 0,
            started_at: vec![1; TARGETS],
            runs: HashMap::new(),
            next: 0,
            crashed: Vec::new(),
            reached: Vec::new(),
            served: HashMap::new(),
            held: HashMap::new(),
            refused: Vec::new(),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        let copies = self.rng.random_range(1..12);
        for _ in 0..copies {
            let at = self.millis(3000, 3030);
            self.schedule_arrival(HARMFUL, at);
        }
        for _ in 0..100 {
            let at = self.millis(3000, 38_000);
            self.schedule_arrival(HARMFUL, at);
        }
        for _ in 0..600 {
            let at = self.millis(0, 38_000);
            self.schedule_arrival(POPULAR, at);
        }
        for number in 0..600_u32 {
            let at = self.millis(0, 38_000);
            let mut digest = RequestDigest([3; 16]);
            digest.0[..4].copy_from_slice(&number.to_le_bytes());
            self.schedule_arrival(digest, at);
        }
        for (step, count) in [(Step::ChangePlacer, 3), (Step::LosePower, 3)] {
            for _ in 0..count {
                let at = self.millis(2000, 36_000);
                self.at(at, step.clone());
            }
        }
        for node in 0..NODES {
            self.at(Duration::from_secs(1), Step::Sync(node));
            if self.rng.random_bool(0.4) {
                let at = self.millis(2000, 36_000);
                self.at(at, Step::Restart(node));
            }
        }
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn schedule_arrival(&mut self, digest: RequestDigest, at: Moment) {
        let node = self.rng.random_range(0..NODES);
        self.at(at, Step::Arrive(digest, node, at));
    }

    fn at(&mut self, at: Moment, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order)));
        self.waiting.insert(self.order, step);
    }

    fn after(&mut self, from: u64, to: u64, step: Step) {
        let at = self.now + self.millis(from, to);
        self.at(at, step);
    }

    fn play(&mut self) {
        while let Some(Reverse((at, number))) = self.steps.pop() {
            if at > DURATION {
                break;
            }
            self.now = at;
            if let Some(step) = self.waiting.remove(&number) {
                self.apply(step);
            }
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(digest, node, since) => {
                match self.tables[node].verdict(self.now, &digest) {
                    CrashVerdict::Refused(_) => self.refused.push((digest, self.now)),
                    _ => self.after(1, 6, Step::Place(digest, node, since)),
                }
            }
            Step::Place(digest, node, since) => self.place(digest, node, since),
            Step::Reach(number) => self.reach(number),
            Step::Begin(number) => self.begin(number),
            Step::End(number) => self.end(number),
            Step::DetectCrash(number) => self.detect_crash(number),
            Step::Release(placer, number) => self.trial_tables[placer].end(number),
            Step::Receive(node, updates) => self.receive(node, &updates),
            Step::Sync(node) => self.sync(node),
            Step::Restart(node) => self.restart(node),
            Step::ChangePlacer => self.placer = self.rng.random_range(0..NODES),
            Step::LosePower => {
                let group = self.rng.random_range(0..TARGETS / GROUP_SIZE);
                for target in group * GROUP_SIZE..(group + 1) * GROUP_SIZE {
                    self.crash(target);
                }
            }
            Step::Recover(target) => self.started_at[target] = self.now.as_millis() as u64,
        }
    }

    fn place(&mut self, digest: RequestDigest, node: usize, since: Moment) {
        let placer = self.placer;
        let verdict = self.tables[placer].verdict(self.now, &digest);
        let entry = self.trial_tables[placer].admit(self.now, &digest, verdict);
        let (taken, alone) = match entry {
            TrialAdmission::Unrestricted => (Vec::new(), None),
            TrialAdmission::OnTrial { is_alone, taken } => (taken, Some(is_alone)),
            TrialAdmission::Refused(_) => return self.refused.push((digest, self.now)),
            TrialAdmission::Wait => return self.hold(digest, node, since),
        };
        let is_free = |target: &usize| {
            self.started_at[*target] > 0 && !taken.contains(&TargetId::from(name(*target)))
        };
        let free: Vec<usize> = (0..TARGETS).filter(is_free).collect();
        if free.is_empty() {
            return self.hold(digest, node, since);
        }
        let target = free[self.rng.random_range(0..free.len())];
        self.next += 1;
        if let Some(is_alone) = alone {
            let ends_by = self.now + Duration::from_secs(10);
            let target = Arc::from(name(target));
            self.trial_tables[placer].start(self.next, digest, target, is_alone, ends_by);
        }
        let run = Run {
            digest,
            node,
            target,
            started_at: self.started_at[target],
            is_alone: alone == Some(true),
            has_started: false,
        };
        self.runs.insert(self.next, run);
        self.after(1, 8, Step::Reach(self.next));
    }

    fn hold(&mut self, digest: RequestDigest, node: usize, since: Moment) {
        if self.now.saturating_sub(since) < HOLD_TIMEOUT {
            self.after(40, 50, Step::Place(digest, node, since));
        } else {
            *self.held.entry(digest).or_default() += 1;
            // The client is told to retry.
            let at = self.now + RETRY_DELAY;
            self.schedule_arrival(digest, at);
        }
    }

    fn is_running(&self, run: &Run) -> bool {
        self.started_at[run.target] == run.started_at
    }

    fn reach(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if !self.is_running(&run) {
            return self.release(number);
        }
        if run.digest == HARMFUL {
            self.reached.push(self.now);
        }
        self.after(20, 300, Step::Begin(number));
    }

    fn begin(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.has_started = true;
        let is_harmful = run.digest == HARMFUL;
        let (from, to) = if is_harmful { (20, 150) } else { (200, 1500) };
        self.after(from, to, Step::End(number));
    }

    fn end(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if run.digest == HARMFUL {
            self.crashed.push(self.now);
            return self.crash(run.target);
        }
        *self.served.entry(run.digest).or_default() += 1;
        self.record_event(run.node, run.digest, CrashEvent::EndedWell);
        self.release(number);
    }

    fn crash(&mut self, target: usize) {
        if self.started_at[target] == 0 {
            return;
        }
        self.started_at[target] = 0;
        let affected = self.runs.iter().filter(|(_, run)| run.target == target);
        let mut affected: Vec<RunNumber> = affected.map(|(number, _)| *number).collect();
        affected.sort_unstable();
        for number in affected {
            self.after(1, 8, Step::DetectCrash(number));
        }
        self.after(1500, 4000, Step::Recover(target));
    }

    fn detect_crash(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if run.has_started || run.is_alone {
            let event = CrashEvent::Crashed {
                target: name(run.target),
                born: run.started_at,
                part: run.part(),
                is_cleared: false,
            };
            self.record_event(run.node, run.digest, event);
        }
        if run.digest != HARMFUL {
            // The client retries.
            let at = self.now + self.millis(200, 1500);
            self.schedule_arrival(run.digest, at);
        }
        self.release(number);
    }

    fn release(&mut self, number: RunNumber) {
        self.runs.remove(&number);
        let placer = self.placer;
        self.after(40, 60, Step::Release(placer, number));
    }

    fn record_event(&mut self, node: usize, digest: RequestDigest, event: CrashEvent) {
        let update = CrashUpdate {
            digest: digest.0,
            event,
            age_ms: 0,
        };
        if self.tables[node].apply(self.now, &update) {
            self.forward(node, &[update]);
        }
    }

    /// Forwards updates to some other nodes. An update may be lost, delayed or duplicated.
    fn forward(&mut self, from: usize, updates: &[CrashUpdate]) {
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..NODES);
            let copies = match self.rng.random_range(0..10) {
                0..2 => 0,
                2 => 2,
                _ => 1,
            };
            for _ in 0..if to == from { 0 } else { copies } {
                let latest = if self.rng.random_bool(0.1) { 300 } else { 20 };
                self.after(1, latest, Step::Receive(to, updates.to_vec()));
            }
        }
    }

    fn receive(&mut self, node: usize, updates: &[CrashUpdate]) {
        let mut new = Vec::new();
        for update in updates {
            if self.tables[node].apply(self.now, update) {
                new.push(update.clone());
            }
        }
        if !new.is_empty() {
            self.forward(node, &new);
        }
    }

    fn sync(&mut self, node: usize) {
        let other = self.rng.random_range(0..NODES);
        if self.tables[node].checksum() != self.tables[other].checksum() {
            for (from, to) in [(node, other), (other, node)] {
                let updates = self.tables[from].snapshot(self.now);
                for update in &updates {
                    self.tables[to].apply(self.now, update);
                }
            }
        }
        self.after(900, 1100, Step::Sync(node));
    }

    /// Restarts a node, which first copies the crashes known to another node.
    fn restart(&mut self, node: usize) {
        let other = (node + 1) % NODES;
        let updates = self.tables[other].snapshot(self.now);
        self.tables[node] = CrashTable::default();
        self.trial_tables[node] = TrialTable::default();
        for update in &updates {
            self.tables[node].apply(self.now, update);
        }
    }

    /// Returns the time between the first and the last refusal of a request.
    fn refusal_duration(&self, digest: RequestDigest) -> Duration {
        let refused = self
            .refused
            .iter()
            .filter(|(refused, _)| *refused == digest);
        let times = refused.map(|(_, at)| *at);
        let (first, last) = (times.clone().min(), times.max());
        last.unwrap_or_default() - first.unwrap_or_default()
    }

    /// Returns how often the harmful request reached a target after the containment delay.
    fn late_sends(&self) -> usize {
        let mut crashed = self.crashed.clone();
        crashed.sort_unstable();
        let Some(third) = crashed.get(2) else {
            return 0;
        };
        let late = self
            .reached
            .iter()
            .filter(|at| **at > *third + CONTAINMENT_DELAY);
        late.count()
    }
}

fn name(target: usize) -> String {
    format!("t{target}")
}

/// Seeds that once refused an innocent request, or a popular one for too long.
const REGRESSION_SEEDS: [u64; 14] = [
    // Crashes next to other suspects were counted as if the request had run alone or had already
    // started.
    14_372_402_438_326_137_893,
    6_484_881_027_872_177_875,
    1_586_381_905_049_127_618,
    2_651_486_753_065_820_717,
    // Groups of targets lost power during its trials there.
    7_902_568_416_951_077_485,
    271_126_933_157_947_261,
    3_614_378_271_385_923_498,
    8_658_378_968_006_626_100,
    14_687_299_887_186_385_428,
    // Another node took over placing and put two suspects on the same target.
    1_689_621_237_185_512_436,
    6_695_831_612_082_954_827,
    // The harmful request reached four more targets after the third crash.
    17_417_513_145_074_839_977,
    // Copies of a popular request were refused.
    16_422_950_088_292_311_734,
    // The harmful request, not a suspect yet, crashed the targets of a popular request on trial.
    5_391_265_586_682_609_493,
];

/// Seeds that still fail, see `KNOWN-RED.txt`.
const OPEN_SEEDS: [u64; 3] = [
    // Groups lost power one after another, and copies of a popular request were not served.
    10_083_475_367_811_742_959,
    7_962_866_413_092_557_749,
    // Two trials of an innocent request in a row ended in a power failure, with nothing else
    // running on the targets.
    1_241_878_917_892_624_351,
];

/// Runs one simulation and returns the violated condition, if any.
fn check_history(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    world.play();
    let late = world.late_sends();
    if late > MAX_LATE_SENDS {
        return Err(format!("{late} late sends, crashes at {:?}", world.crashed));
    }
    let known = [HARMFUL, POPULAR];
    let mut refused = world.refused.iter();
    if let Some(rare) = refused.find(|(digest, _)| !known.contains(digest)) {
        return Err(format!("refused: {rare:?}"));
    }
    let moment = world.refusal_duration(POPULAR);
    if moment > MAX_REFUSAL_SPAN {
        return Err(format!("refused for {moment:?}"));
    }
    // Two of three groups keep running when one loses power, and the harmful request crashes only a
    // few targets.
    let popular = world.served.get(&POPULAR).copied().unwrap_or(0);
    let all = world.served.len();
    if popular < 560 || all < 595 {
        return Err(format!(
            "{popular} of 600 the same, {all} of 601 others served"
        ));
    }
    Ok(())
}

#[test]
fn kept_seeds() {
    for seed in REGRESSION_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

/// Guards against refusing requests that became suspects by power failures; they must be served.
#[test]
fn open_seeds() {
    for seed in OPEN_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::proptest_config(48) })]

    #[test]
    fn bounded_crashes(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed), Ok(()));
    }
}
