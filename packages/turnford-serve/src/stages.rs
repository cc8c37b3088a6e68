//! The stages of one request, in the order that their results allow.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;

use turnford_policy::FlowForecast;
use turnford_policy::StageGraph;

use crate::admission::AdmittedFlow;
use crate::batching::expected_wait;
use crate::batching::CellPlace;
use crate::record::RequestRecord;
use crate::results::HeldResults;
use crate::results::StageResults;
use crate::stage::run_stage;
use crate::stage::StageMade;
use crate::stage::StageNeeds;
use crate::traffic::Traffic;

/// Size of a result, in bytes, that counts as large: a few of them fill a target's room.
const HEAVY_RESULT: u64 = 500_000;

/// Why the stages gave no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageError {
    /// A result was gone when it was needed.
    InputGone,
    /// A piece was not made.
    Failed(&'static str),
    /// Targets crash when they run its pieces; it is refused for so long.
    CrashesTargets(Duration),
    /// The request can't be served within its deadline any more.
    Hopeless {
        /// Time to come back.
        back_after: Duration,
    },
}

type StageEnd = (usize, Result<StageMade, StageError>);

/// Runs all stages of a request.
pub(crate) async fn run_stages(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    flow: &AdmittedFlow,
) -> Result<StageResults, StageError> {
    let graph = record.stage_graph();
    let mut held = HeldResults::new(traffic, graph.len());
    let (ends, ended) = async_channel::unbounded();
    let mut begun = vec![false; graph.len()];
    let mut done = vec![false; graph.len()];
    let mut tasks = Vec::new();
    loop {
        for stage in 0..graph.len() {
            let is_due = graph.inputs(stage).iter().all(|&before| done[before]);
            let waits = is_heavy(record, &graph, stage) && has_more(record, &graph, &begun);
            if graph.piece_count(stage) > 0 && is_due && !waits && !begun[stage] {
                begun[stage] = true;
                let needs = stage_needs(traffic, record, &graph, &held, stage);
                tasks.push(start_stage(traffic, record, needs, &ends));
            }
        }
        if (0..graph.len()).all(|stage| graph.piece_count(stage) == 0 || done[stage]) {
            break;
        }
        let Ok((stage, end)) = ended.recv().await else {
            return Err(StageError::Failed("a stage was dropped"));
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
        give_up_used(&graph, &done, &mut held);
    }
    Ok(StageResults {
        handles: held.handles(graph.sinks()),
        halls: held.hall_bytes(record, graph.sinks()),
        held: RefCell::new(held),
    })
}

/// Forecasts those stages of a request that are open by the queues that this node was told of.
pub(crate) fn forecast_alone(
    traffic: &Traffic,
    record: &RequestRecord,
    is_open: impl Fn(usize) -> bool,
) -> FlowForecast {
    let graph = record.stage_graph();
    add_spans(&graph, |stage| {
        let span = stage_span(traffic, record, &graph, stage);
        is_open(stage).then(|| span + stage_wait(traffic, record, stage))
    })
}

/// Returns the time that the open stages of a request take at least.
pub(crate) fn least_span(
    traffic: &Traffic,
    record: &RequestRecord,
    is_open: impl Fn(usize) -> bool,
) -> Duration {
    let graph = record.stage_graph();
    let forecast = add_spans(&graph, |stage| {
        is_open(stage).then(|| stage_span(traffic, record, &graph, stage))
    });
    forecast.end()
}

/// Adds up when stages end, those that need others beginning once these are done.
fn add_spans(graph: &StageGraph, span_of: impl Fn(usize) -> Option<Duration>) -> FlowForecast {
    let mut ends = vec![Duration::ZERO; graph.len()];
    for stage in (0..graph.len()).filter(|&stage| graph.piece_count(stage) > 0) {
        let inputs = graph.inputs(stage).iter().map(|&before| ends[before]);
        let begin = inputs.max().unwrap_or(Duration::ZERO);
        ends[stage] = span_of(stage).map_or(Duration::ZERO, |span| begin + span);
    }
    FlowForecast { ends }
}

/// Returns the time of a call with the pieces of a stage.
fn stage_span(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    stage: usize,
) -> Duration {
    let service = &record.route.stages[stage].service;
    let spec = traffic
        .service(service)
        .map(|desk| desk.spec.borrow().clone());
    let batch = spec.and_then(|spec| spec.batch.clone());
    batch.map_or(Duration::ZERO, |batch| {
        batch.call_overhead + batch.piece_time * graph.piece_count(stage)
    })
}

/// Returns the time that new pieces of a stage would wait, in the cell where it is least.
fn stage_wait(traffic: &Traffic, record: &RequestRecord, stage: usize) -> Duration {
    let Some(desk) = traffic.service(&record.route.stages[stage].service) else {
        return Duration::ZERO;
    };
    let waits = (0..desk.split().len()).map(|number| {
        let place = CellPlace {
            desk: desk.clone(),
            number,
        };
        expected_wait(traffic, &place, record.rank)
    });
    waits.min().unwrap_or(Duration::ZERO)
}

/// Gives up the results that every stage that needs them has used.
fn give_up_used(graph: &StageGraph, done: &[bool], held: &mut HeldResults) {
    for stage in 0..graph.len() {
        let mut users = graph.dependents(stage).peekable();
        if users.peek().is_some() && users.all(|user| done[user]) {
            held.give_up(stage);
        }
    }
}

/// Returns the stages whose results only this one needs.
fn only_inputs(graph: &StageGraph, stage: usize) -> Vec<usize> {
    let inputs = graph.inputs(stage).iter().copied();
    let is_only = |before: &usize| graph.dependents(*before).count() == 1;
    inputs.filter(is_only).collect()
}

/// Tells whether a stage's results are large and only needed at the end. They would take room for
/// as long as the other stages run, so such a stage begins last.
fn is_heavy(record: &RequestRecord, graph: &StageGraph, stage: usize) -> bool {
    let bytes = record.route.stages[stage].result_bytes;
    bytes >= HEAVY_RESULT && graph.inputs(stage).is_empty() && graph.sinks().contains(&stage)
}

/// Tells whether a stage whose results are not large has yet to begin.
fn has_more(record: &RequestRecord, graph: &StageGraph, begun: &[bool]) -> bool {
    let mut left = (0..graph.len()).filter(|&stage| graph.piece_count(stage) > 0 && !begun[stage]);
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
    let count = graph.piece_count(stage);
    let size = |stage: usize| {
        let bytes = record.route.stages[stage].result_bytes;
        bytes * u64::from(graph.piece_count(stage))
    };
    let inputs = graph.inputs(stage);
    let (hall, bytes) = if inputs.is_empty() {
        let goes_last = graph.sinks().contains(&stage);
        let planned = record.planned_hall.borrow().clone();
        (planned.filter(|_| goes_last), size(stage))
    } else {
        // Each piece fetches all of its inputs.
        let each: u64 = inputs.iter().map(|&before| size(before)).sum();
        let bytes = each * u64::from(count);
        (held.main_hall(inputs), bytes)
    };
    let later = later_span(traffic, record, graph, stage);
    let due = record.started_at + record.route.latency_objective.saturating_sub(later);
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
    let users = graph.dependents(stage);
    let spans = users.map(|user| {
        stage_span(traffic, record, graph, user)
            + stage_wait(traffic, record, user)
            + later_span(traffic, record, graph, user)
    });
    spans.max().unwrap_or(record.last_span.get())
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
