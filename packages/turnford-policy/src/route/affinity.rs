//! Affinity of prompts to the targets that cache their segments.
//!
//! All nodes agree without communication: rendezvous hashing gives the most widely shared segment a
//! few targets, and one of these to the segment of the session or subject.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::TargetId;

use super::PromptSegment;

/// The most widely shared segment of a prompt is cached by one in this number of targets.
const TARGETS_PER_REPLICA: usize = 4;

/// Minimum number of targets that cache the most widely shared segment, so that one of them may
/// fail.
const MIN_REPLICAS: usize = 2;

/// The targets that should cache the segments of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptAffinity {
    /// Targets in order of preference.
    ranked: Vec<TargetId>,
}

impl PromptAffinity {
    /// Computes the affinity of a prompt among these targets.
    pub fn new<'a>(
        segments: &[PromptSegment],
        targets: impl Iterator<Item = &'a TargetId>,
    ) -> Self {
        let Some((_, cached)) = segments.split_last() else {
            return Self::default();
        };
        let (Some(first), Some(last)) = (cached.first(), cached.last()) else {
            return Self::default();
        };
        let mut all: Vec<&TargetId> = targets.collect();
        let count = (all.len() / TARGETS_PER_REPLICA)
            .max(MIN_REPLICAS)
            .min(all.len());
        all.sort_by_key(|target| std::cmp::Reverse(weight(first.id, target)));
        let mut ranked: Vec<TargetId> = all[..count].iter().map(|id| (*id).clone()).collect();
        ranked.sort_by_key(|target| std::cmp::Reverse(weight(last.id, target)));
        Self { ranked }
    }

    /// Returns whether a target is the preferred one.
    pub fn is_preferred(&self, target: &TargetId) -> bool {
        self.ranked.first() == Some(target)
    }

    /// Returns the preferred target.
    pub fn preferred(&self) -> Option<&TargetId> {
        self.ranked.first()
    }
}

fn weight(segment: u64, target: &TargetId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(segment);
    hasher.write(target.as_bytes());
    hasher.finish()
}
