//! The configuration as one node has it. Versions only rise.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::Version;

/// One object's change as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct ConfigChange {
    /// Key, for example `config/account/one`.
    pub key: String,
    /// Version of the object.
    pub version: Version,
    /// Text; `None` once the object was deleted.
    pub text: Option<String>,
}

/// By what two nodes see whether they have the same configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ConfigDigest {
    /// Revision up to which nothing is missing.
    pub complete_to: Version,
    /// Highest version of any object.
    pub newest: Version,
    /// Sum over keys and versions.
    pub checksum: u64,
}

/// All configuration objects with their versions, deleted ones among them.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    objects: BTreeMap<String, (Version, Option<String>)>,
    /// Keys by version, so that what is newer than a version is found without a scan.
    by_version: BTreeMap<Version, String>,
    complete_to: Version,
}

impl ConfigView {
    /// Takes a change; false if the node has the same or a newer version.
    pub fn apply(&mut self, change: ConfigChange) -> bool {
        let known = self
            .objects
            .get(&change.key)
            .map_or(0, |(version, _)| *version);
        if change.version <= known {
            return false;
        }
        self.by_version.remove(&known);
        self.by_version.insert(change.version, change.key.clone());
        self.objects
            .insert(change.key, (change.version, change.text));
        true
    }

    /// Notes that everything up to a revision was seen, from a list or an unbroken watch.
    pub fn advance_complete_to(&mut self, revision: Version) {
        self.complete_to = self.complete_to.max(revision);
    }

    /// Returns the revision up to which nothing is missing.
    pub fn complete_to(&self) -> Version {
        self.complete_to
    }

    /// Returns the highest version of any object.
    pub fn newest(&self) -> Version {
        self.by_version
            .last_key_value()
            .map_or(0, |(version, _)| *version)
    }

    /// Returns the changes after a version, oldest first, at most `limit`.
    pub fn changes_after(&self, version: Version, limit: usize) -> Vec<ConfigChange> {
        let newer = self.by_version.range(version + 1..).take(limit);
        newer
            .filter_map(|(version, key)| self.change(*version, key))
            .collect()
    }

    /// Returns the objects that were not deleted, by key.
    pub fn live(&self) -> impl Iterator<Item = (&str, Version, &str)> {
        self.objects.iter().filter_map(|(key, (version, text))| {
            let text = text.as_deref()?;
            Some((key.as_str(), *version, text))
        })
    }

    /// Returns the number of objects, deleted ones among them.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Tells whether no object is known.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns a sum over keys and versions by which two nodes see whether they agree.
    pub fn checksum(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for (version, key) in &self.by_version {
            hasher.write_u64(*version);
            hasher.write(key.as_bytes());
        }
        hasher.finish()
    }

    /// Returns the mark that probes carry.
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest {
            complete_to: self.complete_to,
            newest: self.newest(),
            checksum: self.checksum(),
        }
    }

    fn change(&self, version: Version, key: &str) -> Option<ConfigChange> {
        let (_, text) = self.objects.get(key)?;
        Some(ConfigChange {
            key: key.to_owned(),
            version,
            text: text.clone(),
        })
    }
}
