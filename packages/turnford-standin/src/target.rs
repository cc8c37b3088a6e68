//! Stand-in for a target: a model engine, a member of a stage pool or a plain service.

use std::collections::hash_map::DefaultHasher;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::stream;
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde::Deserialize;
use serde_json::json;
use turnford_http::BufferedRequest;
use turnford_http::HttpBody;
use turnford_http::HttpResponse;
use turnford_platform::VmEntry;

use crate::control::json_response;
use crate::journal::mark_of;
use crate::models::ModelTable;
use crate::models::OrderBody;
use crate::models::OrderResult;
use crate::FaultKind;
use crate::FaultTable;
use crate::Journal;
use crate::JournalEntry;
use crate::ServiceSpec;

/// Characters per token.
const TOKEN_CHARS: usize = 4;

/// Characters in the cached prefix of an input.
const PREFIX_CHARS: usize = 64;

/// Ratio of the prompt's processing time that a cached prefix saves.
const PREFIX_SAVING_RATIO: f64 = 0.5;

/// Queued calls per slot above which the target rejects calls as full.
const QUEUE_PER_SLOT: u32 = 4;

/// Number of cache events kept; clients see dropped events as a gap in the numbers.
const EVENT_CAPACITY: usize = 256;

/// Ratio by which a call takes longer if all slots are in use.
const LOAD_SLOWDOWN: f64 = 0.25;

/// Body of a call.
#[derive(Clone, Debug, Deserialize)]
struct RunBody {
    attempt: String,
    input: String,
    max_tokens: u32,
    resume_from: u32,
    stream: bool,
}

/// Prefix cache and its events.
#[derive(Default)]
struct PrefixCache {
    prefixes: VecDeque<u64>,
    events: VecDeque<(u64, u64, bool)>,
    next_event: u64,
}

/// State of one target.
pub(crate) struct TargetService {
    entry: VmEntry,
    spec: ServiceSpec,
    slowness: f64,
    faults: Arc<FaultTable>,
    journal: Arc<Journal>,
    slots: (Sender<()>, Receiver<()>),
    queued: AtomicU32,
    running: AtomicU32,
    report: Mutex<(Instant, u32, u32)>,
    report_lag: Duration,
    cache: Mutex<PrefixCache>,
    model_table: Mutex<ModelTable>,
    rng: Mutex<SmallRng>,
}

/// A slot in use; dropping it frees the slot and writes a journal entry, even if the call was cancelled.
struct SlotGuard {
    service: Arc<TargetService>,
    body: RunBody,
    started: Instant,
    is_complete: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = self.service.slots.1.try_recv();
        self.service.running.fetch_sub(1, Ordering::SeqCst);
        self.service.journal.add(JournalEntry {
            target: self.service.entry.name.clone(),
            service: self.service.entry.service.clone(),
            attempt: self.body.attempt.clone(),
            mark: mark_of(&self.body.input).to_owned(),
            seconds,
            cost: seconds * self.service.entry.cost,
            whole: self.is_complete,
        });
    }
}

/// A position in the queue; dropping it leaves the queue.
struct QueueGuard<'a>(&'a AtomicU32);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl TargetService {
    pub(crate) fn new(
        entry: VmEntry,
        spec: ServiceSpec,
        slowness: f64,
        shared: (Arc<FaultTable>, Arc<Journal>),
        report_lag: Duration,
        seed: u64,
    ) -> Self {
        let slots = async_channel::bounded(spec.slots.max(1) as usize);
        let load_time = Duration::from_millis(spec.load_ms);
        let model_table =
            ModelTable::new(&spec.models, spec.model_room, load_time, spec.checks_orders);
        Self {
            entry,
            spec,
            slowness,
            faults: shared.0,
            journal: shared.1,
            slots,
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            report: Mutex::new((Instant::now(), 0, 0)),
            report_lag,
            cache: Mutex::new(PrefixCache::default()),
            model_table: Mutex::new(model_table),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Handles a call; `None` closes the connection without a response.
    pub(crate) async fn handle(self: Arc<Self>, call: BufferedRequest) -> Option<HttpResponse> {
        if self.fault(FaultKind::Die).is_some() {
            return None;
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/run") => self.run(&call).await,
            ("POST", "/order") => Some(self.order(&call)),
            ("GET", "/report") => Some(self.report_now()),
            ("GET", "/events") => Some(self.events_after(call.query_number("after", 0))),
            _ => Some(HttpResponse::new(StatusCode::NOT_FOUND)),
        }
    }

    async fn run(self: Arc<Self>, call: &BufferedRequest) -> Option<HttpResponse> {
        let Ok(body) = serde_json::from_slice::<RunBody>(&call.body) else {
            return Some(HttpResponse::new(StatusCode::BAD_REQUEST));
        };
        if let Some(answer) = self.faults.script().take(&self.entry.name) {
            let response = answer.response(&body.attempt);
            if answer.runs {
                drop(self.acquire_slot(body).await);
            }
            return Some(response);
        }
        if self.fault(FaultKind::Leave).is_some() {
            return Some(rejection("leaving", &body.attempt));
        }
        if self.fault(FaultKind::FastError).is_some() {
            return Some(HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR));
        }
        let limit = self.spec.slots * QUEUE_PER_SLOT;
        if self.queued.load(Ordering::SeqCst) >= limit {
            return Some(rejection("full", &body.attempt));
        }
        let slot = self.acquire_slot(body).await;
        let (prompt, cached) = self.prompt_time(&slot.body);
        if slot.body.stream {
            return Some(self.stream(slot, prompt, cached));
        }
        let tokens = slot.body.max_tokens;
        let generation = self.token_time() * tokens;
        Timer::after(prompt + generation).await;
        self.finish(slot, cached).await
    }

    async fn finish(&self, mut slot: SlotGuard, cached: u32) -> Option<HttpResponse> {
        if self.fault(FaultKind::Hang).is_some() {
            futures_lite::future::pending::<()>().await;
        }
        if self.fault(FaultKind::Die).is_some() {
            return None;
        }
        if self.fault(FaultKind::Error).is_some() {
            return Some(HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR));
        }
        slot.is_complete = true;
        let body = &slot.body;
        let output = format!("{}({})", self.entry.service, body.input);
        let response_body = json!({
            "attempt": self.response_id(&body.attempt),
            "output": output,
            "tokens": body.max_tokens,
            "cached": cached,
        });
        let mut response = json_response(&response_body);
        if self.fault(FaultKind::Truncate).is_some() {
            let text = response_body.to_string();
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            response.set_body(HttpBody::truncated(half));
            response.insert_header("content-length", text.len().to_string());
            response.insert_header("connection", "close");
        }
        Some(response)
    }

    /// Streams one line per token, and a last line that marks the stream as complete.
    fn stream(self: Arc<Self>, slot: SlotGuard, prompt: Duration, cached: u32) -> HttpResponse {
        let first = slot.body.resume_from;
        let state = (self, slot, first, false);
        let lines = stream::unfold(state, move |(service, mut slot, index, ended)| async move {
            if ended {
                return None;
            }
            let pause = if index == first {
                prompt
            } else {
                service.token_time()
            };
            Timer::after(pause).await;
            if service.fault(FaultKind::Hang).is_some() {
                futures_lite::future::pending::<()>().await;
            }
            if service.fault(FaultKind::Die).is_some() || service.fault(FaultKind::Error).is_some()
            {
                return None;
            }
            let attempt = service.response_id(&slot.body.attempt);
            if index >= slot.body.max_tokens {
                slot.is_complete = true;
                let line = json!({ "attempt": attempt, "done": true, "cached": cached });
                return Some((
                    format!("{line}\n").into_bytes(),
                    (service, slot, index, true),
                ));
            }
            let token = match index {
                0 => format!("{}({}) ", service.entry.service, mark_of(&slot.body.input)),
                _ => format!("t{index} "),
            };
            let line = json!({ "attempt": attempt, "index": index, "token": token });
            Some((
                format!("{line}\n").into_bytes(),
                (service, slot, index + 1, false),
            ))
        });
        let mut response = HttpResponse::new(StatusCode::OK);
        response.set_body(HttpBody::stream(lines));
        response
    }

    async fn acquire_slot(self: &Arc<Self>, body: RunBody) -> SlotGuard {
        self.queued.fetch_add(1, Ordering::SeqCst);
        let queued = QueueGuard(&self.queued);
        let _ = self.slots.0.send(()).await;
        drop(queued);
        self.running.fetch_add(1, Ordering::SeqCst);
        SlotGuard {
            service: self.clone(),
            body,
            started: Instant::now(),
            is_complete: false,
        }
    }

    /// Returns the time until the first token and the number of cached input tokens.
    fn prompt_time(&self, body: &RunBody) -> (Duration, u32) {
        let tokens = (body.input.len() / TOKEN_CHARS) as f64;
        let hit = self.use_prefix(&body.input);
        let saving = if hit { PREFIX_SAVING_RATIO } else { 0.0 };
        let prompt = self.spec.per_kilotoken_ms * tokens / 1000.0 * (1.0 - saving);
        let noise = lock(&self.rng).random_range(0.8..1.2);
        let time = self.scaled((self.spec.base_ms + prompt) * noise);
        let cached = if hit {
            (PREFIX_CHARS / TOKEN_CHARS) as u32
        } else {
            0
        };
        (time, cached)
    }

    fn token_time(&self) -> Duration {
        self.scaled(self.spec.per_token_ms)
    }

    fn scaled(&self, millis: f64) -> Duration {
        let slow = self.fault(FaultKind::Slow).unwrap_or(1.0);
        let running = f64::from(self.running.load(Ordering::SeqCst));
        let load_factor = 1.0 + LOAD_SLOWDOWN * running / f64::from(self.spec.slots.max(1));
        Duration::from_secs_f64(millis / 1000.0 * self.slowness * slow * load_factor)
    }

    fn use_prefix(&self, input: &str) -> bool {
        if self.spec.cache_prefixes == 0 {
            return false;
        }
        let prefix = prefix_hash(input);
        let mut cache = lock(&self.cache);
        let hit = cache.prefixes.contains(&prefix);
        cache.prefixes.retain(|known| *known != prefix);
        cache.prefixes.push_back(prefix);
        if !hit {
            cache.record_event(prefix, true);
        }
        if cache.prefixes.len() > self.spec.cache_prefixes {
            if let Some(dropped) = cache.prefixes.pop_front() {
                cache.record_event(dropped, false);
            }
        }
        hit
    }

    /// Returns load numbers, which are replaced only once they are as old as the scenario's report lag.
    fn report_now(&self) -> HttpResponse {
        let mut report = lock(&self.report);
        let age = report.0.elapsed();
        let response_body = json!({
            "running": report.1,
            "queued": report.2,
            "age_ms": age.as_millis() as u64,
            "leaving": self.fault(FaultKind::Leave).is_some(),
            "models": lock(&self.model_table).present(),
        });
        if age >= self.report_lag {
            let running = self.running.load(Ordering::SeqCst);
            let queued = self.queued.load(Ordering::SeqCst);
            *report = (Instant::now(), running, queued);
        }
        json_response(&response_body)
    }

    fn order(&self, call: &BufferedRequest) -> HttpResponse {
        let Ok(order) = serde_json::from_slice::<OrderBody>(&call.body) else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let status = match lock(&self.model_table).apply(&order) {
            OrderResult::Accepted => StatusCode::ACCEPTED,
            OrderResult::Stale => StatusCode::CONFLICT,
            OrderResult::Rejected => StatusCode::UNPROCESSABLE_ENTITY,
        };
        HttpResponse::new(status)
    }

    fn events_after(&self, after: u64) -> HttpResponse {
        let cache = lock(&self.cache);
        let newer = cache.events.iter().filter(|(number, _, _)| *number > after);
        let events: Vec<_> = newer
            .map(|(number, prefix, present)| {
                json!({ "number": number, "prefix": prefix, "present": present })
            })
            .collect();
        json_response(&json!({ "events": events }))
    }

    /// Returns the attempt's id, or that of another attempt if a fault requires that.
    fn response_id(&self, attempt: &str) -> String {
        if self.fault(FaultKind::Swap).is_some() {
            return format!("{attempt}1");
        }
        attempt.to_owned()
    }

    fn fault(&self, kind: FaultKind) -> Option<f64> {
        let entry = &self.entry;
        let places = [
            entry.name.as_str(),
            entry.service.as_str(),
            entry.hall.as_str(),
        ];
        self.faults.active(kind, &places)
    }
}

impl PrefixCache {
    fn record_event(&mut self, prefix: u64, present: bool) {
        self.next_event += 1;
        self.events.push_back((self.next_event, prefix, present));
        if self.events.len() > EVENT_CAPACITY {
            self.events.pop_front();
        }
    }
}

fn rejection(reason: &str, attempt: &str) -> HttpResponse {
    let mut response = json_response(&json!({ "attempt": attempt, "refused": reason }));
    response.set_status(StatusCode::SERVICE_UNAVAILABLE);
    response
}

fn prefix_hash(input: &str) -> u64 {
    let prefix: String = input.chars().take(PREFIX_CHARS).collect();
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
