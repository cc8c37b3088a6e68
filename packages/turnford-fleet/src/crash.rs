//! Fleet-wide record of requests during which targets crashed.
//!
//! A request that crashes its targets is retried on any node and under a different id. Crashes are
//! therefore shared with all nodes, keyed by a digest of the request's content, and by the prompt
//! segments that it shares with other requests ([`CrashKeys`]): one of these may be what crashes
//! targets. Every request that ran on a target when it crashed is a suspect. Suspects run one at a time
//! ([`TrialTable`](crate::TrialTable)), because only then does a crash identify its cause. A
//! suspect that succeeds is cleared; a suspect whose targets crash during its trials is refused.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use turnford_policy::RequestDigest;

use crate::crash_entry::CrashEntry;
use crate::crash_entry::CrashRecord;
use crate::crash_keys::CrashKeys;
use crate::crash_update::CrashEvent;
use crate::crash_update::CrashPart;
use crate::crash_update::CrashUpdate;
use crate::crash_update::TargetProcess;
use crate::crash_verdict::REFUSAL_SCORE;
use crate::update_memory::UpdateMemory;
use crate::Moment;

/// Time after its last crash for which a request is remembered. Longer than the longest refusal.
pub(crate) const RETENTION: Duration = Duration::from_secs(2 * 3600);

/// Maximum number of remembered requests. If it is exceeded, the request with the lowest score is
/// evicted, then the one with the fewest crashes, then the one with the oldest crash.
const MAX_ENTRIES: usize = 1024;

/// Maximum number of crashes kept per request, enough for the longest refusal.
const MAX_CRASHES_PER_REQUEST: usize = 6;

/// Maximum number of updates sent to a node with a different set of crashes. The omitted ones are
/// those that would be evicted first.
const MAX_SNAPSHOT_UPDATES: usize = 1024;

/// All requests during which targets crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    pub(crate) entries: BTreeMap<RequestDigest, CrashEntry>,
    /// Target processes that crashed during a trial, with the request on trial.
    pub(crate) trial_crashes: HashMap<TargetProcess, RequestDigest>,
    seen: UpdateMemory,
}

impl CrashTable {
    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies an update. Returns false if it was already known, also if it has been evicted since, or is not
    /// relevant enough to be kept.
    pub fn apply(&mut self, now: Moment, update: &CrashUpdate) -> bool {
        let digest = RequestDigest(update.digest);
        let occurred_at = now.saturating_sub(Duration::from_millis(u64::from(update.age_ms)));
        match &update.event {
            CrashEvent::Crashed {
                target,
                born,
                part,
                is_cleared,
            } => {
                let crash = CrashRecord {
                    process: (target.clone(), *born),
                    crashed_at: occurred_at,
                    part: *part,
                    is_cleared: *is_cleared,
                };
                self.record_crash(now, digest, crash)
            }
            CrashEvent::EndedWell => self.record_success(digest, occurred_at),
        }
    }

    fn record_crash(&mut self, now: Moment, digest: RequestDigest, mut crash: CrashRecord) -> bool {
        if now.saturating_sub(crash.crashed_at) >= RETENTION {
            return false;
        }
        let is_new = self.seen.insert(&digest, &crash);
        let entry = self.entries.entry(digest).or_default();
        crash.is_cleared |= entry
            .succeeded_at
            .is_some_and(|ended| ended >= crash.crashed_at);
        if crash.part.is_trial() && !crash.is_cleared {
            self.trial_crashes.insert(crash.process.clone(), digest);
        }
        let mut known = entry.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.process == crash.process) {
            let old = (known.part, known.is_cleared);
            known.part = known.part.max(crash.part);
            known.is_cleared |= crash.is_cleared;
            return old != (known.part, known.is_cleared);
        }
        if entry.crashes.len() >= MAX_CRASHES_PER_REQUEST && !entry.evict_for(&crash) {
            return false;
        }
        entry.crashes.push(crash);
        self.evict(now);
        is_new && self.entries.contains_key(&digest)
    }

    /// Records that a request succeeded, which clears all of its earlier crashes. Returns true if it
    /// cleared one, or is the first known success.
    fn record_success(&mut self, digest: RequestDigest, ended_at: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let is_first = entry.succeeded_at.is_none();
        entry.succeeded_at = entry.succeeded_at.max(Some(ended_at));
        let crashes = entry.crashes.iter_mut();
        let open = crashes.filter(|crash| !crash.is_cleared && crash.crashed_at <= ended_at);
        let cleared = open.map(|crash| crash.is_cleared = true).count();
        if cleared > 0 {
            self.trial_crashes.retain(|_, on_trial| *on_trial != digest);
        }
        cleared > 0 || is_first
    }

    /// Returns the target processes that crashed during a request, with the time since each crash.
    pub fn crashes(
        &self,
        now: Moment,
        digest: &RequestDigest,
    ) -> impl Iterator<Item = (&TargetProcess, Duration)> {
        let entry = self.entries.get(digest);
        let crashes = entry.into_iter().flat_map(CrashEntry::open_crashes);
        crashes.map(move |crash| (&crash.process, now.saturating_sub(crash.crashed_at)))
    }

    /// Returns the updates about a request for nodes that do not know the other requests. Without
    /// them, a crash during a trial that others may have caused counts like any shared crash.
    pub fn updates_for(&self, now: Moment, digest: &RequestDigest) -> Vec<CrashUpdate> {
        let entry = self.entries.get(digest);
        let crashes = entry.into_iter().flat_map(CrashEntry::open_crashes);
        let updates = crashes.map(|crash| {
            let keys = CrashKeys::of_request(*digest);
            let is_doubtful =
                self.is_correlated(digest, crash) || self.is_ambiguous(digest, crash, &keys);
            let part = if is_doubtful {
                CrashPart::Shared
            } else {
                crash.part
            };
            let reported = CrashRecord {
                part,
                ..crash.clone()
            };
            reported.update(now, digest)
        });
        let vouching = entry.and_then(|entry| entry.vouching_update(now, digest));
        updates.chain(vouching).collect()
    }

    /// Returns the number of requests whose score reaches the refusal threshold.
    pub fn refused_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.score() >= REFUSAL_SCORE)
            .count()
    }

    /// Returns a checksum over all crashes, equal on nodes that know the same crashes.
    pub fn checksum(&self) -> u64 {
        let mut sum = 0_u64;
        for (digest, entry) in &self.entries {
            for crash in &entry.crashes {
                let mut hasher = SipHasher13::new();
                hasher.write(&digest.0);
                hasher.write(crash.process.0.as_bytes());
                hasher.write_u64(crash.process.1);
                hasher.write_u8(crash.part as u8);
                hasher.write_u8(u8::from(crash.is_cleared));
                sum = sum.wrapping_add(hasher.finish());
            }
        }
        sum
    }

    /// Returns all crashes as updates for another node, the most relevant first.
    pub fn snapshot(&self, now: Moment) -> Vec<CrashUpdate> {
        let mut entries: Vec<(&RequestDigest, &CrashEntry)> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.priority()));
        let updates = entries.into_iter().flat_map(|(digest, entry)| {
            let crashes = entry.crashes.iter();
            let crashes = crashes.map(move |crash| crash.update(now, digest));
            crashes.chain(entry.vouching_update(now, digest))
        });
        updates.take(MAX_SNAPSHOT_UPDATES).collect()
    }

    /// If the table is too large, removes outdated requests and then the least relevant ones.
    fn evict(&mut self, now: Moment) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let is_fresh = |entry: &CrashEntry| now.saturating_sub(entry.last_crash()) < RETENTION;
        self.entries.retain(|_, entry| is_fresh(entry));
        while self.entries.len() > MAX_ENTRIES {
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.priority());
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                break;
            };
            self.entries.remove(&digest);
        }
        let entries = &self.entries;
        self.trial_crashes
            .retain(|_, digest| entries.contains_key(digest));
    }
}
