//! What is known about whether a request has run.

use std::cell::Cell;

/// Proof that a request has not run and never will. Only with it can a client be promised so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotRun(());

impl NotRun {
    /// Creates the proof for a request that is refused before it has a [`SendLog`], without which nothing is
    /// sent.
    pub(crate) fn before_sends() -> Self {
        Self(())
    }
}

/// Sends of one request to targets.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct SendLog {
    sent: Cell<u32>,
    /// Sends that did not run the request: no byte of it left, or the target refused it.
    not_run: Cell<u32>,
}

impl SendLog {
    /// Records that the request is about to be sent. It may run from now on.
    pub(crate) fn record_send(&self) {
        self.sent.set(self.sent.get() + 1);
    }

    /// Records that the last send did not run the request and never will.
    pub(crate) fn record_not_run(&self) {
        self.not_run.set(self.not_run.get() + 1);
    }

    /// Returns the number of sends.
    pub(crate) fn sent(&self) -> u32 {
        self.sent.get()
    }

    /// Returns the number of sends that may have run the request.
    pub(crate) fn runs(&self) -> u32 {
        self.sent.get().saturating_sub(self.not_run.get())
    }

    /// Returns the proof that the request has not run and never will, if there is one.
    pub(crate) fn not_run(&self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }

    /// Returns whether some send may have run the request, or may still do so.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs() > 0
    }
}
