//! Crashes of targets during one request.

use std::time::Duration;

use turnford_policy::RequestDigest;

use crate::crash_update::CrashEvent;
use crate::crash_update::CrashPart;
use crate::crash_update::CrashUpdate;
use crate::crash_update::TargetProcess;
use crate::success_memory::SUCCESS_RETENTION;
use crate::Moment;

/// A crash of a target while it ran a request.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    pub(crate) process: TargetProcess,
    pub(crate) crashed_at: Moment,
    pub(crate) part: CrashPart,
    /// Whether the request succeeded after this crash. Cleared crashes are kept, so that a node
    /// that missed the success does not report the crash again as if it counted.
    pub(crate) is_cleared: bool,
}

impl CrashRecord {
    /// Converts the crash to an update for other nodes.
    pub(crate) fn update(&self, now: Moment, digest: &RequestDigest) -> CrashUpdate {
        CrashUpdate {
            digest: digest.0,
            event: CrashEvent::Crashed {
                target: self.process.0.clone(),
                born: self.process.1,
                part: self.part,
                is_cleared: self.is_cleared,
            },
            age_ms: saturating_millis(now.saturating_sub(self.crashed_at)),
        }
    }
}

/// Crashes during one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashEntry {
    pub(crate) crashes: Vec<CrashRecord>,
    /// Time of the latest known success.
    pub(crate) succeeded_at: Option<Moment>,
}

impl CrashEntry {
    /// Returns the time of the last crash.
    pub(crate) fn last_crash(&self) -> Moment {
        let times = self.crashes.iter().map(|crash| crash.crashed_at);
        times.max().unwrap_or_default()
    }

    /// Returns the crashes that were not cleared by a later success.
    pub(crate) fn open_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Returns whether the request succeeded not long before the first crash that is not cleared.
    pub(crate) fn is_vouched(&self) -> bool {
        let first = self.open_crashes().map(|crash| crash.crashed_at).min();
        let success = self.succeeded_at.zip(first);
        success.is_some_and(|(success, first)| first < success + SUCCESS_RETENTION)
    }

    /// Returns the last success as an update for other nodes, if it vouches for the request.
    pub(crate) fn vouching_update(
        &self,
        now: Moment,
        digest: &RequestDigest,
    ) -> Option<CrashUpdate> {
        let success = self.succeeded_at.filter(|_| self.is_vouched())?;
        Some(CrashUpdate {
            digest: digest.0,
            event: CrashEvent::EndedWell,
            age_ms: saturating_millis(now.saturating_sub(success)),
        })
    }

    /// Returns the evidence against the request.
    pub(crate) fn score(&self) -> u32 {
        self.open_crashes().map(|crash| crash.part.score()).sum()
    }

    /// Evicts the least relevant crash to make room for a new one. Returns false if the new crash
    /// is the least relevant.
    pub(crate) fn evict_for(&mut self, new: &CrashRecord) -> bool {
        let priority = |crash: &CrashRecord| (!crash.is_cleared, crash.part, crash.crashed_at);
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(_, crash)| priority(crash));
        let Some((index, least)) = least else {
            return true;
        };
        if priority(least) >= priority(new) {
            return false;
        }
        self.crashes.remove(index);
        true
    }

    /// Returns the sort key for eviction; requests with the lowest value are evicted first.
    pub(crate) fn priority(&self) -> (u32, usize, Moment) {
        (self.score(), self.open_crashes().count(), self.last_crash())
    }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
