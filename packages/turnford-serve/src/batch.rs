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
const ANSWER_LIMIT: usize = 256 * 1024;

/// Times its expected span after which the pieces of a call are offered to other targets, too.
const LATE_FACTOR: f64 = 2.5;

/// Time after its begin by which a call has fetched its inputs: a few megabytes over links of
/// gigabits take some milliseconds.
const FETCH_SPAN: Duration = Duration::from_millis(60);

/// Times its expected span by which a target's last calls tell that it begins calls at once.
const CALM_FACTOR: f64 = 1.25;

/// Time after a lost call in which another may be lost: faults of targets last some seconds.
const UNSURE_SPAN: Duration = Duration::from_secs(4);

/// Longest wait for a target's report.
const REPORT_LIMIT: Duration = Duration::from_millis(150);

/// Times its expected span after which a call's target is asked whether it is there. A slow target
/// still answers that; one that is down or cut off does not, and its pieces go elsewhere.
const OVERDUE_FACTOR: f64 = 1.3;

/// Longest wait for that answer, which a lost packet may delay.
const ALIVE_LIMIT: Duration = Duration::from_millis(400);

/// Pause between such questions while a call goes on.
const ALIVE_PAUSE: Duration = Duration::from_secs(1);

/// Asks a target for its room, and takes what this node does not know of as taken by others.
pub(crate) async fn ask_report(cell: PieceCell, target: TargetSpec) {
    let report = read_report(&cell, &target, REPORT_LIMIT).await;
    let now = cell.traffic.shared.now();
    match report {
        Ok(report) => {
            let mut board = cell.pieces.board.borrow_mut();
            board.record_report(now, &target.id, report.max_free_bytes);
        }
        Err(reason) => {
            log::info!("target={} gave no report: {reason}", target.id);
            let mut board = cell.pieces.board.borrow_mut();
            board.record_report_failure(now, &target.id);
        }
    }
    cell.pump();
}

async fn read_report(
    cell: &PieceCell,
    target: &TargetSpec,
    limit: Duration,
) -> Result<StageReport, String> {
    let host = target.address.to_string();
    let request = encode_report(&host, &target.id).map_err(|problem| problem.to_string())?;
    let purpose = CallPurpose::Maintenance;
    let call = call_target(&cell.traffic, &cell.desk, target, request, purpose, limit);
    let read = async {
        let answer = call.await?;
        answer.collect(&cell.traffic, ANSWER_LIMIT).await
    };
    let late = async {
        Timer::after(limit).await;
        Err(CallError::Unknown("no whole report in time"))
    };
    let (_, body) = read.or(late).await.map_err(|fault| format!("{fault:?}"))?;
    decode_report(&body).map_err(|problem| problem.to_string())
}

/// Makes one call and looks what can be done next.
pub(crate) async fn run_batch(cell: PieceCell, plan: BatchPlan) {
    let id = plan.target.clone();
    let reserved = plan.result_bytes();
    let target = cell.desk.targets.borrow().get(&id).cloned();
    let results = match target {
        Some(target) => run_call(&cell, &target, plan).await,
        None => {
            cell.give_back(plan, "the target is gone", false);
            Vec::new()
        }
    };
    let now = cell.traffic.shared.now();
    let kept = results
        .iter()
        .map(|(handle, bytes)| (handle.as_str(), *bytes));
    let mut board = cell.pieces.board.borrow_mut();
    board.record_end(now, &id, reserved, kept);
    drop(board);
    cell.pump();
}

/// Makes a call; returns the results that its target keeps, with their sizes.
async fn run_call(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan) -> Vec<(String, u64)> {
    let traffic = &cell.traffic;
    let begun = traffic.shared.now();
    let count = plan.pieces.len();
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::Batch);
    let span = cell.pieces.board.borrow().call_time(count);
    let limit = longest_wait(&plan, begun);
    let call = call_pieces(cell, target, &plan, limit);
    let reads = is_calm(cell, target);
    let meanwhile = async {
        if reads {
            Timer::after(FETCH_SPAN).await;
            cell.note_read(&plan);
        }
        let waited = if reads { FETCH_SPAN } else { Duration::ZERO };
        watch_call(cell, target, &plan, span, waited).await;
        Err(CallError::Disconnected("the target is silent"))
    };
    let ended = call.or(meanwhile);
    match ended.await {
        Ok(ends) => {
            let took = traffic.shared.now().saturating_sub(begun);
            cell.desk.note_success(traffic.shared.now(), &target.id);
            note_speed(cell, target, took, span);
            let made = made_results(&plan, &ends);
            if made.is_empty() && ends.contains(&PieceStatus::NoSpace) {
                let now = traffic.shared.now();
                cell.pieces
                    .board
                    .borrow_mut()
                    .record_refusal(now, &target.id);
            }
            cell.end_pieces(target, plan, ends);
            made
        }
        Err(fault) => {
            if matches!(fault, CallError::Disconnected(_)) {
                // Before its pieces go to another target, it has to be known whether they crash it.
                check_broken_pieces(traffic, &cell.desk, target, &plan).await;
            }
            note_fault(cell, target, plan, &fault);
            Vec::new()
        }
    }
}

/// Tells whether a target begins a call at once and will end it: its last calls took the time that
/// they should, so nobody else uses it, and no call of its cell was lost lately. The inputs of a call
/// that is lost are needed again.
fn is_calm(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let last_fault = cell.pieces.last_fault.get();
    if last_fault.is_some_and(|at| now.saturating_sub(at) < UNSURE_SPAN) {
        return false;
    }
    let board = cell.desk.targets.borrow();
    let slowness = board.measured_slowness(now, &target.id);
    slowness.is_some_and(|slowness| slowness < CALM_FACTOR)
}

/// Watches a call that takes longer than it should; ends when its target is silent.
async fn watch_call(
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    span: Duration,
    waited: Duration,
) {
    let overdue = span.mul_f64(OVERDUE_FACTOR);
    Timer::after(overdue.saturating_sub(waited)).await;
    if is_silent(cell, target).await {
        return;
    }
    Timer::after(span.mul_f64(LATE_FACTOR) - overdue).await;
    offer_again(cell, target, plan, span);
    while !is_silent(cell, target).await {
        Timer::after(ALIVE_PAUSE).await;
    }
}

/// Asks a target whether it is there.
async fn is_silent(cell: &PieceCell, target: &TargetSpec) -> bool {
    let now = cell.traffic.shared.now();
    let rests = cell.desk.targets.borrow().backoff_until(now, &target.id);
    let limit = cell.desk.limits.table.borrow().state(&target.id);
    if rests.is_some() || limit.needs_permit() {
        // It wants no question either; the call goes on.
        return false;
    }
    let report = read_report(cell, target, ALIVE_LIMIT).await;
    if let Err(reason) = &report {
        log::info!("target={} is overdue and silent: {reason}", target.id);
        // Before it gets another call, it must answer.
        let mut board = cell.pieces.board.borrow_mut();
        board.invalidate_report(&target.id);
    }
    report.is_err()
}

/// Offers the pieces of a call that takes too long to other targets; the first result counts.
fn offer_again(cell: &PieceCell, target: &TargetSpec, plan: &BatchPlan, span: Duration) {
    log::info!(
        "target={} pieces={} late, offered to others",
        target.id,
        plan.pieces.len()
    );
    note_speed(cell, target, span.mul_f64(LATE_FACTOR), span);
    let now = cell.traffic.shared.now();
    if cell.pieces.board.borrow().queue_len() > 0 {
        // The others have enough to do; making these twice would only make them later.
        return;
    }
    for (ticket, work) in &plan.pieces {
        let is_possible = cell.pieces.has_inputs(*ticket);
        if is_possible && cell.desk.allowance.borrow_mut().try_take(now) {
            let mut board = cell.pieces.board.borrow_mut();
            board.requeue(*ticket, work.clone());
        }
    }
    cell.pump();
}

/// Notes how a call's time was against what the configuration says.
fn note_speed(cell: &PieceCell, target: &TargetSpec, took: Duration, span: Duration) {
    let now = cell.traffic.shared.now();
    let sample = took.as_secs_f64() / span.as_secs_f64().max(0.001);
    let mut board = cell.desk.targets.borrow_mut();
    board.record_slowness(now, &target.id, sample);
}

fn made_results(plan: &BatchPlan, ends: &[PieceStatus]) -> Vec<(String, u64)> {
    let pieces = plan.pieces.iter().zip(ends);
    let made = pieces.filter_map(|((_, work), end)| match end {
        PieceStatus::Completed(handle) => Some((handle.clone(), work.result_bytes)),
        _ => None,
    });
    made.collect()
}

fn note_fault(cell: &PieceCell, target: &TargetSpec, plan: BatchPlan, fault: &CallError) {
    let traffic = &cell.traffic;
    let now = traffic.shared.now();
    let count = plan.pieces.len();
    match fault {
        CallError::NotSent(reason) | CallError::Unavailable(reason) => {
            cell.give_back(plan, reason, false);
        }
        CallError::Limited => {
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::Limited);
            cell.give_back(plan, "the target's limit is used up", false);
        }
        CallError::NotRun(status) => {
            log::debug!("target={} turned {count} pieces away: {status}", target.id);
            cell.pieces
                .board
                .borrow_mut()
                .record_refusal(now, &target.id);
            cell.give_back(plan, "the target turned it away", false);
        }
        CallError::Disconnected(reason) | CallError::Unknown(reason) => {
            log::info!("target={} pieces={count} no result: {reason}", target.id);
            let metrics = &traffic.shared.metrics;
            metrics.record_service_event(&target.service, ServiceEvent::CallFailed);
            let mut board = cell.desk.targets.borrow_mut();
            board.record_failure(&target.id);
            board.record_refusal(now, &target.id);
            drop(board);
            cell.pieces.last_fault.set(Some(now));
            cell.give_back(plan, reason, true);
        }
    }
}

/// Returns the time until the last piece of a call is no longer wanted.
fn longest_wait(plan: &BatchPlan, now: Moment) -> Duration {
    let deadlines = plan.pieces.iter().map(|(_, work)| work.deadline);
    let last = deadlines.max().unwrap_or(now);
    last.saturating_sub(now)
}

async fn call_pieces(
    cell: &PieceCell,
    target: &TargetSpec,
    plan: &BatchPlan,
    limit: Duration,
) -> Result<Vec<PieceStatus>, CallError> {
    let now = cell.traffic.shared.now();
    let orders = plan.pieces.iter().map(|(_, work)| PieceItem {
        attempt: &work.attempt,
        stage: work.stage,
        piece: work.piece,
        remaining: work.deadline.saturating_sub(now),
        piece_key: work.piece_key.as_deref(),
        inputs: &work.inputs,
    });
    let orders: Vec<PieceItem<'_>> = orders.collect();
    let host = target.address.to_string();
    let request = encode_pieces(&host, &target.id, &orders).map_err(|problem| {
        log::error!("target={} call of pieces: {problem}", target.id);
        CallError::NotSent("the call can't be written down")
    })?;
    let exchange = async {
        let purpose = CallPurpose::Pieces;
        let call = call_target(&cell.traffic, &cell.desk, target, request, purpose, limit);
        let answer = call.await?;
        answer.collect(&cell.traffic, ANSWER_LIMIT).await
    };
    let late = async {
        Timer::after(limit).await;
        Err(CallError::Unknown("no whole answer in time"))
    };
    let (parts, body) = exchange.or(late).await?;
    if !parts.status.is_success() {
        return Err(CallError::Unknown("the target failed at the call"));
    }
    decode_pieces(&body, orders.len()).map_err(|problem| {
        log::warn!("target={} answer refused: {problem}", target.id);
        CallError::Unknown("the answer makes no sense")
    })
}
