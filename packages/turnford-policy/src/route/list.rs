//! The targets listed in the platform's store, and their changes since another node last asked.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::ended_log::EndedLog;
use super::target_update::ExpiredTargets;
use super::target_update::ListedTarget;
use super::target_update::TargetUpdate;
use super::StorePosition;
use super::TargetSpec;

/// Time after the store's recovery within which targets rewrite entries that lapsed during the
/// outage. The platform's targets need about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Minimum outage of the store in which entries can lapse. An entry lapses after three missed
/// heartbeats, and the last one received may be from some time before the outage.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(1500);

/// Time after the store was restored from a backup during which restored entries of targets that
/// had ended don't count. The entry of a target that is not alive lapses after three missed
/// heartbeats of about 1.2 s.
const QUARANTINE_TIME: Duration = Duration::from_secs(5);

/// Number of changes kept for nodes that ask for updates. A node that missed more gets the whole
/// list.
const MAX_CHANGES: usize = 512;

/// Number of a change, increasing within a process.
pub type ChangeNumber = u64;

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<TargetId, TargetSpec>,
    /// Targets whose entries were missing after the store's recovery, and when they count as
    /// removed.
    lapsed: BTreeMap<TargetId, Moment>,
    /// Start of the store's outage. `None` while the store answers.
    store_lost_at: Option<Moment>,
    /// End of the time in which a missing entry may have lapsed during an outage.
    grace_until: Moment,
    /// Store position up to which changes are known.
    position: StorePosition,
    /// Store position that was known at the last change of a target.
    changed_at: StorePosition,
    /// Entries, as restored, that have not been written since the store was restored from a backup.
    restored: BTreeMap<TargetId, TargetSpec>,
    /// Processes known to have ended.
    ended: EndedLog,
    /// Restored targets that were known to have ended, and until when they get no new work for that
    /// reason.
    quarantined: BTreeMap<TargetId, Moment>,
    /// Ids of changed targets in the order of their changes, the newest last.
    changes: VecDeque<TargetId>,
    /// Number of the newest change.
    last_change: ChangeNumber,
}

impl TargetList {
    /// Returns the store position up to which changes are known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the store position that was known at the last change of a target. A node that knows
    /// the store up to this position has missed nothing known here.
    pub fn changed_at(&self) -> StorePosition {
        self.changed_at
    }

    /// Returns the number of the newest change.
    pub fn newest_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// Returns the targets by id.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetSpec> {
        &self.targets
    }

    /// Records that the store does not answer.
    pub fn record_store_lost(&mut self, now: Moment) {
        self.store_lost_at.get_or_insert(now);
    }

    /// Records that the store answers again.
    pub fn record_store_recovered(&mut self, now: Moment) {
        let Some(lost_at) = self.store_lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= MIN_LAPSE_OUTAGE {
            self.grace_until = now + LAPSE_GRACE;
        }
    }

    /// Inserts a target from an entry that was just written.
    pub fn put(&mut self, target: TargetSpec) {
        self.quarantined.remove(&target.id);
        self.ended.remove(&target);
        if self.restored.remove(&target.id).is_some() {
            self.record_change(target.id.clone());
        }
        self.insert(target);
    }

    fn insert(&mut self, mut target: TargetSpec) {
        if target.version.is_none() {
            // The node that sent the entry may not know versions.
            let known = self.targets.get(&target.id);
            let known = known.filter(|known| target.is_same_process(known));
            target.version = known.and_then(|known| known.version.clone());
        }
        let was_lapsed = self.lapsed.remove(&target.id).is_some();
        let old = self.targets.insert(target.id.clone(), target.clone());
        if let Some(old) = old
            .as_ref()
            .filter(|old| old.process_start != target.process_start)
        {
            self.ended.insert(old, self.position.era);
        }
        if was_lapsed || old.as_ref() != Some(&target) {
            self.record_change(target.id);
        }
    }

    /// Removes a target whose entry is missing. If the entry may have lapsed during an outage of
    /// the store, waits for it to be rewritten first.
    pub fn remove(&mut self, now: Moment, id: &str) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let id = target.id.clone();
        if now < self.grace_until && !target.leaving {
            if !self.lapsed.contains_key(&id) {
                self.lapsed.insert(id.clone(), self.grace_until);
                self.record_change(id);
            }
            return;
        }
        self.remove_target(&id);
    }

    /// Removes a target whose entry can't be decoded.
    pub fn remove_invalid(&mut self, id: &str) {
        if let Some(target) = self.targets.get(id) {
            let id = target.id.clone();
            self.remove_target(&id);
        }
    }

    /// Replaces the list by all entries at a position. After the store was restored from a backup,
    /// missing entries may be rewritten, and those present may be older than what is known.
    pub fn replace_all(&mut self, now: Moment, position: StorePosition, entries: Vec<TargetSpec>) {
        let is_new_era = self.advance_era(now, position);
        let listed: BTreeSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        for id in self.ids_not_in(&listed) {
            self.remove(now, &id);
        }
        for entry in entries {
            if is_new_era || self.is_outdated(&entry) {
                self.put_restored(now, entry);
            } else if !self.is_unchanged_restore(&entry) {
                self.put(entry);
            }
        }
    }

    /// Returns the ids of targets that are not listed.
    fn ids_not_in(&self, listed: &BTreeSet<&TargetId>) -> Vec<TargetId> {
        let known = self.targets.keys();
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Advances to a position. Returns true if it is in a newer era.
    fn advance_era(&mut self, now: Moment, position: StorePosition) -> bool {
        let is_new_era = position.era > self.position.era;
        if is_new_era {
            self.grace_until = now + LAPSE_GRACE;
            self.quarantined.clear();
            self.restored.clear();
        }
        self.advance_to(position);
        is_new_era
    }

    /// Inserts an entry restored from a backup. What was learned since is kept: that its target is
    /// leaving, or has ended.
    fn put_restored(&mut self, now: Moment, entry: TargetSpec) {
        let id = entry.id.clone();
        let known = self.targets.get(&id);
        if known.is_some_and(|known| known.process_start > entry.process_start) {
            // The newer process of this id is missing from the backup.
            self.remove(now, &id);
            return;
        }
        let has_ended = self.ended.contains(&entry);
        if self.restored.insert(id.clone(), entry.clone()).is_none() {
            self.record_change(id.clone());
        }
        if has_ended {
            self.quarantined.entry(id).or_insert(now + QUARANTINE_TIME);
        }
        let entry = self.merge_known(entry);
        self.insert(TargetSpec {
            leaving: entry.leaving || has_ended,
            ..entry
        });
    }

    /// Returns whether an entry belongs to a process that was known to have ended before the store
    /// was restored from a backup.
    fn is_outdated(&self, entry: &TargetSpec) -> bool {
        let known = self.targets.get(&entry.id);
        let is_replaced = known.is_some_and(|known| known.process_start > entry.process_start);
        is_replaced || self.ended.ended_before(entry, self.position.era)
    }

    /// Returns whether an entry has not been written since the store was restored from a backup. In
    /// the list of another node, a restored entry may also be marked as leaving.
    fn is_unchanged_restore(&self, entry: &TargetSpec) -> bool {
        let restored = self.restored.get(&entry.id);
        restored.is_some_and(|restored| {
            let leaving = entry.leaving || restored.leaving;
            *restored
                == TargetSpec {
                    leaving,
                    version: entry.version.clone().or_else(|| restored.version.clone()),
                    ..entry.clone()
                }
        })
    }

    /// Merges an entry that may be outdated with what is known of its process.
    fn merge_known(&self, entry: TargetSpec) -> TargetSpec {
        let known = self.targets.get(&entry.id);
        let known = known.filter(|known| known.process_start == entry.process_start);
        let Some(known) = known else {
            return entry;
        };
        TargetSpec {
            leaving: entry.leaving || known.leaving,
            orders: entry.orders.max(known.orders),
            version: entry.version.or_else(|| known.version.clone()),
            ..entry
        }
    }

    /// Records that changes are known up to a position.
    pub fn advance_to(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Applies another node's update up to a position. Returns false if this node knows more, or if
    /// the update doesn't continue from its own position.
    pub fn apply_update(
        &mut self,
        now: Moment,
        position: StorePosition,
        update: TargetUpdate,
    ) -> bool {
        let is_other_era = position.era != self.position.era;
        if position < self.position || (is_other_era && !update.is_full) {
            return false;
        }
        let is_new_era = self.advance_era(now, position);
        if update.is_full {
            let listed = update.listed.iter().map(|listed| &listed.spec.id);
            for id in self.ids_not_in(&listed.collect()) {
                if is_new_era {
                    self.remove(now, &id);
                } else {
                    self.remove_target(&id);
                }
            }
        }
        for id in &update.removed {
            self.remove_target(id);
        }
        for listed in update.listed {
            match listed.expires_at {
                Some(expires_at) => self.put_lapsed(now, listed.spec, expires_at),
                None if listed.is_restored => self.put_restored(now, listed.spec),
                None => self.put(listed.spec),
            }
        }
        true
    }

    /// Inserts a target whose entry lapsed according to another node. Newer knowledge of this node
    /// takes precedence.
    fn put_lapsed(&mut self, now: Moment, target: TargetSpec, expires_at: Moment) {
        let known = self.targets.get(&target.id);
        let is_outdated = known.is_some_and(|known| known.process_start > target.process_start);
        if is_outdated || self.ended.contains(&target) {
            // The newer process of this id has no entry there either.
            self.remove(now, &target.id);
            return;
        }
        let id = target.id.clone();
        let target = self.merge_known(target);
        self.insert(target);
        self.lapsed.insert(id, expires_at);
    }

    /// Returns the changes since a number, or the whole list for a node that has none or missed too
    /// many.
    pub fn updates_since(&self, after: Option<ChangeNumber>) -> TargetUpdate {
        let behind = after.and_then(|after| self.last_change.checked_sub(after));
        let behind = behind.and_then(|behind| usize::try_from(behind).ok());
        let Some(behind) = behind.filter(|behind| *behind <= self.changes.len()) else {
            return TargetUpdate {
                is_full: true,
                listed: self.targets.keys().map(|id| self.to_listed(id)).collect(),
                removed: Vec::new(),
            };
        };
        let mut ids: Vec<&TargetId> = self.changes.iter().rev().take(behind).collect();
        ids.sort_unstable();
        ids.dedup();
        let (listed, removed): (Vec<&TargetId>, Vec<&TargetId>) = ids
            .into_iter()
            .partition(|id| self.targets.contains_key(*id));
        TargetUpdate {
            is_full: false,
            listed: listed.into_iter().map(|id| self.to_listed(id)).collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }

    /// Removes lapsed targets whose entries did not return, and reinstates quarantined targets that
    /// are alive. Returns both.
    pub fn expire(&mut self, now: Moment) -> ExpiredTargets {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let removed: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.remove_target(id);
        }
        let due = self.quarantined.iter().filter(|(_, until)| **until <= now);
        let reinstated: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        let entries = reinstated
            .iter()
            .filter_map(|id| self.restored.get(id).cloned());
        let entries: Vec<TargetSpec> = entries.collect();
        for entry in entries {
            self.put(entry);
        }
        ExpiredTargets {
            removed,
            reinstated,
        }
    }

    fn to_listed(&self, id: &TargetId) -> ListedTarget {
        // A node that did not know that the target had ended has no reason to quarantine it.
        let restored = self
            .restored
            .get(id)
            .filter(|_| self.quarantined.contains_key(id));
        ListedTarget {
            spec: restored.unwrap_or(&self.targets[id]).clone(),
            expires_at: self.lapsed.get(id).copied(),
            is_restored: self.restored.contains_key(id),
        }
    }

    fn remove_target(&mut self, id: &TargetId) {
        self.lapsed.remove(id);
        self.restored.remove(id);
        self.quarantined.remove(id);
        if let Some(target) = self.targets.remove(id) {
            self.ended.insert(&target, self.position.era);
            self.record_change(id.clone());
        }
    }

    fn record_change(&mut self, id: TargetId) {
        self.last_change += 1;
        self.changed_at = self.position;
        self.changes.push_back(id);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
