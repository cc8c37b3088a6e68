//! Results that the pieces of one stage are the last to need.
//!
//! A call fetches its inputs when it starts, long before it ends. Once the calls of all pieces are
//! running, the inputs are released to free their space for others.

use std::cell::Cell;
use std::rc::Rc;

use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// Tracks the inputs of a stage's pieces until all pieces have read them.
pub(crate) struct InputTracker {
    traffic: Rc<Traffic>,
    results: Vec<PieceResult>,
    /// Number of pieces that have not read the inputs yet.
    unread: Cell<usize>,
    is_released: Cell<bool>,
}

impl InputTracker {
    pub(crate) fn new(traffic: &Rc<Traffic>, results: Vec<PieceResult>, pieces: usize) -> Rc<Self> {
        Rc::new(Self {
            traffic: traffic.clone(),
            results,
            unread: Cell::new(pieces),
            is_released: Cell::new(false),
        })
    }

    /// Records that the call of a piece is running. Releases the inputs after the last piece.
    pub(crate) fn record_read(&self) {
        let unread = self.unread.get().saturating_sub(1);
        self.unread.set(unread);
        if unread == 0 && !self.results.is_empty() && !self.is_released.replace(true) {
            release_results(&self.traffic, self.results.clone());
        }
    }

    /// Records that a piece has to run again.
    pub(crate) fn record_unread(&self) {
        self.unread.set(self.unread.get() + 1);
    }

    pub(crate) fn is_released(&self) -> bool {
        self.is_released.get()
    }
}
