//! What a target's limit is, by what all nodes heard of it.

use std::time::Duration;

use turnford_policy::CallRate;
use turnford_policy::HeardWord;
use turnford_policy::LimitState;
use turnford_policy::LimitWord;

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
    current: HeardWord,
    end: Option<LimitEnd>,
}

impl LimitRecord {
    /// Starts with a target's word, or with what an earlier divider said.
    pub(crate) fn new(now: Moment, state: LimitState, heard: Moment) -> Self {
        let (word, end) = match state {
            LimitState::Limited(rate) => (LimitWord::Rate(rate), None),
            LimitState::Free => (LimitWord::Unlimited, None),
            LimitState::Easing => {
                let end = LimitEnd {
                    at: now,
                    rate: LEAST_EASE,
                };
                (LimitWord::Unlimited, Some(end))
            }
        };
        let current = HeardWord {
            word,
            sent: heard,
            heard,
        };
        Self { current, end }
    }

    /// Takes a word. One that is surely older changes nothing; of two that may have crossed, the stricter
    /// holds until a later one comes.
    pub(crate) fn note(&mut self, now: Moment, heard: HeardWord) {
        let current = self.current;
        if heard.heard <= current.sent && heard.word != current.word {
            return;
        }
        let is_newer = heard.sent >= current.heard;
        if !is_newer && heard.word != current.word && !heard.word.is_stricter(current.word) {
            return;
        }
        self.current = HeardWord {
            word: heard.word,
            sent: heard.sent.max(current.sent),
            heard: heard.heard.max(current.heard),
        };
        match (current.word, heard.word) {
            (LimitWord::Rate(rate), LimitWord::Unlimited) => {
                let rate = rate.max(LEAST_EASE);
                self.end = Some(LimitEnd { at: now, rate });
            }
            (_, LimitWord::Rate(_)) => self.end = None,
            _ => {}
        }
    }

    /// Returns what holds now.
    pub(crate) fn state(&self, now: Moment) -> LimitState {
        match (self.current.word, self.end) {
            (LimitWord::Rate(rate), _) => LimitState::Limited(rate),
            (_, Some(end)) if now.saturating_sub(end.at) < EASE_SPAN => LimitState::Easing,
            _ => LimitState::Free,
        }
    }

    /// Returns the calls a second that may go there, `None` for any number.
    pub(crate) fn rate(&self, now: Moment) -> Option<CallRate> {
        let span = |end: LimitEnd| now.saturating_sub(end.at);
        match (self.current.word, self.end) {
            (LimitWord::Rate(rate), _) => Some(rate),
            (_, Some(end)) if span(end) < EASE_SPAN => {
                let doublings = span(end).as_secs_f64() / EASE_DOUBLING.as_secs_f64();
                Some(end.rate * doublings.exp2())
            }
            _ => None,
        }
    }
}
