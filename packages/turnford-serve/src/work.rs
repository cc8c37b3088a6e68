//! Work exchanged between nodes: the pieces of a cell go to the node that batches them, and one
//! node places the requests for a service's engines.
//!
//! This node is found by rendezvous hashing over the nodes that are alive. Nodes don't need to
//! agree on it: if two nodes batch for one cell, their calls are merely filled less well, and a
//! node that gets no answer tries the next one and finally itself.

use std::rc::Rc;

use async_net::TcpListener;

use turnford_wire::accept_peers;
use turnford_wire::CancelPolicy;
use turnford_wire::StreamedReply;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::admission::answer_admit;
use crate::admission::answer_forecast;
use crate::backoff::answer_backoff;
use crate::batching::answer_pieces;
use crate::batching::answer_release;
use crate::brittle::answer_brittle;
use crate::crash_updates::answer_crash_sync;
use crate::crash_updates::answer_crashes;
use crate::leaving::answer_leaving;
use crate::limit_sync::answer_limit_sync;
use crate::limit_updates::answer_limits;
use crate::limit_updates::answer_report;
use crate::limits::ServiceLimits;
use crate::links::answer_reach;
use crate::placer::answer_place;
use crate::progress::answer_progress;
use crate::relay_handler::answer_relay;
use crate::repeats::answer_repeats;
use crate::resume::answer_query;
use crate::traffic::Traffic;

/// Serves other nodes' work for as long as the node runs.
pub(crate) async fn serve_work(traffic: Rc<Traffic>, listener: TcpListener) {
    let executor = traffic.executor.clone();
    let handler = move |request| answer_work(traffic.clone(), request);
    let refusal = || WorkReply::Refused;
    accept_peers(listener, executor, CancelPolicy::Drop, refusal, handler).await;
}

async fn answer_work(traffic: Rc<Traffic>, request: WorkRequest) -> StreamedReply<WorkReply> {
    traffic.current_view();
    match request {
        WorkRequest::Relay(request) if !traffic.shared.is_draining() => {
            answer_relay(&traffic, request).await
        }
        request => answer_unary(&traffic, request).await.into(),
    }
}

async fn answer_unary(traffic: &Rc<Traffic>, request: WorkRequest) -> WorkReply {
    match request {
        WorkRequest::Probe => WorkReply::Ack,
        WorkRequest::LoadQuery => WorkReply::Load {
            is_saturated: traffic.gate.borrow().is_saturated(),
        },
        // The requesting node or another one runs these pieces with fewer hops.
        WorkRequest::Pieces(_) if traffic.links.borrow().is_isolated() => WorkReply::Refused,
        // Another node takes over this work.
        WorkRequest::Pieces(_)
        | WorkRequest::Admit(_)
        | WorkRequest::Place(_)
        | WorkRequest::Permit(_)
        | WorkRequest::LimitReport(_)
        | WorkRequest::LimitSync(_)
            if traffic.shared.is_draining() =>
        {
            WorkReply::Refused
        }
        WorkRequest::Relay(_) => WorkReply::Refused,
        WorkRequest::ReachTarget { service, target } => {
            answer_reach(traffic, &service, &target).await
        }
        WorkRequest::Pieces(request) => answer_pieces(traffic, request).await,
        WorkRequest::Admit(request) => answer_admit(traffic, request),
        WorkRequest::Forecast {
            service,
            ticket,
            is_late,
        } => answer_forecast(traffic, &service, ticket, is_late),
        WorkRequest::Place(request) => answer_place(traffic, request),
        WorkRequest::Crashes(updates) => answer_crashes(traffic, updates),
        WorkRequest::CrashSync { sum, is_new } => answer_crash_sync(traffic, sum, is_new),
        WorkRequest::LimitReport(report) => match limits_of(traffic, &report.service) {
            Some(limits) => answer_report(&limits, &report),
            None => WorkReply::Refused,
        },
        WorkRequest::Permit(request) => match limits_of(traffic, &request.service) {
            Some(limits) => WorkReply::Permit(limits.grant(&request)),
            None => WorkReply::Refused,
        },
        WorkRequest::Limits(updates) => {
            for updates in &updates {
                if let Some(limits) = limits_of(traffic, &updates.service) {
                    answer_limits(&limits, updates);
                }
            }
            WorkReply::Ack
        }
        WorkRequest::LimitSync(marks) => answer_limit_sync(traffic, &marks),
        // A stopping node does not keep records for long enough.
        WorkRequest::StreamRecords(_) if traffic.shared.is_draining() => WorkReply::Refused,
        WorkRequest::StreamRecords(records) => {
            traffic.streams.keep(&records);
            WorkReply::Ack
        }
        WorkRequest::StreamQuery { key, services } => answer_query(traffic, key, &services),
        WorkRequest::Brittle(updates) => answer_brittle(traffic, updates),
        WorkRequest::Repeats(updates) => answer_repeats(traffic, &updates),
        WorkRequest::Leaving(updates) => answer_leaving(traffic, updates),
        WorkRequest::Backoff(updates) => answer_backoff(traffic, &updates),
        WorkRequest::Progress { service, updates } => {
            answer_progress(traffic, &service, &updates);
            WorkReply::Ack
        }
        WorkRequest::Release { service, results } => {
            answer_release(traffic, &service, results);
            WorkReply::Ack
        }
    }
}

fn limits_of(traffic: &Traffic, service: &str) -> Option<Rc<ServiceLimits>> {
    Some(traffic.service(service)?.limits.clone())
}
