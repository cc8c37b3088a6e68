//! Requests this node's shares of accounts' limits and applies them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use turnford_fleet::account_group;
use turnford_fleet::Duty;
use turnford_fleet::Moment;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareHolder;
use turnford_fleet::ShareSize;
use turnford_fleet::ACCOUNT_GROUP_COUNT;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;
use super::lenders::handle_share;
use super::lenders::limit_of;
use super::lenders::step_lease;
use super::lenders::LenderGroup;
use crate::inbox::ShareCall;

/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit of a request to a lender.
const LENDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Weight of the newest round in the moving average of an account's demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Demand below which no share is requested, in requests per second.
const MIN_DEMAND: f64 = 0.05;

/// Lower bound of the demand stated when a share is fetched for a waiting request, in requests per
/// second.
const FETCH_DEMAND: f64 = 2.0;

/// Minimum interval between fetches for one account.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a starting node stops waiting for lenders; it then has its even share.
const LENDER_WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Shares that this node holds and account groups that it lends for.
pub(super) struct ShareTable {
    pub(super) groups: Vec<LenderGroup>,
    holders: HashMap<String, ShareHolder>,
    demands: HashMap<String, f64>,
    measured_at: Moment,
    fetched_at: HashMap<String, Moment>,
    granted: [bool; ACCOUNT_GROUP_COUNT as usize],
}

impl ShareTable {
    pub(super) fn new(name: &str, seed: u64) -> Self {
        let groups = (0..ACCOUNT_GROUP_COUNT).map(|_| LenderGroup::new(name, seed));
        Self {
            groups: groups.collect(),
            holders: HashMap::new(),
            demands: HashMap::new(),
            measured_at: Moment::ZERO,
            fetched_at: HashMap::new(),
            granted: [false; ACCOUNT_GROUP_COUNT as usize],
        }
    }

    /// Builds the demand of an account.
    fn demand_of(&self, now: Moment, account: &str, rate: f64, running: u32) -> ShareDemand {
        let contact = self.groups[usize::from(account_group(account))].contact;
        let holder = self.holders.get(account);
        ShareDemand {
            account: account.to_owned(),
            rate,
            running,
            newest: holder.map(ShareHolder::newest).unwrap_or_default(),
            using: holder
                .map(|holder| holder.usable(now, contact))
                .unwrap_or_default(),
        }
    }

    /// Returns the account groups whose lease this node holds.
    pub(super) fn held_groups(&self, now: Moment) -> Vec<usize> {
        let held = self.groups.iter().enumerate();
        let held = held.filter(|(_, group)| group.lease.token(now).is_some());
        held.map(|(number, _)| number).collect()
    }
}

/// Maintains leases, requests shares and applies them for as long as the node runs.
pub(super) async fn run_shares(context: Rc<ControlContext>) {
    loop {
        Timer::after(ROUND_INTERVAL).await;
        for group in 0..ACCOUNT_GROUP_COUNT {
            step_lease(&context, group);
        }
        let mut demands = measure_demands(&context);
        for group in 0..ACCOUNT_GROUP_COUNT {
            // A request without demands shows the lender that this node is alive.
            let own = demands.remove(&group).unwrap_or_default();
            let request = request_shares(context.clone(), group, own, true);
            context.executor.spawn(request).detach();
        }
        apply_limits(&context);
        contact_lenders(&context);
        let now = context.now();
        let held = context.shares.borrow().held_groups(now).len();
        context.state.metrics.lent_groups.set(held as i64);
    }
}

/// Fetches shares that requests are waiting for.
pub(super) async fn serve_share_fetches(context: Rc<ControlContext>, calls: Receiver<ShareCall>) {
    while let Ok(call) = calls.recv().await {
        context
            .executor
            .spawn(fetch_share(context.clone(), call))
            .detach();
    }
}

async fn fetch_share(context: Rc<ControlContext>, call: ShareCall) {
    let now = context.now();
    let due = {
        let mut table = context.shares.borrow_mut();
        let last = table.fetched_at.get(&call.account).copied();
        let due = last.is_none_or(|last| now.saturating_sub(last) >= FETCH_INTERVAL);
        if due {
            table.fetched_at.insert(call.account.clone(), now);
        }
        due
    };
    if due {
        let demand = fetch_demand(&context, &call.account);
        let group = account_group(&call.account);
        request_shares(context.clone(), group, vec![demand], false).await;
        apply_limits(&context);
    }
    // A cancelled request needs no reply.
    let _ = call.reply.try_send(());
}

fn fetch_demand(context: &ControlContext, account: &str) -> ShareDemand {
    let now = context.now();
    let table = context.shares.borrow();
    let running = context
        .state
        .limits()
        .get(account)
        .map_or(0, |limit| limit.running());
    let rate = table
        .demands
        .get(account)
        .copied()
        .unwrap_or(0.0)
        .max(FETCH_DEMAND);
    table.demand_of(now, account, rate, running)
}

/// Requests a share from each lender that hasn't granted one yet, so that a starting node isn't
/// ready before its accounts have shares.
fn contact_lenders(context: &Rc<ControlContext>) {
    let state = &context.state;
    if state.lenders_known.load(Ordering::SeqCst) {
        return;
    }
    let config = state.config.load();
    let mut waiting = false;
    for group in 0..ACCOUNT_GROUP_COUNT {
        let mut accounts = config.accounts.values();
        let first = accounts.find(|account| account_group(&account.name) == group);
        let granted = context.shares.borrow().granted[usize::from(group)];
        let Some(account) = first.filter(|_| !granted) else {
            continue;
        };
        waiting = true;
        let demand = fetch_demand(context, &account.name);
        let request = request_shares(context.clone(), group, vec![demand], false);
        context.executor.spawn(request).detach();
    }
    let alone = state.settings.fleet_size <= 1;
    let known = alone || (!waiting && !config.accounts.is_empty());
    if known || context.now() >= LENDER_WAIT_TIMEOUT {
        state.lenders_known.store(true, Ordering::SeqCst);
        super::update_ready(state);
    }
}

/// Sets the limits of every account on this node to its usable share.
pub(super) fn apply_limits(context: &ControlContext) {
    let now = context.now();
    let config = context.state.config.load();
    let fleet_size = context.state.settings.fleet_size;
    let mut table = context.shares.borrow_mut();
    let mut limits = context.state.limits();
    for account in config.accounts.values() {
        let contact = table.groups[usize::from(account_group(&account.name))].contact;
        let fresh = || ShareHolder::new(limit_of(account), fleet_size);
        let holder = table
            .holders
            .entry(account.name.to_string())
            .or_insert_with(fresh);
        holder.set_limit(limit_of(account));
        let ShareSize { rate, concurrency } = holder.usable(now, contact);
        let limit = limits.entry(account.name.clone());
        let fresh = || turnford_policy::AccountLimit::new(now, rate, concurrency);
        limit.or_insert_with(fresh).set(now, rate, concurrency);
    }
}

/// Measures each account's demand at this node since the last round, by account group.
fn measure_demands(context: &ControlContext) -> BTreeMap<u16, Vec<ShareDemand>> {
    let now = context.now();
    let mut table = context.shares.borrow_mut();
    let elapsed = now
        .saturating_sub(table.measured_at)
        .as_secs_f64()
        .max(0.001);
    table.measured_at = now;
    let mut by_group: BTreeMap<u16, Vec<ShareDemand>> = BTreeMap::new();
    for (account, limit) in context.state.limits().iter_mut() {
        let rate = f64::from(limit.take_arrivals()) / elapsed;
        let demand = table.demands.entry(account.to_string()).or_default();
        *demand += DEMAND_WEIGHT * (rate - *demand);
        let demand = *demand;
        // A share that isn't requested again expires by itself.
        if demand < MIN_DEMAND {
            continue;
        }
        let share_demand = table.demand_of(now, account, demand, limit.running());
        by_group
            .entry(account_group(account))
            .or_default()
            .push(share_demand);
    }
    by_group
}

/// Requests shares from the lender of a group and applies its grants. `is_complete` states that
/// `demands` covers all accounts of the group that have demand at this node.
async fn request_shares(
    context: Rc<ControlContext>,
    group: u16,
    demands: Vec<ShareDemand>,
    is_complete: bool,
) {
    let requested_at = context.now();
    let lender = context.duty_holder(&Duty::Lend(group));
    let node = context.state.settings.name.to_string();
    let stamp = context.shares.borrow().groups[usize::from(group)].stamp;
    let listed: Vec<String> = demands
        .iter()
        .map(|demand| demand.account.clone())
        .collect();
    let reply = if lender == node {
        handle_share(&context, &node, group, stamp, &demands)
    } else {
        let address = context
            .members
            .borrow()
            .get(&lender)
            .map(|record| record.update.address);
        let Some(address) = address else {
            return;
        };
        let request = PeerRequest::Share {
            node,
            group,
            stamp,
            demands,
        };
        match context.peers.call(address, &request, LENDER_TIMEOUT).await {
            Ok(reply) => reply,
            Err(_) => return,
        }
    };
    let PeerReply::Shares { stamp, grants } = reply else {
        return;
    };
    let now = context.now();
    let mut table = context.shares.borrow_mut();
    // A lender that still collects demands, or has nothing to lend yet, grants no concurrency and
    // doesn't make a starting node ready.
    table.granted[usize::from(group)] |= grants.iter().any(|grant| grant.size.concurrency > 0);
    let state = &mut table.groups[usize::from(group)];
    state.contact = now;
    state.stamp = stamp;
    for grant in grants {
        if let Some(holder) = table.holders.get_mut(&grant.account) {
            holder.apply(requested_at, &grant);
        }
    }
    if is_complete {
        let others = table
            .holders
            .iter_mut()
            .filter(|(account, _)| account_group(account) == group && !listed.contains(account));
        others.for_each(|(_, holder)| holder.clear_expired(requested_at));
    }
}
