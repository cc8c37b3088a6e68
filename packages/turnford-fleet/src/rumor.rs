//! Rumors that every node forwards once: configuration changes and leaving targets.
//!
//! A node that learns something new immediately tells a few others. Lost rumors are recovered
//! later: a configuration gap by the version in every probe, a leaving target by the VM list.

use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ConfigChange;

/// Number of nodes to which each node forwards a rumor. At this fan-out rumors reach nearly all
/// nodes of a large fleet; the others detect the gap.
pub const RUMOR_FANOUT: usize = 3;

/// Number of rumors remembered, so that each is forwarded only once.
const MAX_SEEN: usize = 1024;

/// A rumor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub enum Rumor {
    /// A configuration object changed.
    Config(ConfigChange),
    /// A target is leaving.
    Leaving {
        /// Service of the target.
        service: String,
        /// Name of the target.
        target: String,
        /// Random number chosen by the first node that noticed. Distinguishes successive departures
        /// of targets with the same name.
        event: u64,
    },
}

/// Rumors that this node has seen.
#[derive(Debug, Default)]
pub struct RumorTable {
    seen: VecDeque<u64>,
}

impl RumorTable {
    /// Returns the rumors that are new to this node. The caller handles and forwards them.
    pub fn take_new(&mut self, rumors: Vec<Rumor>) -> Vec<Rumor> {
        rumors
            .into_iter()
            .filter(|rumor| self.insert(rumor))
            .collect()
    }

    fn insert(&mut self, rumor: &Rumor) -> bool {
        let mut hasher = SipHasher13::new();
        rumor.hash(&mut hasher);
        let hash = hasher.finish();
        if self.seen.contains(&hash) {
            return false;
        }
        self.seen.push_back(hash);
        if self.seen.len() > MAX_SEEN {
            self.seen.pop_front();
        }
        true
    }
}
