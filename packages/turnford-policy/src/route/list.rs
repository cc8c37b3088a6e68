//! The targets as they list themselves in the platform's store, and what changed among them since
//! another node asked last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::ended_log::GoneLog;
use super::target_update::ExpiredTargets;
use super::target_update::ListedTarget;
use super::target_update::TargetUpdate;
use super::StorePosition;
use super::TargetSpec;

/// Time after the store's return in which targets whose entries lapsed meanwhile write them anew.
/// The platform's targets do so within about two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2200);

/// Least time that the store is away for entries to lapse: three missed heartbeats make one lapse,
/// the last of which may have been before.
const LAPSE_SPAN: Duration = Duration::from_millis(1500);

/// Time after the store came back from a copy in which entries of targets that were gone before don't
/// count: one whose target does not live lapses after three missed heartbeats of some 1.2 s.
const DOUBT_SPAN: Duration = Duration::from_secs(5);

/// Changes that are remembered for nodes that ask what is new. One that missed more gets the whole
/// list.
const CHANGE_LIMIT: usize = 512;

/// Number of a change; it rises with each within one process.
pub type ChangeNumber = u64;

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<TargetId, TargetSpec>,
    /// Targets whose entries were missing after the store's return, and when they count as gone.
    lapsed: BTreeMap<TargetId, Moment>,
    /// When the store was lost, `None` while it answers.
    lost_at: Option<Moment>,
    /// Until when a missing entry may only have lapsed.
    returning_until: Moment,
    /// Place in the store's history up to which changes are known.
    place: StorePosition,
    /// Place that was known when a target changed last.
    changed_at: StorePosition,
    /// Entries that were not written since the store came back from a copy, as it has them.
    copied: BTreeMap<TargetId, TargetSpec>,
    /// Processes that ended.
    gone: GoneLog,
    /// Targets of the store's copy that were gone before, and until when they take no new work for that.
    doubted: BTreeMap<TargetId, Moment>,
    /// Ids of targets in the order of their changes, the newest last.
    changes: VecDeque<TargetId>,
    /// Number of the newest change.
    newest: ChangeNumber,
}

impl TargetList {
    /// Returns the place in the store's history up to which changes are known.
    pub fn position(&self) -> StorePosition {
        self.place
    }

    /// Returns the place that was known when a target changed last. A node that knows the store up
    /// to this place has missed nothing that this one knows.
    pub fn changed_at(&self) -> StorePosition {
        self.changed_at
    }

    /// Returns the number of the newest change.
    pub fn newest_change(&self) -> ChangeNumber {
        self.newest
    }

    /// Returns the targets by their ids.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetSpec> {
        &self.targets
    }

    /// Notes that the store does not answer.
    pub fn record_store_lost(&mut self, now: Moment) {
        self.lost_at.get_or_insert(now);
    }

    /// Notes that the store answers again.
    pub fn record_store_recovered(&mut self, now: Moment) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= LAPSE_SPAN {
            self.returning_until = now + RETURN_SPAN;
        }
    }

    /// Takes a target's entry as it was written now.
    pub fn put(&mut self, target: TargetSpec) {
        self.doubted.remove(&target.id);
        self.gone.forget(&target);
        if self.copied.remove(&target.id).is_some() {
            self.note_change(target.id.clone());
        }
        self.insert(target);
    }

    fn insert(&mut self, target: TargetSpec) {
        let was_lapsed = self.lapsed.remove(&target.id).is_some();
        let old = self.targets.insert(target.id.clone(), target.clone());
        if let Some(old) = old
            .as_ref()
            .filter(|old| old.process_start != target.process_start)
        {
            self.gone.note(old, self.place.era);
        }
        if was_lapsed || old.as_ref() != Some(&target) {
            self.note_change(target.id);
        }
    }

    /// Drops a target whose entry is gone, or waits for its return where that may only have lapsed.
    pub fn remove(&mut self, now: Moment, id: &str) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let id = target.id.clone();
        if now < self.returning_until && !target.leaving {
            if !self.lapsed.contains_key(&id) {
                self.lapsed.insert(id.clone(), self.returning_until);
                self.note_change(id);
            }
            return;
        }
        self.drop_target(&id);
    }

    /// Drops a target whose entry can't be understood.
    pub fn remove_invalid(&mut self, id: &str) {
        if let Some(target) = self.targets.get(id) {
            let id = target.id.clone();
            self.drop_target(&id);
        }
    }

    /// Takes all entries as of a place. Where the store came back from a copy, what is missing may be
    /// written again, and what is there may be older than what is known.
    pub fn replace_all(&mut self, now: Moment, place: StorePosition, entries: Vec<TargetSpec>) {
        let is_new_era = self.enter(now, place);
        let listed: BTreeSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        for id in self.ids_beside(&listed) {
            self.remove(now, &id);
        }
        for entry in entries {
            if is_new_era || self.is_older(&entry) {
                self.take_copied(now, entry);
            } else if !self.is_still_copied(&entry) {
                self.put(entry);
            }
        }
    }

    /// Returns the ids of targets that are not listed.
    fn ids_beside(&self, listed: &BTreeSet<&TargetId>) -> Vec<TargetId> {
        let known = self.targets.keys();
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Goes on to a place; true if it is of another era.
    fn enter(&mut self, now: Moment, place: StorePosition) -> bool {
        let is_new_era = place.era > self.place.era;
        if is_new_era {
            self.returning_until = now + RETURN_SPAN;
            self.doubted.clear();
            self.copied.clear();
        }
        self.advance_to(place);
        is_new_era
    }

    /// Takes an entry of the store's copy. What its target said meanwhile does not go back: that it
    /// leaves, that it has ended.
    fn take_copied(&mut self, now: Moment, entry: TargetSpec) {
        let id = entry.id.clone();
        let known = self.targets.get(&id);
        if known.is_some_and(|known| known.process_start > entry.process_start) {
            // What runs under its id since is missing from the copy.
            self.remove(now, &id);
            return;
        }
        let is_gone = self.gone.has(&entry);
        if self.copied.insert(id.clone(), entry.clone()).is_none() {
            self.note_change(id.clone());
        }
        if is_gone {
            self.doubted.entry(id).or_insert(now + DOUBT_SPAN);
        }
        let entry = self.keep_words(entry);
        self.insert(TargetSpec {
            leaving: entry.leaving || is_gone,
            ..entry
        });
    }

    /// Tells whether an entry is of a process that was known to have ended before the store came back from
    /// a copy.
    fn is_older(&self, entry: &TargetSpec) -> bool {
        let known = self.targets.get(&entry.id);
        let is_replaced = known.is_some_and(|known| known.process_start > entry.process_start);
        is_replaced || self.gone.has_before(entry, self.place.era)
    }

    /// Tells whether an entry was not written since the store came back from a copy. What another node told
    /// of the copied entry has the word of its target that it leaves in it.
    fn is_still_copied(&self, entry: &TargetSpec) -> bool {
        let copied = self.copied.get(&entry.id);
        copied.is_some_and(|copied| {
            let leaving = entry.leaving || copied.leaving;
            *copied
                == TargetSpec {
                    leaving,
                    ..entry.clone()
                }
        })
    }

    /// Returns an entry that may be older than what is known of its process, with that.
    fn keep_words(&self, entry: TargetSpec) -> TargetSpec {
        let known = self.targets.get(&entry.id);
        let known = known.filter(|known| known.process_start == entry.process_start);
        let Some(known) = known else {
            return entry;
        };
        TargetSpec {
            leaving: entry.leaving || known.leaving,
            orders: entry.orders.max(known.orders),
            ..entry
        }
    }

    /// Notes that changes are known up to a place.
    pub fn advance_to(&mut self, place: StorePosition) {
        self.place = self.place.max(place);
    }

    /// Takes what another node knows up to a place; false if this one knows more, or can't go on from
    /// its own place.
    pub fn apply_update(&mut self, now: Moment, place: StorePosition, news: TargetUpdate) -> bool {
        let is_other_era = place.era != self.place.era;
        if place < self.place || (is_other_era && !news.is_full) {
            return false;
        }
        let is_new_era = self.enter(now, place);
        if news.is_full {
            let listed = news.listed.iter().map(|listed| &listed.spec.id);
            for id in self.ids_beside(&listed.collect()) {
                if is_new_era {
                    self.remove(now, &id);
                } else {
                    self.drop_target(&id);
                }
            }
        }
        for id in &news.removed {
            self.drop_target(id);
        }
        for listed in news.listed {
            match listed.expires_at {
                Some(gone_at) => self.take_lapsed(now, listed.spec, gone_at),
                None if listed.is_restored => self.take_copied(now, listed.spec),
                None => self.put(listed.spec),
            }
        }
        true
    }

    /// Takes a target that lapsed at another node, which tells nothing newer of it than this one knows.
    fn take_lapsed(&mut self, now: Moment, target: TargetSpec, gone_at: Moment) {
        let known = self.targets.get(&target.id);
        let is_older = known.is_some_and(|known| known.process_start > target.process_start);
        if is_older || self.gone.has(&target) {
            // What runs under its id since has no entry there either.
            self.remove(now, &target.id);
            return;
        }
        let id = target.id.clone();
        let target = self.keep_words(target);
        self.insert(target);
        self.lapsed.insert(id, gone_at);
    }

    /// Returns what is new since a change, or everything for a node that has never asked.
    pub fn updates_since(&self, after: Option<ChangeNumber>) -> TargetUpdate {
        let behind = after.and_then(|after| self.newest.checked_sub(after));
        let behind = behind.and_then(|behind| usize::try_from(behind).ok());
        let Some(behind) = behind.filter(|behind| *behind <= self.changes.len()) else {
            return TargetUpdate {
                is_full: true,
                listed: self.targets.keys().map(|id| self.listed(id)).collect(),
                removed: Vec::new(),
            };
        };
        let mut ids: Vec<&TargetId> = self.changes.iter().rev().take(behind).collect();
        ids.sort_unstable();
        ids.dedup();
        let (listed, gone): (Vec<&TargetId>, Vec<&TargetId>) = ids
            .into_iter()
            .partition(|id| self.targets.contains_key(*id));
        TargetUpdate {
            is_full: false,
            listed: listed.into_iter().map(|id| self.listed(id)).collect(),
            removed: gone.into_iter().cloned().collect(),
        }
    }

    /// Drops lapsed targets that did not return, takes those back that live, and returns both.
    pub fn expire(&mut self, now: Moment) -> ExpiredTargets {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let removed: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.drop_target(id);
        }
        let due = self.doubted.iter().filter(|(_, until)| **until <= now);
        let reinstated: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        let entries = reinstated
            .iter()
            .filter_map(|id| self.copied.get(id).cloned());
        let entries: Vec<TargetSpec> = entries.collect();
        for entry in entries {
            self.put(entry);
        }
        ExpiredTargets {
            removed,
            reinstated,
        }
    }

    fn listed(&self, id: &TargetId) -> ListedTarget {
        // Who was not told that it was gone has no reason to doubt it.
        let copied = self
            .copied
            .get(id)
            .filter(|_| self.doubted.contains_key(id));
        ListedTarget {
            spec: copied.unwrap_or(&self.targets[id]).clone(),
            expires_at: self.lapsed.get(id).copied(),
            is_restored: self.copied.contains_key(id),
        }
    }

    fn drop_target(&mut self, id: &TargetId) {
        self.lapsed.remove(id);
        self.copied.remove(id);
        self.doubted.remove(id);
        if let Some(target) = self.targets.remove(id) {
            self.gone.note(&target, self.place.era);
            self.note_change(id.clone());
        }
    }

    fn note_change(&mut self, id: TargetId) {
        self.newest += 1;
        self.changed_at = self.place;
        self.changes.push_back(id);
        if self.changes.len() > CHANGE_LIMIT {
            self.changes.pop_front();
        }
    }
}
