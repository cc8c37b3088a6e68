//! Claims of one range, committed in groups by conditional update.
//!
//! Any node may run a [`ClaimCommitter`] for any range; the platform's versions keep two of them from
//! granting the same id twice. What a lost answer leaves open is settled by reading the range again
//! and computing the whole group anew: a claim that is there with the same owner was granted.
//!
//! The platform may come back from a copy without claims that it acknowledged. A committer remembers what it
//! saw of the range, judges by that and writes it back with the next group.

use std::collections::VecDeque;
use std::time::Duration;

use crate::block::VersionedBlock;
use crate::block::CLAIM_LIMIT;
use crate::ClaimBlock;
use crate::ClaimEntry;
use crate::ClaimKey;
use crate::ClaimOwner;
use crate::ClaimState;
use crate::Moment;
use crate::Version;

/// Number of ranges; each is one object at the platform.
pub const RANGE_COUNT: u16 = 8;

/// Shortest time between two writes of a range: all ranges together must stay well below the platform's rate.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a fault of the platform.
const FAULT_PAUSE: Duration = Duration::from_millis(250);

/// Time after which a cached block is read again before anything is refused from it.
const BLOCK_LIFE: Duration = Duration::from_secs(2);

/// Time for which a generation must be watched before it is closed.
const GENERATION_SPAN: Duration = Duration::from_secs(600);

/// Most asks in one group.
const GROUP_LIMIT: usize = 2_000;

/// Most asks that wait.
const QUEUE_LIMIT: usize = 10_000;

/// Number of an ask inside one [`ClaimCommitter`].
pub type ClaimTicket = u64;

/// What is asked of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimRequest {
    /// Claims an id.
    Acquire(ClaimKey, ClaimOwner),
    /// Notes how the owner's request ended after the call was sent.
    Finish(ClaimKey, ClaimOwner, u16),
    /// Gives an id back whose call was never sent and never will be.
    Release(ClaimKey, ClaimOwner),
}

impl ClaimRequest {
    /// Returns the id asked about.
    pub fn key(&self) -> &ClaimKey {
        match self {
            ClaimRequest::Acquire(key, _)
            | ClaimRequest::Finish(key, _, _)
            | ClaimRequest::Release(key, _) => key,
        }
    }
}

/// Answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimVerdict {
    /// The claim is durable and the owner's alone; or the note is durable.
    Granted,
    /// Another request has or had the id.
    Taken(ClaimEntry),
    /// The range is full until old claims are cleared; nothing was claimed.
    Full,
    /// The platform did not take the claim in time. It may yet be found there; the owner must not
    /// send the call.
    Unavailable,
}

/// Call to the platform for a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the range's object.
    Read,
    /// Write the range's object if it has this version; 0 means absent.
    Write {
        /// Version that the object must have.
        expected: Version,
        /// New value.
        bytes: Vec<u8>,
    },
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeRead {
    /// The object, or version 0 and no bytes if it is absent.
    Found(Version, Vec<u8>),
    /// The platform did not answer.
    Failed,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeWrite {
    /// Accepted with this version.
    Accepted(Version),
    /// The object has another version.
    Conflict,
    /// Surely not written.
    Refused,
    /// Not known.
    Lost,
}

/// What [`ClaimCommitter::step`] returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimStep {
    /// Call to make now, its end to be given back.
    pub action: Option<ClaimAction>,
    /// Answers to asks.
    pub verdicts: Vec<(ClaimTicket, ClaimVerdict)>,
}

/// One ask that waits.
#[derive(Clone, Copy, Debug)]
struct QueuedAsk {
    ticket: ClaimTicket,
    ask: ClaimRequest,
    expires: Moment,
}

/// The call to the platform that is under way.
#[derive(Debug)]
enum RangeCall {
    Read,
    Write {
        block: ClaimBlock,
        rotated: bool,
        group: Vec<(QueuedAsk, ClaimVerdict)>,
    },
}

/// The committer of one range on one node.
#[derive(Debug, Default)]
pub struct ClaimCommitter {
    known: Option<VersionedBlock>,
    /// The range as last seen, while it has to be read again.
    remembered: VersionedBlock,
    /// Whether what is known holds claims that the platform lost.
    is_restored: bool,
    read_at: Moment,
    queue: VecDeque<QueuedAsk>,
    call: Option<RangeCall>,
    next_call: Moment,
    next_ticket: ClaimTicket,
    /// Generation that is watched, and since when.
    watched: Option<(u64, Moment)>,
}

impl ClaimCommitter {
    /// Makes a committer that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues an ask that is answered before `expires`; `None` if too many wait.
    pub fn submit(&mut self, ask: ClaimRequest, expires: Moment) -> Option<ClaimTicket> {
        if self.queue.len() >= QUEUE_LIMIT {
            return None;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.queue.push_back(QueuedAsk {
            ticket,
            ask,
            expires,
        });
        Some(ticket)
    }

    /// Returns the number of claims known.
    pub fn len(&self) -> usize {
        self.known.as_ref().map_or(0, |known| known.block.len())
    }

    /// Tells whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tells whether nothing waits and no call is under way.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.call.is_none()
    }

    /// Moves on: answers what is late or already clear, and starts the next call.
    pub fn step(&mut self, now: Moment) -> ClaimStep {
        let mut step = ClaimStep::default();
        self.expire(now, &mut step);
        if self.call.is_some() || self.queue.is_empty() || now < self.next_call {
            return step;
        }
        let stale = now.saturating_sub(self.read_at) > BLOCK_LIFE;
        match &self.known {
            Some(known) if !stale => {
                let known = known.clone();
                self.commit(now, known, &mut step);
            }
            _ => {
                self.call = Some(RangeCall::Read);
                step.action = Some(ClaimAction::Read);
            }
        }
        step
    }

    /// Takes the end of a read.
    pub fn handle_read(&mut self, now: Moment, read: RangeRead) {
        debug_assert!(
            matches!(self.call, Some(RangeCall::Read)),
            "no read is under way"
        );
        self.call = None;
        let RangeRead::Found(version, bytes) = read else {
            self.next_call = now + FAULT_PAUSE;
            return;
        };
        let block = if version == 0 {
            Some(ClaimBlock::default())
        } else {
            ClaimBlock::decode(&bytes)
        };
        let Some(mut block) = block else {
            // A damaged value is never overwritten: claims in it may be valid.
            self.next_call = now + FAULT_PAUSE;
            return;
        };
        self.forget();
        let before = std::mem::take(&mut self.remembered);
        self.is_restored = block.restore(&before.block, version < before.version);
        self.learn(now, version, block);
    }

    /// Keeps what is known only as what was seen of the range before.
    fn forget(&mut self) {
        if let Some(known) = self.known.take() {
            self.remembered = known;
        }
    }

    /// Takes the end of a write, and returns the answers that are clear by it.
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
            debug_assert!(false, "no write is under way");
            return Vec::new();
        };
        self.next_call = now + WRITE_PAUSE;
        match write {
            RangeWrite::Accepted(version) => {
                if rotated {
                    self.watched = Some((block.generation, now));
                }
                self.is_restored = false;
                self.learn(now, version, block);
                group
                    .into_iter()
                    .map(|(queued, verdict)| (queued.ticket, verdict))
                    .collect()
            }
            RangeWrite::Conflict | RangeWrite::Lost => {
                self.forget();
                self.requeue(group);
                Vec::new()
            }
            RangeWrite::Refused => {
                self.next_call = now + FAULT_PAUSE;
                self.requeue(group);
                Vec::new()
            }
        }
    }

    /// Answers asks whose time is over.
    ///
    /// The claim is not released here: its owner may have asked another committer meanwhile and be
    /// sending. Only the owner knows, and releases what it will not use.
    fn expire(&mut self, now: Moment, step: &mut ClaimStep) {
        self.queue.retain(|queued| {
            if now < queued.expires {
                return true;
            }
            step.verdicts
                .push((queued.ticket, ClaimVerdict::Unavailable));
            false
        });
    }

    /// Computes a group against a block and starts its write, if it changes anything.
    fn commit(&mut self, now: Moment, known: VersionedBlock, step: &mut ClaimStep) {
        let mut block = known.block;
        let mut group = Vec::new();
        let mut changed = self.is_restored;
        let rotated = self.rotation_due(now, &block);
        if rotated {
            block.rotate();
        }
        let count = self.queue.len().min(GROUP_LIMIT);
        for queued in self.queue.drain(..count) {
            let (verdict, wrote) = apply_ask(&mut block, &queued.ask);
            changed |= wrote;
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
            expected: known.version,
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
            generation == block.generation && now.saturating_sub(since) >= GENERATION_SPAN
        })
    }

    fn learn(&mut self, now: Moment, version: Version, block: ClaimBlock) {
        let watched = self.watched.map(|(generation, _)| generation);
        if watched != Some(block.generation) {
            self.watched = Some((block.generation, now));
        }
        self.read_at = now;
        self.known = Some(VersionedBlock { version, block });
    }

    fn requeue(&mut self, group: Vec<(QueuedAsk, ClaimVerdict)>) {
        for (queued, _) in group.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }
}

/// Applies one ask to a block; the flag tells whether the block changed.
fn apply_ask(block: &mut ClaimBlock, ask: &ClaimRequest) -> (ClaimVerdict, bool) {
    let known = block.get(ask.key()).copied();
    match (*ask, known) {
        (ClaimRequest::Acquire(_, owner), Some(entry)) if entry.owner == owner => match entry.state
        {
            ClaimState::Held => (ClaimVerdict::Granted, false),
            // The owner gave up before; it must not send now.
            _ => (ClaimVerdict::Taken(entry), false),
        },
        (ClaimRequest::Acquire(key, owner), Some(entry)) if entry.state == ClaimState::Released => {
            let state = ClaimState::Held;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        (ClaimRequest::Acquire(..), Some(entry)) => (ClaimVerdict::Taken(entry), false),
        (ClaimRequest::Acquire(..), None) if block.len() >= CLAIM_LIMIT => {
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
        // A release of a claim that was never written must keep a write that is still on its way
        // from making it: the tombstone makes that write's condition fail.
        (ClaimRequest::Release(key, owner), None) => {
            let state = ClaimState::Released;
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
        (_, Some(entry)) => (ClaimVerdict::Taken(entry), false),
        // The platform lost the claim; that its owner sent the call stays true.
        (ClaimRequest::Finish(key, owner, code), None) => {
            let state = ClaimState::Finished(code);
            block.set(key, ClaimEntry { owner, state });
            (ClaimVerdict::Granted, true)
        }
    }
}
