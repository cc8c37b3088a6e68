//! Targets that repeat responses. A node that observes one notifies a sample of other nodes, which forward what is
//! new to them, so that a fleet loses a request that may not be repeated to such a target once instead of each node.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::TargetSpec;
use turnford_wire::RepeatUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::millis_u32;
use crate::fanout::REPLY_TIMEOUT;
use crate::fanout::UPDATE_FANOUT;
use crate::traffic::Traffic;

/// Time for which observations are batched: the targets of a service often begin together.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Records that a target repeated a response to this node.
pub(crate) fn process_repeat(traffic: &Rc<Traffic>, target: &TargetSpec) {
    apply_repeat(traffic, &target.id, Duration::ZERO, "a response");
}

/// Handles the observations of another node.
pub(crate) fn answer_repeats(traffic: &Rc<Traffic>, updates: &[RepeatUpdate]) -> WorkReply {
    let view = traffic.shared.view.load();
    for update in updates {
        if view.targets.contains_key(&*update.target) {
            let age = Duration::from_millis(u64::from(update.age_ms));
            apply_repeat(traffic, &update.target, age, "another node");
        }
    }
    WorkReply::Ack
}

fn apply_repeat(traffic: &Rc<Traffic>, target: &str, age: Duration, source: &str) {
    let now = traffic.shared.now();
    let mut table = traffic.repeats.borrow_mut();
    let was_idle = table.message_wait(now).is_none();
    let is_new = table.record_repeat(now, target, now.saturating_sub(age));
    drop(table);
    if !is_new {
        return;
    }
    log::info!("target={target} repeats responses: from={source}");
    update_metrics(traffic);
    if was_idle {
        let send = send_pending(traffic.clone());
        traffic.executor.spawn(send).detach();
    }
}

async fn send_pending(traffic: Rc<Traffic>) {
    loop {
        let now = traffic.shared.now();
        let Some(wait) = traffic.repeats.borrow().message_wait(now) else {
            return;
        };
        Timer::after(wait.max(BATCH_DELAY)).await;
        let now = traffic.shared.now();
        let message = traffic.repeats.borrow_mut().take_message(now);
        let updates = message.into_iter().map(|(target, at)| RepeatUpdate {
            target: target.to_string(),
            age_ms: millis_u32(now.saturating_sub(at)),
        });
        let updates: Vec<RepeatUpdate> = updates.collect();
        if !updates.is_empty() {
            notify_sample(&traffic, &WorkRequest::Repeats(updates));
        }
    }
}

/// Notifies a sample of nodes. Nodes of a build without this message refuse it, but no other work.
fn notify_sample(traffic: &Rc<Traffic>, request: &WorkRequest) {
    for peer in traffic.peers.sample(UPDATE_FANOUT) {
        let (peers, request) = (traffic.peers.clone(), request.clone());
        let send = async move {
            let reply = peers.client.call(peer, &request, REPLY_TIMEOUT).await;
            let reply: Result<WorkReply, _> = reply;
            if let Err(error) = reply {
                log::info!("node at {peer} does not hear of repeated responses: {error}");
            }
        };
        traffic.executor.spawn(send).detach();
    }
}

/// Updates the gauge of targets that are expected to repeat responses.
pub(crate) fn update_metrics(traffic: &Traffic) {
    let now = traffic.shared.now();
    let expected = traffic.repeats.borrow().expected_count(now);
    let metrics = &traffic.shared.metrics;
    metrics.repeating_targets.set(expected as u64);
}
