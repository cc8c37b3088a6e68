//! Simulation of many nodes and targets under requests of which some crash their targets.
//!
//! Updates between nodes are delayed, lost and duplicated. The placing node changes, nodes restart
//! and only know what another node sends them, and groups of targets lose power.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use turnford_fleet::CrashEvent;
use turnford_fleet::CrashKeys;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::CrashVerdict;
use turnford_fleet::Moment;
use turnford_fleet::SuccessMemory;
use turnford_fleet::TrialAdmission;
use turnford_fleet::TrialTable;
use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

pub(crate) const NODES: usize = 6;

const TARGETS: usize = 12;

/// Number of targets that lose power together.
const GROUP_SIZE: usize = 4;

/// Number of nodes to which an update is forwarded.
const FANOUT: usize = 3;

/// Duration of a run.
const DURATION: Duration = Duration::from_secs(40);

/// Maximum time that a suspect waits for another copy.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay until a client retries after that.
const RETRY_DELAY: Duration = Duration::from_secs(1);

pub(crate) type RunNumber = u64;

#[derive(Clone, Debug)]
pub(crate) enum Step {
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
pub(crate) struct Run {
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

pub(crate) struct World {
    pub(crate) rng: StdRng,
    now: Moment,
    order: u64,
    steps: BinaryHeap<Reverse<(Moment, u64)>>,
    waiting: HashMap<u64, Step>,
    tables: Vec<CrashTable>,
    successes: Vec<SuccessMemory>,
    trial_tables: Vec<TrialTable>,
    placer: usize,
    /// Start of each target's process, or 0 while it is down.
    started_at: Vec<u64>,
    runs: HashMap<RunNumber, Run>,
    next: RunNumber,
    /// Requests that crash their targets.
    pub(crate) harmful: HashSet<RequestDigest>,
    /// Whether harmful requests crash their targets before it shows that they have started to run.
    pub(crate) hides_start: bool,
    /// Keys of requests with followed prompt segments.
    pub(crate) keys: HashMap<RequestDigest, CrashKeys>,
    /// Times at which harmful requests crashed a target, and at which they reached one.
    pub(crate) crashed: Vec<Moment>,
    reached: Vec<Moment>,
    pub(crate) served: HashMap<RequestDigest, usize>,
    held: HashMap<RequestDigest, usize>,
    pub(crate) refused: Vec<(RequestDigest, Moment)>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            order: 0,
            steps: BinaryHeap::new(),
            waiting: HashMap::new(),
            tables: vec![CrashTable::default(); NODES],
            successes: vec![SuccessMemory::default(); NODES],
            trial_tables: vec![TrialTable::default(); NODES],
            placer: 0,
            started_at: vec![1; TARGETS],
            runs: HashMap::new(),
            next: 0,
            harmful: HashSet::new(),
            hides_start: false,
            keys: HashMap::new(),
            crashed: Vec::new(),
            reached: Vec::new(),
            served: HashMap::new(),
            held: HashMap::new(),
            refused: Vec::new(),
        }
    }

    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    pub(crate) fn schedule_arrival(&mut self, digest: RequestDigest, at: Moment) {
        let node = self.rng.random_range(0..NODES);
        self.at(at, Step::Arrive(digest, node, at));
    }

    pub(crate) fn at(&mut self, at: Moment, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order)));
        self.waiting.insert(self.order, step);
    }

    fn after(&mut self, from: u64, to: u64, step: Step) {
        let at = self.now + self.millis(from, to);
        self.at(at, step);
    }

    pub(crate) fn play(&mut self) {
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
                let suspect = self.tables[node].suspect(self.now, &self.keys_of(&digest));
                match suspect.map(|suspect| suspect.verdict) {
                    Some(CrashVerdict::Refused(_)) => self.refused.push((digest, self.now)),
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
        let suspect = self.tables[placer].suspect(self.now, &self.keys_of(&digest));
        let entry = self.trial_tables[placer].admit(self.now, suspect.as_ref());
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
        if let Some((is_alone, suspect)) = alone.zip(suspect) {
            let ends_by = self.now + Duration::from_secs(10);
            let target = Arc::from(name(target));
            self.trial_tables[placer].start(self.next, suspect, target, is_alone, ends_by);
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

    fn keys_of(&self, digest: &RequestDigest) -> CrashKeys {
        let keys = self.keys.get(digest).cloned();
        keys.unwrap_or_else(|| CrashKeys::of_request(*digest))
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
        if self.harmful.contains(&run.digest) {
            self.reached.push(self.now);
        }
        self.after(20, 300, Step::Begin(number));
    }

    fn begin(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let is_harmful = self.harmful.contains(&run.digest);
        run.has_started = !(is_harmful && self.hides_start);
        let (from, to) = if is_harmful { (20, 150) } else { (200, 1500) };
        self.after(from, to, Step::End(number));
    }

    fn end(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if self.harmful.contains(&run.digest) {
            self.crashed.push(self.now);
            return self.crash(run.target);
        }
        *self.served.entry(run.digest).or_default() += 1;
        let keys = self.keys_of(&run.digest);
        let digests = keys.iter().map(|key| key.digest);
        self.successes[run.node].record(self.now, digests);
        let events = keys
            .iter()
            .map(|key| (key.digest, CrashEvent::EndedWell, Duration::ZERO));
        self.record_events(run.node, events.collect());
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
        self.record_crash(&run);
        if !self.harmful.contains(&run.digest) {
            // The client retries.
            let at = self.now + self.millis(200, 1500);
            self.schedule_arrival(run.digest, at);
        }
        self.release(number);
    }

    /// Records a crash for all keys of its request. A trial tests one of them.
    fn record_crash(&mut self, run: &Run) {
        let keys = self.keys_of(&run.digest);
        let tested = self.tables[run.node].tested(self.now, &keys);
        let mut events = Vec::new();
        for key in keys.iter() {
            let part = if tested.contains(&key.digest) {
                run.part()
            } else {
                CrashPart::Shared
            };
            let event = CrashEvent::Crashed {
                target: name(run.target),
                born: run.started_at,
                part,
                is_cleared: false,
            };
            events.push((key.digest, event, Duration::ZERO));
            if let Some(age) = self.successes[run.node].age(self.now, &key.digest) {
                events.push((key.digest, CrashEvent::EndedWell, age));
            }
        }
        self.record_events(run.node, events);
    }

    fn release(&mut self, number: RunNumber) {
        self.runs.remove(&number);
        let placer = self.placer;
        self.after(40, 60, Step::Release(placer, number));
    }

    /// Records the events of one call.
    fn record_events(&mut self, node: usize, events: Vec<(RequestDigest, CrashEvent, Duration)>) {
        let mut new = Vec::new();
        for (digest, event, age) in events {
            let update = CrashUpdate {
                digest: digest.0,
                event,
                age_ms: age.as_millis() as u32,
            };
            if self.tables[node].apply(self.now, &update) {
                new.push(update);
            }
        }
        if !new.is_empty() {
            self.forward(node, &new);
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
        self.successes[node] = SuccessMemory::default();
        for update in &updates {
            self.tables[node].apply(self.now, update);
        }
    }

    /// Returns how often harmful requests reached targets longer than `delay` after a number of crashes.
    pub(crate) fn late_sends(&self, crashes: usize, delay: Duration) -> usize {
        let mut crashed = self.crashed.clone();
        crashed.sort_unstable();
        let Some(last) = crashed.get(crashes - 1) else {
            return 0;
        };
        let late = self.reached.iter().filter(|at| **at > *last + delay);
        late.count()
    }
}

fn name(target: usize) -> String {
    format!("t{target}")
}
