//! Placement of requests on inference engines, at the node that places for all: the prefill queue,
//! the running requests and the cached prompt segments of each engine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::prefill_queue::PrefillQueue;
use super::LatencyModel;
use super::ProcessStart;
use super::PromptAffinity;
use super::PromptSegment;
use super::TargetSpec;
use super::TargetTable;

/// Id of a placed request.
pub type RunTicket = u64;

/// Number of prompt tokens that [`INITIAL_PREFILL`] is assumed for before anything is measured.
const INITIAL_TOKENS: f64 = 2000.0;

/// Assumed prefill time of [`INITIAL_TOKENS`] before anything is measured.
const INITIAL_PREFILL: Duration = Duration::from_millis(100);

/// Assumed time to the first event of a fully cached prompt before anything is measured.
const INITIAL_LATENCY: Duration = Duration::from_millis(15);

/// Assumed error of forecasts of the first event before anything is measured.
const INITIAL_ERROR: Duration = Duration::from_millis(60);

/// Weight of the newest sample in the moving average of the forecast error.
const ERROR_WEIGHT: f64 = 0.05;

/// Cost of a request that is certainly late, in seconds.
const LATE_COST: f64 = 1.0;

/// Cost per token of prefilling an uncached shared segment, in seconds, on top of the time that it
/// takes.
const SHARED_TOKEN_COST: f64 = 2.0 / 32_000.0;

/// Time that each running request adds to the others, in seconds.
const RUN_COST: f64 = 0.004;

/// Cost per megabyte of inputs that are transferred between halls, in seconds.
const TRANSFER_COST: f64 = 0.05;

/// Cost of a target without affinity for the prompt, in seconds, as a tie-breaker.
const NO_AFFINITY_COST: f64 = 0.004;

/// Share of an engine's memory that running requests may use before some are preempted.
const MEMORY_THRESHOLD: f64 = 0.9;

/// Cost of exceeding an engine's memory, in seconds.
const MEMORY_COST: f64 = 4.0;

/// Time after its deadline at which a placed request is dropped if its end was not reported.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Segments of the prompt, the most widely shared one first and the request's own last.
    pub segments: Vec<PromptSegment>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u64,
    /// Bytes of the request's inputs in each hall.
    pub inputs: Vec<(Arc<str>, u64)>,
    /// Targets that the request was sent to before.
    pub tried: Vec<TargetId>,
    /// When the first event is due for the request to be in time.
    pub due: Moment,
    /// When the request ends at the latest.
    pub deadline: Moment,
}

impl PlacementRequest {
    /// Returns the memory that the request needs, in tokens.
    fn memory(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// A request placed on an engine.
#[derive(Clone, Debug)]
struct EngineRun {
    target: TargetId,
    /// Start of the target's process.
    process_start: ProcessStart,
    memory: u64,
    has_first_event: bool,
    placed_at: Moment,
    /// When the first event was expected.
    expected_at: Moment,
    expires_at: Moment,
}

/// A cached prompt segment.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u64,
    last_used: Moment,
}

/// State of one engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    /// Start of its process.
    process_start: ProcessStart,
    prefills: PrefillQueue,
    /// Number of placed requests that have not ended.
    runs: usize,
    memory: u64,
    cache: HashMap<u64, CachedSegment>,
    cached_tokens: u64,
}

impl EngineState {
    /// Returns the uncached tokens of shared segments, and the tokens of the request's own segment.
    fn uncached_tokens(&self, request: &PlacementRequest) -> (u64, u64) {
        let Some((own, shared)) = request.segments.split_last() else {
            return (0, request.prompt_tokens);
        };
        let mut is_cached = true;
        let mut uncached = 0;
        for segment in shared {
            is_cached = is_cached && self.cache.contains_key(&segment.id);
            if !is_cached {
                uncached += segment.tokens;
            }
        }
        (uncached, own.tokens)
    }

    fn insert_cached(&mut self, now: Moment, segment: &PromptSegment) {
        let cached = CachedSegment {
            tokens: segment.tokens,
            last_used: now,
        };
        if let Some(old) = self.cache.insert(segment.id, cached) {
            self.cached_tokens -= old.tokens;
        }
        self.cached_tokens += segment.tokens;
    }

    /// Evicts the least recently used segments until the rest fits beside the running requests.
    fn evict(&mut self, capacity: u64) {
        while self.cached_tokens + self.memory > capacity {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, segment)| segment.last_used);
            let Some((&id, &segment)) = oldest else {
                return;
            };
            self.cache.remove(&id);
            self.cached_tokens -= segment.tokens;
        }
    }
}

/// The engines of one service, and the requests placed on them.
#[derive(Clone, Debug)]
pub struct EngineScheduler {
    /// Memory of one engine, in tokens.
    capacity: u64,
    /// Time to the first event by the number of tokens to prefill.
    prefill_model: LatencyModel,
    /// Moving average of the error of first event forecasts.
    forecast_error: Duration,
    engines: BTreeMap<TargetId, EngineState>,
    runs: HashMap<RunTicket, EngineRun>,
    next_ticket: RunTicket,
}

impl Default for EngineScheduler {
    fn default() -> Self {
        Self {
            capacity: 0,
            prefill_model: LatencyModel::new(
                INITIAL_LATENCY,
                INITIAL_TOKENS,
                INITIAL_LATENCY + INITIAL_PREFILL,
            ),
            forecast_error: INITIAL_ERROR,
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

    /// Removes engines that are no longer listed or whose process restarted.
    pub fn retain_listed(&mut self, table: &TargetTable) {
        let is_same = |id: &TargetId, engine: &EngineState| {
            let listed = table.get(id);
            listed.is_some_and(|listed| listed.process_start == engine.process_start)
        };
        self.engines.retain(|id, engine| is_same(id, engine));
    }

    /// Places a request on the engine with the lowest cost, and records it there. Returns `None` if
    /// no target is left.
    pub fn place(
        &mut self,
        now: Moment,
        table: &TargetTable,
        request: &PlacementRequest,
    ) -> Option<(TargetSpec, RunTicket)> {
        self.remove_expired(now);
        let affinity = PromptAffinity::new(
            &request.segments,
            table.open_targets().map(|target| &target.id),
        );
        let cost = |target: &TargetSpec, _: f64| {
            let slowness = table.slowness(now, &target.id);
            self.cost(now, target, request, &affinity, slowness)
        };
        let chosen = table.choose(now, &request.tried, cost)?;
        let slowness = table.slowness(now, &chosen.id);
        let ticket = self.start(now, &chosen, request, slowness);
        Some((chosen, ticket))
    }

    /// Returns the cost of placing a request on an engine, in seconds.
    fn cost(
        &self,
        now: Moment,
        target: &TargetSpec,
        request: &PlacementRequest,
        affinity: &PromptAffinity,
        slowness: f64,
    ) -> f64 {
        let unknown = EngineState::default();
        let engine = self.engines.get(&target.id).unwrap_or(&unknown);
        let (shared, own) = engine.uncached_tokens(request);
        let latency = time_to_first_event(now, &self.prefill_model, engine, shared + own, slowness);
        let prefill = latency.as_secs_f64();
        let caching = shared as f64 * SHARED_TOKEN_COST;
        let late = self.late_probability(now + latency, request.due) * LATE_COST;
        let all: u64 = request.inputs.iter().map(|(_, bytes)| bytes).sum();
        let local = request.inputs.iter().find(|(hall, _)| *hall == target.hall);
        let remote = all - local.map_or(0, |(_, bytes)| *bytes);
        let transfer = remote as f64 / 1e6 * TRANSFER_COST;
        let limit = self.capacity as f64 * MEMORY_THRESHOLD;
        let is_over = (engine.memory + request.memory()) as f64 > limit;
        let memory = if is_over { MEMORY_COST } else { 0.0 };
        let no_affinity = if affinity.is_preferred(&target.id) {
            0.0
        } else {
            NO_AFFINITY_COST
        };
        prefill + late + caching + transfer + memory + no_affinity + engine.runs as f64 * RUN_COST
    }

    /// Returns the probability that a first event expected at a moment comes after it is due.
    fn late_probability(&self, expected_at: Moment, due: Moment) -> f64 {
        let lateness = expected_at.as_secs_f64() - due.as_secs_f64();
        1.0 / (1.0 + (-lateness / self.forecast_error.as_secs_f64().max(0.001)).exp())
    }

    fn start(
        &mut self,
        now: Moment,
        target: &TargetSpec,
        request: &PlacementRequest,
        slowness: f64,
    ) -> RunTicket {
        self.next_ticket += 1;
        let engine = self.engines.entry(target.id.clone()).or_default();
        if engine.process_start != target.process_start {
            *engine = EngineState {
                process_start: target.process_start,
                ..EngineState::default()
            };
        }
        let (shared, own) = engine.uncached_tokens(request);
        let tokens = shared + own;
        let latency = time_to_first_event(now, &self.prefill_model, engine, tokens, slowness);
        engine.prefills.push(now, self.next_ticket, tokens);
        engine.runs += 1;
        engine.memory += request.memory();
        for segment in request.segments.iter().rev().skip(1) {
            engine.insert_cached(now, segment);
        }
        engine.evict(self.capacity);
        let run = EngineRun {
            target: target.id.clone(),
            process_start: target.process_start,
            memory: request.memory(),
            has_first_event: false,
            placed_at: now,
            expected_at: now + latency,
            expires_at: request.deadline + EXPIRY_GRACE,
        };
        self.runs.insert(self.next_ticket, run);
        self.next_ticket
    }

    /// Records that the first event of a placed request came at this time after its placement,
    /// which ends the prefill. Returns the duration relative to the expected one if it is
    /// significant for the engine's speed.
    pub fn record_first_event(&mut self, ticket: RunTicket, duration: Duration) -> Option<f64> {
        let run = self.runs.get_mut(&ticket)?;
        if std::mem::replace(&mut run.has_first_event, true) {
            return None;
        }
        let event_at = run.placed_at + duration;
        let error = event_at.abs_diff(run.expected_at);
        self.forecast_error =
            self.forecast_error.mul_f64(1.0 - ERROR_WEIGHT) + error.mul_f64(ERROR_WEIGHT);
        let engine = self.engines.get_mut(&run.target)?;
        let sample = engine.prefills.finish(event_at, ticket)?;
        let tokens = sample.tokens as f64;
        let base = if sample.was_idle {
            Duration::ZERO
        } else {
            self.prefill_model.base()
        };
        let duration = sample.duration + base;
        let expected = self.prefill_model.predict(tokens);
        self.prefill_model.observe(tokens, duration);
        let is_significant = expected > self.prefill_model.base() * 2;
        is_significant.then(|| duration.as_secs_f64() / expected.as_secs_f64())
    }

    /// Returns the target of a placed request.
    pub fn target_of(&self, ticket: RunTicket) -> Option<&TargetId> {
        self.runs.get(&ticket).map(|run| &run.target)
    }

    /// Records that a placed request ended, with any outcome.
    pub fn record_end(&mut self, ticket: RunTicket) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        let engine = self.engines.get_mut(&run.target);
        if let Some(engine) = engine.filter(|engine| engine.process_start == run.process_start) {
            engine.prefills.remove(ticket);
            engine.runs = engine.runs.saturating_sub(1);
            engine.memory = engine.memory.saturating_sub(run.memory);
        }
    }

    /// Removes requests whose node did not report their end.
    fn remove_expired(&mut self, now: Moment) {
        let expired = self.runs.iter().filter(|(_, run)| run.expires_at <= now);
        let expired: Vec<RunTicket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.record_end(ticket);
        }
    }
}

/// Returns the time to the first event of a request with this number of tokens to prefill.
fn time_to_first_event(
    now: Moment,
    model: &LatencyModel,
    engine: &EngineState,
    tokens: u64,
    slowness: f64,
) -> Duration {
    let wait = engine.prefills.wait(now, model, slowness);
    wait + model.predict(tokens as f64).mul_f64(slowness)
}
