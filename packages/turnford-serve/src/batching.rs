//! Hands the pieces of a cell to the node that batches them.
//!
//! Nodes don't need to agree on this node. If two nodes batch for one cell, their calls are merely
//! filled less well. Pieces that a node does not answer go to the next node, and finally to this
//! one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use turnford_fleet::Duty;
use turnford_policy::Moment;
use turnford_policy::PieceWork;
use turnford_policy::RequestDigest;
use turnford_policy::RANK_COUNT;
use turnford_wire::InputEntry;
use turnford_wire::PeerError;
use turnford_wire::PieceReplyItem;
use turnford_wire::PieceRequest;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::inputs::InputTracker;
use crate::peers::WaitingGuard;
use crate::peers::SILENCE_TIMEOUT;
use crate::pieces::PieceCell;
use crate::pieces::PieceOutcome;
use crate::release::release_results;
use crate::release::PieceResult;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Number of other nodes that the pieces of one stage are offered to before this node batches them
/// itself.
const MAX_PEER_ATTEMPTS: usize = 2;

/// Timeout for a node to acknowledge a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Refers to a cell of a service by its index.
#[derive(Clone)]
pub(crate) struct CellRef {
    pub(crate) context: Rc<ServiceContext>,
    pub(crate) index: usize,
}

pub(crate) struct PiecesResult {
    pub(crate) outcomes: Vec<PieceOutcome>,
    /// Whether the results in `last_use` were released.
    pub(crate) inputs_released: bool,
}

/// Runs pieces of one stage of one request at the node that batches for their cell. `last_use` are
/// the results that only these pieces need.
pub(crate) async fn run_pieces(
    traffic: &Rc<Traffic>,
    cell_ref: &CellRef,
    works: &[PieceWork],
    last_use: &[PieceResult],
) -> PiecesResult {
    for _ in 0..MAX_PEER_ATTEMPTS {
        let service = cell_ref.context.spec.borrow().name.to_string();
        let duty = Duty::Gather(service, cell_ref.index);
        let Some(peer) = traffic.peers.owner_of(&duty) else {
            break;
        };
        if let Some(result) = run_at_peer(traffic, cell_ref, works, last_use, peer).await {
            return result;
        }
    }
    run_locally(traffic, cell_ref, works.to_vec(), last_use.to_vec()).await
}

async fn run_locally(
    traffic: &Rc<Traffic>,
    cell_ref: &CellRef,
    works: Vec<PieceWork>,
    last_use: Vec<PieceResult>,
) -> PiecesResult {
    let count = works.len();
    let Some(queue) = cell_ref.context.cell(cell_ref.index) else {
        return PiecesResult {
            outcomes: vec![PieceOutcome::Failed("the service has no targets"); count],
            inputs_released: false,
        };
    };
    let inputs = InputTracker::new(traffic, last_use, count);
    let cell = PieceCell {
        traffic: traffic.clone(),
        context: cell_ref.context.clone(),
        queue,
    };
    let pending = cell.submit(works, &inputs);
    let mut outcomes = Vec::with_capacity(count);
    for piece in &pending {
        outcomes.push(piece.outcome().await);
    }
    PiecesResult {
        outcomes,
        inputs_released: inputs.is_released(),
    }
}

/// Hands pieces to another node. Returns `None` if it does not answer.
async fn run_at_peer(
    traffic: &Rc<Traffic>,
    cell_ref: &CellRef,
    works: &[PieceWork],
    last_use: &[PieceResult],
    peer: SocketAddr,
) -> Option<PiecesResult> {
    let now = traffic.shared.now();
    let first = works.first()?;
    let limit = first.deadline.saturating_sub(now);
    let mut piece_request = encode_piece_request(cell_ref, works, now)?;
    piece_request.last_use = input_entries(traffic, last_use);
    let request = WorkRequest::Pieces(piece_request);
    let peer_state = traffic.peers.state(peer);
    let _waiting = WaitingGuard::new(&traffic.peers, peer, &peer_state);
    let call = async {
        let reply = traffic.peers.client.call(peer, &request, limit).await;
        Some(reply)
    };
    let watch = async {
        while peer_state.down_until.get() <= traffic.shared.now() {
            Timer::after(SILENCE_TIMEOUT).await;
        }
        None
    };
    match call.or(watch).await {
        Some(Ok(WorkReply::Pieces {
            results,
            waits,
            released,
        })) if results.len() == works.len() => {
            let now = traffic.shared.now();
            peer_state.last_contact.set(now);
            cell_ref.context.record_waits(now, cell_ref.index, &waits);
            let results = results.into_iter();
            let outcomes = results
                .map(|result| decode_outcome(cell_ref, peer, result))
                .collect();
            Some(PiecesResult {
                outcomes,
                inputs_released: released,
            })
        }
        Some(Ok(_)) => {
            log::info!("node at {peer} refused pieces");
            traffic.peers.mark_refusing(&peer_state);
            None
        }
        Some(Err(PeerError::Timeout)) => {
            // The request ran out of time, which says nothing about the node.
            Some(PiecesResult {
                outcomes: vec![PieceOutcome::Failed("the deadline passed"); works.len()],
                inputs_released: false,
            })
        }
        Some(Err(error)) => {
            log::info!("node at {peer} failed to run pieces: {error}");
            traffic.peers.mark_down(&peer_state);
            None
        }
        None => None,
    }
}

fn encode_piece_request(
    cell_ref: &CellRef,
    works: &[PieceWork],
    now: Moment,
) -> Option<PieceRequest> {
    let first = works.first()?;
    let millis = |until: Moment| {
        let remaining = until.saturating_sub(now).as_millis();
        u64::try_from(remaining).unwrap_or(u64::MAX)
    };
    Some(PieceRequest {
        service: cell_ref.context.spec.borrow().name.to_string(),
        cell: u32::try_from(cell_ref.index).unwrap_or(u32::MAX),
        attempt: first.attempt.to_string(),
        digest: first.digest.0,
        stage: u32::try_from(first.stage).unwrap_or(u32::MAX),
        pieces: works.iter().map(|work| work.piece).collect(),
        piece_key: first.piece_key.as_deref().map(str::to_owned),
        inputs: first.inputs.to_vec(),
        last_use: Vec::new(),
        remaining_ms: millis(first.deadline),
        due_ms: millis(first.due),
        ranks: first.ranks,
        result_bytes: first.result_bytes,
        hall: first.hall.as_deref().map(str::to_owned),
        hall_wait_ms: u32::try_from(millis(first.hall_deadline)).unwrap_or(u32::MAX),
    })
}

/// Encodes results so that another node can release them.
fn input_entries(traffic: &Traffic, results: &[PieceResult]) -> Vec<InputEntry> {
    let own = traffic.shared.settings.work;
    let entries = results.iter().map(|result| InputEntry {
        service: result.producer.service.to_string(),
        target: result.producer.id.to_string(),
        handle: result.handle.clone(),
        batcher: result.gatherer.unwrap_or(own),
    });
    entries.collect()
}

/// Decodes the results that another node's pieces need last. Results whose targets are unknown to
/// this node are left out.
fn decode_inputs(traffic: &Traffic, entries: &[InputEntry]) -> Vec<PieceResult> {
    let own = traffic.shared.settings.work;
    let known = entries.iter().filter_map(|entry| {
        let context = traffic.service(&entry.service)?;
        let producer = context.targets.borrow().get(&entry.target)?.clone();
        let gatherer = (entry.batcher != own).then_some(entry.batcher);
        Some(PieceResult {
            handle: entry.handle.clone(),
            producer,
            gatherer,
        })
    });
    known.collect()
}

fn decode_outcome(cell_ref: &CellRef, peer: SocketAddr, result: PieceReplyItem) -> PieceOutcome {
    match result {
        PieceReplyItem::Completed { handle, target } => {
            // A target that has left the list meanwhile still has its result; fetching the input
            // will tell.
            let producer = cell_ref.context.targets.borrow().get(&target).cloned();
            match producer {
                Some(producer) => PieceOutcome::Completed(PieceResult {
                    handle,
                    producer,
                    gatherer: Some(peer),
                }),
                None => {
                    PieceOutcome::Failed("the target that holds the result is no longer listed")
                }
            }
        }
        PieceReplyItem::InputMissing => PieceOutcome::InputMissing,
        PieceReplyItem::Failed => PieceOutcome::Failed("the batching node got no result"),
        PieceReplyItem::NotScheduled => PieceOutcome::NotScheduled,
    }
}

/// Releases results at the node that batched their pieces. Returns whether it acknowledged.
pub(crate) async fn release_at_peer(
    traffic: &Traffic,
    peer: SocketAddr,
    results: &[PieceResult],
) -> bool {
    let Some(first) = results.first() else {
        return true;
    };
    let ids = results.iter().map(|result| {
        let target = result.producer.id.to_string();
        (target, result.handle.clone())
    });
    let request = WorkRequest::Release {
        service: first.producer.service.to_string(),
        results: ids.collect(),
    };
    let reply = traffic.peers.call(peer, &request, RELEASE_TIMEOUT).await;
    reply == Some(WorkReply::Ack)
}

/// Handles pieces that another node hands over.
pub(crate) async fn answer_pieces(traffic: &Rc<Traffic>, piece_request: PieceRequest) -> WorkReply {
    let Some(context) = traffic.service(&piece_request.service) else {
        return WorkReply::Refused;
    };
    let cell_ref = CellRef {
        context,
        index: piece_request.cell as usize,
    };
    let works = decode_works(&piece_request, traffic.shared.now());
    let inputs = decode_inputs(traffic, &piece_request.last_use);
    // Results that are unknown here are released by the requesting node.
    let knows_all = inputs.len() == piece_request.last_use.len();
    let result = run_locally(traffic, &cell_ref, works, inputs).await;
    let released = result.inputs_released && knows_all;
    let items = result.outcomes.into_iter().map(|outcome| match outcome {
        PieceOutcome::Completed(result) => PieceReplyItem::Completed {
            handle: result.handle,
            target: result.producer.id.to_string(),
        },
        PieceOutcome::InputMissing => PieceReplyItem::InputMissing,
        PieceOutcome::Failed(_) => PieceReplyItem::Failed,
        PieceOutcome::NotScheduled => PieceReplyItem::NotScheduled,
    });
    WorkReply::Pieces {
        results: items.collect(),
        waits: encode_waits(traffic, &cell_ref),
        released,
    }
}

/// Returns the expected wait of new pieces at this node in milliseconds, by account rank.
fn encode_waits(traffic: &Traffic, cell_ref: &CellRef) -> Vec<u32> {
    let now = traffic.shared.now();
    let waits = cell_ref.context.local_waits(now, cell_ref.index);
    let millis = waits.iter().map(|wait| wait.as_millis());
    millis
        .map(|millis| u32::try_from(millis).unwrap_or(u32::MAX))
        .collect()
}

/// Returns the expected wait of a new piece of an account rank, as far as this node knows.
pub(crate) fn expected_wait(traffic: &Traffic, cell_ref: &CellRef, rank: u8) -> Duration {
    let now = traffic.shared.now();
    let service = cell_ref.context.spec.borrow().name.to_string();
    let duty = Duty::Gather(service, cell_ref.index);
    let rank = usize::from(rank).min(RANK_COUNT - 1);
    match traffic.peers.owner_of(&duty) {
        Some(_) => cell_ref.context.reported_wait(now, cell_ref.index, rank),
        None => cell_ref.context.local_waits(now, cell_ref.index)[rank],
    }
}

fn decode_works(piece_request: &PieceRequest, now: Moment) -> Vec<PieceWork> {
    let first = PieceWork {
        digest: RequestDigest(piece_request.digest),
        is_suspect: false,
        attempt: piece_request.attempt.as_str().into(),
        stage: piece_request.stage as usize,
        piece: 0,
        piece_key: piece_request.piece_key.as_deref().map(Into::into),
        inputs: piece_request.inputs.clone().into(),
        deadline: now + Duration::from_millis(piece_request.remaining_ms),
        due: now + Duration::from_millis(piece_request.due_ms),
        ranks: piece_request.ranks,
        result_bytes: piece_request.result_bytes,
        hall: piece_request.hall.as_deref().map(Into::into),
        hall_deadline: now + Duration::from_millis(u64::from(piece_request.hall_wait_ms)),
    };
    let works = piece_request.pieces.iter().map(|&piece| PieceWork {
        piece,
        ..first.clone()
    });
    works.collect()
}

/// Handles a release by another node.
pub(crate) fn answer_release(traffic: &Rc<Traffic>, service: &str, results: Vec<(String, String)>) {
    let Some(context) = traffic.service(service) else {
        return;
    };
    let table = context.targets.borrow();
    let known = results.into_iter().filter_map(|(target, handle)| {
        let producer = table.get(&target)?.clone();
        Some(PieceResult {
            handle,
            producer,
            gatherer: None,
        })
    });
    let known = known.collect();
    drop(table);
    release_results(traffic, known);
}
