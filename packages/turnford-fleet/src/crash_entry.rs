//! The crashes of targets under one request.

use std::time::Duration;

use turnford_policy::RequestDigest;

use crate::crash_update::CrashEvent;
use crate::crash_update::CrashPart;
use crate::crash_update::CrashUpdate;
use crate::crash_update::TargetProcess;
use crate::Moment;

/// A crash of a target while it ran a request.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    pub(crate) start: TargetProcess,
    pub(crate) at: Moment,
    pub(crate) part: CrashPart,
    /// Whether the request ended well after that. It is kept so that a node which missed that does not
    /// tell of the crash as if it still counted.
    pub(crate) is_cleared: bool,
}

impl CrashRecord {
    /// Returns the crash as another node may be told of it.
    pub(crate) fn news(&self, now: Moment, digest: &RequestDigest) -> CrashUpdate {
        CrashUpdate {
            digest: digest.0,
            event: CrashEvent::Crashed {
                target: self.start.0.clone(),
                born: self.start.1,
                part: self.part,
                is_cleared: self.is_cleared,
            },
            age_ms: to_millis(now.saturating_sub(self.at)),
        }
    }
}

/// The crashes of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashEntry {
    pub(crate) crashes: Vec<CrashRecord>,
    /// When it last ended well after a crash.
    pub(crate) ended_well: Option<Moment>,
}

impl CrashEntry {
    /// Returns when the last crash was.
    pub(crate) fn last(&self) -> Moment {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    /// Returns the crashes that no good end cleared.
    pub(crate) fn open_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Returns how much speaks against the request.
    pub(crate) fn points(&self) -> u32 {
        self.open_crashes().map(|crash| crash.part.points()).sum()
    }

    /// Drops the crash that matters least; false if that is the new one.
    pub(crate) fn make_room(&mut self, new: &CrashRecord) -> bool {
        let weight = |crash: &CrashRecord| (!crash.is_cleared, crash.part, crash.at);
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(_, crash)| weight(crash));
        let Some((place, least)) = least else {
            return true;
        };
        if weight(least) >= weight(new) {
            return false;
        }
        self.crashes.remove(place);
        true
    }

    /// Returns what its memory is worth against that of others.
    pub(crate) fn weight(&self) -> (u32, usize, Moment) {
        (self.points(), self.open_crashes().count(), self.last())
    }
}

fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
