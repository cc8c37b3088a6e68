//! Fleet-wide record of requests during which targets crashed.
//!
//! A request that crashes its targets is retried on any node and under a different id. Crashes are
//! therefore shared with all nodes, keyed by a digest of the request's content, and by the prompt
//! segments that it shares with other requests ([`CrashKeys`]): one of these may be what crashes
//! targets. Every request that ran on a target when it crashed is a suspect. Suspects run one at a time
//! ([`TrialTable`](crate::TrialTable)), because only then does a crash identify its cause. A
//! suspect that succeeds is cleared; a suspect whose targets crash during its trials is refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use turnford_policy::RequestDigest;

use crate::crash_entry::CrashEntry;
use crate::crash_entry::CrashRecord;
use crate::crash_keys::CrashKey;
use crate::crash_keys::CrashKeys;
use crate::crash_update::CrashEvent;
use crate::crash_update::CrashPart;
use crate::crash_update::CrashUpdate;
use crate::crash_update::TargetProcess;
use crate::crash_update::STARTED_SCORE;
use crate::Moment;

/// Score at which a request is refused: two crashes during trials that had started to run. One is
/// not enough, because a request that crashes targets may run next to the trial if it was sent
/// there before it became a suspect.
const REFUSAL_SCORE: u32 = 4;

/// Score at which a request is refused that ended well not long before its crashes. What crashes targets
/// does so always, so another request is more likely to have caused them.
const VOUCHED_REFUSAL_SCORE: u32 = 8;

/// Number of other targets whose simultaneous crash indicates a common cause. Without this rule, a
/// power failure in a hall would get innocent requests refused.
const CORRELATED_TARGETS: usize = 2;

/// Maximum time between correlated crashes. Covers differences in propagation delay.
const CORRELATION_WINDOW: Duration = Duration::from_millis(50);

/// Initial duration of a refusal, doubled with each further crash during a trial. One probe is
/// admitted after each refusal, so at the maximum duration a harmful request crashes about one
/// target per hour; a request whose engines were repaired is admitted again in reasonable time.
const REFUSAL_DURATION: Duration = Duration::from_secs(600);

/// Maximum number of doublings, for a refusal of 80 minutes.
const MAX_DOUBLINGS: u32 = 3;

/// Time after its last crash for which a request is remembered. Longer than the longest refusal.
const RETENTION: Duration = Duration::from_secs(2 * 3600);

/// Maximum number of remembered requests. If it is exceeded, the request with the lowest score is
/// evicted, then the one with the fewest crashes, then the one with the oldest crash.
const MAX_ENTRIES: usize = 1024;

/// Maximum number of crashes kept per request, enough for the longest refusal.
const MAX_CRASHES_PER_REQUEST: usize = 6;

/// Maximum number of updates sent to a node with a different set of crashes. The omitted ones are
/// those that would be evicted first.
const MAX_SNAPSHOT_UPDATES: usize = 1024;

/// Assessment of a request before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No crash counts against the request.
    Clear,
    /// Targets crashed while running the request, possibly together with others.
    Suspect {
        /// Whether the request must not share a target with another suspect.
        is_alone: bool,
        /// Number of crashes that count against the request.
        crashes: usize,
        /// Number of those crashes during which it was the only suspect on the target.
        trials: usize,
    },
    /// The request crashes targets and is refused until this time.
    Refused(Moment),
}

/// Number of crashes that count against a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// All of them.
    pub crashes: usize,
    /// Those of a target on which it was the only suspect.
    pub trials: usize,
}

/// A request that is refused or on trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The verdict, which is not [`CrashVerdict::Clear`].
    pub verdict: CrashVerdict,
    /// The key that the verdict is about; of several, the first.
    pub key: CrashKey,
    /// Suspected keys. A trial of the request tests all of them.
    pub members: Vec<(RequestDigest, CrashCounts)>,
}

/// All requests during which targets crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: BTreeMap<RequestDigest, CrashEntry>,
    /// Target processes that crashed during a trial, with the request on trial.
    trial_crashes: HashMap<TargetProcess, RequestDigest>,
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

    /// Applies an update. Returns false if it was already known or is no longer relevant.
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
        true
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

    /// Returns the keys that a trial of a request tests: those suspected, or else the request itself.
    pub fn tested(&self, now: Moment, keys: &CrashKeys) -> Vec<RequestDigest> {
        let suspect = self.suspect(now, keys);
        let members = suspect.into_iter().flat_map(|suspect| suspect.members);
        let tested: Vec<RequestDigest> = members.map(|(digest, _)| digest).collect();
        if tested.is_empty() {
            return vec![keys.request];
        }
        tested
    }

    /// Returns the assessment of a request by its digest alone.
    pub fn verdict(&self, now: Moment, digest: &RequestDigest) -> CrashVerdict {
        self.verdict_within(now, digest, &CrashKeys::of_request(*digest))
    }

    /// Returns the assessment of one key of a request with the given keys.
    fn verdict_within(
        &self,
        now: Moment,
        digest: &RequestDigest,
        keys: &CrashKeys,
    ) -> CrashVerdict {
        let Some(entry) = self.entries.get(digest) else {
            return CrashVerdict::Clear;
        };
        let crashes = entry.open_crashes();
        let own = crashes.filter(|crash| self.counts_against(now, digest, entry, crash));
        let (mut count, mut trials, mut score, mut last_crash) = (0, 0, 0, Moment::ZERO);
        for crash in own {
            count += 1;
            trials += usize::from(crash.part.is_trial());
            if crash.part.is_trial()
                && !self.is_correlated(digest, crash)
                && !self.is_ambiguous(digest, crash, keys)
            {
                score += crash.part.score();
            }
            last_crash = last_crash.max(crash.crashed_at);
        }
        if count == 0 {
            return CrashVerdict::Clear;
        }
        let needed = if entry.is_vouched() {
            VOUCHED_REFUSAL_SCORE
        } else {
            REFUSAL_SCORE
        };
        if score >= needed {
            let doublings = (score - needed) / STARTED_SCORE;
            let until = last_crash + REFUSAL_DURATION * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
            if now < until {
                return CrashVerdict::Refused(until);
            }
        }
        CrashVerdict::Suspect {
            is_alone: count > 1,
            crashes: count,
            trials,
        }
    }

    /// Returns what a request is refused or on trial for, if anything.
    pub fn suspect(&self, now: Moment, keys: &CrashKeys) -> Option<CrashSuspect> {
        if self.entries.is_empty() {
            return None;
        }
        let mut suspect: Option<CrashSuspect> = None;
        for key in keys.iter() {
            let verdict = self.verdict_within(now, &key.digest, keys);
            let (is_alone, counts) = match verdict {
                CrashVerdict::Clear => continue,
                CrashVerdict::Refused(_) => {
                    let members = vec![(key.digest, CrashCounts::default())];
                    return Some(CrashSuspect {
                        verdict,
                        key,
                        members,
                    });
                }
                CrashVerdict::Suspect { crashes, .. } if crashes < key.min_crashes() => continue,
                CrashVerdict::Suspect {
                    is_alone,
                    crashes,
                    trials,
                } => (is_alone, CrashCounts { crashes, trials }),
            };
            let suspect = suspect.get_or_insert_with(|| CrashSuspect {
                verdict,
                key,
                members: Vec::new(),
            });
            suspect.members.push((key.digest, counts));
            if is_alone {
                suspect.verdict = verdict;
            }
        }
        suspect
    }

    /// Returns whether a crash counts against a request: it must be recent, and no request with
    /// more crashes may have been on trial on the target.
    fn counts_against(
        &self,
        now: Moment,
        digest: &RequestDigest,
        entry: &CrashEntry,
        crash: &CrashRecord,
    ) -> bool {
        if now.saturating_sub(crash.crashed_at) >= RETENTION {
            return false;
        }
        let on_trial = self.trial_crashes.get(&crash.process);
        let on_trial = on_trial.filter(|on_trial| *on_trial != digest);
        let other = on_trial.and_then(|on_trial| self.entries.get(on_trial));
        crash.part.is_trial()
            || other
                .is_none_or(|other| other.open_crashes().count() <= entry.open_crashes().count())
    }

    /// Returns whether another request may have caused the same crash. Either it was on trial there
    /// as well, which happens while the placing node changes, or it ran there without being a
    /// suspect and was involved in at least as many crashes. One that ended well not long before is
    /// less likely to be the cause than one that did not. Another key of the same request makes no
    /// difference to that request.
    fn is_ambiguous(&self, digest: &RequestDigest, crash: &CrashRecord, keys: &CrashKeys) -> bool {
        let own = self.entries.get(digest);
        let is_vouched = own.is_some_and(CrashEntry::is_vouched);
        let own = own.map_or(0, |entry| entry.open_crashes().count());
        let others = self.entries.iter().filter(|(other, _)| *other != digest);
        let mut others = others.filter(|(other, _)| !keys.contains(other));
        others.any(|(_, entry)| {
            let mut there = entry
                .open_crashes()
                .filter(|other| other.process == crash.process);
            there.any(|other| match (is_vouched, entry.is_vouched()) {
                (false, true) => false,
                (true, false) => entry.open_crashes().count() > 1,
                _ => other.part.is_trial() || entry.open_crashes().count() >= own,
            })
        })
    }

    /// Returns whether a target crashed together with others on which the request was not on trial.
    /// Crashes during its own trials are ignored, since trials may follow each other within
    /// milliseconds.
    fn is_correlated(&self, digest: &RequestDigest, crash: &CrashRecord) -> bool {
        let nearby = self.entries.iter().flat_map(|(other, entry)| {
            let crashes = entry.crashes.iter();
            let nearby = crashes.filter(|nearby| {
                nearby.crashed_at.abs_diff(crash.crashed_at) <= CORRELATION_WINDOW
            });
            nearby.filter(move |nearby| other != digest || !nearby.part.is_trial())
        });
        let processes = nearby.map(|nearby| &nearby.process);
        let others: BTreeSet<&TargetProcess> = processes
            .filter(|process| **process != crash.process)
            .collect();
        others.len() >= CORRELATED_TARGETS
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
