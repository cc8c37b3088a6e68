//! How nodes tell each other of requests under which targets crashed, without the store.
//!
//! A node that learns of a crash tells some others at once, which tell some others. Beside that, nodes
//! that know of crashes compare what they know, so that one that missed news learns it, and a node
//! that starts asks before it says that it is ready.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::CrashEvent;
use turnford_fleet::CrashUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::crash::take_crash;
use crate::fanout::notify_peers;
use crate::fanout::notify_sample;
use crate::fanout::ANSWER_LIMIT;
use crate::suspect_persistence::take_kept;
use crate::traffic::Traffic;

/// Time in which news is gathered: neighbours at one target are found out together.
const GATHER_PAUSE: Duration = Duration::from_millis(5);

/// Most news told at once: some 5 KB. Of more, what was learned on trial goes first; the rest is
/// learned by comparing.
const NEWS_LIMIT: usize = 64;

/// Pause between two comparisons with another node: news that was missed is known within some
/// seconds, for a hundred bytes a second.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);

/// Crashes that a node lists for others a second, but for those that start: some 1 KB, where nodes
/// keep disagreeing.
const LIST_RATE: f64 = 25.0;

/// Nodes that one which starts asks at most; those that ended may still be listed.
const START_TRIES: usize = 3;

/// Pause between looks whether the other nodes are known.
const START_PAUSE: Duration = Duration::from_millis(10);

/// Tells some other nodes soon.
pub(crate) fn tell_crashes(traffic: &Rc<Traffic>, news: Vec<CrashUpdate>) {
    if traffic.crashes.untold.add(news) {
        let tell = tell_untold(traffic.clone());
        traffic.executor.spawn(tell).detach();
    }
}

/// Tells the nodes that place what happened at this one. They decide whether the next copy runs, and other
/// ways of the news may be slower or lose it.
pub(crate) fn tell_placers(traffic: &Rc<Traffic>, news: &CrashUpdate) {
    let request = WorkRequest::Crashes(vec![news.clone()]);
    let told = traffic.clone();
    // A crash may be found while the services are being changed, when they can't be listed.
    let tell = async move {
        let desks = told.all_services();
        let placers: BTreeSet<SocketAddr> = desks
            .iter()
            .filter_map(|desk| desk.limits.placer())
            .collect();
        notify_peers(&told.peers, placers, &request);
    };
    traffic.executor.spawn(tell).detach();
}

async fn tell_untold(traffic: Rc<Traffic>) {
    Timer::after(GATHER_PAUSE).await;
    let mut news = traffic.crashes.untold.take();
    news.sort_by_key(|news| match news.event {
        CrashEvent::Crashed { part, .. } => Reverse(Some(part)),
        CrashEvent::EndedWell => Reverse(None),
    });
    if news.len() > NEWS_LIMIT {
        let left = news.len() - NEWS_LIMIT;
        log::warn!("{left} news of crashes left out, others learn them by comparing");
        news.truncate(NEWS_LIMIT);
    }
    // One that does not hear it learns it by comparing.
    notify_sample(&traffic.peers, &WorkRequest::Crashes(news));
}

/// Takes another node's news, and passes on what is new.
pub(crate) fn answer_crashes(traffic: &Rc<Traffic>, news: Vec<CrashUpdate>) -> WorkReply {
    let new = news.into_iter().filter(|news| take_crash(traffic, news));
    let new: Vec<CrashUpdate> = new.collect();
    if !new.is_empty() {
        tell_crashes(traffic, new);
    }
    WorkReply::Ack
}

/// Answers a node that compares what it knows.
pub(crate) fn answer_crash_sync(traffic: &Traffic, sum: u64, is_new: bool) -> WorkReply {
    let own = traffic.crashes.table.borrow().checksum();
    let updates = if own == sum {
        Vec::new()
    } else {
        list_crashes(traffic, is_new)
    };
    WorkReply::Crashes { sum: own, updates }
}

/// Returns all crashes for another node; none if the last such list is not long enough ago, unless
/// the other one has just started.
fn list_crashes(traffic: &Traffic, is_new: bool) -> Vec<CrashUpdate> {
    let now = traffic.shared.now();
    if !is_new && now < traffic.crashes.list_after.get() {
        return Vec::new();
    }
    let news = traffic.crashes.table.borrow().snapshot(now);
    let pause = Duration::from_secs_f64(news.len() as f64 / LIST_RATE);
    traffic.crashes.list_after.set(now + pause);
    news
}

/// Compares what this node knows with what others know, for as long as the node runs.
pub(crate) async fn compare_crashes(traffic: Rc<Traffic>) {
    loop {
        Timer::after(COMPARE_PAUSE).await;
        take_kept(&traffic);
        note_gauges(&traffic);
        if traffic.crashes.table.borrow().is_empty() {
            // One that knows more asks this node.
            continue;
        }
        for peer in traffic.peers.sample(1) {
            compare_with(&traffic, peer, false).await;
        }
    }
}

fn note_gauges(traffic: &Traffic) {
    let table = traffic.crashes.table.borrow();
    let metrics = &traffic.shared.metrics;
    metrics.suspects.set(table.len() as u64);
    metrics.crashing.set(table.refused_count() as u64);
}

/// Compares with one node, takes what it tells and tells it what it does not know; true if it
/// answered.
async fn compare_with(traffic: &Rc<Traffic>, peer: SocketAddr, is_new: bool) -> bool {
    let sum = traffic.crashes.table.borrow().checksum();
    let request = WorkRequest::CrashSync { sum, is_new };
    let reply = traffic.peers.call(peer, &request, ANSWER_LIMIT).await;
    let Some(WorkReply::Crashes { sum, updates }) = reply else {
        return false;
    };
    for news in &updates {
        take_crash(traffic, news);
    }
    if traffic.crashes.table.borrow().checksum() != sum {
        let news = list_crashes(traffic, false);
        if !news.is_empty() {
            traffic
                .peers
                .call(peer, &WorkRequest::Crashes(news), ANSWER_LIMIT)
                .await;
        }
    }
    true
}

/// Asks another node which requests crash targets, so that a node that starts does not run them.
pub(crate) async fn learn_crashes(traffic: Rc<Traffic>) {
    while !traffic.shared.has_asked_members.load(Ordering::SeqCst) {
        Timer::after(START_PAUSE).await;
    }
    take_kept(&traffic);
    for peer in traffic.peers.sample(START_TRIES) {
        if compare_with(&traffic, peer, true).await {
            break;
        }
    }
    traffic.shared.knows_crashes.store(true, Ordering::SeqCst);
}
