//! Journal of the calls that targets ran.

use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// A call that a target started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Target that ran the call.
    pub target: String,
    /// Service of the target.
    pub service: String,
    /// Attempt id of the call.
    pub attempt: String,
    /// Marker that the load tool put into the input.
    pub mark: String,
    /// Time for which the call occupied a slot, in seconds.
    pub seconds: f64,
    /// Cost of that time.
    pub cost: f64,
    /// Whether the call completed.
    pub whole: bool,
}

/// Entries of all targets, in the order in which the calls ended.
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

/// Returns the marker in an input or output: `mark:` followed by letters, digits and dashes.
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
