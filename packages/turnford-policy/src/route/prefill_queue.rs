//! The prompts that an engine has to read, in their order.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

use super::engine::RunTicket;
use super::LatencyModel;

/// A prompt that is not read yet.
#[derive(Clone, Copy, Debug)]
struct QueuedRead {
    ticket: RunTicket,
    tokens: u64,
    placed: Moment,
}

/// A prompt that was read while all before it were done, so that its span is its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReadSample {
    /// Tokens that were read.
    pub(crate) tokens: u64,
    /// Span from its turn to its first event.
    pub(crate) span: Duration,
    /// Whether the engine had nothing to read when it came.
    pub(crate) was_idle: bool,
}

/// The prompts that one engine still has to read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    waiting: VecDeque<QueuedRead>,
    /// When the last prompt was read.
    last_read: Moment,
}

impl ReadQueue {
    pub(crate) fn push(&mut self, now: Moment, ticket: RunTicket, tokens: u64) {
        self.waiting.push_back(QueuedRead {
            ticket,
            tokens,
            placed: now,
        });
    }

    /// Returns the span until all of them are read at an engine that takes so many times the usual
    /// span. An engine that is overdue is expected to need as long again: so one that hangs gets
    /// nothing more long before its calls end.
    pub(crate) fn wait(&self, now: Moment, line: &LatencyModel, slowness: f64) -> Duration {
        let Some(front) = self.waiting.front() else {
            return Duration::ZERO;
        };
        let first = line.predict(front.tokens as f64).mul_f64(slowness);
        let begun = front.placed.max(self.last_read);
        let first = first.abs_diff(now.saturating_sub(begun));
        let tokens: u64 = self.waiting.iter().skip(1).map(|read| read.tokens).sum();
        first + Duration::from_secs_f64(tokens as f64 * line.slope() * slowness)
    }

    /// Notes that a prompt was read; what was seen of its span, where that was its own.
    pub(crate) fn finish(&mut self, now: Moment, ticket: RunTicket) -> Option<ReadSample> {
        let front = *self.waiting.front()?;
        if front.ticket != ticket {
            self.remove(ticket);
            return None;
        }
        let was_idle = front.placed >= self.last_read;
        let begun = front.placed.max(self.last_read);
        self.waiting.pop_front();
        self.last_read = now;
        Some(ReadSample {
            tokens: front.tokens,
            span: now.saturating_sub(begun),
            was_idle,
        })
    }

    /// Forgets a prompt that is not read here after all.
    pub(crate) fn remove(&mut self, ticket: RunTicket) {
        self.waiting.retain(|read| read.ticket != ticket);
    }
}
