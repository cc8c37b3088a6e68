//! A node's replica of the configuration. Versions never decrease.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::Version;

/// A change of one object, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, bincode::Encode, bincode::Decode)]
pub struct ConfigChange {
    /// Key, for example `config/account/one`.
    pub key: String,
    /// Version of the object.
    pub version: Version,
    /// Text, or `None` if the object was deleted.
    pub text: Option<String>,
}

/// Summary by which two nodes detect that their configurations differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ConfigDigest {
    /// Revision up to which no change is missing.
    pub complete_to: Version,
    /// Highest version of any object.
    pub newest: Version,
    /// Hash over all keys and versions.
    pub checksum: u64,
}

/// All configuration objects with their versions, including deleted ones.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    objects: BTreeMap<String, (Version, Option<String>)>,
    /// Keys by version. Finds the objects newer than a version without a full scan.
    by_version: BTreeMap<Version, String>,
    complete_to: Version,
}

impl ConfigView {
    /// Applies a change. Returns false if the same or a newer version is already known.
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

    /// Records that all changes up to a revision were received, from a list or an uninterrupted
    /// watch.
    pub fn advance_complete_to(&mut self, revision: Version) {
        self.complete_to = self.complete_to.max(revision);
    }

    /// Returns the revision up to which no change is missing.
    pub fn complete_to(&self) -> Version {
        self.complete_to
    }

    /// Returns the highest version of any object.
    pub fn newest(&self) -> Version {
        self.by_version
            .last_key_value()
            .map_or(0, |(version, _)| *version)
    }

    /// Returns at most `limit` changes after a version, oldest first.
    pub fn changes_after(&self, version: Version, limit: usize) -> Vec<ConfigChange> {
        let newer = self.by_version.range(version + 1..).take(limit);
        newer
            .filter_map(|(version, key)| self.change(*version, key))
            .collect()
    }

    /// Returns all objects that are not deleted, ordered by key.
    pub fn live(&self) -> impl Iterator<Item = (&str, Version, &str)> {
        self.objects.iter().filter_map(|(key, (version, text))| {
            let text = text.as_deref()?;
            Some((key.as_str(), *version, text))
        })
    }

    /// Returns the number of objects, including deleted ones.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether no object is known.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns a hash over all keys and versions, equal on nodes with the same configuration.
    pub fn checksum(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for (version, key) in &self.by_version {
            hasher.write_u64(*version);
            hasher.write(key.as_bytes());
        }
        hasher.finish()
    }

    /// Returns the digest that is attached to probes.
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
