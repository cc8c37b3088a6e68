//! Access of the traffic thread to the ledger of software versions, which the control thread reads
//! and writes in the store.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

use turnford_fleet::VersionLedger;
use turnford_fleet::VersionUse;

/// Maximum number of requests queued for the control thread.
const REQUEST_LIMIT: usize = 1024;

/// The ledger as last read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LedgerView {
    /// `None` before the first read.
    pub(crate) ledger: Option<VersionLedger>,
    /// Era of the store.
    pub(crate) era: u64,
    /// Whether this node's last calls to the store succeeded.
    pub(crate) is_reachable: bool,
}

impl LedgerView {
    /// Returns the only version of a service whose streams may still be resumed.
    pub(crate) fn sole_version(&self, service: &str) -> Option<&str> {
        self.ledger.as_ref()?.sole_version(self.era, service)
    }

    /// Returns whether a stream may begin without a write to the ledger.
    pub(crate) fn admits(&self, used: &VersionUse) -> bool {
        let ledger = self.ledger.as_ref();
        ledger.is_some_and(|ledger| ledger.admits(self.era, used))
    }
}

/// A request of the traffic thread.
pub(crate) struct LedgerRequest {
    /// What the ledger has to contain; `None` if it is only to be read.
    pub(crate) used: Option<VersionUse>,
    /// Receives the ledger as it was after the request was made.
    pub(crate) reply: Sender<Arc<LedgerView>>,
}

/// Queue of requests to the control thread.
pub(crate) struct LedgerChannel {
    requests: (Sender<LedgerRequest>, Receiver<LedgerRequest>),
}

impl Default for LedgerChannel {
    fn default() -> Self {
        Self {
            requests: async_channel::bounded(REQUEST_LIMIT),
        }
    }
}

impl LedgerChannel {
    /// Has the ledger read after this call, and written if `used` requires it. Returns `None` if
    /// that does not succeed within `timeout`.
    pub(crate) async fn request(
        &self,
        used: Option<VersionUse>,
        timeout: Duration,
    ) -> Option<Arc<LedgerView>> {
        let (reply, replies) = async_channel::bounded(1);
        let request = LedgerRequest { used, reply };
        if self.requests.0.try_send(request).is_err() {
            log::warn!("the ledger is not read: {REQUEST_LIMIT} requests are queued");
            return None;
        }
        let late = async {
            Timer::after(timeout).await;
            None
        };
        let replied = async { replies.recv().await.ok() };
        replied.or(late).await
    }

    /// Waits for the next request.
    pub(crate) async fn next(&self) -> Option<LedgerRequest> {
        self.requests.1.recv().await.ok()
    }

    /// Returns the requests that are queued now.
    pub(crate) fn take_queued(&self) -> Vec<LedgerRequest> {
        std::iter::from_fn(|| self.requests.1.try_recv().ok()).collect()
    }
}
