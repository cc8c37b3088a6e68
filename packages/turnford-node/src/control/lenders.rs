//! Lends shares of accounts' limits to the nodes, under one lease per account group.

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

/// One account group: this node's contact with its lender, and the lending state if that is this
/// node.
pub(super) struct LenderGroup {
    pub(super) lease: LeaseHolder,
    lending: Option<LendingTerm>,
    /// Time of the last reply from a lender, or of the node's start.
    pub(super) contact: Moment,
    pub(super) stamp: LenderStamp,
}

/// Lenders of one group's accounts, under one term of the group's lease.
struct LendingTerm {
    token: Version,
    is_first: bool,
    started_at: Moment,
    contacts: NodeContacts,
    lenders: HashMap<String, ShareLender>,
}

impl LenderGroup {
    /// Creates a group without a lease. `first_write_id` must differ between restarts of the node.
    pub(super) fn new(name: &str, first_write_id: u64) -> Self {
        Self {
            lease: LeaseHolder::new(name.to_owned(), LeaseSettings::default(), first_write_id),
            lending: None,
            contact: Moment::ZERO,
            stamp: LenderStamp::default(),
        }
    }

    /// Returns whether no grant of this group can be in use, if this node holds its lease.
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
        let old_grants_expired = self.is_first || self.contacts.has_outlived_grants(now);
        old_grants_expired && self.lenders.values().all(|lender| lender.is_clear(now))
    }
}

/// Grants shares to a node if this node holds the group's lease.
pub(super) fn handle_share(
    context: &ControlContext,
    node: &str,
    group: u16,
    stamp: LenderStamp,
    demands: &[ShareDemand],
) -> PeerReply {
    let now = context.now();
    let config = context.state.config.load();
    let fleet_size = context.state.settings.fleet_size;
    let mut table = context.shares.borrow_mut();
    let found = table.groups.get_mut(usize::from(group));
    let Some(term) = found.and_then(|group| current_term(now, group, fleet_size)) else {
        return PeerReply::Refused;
    };
    let stamp = term.contacts.record_contact(now, node, stamp);
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
        let (started_at, token, is_first) = (term.started_at, term.token, term.is_first);
        let fresh = || ShareLender::new(started_at, token, limit, is_first);
        let lender = term
            .lenders
            .entry(demand.account.clone())
            .or_insert_with(fresh);
        lender.set_limit(limit);
        grants.extend(lender.lend(now, node, demand, &term.contacts));
    }
    PeerReply::Shares { stamp, grants }
}

/// Returns the lending term of a group if this node currently holds its lease.
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
            started_at: now,
            contacts: NodeContacts::new(now, token, fleet_size),
            lenders: HashMap::new(),
        });
    }
    group.lending.as_mut()
}

/// Returns an account's limits as a share size.
pub(super) fn limit_of(account: &ClientAccount) -> ShareSize {
    ShareSize {
        rate: account.rate,
        concurrency: account.concurrency,
    }
}

/// Steps a group's lease and starts the call that it requests.
pub(super) fn step_lease(context: &Rc<ControlContext>, group: u16) {
    let now = context.now();
    let alone = context.state.settings.fleet_size <= 1;
    let wanted = !alone && context.duty_eligible.get() && context.has_duty(&Duty::Lend(group));
    let action = {
        let mut table = context.shares.borrow_mut();
        let group = &mut table.groups[usize::from(group)];
        let is_clear = group.is_clear(now);
        raise_token(&mut group.lease);
        group.lease.step(now, wanted, is_clear)
    };
    if let Some(action) = action {
        context
            .executor
            .spawn(call_lease(context.clone(), group, action))
            .detach();
    }
}

async fn call_lease(context: Rc<ControlContext>, group: u16, action: LeaseAction) {
    let (outcome, restored_ago) =
        perform_lease(&context, &format!("lease/lend-{group}"), action).await;
    let now = context.now();
    let lease = &mut context.shares.borrow_mut().groups[usize::from(group)].lease;
    lease.set_restored_ago(restored_ago);
    lease.handle_outcome(now, outcome);
}
