//! Stored claims of one range.
//!
//! A claim records that a request id of an account is running or has run. Claims are grouped into
//! generations, and the oldest generation is dropped as a whole. Only a node that has observed the
//! open generation for its full duration on its own monotonic clock may close it, so no wall clock
//! and no other machine's clock can expire a claim early.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Version;

/// Closed generations kept besides the open one. A claim lives for at least this many generation
/// durations.
const MAX_CLOSED_GENERATIONS: usize = 2;

/// Maximum number of claims in one range. Keeps the stored value below the platform's limit of one
/// megabyte.
pub(crate) const MAX_CLAIMS: usize = 20_000;

/// Hash of account and request id. The account is always included, so equal request ids of
/// different accounts never share a key.
pub type ClaimKey = [u8; 16];

/// Owner of a claim: incarnation and sequence number from the attempt ids of the request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode,
)]
pub struct ClaimOwner {
    /// Incarnation of the node's process.
    pub incarnation: u64,
    /// Sequence number of the request within that process.
    pub sequence: u64,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimState {
    /// The owner may send the call.
    Held,
    /// The call was sent, and the owner's request ended with this result code.
    Finished(u16),
    /// The owner never sent the call and never will; the id may be claimed again.
    Released,
}

/// A claim on a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ClaimEntry {
    /// Request that holds the claim.
    pub owner: ClaimOwner,
    /// Current state.
    pub state: ClaimState,
}

/// Claims of one range in their stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct ClaimBlock {
    /// Number of the open generation.
    pub generation: u64,
    /// Generations, the open one first.
    generations: VecDeque<BTreeMap<ClaimKey, ClaimEntry>>,
}

impl ClaimBlock {
    /// Returns a claim from the newest generation that contains it.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.generations.iter().find_map(|claims| claims.get(key))
    }

    /// Returns the number of claims in all generations.
    pub fn len(&self) -> usize {
        self.generations.iter().map(BTreeMap::len).sum()
    }

    /// Returns whether no generation contains a claim.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes a claim into the open generation and removes it from older ones.
    pub fn set(&mut self, key: ClaimKey, entry: ClaimEntry) {
        self.insert_at(0, key, entry);
    }

    /// Closes the open generation and drops generations beyond the retained ones.
    pub fn rotate(&mut self) {
        self.generation += 1;
        self.generations.push_front(BTreeMap::new());
        self.generations.truncate(MAX_CLOSED_GENERATIONS + 1);
    }

    /// Restores claims that `previous`, an earlier observation of the same range, contains and this
    /// block lacks, and returns whether anything changed. Claims only disappear together with their
    /// generation, so a missing claim was lost by the platform. If this block is the older version
    /// (`is_older`), the entries of `previous` take precedence.
    pub(crate) fn restore(&mut self, previous: &ClaimBlock, is_older: bool) -> bool {
        let mut is_changed = false;
        for (age, claims) in previous.generations.iter().enumerate() {
            let generation = previous.generation.saturating_sub(age as u64);
            let index = self.generation.saturating_sub(generation);
            let Some(index) = usize::try_from(index)
                .ok()
                .filter(|index| *index <= MAX_CLOSED_GENERATIONS)
            else {
                continue;
            };
            for (key, entry) in claims {
                let known = self.get(key).copied();
                let is_lost = known.is_none_or(|known| {
                    known != *entry && (is_older || matches!(entry.state, ClaimState::Finished(_)))
                });
                if is_lost {
                    self.insert_at(index, *key, *entry);
                    is_changed = true;
                }
            }
        }
        is_changed
    }

    /// Writes a claim into the generation at `index`, counted from the open one. Removes it from
    /// all others, so each id occurs once.
    fn insert_at(&mut self, index: usize, key: ClaimKey, entry: ClaimEntry) {
        while self.generations.len() <= index {
            self.generations.push_back(BTreeMap::new());
        }
        for claims in &mut self.generations {
            claims.remove(&key);
        }
        self.generations[index].insert(key, entry);
    }

    /// Encodes the block into its stored form.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data without a size limit cannot fail.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes the stored form. Returns `None` if it is malformed or has trailing bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<4_000_000>();
        let (block, used) = bincode::decode_from_slice(bytes, config).ok()?;
        (used == bytes.len()).then_some(block)
    }
}

/// A block together with the version at which it was read or written.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionedBlock {
    pub(crate) version: Version,
    pub(crate) block: ClaimBlock,
}
