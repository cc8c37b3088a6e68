//! Signals that a target sends in its responses, and the calls that it receives.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;

use super::target::lock;

/// Time after a target requested back-off in which calls that cross the request may still arrive;
/// specified by the platform.
pub const BACKOFF_GRACE: Duration = Duration::from_millis(500);

/// Length of the windows in which a target with an announced limit counts its calls; specified by the
/// platform.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after the first announcement of a limit from which on it must be kept; specified by the
/// platform.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Time in which a brittle target counts its rejections; specified by the platform.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Returns the maximum number of calls per window for a limit in calls per second; specified by the
/// platform.
pub fn limit_allowance(rate: f64) -> usize {
    (1.5 * rate * LIMIT_WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the largest number of calls in one window, over windows that begin at `from` or later.
pub fn max_window_calls(arrivals: &[TargetArrival], from: Instant) -> usize {
    let times: Vec<Instant> = arrivals.iter().map(|call| call.at).collect();
    let windows = times.iter().filter(|at| **at >= from).map(|begin| {
        let end = *begin + LIMIT_WINDOW;
        let calls = times.iter().filter(|at| *at >= begin && **at < end);
        calls.count()
    });
    windows.max().unwrap_or(0)
}

/// A call that reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetArrival {
    /// Arrival time.
    pub at: Instant,
    /// Path of the call.
    pub path: String,
    /// Id of the client's attempt; empty for calls that belong to none.
    pub attempt: String,
    /// End of the back-off period for which the target rejected the call, `None` if it accepted it.
    pub backoff_until: Option<Instant>,
    /// Whether the call arrived during a back-off period, more than [`BACKOFF_GRACE`] after its first
    /// announcement.
    pub violates_backoff: bool,
}

/// A back-off period that a target requests.
#[derive(Clone, Copy, Debug)]
struct BackoffRequest {
    until: Instant,
    /// Time of the first announcement to a caller.
    announced_at: Option<Instant>,
}

/// A target that fails when it rejects too many requests.
#[derive(Clone, Copy, Debug)]
struct Brittleness {
    /// Rejections in one second after which a further one makes it fail.
    max_rejections: u32,
    /// Requests that it runs at the same time.
    room: usize,
    /// Time from which it rejects those beyond that number.
    enforced_from: Instant,
}

/// What a brittle target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BrittleDecision {
    Run,
    Reject,
    /// One rejection too many.
    Fail,
}

/// Signals of one target.
#[derive(Default)]
pub(super) struct TargetSignals {
    is_leaving: AtomicBool,
    backoff: Mutex<Option<BackoffRequest>>,
    /// Announced limit, as sent in the header.
    limit: Mutex<Option<String>>,
    brittleness: Mutex<Option<Brittleness>>,
    /// Times of the rejections of a brittle target.
    rejections: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<TargetArrival>>,
}

impl TargetSignals {
    pub(super) fn announce_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::SeqCst);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    pub(super) fn request_backoff(&self, duration: Duration) {
        *lock(&self.backoff) = Some(BackoffRequest {
            until: Instant::now() + duration,
            announced_at: None,
        });
    }

    pub(super) fn announce_limit(&self, limit: Option<&str>) {
        *lock(&self.limit) = limit.map(str::to_owned);
    }

    pub(super) fn announce_brittle(&self, max_rejections: Option<u32>, room: usize) {
        *lock(&self.brittleness) = max_rejections.map(|max_rejections| Brittleness {
            max_rejections,
            room,
            enforced_from: Instant::now() + LIMIT_GRACE,
        });
    }

    /// Decides whether a brittle target runs a request beside `running` others.
    pub(super) fn admit_brittle(&self, running: usize) -> BrittleDecision {
        let now = Instant::now();
        let brittleness = *lock(&self.brittleness);
        let enforced = brittleness.filter(|brittle| now >= brittle.enforced_from);
        let Some(brittle) = enforced.filter(|brittle| running >= brittle.room) else {
            return BrittleDecision::Run;
        };
        let mut rejections = lock(&self.rejections);
        rejections.retain(|at| now.saturating_duration_since(*at) < REJECTION_WINDOW);
        rejections.push(now);
        if rejections.len() > brittle.max_rejections as usize {
            rejections.clear();
            return BrittleDecision::Fail;
        }
        BrittleDecision::Reject
    }

    /// Records a call. During a back-off period, returns the remaining seconds with which to reject it.
    pub(super) fn record_arrival(&self, call: &BufferedRequest) -> Option<String> {
        let now = Instant::now();
        let mut backoff = lock(&self.backoff);
        let remaining = backoff.map(|backoff| backoff.until.saturating_duration_since(now));
        let remaining = remaining.filter(|remaining| !remaining.is_zero());
        let announced_at = backoff.and_then(|backoff| backoff.announced_at);
        let violates_backoff = remaining.is_some()
            && announced_at.is_some_and(|announced_at| now > announced_at + BACKOFF_GRACE);
        if let Some(backoff) = backoff.as_mut() {
            backoff.announced_at.get_or_insert(now);
        }
        let attempt = call.header("x-turnford-attempt-id").unwrap_or("");
        lock(&self.arrivals).push(TargetArrival {
            at: now,
            path: call.path.clone(),
            attempt: attempt.to_owned(),
            backoff_until: remaining.and(backoff.map(|backoff| backoff.until)),
            violates_backoff,
        });
        remaining.map(|remaining| format!("{:.3}", remaining.as_secs_f64()))
    }

    pub(super) fn arrivals(&self) -> Vec<TargetArrival> {
        lock(&self.arrivals).clone()
    }

    /// Adds the headers of the target's signals to a response.
    pub(super) fn add_headers(&self, response: &mut HttpResponse) {
        if self.is_leaving() {
            response.insert_header("server-leaving", "1");
        }
        if let Some(limit) = lock(&self.limit).as_deref() {
            response.insert_header("server-limit", limit);
        }
        if let Some(brittle) = *lock(&self.brittleness) {
            response.insert_header("server-brittle", brittle.max_rejections.to_string());
        }
    }
}
