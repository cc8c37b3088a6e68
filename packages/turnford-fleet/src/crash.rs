//! Requests under which targets crashed, as the whole fleet knows them.
//!
//! A request that crashes the targets which run it comes again at any node, under another id. Each
//! crash is therefore told to all nodes, by the digest of what the request asks for. A request that ran
//! at a target when it crashed is a suspect, as are its neighbours there, and suspects run one at a
//! time ([`TrialTable`](crate::TrialTable)): only so does a crash tell which of them it was. One
//! that ends well is cleared; one whose targets crash while it is on trial is refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use turnford_policy::RequestDigest;

use crate::crash_entry::CrashEntry;
use crate::crash_entry::CrashRecord;
use crate::crash_update::CrashEvent;
use crate::crash_update::CrashPart;
use crate::crash_update::CrashUpdate;
use crate::crash_update::TargetProcess;
use crate::crash_update::BEGUN_POINTS;
use crate::Moment;

/// Points after which a request is refused: two crashes on trial that it had begun. One is not
/// enough: a request that crashes targets, sent there before it was a suspect, may run beside it.
const POINT_LIMIT: u32 = 4;

/// Other targets that crash with one, after which the crash is put down to what they have in common.
/// Where halls lost power, innocent requests would be refused.
const WIDE_COUNT: usize = 2;

/// Time between such crashes: what the ways of the news differ by.
const WIDE_SPAN: Duration = Duration::from_millis(50);

/// Time for which such a request is refused; it doubles with each crash on trial after that. Long
/// enough that the probes, one after each such time, cost a target every hour in the end; short
/// enough for a request whose engines were repaired.
const REFUSAL_SPAN: Duration = Duration::from_secs(600);

/// Doublings of that time at most: an hour and twenty minutes.
const DOUBLING_LIMIT: u32 = 3;

/// Time after its last crash for which a request is remembered: longer than the longest refusal.
const MEMORY_SPAN: Duration = Duration::from_secs(2 * 3600);

/// Requests that are remembered. When a further one comes, the one with the fewest crashes goes, of
/// these the one whose last crash is the longest ago.
const ENTRY_LIMIT: usize = 1024;

/// Crashes that are kept of a request: enough for the longest refusal.
const CRASHES_KEPT: usize = 6;

/// News in the answer to a node that knows other crashes than this one. What is left out is what would
/// be forgotten first.
const SNAPSHOT_LIMIT: usize = 1024;

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing speaks against it.
    Clear,
    /// Targets crashed while they ran it, or it and others.
    Suspect {
        /// Whether it must not share a target with another suspect.
        is_alone: bool,
        /// Crashes that speak against it.
        crashes: usize,
        /// Those of them that happened while it was the only suspect there.
        trials: usize,
    },
    /// It crashes targets, and is refused until then.
    Refused(Moment),
}

/// All requests under which targets crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: BTreeMap<RequestDigest, CrashEntry>,
    /// Starts of targets that crashed under a request on trial.
    tried: HashMap<TargetProcess, RequestDigest>,
}

impl CrashTable {
    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes what happened to a request; false if it was known or no longer matters.
    pub fn apply(&mut self, now: Moment, news: &CrashUpdate) -> bool {
        let digest = RequestDigest(news.digest);
        let at = now.saturating_sub(Duration::from_millis(u64::from(news.age_ms)));
        match &news.event {
            CrashEvent::Crashed {
                target,
                born,
                part,
                is_cleared,
            } => {
                let crash = CrashRecord {
                    start: (target.clone(), *born),
                    at,
                    part: *part,
                    is_cleared: *is_cleared,
                };
                self.note_crash(now, digest, crash)
            }
            CrashEvent::EndedWell => self.note_end(digest, at),
        }
    }

    fn note_crash(&mut self, now: Moment, digest: RequestDigest, mut crash: CrashRecord) -> bool {
        if now.saturating_sub(crash.at) >= MEMORY_SPAN {
            return false;
        }
        let entry = self.entries.entry(digest).or_default();
        crash.is_cleared |= entry.ended_well.is_some_and(|ended| ended >= crash.at);
        if crash.part.is_trial() && !crash.is_cleared {
            self.tried.insert(crash.start.clone(), digest);
        }
        let mut known = entry.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.start == crash.start) {
            let old = (known.part, known.is_cleared);
            known.part = known.part.max(crash.part);
            known.is_cleared |= crash.is_cleared;
            return old != (known.part, known.is_cleared);
        }
        if entry.crashes.len() >= CRASHES_KEPT && !entry.make_room(&crash) {
            return false;
        }
        entry.crashes.push(crash);
        self.forget(now);
        true
    }

    /// Notes that a request ended well: no crash before that was its doing.
    fn note_end(&mut self, digest: RequestDigest, at: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        entry.ended_well = entry.ended_well.max(Some(at));
        let crashes = entry.crashes.iter_mut();
        let open = crashes.filter(|crash| !crash.is_cleared && crash.at <= at);
        let cleared = open.map(|crash| crash.is_cleared = true).count();
        if cleared > 0 {
            self.tried.retain(|_, tried| *tried != digest);
        }
        cleared > 0
    }

    /// Returns what is known of a request.
    pub fn verdict(&self, now: Moment, digest: &RequestDigest) -> CrashVerdict {
        let Some(entry) = self.entries.get(digest) else {
            return CrashVerdict::Clear;
        };
        let crashes = entry.open_crashes();
        let own = crashes.filter(|crash| self.counts(now, digest, entry, crash));
        let (mut count, mut trials, mut points, mut last) = (0, 0, 0, Moment::ZERO);
        for crash in own {
            count += 1;
            trials += usize::from(crash.part.is_trial());
            if crash.part.is_trial()
                && !self.is_wide(digest, crash)
                && !self.is_disputed(digest, crash)
            {
                points += crash.part.points();
            }
            last = last.max(crash.at);
        }
        if count == 0 {
            return CrashVerdict::Clear;
        }
        if points >= POINT_LIMIT {
            let doublings = (points - POINT_LIMIT) / BEGUN_POINTS;
            let until = last + REFUSAL_SPAN * 2_u32.pow(doublings.min(DOUBLING_LIMIT));
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

    /// Tells whether a crash speaks against a request: it is not too old, and no request against which
    /// more speaks was on trial at the target.
    fn counts(
        &self,
        now: Moment,
        digest: &RequestDigest,
        entry: &CrashEntry,
        crash: &CrashRecord,
    ) -> bool {
        if now.saturating_sub(crash.at) >= MEMORY_SPAN {
            return false;
        }
        let tried = self.tried.get(&crash.start);
        let tried = tried.filter(|tried| *tried != digest);
        let other = tried.and_then(|tried| self.entries.get(tried));
        crash.part.is_trial()
            || other
                .is_none_or(|other| other.open_crashes().count() <= entry.open_crashes().count())
    }

    /// Tells whether another request may have crashed the same target: it was on trial there too, as happens
    /// while the node that places for all changes, or it ran there unsuspected, and no fewer targets crashed
    /// under it.
    fn is_disputed(&self, digest: &RequestDigest, crash: &CrashRecord) -> bool {
        let own = self.entries.get(digest);
        let own = own.map_or(0, |entry| entry.open_crashes().count());
        let mut others = self.entries.iter().filter(|(other, _)| *other != digest);
        others.any(|(_, entry)| {
            let mut there = entry
                .open_crashes()
                .filter(|other| other.start == crash.start);
            there.any(|other| other.part.is_trial() || entry.open_crashes().count() >= own)
        })
    }

    /// Tells whether a target crashed together with others, where the request was not on trial: trials
    /// follow each other within milliseconds.
    fn is_wide(&self, digest: &RequestDigest, crash: &CrashRecord) -> bool {
        let near = self.entries.iter().flat_map(|(other, entry)| {
            let crashes = entry.crashes.iter();
            let near = crashes.filter(|near| near.at.abs_diff(crash.at) <= WIDE_SPAN);
            near.filter(move |near| other != digest || !near.part.is_trial())
        });
        let starts = near.map(|near| &near.start);
        let others: BTreeSet<&TargetProcess> =
            starts.filter(|start| **start != crash.start).collect();
        others.len() >= WIDE_COUNT
    }

    /// Returns the starts of targets that crashed under a request, with the time since.
    pub fn crashes(
        &self,
        now: Moment,
        digest: &RequestDigest,
    ) -> impl Iterator<Item = (&TargetProcess, Duration)> {
        let entry = self.entries.get(digest);
        let crashes = entry.into_iter().flat_map(CrashEntry::open_crashes);
        crashes.map(move |crash| (&crash.start, now.saturating_sub(crash.at)))
    }

    /// Returns what is to be known of a request by nodes that know of no other: a crash on trial that others
    /// may have caused tells no more than any crash.
    pub fn updates_for(&self, now: Moment, digest: &RequestDigest) -> Vec<CrashUpdate> {
        let entry = self.entries.get(digest);
        let crashes = entry.into_iter().flat_map(CrashEntry::open_crashes);
        let news = crashes.map(|crash| {
            let is_doubtful = self.is_wide(digest, crash) || self.is_disputed(digest, crash);
            let part = if is_doubtful {
                CrashPart::Shared
            } else {
                crash.part
            };
            let told = CrashRecord {
                part,
                ..crash.clone()
            };
            told.news(now, digest)
        });
        news.collect()
    }

    /// Returns the number of requests with as many crashes on trial as have one refused.
    pub fn refused_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.points() >= POINT_LIMIT)
            .count()
    }

    /// Returns a sum over all crashes; two nodes that know the same have the same.
    pub fn checksum(&self) -> u64 {
        let mut sum = 0_u64;
        for (digest, entry) in &self.entries {
            for crash in &entry.crashes {
                let mut hasher = SipHasher13::new();
                hasher.write(&digest.0);
                hasher.write(crash.start.0.as_bytes());
                hasher.write_u64(crash.start.1);
                hasher.write_u8(crash.part as u8);
                hasher.write_u8(u8::from(crash.is_cleared));
                sum = sum.wrapping_add(hasher.finish());
            }
        }
        sum
    }

    /// Returns all crashes, as another node may be told, those that matter most first.
    pub fn snapshot(&self, now: Moment) -> Vec<CrashUpdate> {
        let mut entries: Vec<(&RequestDigest, &CrashEntry)> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.weight()));
        let crashes = entries.into_iter().flat_map(|(digest, entry)| {
            let crashes = entry.crashes.iter();
            crashes.map(move |crash| (digest, crash))
        });
        let news = crashes.map(|(digest, crash)| crash.news(now, digest));
        news.take(SNAPSHOT_LIMIT).collect()
    }

    /// Forgets what is too old, and what matters least where there is too much.
    fn forget(&mut self, now: Moment) {
        if self.entries.len() <= ENTRY_LIMIT {
            return;
        }
        let is_fresh = |entry: &CrashEntry| now.saturating_sub(entry.last()) < MEMORY_SPAN;
        self.entries.retain(|_, entry| is_fresh(entry));
        while self.entries.len() > ENTRY_LIMIT {
            let least = self.entries.iter().min_by_key(|(_, entry)| entry.weight());
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                break;
            };
            self.entries.remove(&digest);
        }
        let entries = &self.entries;
        self.tried.retain(|_, digest| entries.contains_key(digest));
    }
}
