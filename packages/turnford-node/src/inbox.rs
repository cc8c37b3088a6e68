//! What traffic hands to the control thread.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimVerdict;

/// Messages that may wait for control before senders are refused.
const INBOX_LIMIT: usize = 20_000;

/// A claim that a request asks for, or a note on one.
pub(crate) struct ClaimCall {
    pub(crate) ask: ClaimRequest,
    /// Time in which an answer is of use.
    pub(crate) limit: Duration,
    /// Where the answer goes; `None` if nobody waits for it.
    pub(crate) reply: Option<Sender<ClaimVerdict>>,
}

/// A target that showed by its answer that it leaves.
pub(crate) struct LeavingSignal {
    pub(crate) service: String,
    pub(crate) target: String,
}

/// A request that met its account's share and waits for a larger one.
pub(crate) struct ShareCall {
    pub(crate) account: String,
    /// Told once the share was asked for, whatever the answer.
    pub(crate) reply: Sender<()>,
}

/// Receiving ends, for the control thread.
pub(crate) struct ControlInbox {
    pub(crate) claims: Receiver<ClaimCall>,
    pub(crate) signals: Receiver<LeavingSignal>,
    pub(crate) shares: Receiver<ShareCall>,
}

/// Sending ends, for traffic.
#[derive(Clone)]
pub(crate) struct ControlOutbox {
    claims: Sender<ClaimCall>,
    signals: Sender<LeavingSignal>,
    shares: Sender<ShareCall>,
}

/// Makes both ends.
pub(crate) fn control_channel() -> (ControlOutbox, ControlInbox) {
    let (claims, claims_in) = async_channel::bounded(INBOX_LIMIT);
    let (signals, signals_in) = async_channel::bounded(INBOX_LIMIT);
    let (shares, shares_in) = async_channel::bounded(INBOX_LIMIT);
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
    /// Asks for a claim and waits for the verdict.
    pub(crate) async fn claim(&self, ask: ClaimRequest, limit: Duration) -> ClaimVerdict {
        let (reply, verdict) = async_channel::bounded(1);
        let call = ClaimCall {
            ask,
            limit,
            reply: Some(reply),
        };
        if self.claims.try_send(call).is_err() {
            return ClaimVerdict::Unavailable;
        }
        verdict.recv().await.unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Hands over a note on a claim; nobody waits for it.
    pub(crate) fn note_claim(&self, ask: ClaimRequest, limit: Duration) {
        let call = ClaimCall {
            ask,
            limit,
            reply: None,
        };
        if self.claims.try_send(call).is_err() {
            log::warn!("a note on a claim was dropped: control is too far behind");
        }
    }

    /// Asks for a larger share of an account's limits, and waits until that was tried.
    pub(crate) async fn fetch_share(&self, account: &str) {
        let (reply, done) = async_channel::bounded(1);
        let account = account.to_owned();
        if self.shares.try_send(ShareCall { account, reply }).is_ok() {
            // The sender is dropped without a word only when the node ends.
            let _ = done.recv().await;
        }
    }

    /// Tells control that a target leaves.
    pub(crate) fn signal_leaving(&self, service: &str, target: &str) {
        let signal = LeavingSignal {
            service: service.to_owned(),
            target: target.to_owned(),
        };
        // A signal that finds no room is one of many of its kind.
        let _ = self.signals.try_send(signal);
    }
}
