//! Results that the pieces of one stage need for the last time.
//!
//! A call fetches its inputs when its turn comes, long before it ends. Once the calls of all pieces
//! are at work the inputs are given up, so that their room is free for others.

use std::cell::Cell;
use std::rc::Rc;

use crate::release::release_results;
use crate::release::PieceResult;
use crate::traffic::Traffic;

/// The inputs of a stage's pieces, until all have read them.
pub(crate) struct InputTracker {
    traffic: Rc<Traffic>,
    results: Vec<PieceResult>,
    /// Pieces that have not read them yet.
    unread: Cell<usize>,
    is_released: Cell<bool>,
}

impl InputTracker {
    /// Makes a hold for so many pieces.
    pub(crate) fn new(traffic: &Rc<Traffic>, results: Vec<PieceResult>, pieces: usize) -> Rc<Self> {
        Rc::new(Self {
            traffic: traffic.clone(),
            results,
            unread: Cell::new(pieces),
            is_released: Cell::new(false),
        })
    }

    /// Notes that the call of a piece is at work.
    pub(crate) fn record_read(&self) {
        let unread = self.unread.get().saturating_sub(1);
        self.unread.set(unread);
        if unread == 0 && !self.results.is_empty() && !self.is_released.replace(true) {
            release_results(&self.traffic, self.results.clone());
        }
    }

    /// Notes that a piece has to run again.
    pub(crate) fn record_unread(&self) {
        self.unread.set(self.unread.get() + 1);
    }

    /// Tells whether the inputs were given up.
    pub(crate) fn is_released(&self) -> bool {
        self.is_released.get()
    }
}
