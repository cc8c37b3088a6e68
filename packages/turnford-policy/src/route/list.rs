//! The targets as they list themselves in the platform's store, and what changed among them since
//! another node asked last.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::TargetId;

use super::TargetSpec;

/// Time after the store's return in which targets whose entries lapsed meanwhile write them anew.
/// The platform's targets do so within about two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2200);

/// Least time that the store is away for entries to lapse: three missed heartbeats make one lapse,
/// the last of which may have been before.
const LAPSE_SPAN: Duration = Duration::from_millis(1500);

/// Changes that are remembered for nodes that ask what is new. One that missed more gets the whole
/// list.
const CHANGE_LIMIT: usize = 512;

/// Number of a change; it rises with each within one process.
pub type ChangeNumber = u64;

/// A target with what is left of its time where its entry lapsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The target.
    pub spec: TargetSpec,
    /// When it counts as gone unless its entry comes back; `None` while its entry is there.
    pub gone_at: Option<Moment>,
}

/// What one node tells another of the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNews {
    /// Whether these are all targets, or only those that changed.
    pub is_whole: bool,
    /// Targets that are new or changed.
    pub listed: Vec<ListedTarget>,
    /// Targets that are gone.
    pub gone: Vec<TargetId>,
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<TargetId, TargetSpec>,
    /// Targets whose entries were missing after the store's return, and when they count as gone.
    lapsed: BTreeMap<TargetId, Moment>,
    /// When the store was lost, `None` while it answers.
    lost_at: Option<Moment>,
    /// Until when a missing entry may only have lapsed.
    returning_until: Moment,
    /// Revision of the store up to which changes are known.
    revision: u64,
    /// Revision that was known when a target changed last.
    changed_at: u64,
    /// Ids of targets in the order of their changes, the newest last.
    changes: VecDeque<TargetId>,
    /// Number of the newest change.
    newest: ChangeNumber,
}

impl TargetList {
    /// Returns the revision of the store up to which changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision that was known when a target changed last. A node that knows the store up
    /// to this revision has missed nothing that this one knows.
    pub fn changed_at(&self) -> u64 {
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
    pub fn note_lost(&mut self, now: Moment) {
        self.lost_at.get_or_insert(now);
    }

    /// Notes that the store answers again.
    pub fn note_regained(&mut self, now: Moment) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if now.saturating_sub(lost_at) >= LAPSE_SPAN {
            self.returning_until = now + RETURN_SPAN;
        }
    }

    /// Takes a target's entry.
    pub fn put(&mut self, target: TargetSpec) {
        let was_lapsed = self.lapsed.remove(&target.id).is_some();
        let old = self.targets.insert(target.id.clone(), target.clone());
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
    pub fn reject(&mut self, id: &str) {
        if let Some(target) = self.targets.get(id) {
            let id = target.id.clone();
            self.drop_target(&id);
        }
    }

    /// Takes all entries as of a revision.
    pub fn take_whole(&mut self, now: Moment, revision: u64, entries: Vec<TargetSpec>) {
        self.note_revision(revision);
        let known: Vec<TargetId> = self.targets.keys().cloned().collect();
        for id in known {
            if !entries.iter().any(|entry| entry.id == id) {
                self.remove(now, &id);
            }
        }
        for entry in entries {
            self.put(entry);
        }
    }

    /// Notes that changes are known up to a revision.
    pub fn note_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes what another node knows up to a revision; false if this one knows more.
    pub fn adopt(&mut self, revision: u64, news: TargetNews) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        if news.is_whole {
            let known: Vec<TargetId> = self.targets.keys().cloned().collect();
            for id in known {
                if !news.listed.iter().any(|listed| listed.spec.id == id) {
                    self.drop_target(&id);
                }
            }
        }
        for id in &news.gone {
            self.drop_target(id);
        }
        for listed in news.listed {
            let id = listed.spec.id.clone();
            self.put(listed.spec);
            if let Some(gone_at) = listed.gone_at {
                self.lapsed.insert(id, gone_at);
            }
        }
        true
    }

    /// Returns what is new since a change, or everything for a node that has never asked.
    pub fn news_since(&self, after: Option<ChangeNumber>) -> TargetNews {
        let behind = after.and_then(|after| self.newest.checked_sub(after));
        let behind = behind.and_then(|behind| usize::try_from(behind).ok());
        let Some(behind) = behind.filter(|behind| *behind <= self.changes.len()) else {
            return TargetNews {
                is_whole: true,
                listed: self.targets.keys().map(|id| self.listed(id)).collect(),
                gone: Vec::new(),
            };
        };
        let mut ids: Vec<&TargetId> = self.changes.iter().rev().take(behind).collect();
        ids.sort_unstable();
        ids.dedup();
        let (listed, gone): (Vec<&TargetId>, Vec<&TargetId>) = ids
            .into_iter()
            .partition(|id| self.targets.contains_key(*id));
        TargetNews {
            is_whole: false,
            listed: listed.into_iter().map(|id| self.listed(id)).collect(),
            gone: gone.into_iter().cloned().collect(),
        }
    }

    /// Drops lapsed targets that did not return, and returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<TargetId> {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.drop_target(id);
        }
        due
    }

    fn listed(&self, id: &TargetId) -> ListedTarget {
        ListedTarget {
            spec: self.targets[id].clone(),
            gone_at: self.lapsed.get(id).copied(),
        }
    }

    fn drop_target(&mut self, id: &TargetId) {
        self.lapsed.remove(id);
        if self.targets.remove(id).is_some() {
            self.note_change(id.clone());
        }
    }

    fn note_change(&mut self, id: TargetId) {
        self.newest += 1;
        self.changed_at = self.revision;
        self.changes.push_back(id);
        if self.changes.len() > CHANGE_LIMIT {
            self.changes.pop_front();
        }
    }
}
