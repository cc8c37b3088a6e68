//! Gives orders to targets: models where demand asks for them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use turnford_fleet::plan_orders;
use turnford_fleet::Duty;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseSettings;
use turnford_fleet::ModelTarget;
use turnford_fleet::OrderAction;
use turnford_fleet::OrderKind;
use turnford_fleet::OrderOutcome;
use turnford_fleet::OrderQueue;
use turnford_fleet::OrderRecord;
use turnford_fleet::TargetOrder;
use turnford_platform::PlatformError;
use turnford_platform::VersionGuard;
use turnford_policy::ServiceId;

use super::context::ControlContext;
use super::leases::perform_lease;
use super::leases::raise_token;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Longest time that an order may be in flight. The lease allows for it.
const ORDER_LIMIT: Duration = Duration::from_millis(800);

/// Largest part of a pool with open orders at a time.
const OPEN_PART: f64 = 0.25;

/// Models that a target is taken to have room for.
const MODEL_ROOM: usize = 2;

/// Giver of one service's orders on this node.
struct OrderGiver {
    lease: LeaseHolder,
    book: OrderQueue,
    told_halt: bool,
}

/// Gives orders for as long as the node runs, for services whose targets have models.
pub(super) async fn give_orders(context: Rc<ControlContext>) {
    let mut givers: HashMap<ServiceId, Rc<RefCell<OrderGiver>>> = HashMap::new();
    loop {
        Timer::after(ROUND_PAUSE).await;
        if !context.settled.get() {
            continue;
        }
        let pools = context.state.pools.load_full();
        for service in pools.keys() {
            let targets = model_targets(&context, service);
            if targets.iter().all(|target| target.models.is_empty()) {
                continue;
            }
            let giver = givers
                .entry(service.clone())
                .or_insert_with(|| new_giver(&context));
            turn_giver(&context, service, giver, &targets);
        }
    }
}

fn new_giver(context: &ControlContext) -> Rc<RefCell<OrderGiver>> {
    let name = context.state.settings.name.to_string();
    let mark = context.state.attempts.incarnation();
    Rc::new(RefCell::new(OrderGiver {
        lease: LeaseHolder::new(name, LeaseSettings::default(), mark),
        book: OrderQueue::new(),
        told_halt: false,
    }))
}

/// Moves a giver on: its lease, and one act if the lease holds.
fn turn_giver(
    context: &Rc<ControlContext>,
    service: &ServiceId,
    giver: &Rc<RefCell<OrderGiver>>,
    targets: &[ModelTarget],
) {
    let now = context.now();
    let wanted = context.has_duty(&Duty::Orders(service.to_string()));
    let mut state = giver.borrow_mut();
    raise_token(&mut state.lease);
    if let Some(action) = state.lease.step(now, wanted, true) {
        let (context, service, giver) = (context.clone(), service.clone(), giver.clone());
        let executor = context.executor.clone();
        let call = async move {
            let key = format!("lease/orders-{service}");
            let (answer, restored_ago) = perform_lease(&context, &key, action).await;
            let lease = &mut giver.borrow_mut().lease;
            lease.set_restored_ago(restored_ago);
            lease.handle_outcome(context.now(), answer);
        };
        executor.spawn(call).detach();
    }
    let token = state.lease.token(now);
    let orders = match token {
        Some(_) => wanted_orders(context, service, targets),
        None => Vec::new(),
    };
    let limit = ((targets.len() as f64 * OPEN_PART) as usize).max(1);
    let action = state.book.step(now, token, &orders, limit);
    note_halt(&mut state, service);
    if let Some(action) = action {
        let act = perform(context.clone(), service.clone(), giver.clone(), action);
        context.executor.spawn(act).detach();
    }
}

/// Tells the operators once that a giver stopped.
fn note_halt(state: &mut OrderGiver, service: &str) {
    let halted = state.book.is_halted();
    if halted && !state.told_halt {
        log::error!("orders for {service} stopped: too many failed; look at its targets");
    }
    state.told_halt = halted;
}

/// Plans from this node's own demand. The balancer spreads requests evenly, so the fleet's demand is
/// about that times the nodes.
fn wanted_orders(
    context: &ControlContext,
    service: &ServiceId,
    targets: &[ModelTarget],
) -> Vec<TargetOrder> {
    let Some(pool) = context.state.pool(service) else {
        return Vec::new();
    };
    let nodes = context.fleet_count() as f64;
    let mut demand = pool.with(|now, pool| pool.model_demand(now));
    for busy in demand.values_mut() {
        *busy *= nodes;
    }
    plan_orders(&demand, targets)
}

fn model_targets(context: &ControlContext, service: &ServiceId) -> Vec<ModelTarget> {
    let Some(pool) = context.state.pool(service) else {
        return Vec::new();
    };
    pool.with(|_, pool| {
        let live = pool
            .views()
            .iter()
            .filter(|view| !view.leaving && !view.health.is_ejected());
        let targets = live.map(|view| ModelTarget {
            name: view.facts.id.to_string(),
            slots: view.facts.slots,
            models: view
                .facts
                .models
                .iter()
                .map(|model| model.to_string())
                .collect(),
            model_capacity: MODEL_ROOM,
        });
        targets.collect()
    })
}

async fn perform(
    context: Rc<ControlContext>,
    service: ServiceId,
    giver: Rc<RefCell<OrderGiver>>,
    action: OrderAction,
) {
    let key = format!("orders/{service}");
    let answer = match action {
        OrderAction::Read => read_record(&context, &key).await,
        OrderAction::Write { expected, record } => {
            let guard = VersionGuard::from_version(expected);
            let bytes = serde_json::to_vec(&record).unwrap_or_default();
            match context.objects.put(&key, guard, bytes).await {
                Ok(version) => OrderOutcome::Accepted(version),
                Err(PlatformError::Unavailable | PlatformError::OverBudget) => OrderOutcome::Failed,
                Err(_) => OrderOutcome::Reread,
            }
        }
        OrderAction::Send { order, token } => give(&context, &giver, &order, token).await,
    };
    let now = context.now();
    giver.borrow_mut().book.handle_outcome(now, answer);
}

async fn read_record(context: &ControlContext, key: &str) -> OrderOutcome {
    match context.objects.get(key).await {
        Ok(value) => match serde_json::from_slice::<OrderRecord>(&value.bytes) {
            Ok(record) => OrderOutcome::Found(Some((value.version, record))),
            Err(_) => OrderOutcome::Failed,
        },
        Err(PlatformError::NotFound) => OrderOutcome::Found(None),
        Err(_) => OrderOutcome::Failed,
    }
}

/// Gives one order, when the weight store lets its load begin and the lease still holds.
async fn give(
    context: &ControlContext,
    giver: &RefCell<OrderGiver>,
    order: &TargetOrder,
    token: u64,
) -> OrderOutcome {
    let target = context
        .state
        .addresses
        .load()
        .get(order.target.as_str())
        .copied();
    let Some(address) = target else {
        return OrderOutcome::NotDone;
    };
    let kind = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    if order.kind == OrderKind::Load {
        match context.weights.reserve(&order.model).await {
            Ok(wait) if wait.is_zero() => (),
            Ok(wait) => return OrderOutcome::Deferred(wait),
            Err(_) => return OrderOutcome::Deferred(Duration::from_secs(1)),
        }
    }
    // Looked at right before the call: a node that slept here does nothing with an old lease.
    let held = giver.borrow().lease.token(context.now());
    let Some(held) = held.filter(|held| *held >= token) else {
        return OrderOutcome::Deferred(ROUND_PAUSE);
    };
    let model = &order.model;
    match context
        .state
        .targets
        .order(address, held, kind, model, ORDER_LIMIT)
        .await
    {
        Ok(()) => {
            log::info!("target {} was told to {kind} {model}", order.target);
            OrderOutcome::Done
        }
        Err(fault) => {
            log::warn!("target {} did not {kind} {model}: {fault}", order.target);
            OrderOutcome::NotDone
        }
    }
}
