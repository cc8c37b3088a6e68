//! A lease at the platform: one holder at a time, with a token that rises.
//!
//! The platform may come back from a copy that is some seconds old: acknowledged writes are gone and
//! versions are given out again, so neither a free record nor an accepted conditional write proves that
//! nobody else holds the lease. A node that takes it therefore waits, only reading, until every earlier
//! holder has stopped by its own clock, and uses the lease once its record was still there after that.
//!
//! Where the platform tells how long ago it last came back, a taker that knows that it has not since every
//! earlier holder stopped uses the lease at once, and a renewal across a return is a new taking.
//!
//! Clocks of other machines play no part. A holder counts its lease from before the renewing write was
//! sent, by its own monotonic clock, and stops well before the end.

use std::time::Duration;

use crate::lease_record::LeaseAction;
use crate::lease_record::LeaseOutcome;
use crate::lease_record::LeaseRecord;
use crate::lease_record::LeaseSettings;
use crate::Moment;
use crate::NodeName;
use crate::Version;

/// Calls in one span of a lease.
const RENEWALS: u32 = 4;

/// Calls in one span of a lease while they fail. A failed renewal takes a read and a write to repair, and
/// both must fit into what is left of the span.
const RETRIES: u32 = 20;

/// Reads further apart than this part of a span don't show that a record stood unchanged between them.
const GAP_PART: u32 = 2;

/// The object as last read or written.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: Version,
    /// `None` if the object is absent.
    record: Option<LeaseRecord>,
    /// Since when every read found this record.
    since: Moment,
    /// When the last such read was sent.
    read_at: Moment,
    /// Whether it replaced another record under this node's eyes, so that its writer is alive.
    is_new: bool,
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
        self.version == version && self.mark() == record.map(|record| record.write_id)
    }

    fn mark(&self) -> Option<u64> {
        self.record.as_ref().map(|record| record.write_id)
    }
}

/// How far a holding has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldPhase {
    /// Not used before this time, when acts of earlier holders are over.
    Waiting(Moment),
    /// A read after that time found the record; the next renewal makes it usable.
    Confirmed,
    /// In use.
    Active,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: Version,
    /// Whether nothing done under the lease before may still hold.
    over_clean: bool,
    /// When the write was known to have taken the lease.
    taken_at: Moment,
    end: Moment,
    phase: HoldPhase,
}

/// A write under way, or one whose answer was lost.
#[derive(Clone, Debug)]
struct LeaseWrite {
    record: LeaseRecord,
    over_clean: bool,
    sent: Moment,
    /// When the read was sent that found what the write replaces.
    read_at: Moment,
    /// From when no earlier holder acts, if the platform did not come back from a copy meanwhile.
    free_from: Moment,
}

/// One node's part in one lease.
#[derive(Debug)]
pub struct LeaseHolder {
    name: NodeName,
    settings: LeaseSettings,
    observed: Option<ObservedLease>,
    held: Option<HeldLease>,
    /// Since when the lease is no longer used because it will be given back.
    retiring: Option<Moment>,
    call_sent: Option<Moment>,
    writing: Option<LeaseWrite>,
    lost: Option<LeaseWrite>,
    /// How long before the answer under way the platform last came back from a copy, where it tells.
    restored_ago: Option<Duration>,
    /// Whether a call failed, so that the object is read before it is written.
    must_read: bool,
    /// Whether another node's write took the place of what was observed.
    met_writer: bool,
    next_call: Moment,
    next_mark: u64,
    /// Highest token seen, and the least that the next term gets.
    token_floor: Version,
}

impl LeaseHolder {
    /// Starts without the lease. `first_mark` must not repeat over the node's restarts.
    pub fn new(name: NodeName, settings: LeaseSettings, first_mark: u64) -> Self {
        Self {
            name,
            settings,
            observed: None,
            held: None,
            retiring: None,
            call_sent: None,
            writing: None,
            lost: None,
            restored_ago: None,
            must_read: false,
            met_writer: false,
            next_call: Moment::ZERO,
            next_mark: first_mark,
            token_floor: 0,
        }
    }

    /// Raises the least token of terms that begin from now on, so that tokens rise also where the
    /// platform lost the record of the last one.
    pub fn raise_token_floor(&mut self, floor: Version) {
        self.token_floor = self.token_floor.max(floor);
    }

    /// Notes what the answer that is noted next tells of the platform: how long before it the platform last
    /// came back from a copy.
    pub fn set_restored_ago(&mut self, ago: Option<Duration>) {
        self.restored_ago = ago;
    }

    /// Returns the token if an act may begin now, by the holder's own clock. It is asked again
    /// right before each act, so that a holder that slept does nothing with a lapsed lease.
    pub fn token(&self, now: Moment) -> Option<Version> {
        let held = self.held.filter(|held| held.phase == HoldPhase::Active)?;
        let usable = self.retiring.is_none() && now + self.settings.margin < held.end;
        usable.then_some(held.token)
    }

    /// Returns the token of the present holding, and whether nothing done under the lease before may
    /// still hold.
    pub fn term(&self) -> Option<(Version, bool)> {
        let held = self.held.filter(|held| held.phase == HoldPhase::Active)?;
        Some((held.token, held.over_clean))
    }

    /// Returns the call to make now, if the node wants the lease and a call is due. `clean` tells
    /// whether nothing done under the lease may still hold, for the case that it is given back.
    pub fn step(&mut self, now: Moment, wanted: bool, clean: bool) -> Option<LeaseAction> {
        self.note_wanted(now, wanted);
        if self.call_sent.is_some() || now < self.next_call {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.end) {
            self.held = None;
            self.must_read = true;
        }
        if !wanted && self.held.is_none() {
            return None;
        }
        // An act that began just before may still take effect; the lease is given back after it.
        let retiring = self.retiring.filter(|_| self.held.is_some());
        if retiring.is_some_and(|since| now < since + self.settings.max_action_time) {
            return None;
        }
        self.call_sent = Some(now);
        let write = self.next_write(now, wanted, clean);
        let action = write.map_or(LeaseAction::Read, |(expected, write)| {
            let record = write.record.clone();
            self.writing = Some(write);
            LeaseAction::Write { expected, record }
        });
        Some(action)
    }

    /// Returns the write that is due, with the version that it replaces; without one the object is read.
    fn next_write(
        &mut self,
        now: Moment,
        wanted: bool,
        clean: bool,
    ) -> Option<(Version, LeaseWrite)> {
        let observed = self.observed.as_ref().filter(|_| !self.must_read)?;
        let is_fresh = now.saturating_sub(observed.read_at) <= self.settings.duration / RENEWALS;
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
        let over_clean = observed.is_clean();
        let known = observed.record.as_ref().map_or(0, |record| record.token);
        let held = self.held;
        // Until the first use a later holder may have been lost with the copy, so the token is made anew.
        let used = held.filter(|held| held.phase == HoldPhase::Active);
        let token = used.map_or_else(
            || self.token_floor.max(known.max(expected).saturating_add(1)),
            |held| held.token,
        );
        self.next_mark = self.next_mark.wrapping_add(1);
        let mut record = LeaseRecord {
            holder: self.name.clone(),
            write_id: self.next_mark,
            clean: false,
            token,
            pending: held.is_none(),
        };
        if !wanted {
            // The lease is given back; its end is not waited for. What was never used is as clean as before.
            self.held = None;
            record.holder = NodeName::new();
            record.clean = match held {
                Some(held) if held.phase != HoldPhase::Active => held.over_clean,
                _ => clean,
            };
        }
        let free_from = if observed.is_free() {
            observed.read_at
        } else {
            observed.since + self.settings.effect_span()
        };
        let write = LeaseWrite {
            record,
            over_clean,
            sent: now,
            read_at: observed.read_at,
            free_from,
        };
        Some((expected, write))
    }

    /// Tells whether a record stood for so long that its holder has stopped. One whose writer was alive
    /// a moment ago and waits for its first use gets the time for that wait too.
    fn is_lapsed(&self, observed: &ObservedLease) -> bool {
        let pending = observed
            .record
            .as_ref()
            .is_some_and(|record| record.pending);
        let span = if pending && observed.is_new {
            self.settings.duration + self.settings.effect_span()
        } else {
            self.settings.usable_span()
        };
        observed.read_at >= observed.since + span
    }

    /// Takes the end of a call.
    pub fn handle_outcome(&mut self, now: Moment, answer: LeaseOutcome) {
        let Some(sent) = self.call_sent.take() else {
            debug_assert!(false, "no call is under way");
            return;
        };
        self.next_call = now + self.settings.duration / RENEWALS;
        let writing = self.writing.take();
        let restored_ago = self.restored_ago.take();
        match answer {
            LeaseOutcome::Found(found) => self.note_found(now, sent, found, restored_ago),
            LeaseOutcome::Accepted(version) => {
                if let Some(write) = writing {
                    self.note_written(now, version, write, restored_ago);
                }
            }
            LeaseOutcome::Conflict => {
                self.drop_hold();
                self.next_call = now;
            }
            // A write whose answer is lost may have taken effect. The next step reads, and finds
            // the record by its mark if it did.
            LeaseOutcome::Failed => {
                self.lost = writing;
                self.must_read = true;
                self.next_call = now + self.settings.duration / RETRIES;
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

    /// Forgets a holding that another node's write ended.
    fn drop_hold(&mut self) {
        self.held = None;
        self.observed = None;
        self.met_writer = true;
    }

    fn note_found(
        &mut self,
        now: Moment,
        sent: Moment,
        found: Option<(Version, LeaseRecord)>,
        restored_ago: Option<Duration>,
    ) {
        self.must_read = false;
        let lost = self.lost.take();
        if let (Some((version, record)), Some(write)) = (&found, lost) {
            if *record == write.record {
                self.note_written(now, *version, write, restored_ago);
                self.plan_call(now);
                return;
            }
        }
        let (version, record) =
            found.map_or((0, None), |(version, record)| (version, Some(record)));
        let known = self.observed.as_mut();
        let same = known.filter(|known| known.is_same(version, record.as_ref()));
        if let Some(known) = same {
            if sent.saturating_sub(known.read_at) > self.settings.duration / GAP_PART {
                known.since = now;
            }
            known.read_at = sent;
        } else {
            self.held = None;
            self.observe(now, sent, version, record);
        }
        self.confirm_hold(now, sent, restored_ago);
        self.plan_call(now);
    }

    /// Observes a record that this node has not seen before.
    fn observe(
        &mut self,
        now: Moment,
        sent: Moment,
        version: Version,
        record: Option<LeaseRecord>,
    ) {
        let token = record.as_ref().map_or(0, |record| record.token);
        self.raise_token_floor(token.saturating_add(1));
        let is_new = self.observed.is_some() || self.met_writer;
        self.met_writer = false;
        self.observed = Some(ObservedLease {
            version,
            record,
            since: now,
            read_at: sent,
            is_new,
        });
    }

    /// Notes that a read found this node's own record, if it holds the lease. After a return of the platform
    /// the wait begins anew: another node may have taken the lease in what was lost.
    fn confirm_hold(&mut self, now: Moment, sent: Moment, restored_ago: Option<Duration>) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.phase == HoldPhase::Active {
            return;
        }
        held.end = sent + self.settings.duration;
        if restored_ago.is_some_and(|ago| ago < now.saturating_sub(held.taken_at)) {
            held.taken_at = now;
            held.phase = HoldPhase::Waiting(now + self.settings.effect_span());
        }
        if matches!(held.phase, HoldPhase::Waiting(until) if sent >= until) {
            held.phase = HoldPhase::Confirmed;
        }
    }

    /// Has the next call made at once where a read shows that a write is due.
    fn plan_call(&mut self, now: Moment) {
        let observed = self.observed.as_ref();
        let is_due = match self.held.map(|held| held.phase) {
            Some(HoldPhase::Waiting(until)) => {
                self.next_call = self.next_call.min(until.max(now));
                false
            }
            // An active lease was read because a call had failed, so its end is near.
            Some(HoldPhase::Confirmed | HoldPhase::Active) => true,
            None => observed.is_some_and(|seen| seen.is_free() || self.is_lapsed(seen)),
        };
        if is_due {
            self.next_call = now;
        }
    }

    /// Returns the holding that a write renews. One that took effect after the holding's end, or across a
    /// return of the platform, may have replaced another node's record.
    fn renewed(&self, now: Moment, restored_ago: Option<Duration>) -> Option<HeldLease> {
        let held = self.held.filter(|held| now < held.end)?;
        let known_at = held.end.saturating_sub(self.settings.duration);
        let is_unbroken = restored_ago.is_none_or(|ago| ago >= now.saturating_sub(known_at));
        let is_usable = !matches!(held.phase, HoldPhase::Waiting(_));
        (is_unbroken && is_usable).then_some(held)
    }

    /// Returns how far a holding is that a write has just begun.
    fn first_phase(
        &self,
        now: Moment,
        write: &LeaseWrite,
        restored_ago: Option<Duration>,
    ) -> HoldPhase {
        let effect_span = self.settings.effect_span();
        let since_read = now.saturating_sub(write.read_at);
        if restored_ago.is_none_or(|ago| ago < since_read.saturating_add(effect_span)) {
            return HoldPhase::Waiting(now + effect_span);
        }
        if now >= write.free_from {
            HoldPhase::Active
        } else {
            HoldPhase::Waiting(write.free_from)
        }
    }

    /// Notes that a write took effect, some time between its sending and now.
    fn note_written(
        &mut self,
        now: Moment,
        version: Version,
        write: LeaseWrite,
        restored_ago: Option<Duration>,
    ) {
        let is_own = write.record.holder == self.name;
        let renewed = self.renewed(now, restored_ago);
        let (over_clean, taken_at, phase) = match renewed {
            Some(held) => (held.over_clean, held.taken_at, HoldPhase::Active),
            None => {
                let phase = self.first_phase(now, &write, restored_ago);
                (write.over_clean, now, phase)
            }
        };
        let LeaseWrite { record, sent, .. } = write;
        self.held = is_own.then_some(HeldLease {
            token: record.token,
            over_clean,
            taken_at,
            end: sent + self.settings.duration,
            phase,
        });
        self.raise_token_floor(record.token.saturating_add(1));
        self.observed = Some(ObservedLease {
            version,
            record: Some(record),
            since: now,
            read_at: sent,
            is_new: true,
        });
        self.must_read = false;
    }
}
