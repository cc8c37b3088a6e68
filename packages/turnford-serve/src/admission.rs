//! Whether a request begins its stages.
//!
//! The node that places a service's requests admits them, too: it alone knows what all admitted
//! requests still need of the stages. A node that gets no answer from it admits by the queues that it
//! knows itself.

use std::rc::Rc;
use std::time::Duration;

use turnford_fleet::Duty;
use turnford_policy::FlowNeed;
use turnford_policy::FlowStage;
use turnford_policy::FlowTicket;
use turnford_wire::AdmitAsk;
use turnford_wire::AdmitStage;
use turnford_wire::RunNews;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::desk::ServiceDesk;
use crate::placement::PlacerLink;
use crate::placement::PLACE_LIMIT;
use crate::record::RequestRecord;
use crate::stages::expected_span;
use crate::stages::least_span;
use crate::traffic::Traffic;
use crate::work::call_peer;
use crate::work::doer_of;

/// An admitted request's stages; their end is told when this is dropped.
pub(crate) struct AdmittedFlow {
    /// Who admitted it, `None` where nobody counts it.
    admitted: Option<(PlacerLink, FlowTicket)>,
}

impl AdmittedFlow {
    /// Notes that a stage is done.
    pub(crate) fn note_stage(&self, stage: usize) {
        if let Some((placer, ticket)) = &self.admitted {
            let stage = u32::try_from(stage).unwrap_or(u32::MAX);
            placer.tell(RunNews::StageDone(*ticket, stage));
        }
    }
}

impl Drop for AdmittedFlow {
    fn drop(&mut self) {
        if let Some((placer, ticket)) = &self.admitted {
            placer.tell(RunNews::StagesEnded(*ticket));
        }
    }
}

/// Admits a request if its stages will be done in time.
///
/// # Errors
///
/// Returns by how much they would be late.
pub(crate) async fn admit_flow(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    desk: &Rc<ServiceDesk>,
) -> Result<AdmittedFlow, Duration> {
    let need = flow_need(traffic, record);
    if need.stages.iter().all(|stage| stage.pieces == 0) {
        return Ok(AdmittedFlow { admitted: None });
    }
    let service = desk.spec.borrow().name.to_string();
    let address = doer_of(traffic, &Duty::Place(service));
    let answer = match address {
        None => Some(admit_here(traffic, desk, &need)),
        Some(placer) => {
            let request = WorkRequest::Admit(admit_ask(traffic, desk, &need));
            match call_peer(traffic, placer, &request, PLACE_LIMIT).await {
                Some(WorkReply::Admitted(Some(ticket), _)) => Some(Ok(ticket)),
                Some(WorkReply::Admitted(None, late)) => Some(Err(Duration::from_millis(late))),
                _ => None,
            }
        }
    };
    let Some(answer) = answer else {
        record.note(format_args!("admitted here: the placer gave no answer"));
        return admit_alone(traffic, record, need.limit);
    };
    let placer = PlacerLink {
        traffic: traffic.clone(),
        desk: desk.clone(),
        address,
    };
    answer.map(|ticket| AdmittedFlow {
        admitted: Some((placer, ticket)),
    })
}

/// Admits by the queues that this node knows.
fn admit_alone(
    traffic: &Traffic,
    record: &RequestRecord,
    limit: Duration,
) -> Result<AdmittedFlow, Duration> {
    let expected = expected_span(traffic, record);
    if expected > limit {
        return Err(expected - limit);
    }
    Ok(AdmittedFlow { admitted: None })
}

fn admit_here(
    traffic: &Traffic,
    desk: &ServiceDesk,
    need: &FlowNeed,
) -> Result<FlowTicket, Duration> {
    let now = traffic.shared.now();
    let rate_of = |service: &str| traffic.desk(service)?.stage_rate(now);
    desk.flow.borrow_mut().admit(now, need, rate_of)
}

/// Returns the time in which a request's stages must be done. One that is late however short the
/// queues are would be late again after a refusal, too, and is served within its deadline.
fn stage_limit(traffic: &Traffic, record: &RequestRecord) -> Duration {
    let last = record.last_span.get();
    let latest = record.left().saturating_sub(last);
    let prompt = record.route.goal.saturating_sub(last).min(latest);
    if least_span(traffic, record) <= prompt {
        prompt
    } else {
        latest
    }
}

fn flow_need(traffic: &Traffic, record: &RequestRecord) -> FlowNeed {
    let route = &record.route;
    let graph = record.stage_graph();
    let stages = route
        .stages
        .iter()
        .enumerate()
        .map(|(number, stage)| FlowStage {
            service: stage.service.clone(),
            pieces: graph.count(number),
            inputs: graph.inputs(number).to_vec(),
        });
    FlowNeed {
        stages: stages.collect(),
        ranks: (record.rank, route.rank),
        limit: stage_limit(traffic, record),
        deadline: record.deadline,
    }
}

fn admit_ask(traffic: &Traffic, desk: &ServiceDesk, need: &FlowNeed) -> AdmitAsk {
    let left = need.deadline.saturating_sub(traffic.shared.now());
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let number = |value: &usize| u32::try_from(*value).unwrap_or(u32::MAX);
    let stages = need.stages.iter().map(|stage| AdmitStage {
        service: stage.service.to_string(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(number).collect(),
    });
    AdmitAsk {
        service: desk.spec.borrow().name.to_string(),
        stages: stages.collect(),
        ranks: need.ranks,
        limit_ms: millis(need.limit),
        left_ms: millis(left),
    }
}

/// Answers a request to admit.
pub(crate) fn answer_admit(traffic: &Rc<Traffic>, ask: AdmitAsk) -> WorkReply {
    let Some(desk) = traffic.desk(&ask.service) else {
        return WorkReply::Refused;
    };
    let stages = ask.stages.into_iter().map(|stage| FlowStage {
        service: stage.service.into(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(|&input| input as usize).collect(),
    });
    let need = FlowNeed {
        stages: stages.collect(),
        ranks: ask.ranks,
        limit: Duration::from_millis(ask.limit_ms),
        deadline: traffic.shared.now() + Duration::from_millis(ask.left_ms),
    };
    match admit_here(traffic, &desk, &need) {
        Ok(ticket) => WorkReply::Admitted(Some(ticket), 0),
        Err(late) => {
            let late = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            WorkReply::Admitted(None, late)
        }
    }
}
