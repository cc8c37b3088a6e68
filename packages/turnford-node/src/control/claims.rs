//! Claims: asks go to the node that commits their range; any node can stand in for it.

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

/// Pause between steps of a range that has work.
const STEP_PAUSE: Duration = Duration::from_millis(5);

/// Time in which a peer's ask is of use to it.
const PEER_LIMIT: Duration = Duration::from_secs(2);

/// Committers and those who wait for them.
#[derive(Default)]
pub(super) struct ClaimDesk {
    ranges: HashMap<u16, ClaimCommitter>,
    waiting: HashMap<(u16, ClaimTicket), Sender<ClaimVerdict>>,
    driven: Vec<u16>,
}

/// Takes asks from traffic for as long as the node runs.
pub(super) async fn take_claims(context: Rc<ControlContext>, asks: Receiver<ClaimCall>) {
    while let Ok(call) = asks.recv().await {
        context
            .executor
            .spawn(handle_call(context.clone(), call))
            .detach();
    }
}

/// Answers a peer's ask.
pub(super) async fn answer_claim(context: &Rc<ControlContext>, ask: ClaimRequest) -> PeerReply {
    PeerReply::Claim(ask_here(context, ask, PEER_LIMIT).await)
}

async fn handle_call(context: Rc<ControlContext>, call: ClaimCall) {
    let verdict = ask_anywhere(&context, call.ask, call.limit).await;
    if let Some(reply) = call.reply {
        // A request that is gone needs no verdict; its guard releases the claim.
        let _ = reply.try_send(verdict);
    }
}

/// Asks the node that commits the range, or commits here if it does not answer.
async fn ask_anywhere(
    context: &Rc<ControlContext>,
    ask: ClaimRequest,
    limit: Duration,
) -> ClaimVerdict {
    let holder = context.duty_holder(&Duty::Claims(range_of(&ask)));
    let address = context
        .members
        .borrow()
        .get(&holder)
        .map(|record| record.update.address);
    let Some(address) = address else {
        return ask_here(context, ask, limit).await;
    };
    let begun = context.now();
    let request = PeerRequest::Claim(ask);
    let reply = context
        .peers
        .call(address, &request, limit.min(PEER_LIMIT) / 2)
        .await;
    if let Ok(PeerReply::Claim(verdict)) = reply {
        return verdict;
    }
    let left = limit.saturating_sub(context.now().saturating_sub(begun));
    ask_here(context, ask, left).await
}

/// Commits on this node.
async fn ask_here(
    context: &Rc<ControlContext>,
    ask: ClaimRequest,
    limit: Duration,
) -> ClaimVerdict {
    let range = range_of(&ask);
    let expires = context.now() + limit;
    let verdict = {
        let mut desk = context.claims.borrow_mut();
        let committer = desk.ranges.entry(range).or_default();
        let Some(ticket) = committer.submit(ask, expires) else {
            return ClaimVerdict::Unavailable;
        };
        let (sender, verdict) = async_channel::bounded(1);
        desk.waiting.insert((range, ticket), sender);
        if !desk.driven.contains(&range) {
            desk.driven.push(range);
            context
                .executor
                .spawn(drive_range(context.clone(), range))
                .detach();
        }
        verdict
    };
    verdict.recv().await.unwrap_or(ClaimVerdict::Unavailable)
}

/// Steps a range until nothing waits there.
async fn drive_range(context: Rc<ControlContext>, range: u16) {
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
                .driven
                .retain(|driven| *driven != range);
            return;
        }
        Timer::after(STEP_PAUSE).await;
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
                Err(fault) if fault.may_have_written() => RangeWrite::Lost,
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
    let mut desk = context.claims.borrow_mut();
    for (ticket, verdict) in verdicts {
        if let Some(waiter) = desk.waiting.remove(&(range, ticket)) {
            // A waiter that is gone needs no verdict.
            let _ = waiter.try_send(verdict);
        }
    }
}

fn range_of(ask: &ClaimRequest) -> u16 {
    let [first, second, ..] = *ask.key();
    u16::from_be_bytes([first, second]) % RANGE_COUNT
}
