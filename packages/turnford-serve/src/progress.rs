//! What became of placed requests, told to the node that placed them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_policy::ServiceId;
use turnford_wire::RunUpdate;
use turnford_wire::WorkRequest;

use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time in which news of placed requests is gathered.
const NEWS_PAUSE: Duration = Duration::from_millis(40);

/// Longest wait for news to be noted.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// The node that admits and places a service's requests, to be told what became of one.
pub(crate) struct PlacerHandle {
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) desk: Rc<ServiceContext>,
    /// Its address, `None` for this node.
    pub(crate) address: Option<SocketAddr>,
}

impl PlacerHandle {
    pub(crate) fn tell(&self, news: RunUpdate) {
        match self.address {
            Some(placer) => {
                let service = self.desk.spec.borrow().name.clone();
                tell_progress(&self.traffic, placer, service, news);
            }
            None => note_news(&self.traffic, &self.desk, news),
        }
    }
}

/// News of placed requests that is not told yet.
#[derive(Default)]
pub(crate) struct ProgressQueue {
    waiting: RefCell<HashMap<(SocketAddr, ServiceId), Vec<RunUpdate>>>,
}

/// Answers news of placed requests.
pub(crate) fn answer_progress(traffic: &Traffic, service: &str, news: &[RunUpdate]) {
    if let Some(desk) = traffic.service(service) {
        for news in news {
            note_news(traffic, &desk, *news);
        }
    }
}

fn note_news(traffic: &Traffic, desk: &ServiceContext, news: RunUpdate) {
    let now = traffic.shared.now();
    let mut engines = desk.engines.borrow_mut();
    match news {
        RunUpdate::Started(ticket, span) => {
            let span = Duration::from_millis(u64::from(span));
            let slowness = engines.record_first_event(ticket, span);
            if let (Some(slowness), Some(target)) = (slowness, engines.target_of(ticket)) {
                let mut board = desk.targets.borrow_mut();
                board.record_slowness(now, target, slowness);
            }
        }
        RunUpdate::Refused(ticket) => {
            if let Some(target) = engines.target_of(ticket) {
                desk.targets.borrow_mut().record_refusal(now, target);
            }
        }
        RunUpdate::Ended(ticket) => {
            engines.record_end(ticket);
            desk.trials.borrow_mut().end(ticket);
        }
        RunUpdate::StageDone(ticket, stage) => {
            desk.flow
                .borrow_mut()
                .record_stage_done(ticket, stage as usize);
        }
        RunUpdate::StagesEnded(ticket) => desk.flow.borrow_mut().record_end(ticket),
    }
}

/// Tells the node that placed a request what became of it, soon.
fn tell_progress(traffic: &Rc<Traffic>, placer: SocketAddr, service: ServiceId, news: RunUpdate) {
    let place = (placer, service);
    let mut waiting = traffic.progress.waiting.borrow_mut();
    let queue = waiting.entry(place.clone()).or_default();
    queue.push(news);
    if queue.len() == 1 {
        let send = send_progress(traffic.clone(), place);
        traffic.executor.spawn(send).detach();
    }
}

async fn send_progress(traffic: Rc<Traffic>, place: (SocketAddr, ServiceId)) {
    Timer::after(NEWS_PAUSE).await;
    let news = traffic.progress.waiting.borrow_mut().remove(&place);
    let request = WorkRequest::Progress {
        service: place.1.to_string(),
        updates: news.unwrap_or_default(),
    };
    // A node that does not hear it forgets the requests after their deadline.
    traffic.peers.call(place.0, &request, NEWS_LIMIT).await;
}
