//! Targets of routes: plain services, model engines and targets of stages.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
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

use super::endless::EndlessResponse;
use super::faulty_stream::StallPoint;
use super::listener::TargetListener;
use super::meta::json_response;
use super::meta::MetaStore;
use super::raw::RawResponse;
use super::run::RouteJournal;
use super::run::RouteRun;
use super::run::RunKind;
use super::signals::BrittleDecision;
use super::signals::TargetArrival;
use super::signals::TargetSignals;
use crate::SharedExecutor;

/// Time for which an unresponsive target keeps a call open.
pub(super) const UNRESPONSIVE_TIME: Duration = Duration::from_secs(60);

/// Number of concurrent requests of a target unless set otherwise.
const DEFAULT_SLOTS: u64 = 8;

/// Software version of a target's process unless set otherwise.
const DEFAULT_VERSION: &str = "v1";

/// Delay of a rejection with back-off, so that calls that were sent at the same time arrive before it.
const REJECTION_DELAY: Duration = Duration::from_millis(60);

/// Time after which a crashed target restarts under the same id.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Interval between attempts to open the port of a replaced process.
const REOPEN_INTERVAL: Duration = Duration::from_millis(5);

/// Additional time for which a brittle target stays down.
const BRITTLE_DOWNTIME: Duration = Duration::from_secs(2);

/// A stream that ends inside an event.
const PARTIAL_STREAM: &str = "id: 1\ndata: token 1\n\nid: 2\nda";

/// Time that a request runs before it crashes its target.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Role of a target.
#[derive(Clone, Debug)]
pub enum TargetRole {
    /// Responds with a short body after the given time.
    Plain(Duration),
    /// Responds with a stream of events.
    Engine {
        /// Time until the first event.
        first_event: Duration,
        /// Time between events.
        event_gap: Duration,
        /// Number of events.
        events: u64,
    },
    /// Runs pieces of a stage, one call at a time.
    Stage {
        /// Time of a call in addition to its pieces.
        call_overhead: Duration,
        /// Time per piece.
        piece_time: Duration,
    },
}

/// A fault that is injected into one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The call is rejected before it runs.
    Reject,
    /// The call is rejected before it runs, as one of its inputs is gone.
    InputMissing,
    /// The call runs, and the connection closes without a response.
    Disconnect,
    /// The call runs, and its response is truncated.
    Truncate,
    /// The call runs, and its response has neither a length nor chunks; a stream ends inside an event.
    Unframed,
    /// The call runs, and its response carries the id of another attempt.
    AttemptMismatch,
    /// The call runs and fails.
    Fail,
    /// The call runs and fails with this status, without the mark of a refusal.
    FailWith(StatusCode),
    /// The call takes longer by this time.
    Slow(Duration),
    /// The call is rejected before it runs, after a short delay, with this `retry-after` value.
    Backoff(&'static str),
    /// The call runs, and its response carries an invalid load header.
    InvalidLoad,
}

pub(super) struct TargetState {
    pub(super) id: String,
    service: String,
    hall: String,
    store: MetaStore,
    executor: SharedExecutor,
    listener: TargetListener,
    address: Mutex<Option<SocketAddr>>,
    /// Start time of the process, in milliseconds since the Unix epoch.
    process_start: AtomicU64,
    /// Software version of the process.
    version: Mutex<String>,
    /// Body of the requests, or key of the pieces, that crash the target.
    pub(super) crash_body: Mutex<Option<String>>,
    /// Id of the prompt segment that crashes the target.
    crash_segment: Mutex<Option<String>>,
    /// Whether an engine crashes before the head of its response.
    crashes_before_head: AtomicBool,
    /// State in the target's last store entry, `ready` or `draining`.
    listed_state: Mutex<String>,
    /// Number of crashes.
    crashes: AtomicU64,
    /// Number of changes of the store entry by [`RouteTarget::republish_changed`].
    entry_changes: AtomicU64,
    pub(super) role: TargetRole,
    pub(super) journal: Arc<RouteJournal>,
    faults: Mutex<VecDeque<TargetFault>>,
    is_unresponsive: AtomicBool,
    signals: TargetSignals,
    /// Number of concurrent requests in the store entry.
    slots: AtomicU64,
    /// Requests that run.
    running: Arc<AtomicUsize>,
    pub(super) calls: AtomicU64,
    /// The one slot of a stage target; taken by the running call.
    pub(super) slot: async_channel::Receiver<()>,
    pub(super) free_slots: async_channel::Sender<()>,
}

/// A place that a running request occupies at its target.
struct Occupied {
    running: Arc<AtomicUsize>,
    /// Other requests that ran when it began.
    others: usize,
}

impl Occupied {
    fn new(running: &Arc<AtomicUsize>) -> Self {
        Self {
            others: running.fetch_add(1, Ordering::SeqCst),
            running: running.clone(),
        }
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What a target's store entry says of the target.
#[derive(Clone, Copy, Debug)]
pub struct TargetIdentity<'a> {
    /// Instance id.
    pub id: &'a str,
    /// Service that the target runs.
    pub service: &'a str,
    /// Software version of its process.
    pub version: &'a str,
}

/// A running target, listed in the store.
#[derive(Clone)]
pub struct RouteTarget {
    state: Arc<TargetState>,
}

impl RouteTarget {
    /// Starts a target and publishes it in the store.
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
        let identity = TargetIdentity {
            id,
            service,
            version: DEFAULT_VERSION,
        };
        Self::start_as(executor, store, journal, &identity, role)
    }

    /// Starts a target with the given identity, and publishes it in the store.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start_as(
        executor: &SharedExecutor,
        store: &MetaStore,
        journal: &Arc<RouteJournal>,
        identity: &TargetIdentity<'_>,
        role: TargetRole,
    ) -> io::Result<Self> {
        let (free_slots, slot) = async_channel::bounded(1);
        // The channel is new and has capacity for its one slot.
        let _ = free_slots.try_send(());
        let state = Arc::new(TargetState {
            id: identity.id.to_owned(),
            service: identity.service.to_owned(),
            hall: "hal-a".to_owned(),
            store: store.clone(),
            executor: executor.clone(),
            listener: TargetListener::new(executor),
            address: Mutex::new(None),
            process_start: AtomicU64::new(time_of_day()),
            version: Mutex::new(identity.version.to_owned()),
            crash_body: Mutex::default(),
            crash_segment: Mutex::default(),
            crashes_before_head: AtomicBool::new(false),
            listed_state: Mutex::default(),
            crashes: AtomicU64::new(0),
            entry_changes: AtomicU64::new(0),
            role,
            journal: journal.clone(),
            faults: Mutex::default(),
            is_unresponsive: AtomicBool::new(false),
            signals: TargetSignals::default(),
            slots: AtomicU64::new(DEFAULT_SLOTS),
            running: Arc::default(),
            calls: AtomicU64::new(0),
            slot,
            free_slots,
        });
        state.open()?;
        state.publish("ready");
        Ok(Self { state })
    }

    /// Returns the target's instance id.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Returns the number of piece calls received.
    pub fn piece_calls(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.state.address()
    }

    /// Writes the target's store entry with a state, `ready` or `draining`.
    pub fn publish(&self, state: &str) {
        self.state.publish(state);
    }

    /// Writes the target's store entry with a changed field that is irrelevant to the tests.
    pub fn republish_changed(&self) {
        self.state.entry_changes.fetch_add(1, Ordering::SeqCst);
        self.republish();
    }

    /// Writes the target's store entry again without changes.
    pub fn republish(&self) {
        let listed_state = lock(&self.state.listed_state).clone();
        self.state.publish(&listed_state);
    }

    /// Makes the target crash whenever it runs a request with this body, or pieces with this key.
    pub fn crash_on(&self, body: &str) {
        *lock(&self.state.crash_body) = Some(body.to_owned());
    }

    /// Makes an engine crash before it sends the head of its response.
    pub fn crash_before_head(&self) {
        self.state.crashes_before_head.store(true, Ordering::SeqCst);
    }

    /// Makes the target crash whenever it runs a request with this prompt segment.
    pub fn crash_on_segment(&self, segment: &str) {
        *lock(&self.state.crash_segment) = Some(segment.to_owned());
    }

    /// Crashes the target at once; it restarts under the same id after a short time.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns the number of crashes.
    pub fn crash_count(&self) -> u64 {
        self.state.crashes.load(Ordering::SeqCst)
    }

    /// Simulates an unobserved restart under the same id: publishes the entry with a new process start.
    pub fn restart(&self) {
        let process_start = self.state.process_start.load(Ordering::SeqCst) + 1;
        self.state
            .process_start
            .store(process_start, Ordering::SeqCst);
        self.state.publish("ready");
    }

    /// Replaces the target's process by one of another software version at the same address. The
    /// store entry follows after a delay.
    pub fn replace_process(&self, version: &str, entry_delay: Duration) {
        let state = self.state.clone();
        state.journal.mark_unfinished_faulted(&state.id);
        state.listener.close();
        state.process_start.store(time_of_day(), Ordering::SeqCst);
        version.clone_into(&mut lock(&state.version));
        let publish = async move {
            // The port is free once the tasks of the closed listener have ended.
            while let Err(error) = state.open() {
                log::info!("target {} can't be opened yet: {error}", state.id);
                Timer::after(REOPEN_INTERVAL).await;
            }
            Timer::after(entry_delay).await;
            let listed_state = lock(&state.listed_state).clone();
            state.publish(&listed_state);
        };
        self.state.executor.spawn(publish).detach();
    }

    /// Removes the target's store entry; the target continues to serve.
    pub fn unpublish(&self) {
        self.state.store.remove("servers", &self.state.id);
    }

    /// Sets whether the target leaves all calls without a response.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.state
            .is_unresponsive
            .store(is_unresponsive, Ordering::SeqCst);
    }

    /// Sets whether the target announces in all its responses that it is leaving.
    pub fn announce_leaving(&self, is_leaving: bool) {
        self.state.signals.announce_leaving(is_leaving);
    }

    /// Makes the target reject all calls for this time and request back-off until its end.
    pub fn request_backoff(&self, duration: Duration) {
        self.state.signals.request_backoff(duration);
    }

    /// Sets the limit for all nodes together that the target announces in all its responses.
    pub fn announce_limit(&self, limit: Option<&str>) {
        self.state.signals.announce_limit(limit);
    }

    /// Sets the number of concurrent requests in the target's store entry.
    pub fn set_slots(&self, slots: u64) {
        self.state.slots.store(slots, Ordering::SeqCst);
        self.republish();
    }

    /// Sets the number of rejections in a second that the target bears, which it announces in all its
    /// responses, and the number of requests that it runs at the same time.
    pub fn announce_brittle(&self, max_rejections: Option<u32>, room: usize) {
        self.state.signals.announce_brittle(max_rejections, room);
    }

    /// Returns all calls received, including rejected ones.
    pub fn arrivals(&self) -> Vec<TargetArrival> {
        self.state.signals.arrivals()
    }

    /// Sets the response to all requests of clients on new connections, which the journal doesn't see.
    pub fn respond_raw(&self, response: Option<RawResponse>) {
        self.state.listener.respond_raw(response);
    }

    /// Returns the attempts of the requests that got a raw response.
    pub fn raw_attempts(&self) -> Vec<String> {
        self.state.listener.raw_attempts()
    }

    /// Makes the target send one of `every` responses once more, where the response to the next request on its
    /// connection is due; 0 for none.
    pub fn repeat_responses(&self, every: usize) {
        self.state.journal.mark_unfinished_faulted(&self.state.id);
        self.state.listener.faults.repeat(every);
    }

    /// Returns the number of responses that were sent once more.
    pub fn repeat_count(&self) -> usize {
        self.state.listener.faults.repeat_count()
    }

    /// Makes one of `every` responses fall silent for good, with its connection open; 0 for none.
    pub fn stall_responses(&self, every: usize, point: StallPoint) {
        self.state.journal.mark_unfinished_faulted(&self.state.id);
        self.state.listener.faults.stall(every, point);
    }

    /// Returns the number of responses that fell silent.
    pub fn stall_count(&self) -> usize {
        self.state.listener.faults.stall_count()
    }

    /// Sets the response without end that some calls receive, which the journal sees as runs.
    pub fn respond_endless(&self, response: Option<EndlessResponse>) {
        self.state.journal.mark_unfinished_faulted(&self.state.id);
        self.state.listener.faults.endless.set(response);
    }

    /// Returns the number of responses without end that began.
    pub fn endless_count(&self) -> usize {
        self.state.listener.faults.endless.begun()
    }

    /// Returns the number of responses without end that go on.
    pub fn open_endless_count(&self) -> usize {
        self.state.listener.faults.endless.open()
    }

    /// Injects faults into the next calls, one per call.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = TargetFault>) {
        lock(&self.state.faults).extend(faults);
    }
}

impl TargetState {
    fn address(&self) -> SocketAddr {
        let address = *lock(&self.address);
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// Opens the listener; after a crash, at the same address as before.
    fn open(self: &Arc<Self>) -> io::Result<()> {
        let before = *lock(&self.address);
        let address = before.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let state = self.clone();
        let handler = move |call| {
            let state = state.clone();
            async move { state.handle(call).await }
        };
        let address = self.listener.open(address, handler)?;
        *lock(&self.address) = Some(address);
        Ok(())
    }

    fn publish(&self, state: &str) {
        state.clone_into(&mut lock(&self.listed_state));
        let spec = json!({
            "service": self.service,
            "address": self.address().to_string(),
            "zone": self.hall,
            "version": lock(&self.version).as_str(),
            "slots": self.slots.load(Ordering::SeqCst)
                + self.entry_changes.load(Ordering::SeqCst),
            "state": state,
            "cold_remaining_ms": 0,
            "call_sequence": 0,
            "born": self.process_start.load(Ordering::SeqCst),
        });
        self.store.put("servers", &self.id, spec);
    }

    fn crash(self: &Arc<Self>) {
        self.crash_for(RESTART_DELAY);
    }

    fn crash_for(self: &Arc<Self>, downtime: Duration) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.journal.mark_unfinished_faulted(&self.id);
        let state = self.clone();
        let restart = async move {
            Timer::after(downtime).await;
            match state.open() {
                Ok(()) => {
                    state.process_start.store(time_of_day(), Ordering::SeqCst);
                    let listed_state = lock(&state.listed_state).clone();
                    state.publish(&listed_state);
                }
                Err(error) => log::error!("target {} can't restart: {error}", state.id),
            }
        };
        self.executor.spawn(restart).detach();
        self.listener.close();
    }

    pub(super) fn crash_soon(self: &Arc<Self>) {
        let state = self.clone();
        let crash = async move {
            Timer::after(CRASH_DELAY).await;
            state.crash();
        };
        self.executor.spawn(crash).detach();
    }

    fn crashes_on(&self, call: &BufferedRequest) -> bool {
        let body = lock(&self.crash_body);
        let is_body = body
            .as_ref()
            .is_some_and(|body| body.as_bytes() == call.body);
        is_body || self.has_crash_segment(call)
    }

    fn has_crash_segment(&self, call: &BufferedRequest) -> bool {
        let segment = lock(&self.crash_segment);
        let prompt = call.header("x-turnford-prompt-prefix").unwrap_or("");
        let mut ids = prompt.split(',').filter_map(|part| part.split_once(':'));
        ids.any(|(id, _)| segment.as_deref() == Some(id))
    }

    async fn handle(self: &Arc<Self>, call: BufferedRequest) -> Option<HttpResponse> {
        if self.is_unresponsive.load(Ordering::SeqCst) {
            Timer::after(UNRESPONSIVE_TIME).await;
            return None;
        }
        let mut response = self.respond(&call).await?;
        if let Some(attempt) = call.header("x-turnford-attempt-id") {
            if !response.has_header("x-turnford-attempt-id") {
                response.insert_header("x-turnford-attempt-id", attempt);
            }
        }
        Some(response)
    }

    async fn respond(self: &Arc<Self>, call: &BufferedRequest) -> Option<HttpResponse> {
        if call
            .header("x-turnford-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let mut response = HttpResponse::new(StatusCode::MISDIRECTED_REQUEST);
            response.insert_header("x-turnford-instance-id", self.id.as_str());
            return Some(response);
        }
        let backoff = self.signals.record_arrival(call);
        let mut response = match backoff {
            Some(backoff) => rejection_with_backoff(&backoff),
            None => self.dispatch(call).await?,
        };
        self.signals.add_headers(&mut response);
        Some(response)
    }

    async fn dispatch(self: &Arc<Self>, call: &BufferedRequest) -> Option<HttpResponse> {
        match call.path.as_str() {
            "/health" => Some(self.health()),
            "/v1/report" => {
                let report = json!({
                    "waiting_requests": 0,
                    "busy": 0,
                    "free_memory_mb": 100,
                    "born": self.process_start.load(Ordering::SeqCst),
                });
                Some(json_response(StatusCode::OK, &report))
            }
            "/v1/stage-free" => Some(self.release(call)),
            "/v1/stage-run" => self.run_pieces(call).await,
            _ => self.run_request(call).await,
        }
    }

    fn health(&self) -> HttpResponse {
        let status = if self.signals.is_leaving() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let mut response = HttpResponse::new(status);
        response.insert_header("x-turnford-instance-id", self.id.as_str());
        response
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
            version: lock(&self.version).clone(),
            kind,
            attempt,
            account: call.header("x-turnford-tenant").map(str::to_owned),
            has_key: call.header("authorization").is_some(),
            deadline_ms: deadline.and_then(|text| text.parse().ok()),
            inputs: inputs.map(str::to_owned).collect(),
            last_event: call
                .header("last-event-id")
                .and_then(|text| text.parse().ok()),
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
        if let Some(response) = fault.as_ref().and_then(rejection_for) {
            if matches!(fault, Some(TargetFault::Backoff(_))) {
                Timer::after(REJECTION_DELAY).await;
            }
            return Some(response);
        }
        let occupied = Occupied::new(&self.running);
        match self.signals.admit_brittle(occupied.others) {
            BrittleDecision::Run => {}
            BrittleDecision::Reject => return Some(rejection(StatusCode::SERVICE_UNAVAILABLE)),
            BrittleDecision::Fail => {
                self.crash_for(RESTART_DELAY + BRITTLE_DOWNTIME);
                return None;
            }
        }
        let crashes = self.crashes_on(call);
        let run = RouteRun {
            is_faulted: fault.is_some() || crashes || self.listener.faults.is_active(),
            ..self.run(call, attempt.clone(), RunKind::Request)
        };
        let last_event = run.last_event.unwrap_or(0);
        let index = self.journal.add(run);
        if crashes {
            self.crash_soon();
            return self.unfinished_response(&attempt).await;
        }
        if let Some(TargetFault::Slow(more)) = fault {
            Timer::after(more).await;
        }
        let mut response = match self.role {
            TargetRole::Engine {
                first_event,
                event_gap,
                events,
            } => {
                Timer::after(first_event).await;
                self.event_response(
                    index,
                    event_gap,
                    last_event + 1..=events,
                    fault.as_ref(),
                    occupied,
                )
            }
            TargetRole::Plain(duration) => {
                Timer::after(duration).await;
                self.journal.record_end(index);
                plain_response(&attempt, fault.as_ref())
            }
            TargetRole::Stage { .. } => HttpResponse::new(StatusCode::NOT_FOUND),
        };
        if fault == Some(TargetFault::Disconnect) {
            return None;
        }
        if fault == Some(TargetFault::Unframed) {
            response.end_with_connection();
        }
        let response_attempt = if fault == Some(TargetFault::AttemptMismatch) {
            "ffffffffffffffff"
        } else {
            attempt.as_str()
        };
        if fault == Some(TargetFault::InvalidLoad) {
            response.insert_header("x-turnford-server-load", "much");
        }
        response.insert_header("x-turnford-attempt-id", response_attempt);
        response.insert_header("x-turnford-server-stamp", format!("stamp-{attempt}"));
        Some(response)
    }

    /// Starts the response to a request that crashes the target: an engine sends the headers at most.
    async fn unfinished_response(&self, attempt: &str) -> Option<HttpResponse> {
        let first_event = match self.role {
            TargetRole::Engine { first_event, .. }
                if !self.crashes_before_head.load(Ordering::SeqCst) =>
            {
                first_event
            }
            _ => {
                Timer::after(UNRESPONSIVE_TIME).await;
                return None;
            }
        };
        Timer::after(first_event).await;
        let mut response = HttpResponse::new(StatusCode::OK);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("x-turnford-attempt-id", attempt);
        response.insert_header("x-turnford-server-stamp", format!("stamp-{attempt}"));
        response.set_body(HttpBody::stream(stream::pending()));
        Some(response)
    }

    fn event_response(
        &self,
        index: usize,
        pause: Duration,
        numbers: RangeInclusive<u64>,
        fault: Option<&TargetFault>,
        occupied: Occupied,
    ) -> HttpResponse {
        let journal = self.journal.clone();
        let (first, last) = numbers.into_inner();
        let events = stream::unfold((first, occupied), move |(number, occupied)| {
            let journal = journal.clone();
            async move {
                if number > last {
                    journal.record_end(index);
                    return None;
                }
                if number > first {
                    Timer::after(pause).await;
                }
                let event = format!("id: {number}\ndata: token {number}\n\n");
                Some((event.into_bytes(), (number + 1, occupied)))
            }
        });
        let mut response = HttpResponse::new(StatusCode::OK);
        response.insert_header("content-type", "text/event-stream");
        response.set_body(match fault {
            Some(TargetFault::Truncate) => HttpBody::truncated(PARTIAL_STREAM),
            Some(TargetFault::Unframed) => {
                HttpBody::stream(stream::once(PARTIAL_STREAM.as_bytes().to_vec()))
            }
            _ => HttpBody::stream(events),
        });
        response
    }
}

/// Returns the time in milliseconds since the Unix epoch.
fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

pub(super) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plain_response(attempt: &str, fault: Option<&TargetFault>) -> HttpResponse {
    if fault == Some(&TargetFault::Fail) {
        return HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if let Some(TargetFault::FailWith(status)) = fault {
        return HttpResponse::new(*status);
    }
    let text = format!("answer to {attempt}");
    let mut response = HttpResponse::new(StatusCode::OK);
    if fault == Some(&TargetFault::Truncate) {
        response.insert_header("content-length", text.len().to_string());
        response.set_body(HttpBody::truncated(&text.as_bytes()[..text.len() / 2]));
    } else {
        response.set_body(text);
    }
    response
}

/// Returns the response to a call that a fault rejects, `None` for other faults.
pub(super) fn rejection_for(fault: &TargetFault) -> Option<HttpResponse> {
    match fault {
        TargetFault::Reject => Some(rejection(StatusCode::SERVICE_UNAVAILABLE)),
        TargetFault::InputMissing => Some(rejection(StatusCode::CONFLICT)),
        TargetFault::Backoff(backoff) => Some(rejection_with_backoff(backoff)),
        _ => None,
    }
}

fn rejection_with_backoff(backoff: &str) -> HttpResponse {
    let mut response = rejection(StatusCode::SERVICE_UNAVAILABLE);
    response.insert_header("retry-after", backoff);
    response
}

fn rejection(status: StatusCode) -> HttpResponse {
    let mut response = HttpResponse::new(status);
    response.insert_header("x-turnford-not-run", "1");
    response
}
