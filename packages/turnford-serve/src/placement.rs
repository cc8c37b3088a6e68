//! Selection of the target for a request.
//!
//! For model engines a single node, found by rendezvous hashing, places the requests of all nodes.
//! Only then is it known how much each engine still has to read and which prompts it has cached. A
//! node that gets no answer from it places the request by what it knows itself.

use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use siphasher::sip::SipHasher13;

use turnford_fleet::AllocationRole;
use turnford_fleet::CrashKeys;
use turnford_fleet::QueuedRequest;
use turnford_policy::PlacementRequest;
use turnford_policy::PromptAffinity;
use turnford_policy::PromptSegment;
use turnford_policy::TargetId;

use crate::availability::wait_for_target;
use crate::availability::AvailabilityError;
use crate::forward::RETRY_AFTER;
use crate::limit_placement::choose_limited;
use crate::limit_placement::LimitedPlacement;
use crate::placed_run::register_run;
use crate::placed_run::PlacedRun;
use crate::placed_run::PlacementAttempt;
use crate::placer::request_placement;
use crate::placer::REDIRECT_DELAY;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::trial::place_checked;
use crate::trial::CheckedPlacement;
use crate::trial::SuspectRefusal;
use crate::trial::SUSPECT_POLL_INTERVAL;
use crate::trial::SUSPECT_WAIT_TIMEOUT;
use crate::wait_queue::QueuePosition;

/// Returns the hall that will probably serve a request's final call.
pub(crate) fn predict_hall(
    context: &ServiceContext,
    segments: &[PromptSegment],
) -> Option<Arc<str>> {
    let table = context.targets.borrow();
    let affinity = PromptAffinity::new(segments, table.open_targets().map(|target| &target.id));
    let target = table.get(affinity.preferred()?)?;
    Some(target.hall.clone())
}

/// Final outcome of placing a request.
pub(crate) enum PlacementOutcome {
    Placed(Box<PlacedRun>),
    /// No target can accept it.
    NoTarget,
    /// Targets have crashed while running such a request.
    Suspect(SuspectRefusal),
    /// All targets have asked for backoff for longer than the request has time; contains the time
    /// to retry after.
    TooLate(Duration),
    /// All targets are rate-limited, and its turn does not come in time; contains the time to retry
    /// after.
    Full(Duration),
}

/// What the caller requires of a placement.
pub(crate) struct PlacementOptions<'a> {
    /// Bytes of its inputs in each hall.
    pub(crate) inputs: &'a [(Arc<str>, u64)],
    /// Targets that have failed to serve it.
    pub(crate) tried: &'a [TargetId],
    /// Whether it may wait until a target's backoff ends.
    pub(crate) may_wait: bool,
}

/// Places a request. A suspect waits for a limited time while another copy of it runs.
pub(crate) async fn place_request(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    context: &Rc<ServiceContext>,
    options: &PlacementOptions<'_>,
) -> PlacementOutcome {
    let tried = options.tried;
    let mut placement = PlacementRequest {
        segments: record.attributes.segments.clone(),
        prompt_tokens: record.attributes.prompt_tokens,
        max_output_tokens: record.attributes.max_output_tokens,
        inputs: options.inputs.to_vec(),
        tried: tried.to_vec(),
        due: record.started_at + record.route.latency_objective,
        deadline: record.deadline,
    };
    let queued = build_queued_request(traffic, record, options);
    let hold_until = queued.requested_at + SUSPECT_WAIT_TIMEOUT;
    let mut is_traced = false;
    loop {
        let position = match acquire_position(traffic, record, context, options).await {
            Ok(position) => position,
            Err(AvailabilityError::NoTarget) => return PlacementOutcome::NoTarget,
            Err(AvailabilityError::TooLate(retry_after)) => {
                return PlacementOutcome::TooLate(retry_after)
            }
        };
        // The placer does not know which targets have asked this node for backoff.
        let now = traffic.shared.now();
        let closed = context.targets.borrow().closed_targets(now);
        placement.tried = [tried, &closed[..]].concat();
        match try_place(traffic, record, context, &placement, &queued).await {
            PlacementAttempt::Placed(mut placed) => {
                placed.position = position;
                return PlacementOutcome::Placed(placed);
            }
            PlacementAttempt::Wait(_) if traffic.shared.now() > queued.deadline => {
                return PlacementOutcome::Full(RETRY_AFTER);
            }
            PlacementAttempt::Wait(delay) => {
                drop(position);
                if !std::mem::replace(&mut is_traced, true) {
                    record.trace(format_args!(
                        "waiting for a permit, all targets are rate-limited"
                    ));
                }
                Timer::after(delay).await;
                continue;
            }
            PlacementAttempt::Full(retry_after) => return PlacementOutcome::Full(retry_after),
            PlacementAttempt::NoTarget => return PlacementOutcome::NoTarget,
            PlacementAttempt::Refused(retry_after) => {
                let refusal = SuspectRefusal::crashes_targets(traffic, record, retry_after);
                return PlacementOutcome::Suspect(refusal);
            }
            PlacementAttempt::Unanswered if traffic.shared.now() >= hold_until => {
                return PlacementOutcome::Full(RETRY_AFTER);
            }
            PlacementAttempt::Held if traffic.shared.now() >= hold_until => {
                return PlacementOutcome::Suspect(SuspectRefusal::on_trial());
            }
            PlacementAttempt::Held | PlacementAttempt::Unanswered => {}
        }
        Timer::after(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Builds the request's entry in the permit queue for rate-limited targets.
fn build_queued_request(
    traffic: &Traffic,
    record: &RequestRecord,
    options: &PlacementOptions<'_>,
) -> QueuedRequest {
    let now = traffic.shared.now();
    let mut hasher = SipHasher13::new();
    hasher.write(record.attributes.attempt.as_bytes());
    let latest = record
        .first_event_deadline()
        .saturating_sub(record.final_call_time.get());
    QueuedRequest {
        number: hasher.finish(),
        ranks: (record.rank, record.route.rank),
        requested_at: now,
        deadline: if options.may_wait { latest } else { now },
    }
}

/// Checks whether a target accepts the request now or, if it may wait, after a backoff.
async fn acquire_position(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    context: &Rc<ServiceContext>,
    options: &PlacementOptions<'_>,
) -> Result<Option<QueuePosition>, AvailabilityError> {
    if options.may_wait {
        return wait_for_target(traffic, record, context, options.tried).await;
    }
    let now = traffic.shared.now();
    let has_open = context.targets.borrow().has_open(now, options.tried);
    has_open.then_some(None).ok_or(AvailabilityError::NoTarget)
}

async fn try_place(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    context: &Rc<ServiceContext>,
    placement: &PlacementRequest,
    queued: &QueuedRequest,
) -> PlacementAttempt {
    let keys = record.crash_keys();
    let now = traffic.shared.now();
    let is_clear = traffic.crashes.suspect(now, &keys).is_none();
    let is_brittle = context.brittleness.get().is_brittle(now);
    if is_clear && !is_brittle && context.spec.borrow().engine.is_none() {
        if let Ok(target) = choose_limited(traffic, context, &placement.tried).await {
            return target.map_or(PlacementAttempt::NoTarget, |target| {
                PlacementAttempt::Placed(Box::new(PlacedRun {
                    target,
                    is_alone: false,
                    position: None,
                    run: None,
                }))
            });
        }
    }
    if let Some(placer) = context.limits.placer() {
        if let Some(found) =
            request_placement(traffic, context, keys.request, placement, queued, placer).await
        {
            if matches!(found, PlacementAttempt::Placed(_)) {
                record.trace(format_args!("placed by {placer}"));
            }
            return found;
        }
        if context.brittleness.get().is_brittle(traffic.shared.now()) {
            // Nodes that place by themselves would all fill the same room.
            record.trace(format_args!("not placed: no usable reply from {placer}"));
            return PlacementAttempt::Unanswered;
        }
        record.trace(format_args!(
            "placed locally: no usable reply from {placer}"
        ));
        if context.limits.placer().is_some() {
            // Another node allocates the limits.
            return place_locally(traffic, context, &keys, placement, queued);
        }
    }
    let now = traffic.shared.now();
    if context.needs_allocator(now) {
        let term = context.limits.election.borrow().term().cloned();
        let role = context.resolve_allocator(term.as_ref());
        if context.brittleness.get().is_brittle(now) {
            match role {
                AllocationRole::Allocates { .. } => {}
                AllocationRole::Remote(term) => {
                    context.limits.record_holder(&term);
                    return PlacementAttempt::Wait(REDIRECT_DELAY);
                }
                AllocationRole::Unconfirmed(_) => return PlacementAttempt::Unanswered,
            }
        }
    }
    place_locally(traffic, context, &keys, placement, queued)
}

/// Places a request by what this node knows.
fn place_locally(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    keys: &CrashKeys,
    placement: &PlacementRequest,
    queued: &QueuedRequest,
) -> PlacementAttempt {
    let (place, is_alone) = match place_checked(traffic, context, keys, placement, queued) {
        CheckedPlacement::Found { place, is_alone } => (place, is_alone),
        CheckedPlacement::Held => return PlacementAttempt::Held,
        CheckedPlacement::Refused(retry_after) => return PlacementAttempt::Refused(retry_after),
    };
    match place {
        LimitedPlacement::Assigned {
            target,
            ticket,
            has_permit,
        } => {
            if has_permit {
                context.limits.add_permit(&target.id, traffic.shared.now());
            }
            PlacementAttempt::Placed(Box::new(PlacedRun {
                target,
                is_alone,
                position: None,
                run: Some(register_run(traffic, context, None, ticket)),
            }))
        }
        LimitedPlacement::Wait(delay) => PlacementAttempt::Wait(delay),
        LimitedPlacement::Full(retry_after) => PlacementAttempt::Full(retry_after),
        LimitedPlacement::NoTarget => PlacementAttempt::NoTarget,
    }
}
