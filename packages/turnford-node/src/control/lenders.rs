//! Lends accounts' limits to the nodes, under a lease for each group of accounts.

use std::collections::HashMap;
use std::rc::Rc;

use turnford_config::ClientAccount;
use turnford_fleet::account_group;
use turnford_fleet::Duty;
use turnford_fleet::LeaseAction;
use turnford_fleet::LeaseHolder;
use turnford_fleet::LeaseSettings;
use turnford_fleet::LenderStamp;
use turnford_fleet::Moment;
use turnford_fleet::NodeContacts;
use turnford_fleet::ShareDemand;
use turnford_fleet::ShareLender;
use turnford_fleet::ShareSize;
use turnford_fleet::Version;
use turnford_wire::PeerReply;

use super::context::ControlContext;
use super::leases::perform_lease;
use super::leases::raise_token;

/// One group of accounts: this node's contact with the lender, and the lender if it is this node.
pub(super) struct LenderGroup {
    pub(super) lease: LeaseHolder,
    lending: Option<LendingTerm>,
    /// When a lender's reply was last received, or when the node started.
    pub(super) contact: Moment,
    pub(super) stamp: LenderStamp,
}

/// Lenders of one group, under one term of its lease.
struct LendingTerm {
    token: Version,
    is_first: bool,
    began: Moment,
    heard: NodeContacts,
    lenders: HashMap<String, ShareLender>,
}

impl LenderGroup {
    /// Starts without a lease. `mark` must not repeat over the node's restarts.
    pub(super) fn new(name: &str, mark: u64) -> Self {
        Self {
            lease: LeaseHolder::new(name.to_owned(), LeaseSettings::default(), mark),
            lending: None,
            contact: Moment::ZERO,
            stamp: LenderStamp::default(),
        }
    }

    /// Tells whether no grant of this group can be in use, if this node holds its lease.
    fn is_clear(&self, now: Moment) -> bool {
        let Some((token, is_first)) = self.lease.term() else {
            return true;
        };
        let lending = self.lending.as_ref().filter(|term| term.token == token);
        lending.map_or(is_first, |term| term.is_clear(now))
    }
}

impl LendingTerm {
    fn is_clear(&self, now: Moment) -> bool {
        let is_over = self.is_first || self.heard.has_outlived_grants(now);
        is_over && self.lenders.values().all(|lender| lender.is_clear(now))
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
    let stamp = term.heard.record_contact(now, node, stamp);
    let mut grants = Vec::new();
    for demand in demands
        .iter()
        .filter(|demand| account_group(&demand.account) == group)
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
            heard: NodeContacts::new(now, token, fleet_size),
            lenders: HashMap::new(),
        });
    }
    group.lending.as_mut()
}

/// Returns an account's limits as the lenders have them.
pub(super) fn limit_of(account: &ClientAccount) -> ShareSize {
    ShareSize {
        rate: account.rate,
        concurrency: account.concurrency,
    }
}

/// Makes the call that a group's lease asks for.
pub(super) fn step_lease(context: &Rc<ControlContext>, group: u16) {
    let now = context.now();
    let alone = context.state.settings.fleet_size <= 1;
    let wanted = !alone && context.settled.get() && context.has_duty(&Duty::Lend(group));
    let action = {
        let mut desk = context.shares.borrow_mut();
        let group = &mut desk.groups[usize::from(group)];
        let clean = group.is_clear(now);
        raise_token(&mut group.lease);
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
    let (answer, restored_ago) =
        perform_lease(&context, &format!("lease/lend-{group}"), action).await;
    let now = context.now();
    let lease = &mut context.shares.borrow_mut().groups[usize::from(group)].lease;
    lease.set_restored_ago(restored_ago);
    lease.handle_outcome(now, answer);
}
