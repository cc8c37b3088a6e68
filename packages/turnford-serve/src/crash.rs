//! What this node knows of requests under which targets crashed, and what it sees of them itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashNews;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashVerdict;
use turnford_http::probe_port;
use turnford_http::PortState;
use turnford_policy::BatchPlan;
use turnford_policy::Moment;
use turnford_policy::RequestDigest;
use turnford_policy::TargetBirth;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::crash_news::tell_crashes;
use crate::desk::ServiceDesk;
use crate::traffic::Traffic;

/// Longest wait for a target's machine to say that nobody takes connections there. One that ended
/// says so within a round trip; one that lost power says nothing.
const PORT_LIMIT: Duration = Duration::from_millis(400);

/// Time after a call broke in which another start of its target, or the end of its entry, tells that
/// it crashed: three missed heartbeats, and as long again for the store.
const BREAK_SPAN: Duration = Duration::from_secs(7);

/// Broken calls that are remembered for that.
const BREAK_LIMIT: usize = 256;

/// Targets that left which are remembered: more than leave within the longest stream.
const LEFT_LIMIT: usize = 256;

/// A call that broke, and what is to be known if its target crashed.
#[derive(Clone)]
pub(crate) struct BrokenCall {
    pub(crate) digest: RequestDigest,
    pub(crate) target: TargetSpec,
    /// Whether it was the only suspect there.
    pub(crate) is_alone: bool,
    /// Whether the target had begun to run it, as far as that shows.
    pub(crate) has_begun: bool,
    /// When it broke.
    pub(crate) at: Moment,
}

/// The requests under which targets crashed.
#[derive(Default)]
pub(crate) struct CrashDesk {
    pub(crate) table: RefCell<CrashTable>,
    /// News that is not told yet.
    pub(crate) untold: RefCell<Vec<CrashNews>>,
    /// When a list of all crashes may be sent again.
    pub(crate) list_after: Cell<Moment>,
    /// Broken calls whose targets may be found to have crashed.
    breaks: RefCell<VecDeque<BrokenCall>>,
    /// Starts of targets that left as planned, the newest last.
    left: RefCell<VecDeque<(TargetId, TargetBirth)>>,
    /// Suspects under way at this node.
    running: RefCell<HashMap<RequestDigest, usize>>,
}

impl CrashDesk {
    /// Returns what is known of a request.
    pub(crate) fn verdict(&self, now: Moment, digest: &RequestDigest) -> CrashVerdict {
        self.table.borrow().verdict(now, digest)
    }

    /// Notes that a target's entry went after it said that it leaves.
    pub(crate) fn note_left(&self, target: &TargetSpec) {
        let mut left = self.left.borrow_mut();
        if left.len() >= LEFT_LIMIT {
            left.pop_front();
        }
        left.push_back((target.id.clone(), target.born));
    }

    fn has_left(&self, target: &TargetSpec) -> bool {
        let left = self.left.borrow();
        let mut left = left.iter();
        left.any(|(id, born)| *id == target.id && *born == target.born)
    }

    /// Tells whether a copy of a request is under way at this node.
    pub(crate) fn is_running(&self, digest: &RequestDigest) -> bool {
        self.running.borrow().contains_key(digest)
    }

    /// Keeps a broken call until it shows whether its target crashed.
    fn keep_break(&self, call: BrokenCall) {
        let mut breaks = self.breaks.borrow_mut();
        if breaks.len() >= BREAK_LIMIT {
            breaks.pop_front();
        }
        breaks.push_back(call);
    }

    /// Forgets broken calls whose targets did not turn out to have crashed, and returns those that
    /// did.
    fn take_crashed(
        &self,
        now: Moment,
        has_ended: impl Fn(&TargetSpec) -> bool,
    ) -> Vec<BrokenCall> {
        let mut breaks = self.breaks.borrow_mut();
        breaks.retain(|call| now.saturating_sub(call.at) < BREAK_SPAN);
        let all = std::mem::take(&mut *breaks).into_iter();
        let (ended, open): (VecDeque<BrokenCall>, VecDeque<BrokenCall>) =
            all.partition(|call| has_ended(&call.target));
        *breaks = open;
        ended.into()
    }
}

/// Counts a suspect under way at this node until it is dropped.
pub(crate) struct SuspectGuard {
    traffic: Rc<Traffic>,
    digest: RequestDigest,
}

impl SuspectGuard {
    pub(crate) fn new(traffic: &Rc<Traffic>, digest: RequestDigest) -> Self {
        let mut running = traffic.crashes.running.borrow_mut();
        *running.entry(digest).or_default() += 1;
        drop(running);
        Self {
            traffic: traffic.clone(),
            digest,
        }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut running = self.traffic.crashes.running.borrow_mut();
        if let Some(count) = running.get_mut(&self.digest) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.digest);
            }
        }
    }
}

/// Finds out whether a target crashed under a call that broke, and notes it. `place` is held until
/// then, so that no other copy is placed before the crash is known.
pub(crate) async fn check_break<P>(
    traffic: Rc<Traffic>,
    desk: Rc<ServiceDesk>,
    call: BrokenCall,
    place: P,
) {
    check_breaks(&traffic, &desk, vec![call]).await;
    drop(place);
}

/// Finds out whether a target crashed under a call with the pieces of some requests.
pub(crate) async fn check_pieces(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    plan: &BatchPlan,
) {
    let pieces = plan.pieces.iter();
    let digests: BTreeSet<RequestDigest> = pieces.map(|(_, work)| work.digest).collect();
    let is_suspect = plan.pieces.iter().any(|(_, work)| work.is_suspect);
    let is_alone = is_suspect && digests.len() == 1;
    let at = traffic.shared.now();
    let calls = digests.into_iter().map(|digest| BrokenCall {
        digest,
        target: target.clone(),
        is_alone,
        has_begun: true,
        at,
    });
    check_breaks(traffic, desk, calls.collect()).await;
}

/// Finds out whether a target crashed under some requests, and notes it.
async fn check_breaks(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, calls: Vec<BrokenCall>) {
    let Some(target) = calls.first().map(|call| call.target.clone()) else {
        return;
    };
    // A target that leaves ends as planned, and cuts what it still runs.
    let is_leaving = {
        let board = desk.board.borrow();
        board.get(&target.id).is_some_and(|spec| spec.leaving)
    };
    if is_leaving || traffic.crashes.has_left(&target) {
        return;
    }
    let port = probe_port(target.address, PORT_LIMIT).await;
    let now = traffic.shared.now();
    if port == PortState::Refused {
        desk.board.borrow_mut().note_refused(now, &target.id);
    }
    for call in calls {
        if port == PortState::Refused {
            note_crash(traffic, &call, "no connection is taken");
        } else if is_other_start(desk, &target) {
            note_crash(traffic, &call, "it started again");
        } else {
            traffic.crashes.keep_break(call);
        }
    }
}

/// Notes crashes that a service's new list of targets shows.
pub(crate) fn check_starts(traffic: &Rc<Traffic>, desk: &ServiceDesk) {
    let now = traffic.shared.now();
    let service = desk.spec.borrow().name.clone();
    let has_ended = |target: &TargetSpec| target.service == service && is_other_start(desk, target);
    for call in traffic.crashes.take_crashed(now, has_ended) {
        note_crash(traffic, &call, "its entry went or tells of another start");
    }
}

/// Tells whether a target's process is known to have ended since a call was made, unplanned.
fn is_other_start(desk: &ServiceDesk, target: &TargetSpec) -> bool {
    let board = desk.board.borrow();
    let listed = board.get(&target.id);
    listed.is_none_or(|listed| listed.born != target.born && !target.leaving)
}

/// Notes that a target crashed under a call, and tells the others. A call that had not begun to run,
/// and was not alone for that, is innocent.
fn note_crash(traffic: &Rc<Traffic>, call: &BrokenCall, evidence: &str) {
    traffic.shared.metrics.target_crashes.inc();
    let (digest, target) = (&call.digest, &call.target);
    log::warn!(
        "target={} born={} crashed under asks={digest} alone={} begun={}: {evidence}",
        target.id,
        target.born,
        call.is_alone,
        call.has_begun
    );
    let part = match (call.is_alone, call.has_begun) {
        (false, false) => return,
        (false, true) => CrashPart::Shared,
        (true, false) => CrashPart::QueuedTrial,
        (true, true) => CrashPart::BegunTrial,
    };
    let event = CrashEvent::Crashed {
        target: target.id.to_string(),
        born: target.born,
        part,
        is_cleared: false,
    };
    let age = traffic.shared.now().saturating_sub(call.at);
    note_event(traffic, digest, event, age);
}

/// Notes that a request ended well, which clears it if targets crashed while they ran it.
pub(crate) fn note_good_end(traffic: &Rc<Traffic>, digest: &RequestDigest) {
    if !traffic.crashes.table.borrow().is_empty() {
        note_event(traffic, digest, CrashEvent::EndedWell, Duration::ZERO);
    }
}

fn note_event(traffic: &Rc<Traffic>, digest: &RequestDigest, event: CrashEvent, age: Duration) {
    let news = CrashNews {
        digest: digest.0,
        event,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    if take_crash(traffic, &news) {
        tell_crashes(traffic, vec![news]);
    }
}

/// Takes what happened to a request, and says so if that changes what is thought of it; false if
/// nothing is new.
pub(crate) fn take_crash(traffic: &Traffic, news: &CrashNews) -> bool {
    let now = traffic.shared.now();
    let digest = RequestDigest(news.digest);
    let mut table = traffic.crashes.table.borrow_mut();
    let before = table.verdict(now, &digest);
    if !table.apply(now, news) {
        return false;
    }
    let after = table.verdict(now, &digest);
    if before != after {
        log_verdict(&table, now, &digest, after);
    }
    true
}

fn log_verdict(table: &CrashTable, now: Moment, digest: &RequestDigest, verdict: CrashVerdict) {
    let crashes = table.crashes(now, digest);
    let crashes = crashes.map(|((target, born), age)| {
        format!(" [target={target} born={born} {}ms ago]", age.as_millis())
    });
    let crashes: String = crashes.collect();
    match verdict {
        CrashVerdict::Sound => log::info!("asks={digest} is cleared: it ended well"),
        CrashVerdict::Suspect { is_alone } => {
            log::info!("asks={digest} is a suspect: alone={is_alone}{crashes}");
        }
        CrashVerdict::Refused(until) => {
            let span = until.saturating_sub(now).as_secs();
            log::warn!("asks={digest} crashes targets, refused for {span}s:{crashes}");
        }
    }
}
