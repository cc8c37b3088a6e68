//! Channel between the traffic thread and the control thread for stored suspects: requests that are
//! stored because targets crashed during them more than once.

use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

use turnford_fleet::CrashUpdate;
use turnford_policy::RequestDigest;

/// Maximum number of commands queued for the control thread; each is a call to the store.
const COMMAND_LIMIT: usize = 64;

/// A change of a stored suspect, carried out by the control thread.
pub(crate) enum SuspectCommand {
    /// Writes the crashes of a request.
    Store(RequestDigest, Vec<CrashUpdate>),
    /// Removes a request that ended cleanly.
    Delete(RequestDigest),
}

/// Commands to the control thread, and the crashes that it loaded from the store.
pub(crate) struct SuspectChannel {
    commands: (Sender<SuspectCommand>, Receiver<SuspectCommand>),
    stored: Mutex<Vec<CrashUpdate>>,
}

impl Default for SuspectChannel {
    fn default() -> Self {
        Self {
            commands: async_channel::bounded(COMMAND_LIMIT),
            stored: Mutex::default(),
        }
    }
}

impl SuspectChannel {
    /// Waits for the next command.
    pub(crate) async fn next_command(&self) -> Option<SuspectCommand> {
        self.commands.1.recv().await.ok()
    }

    /// Adds crashes that were loaded from the store.
    pub(crate) fn add_stored(&self, crashes: Vec<CrashUpdate>) {
        let mut stored = self.stored.lock().unwrap_or_else(PoisonError::into_inner);
        stored.extend(crashes);
    }

    /// Removes and returns the crashes that were loaded from the store.
    pub(crate) fn take_stored(&self) -> Vec<CrashUpdate> {
        let mut stored = self.stored.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *stored)
    }

    /// Queues a command for the control thread.
    pub(crate) fn send(&self, command: SuspectCommand) {
        if self.commands.0.try_send(command).is_err() {
            log::warn!(
                "a suspect is not stored: {COMMAND_LIMIT} commands are queued for the store"
            );
        }
    }
}
