//! The software versions whose streams may still be resumed, as the platform's store keeps them.
//!
//! A version is added before its first stream and removed long after its last one. So a service with
//! a single version proves the version of any of its streams, also to nodes that saw none of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Stands for versions of which nothing is known.
const UNKNOWN_VERSION: &str = "";

/// Minimum time for which a version is kept after its last target was seen. Covers the streams of
/// clients whose deadlines are up to half of it.
const MIN_RETENTION: Duration = Duration::from_secs(600);

/// Minimum time for which unknown versions are kept. The longest deadline of their streams' clients is
/// not known either.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Part of the retention that a stream may last.
const LIFETIME_DIVISOR: u32 = 2;

/// Number of a retirement, unique in a ledger.
type RetirementId = u64;

/// Versions of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceVersions {
    /// Each version with its retirement, or `None` while streams may begin at it.
    versions: BTreeMap<String, Option<RetirementId>>,
    /// Longest time, in seconds, for which clients may resume streams of the service.
    #[serde(default)]
    longest_s: u64,
}

impl ServiceVersions {
    fn retention(&self) -> Duration {
        let longest = Duration::from_secs(self.longest_s.saturating_mul(LIFETIME_DIVISOR.into()));
        longest.max(MIN_RETENTION)
    }

    fn retention_of(&self, version: &str) -> Duration {
        let retention = self.retention();
        if version == UNKNOWN_VERSION {
            return retention.max(UNKNOWN_RETENTION);
        }
        retention
    }

    fn covers(&self, lifetime: Duration) -> bool {
        lifetime <= self.retention() / LIFETIME_DIVISOR
    }

    fn admits(&self, version: &str, lifetime: Duration) -> bool {
        self.versions.get(version) == Some(&None) && self.covers(lifetime)
    }
}

/// Versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionLedger {
    /// Era of the store in which the ledger was written. A restore from a backup may have undone
    /// additions.
    era: u64,
    /// Whether services may have had versions before the ledger mentions them.
    has_unknown_past: bool,
    /// Number of the last retirement.
    last_retirement: RetirementId,
    services: BTreeMap<String, ServiceVersions>,
}

/// A use of a version that the ledger has to contain beforehand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionUse {
    /// Service.
    pub service: String,
    /// Software version, `None` if its target does not tell it.
    pub version: Option<String>,
    /// Time for which a client may resume the stream.
    pub lifetime: Duration,
}

impl VersionUse {
    fn version(&self) -> &str {
        self.version.as_deref().unwrap_or(UNKNOWN_VERSION)
    }
}

impl VersionLedger {
    /// Creates the ledger of a fleet that has none. `has_unknown_past` tells whether there may be
    /// streams already.
    pub fn new(era: u64, has_unknown_past: bool) -> Self {
        Self {
            era,
            has_unknown_past,
            last_retirement: 0,
            services: BTreeMap::new(),
        }
    }

    /// Returns the era of the store in which the ledger was written.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns the only version of a service whose streams may still be resumed.
    pub fn sole_version(&self, era: u64, service: &str) -> Option<&str> {
        let versions = &self.services.get(service)?.versions;
        let (sole, _) = versions.first_key_value().filter(|_| versions.len() == 1)?;
        (self.era == era && sole != UNKNOWN_VERSION).then_some(sole)
    }

    /// Returns whether the ledger contains what a use needs.
    pub fn admits(&self, era: u64, used: &VersionUse) -> bool {
        let service = self.services.get(&used.service);
        let is_admitted = service.is_some_and(|known| known.admits(used.version(), used.lifetime));
        self.era == era && is_admitted
    }

    /// Adds what a use needs.
    pub fn admit(&mut self, used: &VersionUse) {
        let unknown = self.has_unknown_past.then(|| UNKNOWN_VERSION.to_owned());
        let service = self.services.entry(used.service.clone());
        let service = service.or_insert_with(|| ServiceVersions {
            versions: unknown.into_iter().map(|version| (version, None)).collect(),
            longest_s: 0,
        });
        service.versions.insert(used.version().to_owned(), None);
        if !service.covers(used.lifetime) {
            // Rounded up, so that the ledger is seldom written for this.
            let seconds = used.lifetime.as_secs().saturating_add(1);
            service.longest_s = seconds.checked_next_power_of_two().unwrap_or(u64::MAX);
        }
    }

    /// Continues the ledger in a later era of the store. What was added to it shortly before the
    /// restore may be missing.
    pub fn enter_era(&mut self, era: u64) {
        if self.era == era {
            return;
        }
        self.era = era;
        self.has_unknown_past = true;
        for service in self.services.values_mut() {
            let versions = &mut service.versions;
            versions.insert(UNKNOWN_VERSION.to_owned(), None);
        }
    }
}

impl fmt::Display for VersionLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "era={}", self.era)?;
        for (service, known) in &self.services {
            let names = known.versions.iter().map(|(version, retirement)| {
                let name = match version.as_str() {
                    UNKNOWN_VERSION => "?",
                    version => version,
                };
                let suffix = if retirement.is_some() {
                    "(retired)"
                } else {
                    ""
                };
                format!("{name}{suffix}")
            });
            write!(f, " {service}={}", names.collect::<Vec<String>>().join("+"))?;
        }
        Ok(())
    }
}

/// What one node has seen of the versions of services, and what follows for the ledger.
///
/// A version that is no longer listed is retired first. It is removed by a node that has seen it
/// retired and unlisted for the retention. A node that lists it again revokes the retirement.
#[derive(Clone, Debug, Default)]
pub struct VersionWitness {
    services: BTreeMap<String, WitnessedVersions>,
}

#[derive(Clone, Debug, Default)]
struct WitnessedVersions {
    listed: BTreeSet<String>,
    /// Versions that have not been listed since a time at which they were retired already.
    absent: BTreeMap<String, (RetirementId, Moment)>,
}

impl VersionWitness {
    /// Records the versions of a service's targets. Returns those that were not listed before; the
    /// ledger has to be read before they are used.
    pub fn observe(
        &mut self,
        service: &str,
        versions: impl Iterator<Item = Option<String>>,
    ) -> Vec<VersionUse> {
        let listed: BTreeSet<String> = versions.map(Option::unwrap_or_default).collect();
        let known = self.services.entry(service.to_owned()).or_default();
        known.absent.retain(|version, _| !listed.contains(version));
        let added = listed.difference(&known.listed);
        let uses = added.map(|version| VersionUse {
            service: service.to_owned(),
            version: (version != UNKNOWN_VERSION).then(|| version.clone()),
            lifetime: Duration::ZERO,
        });
        let uses = uses.collect();
        known.listed = listed;
        uses
    }

    /// Forgets for how long versions have been absent, since changes may have been missed.
    pub fn interrupt(&mut self) {
        for known in self.services.values_mut() {
            known.absent.clear();
        }
    }

    /// Records the retirements of a ledger that was read, and applies what follows from this node's
    /// observations: retires and removes versions.
    pub fn update(&mut self, now: Moment, ledger: &mut VersionLedger) {
        let mut last_retirement = ledger.last_retirement;
        for (service, known) in &mut self.services {
            let Some(kept) = ledger.services.get_mut(service) else {
                continue;
            };
            if known.listed.is_empty() {
                continue;
            }
            let mut versions = std::mem::take(&mut kept.versions);
            versions.retain(|version, retirement| {
                if known.listed.contains(version) {
                    return true;
                }
                let id = *retirement.get_or_insert_with(|| {
                    last_retirement += 1;
                    last_retirement
                });
                let absent = known.absent.entry(version.clone()).or_insert((id, now));
                if absent.0 != id {
                    *absent = (id, now);
                }
                now.saturating_sub(absent.1) < kept.retention_of(version)
            });
            kept.versions = versions;
        }
        ledger.last_retirement = last_retirement;
    }

    /// Returns whether an update would change the ledger.
    pub fn has_changes(&self, now: Moment, ledger: &VersionLedger) -> bool {
        let mut updated = ledger.clone();
        self.clone().update(now, &mut updated);
        updated != *ledger
    }
}
