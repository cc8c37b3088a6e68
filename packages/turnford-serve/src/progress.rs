//! Reports of the progress of placed requests to the node that placed them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::ServiceId;
use turnford_wire::RunUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time for which updates are collected before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(40);

/// Time for which updates are collected while requests wait for the room that they tell of.
const URGENT_FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Timeout for the acknowledgement of updates.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The node that admits and places a service's requests, which receives updates about one of them.
pub(crate) struct PlacerHandle {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) context: Rc<ServiceContext>,
    /// Address of that node, `None` for this node.
    pub(crate) address: Option<SocketAddr>,
}

impl PlacerHandle {
    pub(crate) fn notify(&self, update: RunUpdate) {
        match self.address {
            Some(placer) => {
                let service = self.context.spec.borrow().name.clone();
                queue_progress(&self.traffic, placer, service, update);
            }
            None => apply_update(&self.traffic, &self.context, update),
        }
    }
}

/// Number of times that updates are sent again to a node that did not acknowledge them.
const MAX_RESENDS: usize = 4;

/// Delay before they are sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Updates that have not been sent yet.
#[derive(Default)]
pub(crate) struct ProgressQueue {
    waiting: RefCell<HashMap<(SocketAddr, ServiceId), Vec<RunUpdate>>>,
}

/// Handles updates about requests that this node placed.
pub(crate) fn answer_progress(traffic: &Traffic, service: &str, updates: &[RunUpdate]) {
    if let Some(context) = traffic.service(service) {
        for update in updates {
            apply_update(traffic, &context, *update);
        }
    }
}

fn apply_update(traffic: &Traffic, context: &ServiceContext, update: RunUpdate) {
    let now = traffic.shared.now();
    let mut engines = context.engines.borrow_mut();
    match update {
        RunUpdate::Started(ticket, elapsed_ms) => {
            let elapsed = Duration::from_millis(u64::from(elapsed_ms));
            let slowness = engines.record_first_event(ticket, elapsed);
            if let (Some(slowness), Some(target)) = (slowness, engines.target_of(ticket)) {
                let mut table = context.targets.borrow_mut();
                table.record_slowness(now, target, slowness);
            }
        }
        RunUpdate::Refused(ticket) => {
            context.rooms.borrow_mut().record_rejection(now, ticket);
            if let Some(target) = engines.target_of(ticket) {
                context.targets.borrow_mut().record_refusal(now, target);
            }
        }
        RunUpdate::Ended(ticket) => {
            context.rooms.borrow_mut().end(now, ticket);
            engines.record_end(ticket);
            context.trials.borrow_mut().end(ticket);
        }
        RunUpdate::StageDone(ticket, stage) => {
            context
                .flow
                .borrow_mut()
                .record_stage_done(ticket, stage as usize);
        }
        RunUpdate::StagesEnded(ticket) => context.flow.borrow_mut().record_end(ticket),
    }
}

/// Queues an update for the node that placed a request.
fn queue_progress(
    traffic: &Rc<Traffic>,
    placer: SocketAddr,
    service: ServiceId,
    update: RunUpdate,
) {
    let key = (placer, service);
    let mut waiting = traffic.progress.waiting.borrow_mut();
    let queue = waiting.entry(key.clone()).or_default();
    queue.push(update);
    if queue.len() == 1 {
        let send = send_progress(traffic.clone(), key);
        traffic.executor.spawn(send).detach();
    }
}

async fn send_progress(traffic: Rc<Traffic>, key: (SocketAddr, ServiceId)) {
    let context = traffic.service(&key.1);
    let now = traffic.shared.now();
    let is_brittle = context.is_some_and(|context| context.brittleness.get().is_brittle(now));
    // Requests wait for the room of brittle targets.
    let delay = if is_brittle {
        URGENT_FLUSH_DELAY
    } else {
        FLUSH_DELAY
    };
    Timer::after(delay).await;
    let updates = traffic.progress.waiting.borrow_mut().remove(&key);
    let request = WorkRequest::Progress {
        service: key.1.to_string(),
        updates: updates.unwrap_or_default(),
    };
    if traffic
        .peers
        .call(key.0, &request, SEND_TIMEOUT)
        .await
        .is_some()
    {
        return;
    }
    // Until the placer hears of them, it counts ended requests as running.
    for _ in 0..MAX_RESENDS {
        Timer::after(RESEND_DELAY).await;
        let reply = traffic.peers.client.call(key.0, &request, SEND_TIMEOUT);
        if let Ok(WorkReply::Ack) = reply.await {
            return;
        }
    }
    // The placer drops the requests after their deadline.
    log::info!(
        "node at {} missed updates about requests that it placed",
        key.0
    );
}
