//! Stored form of a configuration object: its text and its recent changes.
//!
//! Each writer adds a unique id to its change. When the platform's response to a write is lost, the
//! writer reads the object back and looks for this id, which stays visible behind later changes of
//! other writers.

use serde::Deserialize;
use serde::Serialize;

/// Number of changes kept with an object.
const MAX_CHANGES: usize = 20;

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvelopeChange {
    /// Random id of the write, never reused.
    #[serde(rename = "mark")]
    pub write_id: String,
    /// Author, as given to the operator's tool.
    pub author: String,
    /// Action: `apply` or `delete`.
    pub action: String,
    /// Time of the change in seconds since the Unix epoch, by the writer's clock. Informational
    /// only.
    pub at: u64,
    /// Version that the change replaced; 0 for a new object.
    pub replaced: u64,
}

/// A configuration object in its stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEnvelope {
    /// Text, or `None` if the object was deleted. A deletion is a version of its own, so an old
    /// text cannot reappear after it.
    pub text: Option<String>,
    /// Most recent changes, newest first.
    pub changes: Vec<EnvelopeChange>,
}

impl ConfigEnvelope {
    /// Returns the envelope with one more change.
    pub fn changed(&self, text: Option<String>, change: EnvelopeChange) -> Self {
        let older = self.changes.iter().take(MAX_CHANGES - 1).cloned();
        let changes = std::iter::once(change).chain(older).collect();
        Self { text, changes }
    }

    /// Returns whether the write with this id took effect.
    pub fn has_write(&self, write_id: &str) -> bool {
        self.changes
            .iter()
            .any(|change| change.write_id == write_id)
    }

    /// Returns whether older changes may have been dropped.
    pub fn is_truncated(&self) -> bool {
        self.changes.len() >= MAX_CHANGES
    }

    /// Decodes a stored value. Returns `None` if it is malformed.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Encodes the envelope into its stored form.
    pub fn encode(&self) -> String {
        // Encoding cannot fail: the type has no map with non-string keys.
        serde_json::to_string(self).unwrap_or_default()
    }
}
