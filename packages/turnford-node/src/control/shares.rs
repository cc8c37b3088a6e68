//! Asks for this node's shares of accounts' limits, and applies them.

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
use super::lenders::answer_share;
use super::lenders::limit_of;
use super::lenders::step_lease;
use super::lenders::LenderGroup;
use crate::inbox::ShareCall;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Longest wait for a lender.
const ASK_LIMIT: Duration = Duration::from_millis(250);

/// Weight of the newest round in a node's demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Demand below which a share is not asked for, in requests a second.
const LEAST_DEMAND: f64 = 0.05;

/// Demand that a request counts as whose account has no share here yet, in requests a second.
const FETCH_DEMAND: f64 = 2.0;

/// Shortest time between two fetches for one account.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a starting node waits for the lenders; after it, the node has its even part.
const LENDER_WAIT: Duration = Duration::from_secs(20);

/// Shares and lenders of this node.
pub(super) struct ShareDesk {
    pub(super) groups: Vec<LenderGroup>,
    holders: HashMap<String, ShareHolder>,
    demands: HashMap<String, f64>,
    asked_at: Moment,
    fetched_at: HashMap<String, Moment>,
    answered: [bool; ACCOUNT_GROUP_COUNT as usize],
}

impl ShareDesk {
    pub(super) fn new(name: &str, seed: u64) -> Self {
        let groups = (0..ACCOUNT_GROUP_COUNT).map(|_| LenderGroup::new(name, seed));
        Self {
            groups: groups.collect(),
            holders: HashMap::new(),
            demands: HashMap::new(),
            asked_at: Moment::ZERO,
            fetched_at: HashMap::new(),
            answered: [false; ACCOUNT_GROUP_COUNT as usize],
        }
    }

    /// Returns what is asked for an account.
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

    /// Returns the groups whose lease this node holds.
    pub(super) fn held_groups(&self, now: Moment) -> Vec<usize> {
        let held = self.groups.iter().enumerate();
        let held = held.filter(|(_, group)| group.lease.token(now).is_some());
        held.map(|(number, _)| number).collect()
    }
}

/// Keeps leases, asks for shares and applies them, for as long as the node runs.
pub(super) async fn follow_shares(context: Rc<ControlContext>) {
    loop {
        Timer::after(ROUND_PAUSE).await;
        for group in 0..ACCOUNT_GROUP_COUNT {
            step_lease(&context, group);
        }
        let mut demands = measure_demands(&context);
        for group in 0..ACCOUNT_GROUP_COUNT {
            // Without demands the ask shows that this node is there.
            let own = demands.remove(&group).unwrap_or_default();
            let ask = ask_shares(context.clone(), group, own, true);
            context.executor.spawn(ask).detach();
        }
        apply_limits(&context);
        greet_lenders(&context);
        let now = context.now();
        let held = context.shares.borrow().held_groups(now).len();
        context.state.metrics.lent_groups.set(held as i64);
    }
}

/// Asks for shares that requests wait for.
pub(super) async fn take_fetches(context: Rc<ControlContext>, calls: Receiver<ShareCall>) {
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
        let mut desk = context.shares.borrow_mut();
        let last = desk.fetched_at.get(&call.account).copied();
        let due = last.is_none_or(|last| now.saturating_sub(last) >= FETCH_PAUSE);
        if due {
            desk.fetched_at.insert(call.account.clone(), now);
        }
        due
    };
    if due {
        let demand = fetch_demand(&context, &call.account);
        let group = account_group(&call.account);
        ask_shares(context.clone(), group, vec![demand], false).await;
        apply_limits(&context);
    }
    // A request that is gone needs no word.
    let _ = call.reply.try_send(());
}

fn fetch_demand(context: &ControlContext, account: &str) -> ShareDemand {
    let now = context.now();
    let desk = context.shares.borrow();
    let running = context
        .state
        .limits()
        .get(account)
        .map_or(0, |limit| limit.running());
    let rate = desk
        .demands
        .get(account)
        .copied()
        .unwrap_or(0.0)
        .max(FETCH_DEMAND);
    desk.demand_of(now, account, rate, running)
}

/// Asks each lender once, so that a starting node is not ready before its accounts have shares.
fn greet_lenders(context: &Rc<ControlContext>) {
    let state = &context.state;
    if state.lenders_known.load(Ordering::SeqCst) {
        return;
    }
    let config = state.config.load();
    let mut waiting = false;
    for group in 0..ACCOUNT_GROUP_COUNT {
        let mut accounts = config.accounts.values();
        let first = accounts.find(|account| account_group(&account.name) == group);
        let answered = context.shares.borrow().answered[usize::from(group)];
        let Some(account) = first.filter(|_| !answered) else {
            continue;
        };
        waiting = true;
        let demand = fetch_demand(context, &account.name);
        let ask = ask_shares(context.clone(), group, vec![demand], false);
        context.executor.spawn(ask).detach();
    }
    let alone = state.settings.fleet_size <= 1;
    let known = alone || (!waiting && !config.accounts.is_empty());
    if known || context.now() >= LENDER_WAIT {
        state.lenders_known.store(true, Ordering::SeqCst);
        super::note_ready(state);
    }
}

/// Sets every account's limits on this node to its share.
pub(super) fn apply_limits(context: &ControlContext) {
    let now = context.now();
    let config = context.state.config.load();
    let fleet_size = context.state.settings.fleet_size;
    let mut desk = context.shares.borrow_mut();
    let mut limits = context.state.limits();
    for account in config.accounts.values() {
        let contact = desk.groups[usize::from(account_group(&account.name))].contact;
        let fresh = || ShareHolder::new(limit_of(account), fleet_size);
        let holder = desk
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

/// Measures what each account asked of this node since the last round, by group.
fn measure_demands(context: &ControlContext) -> BTreeMap<u16, Vec<ShareDemand>> {
    let now = context.now();
    let mut desk = context.shares.borrow_mut();
    let span = now.saturating_sub(desk.asked_at).as_secs_f64().max(0.001);
    desk.asked_at = now;
    let mut by_group: BTreeMap<u16, Vec<ShareDemand>> = BTreeMap::new();
    for (account, limit) in context.state.limits().iter_mut() {
        let rate = f64::from(limit.take_arrivals()) / span;
        let demand = desk.demands.entry(account.to_string()).or_default();
        *demand += DEMAND_WEIGHT * (rate - *demand);
        let demand = *demand;
        // A share that is not asked for again ends by itself.
        if demand < LEAST_DEMAND {
            continue;
        }
        let asked = desk.demand_of(now, account, demand, limit.running());
        by_group
            .entry(account_group(account))
            .or_default()
            .push(asked);
    }
    by_group
}

/// Asks the lender of a group and takes its grants. `whole` tells that the demands are all that this
/// node has in the group.
async fn ask_shares(
    context: Rc<ControlContext>,
    group: u16,
    demands: Vec<ShareDemand>,
    whole: bool,
) {
    let asked = context.now();
    let lender = context.duty_holder(&Duty::Lend(group));
    let node = context.state.settings.name.to_string();
    let stamp = context.shares.borrow().groups[usize::from(group)].stamp;
    let listed: Vec<String> = demands
        .iter()
        .map(|demand| demand.account.clone())
        .collect();
    let reply = if lender == node {
        answer_share(&context, &node, group, stamp, &demands)
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
        match context.peers.call(address, &request, ASK_LIMIT).await {
            Ok(reply) => reply,
            Err(_) => return,
        }
    };
    let PeerReply::Shares { stamp, grants } = reply else {
        return;
    };
    let now = context.now();
    let mut desk = context.shares.borrow_mut();
    // A lender that only listens, or can't lend yet, leaves a starting node unready.
    desk.answered[usize::from(group)] |= grants.iter().any(|grant| grant.size.concurrency > 0);
    let state = &mut desk.groups[usize::from(group)];
    state.contact = now;
    state.stamp = stamp;
    for grant in grants {
        if let Some(holder) = desk.holders.get_mut(&grant.account) {
            holder.apply(asked, &grant);
        }
    }
    if whole {
        let others = desk
            .holders
            .iter_mut()
            .filter(|(account, _)| account_group(account) == group && !listed.contains(account));
        others.for_each(|(_, holder)| holder.clear_expired(asked));
    }
}
