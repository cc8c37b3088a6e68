//! Checks responses against the targets' journal.

use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Serialize;

use crate::load::RequestRecord;
use crate::JournalEntry;

/// Numbers of violations, all of which must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AuditCounts {
    /// Requests that never ended, neither with a response nor with a closed connection.
    pub lost: u64,
    /// Requests whose connection closed without a response, for example because the node was killed.
    pub unanswered: u64,
    /// Requests for which a non-repeatable service ran more than once.
    pub doubled: u64,
    /// Complete responses that belong to another request.
    pub crossed: u64,
    /// Refusals that say "not run" although a target started to run the request.
    pub false_not_run: u64,
}

impl AuditCounts {
    /// Returns whether there were no violations.
    pub fn is_clean(&self) -> bool {
        *self == AuditCounts::default()
    }
}

/// Counts the violations over all requests of a run; `once` names the non-repeatable services.
pub(crate) fn audit_run(
    records: &[RequestRecord],
    sent: u64,
    journal: &[JournalEntry],
    once: &BTreeSet<String>,
) -> AuditCounts {
    let mut starts: HashMap<&str, u64> = HashMap::new();
    let mut once_starts: HashMap<(&str, &str), u64> = HashMap::new();
    for entry in journal {
        *starts.entry(entry.mark.as_str()).or_default() += 1;
        if once.contains(&entry.service) {
            let key = (entry.mark.as_str(), entry.service.as_str());
            *once_starts.entry(key).or_default() += 1;
        }
    }
    let mut counts = AuditCounts {
        lost: sent.saturating_sub(records.len() as u64),
        doubled: once_starts.values().filter(|runs| **runs > 1).count() as u64,
        ..AuditCounts::default()
    };
    for record in records {
        let started = starts.contains_key(record.mark.as_str());
        counts.unanswered += u64::from(record.code.is_none());
        counts.crossed += u64::from(record.is_complete && !record.is_own);
        counts.false_not_run += u64::from(record.ran == "no" && started);
    }
    counts
}
