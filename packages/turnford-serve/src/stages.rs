//! The stages of one request, in the order that their results allow.

use std::rc::Rc;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::Task;

use turnford_policy::PieceWork;
use turnford_policy::StageGraph;

use crate::desk::ServiceDesk;
use crate::pieces::submit_pieces;
use crate::pieces::PieceOutcome;
use crate::record::RequestRecord;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// Most times that one piece is made anew after a failure.
const PIECE_TRIES: u32 = 2;

/// Why the stages gave no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageFault {
    /// A result was gone when it was needed.
    InputGone,
    /// A piece was not made.
    Failed(&'static str),
}

/// Results that one request holds; they are given up when this is dropped.
pub(crate) struct HeldResults {
    traffic: Rc<Traffic>,
    stages: Vec<Vec<PieceResult>>,
}

impl HeldResults {
    fn new(traffic: &Rc<Traffic>, stages: usize) -> Self {
        Self {
            traffic: traffic.clone(),
            stages: vec![Vec::new(); stages],
        }
    }

    fn handles(&self, stages: &[usize]) -> Vec<String> {
        let results = stages.iter().flat_map(|&stage| &self.stages[stage]);
        results.map(|result| result.handle.clone()).collect()
    }

    fn give_up(&mut self, stage: usize) {
        let results = std::mem::take(&mut self.stages[stage]);
        release_results(&self.traffic, results);
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.give_up(stage);
        }
    }
}

/// The results that a request's own call needs.
pub(crate) struct StageResults {
    /// Handles in the order of stages and pieces.
    pub(crate) handles: Vec<String>,
    _held: HeldResults,
}

type StageEnd = (usize, Result<Vec<PieceResult>, StageFault>);

/// Runs all stages of a request.
pub(crate) async fn run_stages(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
) -> Result<StageResults, StageFault> {
    let graph = StageGraph::new(&record.route.stages, |stage| record.facts.piece_count(stage));
    let mut held = HeldResults::new(traffic, graph.len());
    let (ends, ended) = async_channel::unbounded();
    let mut begun = vec![false; graph.len()];
    let mut done = vec![false; graph.len()];
    let mut tasks = Vec::new();
    loop {
        for stage in 0..graph.len() {
            let is_due = graph.inputs(stage).iter().all(|&before| done[before]);
            if graph.count(stage) > 0 && is_due && !begun[stage] {
                begun[stage] = true;
                let inputs = held.handles(graph.inputs(stage));
                let count = graph.count(stage);
                tasks.push(start_stage(traffic, record, stage, count, inputs, &ends));
            }
        }
        if (0..graph.len()).all(|stage| graph.count(stage) == 0 || done[stage]) {
            break;
        }
        let Ok((stage, end)) = ended.recv().await else {
            return Err(StageFault::Failed("a stage was dropped"));
        };
        held.stages[stage] = end?;
        done[stage] = true;
        record.note(format_args!("stage {stage} done"));
        give_up_used(&graph, &done, &mut held);
    }
    Ok(StageResults {
        handles: held.handles(graph.last()),
        _held: held,
    })
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

fn start_stage(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    stage: usize,
    count: u32,
    inputs: Vec<String>,
    ends: &Sender<StageEnd>,
) -> Task<()> {
    let run = run_stage(
        traffic.clone(),
        record.clone(),
        stage,
        count,
        Arc::from(inputs),
    );
    let ends = ends.clone();
    traffic.executor.spawn(async move {
        let end = run.await;
        // The request may have ended.
        let _ = ends.try_send((stage, end));
    })
}

async fn run_stage(
    traffic: Rc<Traffic>,
    record: Rc<RequestRecord>,
    stage: usize,
    count: u32,
    inputs: Arc<[String]>,
) -> Result<Vec<PieceResult>, StageFault> {
    let service = &record.route.stages[stage].service;
    let desk = traffic
        .desk(service)
        .filter(|desk| desk.pieces.is_some())
        .ok_or(StageFault::Failed("the stage's service runs no pieces"))?;
    let works = (0..count).map(|piece| piece_work(&record, stage, piece, &inputs));
    let waits = submit_pieces(&traffic, &desk, works.collect());
    let mut results = HeldResults::new(&traffic, 1);
    for (piece, wait) in (0..count).zip(waits) {
        let outcome = wait.outcome().await;
        let work = || piece_work(&record, stage, piece, &inputs);
        let result = settle_piece(&traffic, &record, &desk, outcome, work).await?;
        results.stages[0].push(result);
    }
    Ok(std::mem::take(&mut results.stages[0]))
}

/// Makes a failed piece anew where the allowance has room.
async fn settle_piece(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
    first: PieceOutcome,
    work: impl Fn() -> PieceWork,
) -> Result<PieceResult, StageFault> {
    let mut outcome = first;
    for _ in 0..PIECE_TRIES {
        let reason = match outcome {
            PieceOutcome::Made(result) => return Ok(result),
            PieceOutcome::InputGone => return Err(StageFault::InputGone),
            PieceOutcome::Failed(reason) => reason,
        };
        let now = traffic.shared.now();
        record.note(format_args!("piece failed: {reason}"));
        if now >= record.deadline || !desk.allowance.borrow_mut().take(now) {
            return Err(StageFault::Failed(reason));
        }
        let waits = submit_pieces(traffic, desk, vec![work()]);
        let Some(wait) = waits.first() else {
            return Err(StageFault::Failed(reason));
        };
        outcome = wait.outcome().await;
    }
    match outcome {
        PieceOutcome::Made(result) => Ok(result),
        PieceOutcome::InputGone => Err(StageFault::InputGone),
        PieceOutcome::Failed(reason) => Err(StageFault::Failed(reason)),
    }
}

fn piece_work(
    record: &RequestRecord,
    stage: usize,
    piece: u32,
    inputs: &Arc<[String]>,
) -> PieceWork {
    let is_first = inputs.is_empty();
    let key = record.facts.piece_key.as_deref().filter(|_| is_first);
    PieceWork {
        attempt: Arc::from(record.facts.attempt.as_str()),
        stage,
        piece,
        key: key.map(Arc::from),
        inputs: inputs.clone(),
        deadline: record.deadline,
        due: record.begun + record.route.goal,
        rank: record.rank,
    }
}
