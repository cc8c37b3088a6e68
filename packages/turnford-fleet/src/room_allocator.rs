//! Allocation of the concurrent requests that targets have room for to the requests of all nodes.
//!
//! Each node by itself sees a free slot that others see as well. Targets that fail when they reject
//! too many requests need one node that counts the requests of all nodes. It starts with few
//! requests for each target, since it does not know what earlier allocators have sent, and adjusts
//! their number to what the target accepts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use turnford_policy::ProcessStart;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::CallSupply;
use crate::Moment;
use crate::PermitDecision;
use crate::PermitQueue;
use crate::QueuedRequest;

/// Number of the run of a request, unique at its allocator.
pub type RoomTicket = u64;

/// Concurrent requests of a target of which nothing is known.
const INITIAL_ROOM: f64 = 1.0;

/// Time for which a target gets no request after a rejection. Doubles with each further one in a
/// row.
const REJECTION_PAUSE: Duration = Duration::from_millis(500);

/// Maximum of that time.
const MAX_REJECTION_PAUSE: Duration = Duration::from_secs(4);

/// Time without requests after which other nodes may have allocated meanwhile.
const IDLE_RESET: Duration = Duration::from_secs(1);

/// Time after its deadline at which a run is dropped whose end was not reported.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// Assumed duration of a run before one has ended.
const INITIAL_DURATION: Duration = Duration::from_millis(200);

/// Weight of the newest sample in the moving average of durations.
const DURATION_WEIGHT: f64 = 0.1;

/// Progress that a run is assumed to have at most before its end is reported.
const MAX_PROGRESS: f64 = 0.95;

/// Minimum duration of a run that forecasts assume.
const MIN_DURATION: Duration = Duration::from_millis(10);

/// Share of its time that a new request may be forecast to wait. The rest allows for room that is
/// lost in the meantime, so that few requests are rejected after they have waited.
const MAX_FORECAST_RATIO: f64 = 0.5;

/// What is known of a target's room.
#[derive(Clone, Debug)]
struct TargetRoom {
    process_start: ProcessStart,
    /// Concurrent requests that it accepts.
    room: f64,
    /// Whether it has rejected a request since it started.
    has_rejected: bool,
    consecutive_rejections: u32,
    paused_until: Moment,
    /// Starts of the requests that it runs, the oldest first.
    started_at: VecDeque<Moment>,
}

impl TargetRoom {
    fn new(process_start: ProcessStart) -> Self {
        Self {
            process_start,
            room: INITIAL_ROOM,
            has_rejected: false,
            consecutive_rejections: 0,
            paused_until: Moment::ZERO,
            started_at: VecDeque::new(),
        }
    }

    fn free(&self, now: Moment) -> usize {
        if self.paused_until > now {
            return 0;
        }
        (self.room.floor() as usize).saturating_sub(self.started_at.len())
    }
}

/// A request that a target runs.
#[derive(Clone, Debug)]
struct RoomRun {
    target: TargetId,
    process_start: ProcessStart,
    started_at: Moment,
    expires_at: Moment,
}

/// Allocator of one service's room.
#[derive(Clone, Debug)]
pub struct RoomAllocator {
    queue: PermitQueue,
    targets: BTreeMap<TargetId, TargetRoom>,
    runs: HashMap<RoomTicket, RoomRun>,
    /// Moving average of the durations of runs.
    duration: Duration,
    last_request_at: Moment,
    /// Number of the term in which it allocates.
    term: u64,
}

impl Default for RoomAllocator {
    fn default() -> Self {
        Self {
            queue: PermitQueue::default(),
            targets: BTreeMap::new(),
            runs: HashMap::new(),
            duration: INITIAL_DURATION,
            last_request_at: Moment::ZERO,
            term: 0,
        }
    }
}

impl RoomAllocator {
    /// Begins a term, unless it has begun. Other nodes may have allocated since the last one.
    pub fn begin_term(&mut self, number: u64) {
        if self.term != number {
            self.term = number;
            self.reset_rooms();
        }
    }

    /// Decides whether a request may go to one of these targets now. If so, the caller sends it to
    /// one of [`RoomAllocator::free_targets`] and calls [`RoomAllocator::start`].
    pub fn request(
        &mut self,
        now: Moment,
        request: &QueuedRequest,
        targets: &[TargetSpec],
    ) -> PermitDecision {
        if now.saturating_sub(self.last_request_at) >= IDLE_RESET {
            self.reset_rooms();
        }
        self.last_request_at = now;
        self.remove_expired(now);
        self.observe(targets);
        let supply = self.supply(now, targets);
        if self.queue.contains(request.number) {
            return self.queue.request(now, request, supply);
        }
        let remaining = request.deadline.saturating_sub(now);
        let new_request = QueuedRequest {
            deadline: now + remaining.mul_f64(MAX_FORECAST_RATIO),
            ..request.clone()
        };
        self.queue.request(now, &new_request, supply)
    }

    /// Returns which of these targets have room now.
    pub fn free_targets(&self, now: Moment, targets: &[TargetSpec]) -> Vec<TargetId> {
        let is_free = |target: &&TargetSpec| {
            let room = self.targets.get(&target.id);
            room.is_some_and(|room| room.free(now) > 0)
        };
        let free = targets.iter().filter(is_free);
        free.map(|target| target.id.clone()).collect()
    }

    /// Returns the number of requests that a target runs as far as this allocator knows.
    pub fn in_use(&self, target: &str) -> usize {
        let room = self.targets.get(target);
        room.map_or(0, |room| room.started_at.len())
    }

    /// Records that a request is sent to a target.
    pub fn start(&mut self, now: Moment, ticket: RoomTicket, target: &str, deadline: Moment) {
        let Some(room) = self.targets.get_mut(target) else {
            return;
        };
        room.started_at.push_back(now);
        let run = RoomRun {
            target: target.into(),
            process_start: room.process_start,
            started_at: now,
            expires_at: deadline + EXPIRY_GRACE,
        };
        self.runs.insert(ticket, run);
    }

    /// Records that a target rejected a request, or was not reached.
    pub fn record_rejection(&mut self, now: Moment, ticket: RoomTicket) {
        let Some((run, room)) = self.remove_run(ticket) else {
            return;
        };
        if room.paused_until > now && run.started_at + REJECTION_PAUSE < room.paused_until {
            // Sent before an earlier rejection was known.
            return;
        }
        let doublings = room.consecutive_rejections.min(8);
        let pause = (REJECTION_PAUSE * 2_u32.pow(doublings)).min(MAX_REJECTION_PAUSE);
        room.consecutive_rejections += 1;
        room.paused_until = now + pause;
        room.room = room
            .room
            .min(room.started_at.len() as f64)
            .max(INITIAL_ROOM);
        room.has_rejected = true;
    }

    /// Records that a request ended.
    pub fn end(&mut self, now: Moment, ticket: RoomTicket) {
        let Some((run, room)) = self.remove_run(ticket) else {
            return;
        };
        room.consecutive_rejections = 0;
        // Doubles in each round until the first rejection, then grows by one in each.
        room.room += if room.has_rejected {
            1.0 / room.room
        } else {
            1.0
        };
        let elapsed = now.saturating_sub(run.started_at);
        self.duration =
            self.duration.mul_f64(1.0 - DURATION_WEIGHT) + elapsed.mul_f64(DURATION_WEIGHT);
    }

    /// Removes a run. Returns it with its target, unless the target's process has ended.
    fn remove_run(&mut self, ticket: RoomTicket) -> Option<(RoomRun, &mut TargetRoom)> {
        let run = self.runs.remove(&ticket)?;
        let room = self.targets.get_mut(&run.target)?;
        if room.process_start != run.process_start {
            return None;
        }
        let position = room.started_at.iter().position(|at| *at == run.started_at);
        position.and_then(|position| room.started_at.remove(position));
        Some((run, room))
    }

    /// Applies the listed targets: new processes, and the slots that no target's room exceeds.
    fn observe(&mut self, targets: &[TargetSpec]) {
        for target in targets {
            let start = target.process_start;
            let room = self.targets.entry(target.id.clone());
            let room = room.or_insert_with(|| TargetRoom::new(start));
            if room.process_start != start {
                *room = TargetRoom::new(start);
            }
            room.room = room.room.min(f64::from(target.slots.max(1)));
        }
    }

    /// Returns the room of these targets together, and how fast it becomes free again.
    fn supply(&self, now: Moment, targets: &[TargetSpec]) -> CallSupply {
        let mut supply = CallSupply::default();
        let duration = self.duration.max(MIN_DURATION).as_secs_f64();
        for target in targets {
            let Some(room) = self.targets.get(&target.id) else {
                continue;
            };
            if room.paused_until > now {
                continue;
            }
            let free = room.free(now) as f64;
            let oldest = room.started_at.front();
            let elapsed = oldest.map_or(Duration::ZERO, |at| now.saturating_sub(*at));
            let progress = (elapsed.as_secs_f64() / duration).min(MAX_PROGRESS);
            supply.add(free + progress, room.room / duration);
        }
        supply
    }

    fn reset_rooms(&mut self) {
        for room in self.targets.values_mut() {
            room.room = INITIAL_ROOM;
            room.has_rejected = false;
        }
    }

    fn remove_expired(&mut self, now: Moment) {
        let expired = self.runs.iter().filter(|(_, run)| run.expires_at <= now);
        let expired: Vec<RoomTicket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.remove_run(ticket);
        }
    }

    /// Removes targets that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|id, _| is_listed(id));
    }
}
