//! Which target keeps which part of a prompt.
//!
//! All nodes agree without a word: a prompt's most shared part has a few targets, by rendezvous
//! hashing, and the part that is the request's session or subject has one of these.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::TargetId;

use super::PromptSegment;

/// One in so many targets keeps a prompt's most shared part.
const SHARED_PART: usize = 4;

/// Least number of targets that keep a prompt's most shared part, so that one can fail.
const LEAST_SHARED: usize = 2;

/// The targets that should keep the parts of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptAffinity {
    /// Targets in the order in which they should take the request.
    order: Vec<TargetId>,
}

impl PromptAffinity {
    /// Finds the home of a prompt among these targets.
    pub fn new<'a>(parts: &[PromptSegment], targets: impl Iterator<Item = &'a TargetId>) -> Self {
        let Some((_, kept)) = parts.split_last() else {
            return Self::default();
        };
        let (Some(first), Some(last)) = (kept.first(), kept.last()) else {
            return Self::default();
        };
        let mut all: Vec<&TargetId> = targets.collect();
        let count = (all.len() / SHARED_PART).max(LEAST_SHARED).min(all.len());
        all.sort_by_key(|target| std::cmp::Reverse(weight(first.id, target)));
        let mut order: Vec<TargetId> = all[..count].iter().map(|id| (*id).clone()).collect();
        order.sort_by_key(|target| std::cmp::Reverse(weight(last.id, target)));
        Self { order }
    }

    /// Tells whether a target is the one that the request should go to.
    pub fn is_preferred(&self, target: &TargetId) -> bool {
        self.order.first() == Some(target)
    }

    /// Returns the target that the request should go to.
    pub fn preferred(&self) -> Option<&TargetId> {
        self.order.first()
    }
}

fn weight(part: u64, target: &TargetId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(part);
    hasher.write(target.as_bytes());
    hasher.finish()
}
