//! Which target keeps which part of a prompt.
//!
//! All nodes agree without a word: a prompt's most shared part has a few targets, by rendezvous
//! hashing, and the part that is the request's session or subject has one of these.

use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::Moment;
use crate::TargetId;

use super::PromptPart;

/// Time after its last use for which a part is taken to be kept. Engines give up those unused the
/// longest, and with the usual prompts their memory holds several seconds of traffic.
const KEEP_SPAN: Duration = Duration::from_secs(30);

/// Entries at which old ones are looked for and dropped.
const SWEEP_SIZE: usize = 8192;

/// One in so many targets keeps a prompt's most shared part.
const SHARED_PART: usize = 4;

/// Least number of targets that keep a prompt's most shared part, so that one can fail.
const LEAST_SHARED: usize = 2;

/// The targets that should keep the parts of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptHome {
    /// Targets of the most shared part.
    shared: Vec<TargetId>,
    /// Targets in the order in which they should take the request.
    order: Vec<TargetId>,
}

impl PromptHome {
    /// Finds the home of a prompt among these targets.
    pub fn new<'a>(parts: &[PromptPart], targets: impl Iterator<Item = &'a TargetId>) -> Self {
        let Some((_, kept)) = parts.split_last() else {
            return Self::default();
        };
        let (Some(first), Some(last)) = (kept.first(), kept.last()) else {
            return Self::default();
        };
        let mut all: Vec<&TargetId> = targets.collect();
        let count = (all.len() / SHARED_PART).max(LEAST_SHARED).min(all.len());
        all.sort_by_key(|target| std::cmp::Reverse(weight(first.id, target)));
        let shared: Vec<TargetId> = all[..count].iter().map(|id| (*id).clone()).collect();
        let mut order = shared.clone();
        order.sort_by_key(|target| std::cmp::Reverse(weight(last.id, target)));
        Self { shared, order }
    }

    /// Returns the tokens that a target has to read anew if every request goes home.
    pub fn missing(&self, target: &TargetId, parts: &[PromptPart]) -> u64 {
        let Some((own, kept)) = parts.split_last() else {
            return 0;
        };
        let all: u64 = kept.iter().map(|part| part.tokens).sum();
        let first = kept.first().map_or(0, |part| part.tokens);
        let missing = if self.order.first() == Some(target) {
            0
        } else if self.shared.contains(target) {
            all - first
        } else {
            all
        };
        missing + own.tokens
    }
}

fn weight(part: u64, target: &TargetId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(part);
    hasher.write(target.as_bytes());
    hasher.finish()
}

/// What this node knows of the prompts that targets keep, from what it sent there.
#[derive(Debug, Default)]
pub struct PromptCache {
    seen: HashMap<(TargetId, u64), Moment>,
}

impl PromptCache {
    /// Notes that a target reads these parts now.
    pub fn note(&mut self, now: Moment, target: &TargetId, parts: &[PromptPart]) {
        if self.seen.len() >= SWEEP_SIZE {
            self.seen
                .retain(|_, at| now.saturating_sub(*at) < KEEP_SPAN);
        }
        for part in parts {
            self.seen.insert((target.clone(), part.id), now);
        }
    }

    /// Returns the tokens that a target has to read anew. A part counts as kept only where every
    /// part before it is.
    pub fn missing(&self, now: Moment, target: &TargetId, parts: &[PromptPart]) -> u64 {
        let mut kept = true;
        let mut missing = 0;
        for part in parts {
            let at = self.seen.get(&(target.clone(), part.id));
            kept = kept && at.is_some_and(|at| now.saturating_sub(*at) < KEEP_SPAN);
            if !kept {
                missing += part.tokens;
            }
        }
        missing
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: &TargetId) {
        self.seen.retain(|(other, _), _| other != target);
    }
}
