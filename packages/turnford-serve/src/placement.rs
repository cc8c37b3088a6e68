//! Which target takes a request.
//!
//! For model engines one node, found by rendezvous hashing, places the requests of all, since only
//! then is it known what each engine still has to read and which prompts it keeps. A node that gets
//! no answer from it places the request by what it knows itself.

use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use siphasher::sip::SipHasher13;

use turnford_fleet::CrashVerdict;
use turnford_fleet::QueuedRequest;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptAffinity;
use turnford_policy::PromptSegment;
use turnford_policy::RequestDigest;
use turnford_policy::TargetId;

use crate::availability::wait_turn;
use crate::availability::AvailabilityError;
use crate::forward::RETRY_AFTER;
use crate::limit_placement::choose_limited;
use crate::limit_placement::LimitedPlacement;
use crate::placed_run::note_run;
use crate::placed_run::PlacedRun;
use crate::placed_run::PlacementAttempt;
use crate::placer::ask_placer;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::trial::place_checked;
use crate::trial::CheckedPlacement;
use crate::trial::SuspectRefusal;
use crate::trial::SUSPECT_POLL_INTERVAL;
use crate::trial::SUSPECT_WAIT_TIMEOUT;
use crate::wait_queue::QueuePosition;

/// Returns the hall that a request's last target will probably be in.
pub(crate) fn plan_hall(desk: &ServiceContext, parts: &[PromptSegment]) -> Option<Arc<str>> {
    let board = desk.targets.borrow();
    let home = PromptAffinity::new(parts, board.open_targets().map(|target| &target.id));
    let target = board.get(home.preferred()?)?;
    Some(target.hall.clone())
}

/// Where a request may run.
pub(crate) enum PlacementOutcome {
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
pub(crate) struct PlacementOptions<'a> {
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
    desk: &Rc<ServiceContext>,
    wish: &PlacementOptions<'_>,
) -> PlacementOutcome {
    let tried = wish.tried;
    let mut need = PlacementRequest {
        segments: record.facts.segments.clone(),
        prompt_tokens: record.facts.prompt_tokens,
        max_output_tokens: record.facts.max_output_tokens,
        inputs: wish.inputs.to_vec(),
        tried: tried.to_vec(),
        due: record.started_at + record.route.latency_objective,
        deadline: record.deadline,
    };
    let turn = turn_ask(traffic, record, wish);
    let held_until = turn.requested_at + SUSPECT_WAIT_TIMEOUT;
    let mut is_noted = false;
    loop {
        let line_place = match find_turn(traffic, record, desk, wish).await {
            Ok(place) => place,
            Err(AvailabilityError::Nowhere) => return PlacementOutcome::Nowhere,
            Err(AvailabilityError::TooLate(back_after)) => {
                return PlacementOutcome::TooLate(back_after)
            }
        };
        // The node that places does not know which targets want rest of this one.
        let now = traffic.shared.now();
        let closed = desk.targets.borrow().closed_targets(now);
        need.tried = [tried, &closed[..]].concat();
        match place_once(traffic, record, desk, &need, &turn).await {
            PlacementAttempt::Placed(mut placed) => {
                placed.turn = line_place;
                return PlacementOutcome::Placed(placed);
            }
            PlacementAttempt::Later(_) if traffic.shared.now() > turn.deadline => {
                return PlacementOutcome::Full(RETRY_AFTER);
            }
            PlacementAttempt::Later(span) => {
                drop(line_place);
                if !std::mem::replace(&mut is_noted, true) {
                    record.note(format_args!("waits for its turn, targets have limits"));
                }
                Timer::after(span).await;
                continue;
            }
            PlacementAttempt::Full(back_after) => return PlacementOutcome::Full(back_after),
            PlacementAttempt::Nowhere => return PlacementOutcome::Nowhere,
            PlacementAttempt::Refused(span) => {
                return PlacementOutcome::Suspect(SuspectRefusal::crashes_targets(span));
            }
            PlacementAttempt::Held if traffic.shared.now() >= held_until => {
                return PlacementOutcome::Suspect(SuspectRefusal::on_trial());
            }
            PlacementAttempt::Held => {}
        }
        Timer::after(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Returns the request's claim to a turn where all targets have limits.
fn turn_ask(
    traffic: &Traffic,
    record: &RequestRecord,
    wish: &PlacementOptions<'_>,
) -> QueuedRequest {
    let now = traffic.shared.now();
    let mut hasher = SipHasher13::new();
    hasher.write(record.facts.attempt.as_bytes());
    let latest = record.serve_by().saturating_sub(record.last_span.get());
    QueuedRequest {
        number: hasher.finish(),
        ranks: (record.rank, record.route.rank),
        requested_at: now,
        deadline: if wish.may_wait { latest } else { now },
    }
}

/// Finds out whether a target takes the request, now or, where it may wait, after a rest.
async fn find_turn(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceContext>,
    wish: &PlacementOptions<'_>,
) -> Result<Option<QueuePosition>, AvailabilityError> {
    if wish.may_wait {
        return wait_turn(traffic, record, desk, wish.tried).await;
    }
    let now = traffic.shared.now();
    let has_open = desk.targets.borrow().has_open(now, wish.tried);
    has_open.then_some(None).ok_or(AvailabilityError::Nowhere)
}

async fn place_once(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceContext>,
    need: &PlacementRequest,
    turn: &QueuedRequest,
) -> PlacementAttempt {
    let digest = record.digest.get();
    let now = traffic.shared.now();
    let is_sound = traffic.crashes.verdict(now, &digest) == CrashVerdict::Clear;
    if is_sound && desk.spec.borrow().engine.is_none() {
        if let Ok(target) = choose_limited(traffic, desk, &need.tried).await {
            return target.map_or(PlacementAttempt::Nowhere, |target| {
                PlacementAttempt::Placed(Box::new(PlacedRun {
                    target,
                    is_alone: false,
                    turn: None,
                    run: None,
                }))
            });
        }
    }
    if let Some(placer) = desk.limits.placer() {
        if let Some(found) = ask_placer(traffic, desk, digest, need, turn, placer).await {
            if matches!(found, PlacementAttempt::Placed(_)) {
                record.note(format_args!("placed by {placer}"));
            }
            return found;
        }
        record.note(format_args!("placed here: {placer} gave no place"));
        if desk.limits.placer().is_some() {
            // Another one divides the limits.
            return place_here(traffic, desk, digest, need, turn);
        }
    }
    if desk.limits.table.borrow().has_limits() {
        let term = desk.limits.election.borrow().term().cloned();
        desk.limits.resolve_role(term.as_ref());
    }
    place_here(traffic, desk, digest, need, turn)
}

/// Places a request by what this node knows.
fn place_here(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    digest: RequestDigest,
    need: &PlacementRequest,
    turn: &QueuedRequest,
) -> PlacementAttempt {
    let (place, is_alone) = match place_checked(traffic, desk, digest, need, turn) {
        CheckedPlacement::Found { place, is_alone } => (place, is_alone),
        CheckedPlacement::Held => return PlacementAttempt::Held,
        CheckedPlacement::Refused(span) => return PlacementAttempt::Refused(span),
    };
    match place {
        LimitedPlacement::Assigned {
            target,
            ticket,
            has_permit,
        } => {
            if has_permit {
                desk.limits.add_permit(&target.id, traffic.shared.now());
            }
            PlacementAttempt::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                turn: None,
                run: Some(note_run(traffic, desk, None, ticket)),
            }))
        }
        LimitedPlacement::Wait(span) => PlacementAttempt::Later(span),
        LimitedPlacement::Full(span) => PlacementAttempt::Full(span),
        LimitedPlacement::NoTarget => PlacementAttempt::Nowhere,
    }
}
