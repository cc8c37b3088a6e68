//! A lease at the platform: one holder at a time, with a token that rises.
//!
//! Clocks of other machines play no part. A holder stops well before its lease ends by its own
//! monotonic clock, counted from before the renewing write was sent. A successor takes over only
//! after it has itself watched the same version for the whole span and the longest use of it.

use std::time::Duration;

use crate::Moment;
use crate::NodeName;
use crate::Version;

/// Calls in one span of a lease.
const RENEWALS: u32 = 4;

/// Calls in one span of a lease while they fail. A failed renewal takes a read and a write to mend, and
/// both must fit into what is left of the span.
const RETRIES: u32 = 20;

/// Spans of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a renewal holds.
    pub span: Duration,
    /// How long before its end the holder stops using it.
    pub margin: Duration,
    /// Longest time for which an act begun under the lease can take effect after its end.
    pub longest_use: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            span: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            longest_use: Duration::from_secs(1),
        }
    }
}

/// Stored form of a lease.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// Node that holds it; empty once it was given back.
    pub holder: NodeName,
    /// Mark of the write, for lost answers.
    pub mark: u64,
    /// True on a lease that was given back with nothing done under it that may still hold.
    pub clean: bool,
}

/// Call to the platform for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease's object.
    Read,
    /// Write the record if the object has this version; 0 means absent.
    Write {
        /// Version that the object must have.
        expected: Version,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The object as read; `None` if it is absent.
    Found(Option<(Version, LeaseRecord)>),
    /// The write was accepted with this version.
    Accepted(Version),
    /// The object has another version.
    Conflict,
    /// No answer, or a refusal.
    Failed,
}

/// What is known of the object.
#[derive(Clone, Debug)]
struct SeenLease {
    version: Version,
    holder: NodeName,
    /// Whether nothing done under the lease before may still hold.
    clean: bool,
    since: Moment,
}

/// One node's part in one lease.
#[derive(Debug)]
pub struct LeaseHolder {
    name: NodeName,
    settings: LeaseSettings,
    seen: Option<SeenLease>,
    /// Token and end of the lease, if this node holds it.
    held: Option<(Version, Moment)>,
    /// Token with which the present holding began, and whether the lease was clean then.
    term: Option<(Version, bool)>,
    /// Since when the lease is no longer used because it will be given back.
    retiring: Option<Moment>,
    call_sent: Option<Moment>,
    writing: Option<LeaseRecord>,
    /// Whether the last write replaced a lease under which nothing may still hold.
    over_clean: bool,
    /// Write whose answer was lost, and when it was sent.
    lost: Option<(Moment, LeaseRecord)>,
    next_call: Moment,
    next_mark: u64,
}

impl LeaseHolder {
    /// Starts without the lease. `first_mark` must not repeat over the node's restarts.
    pub fn new(name: NodeName, settings: LeaseSettings, first_mark: u64) -> Self {
        Self {
            name,
            settings,
            seen: None,
            held: None,
            term: None,
            retiring: None,
            call_sent: None,
            writing: None,
            over_clean: false,
            lost: None,
            next_call: Moment::ZERO,
            next_mark: first_mark,
        }
    }

    /// Returns the token if an act may begin now, by the holder's own clock. It is asked again
    /// right before each act, so that a holder that slept does nothing with a lapsed lease.
    pub fn token(&self, now: Moment) -> Option<Version> {
        let (token, end) = self.held?;
        let usable = self.retiring.is_none() && now + self.settings.margin < end;
        usable.then_some(token)
    }

    /// Returns the token with which the present holding began, and whether nothing done under the
    /// lease before may still hold. The token rises with each renewal; the term stays.
    pub fn term(&self) -> Option<(Version, bool)> {
        self.held.and(self.term)
    }

    /// Returns the call to make now, if the node wants the lease and a call is due. `clean` tells
    /// whether nothing done under the lease may still hold, for the case that it is given back.
    pub fn step(&mut self, now: Moment, wanted: bool, clean: bool) -> Option<LeaseAction> {
        self.note_wanted(now, wanted);
        if self.call_sent.is_some() || now < self.next_call {
            return None;
        }
        if self.held.is_some_and(|(_, end)| now >= end) {
            self.held = None;
            self.seen = None;
        }
        if !wanted && self.held.is_none() {
            return None;
        }
        // An act that began just before may still take effect; the lease is given back after it.
        let retiring = self.retiring.filter(|_| self.held.is_some());
        if retiring.is_some_and(|since| now < since + self.settings.longest_use) {
            return None;
        }
        self.call_sent = Some(now);
        let Some(seen) = self.seen.clone() else {
            return Some(LeaseAction::Read);
        };
        let own = self.held.is_some();
        let free = seen.version == 0 || seen.holder.is_empty();
        let span = self.settings.span + self.settings.longest_use;
        let lapsed = now.saturating_sub(seen.since) >= span;
        if !own && !free && !lapsed {
            return Some(LeaseAction::Read);
        }
        let holder = if wanted {
            self.name.clone()
        } else {
            // The lease is given back; its end is not waited for.
            self.held = None;
            NodeName::new()
        };
        self.next_mark = self.next_mark.wrapping_add(1);
        let record = LeaseRecord {
            holder,
            mark: self.next_mark,
            clean: clean && !wanted,
        };
        self.writing = Some(record.clone());
        self.over_clean = seen.version == 0 || (seen.holder.is_empty() && seen.clean);
        Some(LeaseAction::Write {
            expected: seen.version,
            record,
        })
    }

    /// Takes the end of a call.
    pub fn note(&mut self, now: Moment, answer: LeaseAnswer) {
        let Some(sent) = self.call_sent.take() else {
            debug_assert!(false, "no call is under way");
            return;
        };
        self.next_call = now + self.settings.span / RENEWALS;
        let writing = self.writing.take();
        match answer {
            LeaseAnswer::Found(found) => {
                let free = found
                    .as_ref()
                    .is_none_or(|(_, record)| record.holder.is_empty());
                self.note_found(now, found);
                // What is free is taken at once, and what is held is renewed at once: it was read
                // because a call had failed, so its end is near.
                if free || self.held.is_some() {
                    self.next_call = now;
                }
            }
            LeaseAnswer::Accepted(version) => {
                if let Some(record) = writing {
                    self.note_written(sent, version, record);
                }
            }
            LeaseAnswer::Conflict => {
                self.held = None;
                self.seen = None;
                self.next_call = now;
            }
            // A write whose answer is lost may have taken effect. The next step reads, and finds
            // the record by its mark if it did.
            LeaseAnswer::Failed => {
                self.lost = writing.map(|record| (sent, record));
                self.seen = None;
                self.next_call = now + self.settings.span / RETRIES;
            }
        }
    }

    fn note_wanted(&mut self, now: Moment, wanted: bool) {
        if wanted {
            self.retiring = None;
        } else if self.held.is_some() && self.retiring.is_none() {
            self.retiring = Some(now);
        }
    }

    fn note_found(&mut self, now: Moment, found: Option<(Version, LeaseRecord)>) {
        let lost = self.lost.take();
        if let (Some((version, record)), Some((sent, written))) = (&found, lost) {
            if *record == written {
                self.note_written(sent, *version, written);
                return;
            }
        }
        let (version, holder, clean) = match found {
            Some((version, record)) => (version, record.holder, record.clean),
            None => (0, NodeName::new(), true),
        };
        if self.held.is_some_and(|(token, _)| token != version) {
            self.held = None;
        }
        let same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if !same {
            let since = now;
            self.seen = Some(SeenLease {
                version,
                holder,
                clean,
                since,
            });
        }
    }

    fn note_written(&mut self, sent: Moment, version: Version, record: LeaseRecord) {
        if record.holder == self.name {
            if self.held.is_none() {
                self.term = Some((version, self.over_clean));
            }
            self.held = Some((version, sent + self.settings.span));
        }
        self.seen = Some(SeenLease {
            version,
            holder: record.holder,
            clean: record.clean,
            since: sent,
        });
    }
}
