//! Room for results at the targets of a stage.

use std::collections::HashMap;

use crate::Moment;
use crate::TargetId;

/// A result that a target keeps.
#[derive(Clone, Debug)]
struct KeptResult {
    target: TargetId,
    bytes: u64,
    until: Moment,
}

/// What is taken of the targets' room, as far as this node's calls took it.
#[derive(Debug, Default)]
pub(crate) struct RoomLedger {
    /// Bytes set aside for calls under way.
    reserved: HashMap<TargetId, u64>,
    /// Results by their handles.
    kept: HashMap<String, KeptResult>,
    /// Bytes that others took, and until when that is believed.
    foreign: HashMap<TargetId, (u64, Moment)>,
}

impl RoomLedger {
    /// Returns the bytes taken at a target.
    pub(crate) fn used(&self, now: Moment, target: &TargetId) -> u64 {
        let kept = self.kept.values();
        let kept = kept.filter(|result| result.target == *target && result.until > now);
        let kept: u64 = kept.map(|result| result.bytes).sum();
        let foreign = self.foreign.get(target);
        let foreign = foreign.filter(|(_, until)| *until > now);
        kept + self.reserved.get(target).copied().unwrap_or(0)
            + foreign.map_or(0, |(bytes, _)| *bytes)
    }

    /// Notes the bytes that are taken at a target by its own word; what this ledger does not know
    /// of is others'.
    pub(crate) fn note_taken(&mut self, now: Moment, target: &TargetId, taken: u64, until: Moment) {
        self.foreign.remove(target);
        let own = self.used(now, target);
        self.foreign
            .insert(target.clone(), (taken.saturating_sub(own), until));
    }

    /// Sets room aside for a call.
    pub(crate) fn reserve(&mut self, target: &TargetId, bytes: u64) {
        *self.reserved.entry(target.clone()).or_default() += bytes;
    }

    /// Gives back what was set aside for a call that ended.
    pub(crate) fn end_call(&mut self, target: &str, bytes: u64) {
        if let Some(reserved) = self.reserved.get_mut(target) {
            *reserved = reserved.saturating_sub(bytes);
            if *reserved == 0 {
                self.reserved.remove(target);
            }
        }
    }

    /// Forgets everything that a target held.
    pub(crate) fn forget_target(&mut self, target: &TargetId) {
        self.reserved.remove(target);
        self.kept.retain(|_, result| result.target != *target);
        self.foreign.remove(target);
    }

    /// Notes a result.
    pub(crate) fn keep(&mut self, handle: &str, target: &TargetId, bytes: u64, until: Moment) {
        let result = KeptResult {
            target: target.clone(),
            bytes,
            until,
        };
        self.kept.insert(handle.to_owned(), result);
    }

    /// Notes that a result was given up.
    pub(crate) fn release(&mut self, handle: &str) {
        self.kept.remove(handle);
    }

    /// Forgets results that went by themselves; returns when the next one does.
    pub(crate) fn expire(&mut self, now: Moment) -> Option<Moment> {
        self.kept.retain(|_, result| result.until > now);
        self.foreign.retain(|_, (_, until)| *until > now);
        let kept = self.kept.values().map(|result| result.until);
        let foreign = self.foreign.values().map(|(_, until)| *until);
        kept.chain(foreign).min()
    }
}
