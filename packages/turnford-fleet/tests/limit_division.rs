//! Randomised simulation of a limit shared by nodes that stop, restart and lose contact with each
//! other.
//!
//! The check is made at the target: within any four seconds it must not receive more than 1.5 times
//! its limit plus five calls. Only calls of nodes count that were informed of the limit and were
//! not recently restarted, suspended or disconnected.

mod common;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use turnford_fleet::AllocationRole;
use turnford_fleet::AllocatorElection;
use turnford_fleet::AllocatorId;
use turnford_fleet::HolderStatus;
use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_fleet::PermitPurpose;
use turnford_fleet::PERMIT_LIFETIME;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;
use turnford_policy::LimitTable;
use turnford_policy::Moment;
use turnford_policy::TargetId;

use common::proptest_config;

/// Length of the checked windows, and time until the limit is known to all nodes.
const WINDOW: Duration = Duration::from_secs(4);
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time after a node first received the signal from which it counts as informed.
const INFORMED_DELAY: Duration = Duration::from_millis(500);

/// Time for which calls of a node are excused after a fault.
const EXCUSE_PERIOD: Duration = Duration::from_secs(3);

/// Same values as in the nodes: maximum wait for a reply, and time for which an unresponsive node
/// gets no work.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
const DOWN_PERIOD: Duration = Duration::from_secs(3);
const ALIVE_TIMEOUT: Duration = Duration::from_millis(250);
const UNCONFIRMED_DELAY: Duration = Duration::from_millis(40);
const CONTACT_PERIOD: Duration = Duration::from_millis(200);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

const LIMITED_FROM: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(25);

const TARGET: &str = "t";

/// Messages between nodes.
#[derive(Clone, Debug)]
enum Message {
    Request(u64, Option<LimitTerm>, LimitState),
    Answer(u64, Answer),
    Update(LimitTerm, Vec<LimitEntry>),
    Sync(Option<LimitTerm>),
    Observed(LimitSignal, Duration, Duration, Option<LimitTerm>),
    Alive,
    IsAlive,
}

#[derive(Clone, Debug)]
enum Answer {
    Granted,
    Wait(Duration),
    Elsewhere(LimitTerm),
    Refused,
}

#[derive(Clone, Debug)]
enum Event {
    Request,
    Arrive(usize, usize, u64, Message),
    Timeout(usize, u64, u64),
    AliveTimeout(usize, u64, usize, Moment),
    AtTarget(usize, Moment),
    CallDone(usize, u64, LimitSignal, Moment),
    Tick(usize, u64),
    Fault,
    Start(usize),
}

/// A permit request whose reply is pending.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    requested_at: Moment,
    to: usize,
    attempts: u32,
}

struct Node {
    process: u64,
    is_up: bool,
    is_stopping: bool,
    suspended_until: Moment,
    disconnected_until: Moment,
    election: AllocatorElection,
    table: LimitTable,
    down: BTreeMap<usize, Moment>,
    last_contacts: BTreeMap<usize, Moment>,
    pending: BTreeMap<u64, PendingRequest>,
    /// Number of this node's next permit request, unique across its restarts.
    next_request: u64,
    informed_at: Option<Moment>,
    /// Time until which calls are excused because of faults of this node.
    excused_until: Moment,
    is_denied_until: Moment,
}

fn allocator_id(number: usize, process: u64) -> AllocatorId {
    AllocatorId {
        name: format!("node-{number}"),
        process_start: process,
        work_address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
    }
}

fn number_of(id: &AllocatorId) -> usize {
    usize::from(id.work_address.port() - 7000)
}

struct World {
    now: Moment,
    rng: SmallRng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    rate: f64,
    demand: f64,
    has_faults: bool,
    /// Calls that reached the target: time, sending node, and whether they count.
    arrivals: Vec<(Moment, usize, bool)>,
}

impl World {
    fn new(seed: u64, has_faults: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(2..=8);
        let rate = [0.5, 1.0, 3.0, 10.0, 40.0][rng.random_range(0..5)];
        let mut world = Self {
            now: Moment::ZERO,
            rng,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rate,
            demand: rate * 3.0 + 10.0,
            has_faults,
            arrivals: Vec::new(),
        };
        for number in 0..count {
            let id = allocator_id(number, 1);
            world.nodes.push(Node {
                process: 1,
                is_up: true,
                is_stopping: false,
                suspended_until: Moment::ZERO,
                disconnected_until: Moment::ZERO,
                election: AllocatorElection::new(id),
                table: LimitTable::default(),
                down: BTreeMap::new(),
                last_contacts: BTreeMap::new(),
                pending: BTreeMap::new(),
                next_request: 0,
                informed_at: None,
                excused_until: Moment::ZERO,
                is_denied_until: Moment::ZERO,
            });
            let first = world.random_duration(0.0, 1.0);
            world.schedule(first, Event::Tick(number, 1));
        }
        world.schedule(Duration::ZERO, Event::Request);
        if has_faults {
            world.schedule(Duration::from_secs(3), Event::Fault);
        }
        world
    }

    fn random_duration(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(from..to))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((self.now + after, self.next_event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > END {
                return;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("a planned event");
            self.step(event);
        }
    }

    fn signal(&self) -> LimitSignal {
        if self.now < LIMITED_FROM {
            LimitSignal::Unlimited
        } else {
            LimitSignal::Rate(self.rate)
        }
    }

    /// Postpones an event of a suspended node. Returns true if the event must not be handled now.
    fn is_suspended(&mut self, node: usize, event: &Event) -> bool {
        let until = self.nodes[node].suspended_until;
        if until <= self.now {
            return false;
        }
        self.schedule(until - self.now, event.clone());
        true
    }

    fn step(&mut self, event: Event) {
        match &event {
            Event::Request => self.request(),
            Event::Arrive(_, to, process, _) => {
                let (to, process) = (*to, *process);
                if self.nodes[to].process == process && !self.is_suspended(to, &event) {
                    let Event::Arrive(from, to, _, message) = event else {
                        return;
                    };
                    self.receive(from, to, message);
                }
            }
            Event::Timeout(node, process, request) => {
                let (node, process, request) = (*node, *process, *request);
                if self.nodes[node].process == process && !self.is_suspended(node, &event) {
                    if let Some(pending) = self.nodes[node].pending.remove(&request) {
                        self.nodes[node]
                            .down
                            .insert(pending.to, self.now + DOWN_PERIOD);
                        self.request_permit(node, pending.attempts + 1);
                    }
                }
            }
            Event::AliveTimeout(node, process, other, requested_at) => {
                let (node, process, other, requested_at) = (*node, *process, *other, *requested_at);
                if self.nodes[node].process == process && !self.is_suspended(node, &event) {
                    let last_contact = self.nodes[node].last_contacts.get(&other);
                    if last_contact.is_none_or(|last_contact| *last_contact < requested_at) {
                        self.nodes[node].down.insert(other, self.now + DOWN_PERIOD);
                    }
                }
            }
            Event::AtTarget(node, sent) => self.at_target(*node, *sent),
            Event::CallDone(node, process, signal, sent) => {
                let (node, process, signal, sent) = (*node, *process, *signal, *sent);
                if self.nodes[node].process == process && !self.is_suspended(node, &event) {
                    self.call_done(node, signal, sent);
                }
            }
            Event::Tick(node, process) => {
                let (node, process) = (*node, *process);
                if self.nodes[node].process == process && !self.is_suspended(node, &event) {
                    self.tick(node);
                }
            }
            Event::Fault => self.inject_fault(),
            Event::Start(node) => self.start(*node),
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let pause = self.random_duration(0.0, 2.0 / self.demand);
        self.schedule(pause, Event::Request);
        let now = self.now;
        let state = &self.nodes[node];
        if !state.is_up || state.suspended_until > now {
            return;
        }
        if self.nodes[node].table.try_acquire(now, TARGET) {
            self.send_call(node);
        } else if self.nodes[node].is_denied_until <= now && self.nodes[node].pending.is_empty() {
            self.request_permit(node, 0);
        }
    }

    fn send_call(&mut self, node: usize) {
        let delay = self.random_duration(0.0005, 0.004);
        self.schedule(delay, Event::AtTarget(node, self.now));
    }

    fn at_target(&mut self, node: usize, sent: Moment) {
        let state = &self.nodes[node];
        let is_informed = state
            .informed_at
            .is_some_and(|at| at + INFORMED_DELAY <= self.now);
        let counts = is_informed && state.excused_until <= self.now;
        self.arrivals.push((self.now, node, counts));
        let work = self.random_duration(0.001, 0.3);
        let event = Event::CallDone(node, self.nodes[node].process, self.signal(), sent);
        self.schedule(work, event);
    }

    fn call_done(&mut self, node: usize, signal: LimitSignal, sent_at: Moment) {
        let now = self.now;
        if signal.rate().is_some() {
            self.nodes[node].informed_at.get_or_insert(now);
        }
        let observation = LimitObservation {
            signal,
            sent_at,
            received_at: now,
        };
        let target: TargetId = TARGET.into();
        if self.nodes[node]
            .table
            .observe(&target, 0, observation)
            .is_some()
        {
            self.report_signal(node, observation);
        }
    }

    /// Reports the signal of a response to the allocator.
    fn report_signal(&mut self, node: usize, observation: LimitObservation) {
        let term = self.nodes[node].election.term().cloned();
        match self.allocator_for(node) {
            None => self.record_signal(node, observation, term),
            Some(to) => {
                let sent = self.now - observation.sent_at;
                let message = Message::Observed(
                    observation.signal,
                    sent,
                    self.now - observation.received_at,
                    term,
                );
                self.send(node, to, message);
            }
        }
    }

    fn record_signal(
        &mut self,
        node: usize,
        observation: LimitObservation,
        term: Option<LimitTerm>,
    ) {
        let now = self.now;
        if !matches!(
            self.enter(node, term.as_ref()),
            AllocationRole::Allocates { .. }
        ) {
            return;
        }
        let target: TargetId = TARGET.into();
        if let Some(allocator) = self.nodes[node].election.allocator() {
            allocator.observe(now, &target, 0, observation);
        }
        self.publish(node, false);
    }

    /// Announces changed entries of the allocator to other nodes.
    fn publish(&mut self, node: usize, is_new: bool) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let Some(allocator) = state.election.allocator() else {
            return;
        };
        let updates = allocator.take_updates(now);
        let entries = allocator.entries();
        if is_new || !updates.is_empty() {
            self.take_entries(node, &entries);
            self.forward(node, entries);
        }
    }

    fn forward(&mut self, node: usize, entries: Vec<LimitEntry>) {
        let Some(term) = self.nodes[node].election.term().cloned() else {
            return;
        };
        for to in self.random_others(node, 6) {
            self.send(node, to, Message::Update(term.clone(), entries.clone()));
        }
    }

    /// Returns up to `count` other nodes in random order.
    fn random_others(&mut self, node: usize, count: usize) -> Vec<usize> {
        let mut random_others: Vec<usize> =
            (0..self.nodes.len()).filter(|to| *to != node).collect();
        random_others.shuffle(&mut self.rng);
        random_others.truncate(count);
        random_others
    }

    fn take_entries(&mut self, node: usize, entries: &[LimitEntry]) -> bool {
        let now = self.now;
        let mut is_new = false;
        for entry in entries {
            let target: TargetId = entry.target.as_str().into();
            let table = &mut self.nodes[node].table;
            is_new |= table.apply(now, &target, 0, entry.sequence, entry.state);
        }
        is_new
    }

    fn enter(&mut self, node: usize, pending: Option<&LimitTerm>) -> AllocationRole {
        let now = self.now;
        let random_others = self.nodes.len();
        let state = &mut self.nodes[node];
        let known = state.table.limited();
        let (down, last_contacts) = (&state.down, &state.last_contacts);
        let status = |holder: &AllocatorId| {
            let holder = number_of(holder);
            if down.get(&holder).is_some_and(|until| *until > now) {
                return HolderStatus::Unreachable;
            }
            match last_contacts.get(&holder) {
                Some(at) if now - *at < CONTACT_PERIOD => HolderStatus::Reachable,
                _ => HolderStatus::Unknown,
            }
        };
        let role = state.election.resolve(now, pending, status, known);
        let down = state.down.values().filter(|until| **until > now).count();
        if let Some(allocator) = state.election.allocator() {
            allocator.set_reaches_half(random_others - down >= down);
        }
        if role == (AllocationRole::Allocates { is_new: true }) {
            self.nodes[node].table.reset_sequences();
            self.publish(node, true);
        }
        if let AllocationRole::Unconfirmed(term) = &role {
            let holder = number_of(&term.holder);
            let process = self.nodes[node].process;
            self.send(node, holder, Message::Alive);
            let silent = Event::AliveTimeout(node, process, holder, now);
            self.schedule(ALIVE_TIMEOUT, silent);
        }
        role
    }

    /// Returns the node to ask for permits: the last known allocator if it responds, otherwise the
    /// first responsive node by name. `None` means this node itself.
    fn allocator_for(&mut self, node: usize) -> Option<usize> {
        let now = self.now;
        let state = &self.nodes[node];
        let is_down = |other: usize| state.down.get(&other).is_some_and(|until| *until > now);
        let holder = state.election.term().map(|term| number_of(&term.holder));
        if let Some(holder) = holder.filter(|holder| !is_down(*holder)) {
            let is_own = holder == node;
            if !(is_own && state.is_stopping) {
                return (!is_own).then_some(holder);
            }
        }
        let mut left = (0..self.nodes.len()).filter(|other| {
            let is_stopping_self = *other == node && state.is_stopping;
            !is_down(*other) && !is_stopping_self
        });
        left.next().filter(|other| *other != node)
    }

    fn request_permit(&mut self, node: usize, attempts: u32) {
        if attempts >= 4 || !self.nodes[node].is_up {
            return;
        }
        let term = self.nodes[node].election.term().cloned();
        match self.allocator_for(node) {
            None => {
                if let AllocationRole::Allocates { .. } = self.enter(node, term.as_ref()) {
                    let known = self.nodes[node].table.state(TARGET);
                    let answer = self.grant(node, known);
                    self.take_answer(node, self.now, answer, attempts);
                }
            }
            Some(to) => {
                let state = &mut self.nodes[node];
                state.next_request += 1;
                let (number, process) = (state.next_request, state.process);
                let pending = PendingRequest {
                    requested_at: self.now,
                    to,
                    attempts,
                };
                state.pending.insert(number, pending);
                let known = self.nodes[node].table.state(TARGET);
                self.send(node, to, Message::Request(number, term, known));
                self.schedule(REQUEST_TIMEOUT, Event::Timeout(node, process, number));
            }
        }
    }

    fn grant(&mut self, node: usize, known: LimitState) -> Answer {
        let now = self.now;
        let allocator = self.nodes[node].election.allocator();
        let taken = allocator.map(|allocator| {
            allocator.adopt(now, &TARGET.into(), 0, known);
            allocator.take(now, TARGET, PermitPurpose::Work)
        });
        match taken {
            Some(Ok(())) => Answer::Granted,
            Some(Err(wait)) => Answer::Wait(wait),
            None => Answer::Refused,
        }
    }

    fn take_answer(&mut self, node: usize, requested_at: Moment, answer: Answer, attempts: u32) {
        let now = self.now;
        match answer {
            Answer::Granted => {
                self.nodes[node]
                    .table
                    .add_permit(TARGET, requested_at + PERMIT_LIFETIME);
                if self.nodes[node].table.try_acquire(now, TARGET) {
                    self.send_call(node);
                }
            }
            Answer::Wait(wait) => self.nodes[node].is_denied_until = now + wait,
            Answer::Elsewhere(term) => {
                self.observe_term(node, &term);
                self.nodes[node].down.remove(&number_of(&term.holder));
                self.request_permit(node, attempts + 1);
            }
            Answer::Refused => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_disconnected = |node: &Node| node.disconnected_until > self.now;
        if is_disconnected(&self.nodes[from])
            || is_disconnected(&self.nodes[to])
            || !self.nodes[to].is_up
        {
            return;
        }
        let is_faulty = self.has_faults && self.rng.random_bool(0.02);
        if is_faulty && self.rng.random_bool(0.5) {
            return;
        }
        let copies = if is_faulty { 2 } else { 1 };
        let process = self.nodes[to].process;
        for _ in 0..copies {
            let delay = if self.has_faults && self.rng.random_bool(0.03) {
                self.random_duration(0.02, 0.4)
            } else {
                self.random_duration(0.0005, 0.005)
            };
            self.schedule(delay, Event::Arrive(from, to, process, message.clone()));
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        self.nodes[to].last_contacts.insert(from, self.now);
        match message {
            // A stopping node rejects the message, which is equivalent to no response.
            Message::Alive if self.nodes[to].is_stopping => {}
            Message::Alive => self.send(to, from, Message::IsAlive),
            Message::IsAlive => {}
            Message::Request(number, term, known) => {
                let answer = if self.nodes[to].is_stopping {
                    Answer::Refused
                } else {
                    match self.enter(to, term.as_ref()) {
                        AllocationRole::Allocates { .. } => self.grant(to, known),
                        AllocationRole::Remote(term) => Answer::Elsewhere(term),
                        AllocationRole::Unconfirmed(_) => Answer::Wait(UNCONFIRMED_DELAY),
                    }
                };
                self.send(to, from, Message::Answer(number, answer));
            }
            Message::Answer(number, answer) => {
                let Some(pending) = self.nodes[to].pending.remove(&number) else {
                    return;
                };
                if matches!(answer, Answer::Refused) {
                    self.nodes[to].down.insert(from, self.now + DOWN_PERIOD);
                    self.request_permit(to, pending.attempts + 1);
                } else {
                    self.take_answer(to, pending.requested_at, answer, pending.attempts);
                }
            }
            Message::Update(term, entries) => {
                let is_later = self.observe_term(to, &term);
                let is_of_term = self.nodes[to].election.term() == Some(&term);
                if is_of_term && (self.take_entries(to, &entries) || is_later) {
                    self.forward(to, entries);
                }
            }
            Message::Sync(term) => {
                let own = self.nodes[to].election.term().cloned();
                if own >= term {
                    if let Some(own) = own {
                        let entries = self.known_entries(to);
                        self.send(to, from, Message::Update(own, entries));
                    }
                } else {
                    self.send(to, from, Message::Sync(own));
                }
            }
            Message::Observed(signal, sent, received, term) => {
                let observation = LimitObservation {
                    signal,
                    sent_at: self.now.saturating_sub(sent + Duration::from_millis(300)),
                    received_at: self.now.saturating_sub(received),
                };
                self.record_signal(to, observation, term);
            }
        }
    }

    fn observe_term(&mut self, node: usize, term: &LimitTerm) -> bool {
        let state = &mut self.nodes[node];
        let is_later = state.election.observe_term(term);
        if is_later {
            state.table.reset_sequences();
            state.down.remove(&number_of(&term.holder));
        }
        is_later
    }

    fn known_entries(&self, node: usize) -> Vec<LimitEntry> {
        let known_entries = self.nodes[node].table.announced();
        let entries = known_entries.map(|(target, process_start, sequence, state)| LimitEntry {
            target: target.to_string(),
            process_start,
            sequence,
            state,
        });
        entries.collect()
    }

    fn tick(&mut self, node: usize) {
        let process = self.nodes[node].process;
        self.schedule(SYNC_INTERVAL, Event::Tick(node, process));
        self.publish(node, false);
        let is_allocator = self.nodes[node].election.allocator().is_some();
        let term = self.nodes[node].election.term().cloned();
        for to in self.random_others(node, if is_allocator { 3 } else { 1 }) {
            self.send(node, to, Message::Sync(term.clone()));
        }
    }

    /// Injects a fault into a random node, preferably into an allocator.
    fn inject_fault(&mut self) {
        let pause = self.random_duration(0.3, 4.0);
        self.schedule(pause, Event::Fault);
        let count = self.nodes.len();
        let allocators: Vec<usize> = (0..count)
            .filter(|node| self.nodes[*node].election.allocator().is_some())
            .collect();
        let mut node = self.rng.random_range(0..count);
        if !allocators.is_empty() && self.rng.random_bool(0.7) {
            node = allocators[self.rng.random_range(0..allocators.len())];
        }
        if !self.nodes[node].is_up {
            return;
        }
        let now = self.now;
        let duration = self.random_duration(0.1, 5.0);
        match self.rng.random_range(0..4) {
            0 => {
                self.nodes[node].is_up = false;
                self.nodes[node].process += 1;
                self.schedule(duration, Event::Start(node));
                self.extend_excuse(node, duration);
            }
            1 => {
                self.nodes[node].suspended_until = now + duration;
                self.extend_excuse(node, duration);
            }
            2 => {
                self.nodes[node].disconnected_until = now + duration;
                self.extend_excuse(node, duration);
            }
            _ => {
                self.nodes[node].is_stopping = true;
                self.extend_excuse(node, duration + Duration::from_secs(8));
                self.schedule(duration, Event::Start(node));
            }
        }
    }

    fn extend_excuse(&mut self, node: usize, duration: Duration) {
        let until = self.now + duration + EXCUSE_PERIOD;
        let state = &mut self.nodes[node];
        state.excused_until = state.excused_until.max(until);
    }

    fn start(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.process += 1;
        state.is_up = true;
        state.is_stopping = false;
        state.election = AllocatorElection::new(allocator_id(node, state.process));
        state.table = LimitTable::default();
        state.down.clear();
        state.last_contacts.clear();
        state.pending.clear();
        state.informed_at = None;
        state.is_denied_until = Moment::ZERO;
        let process = state.process;
        self.schedule(Duration::from_millis(10), Event::Tick(node, process));
        self.extend_excuse(node, Duration::ZERO);
    }

    /// Returns the maximum number of counted calls in one window.
    fn worst_window(&self) -> usize {
        let from = LIMITED_FROM + PROPAGATION_TIME;
        let counted = self.arrivals.iter().filter(|call| call.2 && call.0 >= from);
        let times: Vec<Moment> = counted.map(|call| call.0).collect();
        let windows = times.iter().enumerate().map(|(first, begin)| {
            let later = times[first..].iter();
            later.take_while(|at| **at < *begin + WINDOW).count()
        });
        windows.max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (1.5 * self.rate * WINDOW.as_secs_f64()) as usize + 5
    }

    fn calls_between(&self, from: Moment, until: Moment) -> usize {
        let calls = self.arrivals.iter();
        calls
            .filter(|call| call.0 >= from && call.0 < until)
            .count()
    }
}

proptest! {
    #![proptest_config(proptest_config(400))]

    /// Nodes crash, are suspended, stop or are disconnected, and messages are lost, delayed or
    /// duplicated.
    #[test]
    fn never_passed(seed in any::<u64>()) {
        let mut world = World::new(seed, true);
        world.run();
        let (worst, allowed) = (world.worst_window(), world.allowed());
        prop_assert!(worst <= allowed, "{worst} of {allowed} at {} a second", world.rate);
    }

    /// Guards against three faults seen with these seeds. An allocator without knowledge of the
    /// limit granted freely, for 17 calls where 11 were allowed. Two nodes that found each other
    /// lost took over in turn 32 times within a second, for 254 calls of 245. Two nodes
    /// disconnected from each other did not learn for six seconds after reconnecting that both were
    /// allocating, for 66 calls of 65.
    #[test]
    fn kept_histories(seed in prop::sample::select(vec![4_362_024_295_571_138_951, 4_878_542_274_769_856_509, 5_449_463_183_319_889_085_u64])) {
        let mut world = World::new(seed, true);
        world.run();
        prop_assert!(world.worst_window() <= world.allowed());
    }

    /// Without faults, the nodes together use the full limit and do not exceed it.
    #[test]
    fn calm_fleet(seed in any::<u64>()) {
        let mut world = World::new(seed, false);
        world.run();
        let from = LIMITED_FROM + PROPAGATION_TIME;
        let duration = (END - from).as_secs_f64();
        let calls = world.calls_between(from, END) as f64;
        // Allows for one burst, and for permits granted before the interval and used within it.
        let most = world.rate * (duration + PERMIT_LIFETIME.as_secs_f64()) + 2.0;
        let least = 0.8 * world.rate * duration;
        prop_assert!(calls <= most, "{calls} of {most} at {} a second", world.rate);
        prop_assert!(calls >= least.floor(), "{calls} of {least} at {} a second", world.rate);
    }
}
