//! Whether a request begins its stages.
//!
//! The node that places a service's requests admits them, too: it alone knows what all admitted
//! requests still need of the stages. A node that gets no answer from it admits by the queues that it
//! knows itself.

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

/// An admitted request's stages; their end is told when this is dropped.
pub(crate) struct AdmittedFlow {
    /// Who admitted it, `None` where nobody counts it.
    pub(crate) admitted: Option<(PlacerHandle, FlowTicket)>,
    /// When each stage that is not done is expected to be; `None` for the others.
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

    /// Takes a new forecast of the stages that are not done.
    pub(crate) fn expect(&self, now: Moment, forecast: &FlowForecast) {
        let mut expected = self.expected.borrow_mut();
        for (open, end) in expected.iter_mut().zip(&forecast.ends) {
            if open.is_some() {
                *open = Some(now + *end);
            }
        }
    }

    /// Returns when the next stage is expected to be done, `None` if all are.
    pub(crate) fn next_end(&self) -> Option<Moment> {
        self.expected.borrow().iter().flatten().min().copied()
    }

    /// Tells whether a stage is not done.
    pub(crate) fn is_open(&self, stage: usize) -> bool {
        let expected = self.expected.borrow();
        expected.get(stage).is_some_and(Option::is_some)
    }

    /// Notes that a stage is done.
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

/// Admits a request if its stages will be done in time.
///
/// # Errors
///
/// Returns by how much they would be late, and when to come back.
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
    let answer = match address {
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
    let Some(answer) = answer else {
        record.trace(format_args!("admitted here: the placer gave no answer"));
        return admit_without_placer(traffic, record, flow_request.time_budget);
    };
    let placer = PlacerHandle {
        traffic: traffic.clone(),
        context: context.clone(),
        address,
    };
    answer.map(|(ticket, forecast)| AdmittedFlow::new(now, Some((placer, ticket)), &forecast))
}

fn decode_admit_reply(reply: WorkReply) -> Option<Result<(FlowTicket, FlowForecast), FlowRefusal>> {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        WorkReply::Admitted(ticket, ends) => Some(Ok((ticket, decode_forecast(&ends)))),
        WorkReply::NotAdmitted {
            late_ms,
            retry_after_ms,
        } => Some(Err(FlowRefusal {
            lateness: span(late_ms),
            retry_after: span(retry_after_ms),
        })),
        _ => None,
    }
}

/// Returns a forecast as another node told it.
pub(crate) fn decode_forecast(ends: &[u32]) -> FlowForecast {
    let ends = ends.iter();
    FlowForecast {
        ends: ends
            .map(|end| Duration::from_millis(u64::from(*end)))
            .collect(),
    }
}

/// Admits by the queues that this node knows.
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

/// Admits a request if the limits of its own targets leave a call for it in time.
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

/// Returns the time in which a request's stages must be done. One that is late however short the
/// queues are would be late again after a refusal, too, and is served within its deadline.
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
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
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

/// Answers a request to admit.
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

/// Answers a request for a forecast.
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

/// Forecasts what is left of the stages of a request that this node admitted.
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

pub(crate) fn millis_u32(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
