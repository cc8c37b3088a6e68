//! Tracks requests during which targets crashed, from this node's calls and from other nodes'
//! reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashKey;
use turnford_fleet::CrashKeys;
use turnford_fleet::CrashPart;
use turnford_fleet::CrashSuspect;
use turnford_fleet::CrashTable;
use turnford_fleet::CrashUpdate;
use turnford_fleet::CrashVerdict;
use turnford_fleet::SuccessMemory;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::RequestDigest;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::crash_updates::notify_crashes;
use crate::crash_updates::notify_placers;
use crate::fanout::UpdateQueue;
use crate::suspect_persistence::delete_cleared;
use crate::suspect_persistence::persist_crashed;
use crate::traffic::Traffic;

/// Time after a broken call in which a restart of its target, or the end of the target's store
/// entry, is attributed to a crash: three missed heartbeats, and as long again for the store.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_secs(7);

/// Maximum number of broken calls that are tracked for that.
const MAX_BROKEN_CALLS: usize = 256;

/// Maximum number of departed targets that are remembered: more than leave during the longest
/// stream.
const MAX_DEPARTED: usize = 256;

/// Maximum number of prompt segments in a log line.
const MAX_LOGGED_SEGMENTS: usize = 8;

/// A broken call, with what has to be recorded if its target turns out to have crashed.
#[derive(Clone)]
pub(crate) struct BrokenCall {
    pub(crate) keys: Rc<CrashKeys>,
    pub(crate) target: TargetSpec,
    /// Whether it was the only suspect at the target.
    pub(crate) is_alone: bool,
    /// Whether the target had started to run the request, as far as the node can tell.
    pub(crate) has_started: bool,
    /// Time at which the call broke.
    pub(crate) at: Moment,
}

/// The requests during which targets crashed.
#[derive(Default)]
pub(crate) struct CrashTracker {
    pub(crate) table: RefCell<CrashTable>,
    /// Good ends of this node's requests.
    successes: RefCell<SuccessMemory>,
    /// Updates that have not been sent to other nodes yet.
    pub(crate) pending: UpdateQueue<CrashUpdate>,
    /// Earliest time at which a full snapshot may be sent again.
    pub(crate) snapshot_after: Cell<Moment>,
    /// Broken calls whose targets may still turn out to have crashed.
    broken_calls: RefCell<VecDeque<BrokenCall>>,
    /// Process starts of targets that left as planned, newest last.
    departed: RefCell<VecDeque<(TargetId, ProcessStart)>>,
    /// Number of copies in flight at this node, by suspect.
    running: RefCell<HashMap<RequestDigest, usize>>,
}

impl CrashTracker {
    /// Returns the verdict on a request, regardless of its prompt.
    pub(crate) fn verdict(&self, now: Moment, digest: &RequestDigest) -> CrashVerdict {
        self.table.borrow().verdict(now, digest)
    }

    /// Returns what a request is refused or on trial for, if anything.
    pub(crate) fn suspect(&self, now: Moment, keys: &CrashKeys) -> Option<CrashSuspect> {
        self.table.borrow().suspect(now, keys)
    }

    /// Records that the entry of a target disappeared after the target had announced that it
    /// leaves.
    pub(crate) fn record_departure(&self, target: &TargetSpec) {
        let mut departed = self.departed.borrow_mut();
        if departed.len() >= MAX_DEPARTED {
            departed.pop_front();
        }
        departed.push_back((target.id.clone(), target.process_start));
    }

    /// Returns whether a target left as planned.
    pub(crate) fn has_departed(&self, target: &TargetSpec) -> bool {
        let departed = self.departed.borrow();
        let mut departed = departed.iter();
        departed.any(|(id, born)| *id == target.id && *born == target.process_start)
    }

    /// Returns whether a request with one of the same suspected keys is in flight at this node.
    pub(crate) fn is_running(&self, suspect: &CrashSuspect) -> bool {
        let running = self.running.borrow();
        let mut members = suspect.members.iter();
        members.any(|(digest, _)| running.contains_key(digest))
    }

    /// Tracks a broken call until it is known whether its target crashed.
    pub(crate) fn add_broken_call(&self, call: BrokenCall) {
        let mut broken_calls = self.broken_calls.borrow_mut();
        if broken_calls.len() >= MAX_BROKEN_CALLS {
            broken_calls.pop_front();
        }
        broken_calls.push_back(call);
    }

    /// Drops broken calls that are past the detection window, and removes and returns those whose
    /// targets crashed.
    pub(crate) fn take_crashed(
        &self,
        now: Moment,
        has_ended: impl Fn(&TargetSpec) -> bool,
    ) -> Vec<BrokenCall> {
        let mut broken_calls = self.broken_calls.borrow_mut();
        broken_calls.retain(|call| now.saturating_sub(call.at) < CRASH_DETECTION_WINDOW);
        let all = std::mem::take(&mut *broken_calls).into_iter();
        let (ended, open): (VecDeque<BrokenCall>, VecDeque<BrokenCall>) =
            all.partition(|call| has_ended(&call.target));
        *broken_calls = open;
        ended.into()
    }
}

/// Counts a suspect as in flight at this node until dropped.
pub(crate) struct SuspectGuard {
    traffic: Rc<Traffic>,
    digests: Vec<RequestDigest>,
}

impl SuspectGuard {
    pub(crate) fn new(traffic: &Rc<Traffic>, suspect: &CrashSuspect) -> Self {
        let members = suspect.members.iter();
        let digests: Vec<RequestDigest> = members.map(|(digest, _)| *digest).collect();
        let mut running = traffic.crashes.running.borrow_mut();
        for digest in &digests {
            *running.entry(*digest).or_default() += 1;
        }
        drop(running);
        Self {
            traffic: traffic.clone(),
            digests,
        }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut running = self.traffic.crashes.running.borrow_mut();
        for digest in &self.digests {
            if let Some(count) = running.get_mut(digest) {
                *count -= 1;
                if *count == 0 {
                    running.remove(digest);
                }
            }
        }
    }
}

/// Records that a target crashed during a call and notifies other nodes. A request may crash its target
/// before anything shows that it has started to run.
pub(crate) fn record_crash(traffic: &Rc<Traffic>, call: &BrokenCall, evidence: &str) {
    traffic.shared.metrics.target_crashes.inc();
    let (keys, target) = (&call.keys, &call.target);
    log::warn!(
        "target={} born={} crashed under asks={} segments={} alone={} begun={}: {evidence}",
        target.id,
        target.process_start,
        keys.request,
        format_segments(keys),
        call.is_alone,
        call.has_started
    );
    let now = traffic.shared.now();
    let tested = traffic.crashes.table.borrow().tested(now, keys);
    let mut events = Vec::new();
    let age = now.saturating_sub(call.at);
    for key in keys.iter() {
        let is_tested = call.is_alone && tested.contains(&key.digest);
        let part = match (is_tested, call.has_started) {
            (false, _) => CrashPart::Shared,
            (true, false) => CrashPart::QueuedTrial,
            (true, true) => CrashPart::BegunTrial,
        };
        let event = CrashEvent::Crashed {
            target: target.id.to_string(),
            born: target.process_start,
            part,
            is_cleared: false,
        };
        events.push((key, event, age));
        if let Some(age) = traffic.crashes.successes.borrow().age(now, &key.digest) {
            events.push((key, CrashEvent::EndedWell, age));
        }
    }
    record_events(traffic, events);
}

fn format_segments(keys: &CrashKeys) -> String {
    let ids = keys.iter().filter_map(|key| key.segment);
    let ids = ids.take(MAX_LOGGED_SEGMENTS);
    let ids: Vec<String> = ids.map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Records that a request ended cleanly, which clears it and its prompt segments if targets crashed
/// under them earlier.
pub(crate) fn record_clean_end(traffic: &Rc<Traffic>, keys: &CrashKeys) {
    let now = traffic.shared.now();
    let digests = keys.iter().map(|key| key.digest);
    traffic.crashes.successes.borrow_mut().record(now, digests);
    if traffic.crashes.table.borrow().is_empty() {
        return;
    }
    let events = keys.iter();
    let events = events.map(|key| (key, CrashEvent::EndedWell, Duration::ZERO));
    record_events(traffic, events.collect());
}

/// Applies events of one call, each with its age, and notifies other nodes of those that are new.
fn record_events(traffic: &Rc<Traffic>, events: Vec<(CrashKey, CrashEvent, Duration)>) {
    let now = traffic.shared.now();
    let mut updates = Vec::new();
    for (key, event, age) in events {
        let table = traffic.crashes.table.borrow();
        let crashes = table.crashes(now, &key.digest).count();
        drop(table);
        let has_ended_well = event == CrashEvent::EndedWell;
        let update = CrashUpdate {
            digest: key.digest.0,
            event,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        };
        if !apply_crash(traffic, &update) {
            continue;
        }
        updates.push(update);
        if has_ended_well {
            delete_cleared(traffic, key, crashes);
        } else {
            persist_crashed(traffic, key);
        }
    }
    if !updates.is_empty() {
        notify_placers(traffic, &updates);
        notify_crashes(traffic, updates);
    }
}

/// Applies a crash event and logs it if it changes the verdict on the request. Returns `false` if
/// the event was known already.
pub(crate) fn apply_crash(traffic: &Traffic, update: &CrashUpdate) -> bool {
    let now = traffic.shared.now();
    let digest = RequestDigest(update.digest);
    let mut table = traffic.crashes.table.borrow_mut();
    let before = table.verdict(now, &digest);
    if !table.apply(now, update) {
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
            let seconds = until.saturating_sub(now).as_secs();
            log::warn!("asks={digest} crashes targets, refused for {seconds}s:{crashes}");
        }
    }
}
