//! What happened to one request, written as one log line at its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use turnford_policy::AccountId;
use turnford_policy::CallAttributes;
use turnford_policy::Moment;
use turnford_policy::RequestDigest;
use turnford_policy::ResultCode;
use turnford_policy::RouteSpec;
use turnford_policy::StageGraph;

use crate::shared::ServeShared;
use crate::wait::wait_until;

/// Longest story of one request in its log line, in bytes. What goes beyond is left out.
const STORY_LIMIT: usize = 1500;

/// A request from its head to its end. Dropped without an end, it says that the client left.
pub(crate) struct RequestRecord {
    shared: Arc<ServeShared>,
    pub(crate) facts: CallAttributes,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) account: Option<AccountId>,
    /// Rank: 0 goes first.
    pub(crate) rank: u8,
    pub(crate) started_at: Moment,
    /// When the request must have its final answer.
    pub(crate) deadline: Moment,
    /// Hall of the target that the request will probably run at.
    pub(crate) planned_hall: RefCell<Option<Arc<str>>>,
    version: u64,
    /// Digest of what it asks for, once its body is read.
    pub(crate) digest: Cell<RequestDigest>,
    /// Span that its own call takes until the first answer, as known when the request came.
    pub(crate) last_span: Cell<Duration>,
    /// When its own call began.
    last_begun: Cell<Moment>,
    story: RefCell<String>,
    /// Time until the first byte of the answer.
    head: Cell<Option<Duration>>,
    /// When the last event of the answer came.
    last_event: Cell<Option<Moment>>,
    /// Longest pause between two events of the answer.
    longest_pause: Cell<Duration>,
    is_ended: Cell<bool>,
}

impl RequestRecord {
    pub(crate) fn new(
        shared: Arc<ServeShared>,
        facts: CallAttributes,
        route: Arc<RouteSpec>,
        account: Option<AccountId>,
        rank: u8,
        version: u64,
    ) -> Rc<Self> {
        let begun = shared.now();
        let patience = facts.client_timeout.unwrap_or(route.timeout);
        let deadline = begun + patience.min(route.timeout);
        shared.running.fetch_add(1, Ordering::SeqCst);
        Rc::new(Self {
            shared,
            facts,
            route,
            account,
            rank,
            started_at: begun,
            deadline,
            planned_hall: RefCell::default(),
            version,
            digest: Cell::default(),
            last_span: Cell::new(Duration::ZERO),
            last_begun: Cell::new(begun),
            story: RefCell::new(String::new()),
            head: Cell::new(None),
            last_event: Cell::new(None),
            longest_pause: Cell::new(Duration::ZERO),
            is_ended: Cell::new(false),
        })
    }

    /// Returns the request's stages in their order.
    pub(crate) fn stage_graph(&self) -> StageGraph {
        StageGraph::new(&self.route.stages, |stage| self.facts.piece_count(stage))
    }

    /// Returns when its first answer must come for the client to be there still, and for this node to
    /// be running.
    pub(crate) fn serve_by(&self) -> Moment {
        let patience = self.route.first_event_timeout;
        let client = patience.map(|patience| self.started_at + patience);
        let ends = [client, self.shared.exit_deadline()];
        let ends = ends.into_iter().flatten();
        ends.fold(self.deadline, Moment::min)
    }

    /// Returns when its answer is due.
    pub(crate) fn due(&self) -> Moment {
        self.started_at + self.route.latency_objective
    }

    /// Returns the time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    /// Waits until the deadline.
    pub(crate) async fn wait_deadline(&self) {
        wait_until(&self.shared, self.deadline).await;
    }

    /// Adds a decision or event to the request's line, with the time since its begin.
    pub(crate) fn note(&self, text: std::fmt::Arguments<'_>) {
        let mut story = self.story.borrow_mut();
        if story.len() < STORY_LIMIT {
            let at = self
                .shared
                .now()
                .saturating_sub(self.started_at)
                .as_millis();
            // Writing to a string does not fail.
            let _ = write!(story, " [{at}ms {text}]");
        }
    }

    /// Notes that the request's own call begins.
    pub(crate) fn note_last_begun(&self) {
        self.last_begun.set(self.shared.now());
    }

    /// Returns the span since the request's own call began.
    pub(crate) fn last_elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.last_begun.get())
    }

    /// Notes the first byte of the answer.
    pub(crate) fn note_head(&self) {
        let time = self.shared.now().saturating_sub(self.started_at);
        self.head.set(Some(time));
        self.shared
            .metrics
            .record_first_byte(self.account_name(), self.rank, time);
    }

    /// Notes an event of the answer.
    pub(crate) fn note_event(&self) {
        let now = self.shared.now();
        if let Some(last) = self.last_event.replace(Some(now)) {
            let pause = now.saturating_sub(last);
            self.longest_pause.set(self.longest_pause.get().max(pause));
        }
    }

    /// Returns the longest pause between two events so far.
    pub(crate) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }

    /// Ends the request, once.
    pub(crate) fn end(&self, code: ResultCode, reason: &str) {
        if self.is_ended.replace(true) {
            return;
        }
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        let time = self.shared.now().saturating_sub(self.started_at);
        let account = self.account_name();
        self.shared
            .metrics
            .record_end(account, self.rank, code, time);
        let story = self.story.borrow();
        let head = self.head.get();
        let is_prompt = head.is_some_and(|head| head <= self.route.latency_objective);
        let pause = self.longest_pause();
        let is_steady = self.route.gap_objective.is_none_or(|goal| pause <= goal);
        let is_plain = code.is_complete() && is_prompt && is_steady;
        let level = if is_plain {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        // What an ordinary request passed through stays out of its line.
        let story = if is_plain { "" } else { story.as_str() };
        log::log!(
            level,
            "request={} asks={} route={} account={} rank={} config={} pause_ms={} code={} end={} head_ms={} ms={}{}{}{}",
            self.facts.attempt,
            self.digest.get(),
            self.route.name,
            account,
            self.rank,
            self.version,
            self.longest_pause().as_millis(),
            code.number(),
            code.name(),
            head.map_or(-1, |head| head.as_millis() as i64),
            time.as_millis(),
            if reason.is_empty() { "" } else { " reason=" },
            reason,
            story,
        );
    }

    fn account_name(&self) -> &str {
        self.account.as_deref().unwrap_or("-")
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.end(ResultCode::CallerGone, "the client closed");
    }
}
