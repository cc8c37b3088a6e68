//! What targets say in their answers, checked for each node that heard it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use turnford_standin::limit_allowance;
use turnford_standin::RouteTarget;
use turnford_standin::TargetArrival;
use turnford_standin::LIMIT_GRACE;
use turnford_standin::LIMIT_WINDOW;

use crate::check::NodeSpan;
use crate::client::CallRecord;

/// Time after a node has passed on the word that a target leaves from which it sends it nothing, from the
/// users' bounds.
const LEFT_SPAN: Duration = Duration::from_secs(2);

/// Requests that a target that rests may get from a node all the same.
const CROSSING_LIMIT: usize = 2;

/// Time for which a fault of a node excuses it, from the users' bounds.
const EXCUSE_SPAN: Duration = Duration::from_secs(3);

/// A limit that a target names.
#[derive(Clone)]
pub(crate) struct LimitSpan {
    pub(crate) target: RouteTarget,
    /// Calls a second.
    pub(crate) rate: f64,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

/// Tells whether a node was restarted or stood still between two moments.
fn is_interrupted(interrupts: &[NodeSpan], node: usize, from: Instant, to: Instant) -> bool {
    let mut own = interrupts.iter().filter(|span| span.node == node);
    own.any(|span| span.begin <= to && span.end >= from)
}

/// Returns the target that each request reached last: the answer that its client got is of that one.
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

/// Returns requests that reached a target from a node long after that had passed on its word that it
/// leaves. A node that was interrupted since, or a target that started again, is excused.
pub(crate) fn check_leaving(
    target: &RouteTarget,
    last: &HashMap<String, String>,
    records: &HashMap<String, CallRecord>,
    reborn: &[(String, Instant)],
    interrupts: &[NodeSpan],
) -> Vec<String> {
    let arrivals = target.arrivals();
    let came = arrivals.iter();
    let came = came.filter_map(|call| Some((records.get(&call.attempt)?, call.at)));
    let came: Vec<(&CallRecord, Instant)> = came.collect();
    let mut broken = Vec::new();
    let is_word = |record: &CallRecord| {
        let is_last = last
            .get(&record.attempt)
            .is_some_and(|id| id == target.id());
        record.says_leaving && is_last
    };
    for (told, _) in came.iter().filter(|(record, _)| is_word(record)) {
        let starts = reborn.iter().filter(|(id, _)| id == target.id());
        let starts = starts.map(|(_, at)| *at).filter(|at| *at >= told.ended);
        let end = starts.min();
        let late = came.iter().find(|(record, at)| {
            let is_late = record.node == told.node && record.sent > told.ended + LEFT_SPAN;
            let is_before = end.is_none_or(|end| *at < end);
            let is_excused = is_interrupted(interrupts, told.node, told.ended, record.sent);
            is_late && is_before && !is_excused
        });
        if let Some((record, _)) = late {
            let id = target.id();
            broken.push(format!(
                "{id} said that it leaves: {told:?}, and got {record:?}"
            ));
        }
    }
    broken
}

/// Returns a line if a node sent more requests to a target than may cross its word, while it rested.
pub(crate) fn check_rests(
    target: &RouteTarget,
    records: &HashMap<String, CallRecord>,
    interrupts: &[NodeSpan],
) -> Option<String> {
    let mut counts: HashMap<(usize, Instant), usize> = HashMap::new();
    let mut told: HashMap<usize, (Instant, Instant)> = HashMap::new();
    for call in target.arrivals() {
        let Some(record) = records.get(&call.attempt) else {
            continue;
        };
        let Some(until) = call.backoff_until else {
            continue;
        };
        let (first, rest) = *told.entry(record.node).or_insert((call.at, until));
        if rest != until {
            told.insert(record.node, (call.at, until));
            continue;
        }
        let is_crossing = call.at <= first + turnford_standin::BACKOFF_GRACE;
        if !is_crossing && !is_interrupted(interrupts, record.node, first, call.at) {
            *counts.entry((record.node, until)).or_default() += 1;
        }
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    let ((node, _), count) = most.filter(|(_, count)| *count > CROSSING_LIMIT)?;
    let id = target.id();
    Some(format!(
        "node {node} sent {count} requests to {id}, which had asked it for rest"
    ))
}

/// Returns a line if nodes together sent a target more than the limit that it named allows. What nodes send
/// that were interrupted lately doesn't count; calls that tell no node count where none was.
pub(crate) fn check_limit(
    limit: &LimitSpan,
    all: &[LimitSpan],
    records: &HashMap<String, CallRecord>,
    interrupts: &[NodeSpan],
) -> Option<String> {
    let id = limit.target.id();
    // A later limit takes the place of this one, and the end of an earlier one ends all.
    let others = all.iter().filter(|other| other.target.id() == id);
    let cuts = others.flat_map(|other| [other.begin, other.end]);
    let end = cuts.filter(|at| *at > limit.begin).min()?;
    let counts = |call: &TargetArrival| {
        let lately = call.at.checked_sub(EXCUSE_SPAN).unwrap_or(call.at);
        match records.get(&call.attempt) {
            Some(record) => !is_interrupted(interrupts, record.node, lately, call.at),
            None => !interrupts
                .iter()
                .any(|span| span.begin <= call.at && span.end >= lately),
        }
    };
    let calls = limit.target.arrivals().into_iter().filter(counts);
    let calls = calls.map(|call| call.at);
    let calls: Vec<Instant> = calls
        .filter(|at| *at >= limit.begin + LIMIT_GRACE && *at < end)
        .collect();
    let windows = calls.iter().enumerate().map(|(first, begin)| {
        let later = calls[first..].iter();
        later.take_while(|at| **at < *begin + LIMIT_WINDOW).count()
    });
    let worst = windows.max().unwrap_or(0);
    let allowed = limit_allowance(limit.rate);
    (worst > allowed).then(|| {
        let rate = limit.rate;
        format!("{id} named a limit of {rate} a second and got {worst} of {allowed} in 4 s")
    })
}
