//! What targets say of their limits for all nodes together, and how all nodes learn it.
//!
//! A node that hears a new word tells the one that divides, which orders the words of all nodes, numbers what
//! follows, and tells it on. Beside that, nodes that know of limits compare what they know.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::AllocationRole;
use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::Moment;
use turnford_policy::ProcessStart;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::LimitReport;
use turnford_wire::LimitUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::fanout::ANSWER_LIMIT;
use crate::limits::ServiceLimits;
use crate::limits::NEWS_LIMIT;

/// Nodes that a report is told to, one after the other, until one takes it.
const REPORT_TRIES: usize = 4;

/// Pause before the next of them.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Hears what a target's answer said of its limit.
pub(crate) fn process_limit(
    limits: &Rc<ServiceLimits>,
    target: &TargetSpec,
    heard: LimitObservation,
    attempt: &str,
) {
    let mut board = limits.table.borrow_mut();
    let before = board.observe(&target.id, target.process_start, heard);
    drop(board);
    if let Some(before) = before {
        let word = heard.signal;
        log::info!(
            "target={} names limit={word} before={before:?} request={attempt}",
            target.id
        );
        report_limit(limits, target);
    }
}

/// Tells the node that divides what this one heard last of a target's limit, soon.
pub(crate) fn report_limit(limits: &Rc<ServiceLimits>, target: &TargetSpec) {
    if limits.reports.borrow_mut().insert(target.id.clone()) {
        let report = report_word(limits.clone(), target.id.clone(), target.process_start);
        limits.peers.executor.spawn(report).detach();
    }
}

async fn report_word(limits: Rc<ServiceLimits>, target: TargetId, born: ProcessStart) {
    for _ in 0..REPORT_TRIES {
        let Some(heard) = limits.table.borrow().observation(&target) else {
            break;
        };
        if tell_word(&limits, &target, born, heard).await {
            break;
        }
        Timer::after(REPORT_PAUSE).await;
    }
    limits.reports.borrow_mut().remove(&target);
}

/// Tells one node; true if it divides.
async fn tell_word(
    limits: &Rc<ServiceLimits>,
    target: &TargetId,
    born: ProcessStart,
    heard: LimitObservation,
) -> bool {
    let term = limits.election.borrow().term().cloned();
    let Some(peer) = limits.placer() else {
        return note_word(limits, target, born, heard, term.as_ref());
    };
    let now = limits.peers.shared.now();
    let age = |at: Moment| {
        let age = now.saturating_sub(at).as_millis();
        u64::try_from(age).unwrap_or(u64::MAX)
    };
    let report = LimitReport {
        service: limits.service.to_string(),
        term,
        target: target.to_string(),
        process_start: born,
        rate: heard.signal.rate(),
        sent_ms: age(heard.sent_at),
        received_ms: age(heard.received_at),
    };
    let request = WorkRequest::LimitReport(report);
    let reply = limits.peers.call(peer, &request, ANSWER_LIMIT).await;
    let Some(WorkReply::Limits { updates, .. }) = reply else {
        return false;
    };
    for news in &updates {
        limits.record_holder(&news.term);
        take_limits(limits, news);
    }
    updates
        .iter()
        .any(|news| news.term.holder.work_address == peer)
}

/// Takes a word where this node divides; false if it does not.
fn note_word(
    limits: &Rc<ServiceLimits>,
    target: &TargetId,
    born: ProcessStart,
    heard: LimitObservation,
    asked: Option<&LimitTerm>,
) -> bool {
    let role = limits.resolve_role(asked);
    if !matches!(role, AllocationRole::Allocates { .. }) {
        return false;
    }
    let now = limits.peers.shared.now();
    if let Some(divider) = limits.election.borrow_mut().allocator() {
        divider.observe(now, target, born, heard);
    }
    limits.publish(false);
    true
}

/// Answers a report.
pub(crate) fn answer_report(limits: &Rc<ServiceLimits>, report: &LimitReport) -> WorkReply {
    let now = limits.peers.shared.now();
    let at = |age: u64| now.saturating_sub(Duration::from_millis(age));
    let heard = LimitObservation {
        signal: report
            .rate
            .map_or(LimitSignal::Unlimited, LimitSignal::Rate),
        // It was on its way for so long at most.
        sent_at: at(report.sent_ms).saturating_sub(ANSWER_LIMIT),
        received_at: at(report.received_ms),
    };
    let target: TargetId = report.target.as_str().into();
    let asked = report.term.as_ref();
    note_word(limits, &target, report.process_start, heard, asked);
    WorkReply::Limits {
        updates: own_news(limits).into_iter().collect(),
        behind: Vec::new(),
    }
}

/// Takes another node's news, and passes on what is new.
pub(crate) fn answer_limits(limits: &Rc<ServiceLimits>, news: &LimitUpdate) {
    if take_limits(limits, news) {
        limits.tell(&news.term, &news.entries);
    }
}

/// Takes what the node that divides said; true if anything is new.
pub(crate) fn take_limits(limits: &ServiceLimits, news: &LimitUpdate) -> bool {
    let is_later = limits.note_term(&news.term);
    let mut division = limits.election.borrow_mut();
    let is_told = division.term() == Some(&news.term) && division.allocator().is_none();
    drop(division);
    is_told && (limits.take_entries(&news.entries) || is_later)
}

/// Returns what this node knows of a service's limits, `None` if nobody divides them.
pub(crate) fn own_news(limits: &ServiceLimits) -> Option<LimitUpdate> {
    let term = limits.election.borrow().term().cloned()?;
    let board = limits.table.borrow();
    let entries = board
        .announced()
        .map(|(target, process_start, sequence, state)| LimitEntry {
            target: target.to_string(),
            process_start,
            sequence,
            state,
        });
    Some(LimitUpdate {
        service: limits.service.to_string(),
        term,
        entries: entries.take(NEWS_LIMIT).collect(),
    })
}
