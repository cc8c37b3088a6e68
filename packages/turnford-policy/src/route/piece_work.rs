//! Pieces of stages, and calls made of them.

use std::sync::Arc;

use crate::ClassRank;
use crate::Moment;
use crate::TargetId;

use super::RequestDigest;

/// Number of a piece on the board.
pub type PieceTicket = u64;

/// A piece to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceWork {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether targets crashed while they ran such a request; its pieces share a call with no other's.
    pub is_suspect: bool,
    /// Id of the request's try.
    pub attempt: Arc<str>,
    /// Stage of the request.
    pub stage: usize,
    /// Piece of the stage.
    pub piece: u32,
    /// What a first stage needs to begin.
    pub piece_key: Option<Arc<str>>,
    /// Results that it needs.
    pub inputs: Arc<[String]>,
    /// When it is no longer wanted.
    pub deadline: Moment,
    /// When it should be done for the request to be in time.
    pub due: Moment,
    /// Ranks of the request, the one of its account before that of its route; 0 goes first.
    pub ranks: (ClassRank, ClassRank),
    /// Size of its result, in bytes.
    pub result_bytes: u64,
    /// Hall in which it should run, near what it needs or what needs it.
    pub hall: Option<Arc<str>>,
    /// Until when it waits for a target in that hall.
    pub hall_deadline: Moment,
}

impl PieceWork {
    /// Tells whether a target in a hall may run it now.
    pub(super) fn suits(&self, now: Moment, hall: &str, is_crowded: bool) -> bool {
        is_crowded || self.is_near(hall) || self.hall.is_none() || self.hall_deadline <= now
    }

    /// Tells whether it may share a call with another piece.
    pub(super) fn may_share(&self, other: &PieceWork) -> bool {
        let is_sound = !self.is_suspect && !other.is_suspect;
        is_sound || self.digest == other.digest
    }

    /// Tells whether it should run in a hall.
    pub(super) fn is_near(&self, hall: &str) -> bool {
        self.hall.as_deref() == Some(hall)
    }
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchPlan {
    /// Target.
    pub target: TargetId,
    /// Pieces in the order of the call.
    pub pieces: Vec<(PieceTicket, PieceWork)>,
}

impl BatchPlan {
    /// Returns the size of all its results, in bytes.
    pub fn result_bytes(&self) -> u64 {
        self.pieces.iter().map(|(_, work)| work.result_bytes).sum()
    }
}
