//! A limit is divided among nodes that stop, start and lose each other, under random histories.
//!
//! The check is the target's own: no four seconds bring it more than half as much again as its limit, and
//! five calls, of nodes that it told and that were not restarted, frozen or cut off.

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

use common::histories;

/// Windows of the check, and the time in which a limit becomes known.
const WINDOW: Duration = Duration::from_secs(4);
const NOTICE: Duration = Duration::from_secs(3);

/// Time after a node passed on a word from which on it counts as told.
const TOLD_SPAN: Duration = Duration::from_millis(500);

/// Time for which a fault of a node excuses what it sends.
const EXCUSE: Duration = Duration::from_secs(3);

/// As in the nodes: longest wait for an answer, time for which a silent node gets no work.
const ASK_LIMIT: Duration = Duration::from_millis(120);
const DOWN_SPAN: Duration = Duration::from_secs(3);
const ALIVE_LIMIT: Duration = Duration::from_millis(250);
const DOUBT_PAUSE: Duration = Duration::from_millis(40);
const HEARD_SPAN: Duration = Duration::from_millis(200);
const SYNC_PAUSE: Duration = Duration::from_secs(1);

const NAMED_AT: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(25);

const TARGET: &str = "t";

/// What the nodes do to each other.
#[derive(Clone, Debug)]
enum Message {
    Ask(u64, Option<LimitTerm>, LimitState),
    Answer(u64, Answer),
    News(LimitTerm, Vec<LimitEntry>),
    Sync(Option<LimitTerm>),
    Heard(LimitSignal, Duration, Duration, Option<LimitTerm>),
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
    Late(usize, u64, u64),
    Silent(usize, u64, usize, Moment),
    AtTarget(usize, Moment),
    Answered(usize, u64, LimitSignal, Moment),
    Tick(usize, u64),
    Fault,
    Start(usize),
}

/// A request of a node that waits for the answer to its ask.
#[derive(Clone, Copy, Debug)]
struct Asked {
    asked_at: Moment,
    to: usize,
    tries: u32,
}

struct Node {
    process: u64,
    is_up: bool,
    is_stopping: bool,
    frozen_until: Moment,
    cut_until: Moment,
    division: AllocatorElection,
    board: LimitTable,
    down: BTreeMap<usize, Moment>,
    heard: BTreeMap<usize, Moment>,
    asked: BTreeMap<u64, Asked>,
    /// Number of this node's next ask, unique over its processes.
    next_ask: u64,
    told_at: Option<Moment>,
    /// Until when faults of this node excuse it.
    excused_until: Moment,
    is_denied_until: Moment,
}

fn divider_id(number: usize, process: u64) -> AllocatorId {
    AllocatorId {
        name: format!("node-{number}"),
        process,
        work: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
    }
}

fn number_of(id: &AllocatorId) -> usize {
    usize::from(id.work.port() - 7000)
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
    /// Calls that reached the target: when, of which node, and whether they count.
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
            let id = divider_id(number, 1);
            world.nodes.push(Node {
                process: 1,
                is_up: true,
                is_stopping: false,
                frozen_until: Moment::ZERO,
                cut_until: Moment::ZERO,
                division: AllocatorElection::new(id),
                board: LimitTable::default(),
                down: BTreeMap::new(),
                heard: BTreeMap::new(),
                asked: BTreeMap::new(),
                next_ask: 0,
                told_at: None,
                excused_until: Moment::ZERO,
                is_denied_until: Moment::ZERO,
            });
            let first = world.span(0.0, 1.0);
            world.plan(first, Event::Tick(number, 1));
        }
        world.plan(Duration::ZERO, Event::Request);
        if has_faults {
            world.plan(Duration::from_secs(3), Event::Fault);
        }
        world
    }

    fn span(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(from..to))
    }

    fn plan(&mut self, after: Duration, event: Event) {
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

    fn word(&self) -> LimitSignal {
        if self.now < NAMED_AT {
            LimitSignal::Unlimited
        } else {
            LimitSignal::Rate(self.rate)
        }
    }

    /// Puts off what a frozen node would do; true if it does nothing now.
    fn is_frozen(&mut self, node: usize, event: &Event) -> bool {
        let until = self.nodes[node].frozen_until;
        if until <= self.now {
            return false;
        }
        self.plan(until - self.now, event.clone());
        true
    }

    fn step(&mut self, event: Event) {
        match &event {
            Event::Request => self.request(),
            Event::Arrive(_, to, process, _) => {
                let (to, process) = (*to, *process);
                if self.nodes[to].process == process && !self.is_frozen(to, &event) {
                    let Event::Arrive(from, to, _, message) = event else {
                        return;
                    };
                    self.receive(from, to, message);
                }
            }
            Event::Late(node, process, ask) => {
                let (node, process, ask) = (*node, *process, *ask);
                if self.nodes[node].process == process && !self.is_frozen(node, &event) {
                    if let Some(asked) = self.nodes[node].asked.remove(&ask) {
                        self.nodes[node].down.insert(asked.to, self.now + DOWN_SPAN);
                        self.ask(node, asked.tries + 1);
                    }
                }
            }
            Event::Silent(node, process, other, asked_at) => {
                let (node, process, other, asked_at) = (*node, *process, *other, *asked_at);
                if self.nodes[node].process == process && !self.is_frozen(node, &event) {
                    let heard = self.nodes[node].heard.get(&other);
                    if heard.is_none_or(|heard| *heard < asked_at) {
                        self.nodes[node].down.insert(other, self.now + DOWN_SPAN);
                    }
                }
            }
            Event::AtTarget(node, sent) => self.at_target(*node, *sent),
            Event::Answered(node, process, word, sent) => {
                let (node, process, word, sent) = (*node, *process, *word, *sent);
                if self.nodes[node].process == process && !self.is_frozen(node, &event) {
                    self.answered(node, word, sent);
                }
            }
            Event::Tick(node, process) => {
                let (node, process) = (*node, *process);
                if self.nodes[node].process == process && !self.is_frozen(node, &event) {
                    self.tick(node);
                }
            }
            Event::Fault => self.fault(),
            Event::Start(node) => self.start(*node),
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let pause = self.span(0.0, 2.0 / self.demand);
        self.plan(pause, Event::Request);
        let now = self.now;
        let state = &self.nodes[node];
        if !state.is_up || state.frozen_until > now {
            return;
        }
        if self.nodes[node].board.try_acquire(now, TARGET) {
            self.send_call(node);
        } else if self.nodes[node].is_denied_until <= now && self.nodes[node].asked.is_empty() {
            self.ask(node, 0);
        }
    }

    fn send_call(&mut self, node: usize) {
        let way = self.span(0.0005, 0.004);
        self.plan(way, Event::AtTarget(node, self.now));
    }

    fn at_target(&mut self, node: usize, sent: Moment) {
        let state = &self.nodes[node];
        let is_told = state.told_at.is_some_and(|at| at + TOLD_SPAN <= self.now);
        let counts = is_told && state.excused_until <= self.now;
        self.arrivals.push((self.now, node, counts));
        let work = self.span(0.001, 0.3);
        let event = Event::Answered(node, self.nodes[node].process, self.word(), sent);
        self.plan(work, event);
    }

    fn answered(&mut self, node: usize, signal: LimitSignal, sent_at: Moment) {
        let now = self.now;
        if signal.rate().is_some() {
            self.nodes[node].told_at.get_or_insert(now);
        }
        let heard = LimitObservation {
            signal,
            sent_at,
            received_at: now,
        };
        let target: TargetId = TARGET.into();
        if self.nodes[node].board.observe(&target, 0, heard).is_some() {
            self.report(node, heard);
        }
    }

    /// Tells the node that divides what an answer said.
    fn report(&mut self, node: usize, heard: LimitObservation) {
        let term = self.nodes[node].division.term().cloned();
        match self.doer(node) {
            None => self.note_word(node, heard, term),
            Some(to) => {
                let sent = self.now - heard.sent_at;
                let message =
                    Message::Heard(heard.signal, sent, self.now - heard.received_at, term);
                self.send(node, to, message);
            }
        }
    }

    fn note_word(&mut self, node: usize, heard: LimitObservation, term: Option<LimitTerm>) {
        let now = self.now;
        if !matches!(
            self.enter(node, term.as_ref()),
            AllocationRole::Allocates { .. }
        ) {
            return;
        }
        let target: TargetId = TARGET.into();
        if let Some(divider) = self.nodes[node].division.allocator() {
            divider.observe(now, &target, 0, heard);
        }
        self.publish(node, false);
    }

    /// Tells the others what the divider says anew.
    fn publish(&mut self, node: usize, is_new: bool) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let Some(divider) = state.division.allocator() else {
            return;
        };
        let news = divider.take_updates(now);
        let entries = divider.entries();
        if is_new || !news.is_empty() {
            self.take_entries(node, &entries);
            self.tell(node, entries);
        }
    }

    fn tell(&mut self, node: usize, entries: Vec<LimitEntry>) {
        let Some(term) = self.nodes[node].division.term().cloned() else {
            return;
        };
        for to in self.others(node, 6) {
            self.send(node, to, Message::News(term.clone(), entries.clone()));
        }
    }

    /// Returns so many other nodes, drawn anew each time.
    fn others(&mut self, node: usize, count: usize) -> Vec<usize> {
        let mut others: Vec<usize> = (0..self.nodes.len()).filter(|to| *to != node).collect();
        others.shuffle(&mut self.rng);
        others.truncate(count);
        others
    }

    fn take_entries(&mut self, node: usize, entries: &[LimitEntry]) -> bool {
        let now = self.now;
        let mut is_new = false;
        for entry in entries {
            let target: TargetId = entry.target.as_str().into();
            let board = &mut self.nodes[node].board;
            is_new |= board.apply(now, &target, 0, entry.sequence, entry.state);
        }
        is_new
    }

    fn enter(&mut self, node: usize, asked: Option<&LimitTerm>) -> AllocationRole {
        let now = self.now;
        let others = self.nodes.len();
        let state = &mut self.nodes[node];
        let known = state.board.limited();
        let (down, heard) = (&state.down, &state.heard);
        let sight = |holder: &AllocatorId| {
            let holder = number_of(holder);
            if down.get(&holder).is_some_and(|until| *until > now) {
                return HolderStatus::Unreachable;
            }
            match heard.get(&holder) {
                Some(at) if now - *at < HEARD_SPAN => HolderStatus::Reachable,
                _ => HolderStatus::Unknown,
            }
        };
        let role = state.division.resolve(now, asked, sight, known);
        let down = state.down.values().filter(|until| **until > now).count();
        if let Some(divider) = state.division.allocator() {
            divider.set_reaches_half(others - down >= down);
        }
        if role == (AllocationRole::Allocates { is_new: true }) {
            self.nodes[node].board.reset_sequences();
            self.publish(node, true);
        }
        if let AllocationRole::Unconfirmed(term) = &role {
            let holder = number_of(&term.holder);
            let process = self.nodes[node].process;
            self.send(node, holder, Message::Alive);
            let silent = Event::Silent(node, process, holder, now);
            self.plan(ALIVE_LIMIT, silent);
        }
        role
    }

    /// Returns whom a node asks: the last divider known unless it is silent, or another one by its name.
    fn doer(&mut self, node: usize) -> Option<usize> {
        let now = self.now;
        let state = &self.nodes[node];
        let is_down = |other: usize| state.down.get(&other).is_some_and(|until| *until > now);
        let holder = state.division.term().map(|term| number_of(&term.holder));
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

    fn ask(&mut self, node: usize, tries: u32) {
        if tries >= 4 || !self.nodes[node].is_up {
            return;
        }
        let term = self.nodes[node].division.term().cloned();
        match self.doer(node) {
            None => {
                if let AllocationRole::Allocates { .. } = self.enter(node, term.as_ref()) {
                    let known = self.nodes[node].board.state(TARGET);
                    let answer = self.grant(node, known);
                    self.take_answer(node, self.now, answer, tries);
                }
            }
            Some(to) => {
                let state = &mut self.nodes[node];
                state.next_ask += 1;
                let (number, process) = (state.next_ask, state.process);
                let asked = Asked {
                    asked_at: self.now,
                    to,
                    tries,
                };
                state.asked.insert(number, asked);
                let known = self.nodes[node].board.state(TARGET);
                self.send(node, to, Message::Ask(number, term, known));
                self.plan(ASK_LIMIT, Event::Late(node, process, number));
            }
        }
    }

    fn grant(&mut self, node: usize, known: LimitState) -> Answer {
        let now = self.now;
        let divider = self.nodes[node].division.allocator();
        let taken = divider.map(|divider| {
            divider.adopt(now, &TARGET.into(), 0, known);
            divider.take(now, TARGET, PermitPurpose::Work)
        });
        match taken {
            Some(Ok(())) => Answer::Granted,
            Some(Err(wait)) => Answer::Wait(wait),
            None => Answer::Refused,
        }
    }

    fn take_answer(&mut self, node: usize, asked_at: Moment, answer: Answer, tries: u32) {
        let now = self.now;
        match answer {
            Answer::Granted => {
                self.nodes[node]
                    .board
                    .add_permit(TARGET, asked_at + PERMIT_LIFETIME);
                if self.nodes[node].board.try_acquire(now, TARGET) {
                    self.send_call(node);
                }
            }
            Answer::Wait(wait) => self.nodes[node].is_denied_until = now + wait,
            Answer::Elsewhere(term) => {
                self.note_term(node, &term);
                self.nodes[node].down.remove(&number_of(&term.holder));
                self.ask(node, tries + 1);
            }
            Answer::Refused => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = |node: &Node| node.cut_until > self.now;
        if is_cut(&self.nodes[from]) || is_cut(&self.nodes[to]) || !self.nodes[to].is_up {
            return;
        }
        let is_faulty = self.has_faults && self.rng.random_bool(0.02);
        if is_faulty && self.rng.random_bool(0.5) {
            return;
        }
        let copies = if is_faulty { 2 } else { 1 };
        let process = self.nodes[to].process;
        for _ in 0..copies {
            let way = if self.has_faults && self.rng.random_bool(0.03) {
                self.span(0.02, 0.4)
            } else {
                self.span(0.0005, 0.005)
            };
            self.plan(way, Event::Arrive(from, to, process, message.clone()));
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        self.nodes[to].heard.insert(from, self.now);
        match message {
            // One that stops refuses it, which tells as much as its silence.
            Message::Alive if self.nodes[to].is_stopping => {}
            Message::Alive => self.send(to, from, Message::IsAlive),
            Message::IsAlive => {}
            Message::Ask(number, term, known) => {
                let answer = if self.nodes[to].is_stopping {
                    Answer::Refused
                } else {
                    match self.enter(to, term.as_ref()) {
                        AllocationRole::Allocates { .. } => self.grant(to, known),
                        AllocationRole::Remote(term) => Answer::Elsewhere(term),
                        AllocationRole::Unconfirmed(_) => Answer::Wait(DOUBT_PAUSE),
                    }
                };
                self.send(to, from, Message::Answer(number, answer));
            }
            Message::Answer(number, answer) => {
                let Some(asked) = self.nodes[to].asked.remove(&number) else {
                    return;
                };
                if matches!(answer, Answer::Refused) {
                    self.nodes[to].down.insert(from, self.now + DOWN_SPAN);
                    self.ask(to, asked.tries + 1);
                } else {
                    self.take_answer(to, asked.asked_at, answer, asked.tries);
                }
            }
            Message::News(term, entries) => {
                let is_later = self.note_term(to, &term);
                let is_of_term = self.nodes[to].division.term() == Some(&term);
                if is_of_term && (self.take_entries(to, &entries) || is_later) {
                    self.tell(to, entries);
                }
            }
            Message::Sync(term) => {
                let own = self.nodes[to].division.term().cloned();
                if own >= term {
                    if let Some(own) = own {
                        let entries = self.told(to);
                        self.send(to, from, Message::News(own, entries));
                    }
                } else {
                    self.send(to, from, Message::Sync(own));
                }
            }
            Message::Heard(signal, sent, heard, term) => {
                let heard = LimitObservation {
                    signal,
                    sent_at: self.now.saturating_sub(sent + Duration::from_millis(300)),
                    received_at: self.now.saturating_sub(heard),
                };
                self.note_word(to, heard, term);
            }
        }
    }

    fn note_term(&mut self, node: usize, term: &LimitTerm) -> bool {
        let state = &mut self.nodes[node];
        let is_later = state.division.observe_term(term);
        if is_later {
            state.board.reset_sequences();
            state.down.remove(&number_of(&term.holder));
        }
        is_later
    }

    fn told(&self, node: usize) -> Vec<LimitEntry> {
        let told = self.nodes[node].board.announced();
        let entries = told.map(|(target, born, sequence, state)| LimitEntry {
            target: target.to_string(),
            born,
            sequence,
            state,
        });
        entries.collect()
    }

    fn tick(&mut self, node: usize) {
        let process = self.nodes[node].process;
        self.plan(SYNC_PAUSE, Event::Tick(node, process));
        self.publish(node, false);
        let divides = self.nodes[node].division.allocator().is_some();
        let term = self.nodes[node].division.term().cloned();
        for to in self.others(node, if divides { 3 } else { 1 }) {
            self.send(node, to, Message::Sync(term.clone()));
        }
    }

    /// Lets something happen to a node, most often to one that divides.
    fn fault(&mut self) {
        let pause = self.span(0.3, 4.0);
        self.plan(pause, Event::Fault);
        let count = self.nodes.len();
        let dividers: Vec<usize> = (0..count)
            .filter(|node| self.nodes[*node].division.allocator().is_some())
            .collect();
        let mut node = self.rng.random_range(0..count);
        if !dividers.is_empty() && self.rng.random_bool(0.7) {
            node = dividers[self.rng.random_range(0..dividers.len())];
        }
        if !self.nodes[node].is_up {
            return;
        }
        let now = self.now;
        let span = self.span(0.1, 5.0);
        match self.rng.random_range(0..4) {
            0 => {
                self.nodes[node].is_up = false;
                self.nodes[node].process += 1;
                self.plan(span, Event::Start(node));
                self.excuse(node, span);
            }
            1 => {
                self.nodes[node].frozen_until = now + span;
                self.excuse(node, span);
            }
            2 => {
                self.nodes[node].cut_until = now + span;
                self.excuse(node, span);
            }
            _ => {
                self.nodes[node].is_stopping = true;
                self.excuse(node, span + Duration::from_secs(8));
                self.plan(span, Event::Start(node));
            }
        }
    }

    fn excuse(&mut self, node: usize, span: Duration) {
        let until = self.now + span + EXCUSE;
        let state = &mut self.nodes[node];
        state.excused_until = state.excused_until.max(until);
    }

    fn start(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.process += 1;
        state.is_up = true;
        state.is_stopping = false;
        state.division = AllocatorElection::new(divider_id(node, state.process));
        state.board = LimitTable::default();
        state.down.clear();
        state.heard.clear();
        state.asked.clear();
        state.told_at = None;
        state.is_denied_until = Moment::ZERO;
        let process = state.process;
        self.plan(Duration::from_millis(10), Event::Tick(node, process));
        self.excuse(node, Duration::ZERO);
    }

    /// Returns the most calls that count in one window.
    fn worst_window(&self) -> usize {
        let from = NAMED_AT + NOTICE;
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
    #![proptest_config(histories(400))]

    /// Nodes that end, freeze, stop or are cut off, and messages that are lost, late or doubled.
    #[test]
    fn never_passed(seed in any::<u64>()) {
        let mut world = World::new(seed, true);
        world.run();
        let (worst, allowed) = (world.worst_window(), world.allowed());
        prop_assert!(worst <= allowed, "{worst} of {allowed} at {} a second", world.rate);
    }

    /// A divider that had not heard of the limit granted freely, 17 calls of 11; and two that found each other
    /// lost took over in turn, 32 times in a second, so that 254 calls came of 245. Two that were cut off from
    /// each other did not hear for six seconds after it that both divided, and 66 came of 65.
    #[test]
    fn kept_histories(seed in prop::sample::select(vec![4_362_024_295_571_138_951, 4_878_542_274_769_856_509, 5_449_463_183_319_889_085_u64])) {
        let mut world = World::new(seed, true);
        world.run();
        prop_assert!(world.worst_window() <= world.allowed());
    }

    /// Where nothing goes wrong, what all send together is the limit itself, and it is used.
    #[test]
    fn calm_fleet(seed in any::<u64>()) {
        let mut world = World::new(seed, false);
        world.run();
        let from = NAMED_AT + NOTICE;
        let span = (END - from).as_secs_f64();
        let calls = world.calls_between(from, END) as f64;
        // A burst, and what was granted before and used within.
        let most = world.rate * (span + PERMIT_LIFETIME.as_secs_f64()) + 2.0;
        let least = 0.8 * world.rate * span;
        prop_assert!(calls <= most, "{calls} of {most} at {} a second", world.rate);
        prop_assert!(calls >= least.floor(), "{calls} of {least} at {} a second", world.rate);
    }
}
