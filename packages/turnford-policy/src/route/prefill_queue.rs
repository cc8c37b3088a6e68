//! Prefill queue of an engine: prompts that it has not processed yet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

use super::engine::RunTicket;
use super::LatencyModel;

/// A prompt that waits for prefill.
#[derive(Clone, Copy, Debug)]
struct QueuedPrefill {
    ticket: RunTicket,
    tokens: u64,
    placed_at: Moment,
}

/// Measured prefill of a prompt that was first in the queue, so that its duration includes no other
/// prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PrefillSample {
    /// Number of processed tokens.
    pub(crate) tokens: u64,
    /// Time from the start of the prefill to the first event.
    pub(crate) duration: Duration,
    /// Whether the engine had no other prompt queued when this one was placed.
    pub(crate) was_idle: bool,
}

/// Prompts that wait for prefill at one engine, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillQueue {
    waiting: VecDeque<QueuedPrefill>,
    /// When the last prefill was finished.
    last_finished: Moment,
}

impl PrefillQueue {
    pub(crate) fn push(&mut self, now: Moment, ticket: RunTicket, tokens: u64) {
        self.waiting.push_back(QueuedPrefill {
            ticket,
            tokens,
            placed_at: now,
        });
    }

    /// Returns the time until all prompts are processed by an engine of this slowness. An overdue
    /// engine is expected to need as much time again, so that a hung one gets no more requests long
    /// before its calls time out.
    pub(crate) fn wait(&self, now: Moment, model: &LatencyModel, slowness: f64) -> Duration {
        let Some(front) = self.waiting.front() else {
            return Duration::ZERO;
        };
        let first = model.predict(front.tokens as f64).mul_f64(slowness);
        let started_at = front.placed_at.max(self.last_finished);
        let first = first.abs_diff(now.saturating_sub(started_at));
        let tokens: u64 = self
            .waiting
            .iter()
            .skip(1)
            .map(|prompt| prompt.tokens)
            .sum();
        first + Duration::from_secs_f64(tokens as f64 * model.slope() * slowness)
    }

    /// Records that a prompt was processed. Returns a sample if its duration could be measured.
    pub(crate) fn finish(&mut self, now: Moment, ticket: RunTicket) -> Option<PrefillSample> {
        let front = *self.waiting.front()?;
        if front.ticket != ticket {
            self.remove(ticket);
            return None;
        }
        let was_idle = front.placed_at >= self.last_finished;
        let started_at = front.placed_at.max(self.last_finished);
        self.waiting.pop_front();
        self.last_finished = now;
        Some(PrefillSample {
            tokens: front.tokens,
            duration: now.saturating_sub(started_at),
            was_idle,
        })
    }

    /// Removes a prompt that is not processed here after all.
    pub(crate) fn remove(&mut self, ticket: RunTicket) {
        self.waiting.retain(|prompt| prompt.ticket != ticket);
    }
}
