//! Records of the service and software version that began each stream.
//!
//! A stream may be resumed at any node but only by the software version that began it. The node that
//! begins a stream records it at a few other nodes, so that the record survives that node.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher13 as SipHasher13x128;

use crate::Moment;

/// Identifies a stream by the account and the attempt that brought its first event.
pub type StreamKey = u128;

/// Identifies a service together with a software version.
pub type StreamOrigin = u64;

/// Maximum number of records in a table. The ones that expire first are dropped beyond it.
const MAX_RECORDS: usize = 50_000;

/// Returns the key of a stream.
pub fn stream_key(account: &str, attempt: &str) -> StreamKey {
    let mut hasher = SipHasher13x128::new();
    hasher.write_u64(account.len() as u64);
    hasher.write(account.as_bytes());
    hasher.write(attempt.as_bytes());
    hasher.finish128().as_u128()
}

/// Returns the origin of streams that a software version of a service begins.
pub fn stream_origin(service: &str, version: &str) -> StreamOrigin {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(service.len() as u64);
    hasher.write(service.as_bytes());
    hasher.write(version.as_bytes());
    hasher.finish()
}

/// Record of a stream as sent between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct StreamRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Origin of the stream.
    pub origin: StreamOrigin,
    /// Time for which the stream may be resumed, in milliseconds.
    pub lifetime_ms: u32,
}

/// What a node knows of a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum StreamLookup {
    /// The origin, and the time since it was recorded, in milliseconds.
    Recorded(StreamOrigin, u32),
    /// Attempts with the same id began streams of different origins.
    Conflicting,
    /// There is no record.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct StreamEntry {
    /// `None` if records of different origins were received.
    origin: Option<StreamOrigin>,
    recorded_at: Moment,
    expires_at: Moment,
}

/// The records that one node keeps.
#[derive(Clone, Debug, Default)]
pub struct StreamTable {
    entries: HashMap<StreamKey, StreamEntry>,
    expiries: BTreeSet<(Moment, StreamKey)>,
}

impl StreamTable {
    /// Inserts a record, or extends the known one.
    pub fn insert(&mut self, now: Moment, record: &StreamRecord) {
        self.remove_expired(now);
        let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
        let mut entry = StreamEntry {
            origin: Some(record.origin),
            recorded_at: now,
            expires_at: now + lifetime,
        };
        if let Some(known) = self.entries.get(&record.key) {
            if known.origin != entry.origin {
                entry.origin = None;
            }
            entry.recorded_at = known.recorded_at;
            entry.expires_at = entry.expires_at.max(known.expires_at);
            self.expiries.remove(&(known.expires_at, record.key));
        }
        self.expiries.insert((entry.expires_at, record.key));
        self.entries.insert(record.key, entry);
        while self.entries.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    /// Returns what is known of a stream.
    pub fn lookup(&self, now: Moment, key: StreamKey) -> StreamLookup {
        let entry = self.entries.get(&key);
        let Some(entry) = entry.filter(|entry| entry.expires_at > now) else {
            return StreamLookup::Unknown;
        };
        let age = now.saturating_sub(entry.recorded_at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        entry.origin.map_or(StreamLookup::Conflicting, |origin| {
            StreamLookup::Recorded(origin, age_ms)
        })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.expiries.pop_first() {
            self.entries.remove(&key);
        }
    }
}
