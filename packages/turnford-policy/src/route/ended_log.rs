//! Processes of targets that ended.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::TargetId;

use super::config::ProcessStart;
use super::TargetSpec;

/// Processes that are remembered: more than end in the seconds by which a copy of the store is older, at
/// the size of some thousand targets.
const GONE_LIMIT: usize = 1024;

/// A process: its target's id and its start.
type ProcessKey = (TargetId, ProcessStart);

/// The processes that ended last, with the era of the store that told.
#[derive(Clone, Debug, Default)]
pub(super) struct GoneLog {
    eras: BTreeMap<ProcessKey, u64>,
    /// The same in the order of their ends, the newest last.
    order: VecDeque<ProcessKey>,
}

impl GoneLog {
    /// Notes that a target's process ended.
    pub(super) fn note(&mut self, target: &TargetSpec, era: u64) {
        let key = key_of(target);
        self.forget(target);
        if self.order.len() >= GONE_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.eras.remove(&oldest);
            }
        }
        self.eras.insert(key.clone(), era);
        self.order.push_back(key);
    }

    /// Forgets a process that showed itself alive.
    pub(super) fn forget(&mut self, target: &TargetSpec) {
        let key = key_of(target);
        if self.eras.remove(&key).is_some() {
            self.order.retain(|other| *other != key);
        }
    }

    /// Tells whether a target's process ended.
    pub(super) fn has(&self, target: &TargetSpec) -> bool {
        self.eras.contains_key(&key_of(target))
    }

    /// Tells whether it ended before an era.
    pub(super) fn has_before(&self, target: &TargetSpec, era: u64) -> bool {
        let told = self.eras.get(&key_of(target));
        told.is_some_and(|told| *told < era)
    }
}

fn key_of(target: &TargetSpec) -> ProcessKey {
    (target.id.clone(), target.process_start)
}
