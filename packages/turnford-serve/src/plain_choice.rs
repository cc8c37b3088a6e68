//! The choice among targets that are no engines.

use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Cost of a target in another hall against one request more in its queue.
const HALL_COST: f64 = 0.002;

/// Cost of a target that has this node's part of its connections in use, against requests in its
/// queue: it is chosen only where all are so.
const OVER_COST: f64 = 1000.0;

/// Chooses a target that is no engine, by what this node knows.
pub(crate) fn choose_target(
    traffic: &Traffic,
    desk: &ServiceContext,
    tried: &[TargetId],
) -> Option<TargetSpec> {
    let own_hall = &traffic.shared.settings.hall;
    let share_count = traffic.shared.view.load().share_count();
    let limit = desk.spec.borrow().connection_limit as f64 / share_count;
    let now = traffic.shared.now();
    let board = desk.targets.borrow();
    let cost = |target: &TargetSpec, load: f64| {
        let is_near = target.hall == *own_hall;
        let hall = if is_near { 0.0 } else { HALL_COST };
        // Each call takes a connection; beyond this node's part of them the target resets some.
        let is_over = f64::from(board.inflight(&target.id) + 1) > limit.max(1.0);
        let over = if is_over { OVER_COST } else { 0.0 };
        load / f64::from(target.slots.max(1)) + hall + over
    };
    board.choose(now, tried, cost)
}
