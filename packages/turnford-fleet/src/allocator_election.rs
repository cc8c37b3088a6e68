//! Which node divides the limits of a service's targets, as one node knows it.
//!
//! No lease and no store: a node that is asked by one that finds the last divider lost, and finds it lost
//! itself, begins a new term, and gives out a part only until the others know. A node that hears of a later
//! term stops.

use turnford_policy::LimitState;
use turnford_policy::ProcessStart;
use turnford_policy::TargetId;

use crate::AllocatorId;
use crate::LimitAllocator;
use crate::LimitTerm;
use crate::Moment;

/// How a node finds the one that divides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// It was heard lately.
    Reachable,
    /// Nothing tells.
    Unknown,
    /// It gave no answer lately, or takes no work.
    Unreachable,
}

/// What a node does for one that asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllocationRole {
    /// It divides.
    Allocates {
        /// Whether it did not before, so that others have to be told.
        is_new: bool,
    },
    /// Another one divides.
    Remote(LimitTerm),
    /// Another one divides that the asking node finds lost; this node has to look first.
    Unconfirmed(LimitTerm),
}

/// Who divides.
#[derive(Clone, Debug)]
pub struct AllocatorElection {
    own: AllocatorId,
    term: Option<LimitTerm>,
    divider: Option<LimitAllocator>,
}

impl AllocatorElection {
    /// Starts without knowing who divides.
    pub fn new(own: AllocatorId) -> Self {
        Self {
            own,
            term: None,
            divider: None,
        }
    }

    /// Returns the latest term known.
    pub fn term(&self) -> Option<&LimitTerm> {
        self.term.as_ref()
    }

    /// Returns the divider if this node divides.
    pub fn allocator(&mut self) -> Option<&mut LimitAllocator> {
        self.divider.as_mut()
    }

    /// Takes another node's word on who divides; true if it is new. This node stops if it is not the one.
    pub fn observe_term(&mut self, term: &LimitTerm) -> bool {
        let is_later = self.term.as_ref().is_none_or(|known| known < term);
        if is_later {
            self.term = Some(term.clone());
            if term.holder != self.own {
                self.divider = None;
            }
        }
        is_later
    }

    /// Finds out who divides for a node that asks this one, knowing a term; `sight` tells of the process
    /// that holds it, and `known` is what this node knows of limits.
    pub fn resolve<'a>(
        &mut self,
        now: Moment,
        asked: Option<&LimitTerm>,
        sight: impl FnOnce(&AllocatorId) -> HolderStatus,
        known: impl Iterator<Item = (&'a TargetId, ProcessStart, LimitState)>,
    ) -> AllocationRole {
        if let Some(asked) = asked {
            self.observe_term(asked);
        }
        if self.divider.is_some() {
            return AllocationRole::Allocates { is_new: false };
        }
        if let Some(term) = &self.term {
            // One that ended under its name is lost.
            let is_own = term.holder.name == self.own.name;
            let sight = if is_own {
                HolderStatus::Unreachable
            } else {
                sight(&term.holder)
            };
            if asked < Some(term) || sight == HolderStatus::Reachable {
                return AllocationRole::Remote(term.clone());
            }
            if sight == HolderStatus::Unknown {
                return AllocationRole::Unconfirmed(term.clone());
            }
        }
        self.begin(now, known);
        AllocationRole::Allocates { is_new: true }
    }

    fn begin<'a>(
        &mut self,
        now: Moment,
        known: impl Iterator<Item = (&'a TargetId, ProcessStart, LimitState)>,
    ) {
        let number = self.term.as_ref().map_or(0, |term| term.number) + 1;
        self.term = Some(LimitTerm {
            number,
            holder: self.own.clone(),
        });
        let mut divider = LimitAllocator::new(now);
        for (target, born, state) in known {
            divider.adopt(now, target, born, state);
        }
        self.divider = Some(divider);
    }
}
