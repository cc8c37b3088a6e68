//! Urgent news that every node passes on once: configuration changes and leaving targets.
//!
//! A node that hears something new tells a few others at once. What gets lost is found later: a
//! configuration gap by the version that every probe carries, a leaving target by the VM list.

use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ConfigChange;

/// Nodes that each node tells. News reaches nearly all of a large fleet so; the others find the gap.
pub const RUMOR_FANOUT: usize = 3;

/// News remembered, so that each is passed on once.
const SEEN_LIMIT: usize = 1024;

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub enum Rumor {
    /// A configuration object changed.
    Config(ConfigChange),
    /// A target leaves. The count tells one leave from a later one of the same name.
    Leaving {
        /// Service of the target.
        service: String,
        /// Name of the target.
        target: String,
        /// Random number of the first node that saw it.
        event: u64,
    },
}

/// News that this node has seen.
#[derive(Debug, Default)]
pub struct RumorTable {
    seen: VecDeque<u64>,
}

impl RumorTable {
    /// Returns those of `rumors` that are new here, which are to be acted on and passed on.
    pub fn take_new(&mut self, rumors: Vec<Rumor>) -> Vec<Rumor> {
        rumors
            .into_iter()
            .filter(|rumor| self.note(rumor))
            .collect()
    }

    fn note(&mut self, rumor: &Rumor) -> bool {
        let mut hasher = SipHasher13::new();
        rumor.hash(&mut hasher);
        let sum = hasher.finish();
        if self.seen.contains(&sum) {
            return false;
        }
        self.seen.push_back(sum);
        if self.seen.len() > SEEN_LIMIT {
            self.seen.pop_front();
        }
        true
    }
}
