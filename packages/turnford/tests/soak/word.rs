//! Checks that nodes act on what targets announce in their responses.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use turnford_standin::limit_allowance;
use turnford_standin::RouteTarget;
use turnford_standin::TargetArrival;
use turnford_standin::LIMIT_GRACE;
use turnford_standin::LIMIT_WINDOW;

use crate::check::NodeInterval;
use crate::client::CallRecord;

/// Time after a node forwarded a target's announcement that it is leaving after which the node must not
/// send requests to that target; specified by the users.
const LEAVING_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Requests that a node may still send to a target in a back-off period.
const CROSSING_LIMIT: usize = 2;

/// Time after a fault of a node during which it is exempt from the checks; specified by the users.
const EXEMPTION_PERIOD: Duration = Duration::from_secs(3);

/// A rate limit that a target announces, with the time in which it announces it.
#[derive(Clone)]
pub(crate) struct LimitInterval {
    pub(crate) target: RouteTarget,
    /// Calls per second.
    pub(crate) rate: f64,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

/// Returns whether a node was restarted or suspended between two instants.
fn is_interrupted(interruptions: &[NodeInterval], node: usize, from: Instant, to: Instant) -> bool {
    let mut own = interruptions
        .iter()
        .filter(|interval| interval.node == node);
    own.any(|interval| interval.begin <= to && interval.end >= from)
}

/// Returns for each request the target that it reached last, which sent the client's response.
pub(crate) fn last_targets(targets: &[RouteTarget]) -> HashMap<String, String> {
    let mut last: HashMap<String, (Instant, String)> = HashMap::new();
    for target in targets {
        for call in target.arrivals() {
            let known = last.get(&call.attempt);
            if known.is_none_or(|(at, _)| *at < call.at) {
                last.insert(call.attempt, (call.at, target.id().to_owned()));
            }
        }
    }
    let pairs = last.into_iter();
    pairs.map(|(attempt, (_, id))| (attempt, id)).collect()
}

/// Returns a violation for each announcement of a target that it is leaving, if the node that forwarded it
/// sent the target a request more than [`LEAVING_PROPAGATION_TIME`] later.
/// Exempt are nodes that were interrupted in between, and targets that restarted.
pub(crate) fn check_leaving(
    target: &RouteTarget,
    last: &HashMap<String, String>,
    records: &HashMap<String, CallRecord>,
    restarts: &[(String, Instant)],
    interruptions: &[NodeInterval],
) -> Vec<String> {
    let arrivals = target.arrivals();
    let arrived = arrivals.iter();
    let arrived = arrived.filter_map(|call| Some((records.get(&call.attempt)?, call.at)));
    let arrived: Vec<(&CallRecord, Instant)> = arrived.collect();
    let mut violations = Vec::new();
    let is_announcement = |record: &CallRecord| {
        let is_last = last
            .get(&record.attempt)
            .is_some_and(|id| id == target.id());
        record.announced_leaving && is_last
    };
    for (announcing, _) in arrived.iter().filter(|(record, _)| is_announcement(record)) {
        let starts = restarts.iter().filter(|(id, _)| id == target.id());
        let starts = starts
            .map(|(_, at)| *at)
            .filter(|at| *at >= announcing.ended);
        let end = starts.min();
        let late = arrived.iter().find(|(record, at)| {
            let is_late = record.node == announcing.node
                && record.sent > announcing.ended + LEAVING_PROPAGATION_TIME;
            let is_before = end.is_none_or(|end| *at < end);
            let is_exempt = is_interrupted(
                interruptions,
                announcing.node,
                announcing.ended,
                record.sent,
            );
            is_late && is_before && !is_exempt
        });
        if let Some((record, _)) = late {
            let id = target.id();
            violations.push(format!(
                "{id} announced that it is leaving: {announcing:?}, and received {record:?}"
            ));
        }
    }
    violations
}

/// Returns a violation if a node sent a target in a back-off period more requests than may cross the
/// target's announcement.
pub(crate) fn check_backoff(
    target: &RouteTarget,
    records: &HashMap<String, CallRecord>,
    interruptions: &[NodeInterval],
) -> Option<String> {
    let mut counts: HashMap<(usize, Instant), usize> = HashMap::new();
    let mut announced: HashMap<usize, (Instant, Instant)> = HashMap::new();
    for call in target.arrivals() {
        let Some(record) = records.get(&call.attempt) else {
            continue;
        };
        let Some(until) = call.backoff_until else {
            continue;
        };
        let (first, known_until) = *announced.entry(record.node).or_insert((call.at, until));
        if known_until != until {
            announced.insert(record.node, (call.at, until));
            continue;
        }
        let is_crossing = call.at <= first + turnford_standin::BACKOFF_GRACE;
        if !is_crossing && !is_interrupted(interruptions, record.node, first, call.at) {
            *counts.entry((record.node, until)).or_default() += 1;
        }
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    let ((node, _), count) = most.filter(|(_, count)| *count > CROSSING_LIMIT)?;
    let id = target.id();
    Some(format!(
        "node {node} sent {count} requests to {id}, which had requested back-off"
    ))
}

/// Returns a violation if the nodes together sent a target more calls than its announced limit allows.
/// Calls of recently interrupted nodes don't count; calls that can't be attributed to a node count only
/// if no node was interrupted.
pub(crate) fn check_limit(
    limit: &LimitInterval,
    all: &[LimitInterval],
    records: &HashMap<String, CallRecord>,
    interruptions: &[NodeInterval],
) -> Option<String> {
    let id = limit.target.id();
    // A later limit replaces this one, and the end of an earlier limit removes the current one.
    let others = all.iter().filter(|other| other.target.id() == id);
    let boundaries = others.flat_map(|other| [other.begin, other.end]);
    let end = boundaries.filter(|at| *at > limit.begin).min()?;
    let counts = |call: &TargetArrival| {
        let exempt_since = call.at.checked_sub(EXEMPTION_PERIOD).unwrap_or(call.at);
        match records.get(&call.attempt) {
            Some(record) => !is_interrupted(interruptions, record.node, exempt_since, call.at),
            None => !interruptions
                .iter()
                .any(|interval| interval.begin <= call.at && interval.end >= exempt_since),
        }
    };
    let calls = limit.target.arrivals().into_iter().filter(counts);
    let calls = calls.map(|call| call.at);
    let calls: Vec<Instant> = calls
        .filter(|at| *at >= limit.begin + LIMIT_GRACE && *at < end)
        .collect();
    let windows = calls.iter().enumerate().map(|(first, begin)| {
        let following = calls[first..].iter();
        following
            .take_while(|at| **at < *begin + LIMIT_WINDOW)
            .count()
    });
    let worst = windows.max().unwrap_or(0);
    let allowed = limit_allowance(limit.rate);
    (worst > allowed).then(|| {
        let rate = limit.rate;
        format!("{id} announced a limit of {rate} per second and received {worst} of {allowed} calls in 4 s")
    })
}
