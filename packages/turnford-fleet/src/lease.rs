//! A lease stored at the platform: at most one holder at a time, with an increasing fencing token.
//!
//! The platform may be restored from a backup that is a few seconds old. Acknowledged writes are
//! then lost and versions are reused, so neither a free record nor an accepted conditional write
//! proves that no other node holds the lease. A node that acquires the lease therefore only reads
//! until every earlier holder has stopped by its own clock, and uses the lease only if its record
//! is still present afterwards.
//!
//! Some platforms report how long ago they were last restored. If there was no restore since every
//! earlier holder stopped, a new holder may use the lease immediately. A renewal across a restore
//! counts as a new acquisition.
//!
//! Clocks of other machines are not involved. A holder measures the lease on its own monotonic
//! clock from before the renewing write was sent, and stops well before expiry.

use std::time::Duration;

use crate::lease_record::LeaseAction;
use crate::lease_record::LeaseOutcome;
use crate::lease_record::LeaseRecord;
use crate::lease_record::LeaseSettings;
use crate::Moment;
use crate::NodeName;
use crate::Version;

/// Calls per lease duration.
const RENEWALS_PER_TERM: u32 = 4;

/// Calls per lease duration while calls fail. Recovering from a failed renewal takes a read and a
/// write, and both have to fit into the remaining time.
const RETRIES_PER_TERM: u32 = 20;

/// Divisor of the lease duration. Two reads further apart than the quotient do not prove that the
/// record was unchanged in between.
const MAX_GAP_DIVISOR: u32 = 2;

/// The object as last read or written.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: Version,
    /// `None` if the object is absent.
    record: Option<LeaseRecord>,
    /// Time since which every read returned this record.
    unchanged_since: Moment,
    /// Time at which the latest such read was sent.
    read_at: Moment,
    /// Whether this node saw the record replace another one, so its writer was alive recently.
    is_write_observed: bool,
}

impl ObservedLease {
    fn is_free(&self) -> bool {
        let record = self.record.as_ref();
        record.is_none_or(|record| record.holder.is_empty())
    }

    fn is_clean(&self) -> bool {
        let record = self.record.as_ref();
        record.is_none_or(|record| record.holder.is_empty() && record.clean)
    }

    fn is_same(&self, version: Version, record: Option<&LeaseRecord>) -> bool {
        self.version == version && self.write_id() == record.map(|record| record.write_id)
    }

    fn write_id(&self) -> Option<u64> {
        self.record.as_ref().map(|record| record.write_id)
    }
}

/// Progress of an acquired lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldPhase {
    /// Unusable until this time, when all actions of earlier holders are over.
    Waiting(Moment),
    /// A read after the wait found the record. The next renewal makes the lease usable.
    Confirmed,
    /// Usable.
    Active,
}

/// State of the lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: Version,
    /// Whether nothing granted in earlier terms can still be in use.
    follows_clean: bool,
    /// Time at which the acquiring write was known to have taken effect.
    acquired_at: Moment,
    ends_at: Moment,
    phase: HoldPhase,
}

/// A write that is in flight, or whose response was lost.
#[derive(Clone, Debug)]
struct LeaseWrite {
    record: LeaseRecord,
    follows_clean: bool,
    sent_at: Moment,
    /// Time at which the read was sent that returned the record to be replaced.
    read_at: Moment,
    /// Time from which no earlier holder acts, provided that the platform is not restored
    /// meanwhile.
    available_from: Moment,
}

/// One node's participation in a lease.
#[derive(Debug)]
pub struct LeaseHolder {
    name: NodeName,
    settings: LeaseSettings,
    observed: Option<ObservedLease>,
    held: Option<HeldLease>,
    /// Time at which the node stopped using the lease in order to release it.
    releasing_since: Option<Moment>,
    call_sent_at: Option<Moment>,
    pending_write: Option<LeaseWrite>,
    unconfirmed_write: Option<LeaseWrite>,
    /// Time between the platform's last restore and the pending response, if the platform reports
    /// it.
    restored_ago: Option<Duration>,
    /// Whether a call failed, so that the object has to be read before it is written.
    needs_read: bool,
    /// Whether a write by another node replaced the observed record.
    saw_other_writer: bool,
    next_call_at: Moment,
    next_write_id: u64,
    /// Lower bound for the token of the next term, above every token seen.
    token_floor: Version,
}

impl LeaseHolder {
    /// Creates a participant that does not hold the lease. `first_write_id` must not repeat across
    /// restarts of the node.
    pub fn new(name: NodeName, settings: LeaseSettings, first_write_id: u64) -> Self {
        Self {
            name,
            settings,
            observed: None,
            held: None,
            releasing_since: None,
            call_sent_at: None,
            pending_write: None,
            unconfirmed_write: None,
            restored_ago: None,
            needs_read: false,
            saw_other_writer: false,
            next_call_at: Moment::ZERO,
            next_write_id: first_write_id,
            token_floor: 0,
        }
    }

    /// Raises the lower bound for the tokens of future terms. Keeps tokens increasing even if the
    /// platform lost the record of the last term.
    pub fn raise_token_floor(&mut self, floor: Version) {
        self.token_floor = self.token_floor.max(floor);
    }

    /// Sets how long before the next handled response the platform was last restored, if the
    /// platform reports it.
    pub fn set_restored_ago(&mut self, ago: Option<Duration>) {
        self.restored_ago = ago;
    }

    /// Returns the fencing token if an action may start now by the holder's clock. Callers check it
    /// immediately before each action, so that a holder that was suspended does not act on an
    /// expired lease.
    pub fn token(&self, now: Moment) -> Option<Version> {
        let held = self.held.filter(|held| held.phase == HoldPhase::Active)?;
        let usable = self.releasing_since.is_none() && now + self.settings.margin < held.ends_at;
        usable.then_some(held.token)
    }

    /// Returns the token of the current term, and whether nothing granted in earlier terms can
    /// still be in use.
    pub fn term(&self) -> Option<(Version, bool)> {
        let held = self.held.filter(|held| held.phase == HoldPhase::Active)?;
        Some((held.token, held.follows_clean))
    }

    /// Returns the call to make now, if the node wants the lease and a call is due. `clean` tells
    /// whether nothing granted under the lease can still be in use; it is stored if the lease is
    /// released.
    pub fn step(&mut self, now: Moment, wanted: bool, clean: bool) -> Option<LeaseAction> {
        self.update_wanted(now, wanted);
        if self.call_sent_at.is_some() || now < self.next_call_at {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.ends_at) {
            self.held = None;
            self.needs_read = true;
        }
        if !wanted && self.held.is_none() {
            return None;
        }
        // An action that has just started may still take effect, so the release waits for it.
        let releasing_since = self.releasing_since.filter(|_| self.held.is_some());
        if releasing_since.is_some_and(|since| now < since + self.settings.max_action_time) {
            return None;
        }
        self.call_sent_at = Some(now);
        let write = self.next_write(now, wanted, clean);
        let action = write.map_or(LeaseAction::Read, |(expected, write)| {
            let record = write.record.clone();
            self.pending_write = Some(write);
            LeaseAction::Write { expected, record }
        });
        Some(action)
    }

    /// Returns the write that is due together with the version that it replaces, or `None` if the
    /// object has to be read.
    fn next_write(
        &mut self,
        now: Moment,
        wanted: bool,
        clean: bool,
    ) -> Option<(Version, LeaseWrite)> {
        let observed = self.observed.as_ref().filter(|_| !self.needs_read)?;
        let is_fresh =
            now.saturating_sub(observed.read_at) <= self.settings.duration / RENEWALS_PER_TERM;
        let is_due = match self.held.map(|held| held.phase) {
            _ if !wanted => true,
            Some(HoldPhase::Active) => true,
            Some(HoldPhase::Confirmed) => is_fresh,
            Some(HoldPhase::Waiting(_)) => false,
            None => is_fresh && (observed.is_free() || self.is_lapsed(observed)),
        };
        if !is_due {
            return None;
        }
        let expected = observed.version;
        let follows_clean = observed.is_clean();
        let known_token = observed.record.as_ref().map_or(0, |record| record.token);
        let held = self.held;
        // Until the first use, a later holder may have been lost in a restore, so the token is
        // computed anew.
        let used = held.filter(|held| held.phase == HoldPhase::Active);
        let token = used.map_or_else(
            || {
                self.token_floor
                    .max(known_token.max(expected).saturating_add(1))
            },
            |held| held.token,
        );
        self.next_write_id = self.next_write_id.wrapping_add(1);
        let mut record = LeaseRecord {
            holder: self.name.clone(),
            write_id: self.next_write_id,
            clean: false,
            token,
            pending: held.is_none(),
        };
        if !wanted {
            // The lease is released without waiting for its expiry. If it was never used, it is as
            // clean as before.
            self.held = None;
            record.holder = NodeName::new();
            record.clean = match held {
                Some(held) if held.phase != HoldPhase::Active => held.follows_clean,
                _ => clean,
            };
        }
        let available_from = if observed.is_free() {
            observed.read_at
        } else {
            observed.unchanged_since + self.settings.effect_time()
        };
        let write = LeaseWrite {
            record,
            follows_clean,
            sent_at: now,
            read_at: observed.read_at,
            available_from,
        };
        Some((expected, write))
    }

    /// Returns whether a record has been unchanged for so long that its holder must have stopped.
    /// If the writer was alive recently and still waits for its first use, the time of that wait is
    /// added.
    fn is_lapsed(&self, observed: &ObservedLease) -> bool {
        let pending = observed
            .record
            .as_ref()
            .is_some_and(|record| record.pending);
        let required_time = if pending && observed.is_write_observed {
            self.settings.duration + self.settings.effect_time()
        } else {
            self.settings.usable_time()
        };
        observed.read_at >= observed.unchanged_since + required_time
    }

    /// Handles the outcome of a call.
    pub fn handle_outcome(&mut self, now: Moment, outcome: LeaseOutcome) {
        let Some(sent_at) = self.call_sent_at.take() else {
            debug_assert!(false, "no call is in flight");
            return;
        };
        self.next_call_at = now + self.settings.duration / RENEWALS_PER_TERM;
        let pending_write = self.pending_write.take();
        let restored_ago = self.restored_ago.take();
        match outcome {
            LeaseOutcome::Found(found) => self.handle_found(now, sent_at, found, restored_ago),
            LeaseOutcome::Accepted(version) => {
                if let Some(write) = pending_write {
                    self.handle_written(now, version, write, restored_ago);
                }
            }
            LeaseOutcome::Conflict => {
                self.drop_held();
                self.next_call_at = now;
            }
            // A write whose response was lost may have taken effect. The next step reads the object
            // and recognises the record by its write id.
            LeaseOutcome::Failed => {
                self.unconfirmed_write = pending_write;
                self.needs_read = true;
                self.next_call_at = now + self.settings.duration / RETRIES_PER_TERM;
            }
        }
    }

    fn update_wanted(&mut self, now: Moment, wanted: bool) {
        if wanted {
            self.releasing_since = None;
        } else if self.held.is_some() && self.releasing_since.is_none() {
            self.releasing_since = Some(now);
        }
    }

    /// Discards the held lease after another node's write replaced its record.
    fn drop_held(&mut self) {
        self.held = None;
        self.observed = None;
        self.saw_other_writer = true;
    }

    fn handle_found(
        &mut self,
        now: Moment,
        sent_at: Moment,
        found: Option<(Version, LeaseRecord)>,
        restored_ago: Option<Duration>,
    ) {
        self.needs_read = false;
        let unconfirmed_write = self.unconfirmed_write.take();
        if let (Some((version, record)), Some(write)) = (&found, unconfirmed_write) {
            if *record == write.record {
                self.handle_written(now, *version, write, restored_ago);
                self.schedule_call(now);
                return;
            }
        }
        let (version, record) =
            found.map_or((0, None), |(version, record)| (version, Some(record)));
        let known = self.observed.as_mut();
        let same = known.filter(|known| known.is_same(version, record.as_ref()));
        if let Some(known) = same {
            if sent_at.saturating_sub(known.read_at) > self.settings.duration / MAX_GAP_DIVISOR {
                known.unchanged_since = now;
            }
            known.read_at = sent_at;
        } else {
            self.held = None;
            self.observe(now, sent_at, version, record);
        }
        self.confirm_hold(now, sent_at, restored_ago);
        self.schedule_call(now);
    }

    /// Records an object that this node has not seen before.
    fn observe(
        &mut self,
        now: Moment,
        sent_at: Moment,
        version: Version,
        record: Option<LeaseRecord>,
    ) {
        let token = record.as_ref().map_or(0, |record| record.token);
        self.raise_token_floor(token.saturating_add(1));
        let is_write_observed = self.observed.is_some() || self.saw_other_writer;
        self.saw_other_writer = false;
        self.observed = Some(ObservedLease {
            version,
            record,
            unchanged_since: now,
            read_at: sent_at,
            is_write_observed,
        });
    }

    /// Handles a read that found this node's own record, if it holds the lease. After a restore of
    /// the platform the wait starts over, because the lost writes may have included an acquisition
    /// by another node.
    fn confirm_hold(&mut self, now: Moment, sent_at: Moment, restored_ago: Option<Duration>) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.phase == HoldPhase::Active {
            return;
        }
        held.ends_at = sent_at + self.settings.duration;
        if restored_ago.is_some_and(|ago| ago < now.saturating_sub(held.acquired_at)) {
            held.acquired_at = now;
            held.phase = HoldPhase::Waiting(now + self.settings.effect_time());
        }
        if matches!(held.phase, HoldPhase::Waiting(until) if sent_at >= until) {
            held.phase = HoldPhase::Confirmed;
        }
    }

    /// Schedules the next call immediately if a read showed that a write is due.
    fn schedule_call(&mut self, now: Moment) {
        let observed = self.observed.as_ref();
        let is_due = match self.held.map(|held| held.phase) {
            Some(HoldPhase::Waiting(until)) => {
                self.next_call_at = self.next_call_at.min(until.max(now));
                false
            }
            // An active lease is only read after a failed call, so its expiry is near.
            Some(HoldPhase::Confirmed | HoldPhase::Active) => true,
            None => observed.is_some_and(|seen| seen.is_free() || self.is_lapsed(seen)),
        };
        if is_due {
            self.next_call_at = now;
        }
    }

    /// Returns the held lease that a write renews. A write that took effect after expiry or across
    /// a restore may have replaced another node's record and counts as an acquisition.
    fn renewed(&self, now: Moment, restored_ago: Option<Duration>) -> Option<HeldLease> {
        let held = self.held.filter(|held| now < held.ends_at)?;
        let known_at = held.ends_at.saturating_sub(self.settings.duration);
        let is_unbroken = restored_ago.is_none_or(|ago| ago >= now.saturating_sub(known_at));
        let is_usable = !matches!(held.phase, HoldPhase::Waiting(_));
        (is_unbroken && is_usable).then_some(held)
    }

    /// Returns the phase of a lease that a write has just acquired.
    fn initial_phase(
        &self,
        now: Moment,
        write: &LeaseWrite,
        restored_ago: Option<Duration>,
    ) -> HoldPhase {
        let effect_time = self.settings.effect_time();
        let since_read = now.saturating_sub(write.read_at);
        if restored_ago.is_none_or(|ago| ago < since_read.saturating_add(effect_time)) {
            return HoldPhase::Waiting(now + effect_time);
        }
        if now >= write.available_from {
            HoldPhase::Active
        } else {
            HoldPhase::Waiting(write.available_from)
        }
    }

    /// Handles a write that took effect between its sending and now.
    fn handle_written(
        &mut self,
        now: Moment,
        version: Version,
        write: LeaseWrite,
        restored_ago: Option<Duration>,
    ) {
        let is_own = write.record.holder == self.name;
        let renewed = self.renewed(now, restored_ago);
        let (follows_clean, acquired_at, phase) = match renewed {
            Some(held) => (held.follows_clean, held.acquired_at, HoldPhase::Active),
            None => {
                let phase = self.initial_phase(now, &write, restored_ago);
                (write.follows_clean, now, phase)
            }
        };
        let LeaseWrite {
            record, sent_at, ..
        } = write;
        self.held = is_own.then_some(HeldLease {
            token: record.token,
            follows_clean,
            acquired_at,
            ends_at: sent_at + self.settings.duration,
            phase,
        });
        self.raise_token_floor(record.token.saturating_add(1));
        self.observed = Some(ObservedLease {
            version,
            record: Some(record),
            unchanged_since: now,
            read_at: sent_at,
            is_write_observed: true,
        });
        self.needs_read = false;
    }
}
