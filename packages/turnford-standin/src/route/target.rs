//! Targets of routes: plain services, model engines and targets of stages.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_io::Timer;
use futures_lite::stream;
use http::StatusCode;
use serde_json::json;
use turnford_http::BufferedRequest;
use turnford_http::HttpBody;
use turnford_http::HttpResponse;

use super::listener::TargetDoor;
use super::meta::json_answer;
use super::meta::MetaStore;
use super::run::RouteJournal;
use super::run::RouteRun;
use super::run::RunKind;
use super::signals::TargetArrival;
use super::signals::TargetWords;
use crate::SharedExecutor;

/// Longest time that a silent target holds a call.
pub(super) const SILENCE: Duration = Duration::from_secs(60);

/// Time until a call is turned away with a time of rest: others that were sent with it are under way.
const REFUSAL_SPAN: Duration = Duration::from_millis(60);

/// Time that a crashed target takes to be back, under its id.
const RESTART_SPAN: Duration = Duration::from_millis(700);

/// Time that a request runs before its target crashes under it.
const CRASH_SPAN: Duration = Duration::from_millis(30);

/// What a target is.
#[derive(Clone, Debug)]
pub enum TargetRole {
    /// Answers with a few bytes after a time.
    Plain(Duration),
    /// Answers with events.
    Engine {
        /// Time until the first event.
        first_event: Duration,
        /// Time between events.
        event_gap: Duration,
        /// Number of events.
        events: u64,
    },
    /// Runs pieces, one call at a time.
    Stage {
        /// Time of a call without its pieces.
        call_overhead: Duration,
        /// Time of a piece.
        piece_time: Duration,
    },
}

/// What goes wrong with one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// Turned away before it runs.
    Reject,
    /// It runs, and the connection closes without an answer.
    Disconnect,
    /// It runs, and its answer breaks off.
    Truncate,
    /// It runs, and its answer carries another request's id.
    AttemptMismatch,
    /// It runs and fails.
    Fail,
    /// It takes this much longer.
    Slow(Duration),
    /// Turned away before it runs, after a little while, with this time of rest.
    Backoff(&'static str),
    /// It runs, and its answer tells of a load that makes no sense.
    InvalidLoad,
}

pub(super) struct TargetState {
    pub(super) id: String,
    service: String,
    hall: String,
    store: MetaStore,
    executor: SharedExecutor,
    door: TargetDoor,
    address: Mutex<Option<SocketAddr>>,
    /// Start of its process, in milliseconds of the time of day.
    born: AtomicU64,
    /// Body of the requests under which it crashes.
    pub(super) crash_body: Mutex<Option<String>>,
    /// What its entry said of it last, `ready` or `draining`.
    listed: Mutex<String>,
    /// How often it crashed.
    crashes: AtomicU64,
    /// How often it wrote its entry anew.
    writes: AtomicU64,
    pub(super) role: TargetRole,
    pub(super) journal: Arc<RouteJournal>,
    faults: Mutex<VecDeque<TargetFault>>,
    is_silent: AtomicBool,
    words: TargetWords,
    pub(super) calls: AtomicU64,
    /// Held by the call at work at a target of a stage.
    pub(super) turn: async_channel::Receiver<()>,
    pub(super) turns: async_channel::Sender<()>,
}

/// A running target, listed in the store.
#[derive(Clone)]
pub struct RouteTarget {
    state: Arc<TargetState>,
}

impl RouteTarget {
    /// Starts a target and lists it.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(
        executor: &SharedExecutor,
        store: &MetaStore,
        journal: &Arc<RouteJournal>,
        id: &str,
        service: &str,
        role: TargetRole,
    ) -> io::Result<Self> {
        let (turns, turn) = async_channel::bounded(1);
        // The channel is new and has room for its one turn.
        let _ = turns.try_send(());
        let state = Arc::new(TargetState {
            id: id.to_owned(),
            service: service.to_owned(),
            hall: "hal-a".to_owned(),
            store: store.clone(),
            executor: executor.clone(),
            door: TargetDoor::new(executor),
            address: Mutex::new(None),
            born: AtomicU64::new(time_of_day()),
            crash_body: Mutex::default(),
            listed: Mutex::default(),
            crashes: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            role,
            journal: journal.clone(),
            faults: Mutex::default(),
            is_silent: AtomicBool::new(false),
            words: TargetWords::default(),
            calls: AtomicU64::new(0),
            turn,
            turns,
        });
        state.open()?;
        state.publish("ready");
        Ok(Self { state })
    }

    /// Returns its incarnation.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Returns how many calls of pieces came so far.
    pub fn piece_calls(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.state.address()
    }

    /// Lists the target in a state, `ready` or `draining`.
    pub fn publish(&self, state: &str) {
        self.state.publish(state);
    }

    /// Has the target write its entry anew, changed in what does not matter here.
    pub fn republish_changed(&self) {
        self.state.writes.fetch_add(1, Ordering::SeqCst);
        self.republish();
    }

    /// Has the target write its entry again as it is.
    pub fn republish(&self) {
        let listed = lock(&self.state.listed).clone();
        self.state.publish(&listed);
    }

    /// Has the target crash each time that it runs a request with this body, or pieces with this key,
    /// whoever sends them.
    pub fn crash_on(&self, body: &str) {
        *lock(&self.state.crash_body) = Some(body.to_owned());
    }

    /// Has the target end at once; it starts again under its id a little later.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns how often it crashed.
    pub fn crash_count(&self) -> u64 {
        self.state.crashes.load(Ordering::SeqCst)
    }

    /// Has the target start anew under its id while nobody looks: it knows nothing of before.
    pub fn restart(&self) {
        let born = self.state.born.load(Ordering::SeqCst) + 1;
        self.state.born.store(born, Ordering::SeqCst);
        self.state.publish("ready");
    }

    /// Takes the target off the list; it goes on serving.
    pub fn unpublish(&self) {
        self.state.store.remove("servers", &self.state.id);
    }

    /// Has the target say nothing any more, whatever it is asked, or speak again.
    pub fn set_unresponsive(&self, is_silent: bool) {
        self.state.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Has the target say in all its answers that it leaves, or no longer.
    pub fn announce_leaving(&self, leaves: bool) {
        self.state.words.announce_leaving(leaves);
    }

    /// Has the target turn everything away for so long from now, and ask for rest until then.
    pub fn request_backoff(&self, span: Duration) {
        self.state.words.request_backoff(span);
    }

    /// Has the target name a limit for all nodes together in all its answers, or none.
    pub fn announce_limit(&self, limit: Option<&str>) {
        self.state.words.announce_limit(limit);
    }

    /// Returns all calls that reached it so far, also those that it turned away.
    pub fn arrivals(&self) -> Vec<TargetArrival> {
        self.state.words.arrivals()
    }

    /// Has the next calls go wrong, one fault each.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = TargetFault>) {
        lock(&self.state.faults).extend(faults);
    }
}

impl TargetState {
    fn address(&self) -> SocketAddr {
        let address = *lock(&self.address);
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// Takes calls, from a crash on at the same address as before.
    fn open(self: &Arc<Self>) -> io::Result<()> {
        let before = *lock(&self.address);
        let address = before.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let state = self.clone();
        let handler = move |call| {
            let state = state.clone();
            async move { state.handle(call).await }
        };
        let address = self.door.open(address, handler)?;
        *lock(&self.address) = Some(address);
        Ok(())
    }

    fn publish(&self, state: &str) {
        state.clone_into(&mut lock(&self.listed));
        let spec = json!({
            "service": self.service,
            "address": self.address().to_string(),
            "zone": self.hall,
            "version": "v1",
            "slots": 8 + self.writes.load(Ordering::SeqCst),
            "state": state,
            "cold_remaining_ms": 0,
            "call_sequence": 0,
            "born": self.born.load(Ordering::SeqCst),
        });
        self.store.put("servers", &self.id, spec);
    }

    fn crash(self: &Arc<Self>) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.journal.spoil(&self.id);
        let state = self.clone();
        let restart = async move {
            Timer::after(RESTART_SPAN).await;
            state.born.store(time_of_day(), Ordering::SeqCst);
            match state.open() {
                Ok(()) => {
                    let listed = lock(&state.listed).clone();
                    state.publish(&listed);
                }
                Err(error) => log::error!("target {} stays away: {error}", state.id),
            }
        };
        self.executor.spawn(restart).detach();
        self.door.close();
    }

    pub(super) fn crash_soon(self: &Arc<Self>) {
        let state = self.clone();
        let crash = async move {
            Timer::after(CRASH_SPAN).await;
            state.crash();
        };
        self.executor.spawn(crash).detach();
    }

    fn crashes_under(&self, call: &BufferedRequest) -> bool {
        let body = lock(&self.crash_body);
        body.as_ref()
            .is_some_and(|body| body.as_bytes() == call.body)
    }

    async fn handle(self: &Arc<Self>, call: BufferedRequest) -> Option<HttpResponse> {
        if self.is_silent.load(Ordering::SeqCst) {
            Timer::after(SILENCE).await;
            return None;
        }
        if call
            .header("x-turnford-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let mut answer = HttpResponse::new(StatusCode::MISDIRECTED_REQUEST);
            answer.insert_header("x-turnford-instance-id", self.id.as_str());
            return Some(answer);
        }
        let rest = self.words.note_arrival(&call);
        let mut answer = match rest {
            Some(rest) => turned_away_for(&rest),
            None => self.answer(&call).await?,
        };
        self.words.add_to(&mut answer);
        Some(answer)
    }

    async fn answer(self: &Arc<Self>, call: &BufferedRequest) -> Option<HttpResponse> {
        match call.path.as_str() {
            "/health" => Some(self.health()),
            "/v1/report" => {
                let report = json!({ "waiting_requests": 0, "busy": 0, "free_memory_mb": 100 });
                Some(json_answer(StatusCode::OK, &report))
            }
            "/v1/stage-free" => Some(self.release(call)),
            "/v1/stage-run" => self.run_pieces(call).await,
            _ => self.run_request(call).await,
        }
    }

    fn health(&self) -> HttpResponse {
        let status = if self.words.leaves() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let mut answer = HttpResponse::new(status);
        answer.insert_header("x-turnford-instance-id", self.id.as_str());
        answer
    }

    pub(super) fn next_fault(&self) -> Option<TargetFault> {
        lock(&self.faults).pop_front()
    }

    pub(super) fn run(&self, call: &BufferedRequest, attempt: String, kind: RunKind) -> RouteRun {
        let deadline = call.header("x-turnford-deadline-ms");
        let inputs = call.header("x-turnford-inputs").unwrap_or("");
        let inputs = inputs.split(',').filter(|input| !input.is_empty());
        RouteRun {
            target: self.id.clone(),
            kind,
            attempt,
            account: call.header("x-turnford-tenant").map(str::to_owned),
            has_key: call.header("authorization").is_some(),
            deadline_ms: deadline.and_then(|text| text.parse().ok()),
            inputs: inputs.map(str::to_owned).collect(),
            is_faulted: false,
            is_complete: false,
        }
    }

    async fn run_request(self: &Arc<Self>, call: &BufferedRequest) -> Option<HttpResponse> {
        let attempt = call
            .header("x-turnford-attempt-id")
            .unwrap_or("")
            .to_owned();
        let fault = self.next_fault();
        if let Some(answer) = fault.as_ref().and_then(refusal) {
            if matches!(fault, Some(TargetFault::Backoff(_))) {
                Timer::after(REFUSAL_SPAN).await;
            }
            return Some(answer);
        }
        let crashes = self.crashes_under(call);
        let run = RouteRun {
            is_faulted: fault.is_some() || crashes,
            ..self.run(call, attempt.clone(), RunKind::Request)
        };
        let place = self.journal.add(run);
        if crashes {
            self.crash_soon();
            return self.unfinished_answer(&attempt).await;
        }
        if let Some(TargetFault::Slow(more)) = fault {
            Timer::after(more).await;
        }
        let mut answer = match self.role {
            TargetRole::Engine {
                first_event,
                event_gap,
                events,
            } => {
                Timer::after(first_event).await;
                self.event_answer(
                    place,
                    event_gap,
                    events,
                    fault == Some(TargetFault::Truncate),
                )
            }
            TargetRole::Plain(span) => {
                Timer::after(span).await;
                self.journal.end(place);
                plain_answer(&attempt, fault.as_ref())
            }
            TargetRole::Stage { .. } => HttpResponse::new(StatusCode::NOT_FOUND),
        };
        if fault == Some(TargetFault::Disconnect) {
            return None;
        }
        let told = if fault == Some(TargetFault::AttemptMismatch) {
            "ffffffffffffffff"
        } else {
            attempt.as_str()
        };
        if fault == Some(TargetFault::InvalidLoad) {
            answer.insert_header("x-turnford-server-load", "much");
        }
        answer.insert_header("x-turnford-attempt-id", told);
        answer.insert_header("x-turnford-server-stamp", format!("stamp-{attempt}"));
        Some(answer)
    }

    /// Begins the answer of a request under which the target crashes: an engine sends the head.
    async fn unfinished_answer(&self, attempt: &str) -> Option<HttpResponse> {
        let TargetRole::Engine { first_event, .. } = self.role else {
            Timer::after(SILENCE).await;
            return None;
        };
        Timer::after(first_event).await;
        let mut answer = HttpResponse::new(StatusCode::OK);
        answer.insert_header("content-type", "text/event-stream");
        answer.insert_header("x-turnford-attempt-id", attempt);
        answer.insert_header("x-turnford-server-stamp", format!("stamp-{attempt}"));
        answer.set_body(HttpBody::stream(stream::pending()));
        Some(answer)
    }

    fn event_answer(
        &self,
        place: usize,
        pause: Duration,
        count: u64,
        is_cut: bool,
    ) -> HttpResponse {
        let journal = self.journal.clone();
        let events = stream::unfold(1, move |number| {
            let journal = journal.clone();
            async move {
                if number > count {
                    journal.end(place);
                    return None;
                }
                if number > 1 {
                    Timer::after(pause).await;
                }
                let event = format!("id: {number}\ndata: token {number}\n\n");
                Some((event.into_bytes(), number + 1))
            }
        });
        let mut answer = HttpResponse::new(StatusCode::OK);
        answer.insert_header("content-type", "text/event-stream");
        if is_cut {
            answer.set_body(HttpBody::truncated("id: 1\ndata: token 1\n\nid: 2\nda"));
        } else {
            answer.set_body(HttpBody::stream(events));
        }
        answer
    }
}

/// Returns the time of day in milliseconds.
fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

pub(super) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plain_answer(attempt: &str, fault: Option<&TargetFault>) -> HttpResponse {
    if fault == Some(&TargetFault::Fail) {
        return HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let text = format!("answer to {attempt}");
    let mut answer = HttpResponse::new(StatusCode::OK);
    if fault == Some(&TargetFault::Truncate) {
        answer.insert_header("content-length", text.len().to_string());
        answer.set_body(HttpBody::truncated(&text.as_bytes()[..text.len() / 2]));
    } else {
        answer.set_body(text);
    }
    answer
}

/// Returns the answer to a call that a fault has turned away, `None` for other faults.
pub(super) fn refusal(fault: &TargetFault) -> Option<HttpResponse> {
    match fault {
        TargetFault::Reject => Some(turned_away()),
        TargetFault::Backoff(rest) => Some(turned_away_for(rest)),
        _ => None,
    }
}

fn turned_away_for(rest: &str) -> HttpResponse {
    let mut answer = turned_away();
    answer.insert_header("retry-after", rest);
    answer
}

fn turned_away() -> HttpResponse {
    let mut answer = HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE);
    answer.insert_header("x-turnford-not-run", "1");
    answer
}
