//! Messages from request threads to the control thread.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimVerdict;

/// Capacity of each channel to the control thread; further messages are refused.
const INBOX_CAPACITY: usize = 20_000;

/// A request to acquire or to settle a claim.
pub(crate) struct ClaimCall {
    pub(crate) request: ClaimRequest,
    /// Time after which the verdict is no longer needed.
    pub(crate) timeout: Duration,
    /// Receives the verdict; `None` if nobody waits for it.
    pub(crate) reply: Option<Sender<ClaimVerdict>>,
}

/// Reports a target whose response shows that it is leaving.
pub(crate) struct LeavingSignal {
    pub(crate) service: String,
    pub(crate) target: String,
}

/// A request for a larger share of an account's limits.
pub(crate) struct ShareCall {
    pub(crate) account: String,
    /// Receives a message once the share has been requested, whatever the reply.
    pub(crate) reply: Sender<()>,
}

/// Receivers of the control thread.
pub(crate) struct ControlInbox {
    pub(crate) claims: Receiver<ClaimCall>,
    pub(crate) signals: Receiver<LeavingSignal>,
    pub(crate) shares: Receiver<ShareCall>,
}

/// Senders of the request threads.
#[derive(Clone)]
pub(crate) struct ControlOutbox {
    claims: Sender<ClaimCall>,
    signals: Sender<LeavingSignal>,
    shares: Sender<ShareCall>,
}

/// Creates the channels between request threads and the control thread.
pub(crate) fn control_channel() -> (ControlOutbox, ControlInbox) {
    let (claims, claims_in) = async_channel::bounded(INBOX_CAPACITY);
    let (signals, signals_in) = async_channel::bounded(INBOX_CAPACITY);
    let (shares, shares_in) = async_channel::bounded(INBOX_CAPACITY);
    let outbox = ControlOutbox {
        claims,
        signals,
        shares,
    };
    let inbox = ControlInbox {
        claims: claims_in,
        signals: signals_in,
        shares: shares_in,
    };
    (outbox, inbox)
}

impl ControlOutbox {
    /// Submits a claim request and waits for its verdict.
    pub(crate) async fn claim(&self, request: ClaimRequest, timeout: Duration) -> ClaimVerdict {
        let (reply, verdict) = async_channel::bounded(1);
        let call = ClaimCall {
            request,
            timeout,
            reply: Some(reply),
        };
        if self.claims.try_send(call).is_err() {
            return ClaimVerdict::Unavailable;
        }
        verdict.recv().await.unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Submits the settlement of a claim without waiting for it.
    pub(crate) fn settle_claim(&self, request: ClaimRequest, timeout: Duration) {
        let call = ClaimCall {
            request,
            timeout,
            reply: None,
        };
        if self.claims.try_send(call).is_err() {
            log::warn!("settlement of a claim dropped: control thread's queue is full");
        }
    }

    /// Requests a larger share of an account's limits and waits until the request has completed.
    pub(crate) async fn fetch_share(&self, account: &str) {
        let (reply, done) = async_channel::bounded(1);
        let account = account.to_owned();
        if self.shares.try_send(ShareCall { account, reply }).is_ok() {
            // The sender is dropped without a message only on shutdown.
            let _ = done.recv().await;
        }
    }

    /// Reports a leaving target to the control thread.
    pub(crate) fn signal_leaving(&self, service: &str, target: &str) {
        let signal = LeavingSignal {
            service: service.to_owned(),
            target: target.to_owned(),
        };
        // A signal that finds the channel full is one of many that report the same.
        let _ = self.signals.try_send(signal);
    }
}
