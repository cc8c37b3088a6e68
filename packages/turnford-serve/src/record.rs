//! Record of one request, written as one log line at its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Version;

use turnford_fleet::CrashKeys;
use turnford_http::BodyFraming;
use turnford_policy::AccountId;
use turnford_policy::CallAttributes;
use turnford_policy::Moment;
use turnford_policy::RequestDigest;
use turnford_policy::ResultCode;
use turnford_policy::RouteSpec;
use turnford_policy::SoftwareVersion;
use turnford_policy::StageGraph;

use crate::resume::StreamSource;
use crate::send_log::SendLog;
use crate::shared::ServeShared;
use crate::wait::wait_until;

/// Maximum length of a request's trace in its log line, in bytes. Later entries are dropped.
const MAX_TRACE_BYTES: usize = 1500;

/// A request from its head to its end. If it is dropped without an end, it is logged as abandoned
/// by the client.
pub(crate) struct RequestRecord {
    shared: Arc<ServeShared>,
    pub(crate) attributes: CallAttributes,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) account: Option<AccountId>,
    /// Priority rank of the account; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) started_at: Moment,
    /// When the final response is due at the latest.
    pub(crate) deadline: Moment,
    /// Hall of the target that will probably serve the final call.
    pub(crate) predicted_hall: RefCell<Option<Arc<str>>>,
    version: u64,
    /// Service and version that must go on with the stream that the request resumes.
    pub(crate) source: RefCell<Option<StreamSource>>,
    /// Software version of the target whose response is relayed.
    pub(crate) target_version: RefCell<Option<SoftwareVersion>>,
    /// HTTP version of the client.
    pub(crate) client_http: Cell<Version>,
    /// How the target whose response is relayed marks the end of its body.
    pub(crate) framing: Cell<Option<BodyFraming>>,
    /// Whether that body ended between two events, if it is an event stream.
    pub(crate) ends_between_events: Cell<bool>,
    /// Digest of the request, set once its body has been read.
    pub(crate) digest: Cell<RequestDigest>,
    /// What the request may crash its targets by, set once its service is known.
    pub(crate) crash_keys: RefCell<Rc<CrashKeys>>,
    /// Time from the start of the final call to its first event, as estimated on arrival.
    pub(crate) final_call_time: Cell<Duration>,
    /// Sends of the request to targets.
    pub(crate) sends: SendLog,
    /// Stages whose pieces were handed out.
    started_stages: RefCell<BTreeSet<usize>>,
    final_call_start: Cell<Moment>,
    trace: RefCell<String>,
    /// Time until the first byte of the response.
    first_byte: Cell<Option<Duration>>,
    /// When the last event of the response arrived.
    last_event: Cell<Option<Moment>>,
    /// Longest pause between two events of the response.
    longest_pause: Cell<Duration>,
    is_ended: Cell<bool>,
}

impl RequestRecord {
    pub(crate) fn new(
        shared: Arc<ServeShared>,
        attributes: CallAttributes,
        route: Arc<RouteSpec>,
        account: Option<AccountId>,
        rank: u8,
        version: u64,
    ) -> Rc<Self> {
        let started_at = shared.now();
        let client_timeout = attributes.client_timeout.unwrap_or(route.timeout);
        let deadline = started_at + client_timeout.min(route.timeout);
        shared.record_start();
        Rc::new(Self {
            shared,
            attributes,
            route,
            account,
            rank,
            started_at,
            deadline,
            predicted_hall: RefCell::default(),
            version,
            source: RefCell::default(),
            target_version: RefCell::default(),
            client_http: Cell::new(Version::HTTP_11),
            framing: Cell::default(),
            ends_between_events: Cell::new(true),
            digest: Cell::default(),
            crash_keys: RefCell::default(),
            final_call_time: Cell::new(Duration::ZERO),
            sends: SendLog::default(),
            started_stages: RefCell::default(),
            final_call_start: Cell::new(started_at),
            trace: RefCell::new(String::new()),
            first_byte: Cell::new(None),
            last_event: Cell::new(None),
            longest_pause: Cell::new(Duration::ZERO),
            is_ended: Cell::new(false),
        })
    }

    /// Returns the dependency graph of the request's stages.
    pub(crate) fn stage_graph(&self) -> StageGraph {
        StageGraph::new(&self.route.stages, |stage| {
            self.attributes.piece_count(stage)
        })
    }

    /// Records that the pieces of a stage are handed out. Returns false if they were before.
    pub(crate) fn start_stage(&self, stage: usize) -> bool {
        self.started_stages.borrow_mut().insert(stage)
    }

    /// Returns what the request may crash its targets by.
    pub(crate) fn crash_keys(&self) -> Rc<CrashKeys> {
        self.crash_keys.borrow().clone()
    }

    /// Sets the service that the request is sent to.
    pub(crate) fn set_service(&self, service: &str) {
        let segments = self.attributes.segments.iter();
        let segments: Vec<u64> = segments.map(|segment| segment.id).collect();
        let keys = CrashKeys::new(self.digest.get(), service, &segments);
        self.crash_keys.replace(Rc::new(keys));
    }

    /// Returns when the first event must arrive so that the client still waits and this node still
    /// runs.
    pub(crate) fn first_event_deadline(&self) -> Moment {
        let client_timeout = self.route.first_event_timeout;
        let client = client_timeout.map(|client_timeout| self.started_at + client_timeout);
        let ends = [client, self.shared.exit_deadline()];
        let ends = ends.into_iter().flatten();
        ends.fold(self.deadline, Moment::min)
    }

    /// Returns the time set by the route's latency objective.
    pub(crate) fn due(&self) -> Moment {
        self.started_at + self.route.latency_objective
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    pub(crate) async fn wait_deadline(&self) {
        wait_until(&self.shared, self.deadline).await;
    }

    /// Adds a decision or event to the trace, with the time since the request started.
    pub(crate) fn trace(&self, text: std::fmt::Arguments<'_>) {
        let mut trace = self.trace.borrow_mut();
        if trace.len() < MAX_TRACE_BYTES {
            let at = self
                .shared
                .now()
                .saturating_sub(self.started_at)
                .as_millis();
            // Writing to a string does not fail.
            let _ = write!(trace, " [{at}ms {text}]");
        }
    }

    pub(crate) fn record_final_call_start(&self) {
        self.final_call_start.set(self.shared.now());
    }

    /// Returns the time since the final call started.
    pub(crate) fn final_call_elapsed(&self) -> Duration {
        self.shared
            .now()
            .saturating_sub(self.final_call_start.get())
    }

    /// Records the first byte of the response.
    pub(crate) fn record_first_byte(&self) {
        let time = self.shared.now().saturating_sub(self.started_at);
        self.first_byte.set(Some(time));
        self.shared
            .metrics
            .record_first_byte(self.account_name(), self.rank, time);
    }

    /// Records an event of the response.
    pub(crate) fn record_event(&self) {
        let now = self.shared.now();
        if let Some(previous) = self.last_event.replace(Some(now)) {
            let pause = now.saturating_sub(previous);
            self.longest_pause.set(self.longest_pause.get().max(pause));
        }
    }

    /// Returns the longest pause between two events so far.
    pub(crate) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }

    /// Ends the request. Only the first call has an effect.
    pub(crate) fn end(&self, code: ResultCode, reason: &str) {
        if self.is_ended.replace(true) {
            return;
        }
        self.shared.record_end();
        let time = self.shared.now().saturating_sub(self.started_at);
        let account = self.account_name();
        self.shared
            .metrics
            .record_end(account, self.rank, code, time);
        let trace = self.trace.borrow();
        let first_byte = self.first_byte.get();
        let is_on_time =
            first_byte.is_some_and(|first_byte| first_byte <= self.route.latency_objective);
        let pause = self.longest_pause();
        let is_steady = self.route.gap_objective.is_none_or(|goal| pause <= goal);
        let is_normal = code.is_complete() && is_on_time && is_steady;
        let level = if is_normal {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        // The trace of an ordinary request is left out of its log line.
        let trace = if is_normal { "" } else { trace.as_str() };
        log::log!(
            level,
            "request={} asks={} route={} account={} rank={} config={} resumes={} version={} http={:?} framing={} events={} pause_ms={} code={} end={} ran={} head_ms={} ms={}{}{}{}",
            self.attributes.attempt,
            self.digest.get(),
            self.route.name,
            account,
            self.rank,
            self.version,
            self.attributes.resumes.as_deref().unwrap_or("-"),
            self.target_version.borrow().as_deref().unwrap_or("-"),
            self.client_http.get(),
            self.framing.get().map_or("-", BodyFraming::name),
            if self.ends_between_events.get() {
                "whole"
            } else {
                "partial"
            },
            self.longest_pause().as_millis(),
            code.number(),
            code.name(),
            self.run_status(code),
            first_byte.map_or(-1, |first_byte| first_byte.as_millis() as i64),
            time.as_millis(),
            if reason.is_empty() { "" } else { " reason=" },
            reason,
            trace,
        );
    }

    /// Returns whether the request ran, for its log line.
    fn run_status(&self, code: ResultCode) -> &'static str {
        if code.is_complete() {
            "yes"
        } else if self.sends.may_have_run() {
            "unknown"
        } else {
            "no"
        }
    }

    fn account_name(&self) -> &str {
        self.account.as_deref().unwrap_or("-")
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.end(ResultCode::CallerGone, "the client disconnected");
    }
}
