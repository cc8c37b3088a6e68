//! Sends orders to targets to load and unload models according to demand.

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

/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that an order may be in flight. The lease settings allow for it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum fraction of a pool's targets that have open orders at a time.
const MAX_OPEN_RATIO: f64 = 0.25;

/// Number of models that a target is assumed to hold.
const MODEL_CAPACITY: usize = 2;

/// Issues one service's orders on this node.
struct OrderIssuer {
    lease: LeaseHolder,
    queue: OrderQueue,
    halt_logged: bool,
}

/// Issues orders for services whose targets have models, for as long as the node runs.
pub(super) async fn run_orders(context: Rc<ControlContext>) {
    let mut issuers: HashMap<ServiceId, Rc<RefCell<OrderIssuer>>> = HashMap::new();
    loop {
        Timer::after(ROUND_INTERVAL).await;
        if !context.duty_eligible.get() {
            continue;
        }
        let pools = context.state.pools.load_full();
        for service in pools.keys() {
            let targets = model_targets(&context, service);
            if targets.iter().all(|target| target.models.is_empty()) {
                continue;
            }
            let issuer = issuers
                .entry(service.clone())
                .or_insert_with(|| new_issuer(&context));
            step_issuer(&context, service, issuer, &targets);
        }
    }
}

fn new_issuer(context: &ControlContext) -> Rc<RefCell<OrderIssuer>> {
    let name = context.state.settings.name.to_string();
    let first_write_id = context.state.attempts.incarnation();
    Rc::new(RefCell::new(OrderIssuer {
        lease: LeaseHolder::new(name, LeaseSettings::default(), first_write_id),
        queue: OrderQueue::new(),
        halt_logged: false,
    }))
}

/// Steps an issuer: its lease, and one action of its queue.
fn step_issuer(
    context: &Rc<ControlContext>,
    service: &ServiceId,
    issuer: &Rc<RefCell<OrderIssuer>>,
    targets: &[ModelTarget],
) {
    let now = context.now();
    let wanted = context.has_duty(&Duty::Orders(service.to_string()));
    let mut state = issuer.borrow_mut();
    raise_token(&mut state.lease);
    if let Some(action) = state.lease.step(now, wanted, true) {
        let (context, service, issuer) = (context.clone(), service.clone(), issuer.clone());
        let executor = context.executor.clone();
        let call = async move {
            let key = format!("lease/orders-{service}");
            let (outcome, restored_ago) = perform_lease(&context, &key, action).await;
            let lease = &mut issuer.borrow_mut().lease;
            lease.set_restored_ago(restored_ago);
            lease.handle_outcome(context.now(), outcome);
        };
        executor.spawn(call).detach();
    }
    let token = state.lease.token(now);
    let orders = match token {
        Some(_) => wanted_orders(context, service, targets),
        None => Vec::new(),
    };
    let limit = ((targets.len() as f64 * MAX_OPEN_RATIO) as usize).max(1);
    let action = state.queue.step(now, token, &orders, limit);
    log_halt(&mut state, service);
    if let Some(action) = action {
        let act = perform(context.clone(), service.clone(), issuer.clone(), action);
        context.executor.spawn(act).detach();
    }
}

/// Logs once when an issuer has halted.
fn log_halt(state: &mut OrderIssuer, service: &str) {
    let halted = state.queue.is_halted();
    if halted && !state.halt_logged {
        log::error!("orders for {service} halted after too many failures; check its targets");
    }
    state.halt_logged = halted;
}

/// Plans orders from this node's own demand. The load balancer spreads requests evenly, so the
/// fleet's demand is estimated as this node's demand times the number of nodes.
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
            model_capacity: MODEL_CAPACITY,
        });
        targets.collect()
    })
}

async fn perform(
    context: Rc<ControlContext>,
    service: ServiceId,
    issuer: Rc<RefCell<OrderIssuer>>,
    action: OrderAction,
) {
    let key = format!("orders/{service}");
    let outcome = match action {
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
        OrderAction::Send { order, token } => send_order(&context, &issuer, &order, token).await,
    };
    let now = context.now();
    issuer.borrow_mut().queue.handle_outcome(now, outcome);
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

/// Sends one order, provided that the weight store admits the load and the lease is still held.
async fn send_order(
    context: &ControlContext,
    issuer: &RefCell<OrderIssuer>,
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
    // Checked immediately before the call, so that a suspended node doesn't act under an expired
    // lease.
    let held = issuer.borrow().lease.token(context.now());
    let Some(held) = held.filter(|held| *held >= token) else {
        return OrderOutcome::Deferred(ROUND_INTERVAL);
    };
    let model = &order.model;
    match context
        .state
        .targets
        .order(address, held, kind, model, ORDER_TIMEOUT)
        .await
    {
        Ok(()) => {
            log::info!("target {} ordered to {kind} {model}", order.target);
            OrderOutcome::Done
        }
        Err(error) => {
            log::warn!(
                "order to {kind} {model} failed at target {}: {error}",
                order.target
            );
            OrderOutcome::NotDone
        }
    }
}
