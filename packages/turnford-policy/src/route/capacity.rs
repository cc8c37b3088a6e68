//! Capacity for results at the targets of a stage.

use std::collections::HashMap;

use crate::Moment;
use crate::TargetId;

/// A result stored at a target.
#[derive(Clone, Debug)]
struct StoredResult {
    target: TargetId,
    bytes: u64,
    expires_at: Moment,
}

/// Used result capacity of the targets, as far as known to this node.
#[derive(Debug, Default)]
pub(crate) struct CapacityLedger {
    /// Bytes reserved for calls in flight.
    reserved: HashMap<TargetId, u64>,
    /// Stored results by handle.
    results: HashMap<String, StoredResult>,
    /// Bytes used by other nodes, and until when that figure is valid.
    peer_usage: HashMap<TargetId, (u64, Moment)>,
}

impl CapacityLedger {
    /// Returns the used bytes of a target.
    pub(crate) fn used(&self, now: Moment, target: &TargetId) -> u64 {
        let results = self.results.values();
        let results = results.filter(|result| result.target == *target && result.expires_at > now);
        let results: u64 = results.map(|result| result.bytes).sum();
        let peer_usage = self.peer_usage.get(target);
        let peer_usage = peer_usage.filter(|(_, until)| *until > now);
        results
            + self.reserved.get(target).copied().unwrap_or(0)
            + peer_usage.map_or(0, |(bytes, _)| *bytes)
    }

    /// Records the used bytes that a target reported. The part not known to this ledger is
    /// attributed to other nodes.
    pub(crate) fn record_usage(
        &mut self,
        now: Moment,
        target: &TargetId,
        used: u64,
        until: Moment,
    ) {
        self.peer_usage.remove(target);
        let own = self.used(now, target);
        self.peer_usage
            .insert(target.clone(), (used.saturating_sub(own), until));
    }

    /// Reserves capacity for a call.
    pub(crate) fn reserve(&mut self, target: &TargetId, bytes: u64) {
        *self.reserved.entry(target.clone()).or_default() += bytes;
    }

    /// Releases the reservation of a call that ended.
    pub(crate) fn release_reservation(&mut self, target: &str, bytes: u64) {
        if let Some(reserved) = self.reserved.get_mut(target) {
            *reserved = reserved.saturating_sub(bytes);
            if *reserved == 0 {
                self.reserved.remove(target);
            }
        }
    }

    /// Removes all state of a target.
    pub(crate) fn remove_target(&mut self, target: &TargetId) {
        self.reserved.remove(target);
        self.results.retain(|_, result| result.target != *target);
        self.peer_usage.remove(target);
    }

    /// Records a stored result.
    pub(crate) fn record_result(
        &mut self,
        handle: &str,
        target: &TargetId,
        bytes: u64,
        until: Moment,
    ) {
        let result = StoredResult {
            target: target.clone(),
            bytes,
            expires_at: until,
        };
        self.results.insert(handle.to_owned(), result);
    }

    /// Records that a result was released.
    pub(crate) fn release(&mut self, handle: &str) {
        self.results.remove(handle);
    }

    /// Removes expired results, and returns when the next one expires.
    pub(crate) fn expire(&mut self, now: Moment) -> Option<Moment> {
        self.results.retain(|_, result| result.expires_at > now);
        self.peer_usage.retain(|_, (_, until)| *until > now);
        let results = self.results.values().map(|result| result.expires_at);
        let peer_usage = self.peer_usage.values().map(|(_, until)| *until);
        results.chain(peer_usage).min()
    }
}
