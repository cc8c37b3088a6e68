//! Which target was last thought to hold a prefix.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::PrefixHash;
use crate::TargetId;

/// Prefixes remembered in one pool.
const PREFIX_LIMIT: usize = 8_192;

/// Last known holder of each prefix. It is a hint: the holder's own view says whether it still
/// holds.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: HashMap<PrefixHash, TargetId>,
    order: VecDeque<PrefixHash>,
}

impl PrefixIndex {
    /// Notes a holder, dropping the oldest prefix beyond the bound.
    pub(crate) fn note(&mut self, prefix: PrefixHash, target: &TargetId) {
        if self.holders.insert(prefix, target.clone()).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > PREFIX_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Returns the last known holder.
    pub(crate) fn get(&self, prefix: PrefixHash) -> Option<&TargetId> {
        self.holders.get(&prefix)
    }
}
