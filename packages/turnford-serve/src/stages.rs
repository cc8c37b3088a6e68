//! The stages of one request, in the order that their dependencies allow.

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
use crate::batching::CellRef;
use crate::record::RequestRecord;
use crate::results::HeldResults;
use crate::results::StageResults;
use crate::stage::run_stage;
use crate::stage::StageOutput;
use crate::stage::StageParams;
use crate::traffic::Traffic;

/// Size in bytes from which a result counts as large: a few such results fill a target's memory.
const LARGE_RESULT_BYTES: u64 = 500_000;

/// Why the stages gave no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageError {
    /// A result was missing when it was needed.
    InputMissing,
    /// A piece could not be completed.
    Failed(&'static str),
    /// Targets crash when they run its pieces; contains the time for which the request is refused.
    CrashesTargets(Duration),
    /// The request can no longer be served within its deadline.
    Infeasible { retry_after: Duration },
}

type StageCompletion = (usize, Result<StageOutput, StageError>);

pub(crate) async fn run_stages(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    flow: &AdmittedFlow,
) -> Result<StageResults, StageError> {
    let graph = record.stage_graph();
    let mut held = HeldResults::new(traffic, graph.len());
    let (ends, ended) = async_channel::unbounded();
    let mut started = vec![false; graph.len()];
    let mut done = vec![false; graph.len()];
    let mut tasks = Vec::new();
    loop {
        for stage in 0..graph.len() {
            let is_due = graph.inputs(stage).iter().all(|&input| done[input]);
            let waits =
                is_deferrable(record, &graph, stage) && has_unstarted(record, &graph, &started);
            if graph.piece_count(stage) > 0 && is_due && !waits && !started[stage] {
                started[stage] = true;
                let params = stage_params(traffic, record, &graph, &held, stage);
                tasks.push(spawn_stage(traffic, record, params, &ends));
            }
        }
        if (0..graph.len()).all(|stage| graph.piece_count(stage) == 0 || done[stage]) {
            break;
        }
        let Ok((stage, end)) = ended.recv().await else {
            return Err(StageError::Failed("a stage was dropped"));
        };
        let output = end?;
        held.stages[stage] = output.results;
        done[stage] = true;
        if output.inputs_released {
            for input in exclusive_inputs(&graph, stage) {
                held.stages[input].clear();
            }
        }
        record.trace(format_args!("stage {stage} done"));
        flow.record_stage_done(stage);
        release_used(&graph, &done, &mut held);
    }
    Ok(StageResults {
        handles: held.handles(graph.sinks()),
        halls: held.hall_bytes(record, graph.sinks()),
        held: RefCell::new(held),
    })
}

/// Forecasts the open stages of a request from the queue lengths reported to this node.
pub(crate) fn forecast_locally(
    traffic: &Traffic,
    record: &RequestRecord,
    is_open: impl Fn(usize) -> bool,
) -> FlowForecast {
    let graph = record.stage_graph();
    accumulate_ends(&graph, |stage| {
        let duration = stage_duration(traffic, record, &graph, stage);
        is_open(stage).then(|| duration + stage_wait(traffic, record, stage))
    })
}

/// Returns the minimum time that the open stages of a request take, with empty queues.
pub(crate) fn min_duration(
    traffic: &Traffic,
    record: &RequestRecord,
    is_open: impl Fn(usize) -> bool,
) -> Duration {
    let graph = record.stage_graph();
    let forecast = accumulate_ends(&graph, |stage| {
        is_open(stage).then(|| stage_duration(traffic, record, &graph, stage))
    });
    forecast.end()
}

/// Computes when each stage ends. A stage starts once all its inputs are done.
fn accumulate_ends(
    graph: &StageGraph,
    duration_of: impl Fn(usize) -> Option<Duration>,
) -> FlowForecast {
    let mut ends = vec![Duration::ZERO; graph.len()];
    for stage in (0..graph.len()).filter(|&stage| graph.piece_count(stage) > 0) {
        let inputs = graph.inputs(stage).iter().map(|&input| ends[input]);
        let begin = inputs.max().unwrap_or(Duration::ZERO);
        ends[stage] = duration_of(stage).map_or(Duration::ZERO, |duration| begin + duration);
    }
    FlowForecast { ends }
}

/// Returns the time of a call with the pieces of a stage.
fn stage_duration(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    stage: usize,
) -> Duration {
    let service = &record.route.stages[stage].service;
    let spec = traffic
        .service(service)
        .map(|context| context.spec.borrow().clone());
    let batch = spec.and_then(|spec| spec.batch.clone());
    batch.map_or(Duration::ZERO, |batch| {
        batch.call_overhead + batch.piece_time * graph.piece_count(stage)
    })
}

/// Returns the expected wait of new pieces of a stage in its least loaded cell.
fn stage_wait(traffic: &Traffic, record: &RequestRecord, stage: usize) -> Duration {
    let Some(context) = traffic.service(&record.route.stages[stage].service) else {
        return Duration::ZERO;
    };
    let waits = (0..context.cell_targets().len()).map(|index| {
        let cell_ref = CellRef {
            context: context.clone(),
            index,
        };
        expected_wait(traffic, &cell_ref, record.rank)
    });
    waits.min().unwrap_or(Duration::ZERO)
}

/// Releases the results that all dependent stages have used.
fn release_used(graph: &StageGraph, done: &[bool], held: &mut HeldResults) {
    for stage in 0..graph.len() {
        let mut dependents = graph.dependents(stage).peekable();
        if dependents.peek().is_some() && dependents.all(|dependent| done[dependent]) {
            held.release(stage);
        }
    }
}

/// Returns the inputs of a stage that no other stage needs.
fn exclusive_inputs(graph: &StageGraph, stage: usize) -> Vec<usize> {
    let inputs = graph.inputs(stage).iter().copied();
    let is_only = |input: &usize| graph.dependents(*input).count() == 1;
    inputs.filter(is_only).collect()
}

/// Returns whether a stage's results are large and only needed by the final call. They would occupy
/// memory while the other stages run, so such a stage starts last.
fn is_deferrable(record: &RequestRecord, graph: &StageGraph, stage: usize) -> bool {
    let bytes = record.route.stages[stage].result_bytes;
    bytes >= LARGE_RESULT_BYTES && graph.inputs(stage).is_empty() && graph.sinks().contains(&stage)
}

/// Returns whether a stage that is not deferrable has yet to start.
fn has_unstarted(record: &RequestRecord, graph: &StageGraph, started: &[bool]) -> bool {
    let mut unstarted =
        (0..graph.len()).filter(|&stage| graph.piece_count(stage) > 0 && !started[stage]);
    unstarted.any(|stage| !is_deferrable(record, graph, stage))
}

/// Determines what the pieces of a stage need, and the hall that most of their bytes come from or
/// go to.
fn stage_params(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    held: &HeldResults,
    stage: usize,
) -> StageParams {
    let count = graph.piece_count(stage);
    let size = |stage: usize| {
        let bytes = record.route.stages[stage].result_bytes;
        bytes * u64::from(graph.piece_count(stage))
    };
    let inputs = graph.inputs(stage);
    let (hall, bytes) = if inputs.is_empty() {
        let is_sink = graph.sinks().contains(&stage);
        let planned = record.predicted_hall.borrow().clone();
        (planned.filter(|_| is_sink), size(stage))
    } else {
        // Each piece fetches all of its inputs.
        let each: u64 = inputs.iter().map(|&input| size(input)).sum();
        let bytes = each * u64::from(count);
        (held.main_hall(inputs), bytes)
    };
    let downstream = downstream_time(traffic, record, graph, stage);
    let due = record.started_at + record.route.latency_objective.saturating_sub(downstream);
    StageParams {
        stage,
        count,
        due,
        inputs: Arc::from(held.handles(inputs)),
        last_use: held.results(&exclusive_inputs(graph, stage)),
        hall,
        bytes,
    }
}

/// Returns the minimum time of everything that follows a stage, including waits.
fn downstream_time(
    traffic: &Traffic,
    record: &RequestRecord,
    graph: &StageGraph,
    stage: usize,
) -> Duration {
    let dependents = graph.dependents(stage);
    let spans = dependents.map(|dependent| {
        stage_duration(traffic, record, graph, dependent)
            + stage_wait(traffic, record, dependent)
            + downstream_time(traffic, record, graph, dependent)
    });
    spans.max().unwrap_or(record.final_call_time.get())
}

fn spawn_stage(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    params: StageParams,
    ends: &Sender<StageCompletion>,
) -> Task<()> {
    let stage = params.stage;
    let run = run_stage(traffic.clone(), record.clone(), params);
    let ends = ends.clone();
    traffic.executor.spawn(async move {
        let end = run.await;
        // The request may have ended.
        let _ = ends.try_send((stage, end));
    })
}
