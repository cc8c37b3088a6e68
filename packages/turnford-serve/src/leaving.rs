//! Targets that announce in a response that they leave, whatever their store entries say.
//!
//!
//! The store may be silent or behind for longer than such a target keeps running. A node that
//! receives the announcement applies it immediately and notifies the nodes that place requests and
//! gather pieces for the service, and a sample of others, which forward it. It applies until the
//! target's process ends or the target reports that it stays.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::encode_health;
use turnford_fleet::Duty;
use turnford_policy::TargetSpec;
use turnford_wire::LeavingUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::call::call_target;
use crate::call_error::CallError;
use crate::call_purpose::CallPurpose;
use crate::fanout::notify_peers;
use crate::fanout::notify_sample;
use crate::fanout::UpdateQueue;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time for which announcements are batched: the targets of a rack leave together.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of announcements in one message.
const MAX_UPDATES: usize = 256;

/// Interval for checking which leaving targets are due for a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of that probe. It has to wait for a slot on the target, as a request does.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait for a permit if the target has a limit.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the probe's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Announcements that have not been sent to other nodes yet.
pub(crate) type LeavingQueue = UpdateQueue<LeavingUpdate>;

/// Applies the announcement of a target in a response to this node, and notifies other nodes.
pub(crate) fn process_leaving(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
) {
    let update = LeavingUpdate {
        service: target.service.to_string(),
        target: target.id.to_string(),
        process_start: target.process_start,
    };
    if apply_leaving(traffic, context, &update, "an answer to this node") {
        notify_leaving(traffic, vec![update]);
    }
}

/// Applies an announcement. Returns `true` if it is new to this node.
fn apply_leaving(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    update: &LeavingUpdate,
    source: &str,
) -> bool {
    let now = traffic.shared.now();
    let mut table = context.targets.borrow_mut();
    if !table.record_leaving(now, &update.target, update.process_start) {
        return false;
    }
    drop(table);
    log::info!(
        "target={} announces that it leaves: service={} born={} from={source}",
        update.target,
        update.service,
        update.process_start
    );
    traffic.refresh_pieces(context);
    true
}

fn notify_leaving(traffic: &Rc<Traffic>, updates: Vec<LeavingUpdate>) {
    if traffic.leaving.add(updates) {
        let send = send_pending(traffic.clone());
        traffic.executor.spawn(send).detach();
    }
}

async fn send_pending(traffic: Rc<Traffic>) {
    Timer::after(BATCH_DELAY).await;
    let updates = traffic.leaving.take();
    for chunk in updates.chunks(MAX_UPDATES) {
        let owners = owners_of(&traffic, chunk);
        let request = WorkRequest::Leaving(chunk.to_vec());
        notify_peers(&traffic.peers, owners, &request);
        notify_sample(&traffic.peers, &request);
    }
}

/// Returns the nodes that choose targets of these services for other nodes.
fn owners_of(traffic: &Rc<Traffic>, updates: &[LeavingUpdate]) -> BTreeSet<SocketAddr> {
    let services: BTreeSet<&str> = updates.iter().map(|update| &*update.service).collect();
    let duties = services.into_iter().flat_map(|service| {
        let cells = traffic
            .service(service)
            .map_or(0, |context| context.cell_count());
        let gathers = (0..cells).map(move |cell| Duty::Gather(service.to_owned(), cell));
        gathers.chain([Duty::Place(service.to_owned())])
    });
    duties
        .filter_map(|duty| traffic.peers.owner_of(&duty))
        .collect()
}

/// Applies another node's announcements and forwards those that are new.
pub(crate) fn answer_leaving(traffic: &Rc<Traffic>, updates: Vec<LeavingUpdate>) -> WorkReply {
    let is_new = |update: &LeavingUpdate| {
        let context = traffic.service(&update.service);
        context.is_some_and(|context| apply_leaving(traffic, &context, update, "another node"))
    };
    let new: Vec<LeavingUpdate> = updates.into_iter().filter(is_new).collect();
    if !new.is_empty() {
        notify_leaving(traffic, new);
    }
    WorkReply::Ack
}

/// Probes targets that announced that they leave but are still listed as ready long afterwards, for
/// as long as the node runs.
pub(crate) async fn probe_leaving(traffic: Rc<Traffic>) {
    let jitter = traffic.random();
    loop {
        Timer::after(PROBE_INTERVAL).await;
        let now = traffic.shared.now();
        for context in traffic.all_services() {
            let due = context.targets.borrow_mut().take_due_probes(now, jitter);
            for target in due {
                let probe = probe_target(traffic.clone(), context.clone(), target);
                traffic.executor.spawn(probe).detach();
            }
        }
    }
}

async fn probe_target(traffic: Rc<Traffic>, context: Rc<ServiceContext>, target: TargetSpec) {
    let until = traffic.shared.now() + PERMIT_TIMEOUT;
    if !context.limits.wait_permit(&target, until).await {
        log::info!("target={} gets no probe: no permit in time", target.id);
        return;
    }
    let stays = read_health(&traffic, &context, &target).await;
    log::info!(
        "target={} probed for whether it stays: {stays:?}",
        target.id
    );
    if stays == Ok(true) {
        context
            .targets
            .borrow_mut()
            .record_active(&target.id, target.process_start);
        traffic.refresh_pieces(&context);
    }
}

/// Probes a target so that its response carries the signals that it currently sends.
pub(crate) async fn probe_health(
    traffic: Rc<Traffic>,
    context: Rc<ServiceContext>,
    target: TargetSpec,
) {
    let outcome = read_health(&traffic, &context, &target).await;
    log::info!("target={} probed for its health: {outcome:?}", target.id);
}

async fn read_health(
    traffic: &Rc<Traffic>,
    context: &Rc<ServiceContext>,
    target: &TargetSpec,
) -> Result<bool, CallError> {
    let path = context.spec.borrow().health_path.clone();
    let host = target.address.to_string();
    let request = encode_health(&path, &host, &target.id).map_err(|error| {
        log::error!("target={} can't be probed: {error}", target.id);
        CallError::NotSent("the health request can't be encoded")
    })?;
    let purpose = CallPurpose::Maintenance;
    let response = call_target(traffic, context, target, request, purpose, PROBE_TIMEOUT).await?;
    let is_well = response.parts.status.is_success() && !response.is_leaving;
    response.collect(traffic, MAX_RESPONSE_BYTES).await?;
    Ok(is_well)
}
