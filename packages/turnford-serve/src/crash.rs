//! What this node knows of requests under which targets crashed, and what it sees of them itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::CrashVerdict;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::RequestDigest;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::crash_updates::tell_crashes;
use crate::crash_updates::tell_placers;
use crate::fanout::NewsQueue;
use crate::suspect_persistence::forget_cleared;
use crate::suspect_persistence::keep_crashed;
use crate::traffic::Traffic;

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
    pub(crate) has_started: bool,
    /// When it broke.
    pub(crate) at: Moment,
}

/// The requests under which targets crashed.
#[derive(Default)]
pub(crate) struct CrashTracker {
    pub(crate) table: RefCell<CrashTable>,
    /// News that is not told yet.
    pub(crate) untold: NewsQueue<CrashUpdate>,
    /// When a list of all crashes may be sent again.
    pub(crate) list_after: Cell<Moment>,
    /// Broken calls whose targets may be found to have crashed.
    breaks: RefCell<VecDeque<BrokenCall>>,
    /// Starts of targets that left as planned, the newest last.
    left: RefCell<VecDeque<(TargetId, ProcessStart)>>,
    /// Suspects under way at this node.
    running: RefCell<HashMap<RequestDigest, usize>>,
}

impl CrashTracker {
    /// Returns what is known of a request.
    pub(crate) fn verdict(&self, now: Moment, digest: &RequestDigest) -> CrashVerdict {
        self.table.borrow().verdict(now, digest)
    }

    /// Notes that a target's entry went after it said that it leaves.
    pub(crate) fn record_departure(&self, target: &TargetSpec) {
        let mut left = self.left.borrow_mut();
        if left.len() >= LEFT_LIMIT {
            left.pop_front();
        }
        left.push_back((target.id.clone(), target.process_start));
    }

    /// Tells whether a target left as planned.
    pub(crate) fn has_left(&self, target: &TargetSpec) -> bool {
        let left = self.left.borrow();
        let mut left = left.iter();
        left.any(|(id, born)| *id == target.id && *born == target.process_start)
    }

    /// Tells whether a copy of a request is under way at this node.
    pub(crate) fn is_running(&self, digest: &RequestDigest) -> bool {
        self.running.borrow().contains_key(digest)
    }

    /// Keeps a broken call until it shows whether its target crashed.
    pub(crate) fn keep_break(&self, call: BrokenCall) {
        let mut breaks = self.breaks.borrow_mut();
        if breaks.len() >= BREAK_LIMIT {
            breaks.pop_front();
        }
        breaks.push_back(call);
    }

    /// Forgets broken calls whose targets did not turn out to have crashed, and returns those that
    /// did.
    pub(crate) fn take_crashed(
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

/// Notes that a target crashed under a call, and tells the others. A call that had not begun to run,
/// and was not alone for that, is innocent.
pub(crate) fn note_crash(traffic: &Rc<Traffic>, call: &BrokenCall, evidence: &str) {
    traffic.shared.metrics.target_crashes.inc();
    let (digest, target) = (&call.digest, &call.target);
    log::warn!(
        "target={} born={} crashed under asks={digest} alone={} begun={}: {evidence}",
        target.id,
        target.process_start,
        call.is_alone,
        call.has_started
    );
    let part = match (call.is_alone, call.has_started) {
        (false, false) => return,
        (false, true) => CrashPart::Shared,
        (true, false) => CrashPart::QueuedTrial,
        (true, true) => CrashPart::BegunTrial,
    };
    let event = CrashEvent::Crashed {
        target: target.id.to_string(),
        born: target.process_start,
        part,
        is_cleared: false,
    };
    let age = traffic.shared.now().saturating_sub(call.at);
    note_event(traffic, digest, event, age);
}

/// Notes that a request ended well, which clears it if targets crashed while they ran it.
pub(crate) fn record_clean_end(traffic: &Rc<Traffic>, digest: &RequestDigest) {
    if !traffic.crashes.table.borrow().is_empty() {
        note_event(traffic, digest, CrashEvent::EndedWell, Duration::ZERO);
    }
}

fn note_event(traffic: &Rc<Traffic>, digest: &RequestDigest, event: CrashEvent, age: Duration) {
    let now = traffic.shared.now();
    let crashes = traffic.crashes.table.borrow().crashes(now, digest).count();
    let has_ended_well = event == CrashEvent::EndedWell;
    let news = CrashUpdate {
        digest: digest.0,
        event,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    if !take_crash(traffic, &news) {
        return;
    }
    tell_placers(traffic, &news);
    tell_crashes(traffic, vec![news]);
    if has_ended_well {
        forget_cleared(traffic, *digest, crashes);
    } else {
        keep_crashed(traffic, *digest);
    }
}

/// Takes what happened to a request, and says so if that changes what is thought of it; false if
/// nothing is new.
pub(crate) fn take_crash(traffic: &Traffic, news: &CrashUpdate) -> bool {
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
        CrashVerdict::Clear => log::info!("asks={digest} is cleared: it ended well"),
        CrashVerdict::Suspect { is_alone, .. } => {
            log::info!("asks={digest} is a suspect: alone={is_alone}{crashes}");
        }
        CrashVerdict::Refused(until) => {
            let span = until.saturating_sub(now).as_secs();
            log::warn!("asks={digest} crashes targets, refused for {span}s:{crashes}");
        }
    }
}
