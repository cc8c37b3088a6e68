//! Group commit of the claims of one range by conditional updates.
//!
//! Any node may run a [`ClaimCommitter`] for any range; the platform's object versions prevent two
//! of them from granting the same id twice. When the response to a write is lost, the committer
//! reads the range again and recomputes the whole group: a claim that is already stored with the
//! same owner was granted.
//!
//! The platform may be restored from a backup that lacks acknowledged claims. A committer therefore
//! remembers the last state of the range that it observed, decides by that state, and writes
//! missing claims back with the next group.

use std::collections::VecDeque;
use std::time::Duration;

use crate::block::VersionedBlock;
use crate::block::MAX_CLAIMS;
use crate::ClaimBlock;
use crate::ClaimEntry;
use crate::ClaimKey;
use crate::ClaimOwner;
use crate::ClaimState;
use crate::Moment;
use crate::Version;

/// Number of ranges. Each is one object at the platform.
pub const RANGE_COUNT: u16 = 8;

/// Minimum time between two writes of a range. All ranges together must stay well below the
/// platform's rate limit.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after an error of the platform.
const ERROR_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum age of a cached block. An older block is read again before a request is rejected based
/// on it.
const BLOCK_TTL: Duration = Duration::from_secs(2);

/// Time for which a generation must be observed before it is closed.
const GENERATION_DURATION: Duration = Duration::from_secs(600);

/// Maximum number of requests in one group.
const MAX_GROUP_LEN: usize = 2_000;

/// Maximum number of queued requests.
const MAX_QUEUE_LEN: usize = 10_000;

/// Id of a request within one [`ClaimCommitter`].
pub type ClaimTicket = u64;

/// A request to a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimRequest {
    /// Claims an id.
    Acquire(ClaimKey, ClaimOwner),
    /// Records the result code of the owner's request after its call was sent.
    Finish(ClaimKey, ClaimOwner, u16),
    /// Releases an id whose call was never sent and never will be.
    Release(ClaimKey, ClaimOwner),
}

impl ClaimRequest {
    /// Returns the id that the request refers to.
    pub fn key(&self) -> &ClaimKey {
        match self {
            ClaimRequest::Acquire(key, _)
            | ClaimRequest::Finish(key, _, _)
            | ClaimRequest::Release(key, _) => key,
        }
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimVerdict {
    /// The claim is durable and belongs to the owner alone, or the update is durable.
    Granted,
    /// Another request holds or held the id.
    Taken(ClaimEntry),
    /// The range is full until old claims expire; nothing was claimed.
    Full,
    /// The platform did not accept the claim in time. The write may still take effect later, so the
    /// owner must not send the call.
    Unavailable,
}

/// Platform call for a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the range's object.
    Read,
    /// Write the range's object if it has the expected version.
    Write {
        /// Required version of the object; 0 means absent.
        expected: Version,
        /// New value.
        bytes: Vec<u8>,
    },
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeRead {
    /// The object, or version 0 without bytes if it is absent.
    Found(Version, Vec<u8>),
    /// The platform did not respond.
    Failed,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeWrite {
    /// Accepted with this version.
    Accepted(Version),
    /// The object has a different version.
    Conflict,
    /// Definitely not written.
    Refused,
    /// Unknown: the write may or may not have taken effect.
    Lost,
}

/// Result of [`ClaimCommitter::step`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimStep {
    /// Call to make now. Its result is passed to [`ClaimCommitter::handle_read`] or
    /// [`ClaimCommitter::handle_write`].
    pub action: Option<ClaimAction>,
    /// Results of requests that are decided.
    pub verdicts: Vec<(ClaimTicket, ClaimVerdict)>,
}

/// A request that waits for a group.
#[derive(Clone, Copy, Debug)]
struct QueuedClaim {
    ticket: ClaimTicket,
    request: ClaimRequest,
    expires_at: Moment,
}

/// Platform call in flight.
#[derive(Debug)]
enum RangeCall {
    Read,
    Write {
        block: ClaimBlock,
        rotated: bool,
        group: Vec<(QueuedClaim, ClaimVerdict)>,
    },
}

/// Committer of one range on one node.
#[derive(Debug, Default)]
pub struct ClaimCommitter {
    cached: Option<VersionedBlock>,
    /// Last observed state of the range, kept while it has to be read again.
    last_seen: VersionedBlock,
    /// Whether the cached block contains claims that the platform lost.
    has_restored_claims: bool,
    read_at: Moment,
    queue: VecDeque<QueuedClaim>,
    call: Option<RangeCall>,
    next_call_at: Moment,
    next_ticket: ClaimTicket,
    /// Observed generation, and the time since which it has been observed.
    watched: Option<(u64, Moment)>,
}

impl ClaimCommitter {
    /// Creates a committer without a cached block.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues a request that is answered before `expires_at`. Returns `None` if the queue is full.
    pub fn submit(&mut self, request: ClaimRequest, expires_at: Moment) -> Option<ClaimTicket> {
        if self.queue.len() >= MAX_QUEUE_LEN {
            return None;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.queue.push_back(QueuedClaim {
            ticket,
            request,
            expires_at,
        });
        Some(ticket)
    }

    /// Returns the number of claims in the cached block.
    pub fn len(&self) -> usize {
        self.cached.as_ref().map_or(0, |cached| cached.block.len())
    }

    /// Returns whether the cached block has no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether no request is queued and no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.call.is_none()
    }

    /// Answers requests that have expired or need no write, and returns the next call.
    pub fn step(&mut self, now: Moment) -> ClaimStep {
        let mut step = ClaimStep::default();
        self.expire(now, &mut step);
        if self.call.is_some() || self.queue.is_empty() || now < self.next_call_at {
            return step;
        }
        let stale = now.saturating_sub(self.read_at) > BLOCK_TTL;
        match &self.cached {
            Some(cached) if !stale => {
                let cached = cached.clone();
                self.commit(now, cached, &mut step);
            }
            _ => {
                self.call = Some(RangeCall::Read);
                step.action = Some(ClaimAction::Read);
            }
        }
        step
    }

    /// Handles the result of a read.
    pub fn handle_read(&mut self, now: Moment, read: RangeRead) {
        debug_assert!(
            matches!(self.call, Some(RangeCall::Read)),
            "no read is in flight"
        );
        self.call = None;
        let RangeRead::Found(version, bytes) = read else {
            self.next_call_at = now + ERROR_BACKOFF;
            return;
        };
        let block = if version == 0 {
            Some(ClaimBlock::default())
        } else {
            ClaimBlock::decode(&bytes)
        };
        let Some(mut block) = block else {
            // A malformed value is never overwritten, since the claims in it may be valid.
            self.next_call_at = now + ERROR_BACKOFF;
            return;
        };
        self.invalidate();
        let previous = std::mem::take(&mut self.last_seen);
        self.has_restored_claims = block.restore(&previous.block, version < previous.version);
        self.cache_block(now, version, block);
    }

    /// Drops the cached block, but keeps it as the last observed state of the range.
    fn invalidate(&mut self) {
        if let Some(cached) = self.cached.take() {
            self.last_seen = cached;
        }
    }

    /// Handles the result of a write and returns the verdicts that it decides.
    pub fn handle_write(
        &mut self,
        now: Moment,
        write: RangeWrite,
    ) -> Vec<(ClaimTicket, ClaimVerdict)> {
        let Some(RangeCall::Write {
            block,
            rotated,
            group,
        }) = self.call.take()
        else {
            debug_assert!(false, "no write is in flight");
            return Vec::new();
        };
        self.next_call_at = now + WRITE_INTERVAL;
        match write {
            RangeWrite::Accepted(version) => {
                if rotated {
                    self.watched = Some((block.generation, now));
                }
                self.has_restored_claims = false;
                self.cache_block(now, version, block);
                group
                    .into_iter()
                    .map(|(queued, verdict)| (queued.ticket, verdict))
                    .collect()
            }
            RangeWrite::Conflict | RangeWrite::Lost => {
                self.invalidate();
                self.requeue(group);
                Vec::new()
            }
            RangeWrite::Refused => {
                self.next_call_at = now + ERROR_BACKOFF;
                self.requeue(group);
                Vec::new()
            }
        }
    }

    /// Answers expired requests.
    ///
    /// The claim is not released here: the owner may meanwhile have asked another committer and be
    /// sending the call. Only the owner knows, and it releases claims that it will not use.
    fn expire(&mut self, now: Moment, step: &mut ClaimStep) {
        self.queue.retain(|queued| {
            if now < queued.expires_at {
                return true;
            }
            step.verdicts
                .push((queued.ticket, ClaimVerdict::Unavailable));
            false
        });
    }

    /// Applies a group of requests to a block, and starts a write if the block changed.
    fn commit(&mut self, now: Moment, cached: VersionedBlock, step: &mut ClaimStep) {
        let mut block = cached.block;
        let mut group = Vec::new();
        let mut changed = self.has_restored_claims;
        let rotated = self.rotation_due(now, &block);
        if rotated {
            block.rotate();
        }
        let count = self.queue.len().min(MAX_GROUP_LEN);
        for queued in self.queue.drain(..count) {
            let (verdict, has_changed) = apply_request(&mut block, &queued.request);
            changed |= has_changed;
            group.push((queued, verdict));
        }
        if !changed {
            let verdicts = group
                .into_iter()
                .map(|(queued, verdict)| (queued.ticket, verdict));
            step.verdicts.extend(verdicts);
            return;
        }
        step.action = Some(ClaimAction::Write {
            expected: cached.version,
            bytes: block.encode(),
        });
        self.call = Some(RangeCall::Write {
            block,
            rotated,
            group,
        });
    }

    fn rotation_due(&self, now: Moment, block: &ClaimBlock) -> bool {
        self.watched.is_some_and(|(generation, since)| {
            generation == block.generation && now.saturating_sub(since) >= GENERATION_DURATION
        })
    }

    fn cache_block(&mut self, now: Moment, version: Version, block: ClaimBlock) {
        let watched = self.watched.map(|(generation, _)| generation);
        if watched != Some(block.generation) {
            self.watched = Some((block.generation, now));
        }
        self.read_at = now;
        self.cached = Some(VersionedBlock { version, block });
    }

    fn requeue(&mut self, group: Vec<(QueuedClaim, ClaimVerdict)>) {
        for (queued, _) in group.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }
}

/// Applies one request to a block. The flag tells whether the block changed.
fn apply_request(block: &mut ClaimBlock, request: &ClaimRequest) -> (ClaimVerdict, bool) {
    let existing = block.get(request.key()).copied();
    match (*request, existing) {
        (ClaimRequest::Acquire(_, owner), Some(entry)) if entry.owner == owner => match entry.state
        {
            ClaimState::Held => (ClaimVerdict::Granted, false),
            // The owner has given up before and must not send the call now.
            _ => (ClaimVerdict::Taken(entry), false),
        },
        (ClaimRequest::Acquire(key, owner), Some(entry)) if entry.state == ClaimState::Released => {
            let state = ClaimState::Held;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        (ClaimRequest::Acquire(..), Some(entry)) => (ClaimVerdict::Taken(entry), false),
        (ClaimRequest::Acquire(..), None) if block.len() >= MAX_CLAIMS => {
            (ClaimVerdict::Full, false)
        }
        (ClaimRequest::Acquire(key, owner), None) => {
            let state = ClaimState::Held;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        (ClaimRequest::Finish(key, owner, code), Some(entry)) if entry.owner == owner => {
            let state = ClaimState::Finished(code);
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, entry.state != state)
        }
        (ClaimRequest::Release(key, owner), Some(entry))
            if entry.owner == owner && entry.state == ClaimState::Held =>
        {
            let state = ClaimState::Released;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        // Releasing a claim that was never written must also prevent a delayed write from creating
        // it: the tombstone makes the condition of that write fail.
        (ClaimRequest::Release(key, owner), None) => {
            let state = ClaimState::Released;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        (_, Some(entry)) => (ClaimVerdict::Taken(entry), false),
        // The platform lost the claim, but the owner did send the call.
        (ClaimRequest::Finish(key, owner, code), None) => {
            let state = ClaimState::Finished(code);
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
    }
}
