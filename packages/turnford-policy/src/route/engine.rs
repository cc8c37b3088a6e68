//! Model engines as the node sees them that places requests for all: what each still has to read,
//! what it runs, and which parts of prompts it keeps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::prefill_queue::ReadQueue;
use super::LatencyModel;
use super::ProcessStart;
use super::PromptAffinity;
use super::PromptSegment;
use super::TargetSpec;
use super::TargetTable;

/// Number of a placed request.
pub type RunTicket = u64;

/// Tokens whose reading is thought to take [`START_SPAN`] before a first prompt was read.
const START_TOKENS: f64 = 2000.0;

/// Span of reading [`START_TOKENS`] at the start.
const START_SPAN: Duration = Duration::from_millis(100);

/// Span until the first event of a prompt that is kept whole, at the start.
const START_LAG: Duration = Duration::from_millis(15);

/// How far the first event was from what was expected, at the start.
const START_MISS: Duration = Duration::from_millis(60);

/// Weight of the newest first event in the average of how far they were from what was expected.
const MISS_WEIGHT: f64 = 0.05;

/// Cost of a request that is late for sure, in seconds.
const LATE_COST: f64 = 1.0;

/// Price of reading a token of a shared part anew, in seconds, beside the time that it takes.
const SHARED_PRICE: f64 = 2.0 / 32_000.0;

/// Time that one more running request adds to another's, in seconds.
const RUN_COST: f64 = 0.004;

/// Cost of a megabyte of inputs that crosses halls, in seconds.
const MOVE_COST: f64 = 0.05;

/// Cost of a target that is not the prompt's home, in seconds, so that equal ones are not equal.
const AWAY_COST: f64 = 0.004;

/// Part of an engine's memory that running requests may take before others are preempted.
const MEMORY_PART: f64 = 0.9;

/// Cost of an engine whose memory would run over, in seconds.
const MEMORY_COST: f64 = 4.0;

/// Time after which a placed request that nothing was heard of is forgotten, beyond its deadline.
const FORGET_SPAN: Duration = Duration::from_secs(2);

/// What the placement of a request depends on.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Parts of the prompt, the most shared one first, the request's own last.
    pub segments: Vec<PromptSegment>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Longest answer, in tokens.
    pub max_output_tokens: u64,
    /// Bytes of its inputs in each hall.
    pub inputs: Vec<(Arc<str>, u64)>,
    /// Targets that it was sent to before.
    pub tried: Vec<TargetId>,
    /// When its first event should come for it to be in time.
    pub due: Moment,
    /// When the request ends at the latest.
    pub deadline: Moment,
}

impl PlacementRequest {
    /// Returns the memory that the request takes, in tokens.
    fn memory(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// A request that runs at an engine.
#[derive(Clone, Debug)]
struct EngineRun {
    target: TargetId,
    /// Start of the target's process.
    born: ProcessStart,
    memory: u64,
    has_begun: bool,
    placed: Moment,
    /// When its first event was expected.
    expected: Moment,
    forget_at: Moment,
}

/// A part that an engine keeps.
#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u64,
    used: Moment,
}

/// One engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    /// Start of its process.
    born: ProcessStart,
    reading: ReadQueue,
    /// Requests that it reads or runs.
    runs: usize,
    memory: u64,
    kept: HashMap<u64, KeptPart>,
    kept_tokens: u64,
}

impl EngineState {
    /// Returns the tokens to read anew: of shared parts, and of the request's own.
    fn missing(&self, need: &PlacementRequest) -> (u64, u64) {
        let Some((own, shared)) = need.segments.split_last() else {
            return (0, need.prompt_tokens);
        };
        let mut is_kept = true;
        let mut missing = 0;
        for part in shared {
            is_kept = is_kept && self.kept.contains_key(&part.id);
            if !is_kept {
                missing += part.tokens;
            }
        }
        (missing, own.tokens)
    }

    fn keep(&mut self, now: Moment, part: &PromptSegment) {
        let kept = KeptPart {
            tokens: part.tokens,
            used: now,
        };
        if let Some(old) = self.kept.insert(part.id, kept) {
            self.kept_tokens -= old.tokens;
        }
        self.kept_tokens += part.tokens;
    }

    /// Drops the parts unused the longest until the others fit beside what runs.
    fn evict(&mut self, capacity: u64) {
        while self.kept_tokens + self.memory > capacity {
            let oldest = self.kept.iter().min_by_key(|(_, part)| part.used);
            let Some((&id, &part)) = oldest else {
                return;
            };
            self.kept.remove(&id);
            self.kept_tokens -= part.tokens;
        }
    }
}

/// The engines of one service.
#[derive(Clone, Debug)]
pub struct EngineScheduler {
    /// Memory of one engine, in tokens.
    capacity: u64,
    /// Span until the first event by the tokens that are read.
    read_line: LatencyModel,
    /// How far first events were from what was expected, on average.
    miss: Duration,
    engines: BTreeMap<TargetId, EngineState>,
    runs: HashMap<RunTicket, EngineRun>,
    next_ticket: RunTicket,
}

impl Default for EngineScheduler {
    fn default() -> Self {
        Self {
            capacity: 0,
            read_line: LatencyModel::new(START_LAG, START_TOKENS, START_LAG + START_SPAN),
            miss: START_MISS,
            engines: BTreeMap::new(),
            runs: HashMap::new(),
            next_ticket: 0,
        }
    }
}

impl EngineScheduler {
    /// Sets the memory of one engine, in tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Forgets engines that are gone or started again.
    pub fn retain_listed(&mut self, board: &TargetTable) {
        let is_same = |id: &TargetId, engine: &EngineState| {
            let listed = board.get(id);
            listed.is_some_and(|listed| listed.process_start == engine.born)
        };
        self.engines.retain(|id, engine| is_same(id, engine));
    }

    /// Places a request, and notes that it runs there.
    pub fn place(
        &mut self,
        now: Moment,
        board: &TargetTable,
        need: &PlacementRequest,
    ) -> Option<(TargetSpec, RunTicket)> {
        self.forget_late(now);
        let home = PromptAffinity::new(
            &need.segments,
            board.open_targets().map(|target| &target.id),
        );
        let cost = |target: &TargetSpec, _: f64| {
            let slowness = board.slowness(now, &target.id);
            self.cost(now, target, need, &home, slowness)
        };
        let chosen = board.choose(now, &need.tried, cost)?;
        let slowness = board.slowness(now, &chosen.id);
        let ticket = self.start(now, &chosen, need, slowness);
        Some((chosen, ticket))
    }

    /// Returns the cost of an engine for a request, in seconds.
    fn cost(
        &self,
        now: Moment,
        target: &TargetSpec,
        need: &PlacementRequest,
        home: &PromptAffinity,
        slowness: f64,
    ) -> f64 {
        let unknown = EngineState::default();
        let engine = self.engines.get(&target.id).unwrap_or(&unknown);
        let (shared, own) = engine.missing(need);
        let span = first_span(now, &self.read_line, engine, shared + own, slowness);
        let read = span.as_secs_f64();
        let price = shared as f64 * SHARED_PRICE;
        let late = self.late_chance(now + span, need.due) * LATE_COST;
        let all: u64 = need.inputs.iter().map(|(_, bytes)| bytes).sum();
        let near = need.inputs.iter().find(|(hall, _)| *hall == target.hall);
        let foreign = all - near.map_or(0, |(_, bytes)| *bytes);
        let moving = foreign as f64 / 1e6 * MOVE_COST;
        let limit = self.capacity as f64 * MEMORY_PART;
        let is_over = (engine.memory + need.memory()) as f64 > limit;
        let memory = if is_over { MEMORY_COST } else { 0.0 };
        let away = if home.is_preferred(&target.id) {
            0.0
        } else {
            AWAY_COST
        };
        read + late + price + moving + memory + away + engine.runs as f64 * RUN_COST
    }

    /// Returns the chance that a first event which is expected at a moment comes after it is due, from
    /// 0 to 1.
    fn late_chance(&self, expected: Moment, due: Moment) -> f64 {
        let late = expected.as_secs_f64() - due.as_secs_f64();
        1.0 / (1.0 + (-late / self.miss.as_secs_f64().max(0.001)).exp())
    }

    fn start(
        &mut self,
        now: Moment,
        target: &TargetSpec,
        need: &PlacementRequest,
        slowness: f64,
    ) -> RunTicket {
        self.next_ticket += 1;
        let engine = self.engines.entry(target.id.clone()).or_default();
        if engine.born != target.process_start {
            *engine = EngineState {
                born: target.process_start,
                ..EngineState::default()
            };
        }
        let (shared, own) = engine.missing(need);
        let tokens = shared + own;
        let span = first_span(now, &self.read_line, engine, tokens, slowness);
        engine.reading.push(now, self.next_ticket, tokens);
        engine.runs += 1;
        engine.memory += need.memory();
        for part in need.segments.iter().rev().skip(1) {
            engine.keep(now, part);
        }
        engine.evict(self.capacity);
        let run = EngineRun {
            target: target.id.clone(),
            born: target.process_start,
            memory: need.memory(),
            has_begun: false,
            placed: now,
            expected: now + span,
            forget_at: need.deadline + FORGET_SPAN,
        };
        self.runs.insert(self.next_ticket, run);
        self.next_ticket
    }

    /// Notes that a placed request has its first event, so long after it was placed: its prompt is
    /// read. Returns its span against what was expected, where it tells of its engine's speed.
    pub fn record_first_event(&mut self, ticket: RunTicket, span: Duration) -> Option<f64> {
        let run = self.runs.get_mut(&ticket)?;
        if std::mem::replace(&mut run.has_begun, true) {
            return None;
        }
        let came = run.placed + span;
        let missed = came.abs_diff(run.expected);
        self.miss = self.miss.mul_f64(1.0 - MISS_WEIGHT) + missed.mul_f64(MISS_WEIGHT);
        let engine = self.engines.get_mut(&run.target)?;
        let sample = engine.reading.finish(came, ticket)?;
        let tokens = sample.tokens as f64;
        let lag = if sample.was_idle {
            Duration::ZERO
        } else {
            self.read_line.base()
        };
        let span = sample.span + lag;
        let expected = self.read_line.predict(tokens);
        self.read_line.observe(tokens, span);
        let is_telling = expected > self.read_line.base() * 2;
        is_telling.then(|| span.as_secs_f64() / expected.as_secs_f64())
    }

    /// Returns the target of a placed request.
    pub fn target_of(&self, ticket: RunTicket) -> Option<&TargetId> {
        self.runs.get(&ticket).map(|run| &run.target)
    }

    /// Notes that a placed request ended, however it did.
    pub fn record_end(&mut self, ticket: RunTicket) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        let engine = self.engines.get_mut(&run.target);
        if let Some(engine) = engine.filter(|engine| engine.born == run.born) {
            engine.reading.remove(ticket);
            engine.runs = engine.runs.saturating_sub(1);
            engine.memory = engine.memory.saturating_sub(run.memory);
        }
    }

    /// Forgets requests whose node did not tell their end.
    fn forget_late(&mut self, now: Moment) {
        let late = self.runs.iter().filter(|(_, run)| run.forget_at <= now);
        let late: Vec<RunTicket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.record_end(ticket);
        }
    }
}

/// Returns the span until the first event of a request that has so many tokens to be read at an engine.
fn first_span(
    now: Moment,
    line: &LatencyModel,
    engine: &EngineState,
    tokens: u64,
    slowness: f64,
) -> Duration {
    let wait = engine.reading.wait(now, line, slowness);
    wait + line.predict(tokens as f64).mul_f64(slowness)
}
