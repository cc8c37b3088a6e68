//! What all admitted requests still need of the stages' services, at the node that admits for all.
//!
//! A queue shows only the pieces that have come to it. A burst is first seen in the first stage while
//! a later one is what will run out, so admission counts the pieces that are yet to come as well.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::ServiceId;

use super::flow_service::FlowService;
use super::flow_service::OpenStage;
use super::flow_service::Ranks;
use super::flow_service::StageRate;
use super::flow_service::LEAST_RATE;

/// Number of an admitted request.
pub type FlowTicket = u64;

/// Wait for a service that has no target: longer than any request's time.
const NEVER: Duration = Duration::from_secs(3600);

/// Longest time to come back that is told. Clients wait for some seconds at most, and what is known of
/// the queues is older than that by then.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Time after its deadline for which a request that nothing was heard of is remembered.
const FORGET_SPAN: Duration = Duration::from_secs(2);

/// A stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowStage {
    /// Service that runs it.
    pub service: ServiceId,
    /// Its pieces; none where the request leaves it out.
    pub pieces: u32,
    /// Stages whose results it needs, all before it.
    pub inputs: Vec<usize>,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct FlowRequest {
    /// Its stages.
    pub stages: Vec<FlowStage>,
    /// Ranks of its account and its route; 0 goes first.
    pub ranks: Ranks,
    /// Time in which its stages must be done.
    pub time_budget: Duration,
    /// When it ends at the latest.
    pub deadline: Moment,
}

/// When an admitted request's stages will be done, from now, by all that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowForecast {
    /// End of each stage; 0 for those that are done or left out.
    pub ends: Vec<Duration>,
}

impl FlowForecast {
    /// Returns the end of the last stage.
    pub fn end(&self) -> Duration {
        self.ends.iter().max().copied().unwrap_or(Duration::ZERO)
    }
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRefusal {
    /// By how much its stages would be late.
    pub lateness: Duration,
    /// Time to come back, when the queues will have room for one like it. Those that are refused
    /// together get different ones.
    pub retry_after: Duration,
}

/// An admitted request.
#[derive(Clone, Debug)]
struct FlowRun {
    /// Its stages; `None` for one that is done or left out.
    open: Vec<Option<OpenStage>>,
    ranks: Ranks,
    forget_at: Moment,
}

/// All admitted requests whose stages are not done.
#[derive(Clone, Debug, Default)]
pub struct FlowController {
    services: HashMap<ServiceId, FlowService>,
    runs: HashMap<FlowTicket, FlowRun>,
    next_ticket: FlowTicket,
}

impl FlowController {
    /// Admits a request if its stages will be done in time, and tells when they will be.
    ///
    /// # Errors
    ///
    /// Returns by how much they would be late, and when to come back.
    pub fn admit(
        &mut self,
        now: Moment,
        need: &FlowRequest,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Result<(FlowTicket, FlowForecast), FlowRefusal> {
        self.forget_late(now);
        for stage in &need.stages {
            if let Some(rate) = rate_of(&stage.service) {
                let service = self.services.entry(stage.service.clone()).or_default();
                service.measure(now, rate.nominal);
            }
        }
        let forecast = self.forecast_new(need, &rate_of);
        let lateness = forecast.end().saturating_sub(need.time_budget);
        if !lateness.is_zero() {
            let retry_after = self.plan_return(now, need, lateness, &rate_of);
            return Err(FlowRefusal {
                lateness,
                retry_after,
            });
        }
        let open = need.stages.iter().map(|stage| {
            let mut open = OpenStage {
                service: stage.service.clone(),
                pieces: stage.pieces,
                inputs: stage.inputs.clone(),
                before: 0,
                marks: (0, 0),
            };
            let service = self.services.entry(stage.service.clone()).or_default();
            service.add(need.ranks, &mut open);
            (stage.pieces > 0).then_some(open)
        });
        let run = FlowRun {
            open: open.collect(),
            ranks: need.ranks,
            forget_at: need.deadline + FORGET_SPAN,
        };
        self.next_ticket += 1;
        self.runs.insert(self.next_ticket, run);
        Ok((self.next_ticket, forecast))
    }

    /// Forecasts the stages of a request that is not admitted.
    fn forecast_new(
        &self,
        need: &FlowRequest,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> FlowForecast {
        let stages = need.stages.iter().map(|stage| {
            let rate = rate_of(&stage.service).filter(|_| stage.pieces > 0)?;
            let ahead = |service: &FlowService| service.ahead(need.ranks);
            let wait = self.wait(&stage.service, &rate, need.ranks, ahead);
            Some((wait, rate.span(stage.pieces), &stage.inputs[..]))
        });
        forecast_stages(stages)
    }

    /// Forecasts what is left of an admitted request's stages; `None` if it is not known. Pieces of
    /// one that will be late go behind those of all others.
    pub fn forecast(
        &self,
        ticket: FlowTicket,
        is_late: bool,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Option<FlowForecast> {
        let run = self.runs.get(&ticket)?;
        let stages = run.open.iter().map(|open| {
            let stage = open.as_ref()?;
            let rate = rate_of(&stage.service)?;
            let ahead = |service: &FlowService| {
                if is_late {
                    service.all().saturating_sub(u64::from(stage.pieces))
                } else {
                    service.ahead_of(run.ranks, stage)
                }
            };
            let wait = self.wait(&stage.service, &rate, run.ranks, ahead);
            Some((wait, rate.span(stage.pieces), &stage.inputs[..]))
        });
        Some(forecast_stages(stages))
    }

    /// Returns the time until what is ahead at a service is made. One without targets makes nothing.
    fn wait(
        &self,
        service: &str,
        rate: &StageRate,
        ranks: Ranks,
        ahead: impl Fn(&FlowService) -> u64,
    ) -> Duration {
        if rate.nominal <= 0.0 {
            return NEVER;
        }
        let Some(service) = self.services.get(service) else {
            return rate.available_in;
        };
        rate.available_in + service.wait(rate.nominal, ranks, ahead(service))
    }

    /// Chooses when a request that is refused should come back: when it would not be late, and not
    /// together with those that were refused before it.
    fn plan_return(
        &mut self,
        now: Moment,
        need: &FlowRequest,
        late: Duration,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Duration {
        let mut back = now + late.min(MAX_RETRY_AFTER);
        for stage in need.stages.iter().filter(|stage| stage.pieces > 0) {
            let Some(rate) = rate_of(&stage.service) else {
                continue;
            };
            let service = self.services.entry(stage.service.clone()).or_default();
            back = back.max(service.next_return);
            let span = f64::from(stage.pieces) / service.rate(rate.nominal).max(LEAST_RATE);
            let next = back + Duration::from_secs_f64(span);
            service.next_return = next.min(now + MAX_RETRY_AFTER);
        }
        back.saturating_sub(now).min(MAX_RETRY_AFTER)
    }

    /// Notes that a stage of a request is done.
    pub fn record_stage_done(&mut self, ticket: FlowTicket, stage: usize) {
        let Some(run) = self.runs.get_mut(&ticket) else {
            return;
        };
        let Some(done) = run.open.get_mut(stage).and_then(Option::take) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&done.service) {
            service.take(run.ranks, &done);
            service.window_done += u64::from(done.pieces);
        }
        for next in run.open.iter_mut().flatten() {
            let waited = next.inputs.len();
            next.inputs.retain(|&input| input != stage);
            if waited > 0 && next.inputs.is_empty() {
                if let Some(service) = self.services.get_mut(&next.service) {
                    service.ready += u64::from(next.pieces);
                }
            }
        }
    }

    /// Notes that a request needs nothing more of any stage.
    pub fn record_end(&mut self, ticket: FlowTicket) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        for stage in run.open.into_iter().flatten() {
            if let Some(service) = self.services.get_mut(&stage.service) {
                service.take(run.ranks, &stage);
            }
        }
    }

    /// Returns how many admitted requests whose stages are not done go before one with such ranks.
    pub fn admitted_before(&self, ranks: Ranks) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.ranks <= ranks).count()
    }

    /// Returns the pieces that are still to be made by a service.
    pub fn backlog(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, FlowService::all)
    }

    /// Forgets requests whose node did not tell their end.
    fn forget_late(&mut self, now: Moment) {
        let late = self.runs.iter().filter(|(_, run)| run.forget_at <= now);
        let late: Vec<FlowTicket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.record_end(ticket);
        }
    }
}

/// Adds up when stages end, in their order: each is its wait, its own span and its inputs, `None` for
/// one that is done or left out. What is ahead is worked on while the stages before run.
fn forecast_stages<'a>(
    stages: impl Iterator<Item = Option<(Duration, Duration, &'a [usize])>>,
) -> FlowForecast {
    let mut ends: Vec<Duration> = Vec::new();
    for stage in stages {
        let end = stage.map(|(wait, span, inputs)| {
            let inputs = inputs.iter().filter_map(|&input| ends.get(input));
            let begin = inputs.max().copied().unwrap_or(Duration::ZERO);
            begin.max(wait) + span
        });
        ends.push(end.unwrap_or(Duration::ZERO));
    }
    FlowForecast { ends }
}
