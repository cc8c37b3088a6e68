//! Choice of a target for services that are not model engines.

use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Cost of a target in another hall, relative to a load of one request per slot.
const REMOTE_HALL_COST: f64 = 0.002;

/// Cost of a target whose connections allotted to this node are all in use, relative to a load of
/// one request per slot. Such a target is chosen only if all targets are in this state.
const OVER_LIMIT_COST: f64 = 1000.0;

/// Chooses a target by what this node knows.
pub(crate) fn choose_target(
    traffic: &Traffic,
    context: &ServiceContext,
    tried: &[TargetId],
) -> Option<TargetSpec> {
    let own_hall = &traffic.shared.settings.hall;
    let node_count = traffic.shared.view.load().share_count();
    let limit = context.spec.borrow().connection_limit as f64 / node_count;
    let now = traffic.shared.now();
    let is_brittle = context.brittleness.get().is_brittle(now);
    let table = context.targets.borrow();
    let cost = |target: &TargetSpec, load: f64| {
        let is_local = target.hall == *own_hall;
        let hall_cost = if is_local { 0.0 } else { REMOTE_HALL_COST };
        // Each call takes a connection. Beyond this node's share of them the target resets
        // connections.
        let is_over = f64::from(table.inflight(&target.id) + 1) > limit.max(1.0);
        let over_cost = if is_over { OVER_LIMIT_COST } else { 0.0 };
        // The node that allocates the room of brittle targets counts the calls of all nodes.
        let load = if is_brittle {
            context.rooms.borrow().in_use(&target.id) as f64
        } else {
            load
        };
        load / f64::from(target.slots.max(1)) + hall_cost + over_cost
    };
    table.choose(now, tried, cost)
}
