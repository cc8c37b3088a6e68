//! What a target says of itself in its answers, and what reaches it meanwhile.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;

use super::target::lock;

/// Time after a target asked a caller for rest in which calls that cross may still come, from the
/// platform's rules.
pub const BACKOFF_GRACE: Duration = Duration::from_millis(500);

/// Span of the windows in which a target that names a limit counts its calls, from the platform's rules.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after a target first named its limit from which on it must be kept, from the platform's rules.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Returns the calls that a window may have at a target that takes so many a second, from the platform's
/// rules.
pub fn limit_allowance(rate: f64) -> usize {
    (1.5 * rate * LIMIT_WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the most calls in one window, of those from a moment on.
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
    /// When it came.
    pub at: Instant,
    /// Its path.
    pub path: String,
    /// Id of the client's try; empty for calls that belong to none.
    pub attempt: String,
    /// End of the rest for which the target turned it away, `None` if it took it.
    pub backoff_until: Option<Instant>,
    /// Whether it came while the target rested, not counting calls that cross its first word.
    pub violates_backoff: bool,
}

/// A rest that a target asks for.
#[derive(Clone, Copy, Debug)]
struct RestWish {
    until: Instant,
    /// When the first caller was told.
    told: Option<Instant>,
}

/// What one target says of itself.
#[derive(Default)]
pub(super) struct TargetWords {
    leaves: AtomicBool,
    rest: Mutex<Option<RestWish>>,
    /// What it names as its limit.
    limit: Mutex<Option<String>>,
    arrivals: Mutex<Vec<TargetArrival>>,
}

impl TargetWords {
    pub(super) fn announce_leaving(&self, leaves: bool) {
        self.leaves.store(leaves, Ordering::SeqCst);
    }

    pub(super) fn leaves(&self) -> bool {
        self.leaves.load(Ordering::SeqCst)
    }

    pub(super) fn request_backoff(&self, span: Duration) {
        *lock(&self.rest) = Some(RestWish {
            until: Instant::now() + span,
            told: None,
        });
    }

    pub(super) fn announce_limit(&self, limit: Option<&str>) {
        *lock(&self.limit) = limit.map(str::to_owned);
    }

    /// Notes a call; returns the time of rest to turn it away with, if the target rests.
    pub(super) fn note_arrival(&self, call: &BufferedRequest) -> Option<String> {
        let now = Instant::now();
        let mut rest = lock(&self.rest);
        let left = rest.map(|rest| rest.until.saturating_duration_since(now));
        let left = left.filter(|left| !left.is_zero());
        let told = rest.and_then(|rest| rest.told);
        let violates_backoff =
            left.is_some() && told.is_some_and(|told| now > told + BACKOFF_GRACE);
        if let Some(rest) = rest.as_mut() {
            rest.told.get_or_insert(now);
        }
        let attempt = call.header("x-turnford-attempt-id").unwrap_or("");
        lock(&self.arrivals).push(TargetArrival {
            at: now,
            path: call.path.clone(),
            attempt: attempt.to_owned(),
            backoff_until: left.and(rest.map(|rest| rest.until)),
            violates_backoff,
        });
        left.map(|left| format!("{:.3}", left.as_secs_f64()))
    }

    pub(super) fn arrivals(&self) -> Vec<TargetArrival> {
        lock(&self.arrivals).clone()
    }

    /// Adds what the target says to an answer.
    pub(super) fn add_to(&self, answer: &mut HttpResponse) {
        if self.leaves() {
            answer.insert_header("server-leaving", "1");
        }
        if let Some(limit) = lock(&self.limit).as_deref() {
            answer.insert_header("server-limit", limit);
        }
    }
}
