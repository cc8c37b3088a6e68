//! The stored form of a configuration object: its text and who changed it last.
//!
//! A writer puts a mark of its own into each change. When the platform's answer to a write is lost,
//! the writer reads the object back and looks for its mark, also behind later changes by others.

use serde::Deserialize;
use serde::Serialize;

/// Changes kept with an object.
const CHANGE_LIMIT: usize = 20;

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvelopeChange {
    /// Random mark of the writer, never used twice.
    #[serde(rename = "mark")]
    pub write_id: String,
    /// Who wrote, as the operator's tool names itself.
    pub author: String,
    /// What was done: `apply` or `delete`.
    pub action: String,
    /// When, in seconds since 1970, by the writer's clock. For people only.
    pub at: u64,
    /// Version that the change replaced; 0 for a new object.
    pub replaced: u64,
}

/// An object as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEnvelope {
    /// Text; `None` once the object was deleted. Deletion is a version, too, so that an old text
    /// never comes back by it.
    pub text: Option<String>,
    /// Last changes, newest first.
    pub changes: Vec<EnvelopeChange>,
}

impl ConfigEnvelope {
    /// Returns the envelope after one more change.
    pub fn changed(&self, text: Option<String>, change: EnvelopeChange) -> Self {
        let older = self.changes.iter().take(CHANGE_LIMIT - 1).cloned();
        let changes = std::iter::once(change).chain(older).collect();
        Self { text, changes }
    }

    /// Tells whether a change with this mark took effect.
    pub fn has_write(&self, mark: &str) -> bool {
        self.changes.iter().any(|change| change.write_id == mark)
    }

    /// Tells whether changes older than those kept may exist.
    pub fn is_truncated(&self) -> bool {
        self.changes.len() >= CHANGE_LIMIT
    }

    /// Reads a stored value.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the stored value.
    pub fn encode(&self) -> String {
        // The type has no map with keys other than text, so it always has a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }
}
