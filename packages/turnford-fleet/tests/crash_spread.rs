//! Random histories of many nodes, one request that crashes its targets, and innocent ones beside it.
//!
//! News between nodes is late, lost and doubled; the node that places changes, nodes start anew and
//! know only what another tells them; groups of targets lose power. However it goes, the request
//! reaches at most three targets more, later than three seconds after it has crashed the third, and
//! no request that comes once is refused, and one of which many copies run only
//! for a moment.

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

/// Targets that lose power together.
const GROUP: usize = 4;

/// Nodes that are told of news.
const FANOUT: usize = 3;

/// Length of a history.
const SPAN: Duration = Duration::from_secs(40);

/// Time after the third crash from which sends count.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends that may follow then.
const MORE_LIMIT: usize = 3;

/// Time for which a request of which copies are under way may be refused, where the crashes of others
/// hit two trials of it in a row: one of the copies ends well by then.
const MOMENT: Duration = Duration::from_secs(4);

/// Longest wait of a suspect for another copy of it.
const HOLD: Duration = Duration::from_millis(500);

/// Time to come back after that.
const TRIAL: Duration = Duration::from_secs(1);

const BAD: RequestDigest = RequestDigest([1; 16]);

const POPULAR: RequestDigest = RequestDigest([2; 16]);

type RunNumber = u64;

#[derive(Clone, Debug)]
enum Step {
    /// A client asks a node.
    Arrive(RequestDigest, usize, Moment),
    /// The placing node places a request of another node.
    Place(RequestDigest, usize, Moment),
    /// A request reaches its target.
    Reach(RunNumber),
    /// A target begins to run it.
    Begin(RunNumber),
    /// It ends well, or crashes its target.
    End(RunNumber),
    /// The node of a request finds out that its target ended.
    Find(RunNumber),
    /// The placing node hears that a request ended.
    Release(usize, RunNumber),
    Hear(usize, Vec<CrashUpdate>),
    /// A node compares with another.
    Compare(usize),
    Restart(usize),
    /// Another node places from now on.
    Replace,
    /// A group of targets loses power.
    Power,
    /// A target is back.
    Back(usize),
}

#[derive(Clone, Debug)]
struct Run {
    digest: RequestDigest,
    node: usize,
    target: usize,
    born: u64,
    is_alone: bool,
    has_begun: bool,
}

impl Run {
    fn part(&self) -> CrashPart {
        match (self.is_alone, self.has_begun) {
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
    ledgers: Vec<TrialTable>,
    placer: usize,
    /// Start of each target's process, 0 while it is down.
    born: Vec<u64>,
    runs: HashMap<RunNumber, Run>,
    next: RunNumber,
    /// When the bad request crashed targets, and when it reached some.
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
            ledgers: vec![TrialTable::default(); NODES],
            placer: 0,
            born: vec![1; TARGETS],
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
            self.arrive_at(BAD, at);
        }
        for _ in 0..100 {
            let at = self.millis(3000, 38_000);
            self.arrive_at(BAD, at);
        }
        for _ in 0..600 {
            let at = self.millis(0, 38_000);
            self.arrive_at(POPULAR, at);
        }
        for number in 0..600_u32 {
            let at = self.millis(0, 38_000);
            let mut digest = RequestDigest([3; 16]);
            digest.0[..4].copy_from_slice(&number.to_le_bytes());
            self.arrive_at(digest, at);
        }
        for (step, count) in [(Step::Replace, 3), (Step::Power, 3)] {
            for _ in 0..count {
                let at = self.millis(2000, 36_000);
                self.at(at, step.clone());
            }
        }
        for node in 0..NODES {
            self.at(Duration::from_secs(1), Step::Compare(node));
            if self.rng.random_bool(0.4) {
                let at = self.millis(2000, 36_000);
                self.at(at, Step::Restart(node));
            }
        }
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn arrive_at(&mut self, digest: RequestDigest, at: Moment) {
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
            if at > SPAN {
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
            Step::Find(number) => self.find(number),
            Step::Release(placer, number) => self.ledgers[placer].end(number),
            Step::Hear(node, news) => self.hear(node, &news),
            Step::Compare(node) => self.compare(node),
            Step::Restart(node) => self.restart(node),
            Step::Replace => self.placer = self.rng.random_range(0..NODES),
            Step::Power => {
                let group = self.rng.random_range(0..TARGETS / GROUP);
                for target in group * GROUP..(group + 1) * GROUP {
                    self.crash(target);
                }
            }
            Step::Back(target) => self.born[target] = self.now.as_millis() as u64,
        }
    }

    fn place(&mut self, digest: RequestDigest, node: usize, since: Moment) {
        let placer = self.placer;
        let verdict = self.tables[placer].verdict(self.now, &digest);
        let entry = self.ledgers[placer].admit(self.now, &digest, verdict);
        let (taken, alone) = match entry {
            TrialAdmission::Unrestricted => (Vec::new(), None),
            TrialAdmission::OnTrial { is_alone, taken } => (taken, Some(is_alone)),
            TrialAdmission::Refused(_) => return self.refused.push((digest, self.now)),
            TrialAdmission::Held => return self.hold(digest, node, since),
        };
        let is_free = |target: &usize| {
            self.born[*target] > 0 && !taken.contains(&TargetId::from(name(*target)))
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
            self.ledgers[placer].start(self.next, digest, target, is_alone, ends_by);
        }
        let run = Run {
            digest,
            node,
            target,
            born: self.born[target],
            is_alone: alone == Some(true),
            has_begun: false,
        };
        self.runs.insert(self.next, run);
        self.after(1, 8, Step::Reach(self.next));
    }

    fn hold(&mut self, digest: RequestDigest, node: usize, since: Moment) {
        if self.now.saturating_sub(since) < HOLD {
            self.after(40, 50, Step::Place(digest, node, since));
        } else {
            *self.held.entry(digest).or_default() += 1;
            // Its client is told to come back.
            let at = self.now + TRIAL;
            self.arrive_at(digest, at);
        }
    }

    fn is_there(&self, run: &Run) -> bool {
        self.born[run.target] == run.born
    }

    fn reach(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if !self.is_there(&run) {
            return self.release(number);
        }
        if run.digest == BAD {
            self.reached.push(self.now);
        }
        self.after(20, 300, Step::Begin(number));
    }

    fn begin(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.has_begun = true;
        let is_bad = run.digest == BAD;
        let (from, to) = if is_bad { (20, 150) } else { (200, 1500) };
        self.after(from, to, Step::End(number));
    }

    fn end(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if run.digest == BAD {
            self.crashed.push(self.now);
            return self.crash(run.target);
        }
        *self.served.entry(run.digest).or_default() += 1;
        self.note(run.node, run.digest, CrashEvent::EndedWell);
        self.release(number);
    }

    fn crash(&mut self, target: usize) {
        if self.born[target] == 0 {
            return;
        }
        self.born[target] = 0;
        let broken = self.runs.iter().filter(|(_, run)| run.target == target);
        let mut broken: Vec<RunNumber> = broken.map(|(number, _)| *number).collect();
        broken.sort_unstable();
        for number in broken {
            self.after(1, 8, Step::Find(number));
        }
        self.after(1500, 4000, Step::Back(target));
    }

    fn find(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if run.has_begun || run.is_alone {
            let event = CrashEvent::Crashed {
                target: name(run.target),
                born: run.born,
                part: run.part(),
                is_cleared: false,
            };
            self.note(run.node, run.digest, event);
        }
        if run.digest != BAD {
            // Its client comes again.
            let at = self.now + self.millis(200, 1500);
            self.arrive_at(run.digest, at);
        }
        self.release(number);
    }

    fn release(&mut self, number: RunNumber) {
        self.runs.remove(&number);
        let placer = self.placer;
        self.after(40, 60, Step::Release(placer, number));
    }

    fn note(&mut self, node: usize, digest: RequestDigest, event: CrashEvent) {
        let news = CrashUpdate {
            digest: digest.0,
            event,
            age_ms: 0,
        };
        if self.tables[node].apply(self.now, &news) {
            self.tell(node, &[news]);
        }
    }

    /// Tells some other nodes; what they hear may be lost, late or doubled.
    fn tell(&mut self, from: usize, news: &[CrashUpdate]) {
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..NODES);
            let copies = match self.rng.random_range(0..10) {
                0..2 => 0,
                2 => 2,
                _ => 1,
            };
            for _ in 0..if to == from { 0 } else { copies } {
                let latest = if self.rng.random_bool(0.1) { 300 } else { 20 };
                self.after(1, latest, Step::Hear(to, news.to_vec()));
            }
        }
    }

    fn hear(&mut self, node: usize, news: &[CrashUpdate]) {
        let mut new = Vec::new();
        for news in news {
            if self.tables[node].apply(self.now, news) {
                new.push(news.clone());
            }
        }
        if !new.is_empty() {
            self.tell(node, &new);
        }
    }

    fn compare(&mut self, node: usize) {
        let other = self.rng.random_range(0..NODES);
        if self.tables[node].checksum() != self.tables[other].checksum() {
            for (from, to) in [(node, other), (other, node)] {
                let news = self.tables[from].snapshot(self.now);
                for news in &news {
                    self.tables[to].apply(self.now, news);
                }
            }
        }
        self.after(900, 1100, Step::Compare(node));
    }

    /// Starts a node anew; it asks another one before it takes requests.
    fn restart(&mut self, node: usize) {
        let other = (node + 1) % NODES;
        let news = self.tables[other].snapshot(self.now);
        self.tables[node] = CrashTable::default();
        self.ledgers[node] = TrialTable::default();
        for news in &news {
            self.tables[node].apply(self.now, news);
        }
    }

    /// Returns the time between the first and the last refusal of a request.
    fn refusal_span(&self, digest: RequestDigest) -> Duration {
        let refused = self
            .refused
            .iter()
            .filter(|(refused, _)| *refused == digest);
        let times = refused.map(|(_, at)| *at);
        let (first, last) = (times.clone().min(), times.max());
        last.unwrap_or_default() - first.unwrap_or_default()
    }

    /// Returns how often the bad request reached targets later than it may.
    fn late_sends(&self) -> usize {
        let mut crashed = self.crashed.clone();
        crashed.sort_unstable();
        let Some(third) = crashed.get(2) else {
            return 0;
        };
        let late = self.reached.iter().filter(|at| **at > *third + CONTACT);
        late.count()
    }
}

fn name(target: usize) -> String {
    format!("t{target}")
}

/// Seeds in which an innocent request was refused once, or a popular one for more than a moment.
const KEPT_SEEDS: [u64; 14] = [
    // Crashes beside other suspects counted as if it had been alone, or before it had begun.
    14_372_402_438_326_137_893,
    6_484_881_027_872_177_875,
    1_586_381_905_049_127_618,
    2_651_486_753_065_820_717,
    // Groups of targets lost power while it was on trial there.
    7_902_568_416_951_077_485,
    271_126_933_157_947_261,
    3_614_378_271_385_923_498,
    8_658_378_968_006_626_100,
    14_687_299_887_186_385_428,
    // Another node began to place, and put two suspects at the same target.
    1_689_621_237_185_512_436,
    6_695_831_612_082_954_827,
    // The bad request reached four targets more after the third crash.
    17_417_513_145_074_839_977,
    // Copies of a popular request were refused.
    16_422_950_088_292_311_734,
    // The bad request, not yet a suspect, crashed the targets of a popular one on trial.
    5_391_265_586_682_609_493,
];

/// Seeds that still fail.
const OPEN_SEEDS: [u64; 3] = [
    // Groups lost power one after the other, and copies of a popular request stayed unserved.
    10_083_475_367_811_742_959,
    7_962_866_413_092_557_749,
    // Two trials in a row of an innocent request ended by a loss of power, nothing else running there.
    1_241_878_917_892_624_351,
];

/// Returns what a history shows that must not be.
fn check_history(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    world.play();
    let late = world.late_sends();
    if late > MORE_LIMIT {
        return Err(format!("{late} sends more, crashes at {:?}", world.crashed));
    }
    let known = [BAD, POPULAR];
    let mut refused = world.refused.iter();
    if let Some(rare) = refused.find(|(digest, _)| !known.contains(digest)) {
        return Err(format!("refused: {rare:?}"));
    }
    let moment = world.refusal_span(POPULAR);
    if moment > MOMENT {
        return Err(format!("refused for {moment:?}"));
    }
    // Two of three groups stay when one loses power, and the bad request ends few targets.
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
    for seed in KEPT_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

/// Guards against requests that losses of power make suspects: they are served, and not refused.
#[test]
fn open_seeds() {
    for seed in OPEN_SEEDS {
        assert_eq!(check_history(seed), Ok(()), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(Config { max_shrink_iters: 0, ..common::histories(48) })]

    #[test]
    fn bounded_crashes(seed in any::<u64>()) {
        prop_assert_eq!(check_history(seed), Ok(()));
    }
}
