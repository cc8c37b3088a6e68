//! Index of the targets that cache prompt prefixes.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::PrefixHash;
use crate::TargetId;

/// Maximum number of prefixes in the index of one pool.
const PREFIX_LIMIT: usize = 8_192;

/// Last known target that caches each prefix. Entries are hints: the view of the target records
/// whether the prefix is still cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: HashMap<PrefixHash, TargetId>,
    insertion_order: VecDeque<PrefixHash>,
}

impl PrefixIndex {
    /// Records the target that caches a prefix. Evicts the oldest prefix beyond the limit.
    pub(crate) fn record(&mut self, prefix: PrefixHash, target: &TargetId) {
        if self.holders.insert(prefix, target.clone()).is_some() {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > PREFIX_LIMIT {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Returns the last known target that caches a prefix.
    pub(crate) fn get(&self, prefix: PrefixHash) -> Option<&TargetId> {
        self.holders.get(&prefix)
    }
}
