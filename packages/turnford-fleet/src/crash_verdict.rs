//! Assessment of requests by the crashes recorded under their keys.

use std::collections::BTreeSet;
use std::time::Duration;

use turnford_policy::RequestDigest;

use crate::crash::RETENTION;
use crate::crash_entry::CrashEntry;
use crate::crash_entry::CrashRecord;
use crate::crash_keys::CrashKey;
use crate::crash_keys::CrashKeys;
use crate::crash_update::TargetProcess;
use crate::crash_update::STARTED_SCORE;
use crate::CrashTable;
use crate::Moment;

/// Score at which a request is refused: two crashes during trials that had started to run. One is
/// not enough, because a request that crashes targets may run next to the trial if it was sent
/// there before it became a suspect.
pub(crate) const REFUSAL_SCORE: u32 = 4;

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

impl CrashTable {
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
    pub(crate) fn is_ambiguous(
        &self,
        digest: &RequestDigest,
        crash: &CrashRecord,
        keys: &CrashKeys,
    ) -> bool {
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
    pub(crate) fn is_correlated(&self, digest: &RequestDigest, crash: &CrashRecord) -> bool {
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
}
