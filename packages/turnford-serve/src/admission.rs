//! Admission of requests before their stages start.
//!
//! The node that places a service's requests also admits them, since only this node knows how much
//! work all admitted requests still have at the stages. If it does not answer, a node decides by
//! the queues that it knows itself.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use turnford_policy::FlowForecast;
use turnford_policy::FlowRefusal;
use turnford_policy::FlowRequest;
use turnford_policy::FlowStage;
use turnford_policy::FlowTicket;
use turnford_policy::Moment;
use turnford_wire::AdmitRequest;
use turnford_wire::AdmitStage;
use turnford_wire::RunUpdate;
use turnford_wire::WorkReply;
use turnford_wire::WorkRequest;

use crate::limits::PLACEMENT_TIMEOUT;
use crate::progress::PlacerHandle;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::stages::forecast_locally;
use crate::stages::min_duration;
use crate::traffic::Traffic;

/// Stages of an admitted request. Dropping this reports their end to the placer.
pub(crate) struct AdmittedFlow {
    /// Node that admitted the request with its ticket there; `None` if no node tracks it.
    pub(crate) admitted: Option<(PlacerHandle, FlowTicket)>,
    /// Expected end of each open stage; `None` for stages that are done.
    expected: RefCell<Vec<Option<Moment>>>,
}

impl AdmittedFlow {
    fn new(
        now: Moment,
        admitted: Option<(PlacerHandle, FlowTicket)>,
        forecast: &FlowForecast,
    ) -> Self {
        let flow = Self {
            admitted,
            expected: RefCell::new(vec![None; forecast.ends.len()]),
        };
        flow.set_forecast(now, forecast);
        flow
    }

    fn set_forecast(&self, now: Moment, forecast: &FlowForecast) {
        let is_open = |end: &Duration| !end.is_zero();
        let ends = forecast.ends.iter();
        let ends = ends.map(|end| is_open(end).then(|| now + *end));
        self.expected.replace(ends.collect());
    }

    /// Updates the expected ends of the open stages.
    pub(crate) fn expect(&self, now: Moment, forecast: &FlowForecast) {
        let mut expected = self.expected.borrow_mut();
        for (open, end) in expected.iter_mut().zip(&forecast.ends) {
            if open.is_some() {
                *open = Some(now + *end);
            }
        }
    }

    /// Returns the earliest expected end of an open stage, `None` if all stages are done.
    pub(crate) fn next_end(&self) -> Option<Moment> {
        self.expected.borrow().iter().flatten().min().copied()
    }

    /// Returns whether a stage is not done yet.
    pub(crate) fn is_open(&self, stage: usize) -> bool {
        let expected = self.expected.borrow();
        expected.get(stage).is_some_and(Option::is_some)
    }

    /// Records that a stage is done and reports it to the placer.
    pub(crate) fn record_stage_done(&self, stage: usize) {
        if let Some(expected) = self.expected.borrow_mut().get_mut(stage) {
            *expected = None;
        }
        if let Some((placer, ticket)) = &self.admitted {
            let stage = u32::try_from(stage).unwrap_or(u32::MAX);
            placer.notify(RunUpdate::StageDone(*ticket, stage));
        }
    }
}

impl Drop for AdmittedFlow {
    fn drop(&mut self) {
        if let Some((placer, ticket)) = &self.admitted {
            placer.notify(RunUpdate::StagesEnded(*ticket));
        }
    }
}

/// Admits a request if its stages are forecast to end in time.
///
/// # Errors
///
/// Returns how late the stages would be and when the client should retry.
pub(crate) async fn admit_flow(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    context: &Rc<ServiceContext>,
) -> Result<AdmittedFlow, FlowRefusal> {
    let flow_request = build_flow_request(traffic, record);
    let now = traffic.shared.now();
    if flow_request.stages.iter().all(|stage| stage.pieces == 0) {
        let forecast = FlowForecast { ends: Vec::new() };
        return Ok(AdmittedFlow::new(now, None, &forecast));
    }
    let send_within = record
        .first_event_deadline()
        .saturating_sub(now + record.final_call_time.get());
    let address = context.limits.placer();
    let decision = match address {
        None => Some(admit_locally(traffic, context, &flow_request, send_within)),
        Some(placer) => {
            let request = WorkRequest::Admit(encode_admit_request(
                traffic,
                context,
                &flow_request,
                send_within,
            ));
            let reply = traffic
                .peers
                .call(placer, &request, PLACEMENT_TIMEOUT)
                .await;
            reply.and_then(decode_admit_reply)
        }
    };
    let Some(decision) = decision else {
        record.trace(format_args!("admitted locally: no reply from the placer"));
        return admit_without_placer(traffic, record, flow_request.time_budget);
    };
    let placer = PlacerHandle {
        traffic: traffic.clone(),
        context: context.clone(),
        address,
    };
    decision.map(|(ticket, forecast)| AdmittedFlow::new(now, Some((placer, ticket)), &forecast))
}

fn decode_admit_reply(reply: WorkReply) -> Option<Result<(FlowTicket, FlowForecast), FlowRefusal>> {
    let from_millis = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        WorkReply::Admitted(ticket, ends) => Some(Ok((ticket, decode_forecast(&ends)))),
        WorkReply::NotAdmitted {
            late_ms,
            retry_after_ms,
        } => Some(Err(FlowRefusal {
            lateness: from_millis(late_ms),
            retry_after: from_millis(retry_after_ms),
        })),
        _ => None,
    }
}

/// Decodes a forecast received from another node, in milliseconds.
pub(crate) fn decode_forecast(ends: &[u32]) -> FlowForecast {
    let ends = ends.iter();
    FlowForecast {
        ends: ends
            .map(|end| Duration::from_millis(u64::from(*end)))
            .collect(),
    }
}

/// Admits by the queues that this node knows itself; no node tracks the request then.
fn admit_without_placer(
    traffic: &Traffic,
    record: &RequestRecord,
    limit: Duration,
) -> Result<AdmittedFlow, FlowRefusal> {
    let forecast = forecast_locally(traffic, record, |_| true);
    let lateness = forecast.end().saturating_sub(limit);
    if lateness.is_zero() {
        return Ok(AdmittedFlow::new(traffic.shared.now(), None, &forecast));
    }
    Err(FlowRefusal {
        lateness,
        retry_after: lateness,
    })
}

fn admit_locally(
    traffic: &Traffic,
    context: &ServiceContext,
    flow_request: &FlowRequest,
    send_within: Duration,
) -> Result<(FlowTicket, FlowForecast), FlowRefusal> {
    let now = traffic.shared.now();
    check_limits(context, now, flow_request, send_within)?;
    let rate_of = |service: &str| traffic.service(service)?.stage_rate(now);
    context.flow.borrow_mut().admit(now, flow_request, rate_of)
}

/// Checks that the rate limits of the service's own targets allow the final call in time.
///
/// # Errors
///
/// Returns how late the call would be and when the client should retry.
fn check_limits(
    context: &ServiceContext,
    now: Moment,
    flow_request: &FlowRequest,
    send_within: Duration,
) -> Result<(), FlowRefusal> {
    let mut election = context.limits.election.borrow_mut();
    let has_limits = context.limits.table.borrow().has_limits();
    let Some(allocator) = election.allocator().filter(|_| has_limits) else {
        return Ok(());
    };
    let targets = context.targets.borrow().untried_targets(&[]);
    let queued_before = context.flow.borrow().admitted_before(flow_request.ranks);
    let turn = allocator.forecast(now, flow_request.ranks, queued_before, &targets);
    let lateness = turn.map_or(Duration::ZERO, |turn| turn.saturating_sub(send_within));
    if lateness.is_zero() {
        return Ok(());
    }
    let retry_after = allocator.schedule_retry(now, lateness, &targets);
    Err(FlowRefusal {
        lateness,
        retry_after,
    })
}

/// Returns the time in which the stages of a request must be done. A request that would miss its
/// latency objective even with empty queues would miss it again after a refusal, so it may use all
/// the time until its deadline.
fn stage_time_budget(traffic: &Traffic, record: &RequestRecord) -> Duration {
    let final_call = record.final_call_time.get();
    let now = traffic.shared.now();
    let latest = record
        .first_event_deadline()
        .saturating_sub(now + final_call);
    let due = record.started_at + record.route.latency_objective;
    let prompt = due.saturating_sub(now + final_call).min(latest);
    if min_duration(traffic, record, |_| true) <= prompt {
        prompt
    } else {
        latest
    }
}

fn build_flow_request(traffic: &Traffic, record: &RequestRecord) -> FlowRequest {
    let route = &record.route;
    let graph = record.stage_graph();
    let stages = route
        .stages
        .iter()
        .enumerate()
        .map(|(number, stage)| FlowStage {
            service: stage.service.clone(),
            pieces: graph.piece_count(number),
            inputs: graph.inputs(number).to_vec(),
        });
    FlowRequest {
        stages: stages.collect(),
        ranks: (record.rank, route.rank),
        time_budget: stage_time_budget(traffic, record),
        deadline: record.deadline,
    }
}

fn encode_admit_request(
    traffic: &Traffic,
    context: &ServiceContext,
    flow_request: &FlowRequest,
    send_within: Duration,
) -> AdmitRequest {
    let remaining = flow_request.deadline.saturating_sub(traffic.shared.now());
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let number = |value: &usize| u32::try_from(*value).unwrap_or(u32::MAX);
    let stages = flow_request.stages.iter().map(|stage| AdmitStage {
        service: stage.service.to_string(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(number).collect(),
    });
    AdmitRequest {
        service: context.spec.borrow().name.to_string(),
        stages: stages.collect(),
        ranks: flow_request.ranks,
        time_budget_ms: millis(flow_request.time_budget),
        send_deadline_ms: millis(send_within),
        remaining_ms: millis(remaining),
    }
}

/// Handles another node's request to admit.
pub(crate) fn answer_admit(traffic: &Rc<Traffic>, admit_request: AdmitRequest) -> WorkReply {
    let Some(context) = traffic.service(&admit_request.service) else {
        return WorkReply::Refused;
    };
    let stages = admit_request.stages.into_iter().map(|stage| FlowStage {
        service: stage.service.into(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(|&input| input as usize).collect(),
    });
    let flow_request = FlowRequest {
        stages: stages.collect(),
        ranks: admit_request.ranks,
        time_budget: Duration::from_millis(admit_request.time_budget_ms),
        deadline: traffic.shared.now() + Duration::from_millis(admit_request.remaining_ms),
    };
    let send_within = Duration::from_millis(admit_request.send_deadline_ms);
    match admit_locally(traffic, &context, &flow_request, send_within) {
        Ok((ticket, forecast)) => WorkReply::Admitted(ticket, encode_forecast(&forecast)),
        Err(refusal) => WorkReply::NotAdmitted {
            late_ms: millis_u32(refusal.lateness),
            retry_after_ms: millis_u32(refusal.retry_after),
        },
    }
}

/// Handles another node's request for a forecast.
pub(crate) fn answer_forecast(
    traffic: &Rc<Traffic>,
    service: &str,
    ticket: FlowTicket,
    is_late: bool,
) -> WorkReply {
    let Some(context) = traffic.service(service) else {
        return WorkReply::Refused;
    };
    let forecast = forecast_flow(traffic, &context, ticket, is_late);
    WorkReply::Forecast(forecast.as_ref().map(encode_forecast))
}

/// Forecasts the open stages of a request that this node admitted.
pub(crate) fn forecast_flow(
    traffic: &Traffic,
    context: &ServiceContext,
    ticket: FlowTicket,
    is_late: bool,
) -> Option<FlowForecast> {
    let now = traffic.shared.now();
    let rate_of = |service: &str| traffic.service(service)?.stage_rate(now);
    context.flow.borrow().forecast(ticket, is_late, rate_of)
}

fn encode_forecast(forecast: &FlowForecast) -> Vec<u32> {
    let ends = forecast.ends.iter();
    ends.map(|end| millis_u32(*end)).collect()
}

pub(crate) fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
