//! What targets really ran.

use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// One start of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Target that ran it.
    pub target: String,
    /// Service of the target.
    pub service: String,
    /// Attempt id as the call carried it.
    pub attempt: String,
    /// Mark that the load tool put into the input.
    pub mark: String,
    /// Seconds of a slot that the call took.
    pub seconds: f64,
    /// What those seconds cost.
    pub cost: f64,
    /// Whether the call ended whole.
    pub whole: bool,
}

/// Entries of all targets, in the order of their ends.
#[derive(Default)]
pub struct Journal {
    entries: Mutex<Vec<JournalEntry>>,
}

impl Journal {
    /// Adds an entry.
    pub fn add(&self, entry: JournalEntry) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(entry);
    }

    /// Returns a copy of all entries.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Returns the mark inside an input or output: `mark:` and the letters, digits and dashes after it.
pub(crate) fn mark_of(text: &str) -> &str {
    const LABEL: &str = "mark:";
    let Some(at) = text.find(LABEL) else {
        return "";
    };
    let rest = &text[at..];
    let belongs = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    let tail = rest[LABEL.len()..].bytes().position(|byte| !belongs(byte));
    tail.map_or(rest, |length| &rest[..LABEL.len() + length])
}
