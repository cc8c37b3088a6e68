//! Whether one target takes calls of this node, by what it said of itself in its answers.

use std::time::Duration;

use crate::Moment;

/// Time after which a target that said that it leaves, and is listed as ready all the same, is asked
/// whether it stays. One that leaves has its entry say so, or go, within seconds of the store's answers;
/// what is left may have changed its mind.
const ASK_PAUSE: Duration = Duration::from_secs(15);

/// What a target said of itself, and what follows for the calls of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetGate {
    /// When it said last that it leaves, or was asked in vain whether it stays.
    left_at: Option<Moment>,
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

    /// Tells whether it is time to ask it whether it stays.
    pub(super) fn is_ask_due(&self, now: Moment) -> bool {
        self.left_at
            .is_some_and(|at| now.saturating_sub(at) >= ASK_PAUSE)
    }
}
