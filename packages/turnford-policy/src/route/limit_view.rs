//! A target's limit for all nodes together, as one node knows it: whether a call may go there now.

use crate::Moment;

use super::CallRate;
use super::LimitSignal;
use super::ProcessStart;

/// What holds of a target's limit now, as the node that divides it says.
#[derive(Clone, Copy, Debug, Default, PartialEq, bincode::Encode, bincode::Decode)]
pub enum LimitState {
    /// Calls need no permit.
    #[default]
    Free,
    /// It takes so many calls a second from all nodes together.
    Limited(CallRate),
    /// It names no limit any more, and gets more calls by degrees.
    Easing,
}

impl LimitState {
    /// Tells whether each call needs a permit.
    pub fn needs_permit(self) -> bool {
        self != LimitState::Free
    }

    /// Tells whether a target's word is what this state follows from.
    pub fn matches(self, word: LimitSignal) -> bool {
        match self {
            LimitState::Limited(rate) => word == LimitSignal::Rate(rate),
            LimitState::Free | LimitState::Easing => word == LimitSignal::Unlimited,
        }
    }
}

/// What a target said, and between which moments. Answers overtake each other: of two words the newer is
/// known only where one was asked for after the other had come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The word.
    pub signal: LimitSignal,
    /// When the call was sent whose answer it stood in.
    pub sent_at: Moment,
    /// When the answer came.
    pub received_at: Moment,
}

/// A target's limit as one node knows it.
#[derive(Clone, Debug)]
pub(super) struct LimitView {
    /// Start of the target's process.
    pub(super) born: ProcessStart,
    pub(super) state: LimitState,
    /// What the state follows from.
    pub(super) heard: Option<LimitObservation>,
    /// Number of the divider's word that the state is.
    pub(super) sequence: u64,
    /// Until when the permits hold that this node has and did not use.
    permits: Vec<Moment>,
    /// Until when there is no permit for this node.
    denied_until: Moment,
}

impl LimitView {
    pub(super) fn new(born: ProcessStart) -> Self {
        Self {
            born,
            state: LimitState::Free,
            heard: None,
            sequence: 0,
            permits: Vec::new(),
            denied_until: Moment::ZERO,
        }
    }

    /// Takes what an answer to this node said; true if the node that divides should know it.
    pub(super) fn hear(&mut self, heard: LimitObservation) -> bool {
        if self.state.matches(heard.signal) {
            if self.state.needs_permit() {
                self.heard = Some(heard);
            }
            return false;
        }
        self.heard = Some(heard);
        if let (LimitState::Free, LimitSignal::Rate(rate)) = (self.state, heard.signal) {
            // Nothing more is sent without a permit, whoever divides knows of it or not.
            self.state = LimitState::Limited(rate);
        }
        true
    }

    /// Takes the divider's word.
    pub(super) fn set(&mut self, now: Moment, sequence: u64, state: LimitState) {
        self.sequence = sequence;
        if self.state == state {
            return;
        }
        self.state = state;
        self.denied_until = now;
        let word = match state {
            LimitState::Limited(rate) => LimitSignal::Rate(rate),
            LimitState::Free | LimitState::Easing => LimitSignal::Unlimited,
        };
        self.heard = Some(LimitObservation {
            signal: word,
            sent_at: now,
            received_at: now,
        });
    }

    /// Tells whether a call may go there now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.state.needs_permit() || self.permits.iter().any(|until| now < *until)
    }

    /// Lets a call go there, and uses up its permit; false if there is none.
    pub(super) fn enter(&mut self, now: Moment) -> bool {
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

    /// Takes a permit that holds until a moment.
    pub(super) fn add_permit(&mut self, until: Moment) {
        self.permits.push(until);
    }

    /// Notes that there is no permit until a moment.
    pub(super) fn note_denied(&mut self, until: Moment) {
        self.denied_until = until;
    }

    /// Tells whether there may be a permit.
    pub(super) fn may_ask(&self, now: Moment) -> bool {
        self.denied_until <= now
    }
}
