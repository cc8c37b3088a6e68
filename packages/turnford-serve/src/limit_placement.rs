//! Placement of requests among targets some of which have limits for all nodes together.

use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::PermitDecision;
use turnford_fleet::PermitPurpose;
use turnford_fleet::QueuedRequest;
use turnford_policy::Moment;
use turnford_policy::PlacementRequest;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::limit_updates::report_limit;
use crate::limits::PermitOutcome;
use crate::plain_choice::choose_target;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Interval at which a request retries its placement on a node that is not the allocator.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Placement of a request, subject to the limits.
pub(crate) enum LimitedPlacement {
    /// A target is assigned.
    Assigned {
        target: TargetSpec,
        /// Id of the placement.
        ticket: u64,
        /// Whether the placement includes a permit for one call.
        has_permit: bool,
    },
    /// No target is left.
    NoTarget,
    /// All remaining targets have limits; the placement may be retried after this time.
    Wait(Duration),
    /// All remaining targets have limits, and no permit will be available in time; retry delay for
    /// the client.
    Full(Duration),
}

impl LimitedPlacement {
    fn of(placed: Option<(TargetSpec, u64)>) -> Self {
        placed.map_or(LimitedPlacement::NoTarget, |(target, ticket)| {
            LimitedPlacement::Assigned {
                target,
                ticket,
                has_permit: false,
            }
        })
    }
}

/// Places a request. While the service's targets are brittle, it waits in the permit queue until one
/// of them has room.
pub(crate) fn place_with_room(
    traffic: &Traffic,
    context: &ServiceContext,
    request: &PlacementRequest,
    queued: &QueuedRequest,
) -> LimitedPlacement {
    let now = traffic.shared.now();
    if !context.brittleness.get().is_brittle(now) {
        return place_limited(traffic, context, request, queued);
    }
    let untried = {
        let table = context.targets.borrow();
        let ids = table.untried_targets(&request.tried);
        let untried = ids.iter().filter_map(|id| table.get(id));
        untried.cloned().collect::<Vec<TargetSpec>>()
    };
    if untried.is_empty() {
        return LimitedPlacement::NoTarget;
    }
    let decision = context.rooms.borrow_mut().request(now, queued, &untried);
    match decision {
        PermitDecision::Granted => {}
        PermitDecision::Wait(delay) => return LimitedPlacement::Wait(delay),
        PermitDecision::Rejected(delay) => return LimitedPlacement::Full(delay),
    }
    let free = context.rooms.borrow().free_targets(now, &untried);
    let full = untried.iter().filter(|target| !free.contains(&target.id));
    let mut request = request.clone();
    request.tried.extend(full.map(|target| target.id.clone()));
    let placed = place_limited(traffic, context, &request, queued);
    if let LimitedPlacement::Assigned { target, ticket, .. } = &placed {
        let mut rooms = context.rooms.borrow_mut();
        rooms.start(now, *ticket, &target.id, request.deadline);
    }
    placed
}

/// Places a request, preferring targets without a limit. If all have limits, requests are placed in
/// the order of the permit queue.
fn place_limited(
    traffic: &Traffic,
    context: &ServiceContext,
    request: &PlacementRequest,
    queued: &QueuedRequest,
) -> LimitedPlacement {
    if !context.limits.table.borrow().has_limits() {
        return LimitedPlacement::of(place_best(traffic, context, request));
    }
    let now = traffic.shared.now();
    let untried = context.targets.borrow().untried_targets(&request.tried);
    let mut election = context.limits.election.borrow_mut();
    let Some(allocator) = election.allocator() else {
        drop(election);
        return place_unlimited(traffic, context, request, &untried);
    };
    let (limited, free): (Vec<TargetId>, Vec<TargetId>) = untried
        .into_iter()
        .partition(|id| allocator.is_limited(now, id));
    let is_any_awake = {
        let table = context.targets.borrow();
        free.iter().any(|id| !table.is_paused(now, id))
    };
    if !limited.is_empty() && !is_any_awake {
        match allocator.request_permit(now, queued, &limited) {
            PermitDecision::Granted => {}
            PermitDecision::Wait(delay) => return LimitedPlacement::Wait(delay),
            PermitDecision::Rejected(delay) => return LimitedPlacement::Full(delay),
        }
    }
    let mut request = request.clone();
    let used_up = limited.iter().filter(|id| !allocator.has_capacity(now, id));
    request
        .tried
        .extend(used_up.cloned().collect::<Vec<TargetId>>());
    let Some((target, ticket)) = place_best(traffic, context, &request) else {
        return LimitedPlacement::NoTarget;
    };
    let has_permit = limited.contains(&target.id);
    if let Err(wait) = allocator.take(now, &target.id, PermitPurpose::Work) {
        context.engines.borrow_mut().record_end(ticket);
        return LimitedPlacement::Wait(wait);
    }
    LimitedPlacement::Assigned {
        target,
        ticket,
        has_permit,
    }
}

/// Places a request on a target that needs no permit, because this node is not the allocator.
fn place_unlimited(
    traffic: &Traffic,
    context: &ServiceContext,
    request: &PlacementRequest,
    untried: &[TargetId],
) -> LimitedPlacement {
    let now = traffic.shared.now();
    let mut request = request.clone();
    let limits = context.limits.table.borrow();
    let closed = untried.iter().filter(|id| !limits.is_open(now, id));
    request
        .tried
        .extend(closed.cloned().collect::<Vec<TargetId>>());
    drop(limits);
    match place_best(traffic, context, &request) {
        Some(placed) => LimitedPlacement::of(Some(placed)),
        None if untried.is_empty() => LimitedPlacement::NoTarget,
        None => LimitedPlacement::Wait(PLACEMENT_RETRY_INTERVAL),
    }
}

/// Places a request on the best target that it has not been sent to yet.
fn place_best(
    traffic: &Traffic,
    context: &ServiceContext,
    request: &PlacementRequest,
) -> Option<(TargetSpec, u64)> {
    if context.spec.borrow().engine.is_none() {
        let target = choose_target(traffic, context, &request.tried)?;
        return Some((target, context.next_trial_id()));
    }
    let now = traffic.shared.now();
    let table = context.targets.borrow();
    context.engines.borrow_mut().place(now, &table, request)
}

/// Chooses a target of a service without engines where some targets have limits, using this node's
/// knowledge. Acquires a permit if the chosen target has a limit.
///
///
/// # Errors
///
///
/// Returns `Err(())` if all remaining targets have limits, in which case the request has to wait in
/// the permit queue that is shared by all nodes.
pub(crate) async fn choose_limited(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    tried: &[TargetId],
) -> Result<Option<TargetSpec>, ()> {
    if !context.limits.table.borrow().has_limits() {
        return Ok(choose_target(traffic, context, tried));
    }
    loop {
        let now = traffic.shared.now();
        let untried = context.targets.borrow().untried_targets(tried);
        if !has_unlimited(context, now, &untried) {
            return if untried.is_empty() {
                Ok(None)
            } else {
                Err(())
            };
        }
        let denied = {
            let limits = context.limits.table.borrow();
            let denied = untried.iter().filter(|id| !limits.may_open(now, id));
            denied.cloned().collect::<Vec<TargetId>>()
        };
        let closed = [tried, &denied[..]].concat();
        let Some(target) = choose_target(traffic, context, &closed) else {
            return Ok(None);
        };
        if context.limits.table.borrow().is_open(now, &target.id) {
            return Ok(Some(target));
        }
        match context
            .limits
            .acquire_permit(&target, PermitPurpose::Work)
            .await
        {
            PermitOutcome::Granted => return Ok(Some(target)),
            PermitOutcome::Unlimited(delay) => {
                report_limit(&context.limits, &target);
                let until = traffic.shared.now() + delay;
                context
                    .limits
                    .table
                    .borrow_mut()
                    .record_denial(&target.id, until);
            }
            PermitOutcome::Wait(delay) => {
                let until = traffic.shared.now() + delay.max(PLACEMENT_RETRY_INTERVAL);
                context
                    .limits
                    .table
                    .borrow_mut()
                    .record_denial(&target.id, until);
            }
        }
    }
}

/// Returns whether any of these targets needs no permit and is not paused.
fn has_unlimited(context: &ServiceContext, now: Moment, targets: &[TargetId]) -> bool {
    let table = context.targets.borrow();
    let limits = context.limits.table.borrow();
    let mut free = targets.iter().filter(|id| !limits.state(id).needs_permit());
    free.any(|id| !table.is_paused(now, id))
}
