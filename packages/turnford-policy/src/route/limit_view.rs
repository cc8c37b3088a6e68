//! Limit of one target, shared by all nodes, as known to one node.

use crate::Moment;

use super::CallRate;
use super::LimitSignal;
use super::ProcessStart;

/// State of a target's limit as announced by the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub enum LimitState {
    /// Calls need no permit.
    #[default]
    Free,
    /// The target takes this number of calls per second from all nodes together.
    Limited(CallRate),
    /// The target no longer names a limit, and its rate is raised gradually.
    Easing,
}

impl LimitState {
    /// Returns whether each call needs a permit.
    pub fn needs_permit(self) -> bool {
        self != LimitState::Free
    }

    /// Returns whether this state follows from a target's signal.
    pub fn matches(self, signal: LimitSignal) -> bool {
        match self {
            LimitState::Limited(rate) => signal == LimitSignal::Rate(rate),
            LimitState::Free | LimitState::Easing => signal == LimitSignal::Unlimited,
        }
    }
}

/// A target's limit signal and the interval in which it was given. Responses may overtake each
/// other: one signal is known to be newer only if its call was sent after the response with the
/// other was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Limit named in the response.
    pub signal: LimitSignal,
    /// When the call was sent.
    pub sent_at: Moment,
    /// When its response was received.
    pub received_at: Moment,
}

/// A target's limit as known to one node.
#[derive(Clone, Debug)]
pub(super) struct LimitView {
    /// Start of the target's process.
    pub(super) process_start: ProcessStart,
    pub(super) state: LimitState,
    /// Observation that the state is based on.
    pub(super) observation: Option<LimitObservation>,
    /// Sequence number of the allocator's announcement that set the state.
    pub(super) sequence: u64,
    /// Expiry of each unused permit of this node.
    permits: Vec<Moment>,
    /// End of the time in which no permit is available to this node.
    denied_until: Moment,
}

impl LimitView {
    pub(super) fn new(process_start: ProcessStart) -> Self {
        Self {
            process_start,
            state: LimitState::Free,
            observation: None,
            sequence: 0,
            permits: Vec::new(),
            denied_until: Moment::ZERO,
        }
    }

    /// Records the signal of a response to this node. Returns true if the allocator should be
    /// informed.
    pub(super) fn observe(&mut self, observation: LimitObservation) -> bool {
        if self.state.matches(observation.signal) {
            if self.state.needs_permit() {
                self.observation = Some(observation);
            }
            return false;
        }
        self.observation = Some(observation);
        if let (LimitState::Free, LimitSignal::Rate(rate)) = (self.state, observation.signal) {
            // Further calls need a permit even before the allocator knows of the limit.
            self.state = LimitState::Limited(rate);
        }
        true
    }

    /// Applies a state announced by the allocator.
    pub(super) fn apply(&mut self, now: Moment, sequence: u64, state: LimitState) {
        self.sequence = sequence;
        if self.state == state {
            return;
        }
        self.state = state;
        self.denied_until = now;
        let signal = match state {
            LimitState::Limited(rate) => LimitSignal::Rate(rate),
            LimitState::Free | LimitState::Easing => LimitSignal::Unlimited,
        };
        self.observation = Some(LimitObservation {
            signal,
            sent_at: now,
            received_at: now,
        });
    }

    /// Returns whether a call is allowed now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.state.needs_permit() || self.permits.iter().any(|until| now < *until)
    }

    /// Uses up a permit for a call if one is needed. Returns false if there is none.
    pub(super) fn try_acquire(&mut self, now: Moment) -> bool {
        self.permits.retain(|until| now < *until);
        if !self.state.needs_permit() {
            return true;
        }
        if self.permits.is_empty() {
            return false;
        }
        self.permits.remove(0);
        true
    }

    /// Adds a permit that is valid until a moment.
    pub(super) fn add_permit(&mut self, until: Moment) {
        self.permits.push(until);
    }

    /// Records that no permit is available until a moment.
    pub(super) fn record_denial(&mut self, until: Moment) {
        self.denied_until = until;
    }

    /// Returns whether a permit can be requested.
    pub(super) fn can_request(&self, now: Moment) -> bool {
        self.denied_until <= now
    }
}
