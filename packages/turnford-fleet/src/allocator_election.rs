//! Election of the node that allocates the limits of a service's targets, as seen by one node.
//!
//! The election uses neither a lease nor the store. A node that receives a request from a node that
//! lost the last allocator, and that cannot reach this allocator either, starts a new term. It
//! allocates only a fraction of the limits until the other nodes know. An allocator that learns of
//! a later term stops.

use turnford_policy::LimitState;
use turnford_policy::ProcessStart;
use turnford_policy::TargetId;

use crate::AllocatorId;
use crate::LimitAllocator;
use crate::LimitTerm;
use crate::Moment;

/// Reachability of the term holder from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// Heard from recently.
    Reachable,
    /// No recent information.
    Unknown,
    /// Did not respond recently, or does not accept work.
    Unreachable,
}

/// Role of a node towards a node that requests a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllocationRole {
    /// This node allocates.
    Allocates {
        /// Whether it has just taken over and has to announce the term.
        is_new: bool,
    },
    /// Another node allocates.
    Remote(LimitTerm),
    /// Another node allocates, but the requesting node lost it. This node has to check first.
    Unconfirmed(LimitTerm),
}

/// State of the election.
#[derive(Clone, Debug)]
pub struct AllocatorElection {
    own: AllocatorId,
    term: Option<LimitTerm>,
    allocator: Option<LimitAllocator>,
}

impl AllocatorElection {
    /// Creates a state without a known allocator.
    pub fn new(own: AllocatorId) -> Self {
        Self {
            own,
            term: None,
            allocator: None,
        }
    }

    /// Returns the latest known term.
    pub fn term(&self) -> Option<&LimitTerm> {
        self.term.as_ref()
    }

    /// Returns the allocator if this node holds the term.
    pub fn allocator(&mut self) -> Option<&mut LimitAllocator> {
        self.allocator.as_mut()
    }

    /// Applies a term learned from another node, and returns whether it is later than the known
    /// one. If another process holds it, this node stops allocating.
    pub fn observe_term(&mut self, term: &LimitTerm) -> bool {
        let is_later = self.term.as_ref().is_none_or(|known| known < term);
        if is_later {
            self.term = Some(term.clone());
            if term.holder != self.own {
                self.allocator = None;
            }
        }
        is_later
    }

    /// Determines the role of this node for a requester that knows the term `requester_term`.
    /// `status` reports the reachability of a term's holder, and `known` are the limits known to
    /// this node.
    pub fn resolve<'a>(
        &mut self,
        now: Moment,
        requester_term: Option<&LimitTerm>,
        status: impl FnOnce(&AllocatorId) -> HolderStatus,
        known: impl Iterator<Item = (&'a TargetId, ProcessStart, LimitState)>,
    ) -> AllocationRole {
        if let Some(requester_term) = requester_term {
            self.observe_term(requester_term);
        }
        if self.allocator.is_some() {
            return AllocationRole::Allocates { is_new: false };
        }
        if let Some(term) = &self.term {
            // An earlier process of this node has ended, so it is unreachable.
            let is_own = term.holder.name == self.own.name;
            let status = if is_own {
                HolderStatus::Unreachable
            } else {
                status(&term.holder)
            };
            if requester_term < Some(term) || status == HolderStatus::Reachable {
                return AllocationRole::Remote(term.clone());
            }
            if status == HolderStatus::Unknown {
                return AllocationRole::Unconfirmed(term.clone());
            }
        }
        self.start_term(now, known);
        AllocationRole::Allocates { is_new: true }
    }

    fn start_term<'a>(
        &mut self,
        now: Moment,
        known: impl Iterator<Item = (&'a TargetId, ProcessStart, LimitState)>,
    ) {
        let number = self.term.as_ref().map_or(0, |term| term.number) + 1;
        self.term = Some(LimitTerm {
            number,
            holder: self.own.clone(),
        });
        let mut allocator = LimitAllocator::new(now);
        for (target, born, state) in known {
            allocator.adopt(now, target, born, state);
        }
        self.allocator = Some(allocator);
    }
}
