//! Whether one target takes calls of this node, by what it said of itself in its answers.

use std::time::Duration;

use crate::Moment;

/// Time after which a target that said that it leaves, and is listed as ready all the same, is asked
/// whether it stays. One that leaves has its entry say so, or go, within seconds of the store's answers;
/// what is left may have changed its mind.
const ASK_PAUSE: Duration = Duration::from_secs(10);

/// Part of that time by which a node asks later at most, each by its own: all heard of the word within
/// milliseconds, and the questions of a large fleet in one second would take a small target's places.
const ASK_SPREAD: f64 = 0.6;

/// Calls that a target may have under way when its rest is over. Each good answer lets in one more, so
/// that they double with each round: all that waited at once would bring the next rest.
const FIRST_CALLS: u32 = 1;

/// What a target said of itself, and what follows for the calls of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetGate {
    /// When it said last that it leaves, or was asked in vain whether it stays.
    left_at: Option<Moment>,
    /// Until when it wants nothing of this node.
    rests_until: Moment,
    /// Until when it wants nothing of the node that gathers for it, as that one told.
    told_until: Moment,
    /// Calls that it may have under way since its rest ended; `None` for any number.
    call_limit: Option<u32>,
}

impl TargetGate {
    /// Notes that it said that it leaves; true if that is new.
    pub(super) fn note_leaving(&mut self, now: Moment) -> bool {
        self.left_at.replace(now).is_none()
    }

    /// Notes that it said that it stays.
    pub(super) fn note_staying(&mut self) {
        self.left_at = None;
    }

    /// Tells whether it said that it leaves.
    pub(super) fn leaves(&self) -> bool {
        self.left_at.is_some()
    }

    /// Tells whether it is time to ask it whether it stays; `later` is this node's own part of the time, from
    /// 0 to 1, by which nodes ask one after the other.
    pub(super) fn is_ask_due(&self, now: Moment, later: f64) -> bool {
        let left_at = self.left_at.filter(|_| !self.rests(now));
        left_at
            .is_some_and(|at| now.saturating_sub(at) >= ASK_PAUSE.mul_f64(1.0 + ASK_SPREAD * later))
    }

    /// Notes that it wants nothing of this node for so long. A shorter word does not shorten the rest.
    pub(super) fn note_rest(&mut self, now: Moment, span: Duration) {
        self.rests_until = self.rests_until.max(now.saturating_add(span));
        self.call_limit = Some(FIRST_CALLS);
    }

    /// Notes that it wants nothing of the node that gathers for it for so long.
    pub(super) fn note_told_rest(&mut self, now: Moment, span: Duration) {
        self.told_until = self.told_until.max(now.saturating_add(span));
    }

    /// Returns until when it rests towards this node, or the one that gathers for it.
    pub(super) fn any_rest_until(&self) -> Moment {
        self.rests_until.max(self.told_until)
    }

    /// Tells whether it rests.
    pub(super) fn rests(&self, now: Moment) -> bool {
        now < self.rests_until
    }

    /// Returns when its rest ends, a moment that is past if it has.
    pub(super) fn rests_until(&self) -> Moment {
        self.rests_until
    }

    /// Tells whether it takes so many calls at once.
    pub(super) fn has_room(&self, now: Moment, calls: u32) -> bool {
        !self.rests(now) && self.call_limit.is_none_or(|limit| calls <= limit)
    }

    /// Notes a good answer of a target with so many places.
    pub(super) fn note_success(&mut self, now: Moment, slots: u32) {
        if self.rests(now) {
            return;
        }
        let limit = self.call_limit.map(|limit| limit.saturating_add(1));
        self.call_limit = limit.filter(|limit| *limit <= slots);
    }
}
