//! Current limit of one target, derived from the observations of all nodes.

use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::LimitObservation;
use turnford_policy::LimitSignal;
use turnford_policy::LimitState;

use crate::Moment;

/// Time in which the rate doubles after a target no longer announces a limit.
const RAMP_DOUBLING_TIME: Duration = Duration::from_millis(400);

/// Time after which such a target is no longer limited.
const RAMP_DURATION: Duration = Duration::from_secs(3);

/// Minimum rate in calls per second at the start of the ramp.
const MIN_RAMP_RATE: CallRate = 2.0;

/// End of a limit.
#[derive(Clone, Copy, Debug)]
struct LimitEnd {
    ended_at: Moment,
    /// Rate before the limit ended.
    rate: CallRate,
}

/// Known limit of one target.
#[derive(Clone, Debug)]
pub(crate) struct LimitRecord {
    current: LimitObservation,
    end: Option<LimitEnd>,
}

impl LimitRecord {
    /// Creates a record from the state that a target or an earlier allocator announced.
    pub(crate) fn new(now: Moment, state: LimitState, received_at: Moment) -> Self {
        let (signal, end) = match state {
            LimitState::Limited(rate) => (LimitSignal::Rate(rate), None),
            LimitState::Free => (LimitSignal::Unlimited, None),
            LimitState::Easing => {
                let end = LimitEnd {
                    ended_at: now,
                    rate: MIN_RAMP_RATE,
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

    /// Applies an observation. One that is certainly older is ignored. If the order of two
    /// observations is unclear, the stricter one holds until a later one arrives.
    pub(crate) fn observe(&mut self, now: Moment, observation: LimitObservation) {
        let current = self.current;
        if observation.received_at <= current.sent_at && observation.signal != current.signal {
            return;
        }
        let is_newer = observation.sent_at >= current.received_at;
        if !is_newer
            && observation.signal != current.signal
            && !observation.signal.is_stricter(current.signal)
        {
            return;
        }
        self.current = LimitObservation {
            signal: observation.signal,
            sent_at: observation.sent_at.max(current.sent_at),
            received_at: observation.received_at.max(current.received_at),
        };
        match (current.signal, observation.signal) {
            (LimitSignal::Rate(rate), LimitSignal::Unlimited) => {
                let rate = rate.max(MIN_RAMP_RATE);
                self.end = Some(LimitEnd {
                    ended_at: now,
                    rate,
                });
            }
            (_, LimitSignal::Rate(_)) => self.end = None,
            _ => {}
        }
    }

    /// Returns the current state.
    pub(crate) fn state(&self, now: Moment) -> LimitState {
        match (self.current.signal, self.end) {
            (LimitSignal::Rate(rate), _) => LimitState::Limited(rate),
            (_, Some(end)) if now.saturating_sub(end.ended_at) < RAMP_DURATION => {
                LimitState::Easing
            }
            _ => LimitState::Free,
        }
    }

    /// Returns the permitted calls per second, or `None` if unlimited.
    pub(crate) fn rate(&self, now: Moment) -> Option<CallRate> {
        let elapsed = |end: LimitEnd| now.saturating_sub(end.ended_at);
        match (self.current.signal, self.end) {
            (LimitSignal::Rate(rate), _) => Some(rate),
            (_, Some(end)) if elapsed(end) < RAMP_DURATION => {
                let doublings = elapsed(end).as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
                Some(end.rate * doublings.exp2())
            }
            _ => None,
        }
    }
}
