//! Questions to the node that places for all, and its answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::AllocationRole;
use turnford_fleet::QueuedRequest;
use turnford_policy::Moment;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptSegment;
use turnford_policy::RequestDigest;
use turnford_wire::PlaceReply;
use turnford_wire::PlaceRequest;
use turnford_wire::QueueEntry;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::short_millis;
use crate::limit_placement::LimitedPlacement;
use crate::limit_updates::report_limit;
use crate::limits::PLACEMENT_TIMEOUT;
use crate::limits::UNCONFIRMED_RETRY;
use crate::placed_run::note_run;
use crate::placed_run::PlacedRun;
use crate::placed_run::PlacementAttempt;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::trial::place_checked;
use crate::trial::CheckedPlacement;
use crate::trial::SUSPECT_POLL_INTERVAL;

/// Pause before another node is asked that is told to place.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(2);

/// Asks the node that places for all; `None` if it gives no answer, or one that can't be used.
pub(crate) async fn ask_placer(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    digest: RequestDigest,
    need: &PlacementRequest,
    turn: &QueuedRequest,
    placer: SocketAddr,
) -> Option<PlacementAttempt> {
    let now = traffic.shared.now();
    let request = WorkRequest::Place(place_ask(desk, now, digest, need, turn));
    let reply = traffic
        .peers
        .call(placer, &request, PLACEMENT_TIMEOUT)
        .await;
    let Some(WorkReply::Placed(reply)) = reply else {
        return None;
    };
    take_place(traffic, desk, now, placer, reply)
}

fn place_ask(
    desk: &ServiceContext,
    now: Moment,
    digest: RequestDigest,
    need: &PlacementRequest,
    turn: &QueuedRequest,
) -> PlaceRequest {
    let millis = |until: Moment| {
        let left = until.saturating_sub(now).as_millis();
        u64::try_from(left).unwrap_or(u64::MAX)
    };
    let short = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    PlaceRequest {
        service: desk.spec.borrow().name.to_string(),
        digest: digest.0,
        segments: need
            .segments
            .iter()
            .map(|part| (part.id, part.tokens))
            .collect(),
        prompt_tokens: need.prompt_tokens,
        max_output_tokens: need.max_output_tokens,
        inputs: need
            .inputs
            .iter()
            .map(|(hall, bytes)| (hall.to_string(), *bytes))
            .collect(),
        tried: need.tried.iter().map(ToString::to_string).collect(),
        due_ms: millis(need.due),
        remaining_ms: millis(need.deadline),
        term: desk.limits.election.borrow().term().cloned(),
        entry: QueueEntry {
            number: turn.number,
            ranks: turn.ranks,
            waited_ms: short(now.saturating_sub(turn.requested_at)),
            send_deadline_ms: short(turn.deadline.saturating_sub(now)),
        },
    }
}

/// Takes the answer to an ask that was made at a moment; `None` if it can't be used.
fn take_place(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    asked_at: Moment,
    placer: SocketAddr,
    reply: PlaceReply,
) -> Option<PlacementAttempt> {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        PlaceReply::Assigned {
            target: id,
            ticket,
            is_alone,
            has_permit,
        } => {
            if has_permit {
                desk.limits.add_permit(&id, asked_at);
            }
            let run = note_run(traffic, desk, Some(placer), ticket);
            // The other node may not know yet that the target leaves.
            let target = desk.targets.borrow().get(&id).cloned();
            let target = target.filter(|target| !target.leaving)?;
            if !desk
                .limits
                .table
                .borrow()
                .is_open(traffic.shared.now(), &id)
            {
                // The other node has not heard of the limit, or this one not of its end.
                report_limit(&desk.limits, &target);
                return Some(PlacementAttempt::Later(SUSPECT_POLL_INTERVAL));
            }
            Some(PlacementAttempt::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                turn: None,
                run: Some(run),
            })))
        }
        PlaceReply::Wait { wait_ms } => Some(PlacementAttempt::Later(span(wait_ms))),
        PlaceReply::Full { retry_after_ms } => Some(PlacementAttempt::Full(span(retry_after_ms))),
        PlaceReply::Redirect(term) => {
            desk.limits.record_holder(&term);
            Some(PlacementAttempt::Later(ELSEWHERE_PAUSE))
        }
        PlaceReply::NoTarget => None,
        PlaceReply::Held => Some(PlacementAttempt::Held),
        PlaceReply::Refused { retry_after_ms } => Some(PlacementAttempt::Refused(
            Duration::from_millis(retry_after_ms),
        )),
    }
}

/// Answers a request to place.
pub(crate) fn answer_place(traffic: &Rc<Traffic>, ask: PlaceRequest) -> WorkReply {
    let Some(desk) = traffic.service(&ask.service) else {
        return WorkReply::Refused;
    };
    if desk.limits.table.borrow().has_limits() {
        match desk.limits.resolve_role(ask.term.as_ref()) {
            AllocationRole::Allocates { .. } => {}
            AllocationRole::Remote(term) => {
                return WorkReply::Placed(PlaceReply::Redirect(term));
            }
            AllocationRole::Unconfirmed(_) => {
                let wait_ms = short_millis(UNCONFIRMED_RETRY);
                return WorkReply::Placed(PlaceReply::Wait { wait_ms });
            }
        }
    }
    let now = traffic.shared.now();
    let digest = RequestDigest(ask.digest);
    let turn = asked_turn(&ask, now);
    let need = asked_need(ask, now);
    let reply = match place_checked(traffic, &desk, digest, &need, &turn) {
        CheckedPlacement::Found { place, is_alone } => found_reply(place, is_alone),
        CheckedPlacement::Held => PlaceReply::Held,
        CheckedPlacement::Refused(span) => PlaceReply::Refused {
            retry_after_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
        },
    };
    WorkReply::Placed(reply)
}

fn found_reply(place: LimitedPlacement, is_alone: bool) -> PlaceReply {
    match place {
        LimitedPlacement::Assigned {
            target,
            ticket,
            has_permit,
        } => PlaceReply::Assigned {
            target: target.id.to_string(),
            ticket,
            is_alone,
            has_permit,
        },
        LimitedPlacement::Wait(span) => PlaceReply::Wait {
            wait_ms: short_millis(span),
        },
        LimitedPlacement::Full(span) => PlaceReply::Full {
            retry_after_ms: short_millis(span),
        },
        LimitedPlacement::NoTarget => PlaceReply::NoTarget,
    }
}

fn asked_turn(ask: &PlaceRequest, now: Moment) -> QueuedRequest {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    QueuedRequest {
        number: ask.entry.number,
        ranks: ask.entry.ranks,
        requested_at: now.saturating_sub(span(ask.entry.waited_ms)),
        deadline: now + span(ask.entry.send_deadline_ms),
    }
}

fn asked_need(ask: PlaceRequest, now: Moment) -> PlacementRequest {
    let parts = ask.segments.into_iter();
    let inputs = ask.inputs.into_iter();
    PlacementRequest {
        segments: parts
            .map(|(id, tokens)| PromptSegment { id, tokens })
            .collect(),
        prompt_tokens: ask.prompt_tokens,
        max_output_tokens: ask.max_output_tokens,
        inputs: inputs.map(|(hall, bytes)| (hall.into(), bytes)).collect(),
        tried: ask.tried.into_iter().map(Into::into).collect(),
        due: now + Duration::from_millis(ask.due_ms),
        deadline: now + Duration::from_millis(ask.remaining_ms),
    }
}
