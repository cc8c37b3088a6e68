//! Requests to the node that places for all nodes, and its replies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::AllocationRole;
use turnford_fleet::CrashKeys;
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

use crate::admission::millis_u32;
use crate::limit_placement::LimitedPlacement;
use crate::limit_updates::report_limit;
use crate::limits::PLACEMENT_TIMEOUT;
use crate::limits::UNCONFIRMED_RETRY;
use crate::placed_run::register_run;
use crate::placed_run::PlacedRun;
use crate::placed_run::PlacementAttempt;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::trial::place_checked;
use crate::trial::CheckedPlacement;
use crate::trial::SUSPECT_POLL_INTERVAL;

/// Delay before following a redirect to another placer.
pub(crate) const REDIRECT_DELAY: Duration = Duration::from_millis(2);

/// Requests a placement from the placer. Returns `None` if it gives no answer, or one that can't be
/// used.
pub(crate) async fn request_placement(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    digest: RequestDigest,
    placement: &PlacementRequest,
    queued: &QueuedRequest,
    placer: SocketAddr,
) -> Option<PlacementAttempt> {
    let now = traffic.shared.now();
    let request = WorkRequest::Place(encode_place_request(
        context, now, digest, placement, queued,
    ));
    let release = {
        let traffic = traffic.clone();
        let context = context.clone();
        move |reply| release_late(&traffic, &context, placer, &reply)
    };
    let reply = traffic
        .peers
        .call_or_release(placer, request, PLACEMENT_TIMEOUT, release)
        .await;
    let Some(WorkReply::Placed(reply)) = reply else {
        return None;
    };
    handle_place_reply(traffic, context, now, placer, reply)
}

/// Reports the end of a placement whose reply came too late to be used. Otherwise the placer counts
/// it as running until its deadline.
fn release_late(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    placer: SocketAddr,
    reply: &WorkReply,
) {
    if let WorkReply::Placed(PlaceReply::Assigned { ticket, .. }) = reply {
        drop(register_run(traffic, context, Some(placer), *ticket));
    }
}

fn encode_place_request(
    context: &ServiceContext,
    now: Moment,
    digest: RequestDigest,
    placement: &PlacementRequest,
    queued: &QueuedRequest,
) -> PlaceRequest {
    let millis = |until: Moment| {
        let remaining = until.saturating_sub(now).as_millis();
        u64::try_from(remaining).unwrap_or(u64::MAX)
    };
    let millis_from = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
    PlaceRequest {
        service: context.spec.borrow().name.to_string(),
        digest: digest.0,
        segments: placement
            .segments
            .iter()
            .map(|part| (part.id, part.tokens))
            .collect(),
        prompt_tokens: placement.prompt_tokens,
        max_output_tokens: placement.max_output_tokens,
        inputs: placement
            .inputs
            .iter()
            .map(|(hall, bytes)| (hall.to_string(), *bytes))
            .collect(),
        tried: placement.tried.iter().map(ToString::to_string).collect(),
        due_ms: millis(placement.due),
        remaining_ms: millis(placement.deadline),
        term: context.limits.election.borrow().term().cloned(),
        entry: QueueEntry {
            number: queued.number,
            ranks: queued.ranks,
            waited_ms: millis_from(now.saturating_sub(queued.requested_at)),
            send_deadline_ms: millis_from(queued.deadline.saturating_sub(now)),
        },
    }
}

/// Handles the reply to a request made at `requested_at`. Returns `None` if the reply can't be
/// used.
fn handle_place_reply(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    requested_at: Moment,
    placer: SocketAddr,
    reply: PlaceReply,
) -> Option<PlacementAttempt> {
    let from_millis = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        PlaceReply::Assigned {
            target: id,
            ticket,
            is_alone,
            has_permit,
        } => {
            if has_permit {
                context.limits.add_permit(&id, requested_at);
            }
            let run = register_run(traffic, context, Some(placer), ticket);
            // The placer may not know yet that the target is leaving.
            let target = context.targets.borrow().get(&id).cloned();
            let target = target.filter(|target| !target.leaving)?;
            if !context
                .limits
                .table
                .borrow()
                .is_open(traffic.shared.now(), &id)
            {
                // The placer does not know the limit yet, or this node does not know that it has
                // ended.
                report_limit(&context.limits, &target);
                return Some(PlacementAttempt::Wait(SUSPECT_POLL_INTERVAL));
            }
            Some(PlacementAttempt::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                position: None,
                run: Some(run),
            })))
        }
        PlaceReply::Wait { wait_ms } => Some(PlacementAttempt::Wait(from_millis(wait_ms))),
        PlaceReply::Full { retry_after_ms } => {
            Some(PlacementAttempt::Full(from_millis(retry_after_ms)))
        }
        PlaceReply::Redirect(term) => {
            context.limits.record_holder(&term);
            Some(PlacementAttempt::Wait(REDIRECT_DELAY))
        }
        // Another node sees free room where the placer has none.
        PlaceReply::NoTarget if context.brittleness.get().is_brittle(traffic.shared.now()) => {
            Some(PlacementAttempt::NoTarget)
        }
        PlaceReply::NoTarget => None,
        PlaceReply::Held => Some(PlacementAttempt::Held),
        PlaceReply::Refused { retry_after_ms } => Some(PlacementAttempt::Refused(
            Duration::from_millis(retry_after_ms),
        )),
    }
}

/// Handles another node's request for a placement.
pub(crate) fn answer_place(traffic: &Rc<Traffic>, place_request: PlaceRequest) -> WorkReply {
    let Some(context) = traffic.service(&place_request.service) else {
        return WorkReply::Refused;
    };
    let now = traffic.shared.now();
    if context.needs_allocator(now) {
        match context.resolve_allocator(place_request.term.as_ref()) {
            AllocationRole::Allocates { .. } => {}
            AllocationRole::Remote(term) => {
                return WorkReply::Placed(PlaceReply::Redirect(term));
            }
            AllocationRole::Unconfirmed(_) => {
                let wait_ms = millis_u32(UNCONFIRMED_RETRY);
                return WorkReply::Placed(PlaceReply::Wait { wait_ms });
            }
        }
    }
    let keys = crash_keys(traffic, &place_request);
    let queued = decode_queue_entry(&place_request, now);
    let placement = decode_placement(place_request, now);
    let reply = match place_checked(traffic, &context, &keys, &placement, &queued) {
        CheckedPlacement::Found { place, is_alone } => encode_place_reply(place, is_alone),
        CheckedPlacement::Held => PlaceReply::Held,
        CheckedPlacement::Refused(retry_after) => PlaceReply::Refused {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        },
    };
    WorkReply::Placed(reply)
}

/// Returns what a request may crash its targets by. A node that places many requests leaves out their
/// segments as long as it knows of no crashes.
fn crash_keys(traffic: &Traffic, place_request: &PlaceRequest) -> CrashKeys {
    let digest = RequestDigest(place_request.digest);
    if traffic.crashes.table.borrow().is_empty() {
        return CrashKeys::of_request(digest);
    }
    let segments = place_request.segments.iter();
    let segments: Vec<u64> = segments.map(|(id, _)| *id).collect();
    CrashKeys::new(digest, &place_request.service, &segments)
}

fn encode_place_reply(place: LimitedPlacement, is_alone: bool) -> PlaceReply {
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
        LimitedPlacement::Wait(delay) => PlaceReply::Wait {
            wait_ms: millis_u32(delay),
        },
        LimitedPlacement::Full(retry_after) => PlaceReply::Full {
            retry_after_ms: millis_u32(retry_after),
        },
        LimitedPlacement::NoTarget => PlaceReply::NoTarget,
    }
}

fn decode_queue_entry(place_request: &PlaceRequest, now: Moment) -> QueuedRequest {
    let from_millis = |millis: u32| Duration::from_millis(u64::from(millis));
    QueuedRequest {
        number: place_request.entry.number,
        ranks: place_request.entry.ranks,
        requested_at: now.saturating_sub(from_millis(place_request.entry.waited_ms)),
        deadline: now + from_millis(place_request.entry.send_deadline_ms),
    }
}

fn decode_placement(place_request: PlaceRequest, now: Moment) -> PlacementRequest {
    let segments = place_request.segments.into_iter();
    let inputs = place_request.inputs.into_iter();
    PlacementRequest {
        segments: segments
            .map(|(id, tokens)| PromptSegment { id, tokens })
            .collect(),
        prompt_tokens: place_request.prompt_tokens,
        max_output_tokens: place_request.max_output_tokens,
        inputs: inputs.map(|(hall, bytes)| (hall.into(), bytes)).collect(),
        tried: place_request.tried.into_iter().map(Into::into).collect(),
        due: now + Duration::from_millis(place_request.due_ms),
        deadline: now + Duration::from_millis(place_request.remaining_ms),
    }
}
