//! Invariants, checked on the records of clients and targets.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use turnford_standin::RouteRun;
use turnford_standin::RunKind;

use crate::client::CallRecord;
use crate::client::CallResult;
use crate::client::ResumedStream;

/// Routes whose requests may run at most once.
const ONCE: [&str; 2] = ["hold", "reply"];

/// Statuses that state that a request hasn't run and won't run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Routes whose timeout is far below that of clients.
const SHORT: [&str; 2] = ["hold", "pay"];

/// Timeout of these routes, and the time after it within which a request must have ended.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);
const END_MARGIN: Duration = Duration::from_millis(500);

/// Requests that may end later, and the ratio of those that outlast their timeout; specified by the platform.
const LATE_LIMIT: usize = 7;
const LATE_RATIO: f64 = 0.25;

/// Events of a complete stream.
const EVENTS: usize = 8;

/// Minimum ratio of served requests after all faults.
const MIN_SERVED_RATIO: f64 = 0.97;

/// Streams that may hold events of two software versions.
const MIXED_LIMIT: usize = 2;

/// Time after a crash after which nodes must have shared it.
const CRASH_SYNC_TIME: Duration = Duration::from_secs(3);

/// Targets that a request may still reach after that time, once it has crashed three.
const LATE_REACH_LIMIT: usize = 3;

/// A time interval of a node, such as a planned stop or a disturbance.
#[derive(Clone, Debug)]
pub(crate) struct NodeInterval {
    pub(crate) node: usize,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

impl NodeInterval {
    fn overlaps(&self, record: &CallRecord) -> bool {
        self.node == record.node && record.ended >= self.begin && record.sent <= self.end
    }
}

/// Returns requests that ran more than once, were reported falsely or got a wrong response.
pub(crate) fn check_calls(records: &HashMap<String, CallRecord>, runs: &[RouteRun]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|run| run.kind == RunKind::Request) {
        *counts.entry(&run.attempt).or_default() += 1;
    }
    let mut violations = Vec::new();
    for (attempt, count) in &counts {
        let Some(record) = records.get(*attempt) else {
            violations.push(format!("{attempt} ran, but no client sent it"));
            continue;
        };
        if ONCE.contains(&record.route.as_str()) && *count > 1 {
            violations.push(format!("{attempt} ran {count} times: {record:?}"));
        }
    }
    for record in records.values() {
        let CallResult::Response(status, stamp, body) = &record.end else {
            continue;
        };
        let has_run = counts.contains_key(record.attempt.as_str());
        if NOT_RUN.contains(status) && has_run {
            violations.push(format!("reported as not run, but it ran: {record:?}"));
        }
        if *status == 200 && !is_own_answer(record, stamp, body) {
            violations.push(format!(
                "incomplete or another request's response: {record:?}"
            ));
        }
        if (400..500).contains(status) && !NOT_RUN.contains(status) {
            violations.push(format!("valid request rejected: {record:?}"));
        }
    }
    violations
}

/// Returns a violation if a request that crashes targets still reached too many of them after it had
/// crashed three and nodes had [`CRASH_SYNC_TIME`] to share that.
pub(crate) fn check_crashing(records: &[CallRecord], runs: &[RouteRun]) -> Option<String> {
    let reached = records.iter().filter(|record| {
        let mut own = runs.iter().filter(|run| run.attempt == record.attempt);
        own.any(|run| run.kind == RunKind::Request)
    });
    let reached: Vec<&CallRecord> = reached.collect();
    let third = reached.get(2)?.ended;
    let late = reached
        .iter()
        .filter(|record| record.sent > third + CRASH_SYNC_TIME);
    let late = late.count();
    (late > LATE_REACH_LIMIT).then(|| {
        let all = reached.len();
        format!("a request that crashes targets reached {late} too late, {all} in total")
    })
}

/// Returns a violation if too many requests at undisturbed nodes ended late after their route's timeout.
pub(crate) fn check_ends(
    records: &HashMap<String, CallRecord>,
    disturbances: &[NodeInterval],
) -> Option<String> {
    let elapsed = |record: &CallRecord| record.ended.duration_since(record.sent);
    let outlasting: Vec<&CallRecord> = records
        .values()
        .filter(|record| SHORT.contains(&record.route.as_str()))
        .filter(|record| elapsed(record) > SHORT_TIMEOUT)
        .filter(|record| !disturbances.iter().any(|one| one.overlaps(record)))
        .collect();
    let late = outlasting
        .iter()
        .filter(|record| elapsed(record) > SHORT_TIMEOUT + END_MARGIN);
    let late: Vec<_> = late.collect();
    let is_violated =
        late.len() > LATE_LIMIT && late.len() as f64 > LATE_RATIO * outlasting.len() as f64;
    is_violated.then(|| {
        let all = outlasting.len();
        format!(
            "{} of {all} that outlast their timeout ended late: {late:?}",
            late.len()
        )
    })
}

/// Returns a violation if more streams than allowed hold events of two software versions.
pub(crate) fn check_versions(resumed: &[ResumedStream], runs: &[RouteRun]) -> Option<String> {
    let version_of = |attempt: &str| {
        let mut own = runs.iter().rev().filter(|run| run.kind == RunKind::Request);
        own.find(|run| run.attempt == attempt)
            .map(|run| run.version.as_str())
    };
    let mixed = resumed.iter().filter(|stream| {
        let (first, second) = (version_of(&stream.first), version_of(&stream.second));
        second.is_some() && first != second
    });
    let mixed: Vec<&ResumedStream> = mixed.collect();
    (mixed.len() > MIXED_LIMIT).then(|| {
        let (count, all) = (mixed.len(), resumed.len());
        format!("{count} of {all} resumed streams went on at another version: {mixed:?}")
    })
}

fn is_own_answer(record: &CallRecord, stamp: &str, body: &str) -> bool {
    if stamp != format!("stamp-{}", record.attempt) {
        return false;
    }
    if record.route != "reply" {
        return body == format!("answer to {}", record.attempt);
    }
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    body == events.collect::<String>()
}

/// Returns the requests that a planned stop cut off: they ran and got no response, although neither
/// the node nor its link was disturbed and the target didn't fail.
pub(crate) fn check_stops(
    records: &HashMap<String, CallRecord>,
    runs: &[RouteRun],
    stops: &[NodeInterval],
    disturbances: &[NodeInterval],
) -> Vec<String> {
    let has_run = |record: &CallRecord| {
        let own = runs.iter().filter(|run| run.kind == RunKind::Request);
        let mut own = own.filter(|run| run.attempt == record.attempt).peekable();
        own.peek().is_some() && own.all(|run| !run.is_faulted)
    };
    let cut = records.values().filter(|record| {
        let is_cut = matches!(record.end, CallResult::Failed(_));
        let in_stop = stops.iter().any(|stop| stop.overlaps(record));
        let is_in_disturbance = disturbances
            .iter()
            .any(|disturbance| disturbance.overlaps(record));
        is_cut && in_stop && !is_in_disturbance && has_run(record)
    });
    cut.map(|record| format!("cut off by a planned stop: {record:?}"))
        .collect()
}

/// Returns a violation if too few requests were served after all faults.
pub(crate) fn check_recovery(
    records: &HashMap<String, CallRecord>,
    recovered_by: Instant,
) -> Option<String> {
    let late = records
        .values()
        .filter(|record| record.sent >= recovered_by);
    let late: Vec<&CallRecord> = late.collect();
    let served = late
        .iter()
        .filter(|record| matches!(record.end, CallResult::Response(200, ..)));
    let part = served.count() as f64 / late.len().max(1) as f64;
    if late.is_empty() || part < MIN_SERVED_RATIO {
        let bad = late
            .iter()
            .find(|record| !matches!(record.end, CallResult::Response(200, ..)));
        return Some(format!(
            "{part:.3} of {} served after all faults, example of a failure: {bad:?}",
            late.len()
        ));
    }
    None
}

/// Time within which all nodes act on a leaving target or a new configuration: the bound specified by
/// the users plus a margin for a busy machine.
pub(crate) const PROPAGATION_TIME: Duration = Duration::from_millis(2600);
