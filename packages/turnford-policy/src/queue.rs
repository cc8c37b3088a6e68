//! Work that waits for a target: by class, then fairly between accounts, then by least slack.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::AccountId;
use crate::ClassRank;
use crate::Moment;
use crate::QueueTicket;
use crate::StageWork;

/// One held piece of work.
#[derive(Clone, Debug)]
pub struct QueuedWork {
    /// Its number in the pool.
    pub ticket: QueueTicket,
    /// The work itself.
    pub work: StageWork,
    /// When it was held.
    pub queued_at: Moment,
}

/// Work of one account inside a class, least slack first.
#[derive(Debug, Default)]
struct AccountLine {
    by_slack: BTreeSet<(Moment, QueueTicket)>,
}

/// Lines of one class and what each account was served.
#[derive(Debug, Default)]
struct ClassLines {
    lines: HashMap<AccountId, AccountLine>,
    served: HashMap<AccountId, Duration>,
    floor: Duration,
    held_time: Duration,
}

/// A bounded queue of held work.
#[derive(Debug)]
pub struct WorkQueue {
    limit: usize,
    held: HashMap<QueueTicket, QueuedWork>,
    classes: BTreeMap<ClassRank, ClassLines>,
    next_ticket: QueueTicket,
}

impl WorkQueue {
    /// Makes an empty queue that holds at most `limit` pieces of work.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: HashMap::new(),
            classes: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// Returns the number of pieces held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the expected time of all held work that goes before or beside a class.
    pub fn queued_time(&self, class: ClassRank) -> Duration {
        let before = self.classes.range(..=class);
        before.map(|(_, lines)| lines.held_time).sum()
    }

    /// Holds a piece of work; `None` if the queue is full of work of the same or a higher class.
    pub fn push(&mut self, now: Moment, work: StageWork) -> Option<QueueTicket> {
        if self.held.len() >= self.limit && !self.has_lower(work.class) {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let lines = self.classes.entry(work.class).or_default();
        lines.add(ticket, &work);
        let since = now;
        let held = QueuedWork {
            ticket,
            work,
            queued_at: since,
        };
        self.held.insert(ticket, held);
        Some(ticket)
    }

    /// Takes out what the queue holds over its bound, lowest class and most slack first.
    pub fn pop_excess(&mut self) -> Option<QueuedWork> {
        if self.held.len() <= self.limit {
            return None;
        }
        // A class can be empty and still remember what its accounts were served.
        let mut classes = self.classes.values().rev();
        let ticket = classes.find_map(ClassLines::last_ticket)?;
        self.remove(ticket)
    }

    /// Returns the piece that goes next without taking it.
    pub fn first(&self) -> Option<&QueuedWork> {
        let tickets = self.classes.values().find_map(ClassLines::first_ticket);
        tickets.and_then(|ticket| self.held.get(&ticket))
    }

    /// Returns up to `count` pieces in the order in which they would go, by class and slack.
    pub fn candidates(&self, count: usize) -> Vec<QueueTicket> {
        let classes = self.classes.values();
        classes.flat_map(ClassLines::heads).take(count).collect()
    }

    /// Returns a held piece.
    pub fn get(&self, ticket: QueueTicket) -> Option<&QueuedWork> {
        self.held.get(&ticket)
    }

    /// Takes a piece out and counts it as served to its account.
    pub fn serve(&mut self, ticket: QueueTicket) -> Option<QueuedWork> {
        let held = self.remove(ticket)?;
        if let Some(lines) = self.classes.get_mut(&held.work.class) {
            lines.note_served(&held.work);
        }
        self.trim();
        Some(held)
    }

    /// Takes a piece out without serving it.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<QueuedWork> {
        let held = self.held.remove(&ticket)?;
        if let Some(lines) = self.classes.get_mut(&held.work.class) {
            lines.take(ticket, &held.work);
        }
        Some(held)
    }

    /// Returns the tickets of work that can no longer finish in time.
    pub fn infeasible(&self, now: Moment) -> Vec<QueueTicket> {
        let late = self
            .held
            .values()
            .filter(|held| now > held.work.infeasible_after);
        let mut tickets: Vec<QueueTicket> = late.map(|held| held.ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    fn has_lower(&self, class: ClassRank) -> bool {
        let lower = self.classes.range(class.saturating_add(1)..);
        lower.into_iter().any(|(_, lines)| !lines.lines.is_empty())
    }

    /// Forgets what accounts were served once nothing is held, which bounds the maps.
    fn trim(&mut self) {
        if self.held.is_empty() {
            self.classes.clear();
        }
    }
}

impl ClassLines {
    fn add(&mut self, ticket: QueueTicket, work: &StageWork) {
        let floor = self.floor;
        let served = self.served.entry(work.account.clone()).or_default();
        // An account that was away does not return with a claim on the past.
        *served = (*served).max(floor);
        let line = self.lines.entry(work.account.clone()).or_default();
        line.by_slack.insert((work.latest_start, ticket));
        self.held_time += work.expected_time;
    }

    fn take(&mut self, ticket: QueueTicket, work: &StageWork) {
        self.held_time = self.held_time.saturating_sub(work.expected_time);
        let Some(line) = self.lines.get_mut(&work.account) else {
            return;
        };
        line.by_slack.remove(&(work.latest_start, ticket));
        if line.by_slack.is_empty() {
            self.lines.remove(&work.account);
        }
    }

    fn note_served(&mut self, work: &StageWork) {
        let served = self.served.entry(work.account.clone()).or_default();
        self.floor = self.floor.max(*served);
        *served += work.expected_time.div_f64(work.share.max(0.01));
    }

    fn first_ticket(&self) -> Option<QueueTicket> {
        let lines = self.lines.iter();
        let least = lines.min_by_key(|(account, line)| {
            let served = self.served.get(*account).copied().unwrap_or_default();
            (served, line.by_slack.first().copied())
        });
        least
            .and_then(|(_, line)| line.by_slack.first())
            .map(|(_, ticket)| *ticket)
    }

    fn last_ticket(&self) -> Option<QueueTicket> {
        let lines = self.lines.values();
        lines
            .filter_map(|line| line.by_slack.last())
            .max()
            .map(|(_, ticket)| *ticket)
    }

    fn heads(&self) -> Vec<QueueTicket> {
        let lines = self.lines.values();
        let mut heads: Vec<_> = lines
            .flat_map(|line| line.by_slack.iter().take(4))
            .collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, ticket)| *ticket).collect()
    }
}
