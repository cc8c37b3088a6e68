//! Which target takes a request.
//!
//! For model engines one node, found by rendezvous hashing, places the requests of all, since only
//! then is it known what each engine still has to read and which prompts it keeps. A node that gets
//! no answer from it places the request by what it knows itself.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use siphasher::sip::SipHasher13;

use turnford_fleet::CrashVerdict;
use turnford_fleet::DivisionRole;
use turnford_fleet::TurnAsk;
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
use turnford_wire::PlaceTurn;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::short_millis;
use crate::desk::ServiceDesk;
use crate::forward::RETRY_AFTER;
use crate::limit_news::report_limit;
use crate::limit_place::choose_limited;
use crate::limits::add_permit;
use crate::limits::enter_division;
use crate::limits::note_holder;
use crate::limits::placer_of;
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
use crate::work::ALIVE_LIMIT;

/// Longest wait for the node that places: above its usual answer of a few milliseconds, well below
/// what a request can spare.
pub(crate) const PLACE_LIMIT: Duration = Duration::from_millis(120);

/// Pause before another node is asked that is told to place.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(2);

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
    /// All have limits, and its turn does not come in time; when to come back.
    Full(Duration),
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
    let turn = turn_ask(traffic, record, wish);
    let held_until = turn.begun + HOLD_SPAN;
    let mut is_noted = false;
    loop {
        let line_place = match find_turn(traffic, record, desk, wish).await {
            Ok(place) => place,
            Err(OpeningFault::Nowhere) => return PlaceEnd::Nowhere,
            Err(OpeningFault::TooLate(back_after)) => return PlaceEnd::TooLate(back_after),
        };
        // The node that places does not know which targets want rest of this one.
        let now = traffic.shared.now();
        let closed = desk.board.borrow().closed_targets(now);
        need.tried = [tried, &closed[..]].concat();
        match place_once(traffic, record, desk, &need, &turn).await {
            FoundPlace::Placed(mut placed) => {
                placed.turn = line_place;
                return PlaceEnd::Placed(placed);
            }
            FoundPlace::Later(_) if traffic.shared.now() > turn.latest => {
                return PlaceEnd::Full(RETRY_AFTER);
            }
            FoundPlace::Later(span) => {
                drop(line_place);
                if !std::mem::replace(&mut is_noted, true) {
                    record.note(format_args!("waits for its turn, targets have limits"));
                }
                Timer::after(span).await;
                continue;
            }
            FoundPlace::Full(back_after) => return PlaceEnd::Full(back_after),
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

/// Returns the request's claim to a turn where all targets have limits.
fn turn_ask(traffic: &Traffic, record: &RequestRecord, wish: &PlaceWish<'_>) -> TurnAsk {
    let now = traffic.shared.now();
    let mut hasher = SipHasher13::new();
    hasher.write(record.facts.attempt.as_bytes());
    let latest = record.serve_by().saturating_sub(record.last_span.get());
    TurnAsk {
        number: hasher.finish(),
        ranks: (record.rank, record.route.rank),
        begun: now,
        latest: if wish.may_wait { latest } else { now },
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
    Later(Duration),
    Full(Duration),
}

async fn place_once(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
    need: &PlaceNeed,
    turn: &TurnAsk,
) -> FoundPlace {
    let digest = record.digest.get();
    let now = traffic.shared.now();
    let is_sound = traffic.crashes.verdict(now, &digest) == CrashVerdict::Sound;
    if is_sound && desk.spec.borrow().engine.is_none() {
        if let Ok(target) = choose_limited(traffic, desk, &need.tried).await {
            return target.map_or(FoundPlace::Nowhere, |target| {
                FoundPlace::Placed(Box::new(PlacedRun {
                    target,
                    is_alone: false,
                    turn: None,
                    run: None,
                }))
            });
        }
    }
    if let Some(placer) = placer_of(traffic, desk) {
        if let Some(found) = ask_placer(traffic, desk, digest, need, turn, placer).await {
            if matches!(found, FoundPlace::Placed(_)) {
                record.note(format_args!("placed by {placer}"));
            }
            return found;
        }
        record.note(format_args!("placed here: {placer} gave no place"));
        if placer_of(traffic, desk).is_some() {
            // Another one divides the limits.
            return place_here(traffic, desk, digest, need, turn);
        }
    }
    if desk.limits.borrow().has_limits() {
        let term = desk.division.borrow().term().cloned();
        enter_division(traffic, desk, term.as_ref());
    }
    place_here(traffic, desk, digest, need, turn)
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
    turn: &TurnAsk,
) -> FoundPlace {
    match place_checked(traffic, desk, digest, need, turn) {
        CheckedPlace::At {
            target,
            ticket,
            is_alone,
            has_permit,
        } => {
            if has_permit {
                add_permit(traffic, desk, &target.id, traffic.shared.now());
            }
            FoundPlace::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                turn: None,
                run: Some(note_run(traffic, desk, None, ticket)),
            }))
        }
        CheckedPlace::Later(span) => FoundPlace::Later(span),
        CheckedPlace::Full(span) => FoundPlace::Full(span),
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
    turn: &TurnAsk,
    placer: SocketAddr,
) -> Option<FoundPlace> {
    let now = traffic.shared.now();
    let request = WorkRequest::Place(place_ask(desk, now, digest, need, turn));
    let reply = call_peer(traffic, placer, &request, PLACE_LIMIT).await;
    let Some(WorkReply::Placed(reply)) = reply else {
        return None;
    };
    take_place(traffic, desk, now, placer, reply)
}

fn place_ask(
    desk: &ServiceDesk,
    now: Moment,
    digest: RequestDigest,
    need: &PlaceNeed,
    turn: &TurnAsk,
) -> PlaceAsk {
    let millis = |until: Moment| {
        let left = until.saturating_sub(now).as_millis();
        u64::try_from(left).unwrap_or(u64::MAX)
    };
    let short = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    PlaceAsk {
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
        term: desk.division.borrow().term().cloned(),
        turn: PlaceTurn {
            number: turn.number,
            ranks: turn.ranks,
            waited_ms: short(now.saturating_sub(turn.begun)),
            patience_ms: short(turn.latest.saturating_sub(now)),
        },
    }
}

/// Takes the answer to an ask that was made at a moment; `None` if it can't be used.
fn take_place(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    asked_at: Moment,
    placer: SocketAddr,
    reply: PlaceReply,
) -> Option<FoundPlace> {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        PlaceReply::At {
            target: id,
            ticket,
            is_alone,
            has_permit,
        } => {
            if has_permit {
                add_permit(traffic, desk, &id, asked_at);
            }
            let run = note_run(traffic, desk, Some(placer), ticket);
            // The other node may not know yet that the target leaves.
            let target = desk.board.borrow().get(&id).cloned();
            let target = target.filter(|target| !target.leaving)?;
            if !desk.limits.borrow().is_open(traffic.shared.now(), &id) {
                // The other node has not heard of the limit, or this one not of its end.
                report_limit(traffic, desk, &target);
                return Some(FoundPlace::Later(HOLD_PAUSE));
            }
            Some(FoundPlace::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                turn: None,
                run: Some(run),
            })))
        }
        PlaceReply::Later { wait_ms } => Some(FoundPlace::Later(span(wait_ms))),
        PlaceReply::Full { back_ms } => Some(FoundPlace::Full(span(back_ms))),
        PlaceReply::Elsewhere(term) => {
            note_holder(traffic, desk, &term);
            Some(FoundPlace::Later(ELSEWHERE_PAUSE))
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
    if desk.limits.borrow().has_limits() {
        match enter_division(traffic, &desk, ask.term.as_ref()) {
            DivisionRole::Divides { .. } => {}
            DivisionRole::Elsewhere(term) => {
                return WorkReply::Placed(PlaceReply::Elsewhere(term));
            }
            DivisionRole::Doubted(_) => {
                let wait_ms = short_millis(ALIVE_LIMIT);
                return WorkReply::Placed(PlaceReply::Later { wait_ms });
            }
        }
    }
    let now = traffic.shared.now();
    let digest = RequestDigest(ask.digest);
    let turn = asked_turn(&ask, now);
    let need = asked_need(ask, now);
    let reply = match place_checked(traffic, &desk, digest, &need, &turn) {
        CheckedPlace::At {
            target,
            ticket,
            is_alone,
            has_permit,
        } => PlaceReply::At {
            target: target.id.to_string(),
            ticket,
            is_alone,
            has_permit,
        },
        CheckedPlace::Later(span) => PlaceReply::Later {
            wait_ms: short_millis(span),
        },
        CheckedPlace::Full(span) => PlaceReply::Full {
            back_ms: short_millis(span),
        },
        CheckedPlace::Nowhere => PlaceReply::Nowhere,
        CheckedPlace::Held => PlaceReply::Held,
        CheckedPlace::Refused(span) => PlaceReply::Refused {
            back_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
        },
    };
    WorkReply::Placed(reply)
}

fn asked_turn(ask: &PlaceAsk, now: Moment) -> TurnAsk {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    TurnAsk {
        number: ask.turn.number,
        ranks: ask.turn.ranks,
        begun: now.saturating_sub(span(ask.turn.waited_ms)),
        latest: now + span(ask.turn.patience_ms),
    }
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
