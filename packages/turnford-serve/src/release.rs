//! Results of pieces are given up in calls of many, by the node that gathered them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::encode_release;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use crate::batching::release_at_peer;
use crate::call::call_target;
use crate::call::CallPurpose;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::wait::wait_until;

/// Time for which results to give up are gathered. Their room is missed meanwhile.
const GATHER_SPAN: Duration = Duration::from_millis(15);

/// Longest wait for an answer; results that are not given up go by themselves.
const RELEASE_LIMIT: Duration = Duration::from_millis(1000);

/// Longest body of an answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024;

/// A result of a piece, and the target that keeps it.
#[derive(Clone, Debug)]
pub(crate) struct PieceResult {
    pub(crate) handle: String,
    pub(crate) producer: TargetSpec,
    /// Node that gathered the piece, `None` for this one.
    pub(crate) gatherer: Option<SocketAddr>,
}

/// Where results are given up: the target that keeps them, and the node that gathered them.
type ReleasePlace = (TargetId, Option<SocketAddr>);

/// Results that nobody needs any more.
#[derive(Default)]
pub(crate) struct ResultReleaser {
    waiting: RefCell<HashMap<ReleasePlace, Vec<PieceResult>>>,
}

impl ResultReleaser {
    /// Returns the target that keeps the results of a place.
    fn producer(&self, place: &ReleasePlace) -> Option<TargetSpec> {
        let waiting = self.waiting.borrow();
        let first = waiting.get(place).and_then(|results| results.first());
        first.map(|result| result.producer.clone())
    }
}

/// Gives results up, soon.
pub(crate) fn release_results(traffic: &Rc<Traffic>, results: Vec<PieceResult>) {
    for result in results {
        let mut waiting = traffic.releaser.waiting.borrow_mut();
        let place = (result.producer.id.clone(), result.gatherer);
        let queue = waiting.entry(place.clone()).or_default();
        queue.push(result);
        if queue.len() == 1 {
            let send = send_release(traffic.clone(), place);
            traffic.executor.spawn(send).detach();
        }
    }
}

async fn send_release(traffic: Rc<Traffic>, place: ReleasePlace) {
    Timer::after(GATHER_SPAN).await;
    let has_call = place.1.is_some() || wait_call(&traffic, &place).await;
    let results = traffic.releaser.waiting.borrow_mut().remove(&place);
    let results = results.unwrap_or_default();
    if let Some(peer) = place.1 {
        if release_at_peer(&traffic, peer, &results).await {
            return;
        }
    }
    let Some(producer) = results.first().map(|result| result.producer.clone()) else {
        return;
    };
    let Some(desk) = traffic.service(&producer.service) else {
        return;
    };
    let handles: Vec<String> = results.into_iter().map(|result| result.handle).collect();
    if !has_call || !wait_rest(&traffic, &desk, &producer, handles.len()).await {
        return;
    }
    if let Err(reason) = send_handles(&traffic, &desk, &producer, &handles).await {
        log::debug!(
            "target={} results={} not given up: {reason}",
            producer.id,
            handles.len()
        );
        return;
    }
    traffic.handle_released(&desk, &handles);
}

/// Waits for a call to a target with a limit, while more results are gathered; false if there is none before
/// they go by themselves.
async fn wait_call(traffic: &Rc<Traffic>, place: &ReleasePlace) -> bool {
    let Some(producer) = traffic.releaser.producer(place) else {
        return false;
    };
    let Some(desk) = traffic.service(&producer.service) else {
        return false;
    };
    let until = traffic.shared.now() + kept_span(&desk);
    let has_call = desk.limits.wait_permit(&producer, until).await;
    if !has_call {
        log::info!("target={} has no call for a release", producer.id);
    }
    has_call
}

/// Returns the time after which results go by themselves.
fn kept_span(desk: &ServiceContext) -> Duration {
    let batch = desk.spec.borrow().batch.clone();
    batch.map_or(Duration::ZERO, |batch| batch.result_ttl)
}

/// Waits until a target that wants rest takes calls again; false if its results go by themselves before.
async fn wait_rest(
    traffic: &Traffic,
    desk: &ServiceContext,
    producer: &TargetSpec,
    results: usize,
) -> bool {
    let latest = traffic.shared.now() + kept_span(desk);
    loop {
        let now = traffic.shared.now();
        let rests_until = desk.targets.borrow().backoff_until(now, &producer.id);
        let Some(until) = rests_until else {
            return true;
        };
        let left = until.saturating_sub(now).as_millis();
        log::info!(
            "target={} rests for {left}ms and keeps results={results}",
            producer.id
        );
        if until > latest {
            return false;
        }
        wait_until(&traffic.shared, until).await;
    }
}

async fn send_handles(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    producer: &TargetSpec,
    handles: &[String],
) -> Result<(), String> {
    let host = producer.address.to_string();
    let request = encode_release(&host, &producer.id, handles).map_err(|p| p.to_string())?;
    let purpose = CallPurpose::Maintenance;
    let answer = call_target(traffic, desk, producer, request, purpose, RELEASE_LIMIT).await;
    let answer = answer.map_err(|fault| format!("{fault:?}"))?;
    let read = answer.collect(traffic, ANSWER_LIMIT).await;
    read.map(|_| ()).map_err(|fault| format!("{fault:?}"))
}
