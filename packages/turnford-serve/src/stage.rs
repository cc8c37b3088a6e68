//! One stage of one request: its pieces go to a cell, and those that fail are made anew.

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
use crate::batching::CellPlace;
use crate::pieces::PieceOutcome;
use crate::record::RequestRecord;
use crate::release::PieceResult;
use crate::results::HeldResults;
use crate::service_context::ServiceContext;
use crate::stages::StageError;
use crate::traffic::Traffic;

/// Most times that one piece is made anew after a failure.
const PIECE_TRIES: u32 = 2;

/// Pause before pieces that were handed back are handed to another node.
const MOVE_PAUSE: Duration = Duration::from_millis(10);

/// Time that a piece waits for a target near its bytes, for each megabyte that would cross halls.
/// A megabyte across is priced like a small part of a request's worth.
const HALL_PATIENCE: Duration = Duration::from_millis(80);

/// Longest time that a piece waits for a target near its bytes.
const LONGEST_PATIENCE: Duration = Duration::from_millis(300);

/// What a stage made.
pub(crate) struct StageMade {
    pub(crate) results: Vec<PieceResult>,
    /// Whether the results that only it needed were given up.
    pub(crate) gave_up: bool,
}

/// What a stage's pieces need beside the request itself.
pub(crate) struct StageNeeds {
    pub(crate) stage: usize,
    pub(crate) count: u32,
    pub(crate) inputs: Arc<[String]>,
    /// Results that only these pieces need.
    pub(crate) last_use: Vec<PieceResult>,
    /// Hall in which the pieces should run.
    pub(crate) hall: Option<Arc<str>>,
    /// Bytes that cross halls where they run elsewhere.
    pub(crate) bytes: u64,
    /// When they should be done for the request to be in time.
    pub(crate) due: Moment,
}

/// Runs one stage of a request.
pub(crate) async fn run_stage(
    traffic: Rc<Traffic>,
    record: Rc<RequestRecord>,
    needs: StageNeeds,
) -> Result<StageMade, StageError> {
    let service = &record.route.stages[needs.stage].service;
    let desk = traffic.service(service);
    let desk = desk.ok_or(StageError::Failed("the stage's service is not known"))?;
    let place = choose_cell(&traffic, &record, desk, &needs);
    let mut missing: Vec<u32> = (0..needs.count).collect();
    note_firsts(&traffic, &place, missing.len());
    let mut results = HeldResults::new(&traffic, 1);
    let mut made: Vec<Option<PieceResult>> = vec![None; missing.len()];
    let mut failures = 0;
    let mut gave_up = false;
    loop {
        let works = missing.iter();
        let works = works.map(|&piece| piece_work(&traffic, &record, &needs, piece));
        let works: Vec<PieceWork> = works.collect();
        // After a failure the pieces that are left can't tell what the others have read.
        let last_use = if failures == 0 && works.len() == needs.count as usize {
            &needs.last_use[..]
        } else {
            &[]
        };
        let end = run_pieces(&traffic, &place, &works, last_use).await;
        gave_up |= end.gave_up;
        let outcomes = end.outcomes;
        let pieces = std::mem::take(&mut missing);
        let mut offered = 0;
        for (piece, outcome) in pieces.into_iter().zip(outcomes) {
            match outcome {
                PieceOutcome::Made(result) => {
                    results.stages[0].push(result.clone());
                    made[piece as usize] = Some(result);
                }
                PieceOutcome::InputGone => return Err(StageError::InputGone),
                PieceOutcome::Failed(reason) => {
                    record.note(format_args!(
                        "stage {} piece {piece}: {reason}",
                        needs.stage
                    ));
                    offered += 1;
                    missing.push(piece);
                }
                PieceOutcome::NotOffered => missing.push(piece),
            }
        }
        if missing.is_empty() {
            results.stages[0].clear();
            return Ok(StageMade {
                results: made.into_iter().flatten().collect(),
                gave_up,
            });
        }
        if offered == 0 {
            // The node that gathered stops; the others learn of it meanwhile.
            Timer::after(MOVE_PAUSE).await;
            continue;
        }
        let now = traffic.shared.now();
        if let CrashVerdict::Refused(until) = traffic.crashes.verdict(now, &record.digest.get()) {
            return Err(StageError::CrashesTargets(until.saturating_sub(now)));
        }
        failures += 1;
        if failures > PIECE_TRIES || !may_repeat(&traffic, &record, &place, offered) {
            return Err(StageError::Failed("a piece was not made"));
        }
    }
}

/// Chooses the cell whose pieces wait the least, as far as known; bytes that would cross halls count
/// as the time that they are worth waiting for.
fn choose_cell(
    traffic: &Traffic,
    record: &RequestRecord,
    desk: Rc<ServiceContext>,
    needs: &StageNeeds,
) -> CellPlace {
    let split = desk.split();
    let hall = needs.hall.as_deref();
    let near = hall.and_then(|hall| cell_of_hall(&split, hall));
    let drawn = (traffic.random() * split.len() as f64) as usize;
    let place = |number: usize| CellPlace {
        desk: desk.clone(),
        number,
    };
    let cost = |number: usize| {
        let wait = expected_wait(traffic, &place(number), record.rank);
        let is_far = near.is_some_and(|near| near != number);
        let crossing = if is_far {
            hall_patience(needs.bytes)
        } else {
            Duration::ZERO
        };
        wait + crossing
    };
    // Equal cells are not all chosen alike.
    let cells = (0..split.len()).map(|number| (number + drawn) % split.len());
    let best = cells.min_by_key(|&number| cost(number));
    place(best.unwrap_or(0))
}

/// Returns how long it is worth waiting so that so many bytes don't cross halls.
fn hall_patience(bytes: u64) -> Duration {
    let patience = HALL_PATIENCE.mul_f64(bytes as f64 / 1e6);
    patience.min(LONGEST_PATIENCE)
}

/// Notes new pieces, of which a part may be made anew.
fn note_firsts(traffic: &Traffic, place: &CellPlace, count: usize) {
    let now = traffic.shared.now();
    let mut allowance = place.desk.allowance.borrow_mut();
    allowance.record_first_attempts(now, count);
}

/// Takes repeats of so many pieces from the service's allowance, all or none.
fn may_repeat(traffic: &Traffic, record: &RequestRecord, place: &CellPlace, count: usize) -> bool {
    let now = traffic.shared.now();
    let mut allowance = place.desk.allowance.borrow_mut();
    now < record.deadline && allowance.try_take_many(now, count)
}

fn piece_work(
    traffic: &Traffic,
    record: &RequestRecord,
    needs: &StageNeeds,
    piece: u32,
) -> PieceWork {
    let is_first = needs.inputs.is_empty();
    let key = record.facts.piece_key.as_deref().filter(|_| is_first);
    let now = traffic.shared.now();
    PieceWork {
        digest: record.digest.get(),
        is_suspect: false,
        attempt: Arc::from(record.facts.attempt.as_str()),
        stage: needs.stage,
        piece,
        piece_key: key.map(Arc::from),
        inputs: needs.inputs.clone(),
        deadline: record.deadline,
        due: needs.due,
        ranks: (record.rank, record.route.rank),
        result_bytes: record.route.stages[needs.stage].result_bytes,
        hall: needs.hall.clone(),
        hall_deadline: now + hall_patience(needs.bytes),
    }
}
