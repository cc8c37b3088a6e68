//! Claims: requests go to the node that commits their range; any node can commit in its place.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use turnford_fleet::ClaimAction;
use turnford_fleet::ClaimCommitter;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ClaimTicket;
use turnford_fleet::ClaimVerdict;
use turnford_fleet::Duty;
use turnford_fleet::RangeRead;
use turnford_fleet::RangeWrite;
use turnford_fleet::RANGE_COUNT;
use turnford_platform::PlatformError;
use turnford_platform::VersionGuard;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;
use crate::inbox::ClaimCall;

/// Interval between steps of a range that has pending work.
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// Time limit of a peer's claim request.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Committers by range and the waiters for their verdicts.
#[derive(Default)]
pub(super) struct ClaimTable {
    ranges: HashMap<u16, ClaimCommitter>,
    waiting: HashMap<(u16, ClaimTicket), Sender<ClaimVerdict>>,
    active: Vec<u16>,
}

/// Handles claim requests of this node's request threads for as long as the node runs.
pub(super) async fn serve_claims(context: Rc<ControlContext>, calls: Receiver<ClaimCall>) {
    while let Ok(call) = calls.recv().await {
        context
            .executor
            .spawn(handle_call(context.clone(), call))
            .detach();
    }
}

/// Handles a peer's claim request.
pub(super) async fn handle_claim(context: &Rc<ControlContext>, request: ClaimRequest) -> PeerReply {
    PeerReply::Claim(commit_locally(context, request, PEER_TIMEOUT).await)
}

async fn handle_call(context: Rc<ControlContext>, call: ClaimCall) {
    let verdict = submit_claim(&context, call.request, call.timeout).await;
    if let Some(reply) = call.reply {
        // A cancelled request needs no verdict; its guard releases the claim.
        let _ = reply.try_send(verdict);
    }
}

/// Submits the request to the node that commits its range, or commits it here if that node doesn't
/// reply.
async fn submit_claim(
    context: &Rc<ControlContext>,
    request: ClaimRequest,
    timeout: Duration,
) -> ClaimVerdict {
    let holder = context.duty_holder(&Duty::Claims(range_of(&request)));
    let address = context
        .members
        .borrow()
        .get(&holder)
        .map(|record| record.update.address);
    let Some(address) = address else {
        return commit_locally(context, request, timeout).await;
    };
    let started = context.now();
    let message = PeerRequest::Claim(request);
    let reply = context
        .peers
        .call(address, &message, timeout.min(PEER_TIMEOUT) / 2)
        .await;
    if let Ok(PeerReply::Claim(verdict)) = reply {
        return verdict;
    }
    let remaining = timeout.saturating_sub(context.now().saturating_sub(started));
    commit_locally(context, request, remaining).await
}

/// Commits a claim request on this node.
async fn commit_locally(
    context: &Rc<ControlContext>,
    request: ClaimRequest,
    timeout: Duration,
) -> ClaimVerdict {
    let range = range_of(&request);
    let expires = context.now() + timeout;
    let verdict = {
        let mut table = context.claims.borrow_mut();
        let committer = table.ranges.entry(range).or_default();
        let Some(ticket) = committer.submit(request, expires) else {
            return ClaimVerdict::Unavailable;
        };
        let (sender, verdict) = async_channel::bounded(1);
        table.waiting.insert((range, ticket), sender);
        if !table.active.contains(&range) {
            table.active.push(range);
            context
                .executor
                .spawn(run_range(context.clone(), range))
                .detach();
        }
        verdict
    };
    verdict.recv().await.unwrap_or(ClaimVerdict::Unavailable)
}

/// Steps a range's committer until it is idle.
async fn run_range(context: Rc<ControlContext>, range: u16) {
    loop {
        let now = context.now();
        let step = with_range(&context, range, |committer| committer.step(now));
        deliver(&context, range, step.verdicts);
        if let Some(action) = step.action {
            perform(&context, range, action).await;
            continue;
        }
        if with_range(&context, range, |committer| committer.is_idle()) {
            context
                .claims
                .borrow_mut()
                .active
                .retain(|active| *active != range);
            return;
        }
        Timer::after(STEP_INTERVAL).await;
    }
}

async fn perform(context: &Rc<ControlContext>, range: u16, action: ClaimAction) {
    let key = format!("claims/{range}");
    match action {
        ClaimAction::Read => {
            let read = match context.objects.get(&key).await {
                Ok(value) => RangeRead::Found(value.version, value.bytes),
                Err(PlatformError::NotFound) => RangeRead::Found(0, Vec::new()),
                Err(_) => RangeRead::Failed,
            };
            let now = context.now();
            with_range(context, range, |committer| committer.handle_read(now, read));
        }
        ClaimAction::Write { expected, bytes } => {
            let guard = VersionGuard::from_version(expected);
            let write = match context.objects.put(&key, guard, bytes).await {
                Ok(version) => RangeWrite::Accepted(version),
                Err(PlatformError::Conflict { .. }) => RangeWrite::Conflict,
                Err(error) if error.may_have_written() => RangeWrite::Lost,
                Err(_) => RangeWrite::Refused,
            };
            let now = context.now();
            let verdicts = with_range(context, range, |committer| {
                committer.handle_write(now, write)
            });
            deliver(context, range, verdicts);
        }
    }
}

fn with_range<T>(
    context: &ControlContext,
    range: u16,
    step: impl FnOnce(&mut ClaimCommitter) -> T,
) -> T {
    step(context.claims.borrow_mut().ranges.entry(range).or_default())
}

fn deliver(context: &ControlContext, range: u16, verdicts: Vec<(ClaimTicket, ClaimVerdict)>) {
    let mut table = context.claims.borrow_mut();
    for (ticket, verdict) in verdicts {
        if let Some(waiter) = table.waiting.remove(&(range, ticket)) {
            // A cancelled waiter needs no verdict.
            let _ = waiter.try_send(verdict);
        }
    }
}

fn range_of(request: &ClaimRequest) -> u16 {
    let [first, second, ..] = *request.key();
    u16::from_be_bytes([first, second]) % RANGE_COUNT
}
