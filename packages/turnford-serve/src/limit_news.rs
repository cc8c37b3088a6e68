//! What targets say of their limits for all nodes together, and how all nodes learn it.
//!
//! A node that hears a new word tells the one that divides, which orders the words of all nodes, numbers what
//! follows, and tells it on. Beside that, nodes that know of limits compare what they know.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use siphasher::sip::SipHasher13;

use turnford_fleet::DivisionRole;
use turnford_fleet::LimitEntry;
use turnford_fleet::LimitTerm;
use turnford_policy::HeardWord;
use turnford_policy::LimitWord;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::LimitMark;
use turnford_wire::LimitNews;
use turnford_wire::LimitReport;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::desk::ServiceDesk;
use crate::fanout::sample_peers;
use crate::fanout::tell_some;
use crate::fanout::ANSWER_LIMIT;
use crate::leaving::ask_health;
use crate::limits::add_permit;
use crate::limits::enter_division;
use crate::limits::note_holder;
use crate::limits::placer_of;
use crate::traffic::Traffic;
use crate::work::call_peer;

/// Nodes that a report is told to, one after the other, until one takes it.
const REPORT_TRIES: usize = 4;

/// Pause before the next of them.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two comparisons with another node.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);

/// Nodes with which one compares that divides: two that do must hear of each other soon.
const DIVIDER_PEERS: usize = 3;

/// Time after its start in which a node compares though it knows of no limit.
const START_SPAN: Duration = Duration::from_secs(5);

/// Most targets of one message: some 15 KB.
const NEWS_LIMIT: usize = 256;

/// Hears what a target's answer, to a call sent at a moment, said of its limit.
pub(crate) fn hear_limit(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    heard: HeardWord,
    attempt: &str,
) {
    let listed = desk
        .board
        .borrow()
        .get(&target.id)
        .map(|listed| listed.born);
    if listed != Some(target.born) {
        return;
    }
    let mut limits = desk.limits.borrow_mut();
    let before = limits.hear(&target.id, target.born, heard);
    drop(limits);
    if let Some(before) = before {
        let word = heard.word;
        log::info!(
            "target={} names limit={word} before={before:?} request={attempt}",
            target.id
        );
        report_limit(traffic, desk, target);
    }
}

/// Tells the node that divides what this one heard last of a target's limit, soon.
pub(crate) fn report_limit(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, target: &TargetSpec) {
    if desk.limit_reports.borrow_mut().insert(target.id.clone()) {
        let report = report_word(traffic.clone(), desk.clone(), target.clone());
        traffic.executor.spawn(report).detach();
    }
}

async fn report_word(traffic: Rc<Traffic>, desk: Rc<ServiceDesk>, target: TargetSpec) {
    for _ in 0..REPORT_TRIES {
        let Some(heard) = desk.limits.borrow().word(&target.id) else {
            break;
        };
        if tell_word(&traffic, &desk, &target, heard).await {
            break;
        }
        Timer::after(REPORT_PAUSE).await;
    }
    desk.limit_reports.borrow_mut().remove(&target.id);
}

/// Tells one node; true if it divides.
async fn tell_word(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetSpec,
    heard: HeardWord,
) -> bool {
    let term = desk.division.borrow().term().cloned();
    let Some(peer) = placer_of(traffic, desk) else {
        return note_word(traffic, desk, &target.id, target.born, heard, term.as_ref());
    };
    let age = |at: Duration| {
        let age = traffic.shared.now().saturating_sub(at).as_millis();
        u64::try_from(age).unwrap_or(u64::MAX)
    };
    let report = LimitReport {
        service: target.service.to_string(),
        term,
        target: target.id.to_string(),
        born: target.born,
        rate: heard.word.rate(),
        sent_ms: age(heard.sent),
        heard_ms: age(heard.heard),
    };
    let request = WorkRequest::LimitReport(report);
    let reply = call_peer(traffic, peer, &request, ANSWER_LIMIT).await;
    let Some(WorkReply::Limits { news, .. }) = reply else {
        return false;
    };
    for news in &news {
        note_holder(traffic, desk, &news.term);
        take_limits(traffic, news);
    }
    news.iter().any(|news| news.term.holder.work == peer)
}

/// Takes a word where this node divides; false if it does not.
fn note_word(
    traffic: &Rc<Traffic>,
    desk: &Rc<ServiceDesk>,
    target: &TargetId,
    born: u64,
    heard: HeardWord,
    asked: Option<&LimitTerm>,
) -> bool {
    let role = enter_division(traffic, desk, asked);
    if !matches!(role, DivisionRole::Divides { .. }) {
        return false;
    }
    let now = traffic.shared.now();
    if let Some(divider) = desk.division.borrow_mut().divider() {
        divider.note_word(now, target, born, heard);
    }
    publish(traffic, desk, false);
    true
}

/// Answers a report.
pub(crate) fn answer_report(traffic: &Rc<Traffic>, report: &LimitReport) -> WorkReply {
    let Some(desk) = traffic.desk(&report.service) else {
        return WorkReply::Refused;
    };
    let now = traffic.shared.now();
    let at = |age: u64| now.saturating_sub(Duration::from_millis(age));
    let heard = HeardWord {
        word: report.rate.map_or(LimitWord::Unlimited, LimitWord::Rate),
        // It was on its way for so long at most.
        sent: at(report.sent_ms).saturating_sub(ANSWER_LIMIT),
        heard: at(report.heard_ms),
    };
    let target: TargetId = report.target.as_str().into();
    let asked = report.term.as_ref();
    note_word(traffic, &desk, &target, report.born, heard, asked);
    WorkReply::Limits {
        news: own_news(&desk).into_iter().collect(),
        behind: Vec::new(),
    }
}

/// Tells this node's traffic and some others what the divider says anew; everything where it has just begun.
pub(crate) fn publish(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, is_new: bool) {
    let now = traffic.shared.now();
    let mut division = desk.division.borrow_mut();
    let Some(term) = division.term().cloned() else {
        return;
    };
    let Some(divider) = division.divider() else {
        return;
    };
    let news = divider.take_news(now);
    let entries = if is_new { divider.entries() } else { news };
    drop(division);
    if entries.is_empty() && !is_new {
        return;
    }
    take_entries(traffic, desk, &entries);
    let service = desk.spec.borrow().name.to_string();
    tell_limits(traffic, &service, &term, &entries);
}

fn tell_limits(traffic: &Rc<Traffic>, service: &str, term: &LimitTerm, entries: &[LimitEntry]) {
    let mut parts: Vec<&[LimitEntry]> = entries.chunks(NEWS_LIMIT).collect();
    if parts.is_empty() {
        // Who divides is news, too.
        parts.push(&[]);
    }
    for part in parts {
        let news = LimitNews {
            service: service.to_owned(),
            term: term.clone(),
            entries: part.to_vec(),
        };
        tell_some(traffic, &WorkRequest::Limits(vec![news]));
    }
}

/// Takes another node's news, and passes on what is new.
pub(crate) fn answer_limits(traffic: &Rc<Traffic>, news: &[LimitNews]) -> WorkReply {
    for news in news {
        if take_limits(traffic, news) {
            tell_limits(traffic, &news.service, &news.term, &news.entries);
        }
    }
    WorkReply::Noted
}

/// Takes what the node that divides said; true if anything is new.
fn take_limits(traffic: &Rc<Traffic>, news: &LimitNews) -> bool {
    let Some(desk) = traffic.desk(&news.service) else {
        return false;
    };
    let is_later = note_term(traffic, &desk, &news.term);
    let is_of_term = desk.division.borrow().term() == Some(&news.term);
    if !is_of_term || desk.division.borrow_mut().divider().is_some() {
        return false;
    }
    take_entries(traffic, &desk, &news.entries) || is_later
}

/// Notes who divides; true if that is new.
pub(crate) fn note_term(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, term: &LimitTerm) -> bool {
    let is_later = desk.division.borrow_mut().note_term(term);
    if is_later {
        let service = desk.spec.borrow().name.clone();
        log::info!(
            "node={} divides limits of service={service} term={}",
            term.holder.name,
            term.number
        );
        desk.is_divided.set(true);
        desk.limits.borrow_mut().renumber();
        traffic.work.state(term.holder.work).note_heard_of();
    }
    is_later
}

fn take_entries(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>, entries: &[LimitEntry]) -> bool {
    let now = traffic.shared.now();
    let mut is_new = false;
    for entry in entries {
        let target: TargetId = entry.target.as_str().into();
        let listed = desk.board.borrow().get(&target).map(|listed| listed.born);
        if listed.is_some_and(|listed| listed != entry.born) {
            continue;
        }
        let mut limits = desk.limits.borrow_mut();
        let before = limits.state(&target);
        if limits.set(now, &target, entry.born, entry.sequence, entry.state) {
            is_new = true;
            if before != entry.state {
                let state = entry.state;
                log::info!("target={target} limit={state:?} before={before:?}");
            }
        }
    }
    if is_new {
        desk.line.wake_first();
        traffic.refresh_pieces(desk);
    }
    is_new
}

/// Returns what this node knows of a service's limits, `None` if nobody divides them.
fn own_news(desk: &ServiceDesk) -> Option<LimitNews> {
    let term = desk.division.borrow().term().cloned()?;
    let limits = desk.limits.borrow();
    let entries = limits
        .told()
        .map(|(target, born, sequence, state)| LimitEntry {
            target: target.to_string(),
            born,
            sequence,
            state,
        });
    Some(LimitNews {
        service: desk.spec.borrow().name.to_string(),
        term,
        entries: entries.take(NEWS_LIMIT).collect(),
    })
}

fn own_mark(desk: &ServiceDesk) -> LimitMark {
    let limits = desk.limits.borrow();
    let mut sum = 0;
    for (target, _, sequence, _) in limits.told() {
        let mut hasher = SipHasher13::new();
        hasher.write(target.as_bytes());
        hasher.write_u64(sequence);
        sum ^= hasher.finish();
    }
    LimitMark {
        service: desk.spec.borrow().name.to_string(),
        term: desk.division.borrow().term().cloned(),
        sum,
    }
}

/// Answers a node that compares what it knows.
pub(crate) fn answer_limit_sync(traffic: &Traffic, marks: &[LimitMark]) -> WorkReply {
    let mut news = Vec::new();
    let mut behind = Vec::new();
    for mark in marks {
        let Some(desk) = traffic.desk(&mark.service) else {
            continue;
        };
        let own = own_mark(&desk);
        if own.term < mark.term || (own.term == mark.term && own.sum != mark.sum) {
            behind.push(mark.service.clone());
        }
        if own.term >= mark.term && own != *mark {
            news.extend(own_news(&desk));
        }
    }
    WorkReply::Limits { news, behind }
}

/// Divides where it is this node's part, and compares what it knows with what others know, for as long as the
/// node runs.
pub(crate) async fn follow_limits(traffic: Rc<Traffic>) {
    loop {
        Timer::after(COMPARE_PAUSE).await;
        for desk in traffic.all_desks() {
            keep_division(&traffic, &desk);
        }
        note_gauges(&traffic);
        let desks = traffic.all_desks();
        let is_new = traffic.shared.now() < START_SPAN;
        let compared = desks.iter().filter(|desk| is_new || desk.is_divided.get());
        let marks: Vec<LimitMark> = compared.map(|desk| own_mark(desk)).collect();
        if marks.is_empty() {
            continue;
        }
        let divides = |desk: &Rc<ServiceDesk>| desk.division.borrow_mut().divider().is_some();
        let is_divider = desks.iter().any(divides);
        for peer in sample_peers(&traffic, if is_divider { DIVIDER_PEERS } else { 1 }) {
            let compare = compare_with(traffic.clone(), peer, marks.clone());
            traffic.executor.spawn(compare).detach();
        }
    }
}

async fn compare_with(traffic: Rc<Traffic>, peer: SocketAddr, marks: Vec<LimitMark>) {
    let request = WorkRequest::LimitSync(marks);
    let reply = call_peer(&traffic, peer, &request, ANSWER_LIMIT).await;
    let Some(WorkReply::Limits { news, behind }) = reply else {
        return;
    };
    for news in &news {
        take_limits(&traffic, news);
    }
    let desks = behind.iter().filter_map(|service| traffic.desk(service));
    let news: Vec<LimitNews> = desks.filter_map(|desk| own_news(&desk)).collect();
    if !news.is_empty() {
        call_peer(&traffic, peer, &WorkRequest::Limits(news), ANSWER_LIMIT).await;
    }
}

/// Does what a divider does without being asked.
fn keep_division(traffic: &Rc<Traffic>, desk: &Rc<ServiceDesk>) {
    let now = traffic.shared.now();
    let is_there = |target: &TargetId, born: u64| desk.limits.borrow().knows(target, born);
    let mut division = desk.division.borrow_mut();
    let idle = division.divider().map_or_else(Vec::new, |divider| {
        divider.keep_only(is_there);
        divider.note_reach(traffic.shared.view.load().reaches_half());
        divider.take_idle(now)
    });
    drop(division);
    publish(traffic, desk, false);
    if !desk.limits.borrow().has_limits() {
        // Whoever has to place for all may do so again.
        desk.is_divided.set(false);
    }
    for target in idle {
        let listed = desk.board.borrow().get(&target).cloned();
        if let Some(target) = listed.filter(|target| !target.leaving) {
            add_permit(traffic, desk, &target.id, now);
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
    for desk in traffic.all_desks() {
        targets += desk.limits.borrow().limited().count();
        if let Some(divider) = desk.division.borrow_mut().divider() {
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
