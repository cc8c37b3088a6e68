//! Target processes that have ended.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::TargetId;

use super::config::ProcessStart;
use super::TargetSpec;

/// Maximum number of remembered processes. More than the number that end within the age of a
/// backup, which is some seconds, in a fleet of several thousand targets.
const MAX_ENTRIES: usize = 1024;

/// Key of a process: the id of its target and its start.
type ProcessKey = (TargetId, ProcessStart);

/// The most recently ended processes, with the store era in which each end was learned.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedLog {
    eras: BTreeMap<ProcessKey, u64>,
    /// Keys in the order of their ends, the newest last.
    order: VecDeque<ProcessKey>,
}

impl EndedLog {
    /// Records that a target's process has ended.
    pub(super) fn insert(&mut self, target: &TargetSpec, era: u64) {
        let key = key_of(target);
        self.remove(target);
        if self.order.len() >= MAX_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.eras.remove(&oldest);
            }
        }
        self.eras.insert(key.clone(), era);
        self.order.push_back(key);
    }

    /// Removes a process that turned out to be alive.
    pub(super) fn remove(&mut self, target: &TargetSpec) {
        let key = key_of(target);
        if self.eras.remove(&key).is_some() {
            self.order.retain(|other| *other != key);
        }
    }

    /// Returns whether a target's process has ended.
    pub(super) fn contains(&self, target: &TargetSpec) -> bool {
        self.eras.contains_key(&key_of(target))
    }

    /// Returns whether a target's process ended before an era.
    pub(super) fn ended_before(&self, target: &TargetSpec, era: u64) -> bool {
        let ended_in = self.eras.get(&key_of(target));
        ended_in.is_some_and(|ended_in| *ended_in < era)
    }
}

fn key_of(target: &TargetSpec) -> ProcessKey {
    (target.id.clone(), target.process_start)
}
