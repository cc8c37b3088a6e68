//! Bound on the bytes of buffered bodies that a node holds, for all calls together.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Maximum size of the budget, in bytes: more would only make room for bodies that nobody needs.
const MAX_BUDGET_BYTES: usize = 96 * 1024 * 1024;

/// Part of the system's memory that bodies may use: one in so many bytes.
const MEMORY_PART: usize = 4;

/// Size up to which a body counts as small, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Part of the budget that only small bodies may use: one in so many bytes.
const SMALL_BODY_PART: usize = 8;

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// A request of a client. Half of the budget is left for the responses of calls that run.
    Request,
    /// A response of a target.
    Response,
}

/// Bytes that buffered bodies may use, and those that they do.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    held: AtomicUsize,
}

impl BodyBudget {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
        })
    }

    /// Creates a budget for a node that may use this much memory, if it is known.
    pub(crate) fn for_memory(memory: Option<usize>) -> Arc<Self> {
        let part = memory.map_or(usize::MAX, |memory| memory / MEMORY_PART);
        Self::new(part.min(MAX_BUDGET_BYTES))
    }

    /// Returns the bytes that bodies may use.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that bodies use.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the size of the largest body that finds room beside no other.
    pub(crate) fn largest(&self, kind: BodyKind) -> usize {
        self.limit_for(kind, usize::MAX)
    }

    /// Returns an empty share of the budget.
    pub(crate) fn share(self: &Arc<Self>, kind: BodyKind) -> BodyShare {
        BodyShare {
            budget: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Returns up to how many bytes the budget may be used so that a body can have `bytes` of it.
    fn limit_for(&self, kind: BodyKind, bytes: usize) -> usize {
        let limit = match kind {
            BodyKind::Request => self.limit / 2,
            BodyKind::Response => self.limit,
        };
        if bytes <= SMALL_BODY_BYTES {
            return limit;
        }
        limit - limit / SMALL_BODY_PART
    }
}

/// Bytes of the budget that one body uses, given back on drop.
#[derive(Debug)]
pub(crate) struct BodyShare {
    budget: Arc<BodyBudget>,
    kind: BodyKind,
    bytes: usize,
}

impl BodyShare {
    /// Changes the share to `bytes`. Returns false, with the share as before, if they find no room.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit_for(self.kind, bytes);
        let own = self.bytes;
        let update = |held: usize| {
            let others = held.saturating_sub(own);
            let held = others.checked_add(bytes)?;
            (bytes <= own || held <= limit).then_some(held)
        };
        let held = &self.budget.held;
        let is_resized = held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok();
        if is_resized {
            self.bytes = bytes;
        }
        is_resized
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
