//! Whether the targets of a service fail when they reject too many requests, as they announce to all nodes together.

use std::time::Duration;

use crate::Moment;

/// Time after the last announcement for which targets count as brittle. Nodes that get no response of a target hear
/// of announcements from others in the meantime.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);

/// Minimum time between two announcements that other nodes are notified of. A message that was delayed makes its
/// announcement look later than it was; it is not to be passed on as another one.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// What a node knows of a service's announcements.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrittleSignal {
    /// Time of the last announcement.
    announced_at: Option<Moment>,
    /// Time of the last response without an announcement.
    absent_at: Option<Moment>,
    /// Last announcement that other nodes were notified of.
    renewed_at: Option<Moment>,
}

impl BrittleSignal {
    /// Returns whether the service's targets are brittle.
    pub fn is_brittle(&self, now: Moment) -> bool {
        let is_recent = |at: &Moment| now.saturating_sub(*at) < ANNOUNCEMENT_TTL;
        let announced_at = self.announced_at.filter(is_recent);
        announced_at.is_some_and(|at| self.absent_at.is_none_or(|absent| absent < at))
    }

    /// Records an announcement from `at`, to this node or to another one. Returns whether other nodes have to be
    /// notified.
    pub fn record_announcement(&mut self, now: Moment, at: Moment) -> bool {
        let is_outdated = now.saturating_sub(at) >= ANNOUNCEMENT_TTL;
        if is_outdated || self.announced_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.announced_at = Some(at);
        let is_new = self
            .renewed_at
            .is_none_or(|renewed| at >= renewed + RENEW_INTERVAL);
        if is_new {
            self.renewed_at = Some(at);
        }
        is_new
    }

    /// Records a response without an announcement to a call sent at `sent_at`. Responses to calls that were sent
    /// before the last announcement are out of date.
    pub fn record_absence(&mut self, now: Moment, sent_at: Moment) {
        if self.announced_at.is_some_and(|at| at < sent_at) {
            self.absent_at = Some(now);
        }
    }
}
