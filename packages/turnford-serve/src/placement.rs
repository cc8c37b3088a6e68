//! Which target takes a request.
//!
//! For model engines one node, found by rendezvous hashing, places the requests of all, since only
//! then is it known what each engine still has to read and which prompts it keeps. A node that gets
//! no answer from it places the request by what it knows itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashVerdict;
use turnford_fleet::Duty;
use turnford_policy::Moment;
use turnford_policy::PlaceNeed;
use turnford_policy::PromptHome;
use turnford_policy::PromptPart;
use turnford_policy::RequestDigest;
use turnford_policy::RunTicket;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::PlaceAsk;
use turnford_wire::PlaceReply;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::desk::ServiceDesk;
use crate::line::LinePlace;
use crate::opening::wait_turn;
use crate::opening::OpeningFault;
use crate::placed_run::NotedRun;
use crate::placed_run::PlacedRun;
use crate::progress::PlacerLink;
use crate::record::RequestRecord;
use crate::traffic::Traffic;
use crate::trial::place_checked;
use crate::trial::CheckedPlace;
use crate::trial::SuspectRefusal;
use crate::trial::HOLD_PAUSE;
use crate::trial::HOLD_SPAN;
use crate::work::call_peer;
use crate::work::doer_of;

/// Longest wait for the node that places: above its usual answer of a few milliseconds, well below
/// what a request can spare.
pub(crate) const PLACE_LIMIT: Duration = Duration::from_millis(120);

/// Cost of a target in another hall against one request more in its queue.
const HALL_COST: f64 = 0.002;

/// Cost of a target that has this node's part of its connections in use, against requests in its
/// queue: it is chosen only where all are so.
const OVER_COST: f64 = 1000.0;

/// Returns the hall that a request's last target will probably be in.
pub(crate) fn plan_hall(desk: &ServiceDesk, parts: &[PromptPart]) -> Option<Arc<str>> {
    let board = desk.board.borrow();
    let home = PromptHome::new(parts, board.open_targets().map(|target| &target.id));
    let target = board.get(home.first()?)?;
    Some(target.hall.clone())
}

/// Where a request may run.
pub(crate) enum PlaceEnd {
    /// At a target.
    Placed(Box<PlacedRun>),
    /// No target can take it.
    Nowhere,
    /// Targets crashed under such a request.
    Suspect(SuspectRefusal),
    /// All want rest for longer than the request has time; when to come back.
    TooLate(Duration),
}

/// What a request wants of its place.
pub(crate) struct PlaceWish<'a> {
    /// Bytes of its inputs in each hall.
    pub(crate) inputs: &'a [(Arc<str>, u64)],
    /// Targets that it was not served by.
    pub(crate) tried: &'a [TargetId],
    /// Whether it may wait until a target's rest is over.
    pub(crate) may_wait: bool,
}

/// Finds a place for a request. A suspect waits for a while where another copy of it runs.
pub(crate) async fn place_request(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
    wish: &PlaceWish<'_>,
) -> PlaceEnd {
    let tried = wish.tried;
    let mut need = PlaceNeed {
        parts: record.facts.parts.clone(),
        prompt_tokens: record.facts.prompt_tokens,
        answer_tokens: record.facts.answer_tokens,
        inputs: wish.inputs.to_vec(),
        tried: tried.to_vec(),
        due: record.begun + record.route.goal,
        deadline: record.deadline,
    };
    let held_until = traffic.shared.now() + HOLD_SPAN;
    loop {
        let turn = match find_turn(traffic, record, desk, wish).await {
            Ok(turn) => turn,
            Err(OpeningFault::Nowhere) => return PlaceEnd::Nowhere,
            Err(OpeningFault::TooLate(back_after)) => return PlaceEnd::TooLate(back_after),
        };
        // The node that places does not know which targets want rest of this one.
        let now = traffic.shared.now();
        let closed = desk.board.borrow().closed_targets(now);
        need.tried = [tried, &closed[..]].concat();
        match place_once(traffic, record, desk, &need).await {
            FoundPlace::Placed(mut placed) => {
                placed.turn = turn;
                return PlaceEnd::Placed(placed);
            }
            FoundPlace::Nowhere => return PlaceEnd::Nowhere,
            FoundPlace::Refused(span) => {
                return PlaceEnd::Suspect(SuspectRefusal::crashes_targets(span));
            }
            FoundPlace::Held if traffic.shared.now() >= held_until => {
                return PlaceEnd::Suspect(SuspectRefusal::on_trial());
            }
            FoundPlace::Held => {}
        }
        Timer::after(HOLD_PAUSE).await;
    }
}

/// Finds out whether a target takes the request, now or, where it may wait, after a rest.
async fn find_turn(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
    wish: &PlaceWish<'_>,
) -> Result<Option<LinePlace>, OpeningFault> {
    if wish.may_wait {
        return wait_turn(traffic, record, desk, wish.tried).await;
    }
    let now = traffic.shared.now();
    let has_open = desk.board.borrow().has_open(now, wish.tried);
    has_open.then_some(None).ok_or(OpeningFault::Nowhere)
}

/// A place as it was found now.
enum FoundPlace {
    Placed(Box<PlacedRun>),
    Nowhere,
    Held,
    Refused(Duration),
}

async fn place_once(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
    need: &PlaceNeed,
) -> FoundPlace {
    let digest = record.digest.get();
    let now = traffic.shared.now();
    let is_sound = traffic.crashes.verdict(now, &digest) == CrashVerdict::Sound;
    if is_sound && desk.spec.borrow().engine.is_none() {
        let target = choose_plain(traffic, desk, &need.tried);
        return target.map_or(FoundPlace::Nowhere, |target| {
            FoundPlace::Placed(Box::new(PlacedRun {
                target,
                is_alone: false,
                turn: None,
                run: None,
            }))
        });
    }
    let service = desk.spec.borrow().name.to_string();
    let placer = doer_of(traffic, &Duty::Place(service));
    if let Some(placer) = placer {
        if let Some(found) = ask_placer(traffic, desk, digest, need, placer).await {
            record.note(format_args!("placed by {placer}"));
            return found;
        }
        record.note(format_args!("placed here: {placer} gave no place"));
    }
    place_here(traffic, desk, digest, need)
}

/// Chooses a target that is no engine, by what this node knows.
pub(crate) fn choose_plain(
    traffic: &Traffic,
    desk: &ServiceDesk,
    tried: &[TargetId],
) -> Option<TargetSpec> {
    let own_hall = &traffic.shared.settings.hall;
    let sharers = traffic.shared.view.load().sharers();
    let limit = desk.spec.borrow().connection_limit as f64 / sharers;
    let now = traffic.shared.now();
    let board = desk.board.borrow();
    let cost = |target: &TargetSpec, load: f64| {
        let is_near = target.hall == *own_hall;
        let hall = if is_near { 0.0 } else { HALL_COST };
        // Each call takes a connection; beyond this node's part of them the target resets some.
        let is_over = f64::from(board.in_flight(&target.id) + 1) > limit.max(1.0);
        let over = if is_over { OVER_COST } else { 0.0 };
        load / f64::from(target.slots.max(1)) + hall + over
    };
    board.choose(now, tried, cost)
}

/// Places a request by what this node knows.
fn place_here(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    digest: RequestDigest,
    need: &PlaceNeed,
) -> FoundPlace {
    match place_checked(traffic, desk, digest, need) {
        CheckedPlace::At {
            target,
            ticket,
            is_alone,
        } => FoundPlace::Placed(Box::new(PlacedRun {
            target,
            is_alone,
            turn: None,
            run: Some(note_run(traffic, desk, None, ticket)),
        })),
        CheckedPlace::Nowhere => FoundPlace::Nowhere,
        CheckedPlace::Held => FoundPlace::Held,
        CheckedPlace::Refused(span) => FoundPlace::Refused(span),
    }
}

/// Returns the placement that a node, `None` for this one, noted.
fn note_run(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    address: Option<SocketAddr>,
    ticket: RunTicket,
) -> NotedRun {
    NotedRun {
        placer: PlacerLink {
            traffic: traffic.clone(),
            desk: desk.clone(),
            address,
        },
        ticket,
        placed: traffic.shared.now(),
    }
}

/// Asks the node that places for all; `None` if it gives no answer, or one that can't be used.
async fn ask_placer(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    digest: RequestDigest,
    need: &PlaceNeed,
    placer: SocketAddr,
) -> Option<FoundPlace> {
    let now = traffic.shared.now();
    let millis = |until: Moment| {
        let left = until.saturating_sub(now).as_millis();
        u64::try_from(left).unwrap_or(u64::MAX)
    };
    let ask = PlaceAsk {
        service: desk.spec.borrow().name.to_string(),
        digest: digest.0,
        parts: need
            .parts
            .iter()
            .map(|part| (part.id, part.tokens))
            .collect(),
        prompt_tokens: need.prompt_tokens,
        answer_tokens: need.answer_tokens,
        inputs: need
            .inputs
            .iter()
            .map(|(hall, bytes)| (hall.to_string(), *bytes))
            .collect(),
        tried: need.tried.iter().map(ToString::to_string).collect(),
        due_ms: millis(need.due),
        left_ms: millis(need.deadline),
    };
    let request = WorkRequest::Place(ask);
    let reply = call_peer(traffic, placer, &request, PLACE_LIMIT).await;
    let Some(WorkReply::Placed(reply)) = reply else {
        return None;
    };
    match reply {
        PlaceReply::At {
            target: id,
            ticket,
            is_alone,
        } => {
            let run = note_run(traffic, desk, Some(placer), ticket);
            // The other node may not know yet that the target leaves.
            let target = desk.board.borrow().get(&id).cloned();
            let target = target.filter(|target| !target.leaving)?;
            Some(FoundPlace::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                turn: None,
                run: Some(run),
            })))
        }
        PlaceReply::Nowhere => None,
        PlaceReply::Held => Some(FoundPlace::Held),
        PlaceReply::Refused { back_ms } => {
            Some(FoundPlace::Refused(Duration::from_millis(back_ms)))
        }
    }
}

/// Answers a request to place.
pub(crate) fn answer_place(traffic: &Rc<Traffic>, ask: PlaceAsk) -> WorkReply {
    let Some(desk) = traffic.desk(&ask.service) else {
        return WorkReply::Refused;
    };
    let now = traffic.shared.now();
    let digest = RequestDigest(ask.digest);
    let need = asked_need(ask, now);
    let reply = match place_checked(traffic, &desk, digest, &need) {
        CheckedPlace::At {
            target,
            ticket,
            is_alone,
        } => PlaceReply::At {
            target: target.id.to_string(),
            ticket,
            is_alone,
        },
        CheckedPlace::Nowhere => PlaceReply::Nowhere,
        CheckedPlace::Held => PlaceReply::Held,
        CheckedPlace::Refused(span) => PlaceReply::Refused {
            back_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
        },
    };
    WorkReply::Placed(reply)
}

fn asked_need(ask: PlaceAsk, now: Moment) -> PlaceNeed {
    let parts = ask.parts.into_iter();
    let inputs = ask.inputs.into_iter();
    PlaceNeed {
        parts: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
        prompt_tokens: ask.prompt_tokens,
        answer_tokens: ask.answer_tokens,
        inputs: inputs.map(|(hall, bytes)| (hall.into(), bytes)).collect(),
        tried: ask.tried.into_iter().map(Into::into).collect(),
        due: now + Duration::from_millis(ask.due_ms),
        deadline: now + Duration::from_millis(ask.left_ms),
    }
}
