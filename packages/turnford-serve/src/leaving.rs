//! Targets that say in an answer that they leave, whatever their entries say.
//!
//! The store may be silent or behind for longer than such a target still runs. The node that heard the
//! word takes it at once, tells those that place and gather for the service, and some others, which pass
//! it on. It ends with the target's process, or when the target says that it stays.

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
use crate::call::CallError;
use crate::call::CallPurpose;
use crate::fanout::notify_peers;
use crate::fanout::notify_sample;
use crate::fanout::UpdateQueue;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time in which words are gathered: the targets of a rack leave together.
const GATHER_PAUSE: Duration = Duration::from_millis(5);

/// Most words of one message.
const NEWS_LIMIT: usize = 256;

/// Pause between looks for targets to be asked whether they stay.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for that answer. It waits for a place at the target, as a request does.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Longest wait for a call where the target has a limit.
const PERMIT_LIMIT: Duration = Duration::from_secs(5);

/// Longest body of that answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024;

/// Words of targets that are not told yet.
pub(crate) type LeavingQueue = UpdateQueue<LeavingUpdate>;

/// Notes that a target said in an answer to this node that it leaves, and tells others.
pub(crate) fn process_leaving(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    target: &TargetSpec,
) {
    let news = LeavingUpdate {
        service: target.service.to_string(),
        target: target.id.to_string(),
        process_start: target.process_start,
    };
    if take_leaving(traffic, desk, &news, "an answer to this node") {
        tell_leaving(traffic, vec![news]);
    }
}

/// Takes a target's word; true if it is new here.
fn take_leaving(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    news: &LeavingUpdate,
    source: &str,
) -> bool {
    let now = traffic.shared.now();
    let mut board = desk.targets.borrow_mut();
    if !board.record_leaving(now, &news.target, news.process_start) {
        return false;
    }
    drop(board);
    log::info!(
        "target={} says that it leaves: service={} born={} from={source}",
        news.target,
        news.service,
        news.process_start
    );
    traffic.refresh_pieces(desk);
    true
}

fn tell_leaving(traffic: &Rc<Traffic>, news: Vec<LeavingUpdate>) {
    if traffic.leaving.add(news) {
        let tell = send_pending(traffic.clone());
        traffic.executor.spawn(tell).detach();
    }
}

async fn send_pending(traffic: Rc<Traffic>) {
    Timer::after(GATHER_PAUSE).await;
    let news = traffic.leaving.take();
    for part in news.chunks(NEWS_LIMIT) {
        let doers = doers_of(&traffic, part);
        let request = WorkRequest::Leaving(part.to_vec());
        notify_peers(&traffic.peers, doers, &request);
        notify_sample(&traffic.peers, &request);
    }
}

/// Returns the nodes that choose targets of these services for others.
fn doers_of(traffic: &Rc<Traffic>, news: &[LeavingUpdate]) -> BTreeSet<SocketAddr> {
    let services: BTreeSet<&str> = news.iter().map(|news| &*news.service).collect();
    let duties = services.into_iter().flat_map(|service| {
        let cells = traffic.service(service).map_or(0, |desk| desk.cell_count());
        let gathers = (0..cells).map(move |cell| Duty::Gather(service.to_owned(), cell));
        gathers.chain([Duty::Place(service.to_owned())])
    });
    duties
        .filter_map(|duty| traffic.peers.owner_of(&duty))
        .collect()
}

/// Takes another node's news, and passes on what is new.
pub(crate) fn answer_leaving(traffic: &Rc<Traffic>, news: Vec<LeavingUpdate>) -> WorkReply {
    let is_new = |news: &LeavingUpdate| {
        let desk = traffic.service(&news.service);
        desk.is_some_and(|desk| take_leaving(traffic, &desk, news, "another node"))
    };
    let new: Vec<LeavingUpdate> = news.into_iter().filter(is_new).collect();
    if !new.is_empty() {
        tell_leaving(traffic, new);
    }
    WorkReply::Ack
}

/// Asks targets that said that they leave, and are still listed as ready long after, whether they stay,
/// for as long as the node runs.
pub(crate) async fn ask_leaving(traffic: Rc<Traffic>) {
    let later = traffic.random();
    loop {
        Timer::after(ASK_PAUSE).await;
        let now = traffic.shared.now();
        for desk in traffic.all_services() {
            let due = desk.targets.borrow_mut().take_due_probes(now, later);
            for target in due {
                let ask = ask_target(traffic.clone(), desk.clone(), target);
                traffic.executor.spawn(ask).detach();
            }
        }
    }
}

async fn ask_target(traffic: Rc<Traffic>, desk: Rc<ServiceContext>, target: TargetSpec) {
    let until = traffic.shared.now() + PERMIT_LIMIT;
    if !desk.limits.wait_permit(&target, until).await {
        log::info!("target={} has no call for a question", target.id);
        return;
    }
    let stays = read_health(&traffic, &desk, &target).await;
    log::info!("target={} was asked whether it stays: {stays:?}", target.id);
    if stays == Ok(true) {
        desk.targets
            .borrow_mut()
            .record_active(&target.id, target.process_start);
        traffic.refresh_pieces(&desk);
    }
}

/// Asks a target whether it is well and does not leave.
/// Asks a target how it is, so that it says what it wants said.
pub(crate) async fn probe_health(
    traffic: Rc<Traffic>,
    desk: Rc<ServiceContext>,
    target: TargetSpec,
) {
    let end = read_health(&traffic, &desk, &target).await;
    log::info!("target={} was asked how it is: {end:?}", target.id);
}

async fn read_health(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceContext>,
    target: &TargetSpec,
) -> Result<bool, CallError> {
    let path = desk.spec.borrow().health_path.clone();
    let host = target.address.to_string();
    let request = encode_health(&path, &host, &target.id).map_err(|problem| {
        log::error!("target={} can't be asked: {problem}", target.id);
        CallError::NotSent("the question can't be written down")
    })?;
    let purpose = CallPurpose::Maintenance;
    let answer = call_target(traffic, desk, target, request, purpose, ASK_LIMIT).await?;
    let is_well = answer.parts.status.is_success() && !answer.leaves;
    answer.collect(traffic, ANSWER_LIMIT).await?;
    Ok(is_well)
}
