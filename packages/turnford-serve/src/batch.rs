//! Calls that carry a batch of pieces, and what they reveal about their target.

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
use turnford_http::wait_timeout;
use turnford_policy::BatchPlan;
use turnford_policy::Moment;
use turnford_policy::TargetSpec;

use crate::call::call_target;
use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::crash_check::check_broken_pieces;
use crate::metrics::ServiceEvent;
use crate::pieces::PieceCell;
use crate::retries::try_take_retries;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Multiple of its expected time after which the pieces of a call are offered to other targets as
/// well.
const HEDGE_FACTOR: f64 = 2.5;

/// Time after which a call has fetched its inputs: a few megabytes take some milliseconds over
/// gigabit links.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(60);

/// Slowness of a target's recent calls, as a multiple of the expected time, below which it is
/// assumed to start calls at once.
const UNCONTENDED_FACTOR: f64 = 1.25;

/// Time after a lost call in which further calls may be lost: faults of targets last some seconds.
const FAILURE_WINDOW: Duration = Duration::from_secs(4);

const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Multiple of its expected time after which a call's target is probed. A slow target still answers
/// the probe; a target that is down or unreachable does not, and its pieces are sent elsewhere.
const OVERDUE_FACTOR: f64 = 1.3;

/// Timeout of a probe. It allows for a lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between probes during a call.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches a target's report of its free space. Space that is not free and that this node did not
/// use counts as used by others.
pub(crate) async fn fetch_report(cell: PieceCell, target: TargetSpec) {
    let report = read_report(&cell, &target, REPORT_TIMEOUT).await;
    let now = cell.traffic.shared.now();
    match report {
        Ok(report) => {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.record_report(now, &target.id, report.max_free_bytes);
        }
        Err(reason) => {
            log::info!("target={} report not available: {reason}", target.id);
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
    let request = encode_report(&host, &target.id).map_err(|error| error.to_string())?;
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
        wait_timeout(timeout).await;
        Err(CallError::Unknown("the report timed out"))
    };
    let (_, body) = read.or(late).await.map_err(|error| format!("{error:?}"))?;
    decode_report(&body).map_err(|error| error.to_string())
}

/// Makes one call and dispatches what can be sent after it.
pub(crate) async fn run_batch(cell: PieceCell, plan: BatchPlan) {
    let id = plan.target.clone();
    let reserved = plan.result_bytes();
    let target = cell.context.targets.borrow().get(&id).cloned();
    let results = match target {
        Some(target) => run_call(&cell, &target, plan).await,
        None => {
            cell.requeue_pieces(plan, "the target is no longer listed", false);
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

/// Makes a call. Returns the handles and sizes, in bytes, of the results that the target stores.
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
        Err(CallError::Disconnected("the target did not answer a probe"))
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
                // Its pieces may only go to another target once it is known whether they crash it.
                check_broken_pieces(traffic, &cell.context, target, &plan).await;
            }
            handle_error(cell, target, plan, &error);
            Vec::new()
        }
    }
}

/// Returns whether a target is expected to start a call at once and to complete it: its recent
/// calls took no longer than expected, so no other node uses it, and no call of its cell was lost
/// recently. The inputs of a lost call are needed again.
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

/// Monitors a call that takes longer than expected. Returns when its target is unresponsive.
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

/// Probes a target by requesting its report.
async fn is_unresponsive(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let backoff_until = cell.context.targets.borrow().backoff_until(now, &target.id);
    let limit_state = cell.context.limits.table.borrow().state(&target.id);
    if backoff_until.is_some() || limit_state.needs_permit() {
        // The target accepts no probes either; the call goes on.
        return false;
    }
    let report = read_report(cell, target, PROBE_TIMEOUT).await;
    if let Err(reason) = &report {
        log::info!(
            "target={} call is overdue and the probe failed: {reason}",
            target.id
        );
        // The target must answer before it gets another call.
        let mut scheduler = cell.queue.scheduler.borrow_mut();
        scheduler.invalidate_report(&target.id);
    }
    report.is_err()
}

/// Offers the pieces of an overdue call to other targets as well; the first result counts.
fn hedge_pieces(cell: &PieceCell, target: &TargetSpec, plan: &BatchPlan, expected: Duration) {
    log::info!(
        "target={} pieces={} overdue, offered to other targets",
        target.id,
        plan.pieces.len()
    );
    record_speed(cell, target, expected.mul_f64(HEDGE_FACTOR), expected);
    if cell.queue.scheduler.borrow().queue_len() > 0 {
        // Other targets have enough queued work; running these pieces twice would only delay it.
        return;
    }
    for (ticket, work) in &plan.pieces {
        let is_possible = cell.queue.has_inputs(*ticket);
        if is_possible && try_take_retries(&cell.traffic, &cell.context, 1) {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.requeue(*ticket, work.clone());
        }
    }
    cell.dispatch();
}

/// Records a call's time relative to the time expected from the configuration.
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
        CallError::CrashesTargets(_) => {
            cell.requeue_pieces(plan, "its request crashes targets", false);
        }
        CallError::NoRelay(reason) => {
            let mut scheduler = cell.queue.scheduler.borrow_mut();
            scheduler.record_refusal(now, &target.id);
            drop(scheduler);
            cell.requeue_pieces(plan, reason, false);
        }
        CallError::Limited => {
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Limited);
            cell.requeue_pieces(plan, "the target's rate limit is used up", false);
        }
        CallError::NotRun(status) => {
            log::debug!("target={} refused {count} pieces: {status}", target.id);
            cell.queue
                .scheduler
                .borrow_mut()
                .record_refusal(now, &target.id);
            cell.requeue_pieces(plan, "the target refused it", true);
        }
        CallError::Disconnected(_) | CallError::OtherResponse | CallError::Unknown(_) => {
            let reason = error.reason();
            log::info!("target={} pieces={count} call failed: {reason}", target.id);
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

/// Returns the time until the latest deadline of a call's pieces.
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
    let request = encode_pieces(&host, &target.id, &items).map_err(|error| {
        log::error!(
            "target={} cannot encode a call of pieces: {error}",
            target.id
        );
        CallError::NotSent("the call can't be encoded")
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
        Err(CallError::Unknown("the response timed out"))
    };
    let (parts, body) = exchange.or(late).await?;
    if !parts.status.is_success() {
        return Err(CallError::Unknown("the target returned an error status"));
    }
    decode_pieces(&body, items.len()).map_err(|error| {
        log::warn!("target={} invalid response: {error}", target.id);
        CallError::Unknown("the response body is invalid")
    })
}
