//! Lends accounts' limits to the nodes by demand, and applies this node's shares.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use turnford_config::ClientAccount;
use turnford_fleet::Duty;
use turnford_fleet::HeardNodes;
use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseSettings;
use turnford_fleet::LenderStamp;
use turnford_fleet::Moment;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareHolder;
use turnford_fleet::ShareLender;
use turnford_fleet::ShareSize;
use turnford_fleet::Version;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;
use super::leases::perform_lease;
use crate::inbox::ShareCall;

/// Groups of accounts; each has one lender.
const GROUP_COUNT: u16 = 4;

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

/// One group of accounts: this node's contact with the lender, and the lender if it is this node.
struct LenderGroup {
    lease: LeaseHolder,
    lending: Option<LendingTerm>,
    /// When a lender's reply was last received, or when the node started.
    contact: Moment,
    stamp: LenderStamp,
}

/// Lenders of one group, under one term of its lease.
struct LendingTerm {
    token: Version,
    is_first: bool,
    began: Moment,
    heard: HeardNodes,
    lenders: HashMap<String, ShareLender>,
}

/// Shares and lenders of this node.
pub(super) struct ShareDesk {
    groups: Vec<LenderGroup>,
    holders: HashMap<String, ShareHolder>,
    demands: HashMap<String, f64>,
    asked_at: Moment,
    fetched_at: HashMap<String, Moment>,
    answered: [bool; GROUP_COUNT as usize],
}

impl ShareDesk {
    pub(super) fn new(name: &str, seed: u64) -> Self {
        let groups = (0..GROUP_COUNT).map(|_| LenderGroup {
            lease: LeaseHolder::new(name.to_owned(), LeaseSettings::default(), seed),
            lending: None,
            contact: Moment::ZERO,
            stamp: LenderStamp::default(),
        });
        Self {
            groups: groups.collect(),
            holders: HashMap::new(),
            demands: HashMap::new(),
            asked_at: Moment::ZERO,
            fetched_at: HashMap::new(),
            answered: [false; GROUP_COUNT as usize],
        }
    }

    /// Returns what is asked for an account.
    fn demand_of(&self, now: Moment, account: &str, rate: f64, running: u32) -> ShareDemand {
        let contact = self.groups[usize::from(group_of(account))].contact;
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
        for group in 0..GROUP_COUNT {
            step_lease(&context, group);
        }
        let mut demands = measure_demands(&context);
        for group in 0..GROUP_COUNT {
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
        let group = group_of(&call.account);
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
    for group in 0..GROUP_COUNT {
        let mut accounts = config.accounts.values();
        let first = accounts.find(|account| group_of(&account.name) == group);
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
        let contact = desk.groups[usize::from(group_of(&account.name))].contact;
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

/// Lends a node its shares, if this node holds the lease for the group.
pub(super) fn answer_share(
    context: &ControlContext,
    node: &str,
    group: u16,
    stamp: LenderStamp,
    demands: &[ShareDemand],
) -> PeerReply {
    let now = context.now();
    let config = context.state.config.load();
    let fleet_size = context.state.settings.fleet_size;
    let mut desk = context.shares.borrow_mut();
    let found = desk.groups.get_mut(usize::from(group));
    let Some(term) = found.and_then(|group| current_term(now, group, fleet_size)) else {
        return PeerReply::Refused;
    };
    let stamp = term.heard.note(now, node, stamp);
    let mut grants = Vec::new();
    for demand in demands
        .iter()
        .filter(|demand| group_of(&demand.account) == group)
    {
        let account = config
            .accounts
            .values()
            .find(|known| *known.name == *demand.account);
        let Some(account) = account else {
            continue;
        };
        let limit = limit_of(account);
        let (began, token, is_first) = (term.began, term.token, term.is_first);
        let fresh = || ShareLender::new(began, token, limit, is_first);
        let lender = term
            .lenders
            .entry(demand.account.clone())
            .or_insert_with(fresh);
        lender.set_limit(limit);
        grants.extend(lender.lend(now, node, demand, &term.heard));
    }
    PeerReply::Shares { stamp, grants }
}

/// Returns the lenders of a group, if this node's lease for it holds now.
fn current_term(now: Moment, group: &mut LenderGroup, fleet_size: u32) -> Option<&mut LendingTerm> {
    group.lease.token(now)?;
    let (token, is_first) = group.lease.term()?;
    let known = group
        .lending
        .as_ref()
        .is_some_and(|term| term.token == token);
    if !known {
        group.lending = Some(LendingTerm {
            token,
            is_first,
            began: now,
            heard: HeardNodes::new(now, token, fleet_size),
            lenders: HashMap::new(),
        });
    }
    group.lending.as_mut()
}

fn limit_of(account: &ClientAccount) -> ShareSize {
    ShareSize {
        rate: account.rate,
        concurrency: account.concurrency,
    }
}

/// Makes the call that a group's lease asks for.
fn step_lease(context: &Rc<ControlContext>, group: u16) {
    let now = context.now();
    let alone = context.state.settings.fleet_size <= 1;
    let wanted = !alone && context.settled.get() && context.has_duty(&Duty::Lend(group));
    let action = {
        let mut desk = context.shares.borrow_mut();
        let group = &mut desk.groups[usize::from(group)];
        let mut lenders = group.lending.iter().flat_map(|term| term.lenders.values());
        let clean = lenders.all(|lender| lender.is_clear(now));
        group.lease.step(now, wanted, clean)
    };
    if let Some(action) = action {
        context
            .executor
            .spawn(call_lease(context.clone(), group, action))
            .detach();
    }
}

async fn call_lease(context: Rc<ControlContext>, group: u16, action: LeaseAction) {
    let answer = perform_lease(&context, &format!("lease/lend-{group}"), action).await;
    let now = context.now();
    context.shares.borrow_mut().groups[usize::from(group)]
        .lease
        .note(now, answer);
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
        by_group.entry(group_of(account)).or_default().push(asked);
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
            .filter(|(account, _)| group_of(account) == group && !listed.contains(account));
        others.for_each(|(_, holder)| holder.forget_ended(asked));
    }
}

fn group_of(account: &str) -> u16 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    hasher.write(account.as_bytes());
    (hasher.finish() % u64::from(GROUP_COUNT)) as u16
}
