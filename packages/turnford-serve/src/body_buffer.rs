//! Bodies that are buffered as a whole, within a limit for each and the node's budget.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::body_budget::BodyBudget;
use crate::body_budget::BodyKind;
use crate::body_budget::BodyShare;

/// Smallest capacity of a buffer, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// Why a body can't be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BufferError {
    /// It is, or will be, over the limit for a body.
    TooLarge(usize),
    /// The bodies that the node holds leave no room for it.
    NoRoom(usize),
}

impl fmt::Display for BufferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BufferError::TooLarge(bytes) => write!(f, "{bytes} bytes are over the limit"),
            BufferError::NoRoom(bytes) => write!(f, "no room for {bytes} bytes"),
        }
    }
}

impl std::error::Error for BufferError {}

/// A body that is being read.
///
/// Its bytes are copied: a chunk as `hyper` passes it on may keep a much larger buffer.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    share: BodyShare,
    limit: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `limit` bytes, or as many as the budget ever has room for.
    pub(crate) fn new(budget: &Arc<BodyBudget>, kind: BodyKind, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            share: budget.share(kind),
            limit: limit.min(budget.largest(kind)),
        }
    }

    /// Takes room for an announced length.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) fn reserve(&mut self, length: usize) -> Result<(), BufferError> {
        if length > self.limit {
            return Err(BufferError::TooLarge(length));
        }
        if length <= self.bytes.capacity() {
            return Ok(());
        }
        if !self.share.resize(length) {
            return Err(BufferError::NoRoom(length));
        }
        self.bytes.reserve_exact(length - self.bytes.len());
        Ok(())
    }

    /// Adds the next bytes.
    ///
    /// # Errors
    ///
    /// Returns why there is no room for them.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + chunk.len();
        if length > self.bytes.capacity() {
            let larger = self.bytes.capacity() + self.bytes.capacity() / 2;
            let larger = larger.max(MIN_CAPACITY).min(self.limit);
            self.reserve(length.max(larger))
                .or_else(|_| self.reserve(length))?;
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the whole body, which uses the budget until its last clone is dropped.
    pub(crate) fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        // A smaller share always finds room.
        self.share.resize(self.bytes.capacity());
        Bytes::from_owner(HeldBody {
            bytes: self.bytes,
            _share: self.share,
        })
    }
}

/// A whole body, with its share of the budget.
struct HeldBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
