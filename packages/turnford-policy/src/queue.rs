//! Queue of work that waits for a target, ordered by class, then fairly between accounts, then by
//! least slack.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::AccountId;
use crate::ClassRank;
use crate::Moment;
use crate::QueueTicket;
use crate::StageWork;

/// A work item in the queue.
#[derive(Clone, Debug)]
pub struct QueuedWork {
    /// Number of the item, unique in its pool.
    pub ticket: QueueTicket,
    /// The work to run.
    pub work: StageWork,
    /// Time at which the item was queued.
    pub queued_at: Moment,
}

/// Queued work of one account in a class, least slack first.
#[derive(Debug, Default)]
struct AccountQueue {
    by_slack: BTreeSet<(Moment, QueueTicket)>,
}

/// Queued work of one class, shared between its accounts by start-time fair queueing.
#[derive(Debug, Default)]
struct ClassQueue {
    accounts: HashMap<AccountId, AccountQueue>,
    /// Expected time of the work served to each account, divided by the account's share.
    served_time: HashMap<AccountId, Duration>,
    /// Served time that an account starts from when it queues work again.
    served_floor: Duration,
    /// Expected time of all queued work of the class.
    queued_time: Duration,
}

/// Bounded priority queue of work items.
#[derive(Debug)]
pub struct WorkQueue {
    limit: usize,
    entries: HashMap<QueueTicket, QueuedWork>,
    classes: BTreeMap<ClassRank, ClassQueue>,
    next_ticket: QueueTicket,
}

impl WorkQueue {
    /// Creates an empty queue of at most `limit` work items.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            entries: HashMap::new(),
            classes: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no work is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the expected time of all queued work of a class and of higher classes.
    pub fn queued_time(&self, class: ClassRank) -> Duration {
        let classes = self.classes.range(..=class);
        classes.map(|(_, queue)| queue.queued_time).sum()
    }

    /// Queues a work item. Returns `None` if the queue is full and has no work of a lower class.
    ///
    /// An item accepted by a full queue exceeds the limit until [`WorkQueue::pop_excess`] is
    /// called.
    pub fn push(&mut self, now: Moment, work: StageWork) -> Option<QueueTicket> {
        if self.entries.len() >= self.limit && !self.has_lower(work.class) {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let queue = self.classes.entry(work.class).or_default();
        queue.add(ticket, &work);
        let queued_at = now;
        let queued = QueuedWork {
            ticket,
            work,
            queued_at,
        };
        self.entries.insert(ticket, queued);
        Some(ticket)
    }

    /// Removes an item while the queue exceeds its limit, lowest class and most slack first.
    pub fn pop_excess(&mut self) -> Option<QueuedWork> {
        if self.entries.len() <= self.limit {
            return None;
        }
        // Classes without queued work remain in the map for the served time of their accounts.
        let mut classes = self.classes.values().rev();
        let ticket = classes.find_map(ClassQueue::last_ticket)?;
        self.remove(ticket)
    }

    /// Returns the next item without removing it.
    pub fn first(&self) -> Option<&QueuedWork> {
        let tickets = self.classes.values().find_map(ClassQueue::first_ticket);
        tickets.and_then(|ticket| self.entries.get(&ticket))
    }

    /// Returns up to `count` tickets by class and slack, with at most four of each account in a
    /// class.
    pub fn candidates(&self, count: usize) -> Vec<QueueTicket> {
        let classes = self.classes.values();
        classes
            .flat_map(ClassQueue::candidates)
            .take(count)
            .collect()
    }

    /// Returns a queued item.
    pub fn get(&self, ticket: QueueTicket) -> Option<&QueuedWork> {
        self.entries.get(&ticket)
    }

    /// Removes an item and counts it as served to its account.
    pub fn serve(&mut self, ticket: QueueTicket) -> Option<QueuedWork> {
        let queued = self.remove(ticket)?;
        if let Some(queue) = self.classes.get_mut(&queued.work.class) {
            queue.record_served(&queued.work);
        }
        self.clear_if_empty();
        Some(queued)
    }

    /// Removes an item without counting it as served.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<QueuedWork> {
        let queued = self.entries.remove(&ticket)?;
        if let Some(queue) = self.classes.get_mut(&queued.work.class) {
            queue.remove(ticket, &queued.work);
        }
        Some(queued)
    }

    /// Returns the tickets of work that can no longer finish in time, in ascending order.
    pub fn infeasible(&self, now: Moment) -> Vec<QueueTicket> {
        let infeasible = self
            .entries
            .values()
            .filter(|queued| now > queued.work.infeasible_after);
        let mut tickets: Vec<QueueTicket> = infeasible.map(|queued| queued.ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    fn has_lower(&self, class: ClassRank) -> bool {
        let lower = self.classes.range(class.saturating_add(1)..);
        lower
            .into_iter()
            .any(|(_, queue)| !queue.accounts.is_empty())
    }

    /// Drops the served time of all accounts once no work is queued, which bounds the maps.
    fn clear_if_empty(&mut self) {
        if self.entries.is_empty() {
            self.classes.clear();
        }
    }
}

impl ClassQueue {
    fn add(&mut self, ticket: QueueTicket, work: &StageWork) {
        let served_floor = self.served_floor;
        let served_time = self.served_time.entry(work.account.clone()).or_default();
        // An account gains no credit for the time in which it had no work queued.
        *served_time = (*served_time).max(served_floor);
        let account = self.accounts.entry(work.account.clone()).or_default();
        account.by_slack.insert((work.latest_start, ticket));
        self.queued_time += work.expected_time;
    }

    fn remove(&mut self, ticket: QueueTicket, work: &StageWork) {
        self.queued_time = self.queued_time.saturating_sub(work.expected_time);
        let Some(account) = self.accounts.get_mut(&work.account) else {
            return;
        };
        account.by_slack.remove(&(work.latest_start, ticket));
        if account.by_slack.is_empty() {
            self.accounts.remove(&work.account);
        }
    }

    fn record_served(&mut self, work: &StageWork) {
        let served_time = self.served_time.entry(work.account.clone()).or_default();
        self.served_floor = self.served_floor.max(*served_time);
        *served_time += work.expected_time.div_f64(work.share.max(0.01));
    }

    fn first_ticket(&self) -> Option<QueueTicket> {
        let accounts = self.accounts.iter();
        let next = accounts.min_by_key(|(id, account)| {
            let served_time = self.served_time.get(*id).copied().unwrap_or_default();
            (served_time, account.by_slack.first().copied())
        });
        next.and_then(|(_, account)| account.by_slack.first())
            .map(|(_, ticket)| *ticket)
    }

    fn last_ticket(&self) -> Option<QueueTicket> {
        let accounts = self.accounts.values();
        accounts
            .filter_map(|account| account.by_slack.last())
            .max()
            .map(|(_, ticket)| *ticket)
    }

    fn candidates(&self) -> Vec<QueueTicket> {
        let accounts = self.accounts.values();
        let mut candidates: Vec<_> = accounts
            .flat_map(|account| account.by_slack.iter().take(4))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, ticket)| *ticket).collect()
    }
}
