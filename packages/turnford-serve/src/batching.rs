//! The pieces of a cell go to the node that gathers for it.
//!
//! Nothing depends on all nodes agreeing on that node: two that gather for one cell only fill their
//! calls less well, and pieces that a node gives no answer to go to the next one, in the end to this.

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

/// Nodes that the pieces of one stage are offered to before this node gathers them itself.
const GATHERER_TRIES: usize = 2;

/// Longest wait for a node to note a release.
const RELEASE_LIMIT: Duration = Duration::from_millis(500);

/// A cell of a service by its number.
#[derive(Clone)]
pub(crate) struct CellPlace {
    pub(crate) desk: Rc<ServiceContext>,
    pub(crate) number: usize,
}

/// How the pieces of a stage ended.
pub(crate) struct PiecesEnd {
    pub(crate) outcomes: Vec<PieceOutcome>,
    /// Whether the results that only they needed were given up.
    pub(crate) gave_up: bool,
}

/// Runs pieces of one stage of one request, at the node that gathers for their cell. `last_use` are
/// the results that only these pieces need.
pub(crate) async fn run_pieces(
    traffic: &Rc<Traffic>,
    place: &CellPlace,
    works: &[PieceWork],
    last_use: &[PieceResult],
) -> PiecesEnd {
    for _ in 0..GATHERER_TRIES {
        let service = place.desk.spec.borrow().name.to_string();
        let duty = Duty::Gather(service, place.number);
        let Some(peer) = traffic.peers.owner_of(&duty) else {
            break;
        };
        if let Some(end) = ask_peer(traffic, place, works, last_use, peer).await {
            return end;
        }
    }
    run_here(traffic, place, works.to_vec(), last_use.to_vec()).await
}

async fn run_here(
    traffic: &Rc<Traffic>,
    place: &CellPlace,
    works: Vec<PieceWork>,
    last_use: Vec<PieceResult>,
) -> PiecesEnd {
    let count = works.len();
    let Some(pieces) = place.desk.cell(place.number) else {
        return PiecesEnd {
            outcomes: vec![PieceOutcome::Failed("the service has no targets"); count],
            gave_up: false,
        };
    };
    let inputs = InputTracker::new(traffic, last_use, count);
    let cell = PieceCell {
        traffic: traffic.clone(),
        desk: place.desk.clone(),
        pieces,
    };
    let waits = cell.submit(works, &inputs);
    let mut outcomes = Vec::with_capacity(count);
    for wait in &waits {
        outcomes.push(wait.outcome().await);
    }
    PiecesEnd {
        outcomes,
        gave_up: inputs.has_given_up(),
    }
}

/// Hands pieces to another node; `None` if it gave no answer.
async fn ask_peer(
    traffic: &Rc<Traffic>,
    place: &CellPlace,
    works: &[PieceWork],
    last_use: &[PieceResult],
    peer: SocketAddr,
) -> Option<PiecesEnd> {
    let now = traffic.shared.now();
    let first = works.first()?;
    let limit = first.deadline.saturating_sub(now);
    let mut ask = piece_ask(place, works, now)?;
    ask.last_use = input_entries(traffic, last_use);
    let request = WorkRequest::Pieces(ask);
    let state = traffic.peers.state(peer);
    let _waiting = WaitingGuard::new(&traffic.peers, peer, &state);
    let call = async {
        let reply = traffic.peers.client.call(peer, &request, limit).await;
        Some(reply)
    };
    let watch = async {
        while state.down_until.get() <= traffic.shared.now() {
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
            state.last_contact.set(now);
            place.desk.note_waits(now, place.number, &waits);
            let results = results.into_iter();
            let outcomes = results.map(|end| outcome_of(place, peer, end)).collect();
            Some(PiecesEnd {
                outcomes,
                gave_up: released,
            })
        }
        Some(Ok(_)) => {
            log::info!("node at {peer} takes no pieces");
            traffic.peers.mark_refusing(&state);
            None
        }
        Some(Err(PeerError::Timeout)) => {
            // The request's time is over, which says nothing of the node.
            Some(PiecesEnd {
                outcomes: vec![PieceOutcome::Failed("its time was over"); works.len()],
                gave_up: false,
            })
        }
        Some(Err(fault)) => {
            log::info!("node at {peer} lost pieces: {fault}");
            traffic.peers.mark_down(&state);
            None
        }
        None => None,
    }
}

fn piece_ask(place: &CellPlace, works: &[PieceWork], now: Moment) -> Option<PieceRequest> {
    let first = works.first()?;
    let millis = |until: Moment| {
        let left = until.saturating_sub(now).as_millis();
        u64::try_from(left).unwrap_or(u64::MAX)
    };
    Some(PieceRequest {
        service: place.desk.spec.borrow().name.to_string(),
        cell: u32::try_from(place.number).unwrap_or(u32::MAX),
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

/// Returns results as another node can give them up.
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

/// Returns the results that another node's pieces need for the last time, those whose targets are
/// known here.
fn asked_inputs(traffic: &Traffic, entries: &[InputEntry]) -> Vec<PieceResult> {
    let own = traffic.shared.settings.work;
    let known = entries.iter().filter_map(|entry| {
        let desk = traffic.service(&entry.service)?;
        let producer = desk.targets.borrow().get(&entry.target)?.clone();
        let gatherer = (entry.batcher != own).then_some(entry.batcher);
        Some(PieceResult {
            handle: entry.handle.clone(),
            producer,
            gatherer,
        })
    });
    known.collect()
}

fn outcome_of(place: &CellPlace, peer: SocketAddr, end: PieceReplyItem) -> PieceOutcome {
    match end {
        PieceReplyItem::Completed { handle, target } => {
            // A target that left the list meanwhile keeps its result; the input's fetch will tell.
            let producer = place.desk.targets.borrow().get(&target).cloned();
            match producer {
                Some(producer) => PieceOutcome::Made(PieceResult {
                    handle,
                    producer,
                    gatherer: Some(peer),
                }),
                None => PieceOutcome::Failed("its target is gone"),
            }
        }
        PieceReplyItem::InputMissing => PieceOutcome::InputGone,
        PieceReplyItem::Failed => PieceOutcome::Failed("the gathering node got no result"),
        PieceReplyItem::NotScheduled => PieceOutcome::NotOffered,
    }
}

/// Gives results up at the node that gathered them; true if it noted it.
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
    let reply = traffic.peers.call(peer, &request, RELEASE_LIMIT).await;
    reply == Some(WorkReply::Ack)
}

/// Answers pieces that another node hands over.
pub(crate) async fn answer_pieces(traffic: &Rc<Traffic>, ask: PieceRequest) -> WorkReply {
    let Some(desk) = traffic.service(&ask.service) else {
        return WorkReply::Refused;
    };
    let place = CellPlace {
        desk,
        number: ask.cell as usize,
    };
    let works = asked_works(&ask, traffic.shared.now());
    let now = traffic.shared.now();
    place
        .desk
        .allowance
        .borrow_mut()
        .record_first_attempts(now, works.len());
    let inputs = asked_inputs(traffic, &ask.last_use);
    // What is not known here is given up by the node that asks.
    let knows_all = inputs.len() == ask.last_use.len();
    let end = run_here(traffic, &place, works, inputs).await;
    let released = end.gave_up && knows_all;
    let ends = end.outcomes.into_iter().map(|outcome| match outcome {
        PieceOutcome::Made(result) => PieceReplyItem::Completed {
            handle: result.handle,
            target: result.producer.id.to_string(),
        },
        PieceOutcome::InputGone => PieceReplyItem::InputMissing,
        PieceOutcome::Failed(_) => PieceReplyItem::Failed,
        PieceOutcome::NotOffered => PieceReplyItem::NotScheduled,
    });
    WorkReply::Pieces {
        results: ends.collect(),
        waits: told_waits(traffic, &place),
        released,
    }
}

/// Returns the milliseconds that new pieces would wait at this node, by account rank.
fn told_waits(traffic: &Traffic, place: &CellPlace) -> Vec<u32> {
    let now = traffic.shared.now();
    let waits = place.desk.own_waits(now, place.number);
    let millis = waits.iter().map(|wait| wait.as_millis());
    millis
        .map(|millis| u32::try_from(millis).unwrap_or(u32::MAX))
        .collect()
}

/// Returns the time that a new piece of an account rank would wait for its call, as far as known.
pub(crate) fn expected_wait(traffic: &Traffic, place: &CellPlace, rank: u8) -> Duration {
    let now = traffic.shared.now();
    let service = place.desk.spec.borrow().name.to_string();
    let duty = Duty::Gather(service, place.number);
    let rank = usize::from(rank).min(RANK_COUNT - 1);
    match traffic.peers.owner_of(&duty) {
        Some(_) => place.desk.told_wait(now, place.number, rank),
        None => place.desk.own_waits(now, place.number)[rank],
    }
}

fn asked_works(ask: &PieceRequest, now: Moment) -> Vec<PieceWork> {
    let first = PieceWork {
        digest: RequestDigest(ask.digest),
        is_suspect: false,
        attempt: ask.attempt.as_str().into(),
        stage: ask.stage as usize,
        piece: 0,
        piece_key: ask.piece_key.as_deref().map(Into::into),
        inputs: ask.inputs.clone().into(),
        deadline: now + Duration::from_millis(ask.remaining_ms),
        due: now + Duration::from_millis(ask.due_ms),
        ranks: ask.ranks,
        result_bytes: ask.result_bytes,
        hall: ask.hall.as_deref().map(Into::into),
        hall_deadline: now + Duration::from_millis(u64::from(ask.hall_wait_ms)),
    };
    let works = ask.pieces.iter().map(|&piece| PieceWork {
        piece,
        ..first.clone()
    });
    works.collect()
}

/// Answers a release by another node.
pub(crate) fn answer_release(traffic: &Rc<Traffic>, service: &str, results: Vec<(String, String)>) {
    let Some(desk) = traffic.service(service) else {
        return;
    };
    let board = desk.targets.borrow();
    let known = results.into_iter().filter_map(|(target, handle)| {
        let producer = board.get(&target)?.clone();
        Some(PieceResult {
            handle,
            producer,
            gatherer: None,
        })
    });
    let known = known.collect();
    drop(board);
    release_results(traffic, known);
}
