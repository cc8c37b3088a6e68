//! The stages of one request, in the order that their results allow.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;

use turnford_policy::cell_of_hall;
use turnford_policy::Moment;
use turnford_policy::PieceWork;
use turnford_policy::StageGraph;

use crate::admission::AdmittedFlow;
use crate::desk::ServiceDesk;
use crate::gather::expected_wait;
use crate::gather::run_pieces;
use crate::gather::CellPlace;
use crate::pieces::PieceOutcome;
use crate::record::RequestRecord;
use crate::release::PieceResult;
use crate::results::HeldResults;
use crate::results::StageResults;
use crate::traffic::Traffic;

/// Most times that one piece is made anew after a failure.
const PIECE_TRIES: u32 = 2;

/// Size of a result, in bytes, that counts as large: a few of them fill a target's room.
const HEAVY_RESULT: u64 = 500_000;

/// Pause before pieces that were handed back are handed to another node.
const MOVE_PAUSE: Duration = Duration::from_millis(10);

/// Time that a piece waits for a target near its bytes, for each megabyte that would cross halls.
/// A megabyte across is priced like a small part of a request's worth.
const HALL_PATIENCE: Duration = Duration::from_millis(80);

/// Time that the request's own call takes until its first answer, at least.
pub(crate) const LAST_SPAN: Duration = Duration::from_millis(250);

/// Factor on the least time of what comes after a stage, for its waits.
const LATER_FACTOR: f64 = 1.4;

/// Longest time that a piece waits for a target near its bytes.
const LONGEST_PATIENCE: Duration = Duration::from_millis(300);

/// Why the stages gave no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageFault {
    /// A result was gone when it was needed.
    InputGone,
    /// A piece was not made.
    Failed(&'static str),
}

/// What a stage made.
struct StageMade {
    results: Vec<PieceResult>,
    /// Whether the results that only it needed were given up.
    gave_up: bool,
}

type StageEnd = (usize, Result<StageMade, StageFault>);

/// Runs all stages of a request.
pub(crate) async fn run_stages(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    flow: &AdmittedFlow,
) -> Result<StageResults, StageFault> {
    let graph = StageGraph::new(&record.route.stages, |stage| {
        record.facts.piece_count(stage)
    });
    let mut held = HeldResults::new(traffic, graph.len());
    let (ends, ended) = async_channel::unbounded();
    let mut begun = vec![false; graph.len()];
    let mut done = vec![false; graph.len()];
    let mut tasks = Vec::new();
    loop {
        for stage in 0..graph.len() {
            let is_due = graph.inputs(stage).iter().all(|&before| done[before]);
            let waits = is_heavy(record, &graph, stage) && has_more(record, &graph, &begun);
            if graph.count(stage) > 0 && is_due && !waits && !begun[stage] {
                begun[stage] = true;
                let needs = stage_needs(traffic, record, &graph, &held, stage);
                tasks.push(start_stage(traffic, record, needs, &ends));
            }
        }
        if (0..graph.len()).all(|stage| graph.count(stage) == 0 || done[stage]) {
            break;
        }
        let Ok((stage, end)) = ended.recv().await else {
            return Err(StageFault::Failed("a stage was dropped"));
        };
        let made = end?;
        held.stages[stage] = made.results;
        done[stage] = true;
        if made.gave_up {
            for before in only_inputs(&graph, stage) {
                held.stages[before].clear();
            }
        }
        record.note(format_args!("stage {stage} done"));
        flow.note_stage(stage);
        let is_left = |stage: &usize| graph.count(*stage) > 0 && !done[*stage];
        let mut left = (0..graph.len()).filter(is_left);
        let is_finishing = left.all(|stage| graph.last().contains(&stage));
        record.is_finishing.set(is_finishing);
        give_up_used(&graph, &done, &mut held);
    }
    Ok(StageResults {
        handles: held.handles(graph.last()),
        halls: held.hall_bytes(record, graph.last()),
        held: RefCell::new(held),
    })
}

/// Returns the time that all stages of a request and its own call would take, as far as is known
/// of the queues; zero for a request without stages.
pub(crate) fn expected_span(traffic: &Traffic, record: &RequestRecord) -> Duration {
    let graph = StageGraph::new(&record.route.stages, |stage| {
        record.facts.piece_count(stage)
    });
    let mut ends = vec![Duration::ZERO; graph.len()];
    let mut last = Duration::ZERO;
    for stage in (0..graph.len()).filter(|&stage| graph.count(stage) > 0) {
        let inputs = graph.inputs(stage).iter().map(|&before| ends[before]);
        let begin = inputs.max().unwrap_or(Duration::ZERO);
        ends[stage] = begin + stage_span(traffic, record, &graph, stage);
        last = last.max(ends[stage] + LAST_SPAN);
    }
    last
}

/// Returns the time that the pieces of a stage would wait and run.
fn stage_span(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    stage: usize,
) -> Duration {
    let service = &record.route.stages[stage].service;
    let Some(desk) = traffic.desk(service) else {
        return Duration::ZERO;
    };
    let spec = desk.spec.borrow().clone();
    let Some(batch) = &spec.batch else {
        return Duration::ZERO;
    };
    let cells = desk.split().len();
    let own = batch.call_span + batch.piece_span * graph.count(stage);
    let waits = (0..cells).map(|number| {
        let place = CellPlace {
            desk: desk.clone(),
            number,
        };
        expected_wait(traffic, &place, record.rank)
    });
    own + waits.min().unwrap_or(Duration::ZERO)
}

/// Gives up the results that every stage that needs them has used.
fn give_up_used(graph: &StageGraph, done: &[bool], held: &mut HeldResults) {
    for stage in 0..graph.len() {
        let mut users = graph.users(stage).peekable();
        if users.peek().is_some() && users.all(|user| done[user]) {
            held.give_up(stage);
        }
    }
}

/// Returns the stages whose results only this one needs.
fn only_inputs(graph: &StageGraph, stage: usize) -> Vec<usize> {
    let inputs = graph.inputs(stage).iter().copied();
    let is_only = |before: &usize| graph.users(*before).count() == 1;
    inputs.filter(is_only).collect()
}

/// Tells whether a stage's results are large and only needed at the end. They would take room for
/// as long as the other stages run, so such a stage begins last.
fn is_heavy(record: &RequestRecord, graph: &StageGraph, stage: usize) -> bool {
    let bytes = record.route.stages[stage].result_bytes;
    bytes >= HEAVY_RESULT && graph.inputs(stage).is_empty() && graph.last().contains(&stage)
}

/// Tells whether a stage whose results are not large has yet to begin.
fn has_more(record: &RequestRecord, graph: &StageGraph, begun: &[bool]) -> bool {
    let mut left = (0..graph.len()).filter(|&stage| graph.count(stage) > 0 && !begun[stage]);
    left.any(|stage| !is_heavy(record, graph, stage))
}

/// Finds what a stage's pieces need, and the hall that most of their bytes come from or go to.
fn stage_needs(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    held: &HeldResults,
    stage: usize,
) -> StageNeeds {
    let count = graph.count(stage);
    let size = |stage: usize| {
        let bytes = record.route.stages[stage].result_bytes;
        bytes * u64::from(graph.count(stage))
    };
    let inputs = graph.inputs(stage);
    let (hall, bytes) = if inputs.is_empty() {
        let goes_last = graph.last().contains(&stage);
        let planned = record.planned_hall.borrow().clone();
        (planned.filter(|_| goes_last), size(stage))
    } else {
        // Each piece fetches all of its inputs.
        let each: u64 = inputs.iter().map(|&before| size(before)).sum();
        let bytes = each * u64::from(count);
        (held.main_hall(inputs), bytes)
    };
    let later = later_span(traffic, record, graph, stage).mul_f64(LATER_FACTOR);
    let due = record.begun + record.route.goal.saturating_sub(later);
    StageNeeds {
        stage,
        count,
        due,
        inputs: Arc::from(held.handles(inputs)),
        last_use: held.results(&only_inputs(graph, stage)),
        hall,
        bytes,
    }
}

/// Returns the time that what comes after a stage takes at least.
fn later_span(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    stage: usize,
) -> Duration {
    let users = graph.users(stage);
    let spans = users.map(|user| {
        let service = &record.route.stages[user].service;
        let spec = traffic.desk(service).map(|desk| desk.spec.borrow().clone());
        let batch = spec.and_then(|spec| spec.batch.clone());
        let own = batch.map_or(Duration::ZERO, |batch| {
            batch.call_span + batch.piece_span * graph.count(user)
        });
        own + later_span(traffic, record, graph, user)
    });
    spans.max().unwrap_or(LAST_SPAN)
}

fn start_stage(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    needs: StageNeeds,
    ends: &Sender<StageEnd>,
) -> Task<()> {
    let stage = needs.stage;
    let run = run_stage(traffic.clone(), record.clone(), needs);
    let ends = ends.clone();
    traffic.executor.spawn(async move {
        let end = run.await;
        // The request may have ended.
        let _ = ends.try_send((stage, end));
    })
}

/// What a stage's pieces need beside the request itself.
struct StageNeeds {
    stage: usize,
    count: u32,
    inputs: Arc<[String]>,
    /// Results that only these pieces need.
    last_use: Vec<PieceResult>,
    /// Hall in which the pieces should run.
    hall: Option<Arc<str>>,
    /// Bytes that cross halls where they run elsewhere.
    bytes: u64,
    /// When they should be done for the request to be in time.
    due: Moment,
}

async fn run_stage(
    traffic: Rc<Traffic>,
    record: Rc<RequestRecord>,
    needs: StageNeeds,
) -> Result<StageMade, StageFault> {
    let service = &record.route.stages[needs.stage].service;
    let desk = traffic.desk(service);
    let desk = desk.ok_or(StageFault::Failed("the stage's service is not known"))?;
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
                PieceOutcome::InputGone => return Err(StageFault::InputGone),
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
        failures += 1;
        if failures > PIECE_TRIES || !may_repeat(&traffic, &record, &place, offered) {
            return Err(StageFault::Failed("a piece was not made"));
        }
    }
}

/// Chooses the cell whose pieces wait the least, as far as known; bytes that would cross halls count
/// as the time that they are worth waiting for.
fn choose_cell(
    traffic: &Traffic,
    record: &RequestRecord,
    desk: Rc<ServiceDesk>,
    needs: &StageNeeds,
) -> CellPlace {
    let split = desk.split();
    let hall = needs.hall.as_deref();
    let near = hall.and_then(|hall| cell_of_hall(&split, hall));
    let drawn = (traffic.draw() * split.len() as f64) as usize;
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
    allowance.note_firsts(now, count);
}

/// Takes repeats of so many pieces from the service's allowance, all or none.
fn may_repeat(traffic: &Traffic, record: &RequestRecord, place: &CellPlace, count: usize) -> bool {
    let now = traffic.shared.now();
    let mut allowance = place.desk.allowance.borrow_mut();
    now < record.deadline && allowance.take_many(now, count)
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
        attempt: Arc::from(record.facts.attempt.as_str()),
        stage: needs.stage,
        piece,
        key: key.map(Arc::from),
        inputs: needs.inputs.clone(),
        deadline: record.deadline,
        due: needs.due,
        ranks: (record.rank, record.route.rank),
        result_bytes: record.route.stages[needs.stage].result_bytes,
        hall: needs.hall.clone(),
        hall_until: now + hall_patience(needs.bytes),
    }
}
