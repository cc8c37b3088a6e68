//! Pieces of stages, and the calls made of them.

use std::sync::Arc;

use crate::ClassRank;
use crate::Moment;
use crate::TargetId;

use super::RequestDigest;

/// Id of a piece in the scheduler.
pub type PieceTicket = u64;

/// A piece to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceWork {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether targets crashed while running such a request. Its pieces share no call with those of
    /// other requests.
    pub is_suspect: bool,
    /// Id of the request's attempt.
    pub attempt: Arc<str>,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: u32,
    /// Key that a piece of a first stage needs to start.
    pub piece_key: Option<Arc<str>>,
    /// Results that the piece needs.
    pub inputs: Arc<[String]>,
    /// When the result is no longer needed.
    pub deadline: Moment,
    /// When the piece is due for the request to be in time.
    pub due: Moment,
    /// Ranks of the account and the route, in order of precedence. Lower ranks go first.
    pub ranks: (ClassRank, ClassRank),
    /// Estimated size of the result, in bytes.
    pub result_bytes: u64,
    /// Preferred hall, which is close to the inputs or to the consumers of the result.
    pub hall: Option<Arc<str>>,
    /// Until when the piece waits for a target in that hall.
    pub hall_deadline: Moment,
}

impl PieceWork {
    /// Returns whether a target in a hall may run the piece now.
    pub(super) fn can_run_in(&self, now: Moment, hall: &str, is_backlogged: bool) -> bool {
        is_backlogged || self.is_local(hall) || self.hall.is_none() || self.hall_deadline <= now
    }

    /// Returns whether the piece may share a call with another one.
    pub(super) fn can_share_batch(&self, other: &PieceWork) -> bool {
        let is_harmless = !self.is_suspect && !other.is_suspect;
        is_harmless || self.digest == other.digest
    }

    /// Returns whether a hall is the preferred one.
    pub(super) fn is_local(&self, hall: &str) -> bool {
        self.hall.as_deref() == Some(hall)
    }
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchPlan {
    /// Target that the call goes to.
    pub target: TargetId,
    /// Pieces in the order of the call.
    pub pieces: Vec<(PieceTicket, PieceWork)>,
}

impl BatchPlan {
    /// Returns the estimated size of all results, in bytes.
    pub fn result_bytes(&self) -> u64 {
        self.pieces.iter().map(|(_, work)| work.result_bytes).sum()
    }
}
