//! Release of piece results at the targets that hold them. The node that gathered the pieces sends
//! releases in batches.

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
use crate::call_purpose::CallPurpose;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;
use crate::wait::wait_until;

/// Time for which releases are batched. The memory of the results stays occupied in the meantime.
const RELEASE_DELAY: Duration = Duration::from_millis(15);

/// Timeout of a release call. Results that are not released expire on the target.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// A result of a piece, and the target that holds it.
#[derive(Clone, Debug)]
pub(crate) struct PieceResult {
    pub(crate) handle: String,
    pub(crate) producer: TargetSpec,
    /// Node that gathered the piece, or `None` for this node.
    pub(crate) gatherer: Option<SocketAddr>,
}

/// Destination of a release: the target that holds the results, and the node that gathered them.
type ReleaseDestination = (TargetId, Option<SocketAddr>);

/// Results that wait to be released.
#[derive(Default)]
pub(crate) struct ResultReleaser {
    waiting: RefCell<HashMap<ReleaseDestination, Vec<PieceResult>>>,
}

impl ResultReleaser {
    /// Returns the target that holds the results of a destination.
    fn producer(&self, destination: &ReleaseDestination) -> Option<TargetSpec> {
        let waiting = self.waiting.borrow();
        let first = waiting.get(destination).and_then(|results| results.first());
        first.map(|result| result.producer.clone())
    }
}

/// Schedules the release of results.
pub(crate) fn release_results(traffic: &Rc<Traffic>, results: Vec<PieceResult>) {
    for result in results {
        let mut waiting = traffic.releaser.waiting.borrow_mut();
        let destination = (result.producer.id.clone(), result.gatherer);
        let queue = waiting.entry(destination.clone()).or_default();
        queue.push(result);
        if queue.len() == 1 {
            let send = send_release(traffic.clone(), destination);
            traffic.executor.spawn(send).detach();
        }
    }
}

async fn send_release(traffic: Rc<Traffic>, destination: ReleaseDestination) {
    Timer::after(RELEASE_DELAY).await;
    let has_permit = destination.1.is_some() || wait_release_permit(&traffic, &destination).await;
    let results = traffic.releaser.waiting.borrow_mut().remove(&destination);
    let results = results.unwrap_or_default();
    if let Some(peer) = destination.1 {
        if release_at_peer(&traffic, peer, &results).await {
            return;
        }
    }
    let Some(producer) = results.first().map(|result| result.producer.clone()) else {
        return;
    };
    let Some(context) = traffic.service(&producer.service) else {
        return;
    };
    let handles: Vec<String> = results.into_iter().map(|result| result.handle).collect();
    if !has_permit || !wait_backoff(&traffic, &context, &producer, handles.len()).await {
        return;
    }
    if let Err(reason) = send_handles(&traffic, &context, &producer, &handles).await {
        log::debug!(
            "target={} results={} not released: {reason}",
            producer.id,
            handles.len()
        );
        return;
    }
    traffic.handle_released(&context, &handles);
}

/// Waits for a permit for a release call if the target has a limit, while more results accumulate.
/// Returns `false` if the results expire first.
async fn wait_release_permit(traffic: &Rc<Traffic>, destination: &ReleaseDestination) -> bool {
    let Some(producer) = traffic.releaser.producer(destination) else {
        return false;
    };
    let Some(context) = traffic.service(&producer.service) else {
        return false;
    };
    let until = traffic.shared.now() + result_ttl(&context);
    let has_permit = context.limits.wait_permit(&producer, until).await;
    if !has_permit {
        log::info!(
            "target={} gets no release: no permit before its results expire",
            producer.id
        );
    }
    has_permit
}

/// Returns the time after which results expire on the target.
fn result_ttl(context: &ServiceContext) -> Duration {
    let batch = context.spec.borrow().batch.clone();
    batch.map_or(Duration::ZERO, |batch| batch.result_ttl)
}

/// Waits until the target's backoff has ended. Returns `false` if its results expire first.
async fn wait_backoff(
    traffic: &Traffic,
    context: &ServiceContext,
    producer: &TargetSpec,
    results: usize,
) -> bool {
    let latest = traffic.shared.now() + result_ttl(context);
    loop {
        let now = traffic.shared.now();
        let backoff_until = context.targets.borrow().backoff_until(now, &producer.id);
        let Some(until) = backoff_until else {
            return true;
        };
        let remaining = until.saturating_sub(now).as_millis();
        log::info!(
            "target={} backs off for {remaining}ms, release deferred: results={results}",
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
    context: &Rc<ServiceContext>,
    producer: &TargetSpec,
    handles: &[String],
) -> Result<(), String> {
    let host = producer.address.to_string();
    let request =
        encode_release(&host, &producer.id, handles).map_err(|error| error.to_string())?;
    let purpose = CallPurpose::Maintenance;
    let response = call_target(
        traffic,
        context,
        producer,
        request,
        purpose,
        RELEASE_TIMEOUT,
    )
    .await;
    let response = response.map_err(|error| format!("{error:?}"))?;
    let read = response.collect(traffic, MAX_RESPONSE_BYTES).await;
    read.map(|_| ()).map_err(|error| format!("{error:?}"))
}
