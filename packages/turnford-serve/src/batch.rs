//! Calls of pieces, and what they tell of their target.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_adapter::decode_pieces;
use turnford_adapter::decode_report;
use turnford_adapter::encode_pieces;
use turnford_adapter::encode_report;
use turnford_adapter::PieceItem;
use turnford_adapter::PieceStatus;
use turnford_adapter::StageReport;
use turnford_policy::BatchPlan;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;

use crate::call::call_target;
use crate::call::CallError;
use crate::call::CallPurpose;
use crate::crash_check::check_broken_pieces;
use crate::metrics::ServiceEvent;
use crate::pieces::PieceCell;

/// Longest body of an answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Times its expected span after which the pieces of a call are offered to other targets, too.
const HEDGE_FACTOR: f64 = 2.5;

/// Time after its begin by which a call has fetched its inputs: a few megabytes over links of
/// gigabits take some milliseconds.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(60);

/// Times its expected span by which a target's last calls tell that it begins calls at once.
const UNCONTENDED_FACTOR: f64 = 1.25;

/// Time after a lost call in which another may be lost: faults of targets last some seconds.
const FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Longest wait for a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Times its expected span after which a call's target is asked whether it is there. A slow target
/// still answers that; one that is down or cut off does not, and its pieces go elsewhere.
const OVERDUE_FACTOR: f64 = 1.3;

/// Longest wait for that answer, which a lost packet may delay.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between such questions while a call goes on.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Asks a target for its room, and takes what this node does not know of as taken by others.
pub(crate) async fn fetch_report(cell: PieceCell, target: TargetSpec) {
    let report = read_report(&cell, &target, REPORT_TIMEOUT).await;
    let now = cell.traffic.shared.now();
    match report {
        Ok(report) => {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.record_report(now, &target.id, report.max_free_bytes);
        }
        Err(reason) => {
            log::info!("target={} gave no report: {reason}", target.id);
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.record_report_failure(now, &target.id);
        }
    }
    cell.dispatch();
}

async fn read_report(
    cell: &PieceCell,
    target: &TargetSpec,
    timeout: Duration,
) -> Result<StageReport, String> {
    let host = target.address.to_string();
    let request = encode_report(&host, &target.id).map_err(|problem| problem.to_string())?;
    let purpose = CallPurpose::Maintenance;
    let call = call_target(
        &cell.traffic,
        &cell.context,
        target,
        request,
        purpose,
        timeout,
    );
    let read = async {
        let response = call.await?;
        response.collect(&cell.traffic, MAX_RESPONSE_BYTES).await
    };
    let late = async {
        Timer::after(timeout).await;
        Err(CallError::Unknown("no whole report in time"))
    };
    let (_, body) = read.or(late).await.map_err(|error| format!("{error:?}"))?;
    decode_report(&body).map_err(|problem| problem.to_string())
}

/// Makes one call and looks what can be done next.
pub(crate) async fn run_batch(cell: PieceCell, plan: BatchPlan) {
    let id = plan.target.clone();
    let reserved = plan.result_bytes();
    let target = cell.context.targets.borrow().get(&id).cloned();
    let results = match target {
        Some(target) => run_call(&cell, &target, plan).await,
        None => {
            cell.requeue_pieces(plan, "the target is gone", false);
            Vec::new()
        }
    };
    let now = cell.traffic.shared.now();
    let kept = results
        .iter()
        .map(|(handle, bytes)| (handle.as_str(), *bytes));
    let mut scheduler = cell.queue.scheduler.borrow_mut();
    scheduler.record_end(now, &id, reserved, kept);
    drop(scheduler);
    cell.dispatch();
}

/// Makes a call; returns the results that its target keeps, with their sizes.
async fn run_call(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan) -> Vec<(String, u64)> {
    let traffic = &cell.traffic;
    let started_at = traffic.shared.now();
    let count = plan.pieces.len();
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Batch);
    let expected = cell.queue.scheduler.borrow().call_time(count);
    let timeout = remaining_time(&plan, started_at);
    let call = call_pieces(cell, target, &plan, timeout);
    let is_prompt = is_uncontended(cell, target);
    let meanwhile = async {
        if is_prompt {
            Timer::after(INPUT_FETCH_TIME).await;
            cell.record_read(&plan);
        }
        let elapsed_wait = if is_prompt {
            INPUT_FETCH_TIME
        } else {
            Duration::ZERO
        };
        monitor_call(cell, target, &plan, expected, elapsed_wait).await;
        Err(CallError::Disconnected("the target is silent"))
    };
    let ended = call.or(meanwhile);
    match ended.await {
        Ok(statuses) => {
            let elapsed = traffic.shared.now().saturating_sub(started_at);
            cell.context
                .record_success(traffic.shared.now(), &target.id);
            record_speed(cell, target, elapsed, expected);
            let completed = completed_results(&plan, &statuses);
            if completed.is_empty() && statuses.contains(&PieceStatus::NoSpace) {
                let now = traffic.shared.now();
                cell.queue
                    .scheduler
                    .borrow_mut()
                    .record_refusal(now, &target.id);
            }
            cell.deliver_results(target, plan, statuses);
            completed
        }
        Err(error) => {
            if matches!(error, CallError::Disconnected(_)) {
                // Before its pieces go to another target, it has to be known whether they crash it.
                check_broken_pieces(traffic, &cell.context, target, &plan).await;
            }
            handle_error(cell, target, plan, &error);
            Vec::new()
        }
    }
}

/// Tells whether a target begins a call at once and will end it: its last calls took the time that
/// they should, so nobody else uses it, and no call of its cell was lost lately. The inputs of a call
/// that is lost are needed again.
fn is_uncontended(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let last_failure_at = cell.queue.last_failure_at.get();
    if last_failure_at.is_some_and(|at| now.saturating_sub(at) < FAILURE_WINDOW) {
        return false;
    }
    let table = cell.context.targets.borrow();
    let slowness = table.measured_slowness(now, &target.id);
    slowness.is_some_and(|slowness| slowness < UNCONTENDED_FACTOR)
}

/// Watches a call that takes longer than it should; ends when its target is silent.
async fn monitor_call(
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    expected: Duration,
    elapsed_wait: Duration,
) {
    let overdue = expected.mul_f64(OVERDUE_FACTOR);
    Timer::after(overdue.saturating_sub(elapsed_wait)).await;
    if is_unresponsive(cell, target).await {
        return;
    }
    Timer::after(expected.mul_f64(HEDGE_FACTOR) - overdue).await;
    hedge_pieces(cell, target, plan, expected);
    while !is_unresponsive(cell, target).await {
        Timer::after(PROBE_INTERVAL).await;
    }
}

/// Asks a target whether it is there.
async fn is_unresponsive(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let backoff_until = cell.context.targets.borrow().backoff_until(now, &target.id);
    let limit_state = cell.context.limits.table.borrow().state(&target.id);
    if backoff_until.is_some() || limit_state.needs_permit() {
        // It wants no question either; the call goes on.
        return false;
    }
    let report = read_report(cell, target, PROBE_TIMEOUT).await;
    if let Err(reason) = &report {
        log::info!("target={} is overdue and silent: {reason}", target.id);
        // Before it gets another call, it must answer.
        let mut scheduler = cell.queue.scheduler.borrow_mut();
        scheduler.invalidate_report(&target.id);
    }
    report.is_err()
}

/// Offers the pieces of a call that takes too long to other targets; the first result counts.
fn hedge_pieces(cell: &PieceCell, target: &TargetSpec, plan: &BatchPlan, expected: Duration) {
    log::info!(
        "target={} pieces={} late, offered to others",
        target.id,
        plan.pieces.len()
    );
    record_speed(cell, target, expected.mul_f64(HEDGE_FACTOR), expected);
    let now = cell.traffic.shared.now();
    if cell.queue.scheduler.borrow().queue_len() > 0 {
        // The others have enough to do; making these twice would only make them later.
        return;
    }
    for (ticket, work) in &plan.pieces {
        let is_possible = cell.queue.has_inputs(*ticket);
        if is_possible && cell.context.allowance.borrow_mut().try_take(now) {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.requeue(*ticket, work.clone());
        }
    }
    cell.dispatch();
}

/// Notes how a call's time was against what the configuration says.
fn record_speed(cell: &PieceCell, target: &TargetSpec, elapsed: Duration, expected: Duration) {
    let now = cell.traffic.shared.now();
    let sample = elapsed.as_secs_f64() / expected.as_secs_f64().max(0.001);
    let mut table = cell.context.targets.borrow_mut();
    table.record_slowness(now, &target.id, sample);
}

fn completed_results(plan: &BatchPlan, statuses: &[PieceStatus]) -> Vec<(String, u64)> {
    let pieces = plan.pieces.iter().zip(statuses);
    let completed = pieces.filter_map(|((_, work), end)| match end {
        PieceStatus::Completed(handle) => Some((handle.clone(), work.result_bytes)),
        _ => None,
    });
    completed.collect()
}

fn handle_error(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan, error: &CallError) {
    let traffic = &cell.traffic;
    let now = traffic.shared.now();
    let count = plan.pieces.len();
    match error {
        CallError::NotSent(reason) | CallError::Unavailable(reason) => {
            cell.requeue_pieces(plan, reason, false);
        }
        CallError::Limited => {
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Limited);
            cell.requeue_pieces(plan, "the target's limit is used up", false);
        }
        CallError::NotRun(status) => {
            log::debug!("target={} turned {count} pieces away: {status}", target.id);
            cell.queue
                .scheduler
                .borrow_mut()
                .record_refusal(now, &target.id);
            cell.requeue_pieces(plan, "the target turned it away", false);
        }
        CallError::Disconnected(reason) | CallError::Unknown(reason) => {
            log::info!("target={} pieces={count} no result: {reason}", target.id);
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::CallFailed);
            let mut table = cell.context.targets.borrow_mut();
            table.record_failure(&target.id);
            table.record_refusal(now, &target.id);
            drop(table);
            cell.queue.last_failure_at.set(Some(now));
            cell.requeue_pieces(plan, reason, true);
        }
    }
}

/// Returns the time until the last piece of a call is no longer wanted.
fn remaining_time(plan: &BatchPlan, now: Moment) -> Duration {
    let deadlines = plan.pieces.iter().map(|(_, work)| work.deadline);
    let last = deadlines.max().unwrap_or(now);
    last.saturating_sub(now)
}

async fn call_pieces(
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    timeout: Duration,
) -> Result<Vec<PieceStatus>, CallError> {
    let now = cell.traffic.shared.now();
    let items = plan.pieces.iter().map(|(_, work)| PieceItem {
        attempt: &work.attempt,
        stage: work.stage,
        piece: work.piece,
        remaining: work.deadline.saturating_sub(now),
        piece_key: work.piece_key.as_deref(),
        inputs: &work.inputs,
    });
    let items: Vec<PieceItem<'_>> = items.collect();
    let host = target.address.to_string();
    let request = encode_pieces(&host, &target.id, &items).map_err(|problem| {
        log::error!("target={} call of pieces: {problem}", target.id);
        CallError::NotSent("the call can't be written down")
    })?;
    let exchange = async {
        let purpose = CallPurpose::Pieces;
        let call = call_target(
            &cell.traffic,
            &cell.context,
            target,
            request,
            purpose,
            timeout,
        );
        let response = call.await?;
        response.collect(&cell.traffic, MAX_RESPONSE_BYTES).await
    };
    let late = async {
        Timer::after(timeout).await;
        Err(CallError::Unknown("no whole answer in time"))
    };
    let (parts, body) = exchange.or(late).await?;
    if !parts.status.is_success() {
        return Err(CallError::Unknown("the target failed at the call"));
    }
    decode_pieces(&body, items.len()).map_err(|problem| {
        log::warn!("target={} answer refused: {problem}", target.id);
        CallError::Unknown("the answer makes no sense")
    })
}
