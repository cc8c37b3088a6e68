//! Places at targets of which some have limits for all nodes together.

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

/// Pause before a request looks again where this node does not divide.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Where a request may run, by what this node knows.
pub(crate) enum LimitedPlacement {
    /// At a target.
    Assigned {
        target: TargetSpec,
        /// Number of the placement.
        ticket: u64,
        /// Whether it comes with a permit for one call.
        has_permit: bool,
    },
    /// No target is left.
    NoTarget,
    /// All that are left have limits, and it should ask again after this time.
    Wait(Duration),
    /// All that are left have limits, and its turn does not come in time; when to come back.
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

/// Places a request: at targets with room first, in turn where all have limits.
pub(crate) fn place_limited(
    traffic: &Traffic,
    desk: &ServiceContext,
    need: &PlacementRequest,
    turn: &QueuedRequest,
) -> LimitedPlacement {
    if !desk.limits.table.borrow().has_limits() {
        return LimitedPlacement::of(place_best(traffic, desk, need));
    }
    let now = traffic.shared.now();
    let left = desk.targets.borrow().untried_targets(&need.tried);
    let mut division = desk.limits.election.borrow_mut();
    let Some(divider) = division.allocator() else {
        drop(division);
        return place_beside(traffic, desk, need, &left);
    };
    let (limited, free): (Vec<TargetId>, Vec<TargetId>) =
        left.into_iter().partition(|id| divider.is_limited(now, id));
    let is_any_awake = {
        let board = desk.targets.borrow();
        free.iter().any(|id| !board.is_paused(now, id))
    };
    if !limited.is_empty() && !is_any_awake {
        match divider.request_permit(now, turn, &limited) {
            PermitDecision::Granted => {}
            PermitDecision::Wait(span) => return LimitedPlacement::Wait(span),
            PermitDecision::Rejected(span) => return LimitedPlacement::Full(span),
        }
    }
    let mut need = need.clone();
    let used_up = limited.iter().filter(|id| !divider.has_capacity(now, id));
    need.tried
        .extend(used_up.cloned().collect::<Vec<TargetId>>());
    let Some((target, ticket)) = place_best(traffic, desk, &need) else {
        return LimitedPlacement::NoTarget;
    };
    let has_permit = limited.contains(&target.id);
    if let Err(wait) = divider.take(now, &target.id, PermitPurpose::Work) {
        desk.engines.borrow_mut().record_end(ticket);
        return LimitedPlacement::Wait(wait);
    }
    LimitedPlacement::Assigned {
        target,
        ticket,
        has_permit,
    }
}

/// Places a request at a target without a limit, since this node does not divide.
fn place_beside(
    traffic: &Traffic,
    desk: &ServiceContext,
    need: &PlacementRequest,
    left: &[TargetId],
) -> LimitedPlacement {
    let now = traffic.shared.now();
    let mut need = need.clone();
    let limits = desk.limits.table.borrow();
    let closed = left.iter().filter(|id| !limits.is_open(now, id));
    need.tried
        .extend(closed.cloned().collect::<Vec<TargetId>>());
    drop(limits);
    match place_best(traffic, desk, &need) {
        Some(placed) => LimitedPlacement::of(Some(placed)),
        None if left.is_empty() => LimitedPlacement::NoTarget,
        None => LimitedPlacement::Wait(LOOK_PAUSE),
    }
}

/// Places a request at the best target that it was not sent to before.
fn place_best(
    traffic: &Traffic,
    desk: &ServiceContext,
    need: &PlacementRequest,
) -> Option<(TargetSpec, u64)> {
    if desk.spec.borrow().engine.is_none() {
        let target = choose_target(traffic, desk, &need.tried)?;
        return Some((target, desk.next_trial_id()));
    }
    let now = traffic.shared.now();
    let board = desk.targets.borrow();
    desk.engines.borrow_mut().place(now, &board, need)
}

/// Chooses a target that is no engine, where some have limits: by what this node knows, with a permit for one
/// that has a limit.
///
/// # Errors
///
/// Returns nothing where all that are left have limits, so that requests of all nodes take turns.
pub(crate) async fn choose_limited(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    tried: &[TargetId],
) -> Result<Option<TargetSpec>, ()> {
    if !desk.limits.table.borrow().has_limits() {
        return Ok(choose_target(traffic, desk, tried));
    }
    loop {
        let now = traffic.shared.now();
        let left = desk.targets.borrow().untried_targets(tried);
        if !has_free(desk, now, &left) {
            return if left.is_empty() { Ok(None) } else { Err(()) };
        }
        let denied = {
            let limits = desk.limits.table.borrow();
            let denied = left.iter().filter(|id| !limits.may_open(now, id));
            denied.cloned().collect::<Vec<TargetId>>()
        };
        let closed = [tried, &denied[..]].concat();
        let Some(target) = choose_target(traffic, desk, &closed) else {
            return Ok(None);
        };
        if desk.limits.table.borrow().is_open(now, &target.id) {
            return Ok(Some(target));
        }
        match desk
            .limits
            .acquire_permit(&target, PermitPurpose::Work)
            .await
        {
            PermitOutcome::Granted => return Ok(Some(target)),
            PermitOutcome::Unlimited(span) => {
                report_limit(&desk.limits, &target);
                let until = traffic.shared.now() + span;
                desk.limits
                    .table
                    .borrow_mut()
                    .record_denial(&target.id, until);
            }
            PermitOutcome::Wait(span) => {
                let until = traffic.shared.now() + span.max(LOOK_PAUSE);
                desk.limits
                    .table
                    .borrow_mut()
                    .record_denial(&target.id, until);
            }
        }
    }
}

/// Tells whether any of these targets needs no permit and is not paused.
fn has_free(desk: &ServiceContext, now: Moment, targets: &[TargetId]) -> bool {
    let board = desk.targets.borrow();
    let limits = desk.limits.table.borrow();
    let mut free = targets.iter().filter(|id| !limits.state(id).needs_permit());
    free.any(|id| !board.is_paused(now, id))
}
