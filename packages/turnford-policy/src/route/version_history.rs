//! Software versions that the targets of a service had in the recent past.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;

use super::SoftwareVersion;

/// Software versions of one service's targets, as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Whether there were no targets before those that were seen first.
    is_complete: bool,
    /// When targets were first seen.
    known_since: Option<Moment>,
    /// When each version was last seen; `None` while a target has it. The version is `None` for
    /// targets whose version is not known.
    versions: BTreeMap<Option<SoftwareVersion>, Option<Moment>>,
}

impl VersionHistory {
    /// Creates the history of a service that had no targets before.
    pub fn complete() -> Self {
        Self {
            is_complete: true,
            ..Self::default()
        }
    }

    /// Records that another node, which has known the targets for the whole window, saw only this version
    /// until now. Changes nothing if targets of another version were seen here.
    pub fn adopt_sole(&mut self, version: &str) {
        let mut versions = self.versions.keys();
        self.is_complete |=
            versions.len() == 1 && versions.all(|known| known.as_deref() == Some(version));
    }

    /// Records the versions of the targets that are listed now.
    pub fn observe(
        &mut self,
        now: Moment,
        window: Duration,
        listed: impl Iterator<Item = Option<SoftwareVersion>>,
    ) {
        for last_seen in self.versions.values_mut() {
            last_seen.get_or_insert(now);
        }
        for version in listed {
            self.versions.insert(version, None);
            self.known_since.get_or_insert(now);
        }
        self.versions
            .retain(|_, last_seen| is_recent(now, window, *last_seen));
    }

    /// Returns whether the targets have been known for all of the past `window`.
    pub fn covers(&self, now: Moment, window: Duration) -> bool {
        self.known_since
            .is_some_and(|since| self.is_complete || now.saturating_sub(since) >= window)
    }

    /// Returns whether the targets had several versions within `window`, or one that is not known.
    pub fn is_mixed(&self, now: Moment, window: Duration) -> bool {
        let mut recent = self.recent(now, window);
        let first = recent.next();
        first == Some(None) || recent.next().is_some()
    }

    /// Returns the only version that targets had within `window`, if all of it is known.
    pub fn sole_version(&self, now: Moment, window: Duration) -> Option<&SoftwareVersion> {
        if !self.covers(now, window) || self.is_mixed(now, window) {
            return None;
        }
        self.recent(now, window).next().flatten()
    }

    /// Returns the known versions that targets had within `window`.
    pub fn known_versions(
        &self,
        now: Moment,
        window: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        self.recent(now, window).flatten()
    }

    fn recent(
        &self,
        now: Moment,
        window: Duration,
    ) -> impl Iterator<Item = Option<&SoftwareVersion>> {
        let versions = self.versions.iter();
        let recent = versions.filter(move |(_, last_seen)| is_recent(now, window, **last_seen));
        recent.map(|(version, _)| version.as_ref())
    }
}

fn is_recent(now: Moment, window: Duration, last_seen: Option<Moment>) -> bool {
    last_seen.is_none_or(|at| now.saturating_sub(at) <= window)
}
