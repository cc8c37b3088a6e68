//! Observations of the limits that targets announce for all nodes together, and their
//! dissemination.
//!
//!
//! A node that observes a changed limit reports it to the allocator, which orders the observations
//! of all nodes, numbers its updates and disseminates them. In addition, nodes that know of limits
//! periodically compare digests.

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

use crate::fanout::REPLY_TIMEOUT;
use crate::limits::ServiceLimits;
use crate::limits::MAX_ENTRIES;

/// Maximum number of nodes that a report is sent to in a row, until one accepts it.
const MAX_REPORT_ATTEMPTS: usize = 4;

/// Delay between these attempts.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Processes the limit that a target announced in a response.
pub(crate) fn process_limit(
    limits: &Rc<ServiceLimits>,
    target: &TargetSpec,
    observation: LimitObservation,
    attempt: &str,
) {
    let mut table = limits.table.borrow_mut();
    let before = table.observe(&target.id, target.process_start, observation);
    drop(table);
    if let Some(before) = before {
        let signal = observation.signal;
        log::info!(
            "target={} names limit={signal} before={before:?} request={attempt}",
            target.id
        );
        report_limit(limits, target);
    }
}

/// Schedules a report of this node's last observation of a target's limit to the allocator.
pub(crate) fn report_limit(limits: &Rc<ServiceLimits>, target: &TargetSpec) {
    if limits
        .pending_reports
        .borrow_mut()
        .insert(target.id.clone())
    {
        let report = report_observation(limits.clone(), target.id.clone(), target.process_start);
        limits.peers.executor.spawn(report).detach();
    }
}

async fn report_observation(
    limits: Rc<ServiceLimits>,
    target: TargetId,
    process_start: ProcessStart,
) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(observation) = limits.table.borrow().observation(&target) else {
            break;
        };
        if send_report(&limits, &target, process_start, observation).await {
            break;
        }
        Timer::after(REPORT_RETRY_DELAY).await;
    }
    limits.pending_reports.borrow_mut().remove(&target);
}

/// Reports to one node. Returns `true` if that node is the allocator.
async fn send_report(
    limits: &Rc<ServiceLimits>,
    target: &TargetId,
    process_start: ProcessStart,
    observation: LimitObservation,
) -> bool {
    let term = limits.election.borrow().term().cloned();
    let Some(peer) = limits.placer() else {
        return apply_observation(limits, target, process_start, observation, term.as_ref());
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
        process_start,
        rate: observation.signal.rate(),
        sent_ms: age(observation.sent_at),
        received_ms: age(observation.received_at),
    };
    let request = WorkRequest::LimitReport(report);
    let reply = limits.peers.call(peer, &request, REPLY_TIMEOUT).await;
    let Some(WorkReply::Limits { updates, .. }) = reply else {
        return false;
    };
    for update in &updates {
        limits.record_holder(&update.term);
        apply_limits(limits, update);
    }
    updates
        .iter()
        .any(|update| update.term.holder.work_address == peer)
}

/// Applies an observation if this node is the allocator. Returns `false` if it is not.
fn apply_observation(
    limits: &Rc<ServiceLimits>,
    target: &TargetId,
    process_start: ProcessStart,
    observation: LimitObservation,
    known: Option<&LimitTerm>,
) -> bool {
    let role = limits.resolve_role(known);
    if !matches!(role, AllocationRole::Allocates { .. }) {
        return false;
    }
    let now = limits.peers.shared.now();
    if let Some(allocator) = limits.election.borrow_mut().allocator() {
        allocator.observe(now, target, process_start, observation);
    }
    limits.publish(false);
    true
}

/// Answers a report.
pub(crate) fn answer_report(limits: &Rc<ServiceLimits>, report: &LimitReport) -> WorkReply {
    let now = limits.peers.shared.now();
    let at = |age: u64| now.saturating_sub(Duration::from_millis(age));
    let observation = LimitObservation {
        signal: report
            .rate
            .map_or(LimitSignal::Unlimited, LimitSignal::Rate),
        // The report may have been in transit for this long.
        sent_at: at(report.sent_ms).saturating_sub(REPLY_TIMEOUT),
        received_at: at(report.received_ms),
    };
    let target: TargetId = report.target.as_str().into();
    let known = report.term.as_ref();
    apply_observation(limits, &target, report.process_start, observation, known);
    WorkReply::Limits {
        updates: known_limits(limits).into_iter().collect(),
        behind: Vec::new(),
    }
}

/// Applies another node's update and forwards it if it is new.
pub(crate) fn answer_limits(limits: &Rc<ServiceLimits>, update: &LimitUpdate) {
    if apply_limits(limits, update) {
        limits.notify(&update.term, &update.entries);
    }
}

/// Applies an update of the allocator. Returns `true` if any of it is new.
pub(crate) fn apply_limits(limits: &ServiceLimits, update: &LimitUpdate) -> bool {
    let is_later = limits.observe_term(&update.term);
    let mut election = limits.election.borrow_mut();
    let is_remote = election.term() == Some(&update.term) && election.allocator().is_none();
    drop(election);
    is_remote && (limits.apply_entries(&update.entries) || is_later)
}

/// Returns what this node knows of the limits of a service, or `None` if there is no allocator.
pub(crate) fn known_limits(limits: &ServiceLimits) -> Option<LimitUpdate> {
    let term = limits.election.borrow().term().cloned()?;
    let table = limits.table.borrow();
    let entries = table
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
        entries: entries.take(MAX_ENTRIES).collect(),
    })
}
