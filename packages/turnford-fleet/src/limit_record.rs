//! What a target's limit is, by what all nodes heard of it.

use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;

use crate::Moment;

/// Time in which a target that names no limit any more gets twice as many calls.
const EASE_DOUBLING: Duration = Duration::from_millis(400);

/// Time after which such a target gets all calls.
const EASE_SPAN: Duration = Duration::from_secs(3);

/// Least calls a second that easing begins with.
const LEAST_EASE: CallRate = 2.0;

/// The end of a limit.
#[derive(Clone, Copy, Debug)]
struct LimitEnd {
    at: Moment,
    /// Rate that it had.
    rate: CallRate,
}

/// What is known of one target's limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitRecord {
    current: LimitObservation,
    end: Option<LimitEnd>,
}

impl LimitRecord {
    /// Starts with a target's word, or with what an earlier divider said.
    pub(crate) fn new(now: Moment, state: LimitState, received_at: Moment) -> Self {
        let (signal, end) = match state {
            LimitState::Limited(rate) => (LimitSignal::Rate(rate), None),
            LimitState::Free => (LimitSignal::Unlimited, None),
            LimitState::Easing => {
                let end = LimitEnd {
                    at: now,
                    rate: LEAST_EASE,
                };
                (LimitSignal::Unlimited, Some(end))
            }
        };
        let current = LimitObservation {
            signal,
            sent_at: received_at,
            received_at,
        };
        Self { current, end }
    }

    /// Takes a word. One that is surely older changes nothing; of two that may have crossed, the stricter
    /// holds until a later one comes.
    pub(crate) fn note(&mut self, now: Moment, heard: LimitObservation) {
        let current = self.current;
        if heard.received_at <= current.sent_at && heard.signal != current.signal {
            return;
        }
        let is_newer = heard.sent_at >= current.received_at;
        if !is_newer && heard.signal != current.signal && !heard.signal.is_stricter(current.signal)
        {
            return;
        }
        self.current = LimitObservation {
            signal: heard.signal,
            sent_at: heard.sent_at.max(current.sent_at),
            received_at: heard.received_at.max(current.received_at),
        };
        match (current.signal, heard.signal) {
            (LimitSignal::Rate(rate), LimitSignal::Unlimited) => {
                let rate = rate.max(LEAST_EASE);
                self.end = Some(LimitEnd { at: now, rate });
            }
            (_, LimitSignal::Rate(_)) => self.end = None,
            _ => {}
        }
    }

    /// Returns what holds now.
    pub(crate) fn state(&self, now: Moment) -> LimitState {
        match (self.current.signal, self.end) {
            (LimitSignal::Rate(rate), _) => LimitState::Limited(rate),
            (_, Some(end)) if now.saturating_sub(end.at) < EASE_SPAN => LimitState::Easing,
            _ => LimitState::Free,
        }
    }

    /// Returns the calls a second that may go there, `None` for any number.
    pub(crate) fn rate(&self, now: Moment) -> Option<CallRate> {
        let span = |end: LimitEnd| now.saturating_sub(end.at);
        match (self.current.signal, self.end) {
            (LimitSignal::Rate(rate), _) => Some(rate),
            (_, Some(end)) if span(end) < EASE_SPAN => {
                let doublings = span(end).as_secs_f64() / EASE_DOUBLING.as_secs_f64();
                Some(end.rate * doublings.exp2())
            }
            _ => None,
        }
    }
}
