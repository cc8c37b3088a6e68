//! What a node does about limits without being asked: it compares them with other nodes, and where it divides,
//! looks after targets that get no call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::TargetId;
use turnford_wire::LimitDigest;
use turnford_wire::LimitUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::fanout::ANSWER_LIMIT;
use crate::leaving::ask_health;
use crate::limit_updates::own_news;
use crate::limit_updates::take_limits;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Pause between two comparisons with another node.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);

/// Nodes with which one compares that divides: two that do must hear of each other soon.
const DIVIDER_PEERS: usize = 3;

/// Time after its start in which a node compares though it knows of no limit.
const START_SPAN: Duration = Duration::from_secs(5);

/// Follows the limits for as long as the node runs.
pub(crate) async fn follow_limits(traffic: Rc<Traffic>) {
    loop {
        Timer::after(COMPARE_PAUSE).await;
        for desk in traffic.all_services() {
            keep_division(&traffic, &desk);
        }
        note_gauges(&traffic);
        compare(&traffic);
    }
}

/// Compares what this node knows with what others know.
fn compare(traffic: &Rc<Traffic>) {
    let is_new = traffic.shared.now() < START_SPAN;
    let desks = traffic.all_services();
    let compared = desks
        .iter()
        .filter(|desk| is_new || desk.limits.is_divided.get());
    let marks: Vec<LimitDigest> = compared.map(|desk| desk.limits.mark()).collect();
    if marks.is_empty() {
        return;
    }
    let divides = |desk: &Rc<ServiceContext>| {
        let mut division = desk.limits.election.borrow_mut();
        division.allocator().is_some()
    };
    let count = if desks.iter().any(divides) {
        DIVIDER_PEERS
    } else {
        1
    };
    for peer in traffic.peers.sample(count) {
        let compare = compare_with(traffic.clone(), peer, marks.clone());
        traffic.executor.spawn(compare).detach();
    }
}

async fn compare_with(traffic: Rc<Traffic>, peer: SocketAddr, marks: Vec<LimitDigest>) {
    let request = WorkRequest::LimitSync(marks);
    let reply = traffic.peers.call(peer, &request, ANSWER_LIMIT).await;
    let Some(WorkReply::Limits { updates, behind }) = reply else {
        return;
    };
    for news in &updates {
        if let Some(desk) = traffic.service(&news.service) {
            take_limits(&desk.limits, news);
        }
    }
    let desks = behind.iter().filter_map(|service| traffic.service(service));
    let news: Vec<LimitUpdate> = desks.filter_map(|desk| own_news(&desk.limits)).collect();
    if !news.is_empty() {
        let request = WorkRequest::Limits(news);
        traffic.peers.call(peer, &request, ANSWER_LIMIT).await;
    }
}

/// Answers a node that compares what it knows.
pub(crate) fn answer_limit_sync(traffic: &Traffic, marks: &[LimitDigest]) -> WorkReply {
    let mut updates = Vec::new();
    let mut behind = Vec::new();
    for mark in marks {
        let Some(desk) = traffic.service(&mark.service) else {
            continue;
        };
        let own = desk.limits.mark();
        if own == *mark {
            continue;
        }
        if own.term <= mark.term {
            behind.push(mark.service.clone());
        }
        if own.term >= mark.term {
            updates.extend(own_news(&desk.limits));
        }
    }
    WorkReply::Limits { updates, behind }
}

/// Does what a divider does without being asked.
fn keep_division(traffic: &Rc<Traffic>, desk: &Rc<ServiceContext>) {
    let now = traffic.shared.now();
    let limits = &desk.limits;
    let mut division = limits.election.borrow_mut();
    let idle = division.allocator().map_or_else(Vec::new, |divider| {
        let board = limits.table.borrow();
        divider.retain_listed(|target: &TargetId, born| board.is_known(target, born));
        divider.set_reaches_half(traffic.shared.view.load().reaches_half());
        divider.take_idle(now)
    });
    drop(division);
    limits.publish(false);
    if !limits.table.borrow().has_limits() {
        // Whoever has to place for all may do so again.
        limits.is_divided.set(false);
    }
    for target in idle {
        let listed = desk.targets.borrow().get(&target).cloned();
        if let Some(target) = listed.filter(|target| !target.leaving) {
            limits.add_permit(&target.id, now);
            let ask = ask_health(traffic.clone(), desk.clone(), target);
            traffic.executor.spawn(ask).detach();
        }
    }
}

fn note_gauges(traffic: &Traffic) {
    let now = traffic.shared.now();
    let mut targets = 0;
    let mut rate = 0.0;
    let mut waiting = 0;
    for desk in traffic.all_services() {
        targets += desk.limits.table.borrow().limited().count();
        if let Some(divider) = desk.limits.election.borrow_mut().allocator() {
            let (given, line) = divider.load(now);
            rate += given;
            waiting += line;
        }
    }
    let metrics = &traffic.shared.metrics;
    metrics.limited_targets.set(targets as u64);
    metrics.limit_rate.set(rate);
    metrics.limit_line.set(waiting as u64);
}
