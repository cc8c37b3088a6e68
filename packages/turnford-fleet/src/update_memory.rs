//! Updates that a node has seen, also those that it no longer keeps.

use std::collections::HashSet;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use turnford_policy::RequestDigest;

use crate::crash_entry::CrashRecord;

/// Number of updates after which the oldest ones are forgotten: many more than a crash of a group of targets causes,
/// and than nodes exchange in the time for which an update is on its way.
const MAX_UPDATES: usize = 8192;

/// Recent crash updates. A node passes an update on once. If it took one that it has evicted for a new one, nodes
/// whose tables are full would pass it on to each other without end.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateMemory {
    recent: HashSet<u64>,
    older: HashSet<u64>,
}

impl UpdateMemory {
    /// Records an update. Returns whether it is new.
    pub(crate) fn insert(&mut self, digest: &RequestDigest, crash: &CrashRecord) -> bool {
        let mut hasher = SipHasher13::new();
        hasher.write(&digest.0);
        hasher.write(crash.process.0.as_bytes());
        hasher.write_u64(crash.process.1);
        hasher.write_u8(crash.part as u8);
        hasher.write_u8(u8::from(crash.is_cleared));
        let sum = hasher.finish();
        if self.older.contains(&sum) || !self.recent.insert(sum) {
            return false;
        }
        if self.recent.len() >= MAX_UPDATES / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        true
    }
}
