//! The stored claims of one range.
//!
//! A claim says that a request id of an account is being run, or was. Claims are kept in
//! generations; the oldest generation is dropped as a whole. A generation may be closed only by a
//! node that has itself watched it for the full span on its own monotonic clock, so no wall clock,
//! and no other machine's clock, can clear a claim early.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Version;

/// Generations kept beside the open one. A claim lives at least this many spans.
const CLOSED_LIMIT: usize = 2;

/// Most claims in one range, so that the value stays below the platform's megabyte.
pub(crate) const CLAIM_LIMIT: usize = 20_000;

/// Hash over account and request id; never made without the account.
pub type ClaimKey = [u8; 16];

/// Who runs a claimed request: incarnation and sequence of the request's attempt ids.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode,
)]
pub struct ClaimOwner {
    /// Incarnation of the node's process.
    pub incarnation: u64,
    /// Number of the request in that process.
    pub sequence: u64,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimState {
    /// Its owner may send the call.
    Held,
    /// Its owner ended with this result code after the call was sent.
    Finished(u16),
    /// Its owner never sent the call and never will; the id may be claimed again.
    Released,
}

/// One claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ClaimEntry {
    /// Who claimed.
    pub owner: ClaimOwner,
    /// What became of it.
    pub state: ClaimState,
}

/// Claims of one range as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ClaimBlock {
    /// Number of the open generation.
    pub generation: u64,
    /// Open generation first.
    generations: VecDeque<BTreeMap<ClaimKey, ClaimEntry>>,
}

impl ClaimBlock {
    /// Returns a claim, from the newest generation that has it.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.generations.iter().find_map(|claims| claims.get(key))
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.generations.iter().map(BTreeMap::len).sum()
    }

    /// Tells whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes a claim into the open generation; an older generation's entry is replaced.
    pub fn set(&mut self, key: ClaimKey, entry: ClaimEntry) {
        self.set_at(0, key, entry);
    }

    /// Closes the open generation and drops the oldest one beyond those kept.
    pub fn rotate(&mut self) {
        self.generation += 1;
        self.generations.push_front(BTreeMap::new());
        self.generations.truncate(CLOSED_LIMIT + 1);
    }

    /// Puts back what another form of the same range, seen before, has and this one lacks: claims never go
    /// but with their generation, so the platform lost them. Where this one is older, what `before` says of
    /// a claim holds. True if that changed anything.
    pub(crate) fn restore(&mut self, before: &ClaimBlock, is_older: bool) -> bool {
        let mut is_changed = false;
        for (age, claims) in before.generations.iter().enumerate() {
            let generation = before.generation.saturating_sub(age as u64);
            let place = self.generation.saturating_sub(generation);
            let Some(place) = usize::try_from(place)
                .ok()
                .filter(|place| *place <= CLOSED_LIMIT)
            else {
                continue;
            };
            for (key, entry) in claims {
                let known = self.get(key).copied();
                let is_lost = known.is_none_or(|known| {
                    known != *entry && (is_older || matches!(entry.state, ClaimState::Finished(_)))
                });
                if is_lost {
                    self.set_at(place, *key, *entry);
                    is_changed = true;
                }
            }
        }
        is_changed
    }

    /// Writes a claim into a generation, counted from the open one, so that each id stands once.
    fn set_at(&mut self, place: usize, key: ClaimKey, entry: ClaimEntry) {
        while self.generations.len() <= place {
            self.generations.push_back(BTreeMap::new());
        }
        for claims in &mut self.generations {
            claims.remove(&key);
        }
        self.generations[place].insert(key, entry);
    }

    /// Returns the stored form.
    pub fn encode(&self) -> Vec<u8> {
        // Plain data without a limit always has a stored form.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads the stored form; `None` if it is damaged or has trailing bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<4_000_000>();
        let (block, used) = bincode::decode_from_slice(bytes, config).ok()?;
        (used == bytes.len()).then_some(block)
    }
}

/// A block with the version at which it was read or written.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionedBlock {
    pub(crate) version: Version,
    pub(crate) block: ClaimBlock,
}
