//! In-memory object store of the object API's stand-in.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use turnford_platform::ObjectEvent;
use turnford_platform::ObjectList;
use turnford_platform::ObjectVersion;
use turnford_platform::VALUE_LIMIT;

/// Number of changes kept for watches.
const CHANGE_LIMIT: usize = 10_000;

/// Error of a store operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The expected version is not the current one.
    Conflict(ObjectVersion),
    /// No such object.
    NotFound,
    /// The requested changes are no longer kept.
    HistoryExpired,
    /// The value is larger than [`VALUE_LIMIT`].
    TooLarge,
}

/// Versioned objects with conditional writes and a bounded list of changes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: ObjectVersion,
    objects: BTreeMap<String, (ObjectVersion, Vec<u8>)>,
    changes: VecDeque<(ObjectVersion, String)>,
    dropped: ObjectVersion,
}

impl ObjectStore {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<(ObjectVersion, &[u8])> {
        let found = self.objects.get(key);
        found.map(|(version, bytes)| (*version, bytes.as_slice()))
    }

    /// Writes an object if it has the expected version. Version 0 expects that the object doesn't exist,
    /// `None` accepts any version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] with the current version, or [`StoreError::TooLarge`].
    pub fn put(
        &mut self,
        key: &str,
        expected: Option<ObjectVersion>,
        bytes: Vec<u8>,
    ) -> Result<ObjectVersion, StoreError> {
        self.check(key, expected)?;
        if bytes.len() > VALUE_LIMIT {
            return Err(StoreError::TooLarge);
        }
        let version = self.record_change(key);
        self.objects.insert(key.to_owned(), (version, bytes));
        Ok(version)
    }

    /// Deletes an object if it has the expected version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`] or [`StoreError::Conflict`].
    pub fn delete(
        &mut self,
        key: &str,
        expected: Option<ObjectVersion>,
    ) -> Result<ObjectVersion, StoreError> {
        if !self.objects.contains_key(key) {
            return Err(StoreError::NotFound);
        }
        self.check(key, expected)?;
        self.objects.remove(key);
        Ok(self.record_change(key))
    }

    /// Lists the objects whose keys start with a prefix.
    pub fn list(&self, prefix: &str) -> ObjectList {
        let range = self.objects.range(prefix.to_owned()..);
        let below = range.take_while(|(key, _)| key.starts_with(prefix));
        let mut objects: Vec<ObjectEvent> = below.map(|(key, _)| self.event(key)).collect();
        objects.sort_by_key(|object| object.version);
        ObjectList {
            revision: self.revision,
            objects,
        }
    }

    /// Returns the objects with a prefix that changed after a revision, each once in its current state.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryExpired`] if older changes were dropped.
    pub fn changes(&self, prefix: &str, after: ObjectVersion) -> Result<ObjectList, StoreError> {
        if after < self.dropped {
            return Err(StoreError::HistoryExpired);
        }
        let newer = self.changes.iter().filter(|(version, _)| *version > after);
        let keys = newer
            .map(|(_, key)| key)
            .filter(|key| key.starts_with(prefix));
        let keys: std::collections::BTreeSet<&String> = keys.collect();
        let mut objects: Vec<ObjectEvent> = keys.into_iter().map(|key| self.event(key)).collect();
        objects.sort_by_key(|object| object.version);
        Ok(ObjectList {
            revision: self.revision,
            objects,
        })
    }

    fn check(&self, key: &str, expected: Option<ObjectVersion>) -> Result<(), StoreError> {
        let current = self.objects.get(key).map_or(0, |(version, _)| *version);
        match expected {
            Some(expected) if expected != current => Err(StoreError::Conflict(current)),
            _ => Ok(()),
        }
    }

    fn record_change(&mut self, key: &str) -> ObjectVersion {
        self.revision += 1;
        self.changes.push_back((self.revision, key.to_owned()));
        if self.changes.len() > CHANGE_LIMIT {
            let dropped = self.changes.pop_front();
            self.dropped = dropped.map_or(self.dropped, |(version, _)| version);
        }
        self.revision
    }

    fn event(&self, key: &str) -> ObjectEvent {
        let found = self.objects.get(key);
        let value = found.and_then(|(_, bytes)| String::from_utf8(bytes.clone()).ok());
        let last = self
            .changes
            .iter()
            .rev()
            .find(|(_, changed)| changed == key);
        let deleted = last.map_or(0, |(version, _)| *version);
        ObjectEvent {
            key: key.to_owned(),
            version: found.map_or(deleted, |(version, _)| *version),
            value,
        }
    }
}
