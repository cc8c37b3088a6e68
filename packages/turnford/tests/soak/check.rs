//! The promises, checked from what clients and targets saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use turnford_standin::RouteRun;
use turnford_standin::RunKind;

use crate::client::CallEnd;
use crate::client::CallRecord;

/// Routes whose requests may run once at most.
const ONCE: [&str; 2] = ["hold", "reply"];

/// Statuses that say that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Events of a whole stream.
const EVENTS: usize = 8;

/// Part of the requests after all faults that must be served.
const LEAST_SERVED: f64 = 0.97;

/// Time after a fault from which nodes are held to it.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// Targets that a request may reach after that, once it has crashed three.
const MORE_LIMIT: usize = 3;

/// A span of a node's life in which a rule holds or is harmed.
#[derive(Clone, Debug)]
pub(crate) struct NodeSpan {
    pub(crate) node: usize,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

impl NodeSpan {
    fn touches(&self, record: &CallRecord) -> bool {
        self.node == record.node && record.ended >= self.begin && record.sent <= self.end
    }
}

/// Returns what broke a promise.
pub(crate) fn check_calls(records: &HashMap<String, CallRecord>, runs: &[RouteRun]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|run| run.kind == RunKind::Request) {
        *counts.entry(&run.attempt).or_default() += 1;
    }
    let mut broken = Vec::new();
    for (attempt, count) in &counts {
        let Some(record) = records.get(*attempt) else {
            broken.push(format!("{attempt} ran, and no client sent it"));
            continue;
        };
        if ONCE.contains(&record.route.as_str()) && *count > 1 {
            broken.push(format!("{attempt} ran {count} times: {record:?}"));
        }
    }
    for record in records.values() {
        let CallEnd::Answer(status, stamp, body) = &record.end else {
            continue;
        };
        let has_run = counts.contains_key(record.attempt.as_str());
        if NOT_RUN.contains(status) && has_run {
            broken.push(format!("said not to have run, but it did: {record:?}"));
        }
        if *status == 200 && !is_own_answer(record, stamp, body) {
            broken.push(format!("not the whole answer of its own: {record:?}"));
        }
        if (400..500).contains(status) && !NOT_RUN.contains(status) {
            broken.push(format!("a proper request denied: {record:?}"));
        }
    }
    broken
}

/// Returns a line if a request that crashes targets reached more of them than it may: three, as long
/// after it crashed the third as nodes take to be in touch.
pub(crate) fn check_crashing(records: &[CallRecord], runs: &[RouteRun]) -> Option<String> {
    let reached = records.iter().filter(|record| {
        let mut own = runs.iter().filter(|run| run.attempt == record.attempt);
        own.any(|run| run.kind == RunKind::Request)
    });
    let reached: Vec<&CallRecord> = reached.collect();
    let third = reached.get(2)?.ended;
    let late = reached
        .iter()
        .filter(|record| record.sent > third + IN_TOUCH);
    let late = late.count();
    (late > MORE_LIMIT).then(|| {
        let all = reached.len();
        format!("a request that crashes targets reached {late} later, {all} in all")
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

/// Returns the requests that a planned stop cut: taken, run, and left without an answer, while
/// nothing else harmed the node or its link, nor the target broke off.
pub(crate) fn check_stops(
    records: &HashMap<String, CallRecord>,
    runs: &[RouteRun],
    stops: &[NodeSpan],
    harms: &[NodeSpan],
) -> Vec<String> {
    let has_run = |record: &CallRecord| {
        let own = runs.iter().filter(|run| run.kind == RunKind::Request);
        let mut own = own.filter(|run| run.attempt == record.attempt).peekable();
        own.peek().is_some() && own.all(|run| !run.is_faulted)
    };
    let cut = records.values().filter(|record| {
        let is_cut = matches!(record.end, CallEnd::Broken(_));
        let in_stop = stops.iter().any(|stop| stop.touches(record));
        let in_harm = harms.iter().any(|harm| harm.touches(record));
        is_cut && in_stop && !in_harm && has_run(record)
    });
    cut.map(|record| format!("cut by a planned stop: {record:?}"))
        .collect()
}

/// Returns a line if too few requests were served after all faults.
pub(crate) fn check_recovery(
    records: &HashMap<String, CallRecord>,
    settled: Instant,
) -> Option<String> {
    let late = records.values().filter(|record| record.sent >= settled);
    let late: Vec<&CallRecord> = late.collect();
    let served = late
        .iter()
        .filter(|record| matches!(record.end, CallEnd::Answer(200, ..)));
    let part = served.count() as f64 / late.len().max(1) as f64;
    if late.is_empty() || part < LEAST_SERVED {
        let bad = late
            .iter()
            .find(|record| !matches!(record.end, CallEnd::Answer(200, ..)));
        return Some(format!(
            "{part:.3} of {} served after all faults, one that was not: {bad:?}",
            late.len()
        ));
    }
    None
}

/// Time after a target said that it leaves, or a configuration was written, by which all nodes keep
/// to it, from the users' bounds with what a busy machine takes.
pub(crate) const IN_FORCE: Duration = Duration::from_millis(2600);
