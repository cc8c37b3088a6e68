//! One stage of one request. Its pieces go to a cell, and failed pieces run again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashVerdict;
use turnford_policy::cell_of_hall;
use turnford_policy::Moment;
use turnford_policy::PieceWork;

use crate::batching::expected_wait;
use crate::batching::run_pieces;
use crate::batching::CellRef;
use crate::pieces::PieceOutcome;
use crate::record::RequestRecord;
use crate::release::PieceResult;
use crate::results::HeldResults;
use crate::retries::try_take_retries;
use crate::service_context::ServiceContext;
use crate::stages::StageError;
use crate::traffic::Traffic;

/// Maximum number of retries of the pieces of a stage.
const MAX_PIECE_RETRIES: u32 = 2;

/// Delay before returned pieces are handed to another node.
const REASSIGN_DELAY: Duration = Duration::from_millis(10);

/// Time that a piece waits for a target near its data, for each megabyte that would otherwise cross
/// halls. A megabyte across halls costs as much as a small part of a request's value.
const HALL_WAIT_PER_MB: Duration = Duration::from_millis(80);

/// Upper bound of the time that a piece waits for a target near its data.
const MAX_HALL_WAIT: Duration = Duration::from_millis(300);

pub(crate) struct StageOutput {
    pub(crate) results: Vec<PieceResult>,
    /// Whether the results in `last_use` were released.
    pub(crate) inputs_released: bool,
}

/// What the pieces of a stage need besides the request itself.
pub(crate) struct StageParams {
    pub(crate) stage: usize,
    pub(crate) count: u32,
    pub(crate) inputs: Arc<[String]>,
    /// Results that only these pieces need.
    pub(crate) last_use: Vec<PieceResult>,
    /// Hall in which the pieces should run.
    pub(crate) hall: Option<Arc<str>>,
    /// Bytes that cross halls if the pieces run in another hall.
    pub(crate) bytes: u64,
    /// When the pieces should be done for the request to meet its latency objective.
    pub(crate) due: Moment,
}

pub(crate) async fn run_stage(
    traffic: Rc<Traffic>,
    record: Rc<RequestRecord>,
    params: StageParams,
) -> Result<StageOutput, StageError> {
    let service = &record.route.stages[params.stage].service;
    let context = traffic.service(service);
    let context = context.ok_or(StageError::Failed("the stage's service is not known"))?;
    let cell_ref = choose_cell(&traffic, &record, context, &params);
    let mut missing: Vec<u32> = (0..params.count).collect();
    if record.start_stage(params.stage) {
        record_first_attempts(&traffic, &cell_ref, missing.len());
    } else if !try_take_retries(&traffic, &cell_ref.context, missing.len()) {
        return Err(StageError::Failed("no retry is allowed for its pieces"));
    }
    let mut results = HeldResults::new(&traffic, 1);
    let mut made: Vec<Option<PieceResult>> = vec![None; missing.len()];
    let mut failures = 0;
    let mut inputs_released = false;
    loop {
        let works = missing.iter();
        let works = works.map(|&piece| build_piece_work(&traffic, &record, &params, piece));
        let works: Vec<PieceWork> = works.collect();
        // After a failure, the remaining pieces don't know whether the others have read the inputs.
        let last_use = if failures == 0 && works.len() == params.count as usize {
            &params.last_use[..]
        } else {
            &[]
        };
        let end = run_pieces(&traffic, &cell_ref, &works, last_use).await;
        inputs_released |= end.inputs_released;
        let outcomes = end.outcomes;
        let pieces = std::mem::take(&mut missing);
        let mut attempted = 0;
        for (piece, outcome) in pieces.into_iter().zip(outcomes) {
            match outcome {
                PieceOutcome::Completed(result) => {
                    results.stages[0].push(result.clone());
                    made[piece as usize] = Some(result);
                }
                PieceOutcome::InputMissing => return Err(StageError::InputMissing),
                PieceOutcome::Failed(reason) => {
                    record.trace(format_args!(
                        "stage {} piece {piece}: {reason}",
                        params.stage
                    ));
                    attempted += 1;
                    missing.push(piece);
                }
                PieceOutcome::NotScheduled => missing.push(piece),
            }
        }
        if missing.is_empty() {
            results.stages[0].clear();
            return Ok(StageOutput {
                results: made.into_iter().flatten().collect(),
                inputs_released,
            });
        }
        if attempted == 0 {
            // The batching node is stopping; the other nodes learn of it meanwhile.
            Timer::after(REASSIGN_DELAY).await;
            continue;
        }
        let now = traffic.shared.now();
        if let CrashVerdict::Refused(until) = traffic.crashes.verdict(now, &record.digest.get()) {
            return Err(StageError::CrashesTargets(until.saturating_sub(now)));
        }
        failures += 1;
        if failures > MAX_PIECE_RETRIES
            || now >= record.deadline
            || !try_take_retries(&traffic, &cell_ref.context, attempted)
        {
            return Err(StageError::Failed("a piece was not made"));
        }
    }
}

/// Chooses the cell with the shortest expected wait. Bytes that would cross halls count as the time
/// that is worth waiting to avoid this.
fn choose_cell(
    traffic: &Traffic,
    record: &RequestRecord,
    context: Rc<ServiceContext>,
    params: &StageParams,
) -> CellRef {
    let cell_targets = context.cell_targets();
    let hall = params.hall.as_deref();
    let local_cell = hall.and_then(|hall| cell_of_hall(&cell_targets, hall));
    let offset = (traffic.random() * cell_targets.len() as f64) as usize;
    let cell_ref_at = |index: usize| CellRef {
        context: context.clone(),
        index,
    };
    let cost = |index: usize| {
        let wait = expected_wait(traffic, &cell_ref_at(index), record.rank);
        let is_remote = local_cell.is_some_and(|local_cell| local_cell != index);
        let crossing_cost = if is_remote {
            hall_wait(params.bytes)
        } else {
            Duration::ZERO
        };
        wait + crossing_cost
    };
    // The random offset keeps requests from all choosing the same one of equal cells.
    let cells = (0..cell_targets.len()).map(|index| (index + offset) % cell_targets.len());
    let best = cells.min_by_key(|&index| cost(index));
    cell_ref_at(best.unwrap_or(0))
}

/// Returns how long it is worth waiting to keep `bytes` from crossing halls.
fn hall_wait(bytes: u64) -> Duration {
    let wait = HALL_WAIT_PER_MB.mul_f64(bytes as f64 / 1e6);
    wait.min(MAX_HALL_WAIT)
}

/// Records new pieces, which raise the allowance of retries.
fn record_first_attempts(traffic: &Traffic, cell_ref: &CellRef, count: usize) {
    let now = traffic.shared.now();
    let mut allowance = cell_ref.context.allowance.borrow_mut();
    allowance.record_first_attempts(now, count);
}

fn build_piece_work(
    traffic: &Traffic,
    record: &RequestRecord,
    params: &StageParams,
    piece: u32,
) -> PieceWork {
    let is_first = params.inputs.is_empty();
    let key = record.attributes.piece_key.as_deref().filter(|_| is_first);
    let now = traffic.shared.now();
    PieceWork {
        digest: record.digest.get(),
        is_suspect: false,
        attempt: Arc::from(record.attributes.attempt.as_str()),
        stage: params.stage,
        piece,
        piece_key: key.map(Arc::from),
        inputs: params.inputs.clone(),
        deadline: record.deadline,
        due: params.due,
        ranks: (record.rank, record.route.rank),
        result_bytes: record.route.stages[params.stage].result_bytes,
        hall: params.hall.clone(),
        hall_deadline: now + hall_wait(params.bytes),
    }
}
