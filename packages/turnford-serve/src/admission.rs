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
use crate::stages::forecast_alone;
use crate::stages::least_span;
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
        flow.expect_all(now, forecast);
        flow
    }

    fn expect_all(&self, now: Moment, forecast: &FlowForecast) {
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
    pub(crate) fn note_stage(&self, stage: usize) {
        if let Some(expected) = self.expected.borrow_mut().get_mut(stage) {
            *expected = None;
        }
        if let Some((placer, ticket)) = &self.admitted {
            let stage = u32::try_from(stage).unwrap_or(u32::MAX);
            placer.tell(RunUpdate::StageDone(*ticket, stage));
        }
    }
}

impl Drop for AdmittedFlow {
    fn drop(&mut self) {
        if let Some((placer, ticket)) = &self.admitted {
            placer.tell(RunUpdate::StagesEnded(*ticket));
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
    desk: &Rc<ServiceContext>,
) -> Result<AdmittedFlow, FlowRefusal> {
    let need = flow_need(traffic, record);
    let now = traffic.shared.now();
    if need.stages.iter().all(|stage| stage.pieces == 0) {
        let forecast = FlowForecast { ends: Vec::new() };
        return Ok(AdmittedFlow::new(now, None, &forecast));
    }
    let patience = record
        .serve_by()
        .saturating_sub(now + record.last_span.get());
    let address = desk.limits.placer();
    let answer = match address {
        None => Some(admit_here(traffic, desk, &need, patience)),
        Some(placer) => {
            let request = WorkRequest::Admit(admit_ask(traffic, desk, &need, patience));
            let reply = traffic
                .peers
                .call(placer, &request, PLACEMENT_TIMEOUT)
                .await;
            reply.and_then(admit_answer)
        }
    };
    let Some(answer) = answer else {
        record.note(format_args!("admitted here: the placer gave no answer"));
        return admit_alone(traffic, record, need.time_budget);
    };
    let placer = PlacerHandle {
        traffic: traffic.clone(),
        desk: desk.clone(),
        address,
    };
    answer.map(|(ticket, forecast)| AdmittedFlow::new(now, Some((placer, ticket)), &forecast))
}

fn admit_answer(reply: WorkReply) -> Option<Result<(FlowTicket, FlowForecast), FlowRefusal>> {
    let span = |millis: u32| Duration::from_millis(u64::from(millis));
    match reply {
        WorkReply::Admitted(ticket, ends) => Some(Ok((ticket, told_forecast(&ends)))),
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
pub(crate) fn told_forecast(ends: &[u32]) -> FlowForecast {
    let ends = ends.iter();
    FlowForecast {
        ends: ends
            .map(|end| Duration::from_millis(u64::from(*end)))
            .collect(),
    }
}

/// Admits by the queues that this node knows.
fn admit_alone(
    traffic: &Traffic,
    record: &RequestRecord,
    limit: Duration,
) -> Result<AdmittedFlow, FlowRefusal> {
    let forecast = forecast_alone(traffic, record, |_| true);
    let lateness = forecast.end().saturating_sub(limit);
    if lateness.is_zero() {
        return Ok(AdmittedFlow::new(traffic.shared.now(), None, &forecast));
    }
    Err(FlowRefusal {
        lateness,
        retry_after: lateness,
    })
}

fn admit_here(
    traffic: &Traffic,
    desk: &ServiceContext,
    need: &FlowRequest,
    patience: Duration,
) -> Result<(FlowTicket, FlowForecast), FlowRefusal> {
    let now = traffic.shared.now();
    check_limits(desk, now, need, patience)?;
    let rate_of = |service: &str| traffic.service(service)?.stage_rate(now);
    desk.flow.borrow_mut().admit(now, need, rate_of)
}

/// Admits a request if the limits of its own targets leave a call for it in time.
fn check_limits(
    desk: &ServiceContext,
    now: Moment,
    need: &FlowRequest,
    patience: Duration,
) -> Result<(), FlowRefusal> {
    let mut division = desk.limits.election.borrow_mut();
    let has_limits = desk.limits.table.borrow().has_limits();
    let Some(divider) = division.allocator().filter(|_| has_limits) else {
        return Ok(());
    };
    let targets = desk.targets.borrow().untried_targets(&[]);
    let coming = desk.flow.borrow().admitted_before(need.ranks);
    let turn = divider.forecast(now, need.ranks, coming, &targets);
    let lateness = turn.map_or(Duration::ZERO, |turn| turn.saturating_sub(patience));
    if lateness.is_zero() {
        return Ok(());
    }
    let retry_after = divider.schedule_retry(now, lateness, &targets);
    Err(FlowRefusal {
        lateness,
        retry_after,
    })
}

/// Returns the time in which a request's stages must be done. One that is late however short the
/// queues are would be late again after a refusal, too, and is served within its deadline.
fn stage_limit(traffic: &Traffic, record: &RequestRecord) -> Duration {
    let last = record.last_span.get();
    let now = traffic.shared.now();
    let latest = record.serve_by().saturating_sub(now + last);
    let due = record.started_at + record.route.latency_objective;
    let prompt = due.saturating_sub(now + last).min(latest);
    if least_span(traffic, record, |_| true) <= prompt {
        prompt
    } else {
        latest
    }
}

fn flow_need(traffic: &Traffic, record: &RequestRecord) -> FlowRequest {
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
        time_budget: stage_limit(traffic, record),
        deadline: record.deadline,
    }
}

fn admit_ask(
    traffic: &Traffic,
    desk: &ServiceContext,
    need: &FlowRequest,
    patience: Duration,
) -> AdmitRequest {
    let left = need.deadline.saturating_sub(traffic.shared.now());
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let number = |value: &usize| u32::try_from(*value).unwrap_or(u32::MAX);
    let stages = need.stages.iter().map(|stage| AdmitStage {
        service: stage.service.to_string(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(number).collect(),
    });
    AdmitRequest {
        service: desk.spec.borrow().name.to_string(),
        stages: stages.collect(),
        ranks: need.ranks,
        time_budget_ms: millis(need.time_budget),
        send_deadline_ms: millis(patience),
        remaining_ms: millis(left),
    }
}

/// Answers a request to admit.
pub(crate) fn answer_admit(traffic: &Rc<Traffic>, ask: AdmitRequest) -> WorkReply {
    let Some(desk) = traffic.service(&ask.service) else {
        return WorkReply::Refused;
    };
    let stages = ask.stages.into_iter().map(|stage| FlowStage {
        service: stage.service.into(),
        pieces: stage.pieces,
        inputs: stage.inputs.iter().map(|&input| input as usize).collect(),
    });
    let need = FlowRequest {
        stages: stages.collect(),
        ranks: ask.ranks,
        time_budget: Duration::from_millis(ask.time_budget_ms),
        deadline: traffic.shared.now() + Duration::from_millis(ask.remaining_ms),
    };
    let patience = Duration::from_millis(ask.send_deadline_ms);
    match admit_here(traffic, &desk, &need, patience) {
        Ok((ticket, forecast)) => WorkReply::Admitted(ticket, encode_forecast(&forecast)),
        Err(refusal) => WorkReply::NotAdmitted {
            late_ms: short_millis(refusal.lateness),
            retry_after_ms: short_millis(refusal.retry_after),
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
    let Some(desk) = traffic.service(service) else {
        return WorkReply::Refused;
    };
    let forecast = forecast_here(traffic, &desk, ticket, is_late);
    WorkReply::Forecast(forecast.as_ref().map(encode_forecast))
}

/// Forecasts what is left of the stages of a request that this node admitted.
pub(crate) fn forecast_here(
    traffic: &Traffic,
    desk: &ServiceContext,
    ticket: FlowTicket,
    is_late: bool,
) -> Option<FlowForecast> {
    let now = traffic.shared.now();
    let rate_of = |service: &str| traffic.service(service)?.stage_rate(now);
    desk.flow.borrow().forecast(ticket, is_late, rate_of)
}

fn encode_forecast(forecast: &FlowForecast) -> Vec<u32> {
    let ends = forecast.ends.iter();
    ends.map(|end| short_millis(*end)).collect()
}

pub(crate) fn short_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
