//! Admission by the remaining work of all admitted requests, kept at the node that admits for all.
//!
//! A queue only holds the pieces that have reached it. A burst shows first at the first stage
//! although a later one may be the bottleneck, so admission also counts the pieces that are still
//! to come.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::ServiceId;

use super::flow_service::FlowService;
use super::flow_service::OpenStage;
use super::flow_service::Ranks;
use super::flow_service::StageRate;
use super::flow_service::MIN_RATE;

/// Id of an admitted request.
pub type FlowTicket = u64;

/// Wait for a service without targets, longer than any request's deadline.
const NEVER: Duration = Duration::from_secs(3600);

/// Upper bound of the retry delay returned to refused clients. Clients wait a few seconds at most,
/// and the known state of the queues is out of date by then.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Time after its deadline at which a request is dropped if its end was not reported.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// One stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowStage {
    /// Service that runs the stage.
    pub service: ServiceId,
    /// Number of pieces. 0 if the request skips the stage.
    pub pieces: u32,
    /// Indices of the stages whose results are needed. All are before this one.
    pub inputs: Vec<usize>,
}

/// Work of a request that asks for admission.
#[derive(Clone, Debug)]
pub struct FlowRequest {
    /// Stages in order.
    pub stages: Vec<FlowStage>,
    /// Ranks of the account and the route. Lower ranks go first.
    pub ranks: Ranks,
    /// Time within which the stages must be done.
    pub time_budget: Duration,
    /// When the request ends at the latest.
    pub deadline: Moment,
}

/// Expected ends of an admitted request's stages, relative to now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowForecast {
    /// End of each stage. 0 for stages that are done or skipped.
    pub ends: Vec<Duration>,
}

impl FlowForecast {
    /// Returns the end of the last stage.
    pub fn end(&self) -> Duration {
        self.ends.iter().max().copied().unwrap_or(Duration::ZERO)
    }
}

/// Refusal of a request whose stages would be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRefusal {
    /// Time by which the stages would be late.
    pub lateness: Duration,
    /// Delay after which the queues are expected to have room for a similar request. Requests
    /// refused together get different delays.
    pub retry_after: Duration,
}

/// An admitted request.
#[derive(Clone, Debug)]
struct FlowRun {
    /// Stages in order. `None` for those that are done or skipped.
    open_stages: Vec<Option<OpenStage>>,
    ranks: Ranks,
    expires_at: Moment,
}

/// Admission of requests to the stages' services.
#[derive(Clone, Debug, Default)]
pub struct FlowController {
    services: HashMap<ServiceId, FlowService>,
    runs: HashMap<FlowTicket, FlowRun>,
    next_ticket: FlowTicket,
}

impl FlowController {
    /// Admits a request if its stages are expected to end in time, and returns their forecast.
    ///
    /// # Errors
    ///
    /// Returns the expected lateness and a retry delay if the stages would end late.
    pub fn admit(
        &mut self,
        now: Moment,
        request: &FlowRequest,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Result<(FlowTicket, FlowForecast), FlowRefusal> {
        self.remove_expired(now);
        for stage in &request.stages {
            if let Some(rate) = rate_of(&stage.service) {
                let service = self.services.entry(stage.service.clone()).or_default();
                service.update_rate(now, rate.nominal);
            }
        }
        let forecast = self.forecast_new(request, &rate_of);
        let lateness = forecast.end().saturating_sub(request.time_budget);
        if !lateness.is_zero() {
            let retry_after = self.schedule_retry(now, request, lateness, &rate_of);
            return Err(FlowRefusal {
                lateness,
                retry_after,
            });
        }
        let open_stages = request.stages.iter().map(|stage| {
            let mut open_stage = OpenStage {
                service: stage.service.clone(),
                pieces: stage.pieces,
                inputs: stage.inputs.clone(),
                ahead_at_admission: 0,
                counters_at_admission: (0, 0),
            };
            let service = self.services.entry(stage.service.clone()).or_default();
            service.add_stage(request.ranks, &mut open_stage);
            (stage.pieces > 0).then_some(open_stage)
        });
        let run = FlowRun {
            open_stages: open_stages.collect(),
            ranks: request.ranks,
            expires_at: request.deadline + EXPIRY_GRACE,
        };
        self.next_ticket += 1;
        self.runs.insert(self.next_ticket, run);
        Ok((self.next_ticket, forecast))
    }

    /// Forecasts the stages of a request that is not admitted.
    fn forecast_new(
        &self,
        request: &FlowRequest,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> FlowForecast {
        let stages = request.stages.iter().map(|stage| {
            let rate = rate_of(&stage.service).filter(|_| stage.pieces > 0)?;
            let ahead = |service: &FlowService| service.pieces_ahead(request.ranks);
            let wait = self.wait(&stage.service, &rate, request.ranks, ahead);
            Some((wait, rate.call_time(stage.pieces), &stage.inputs[..]))
        });
        forecast_stages(stages)
    }

    /// Forecasts the remaining stages of an admitted request. Returns `None` if the request is
    /// unknown. Pieces of a request that will be late are processed after those of all others.
    pub fn forecast(
        &self,
        ticket: FlowTicket,
        is_late: bool,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Option<FlowForecast> {
        let run = self.runs.get(&ticket)?;
        let stages = run.open_stages.iter().map(|open| {
            let stage = open.as_ref()?;
            let rate = rate_of(&stage.service)?;
            let ahead = |service: &FlowService| {
                if is_late {
                    service
                        .total_backlog()
                        .saturating_sub(u64::from(stage.pieces))
                } else {
                    service.pieces_ahead_of(run.ranks, stage)
                }
            };
            let wait = self.wait(&stage.service, &rate, run.ranks, ahead);
            Some((wait, rate.call_time(stage.pieces), &stage.inputs[..]))
        });
        Some(forecast_stages(stages))
    }

    /// Returns the time until the pieces ahead at a service are done. A service without targets
    /// never gets there.
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

    /// Chooses the retry delay of a refused request, so that the retry is in time and doesn't
    /// coincide with those of requests refused before.
    fn schedule_retry(
        &mut self,
        now: Moment,
        request: &FlowRequest,
        lateness: Duration,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Duration {
        let mut retry_at = now + lateness.min(MAX_RETRY_AFTER);
        for stage in request.stages.iter().filter(|stage| stage.pieces > 0) {
            let Some(rate) = rate_of(&stage.service) else {
                continue;
            };
            let service = self.services.entry(stage.service.clone()).or_default();
            retry_at = retry_at.max(service.next_retry);
            let duration = f64::from(stage.pieces) / service.rate(rate.nominal).max(MIN_RATE);
            let next_retry = retry_at + Duration::from_secs_f64(duration);
            service.next_retry = next_retry.min(now + MAX_RETRY_AFTER);
        }
        retry_at.saturating_sub(now).min(MAX_RETRY_AFTER)
    }

    /// Records that a stage of a request is done.
    pub fn record_stage_done(&mut self, ticket: FlowTicket, stage: usize) {
        let Some(run) = self.runs.get_mut(&ticket) else {
            return;
        };
        let Some(done) = run.open_stages.get_mut(stage).and_then(Option::take) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&done.service) {
            service.remove_stage(run.ranks, &done);
            service.window_finished += u64::from(done.pieces);
        }
        for next in run.open_stages.iter_mut().flatten() {
            let missing_inputs = next.inputs.len();
            next.inputs.retain(|&input| input != stage);
            if missing_inputs > 0 && next.inputs.is_empty() {
                if let Some(service) = self.services.get_mut(&next.service) {
                    service.ready += u64::from(next.pieces);
                }
            }
        }
    }

    /// Records that a request needs no further work from any stage.
    pub fn record_end(&mut self, ticket: FlowTicket) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        for stage in run.open_stages.into_iter().flatten() {
            if let Some(service) = self.services.get_mut(&stage.service) {
                service.remove_stage(run.ranks, &stage);
            }
        }
    }

    /// Returns the number of admitted requests with unfinished stages that go before one of these
    /// ranks.
    pub fn admitted_before(&self, ranks: Ranks) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.ranks <= ranks).count()
    }

    /// Returns the number of pieces that a service still has to process.
    pub fn backlog(&self, service: &str) -> u64 {
        self.services
            .get(service)
            .map_or(0, FlowService::total_backlog)
    }

    /// Removes requests whose node did not report their end.
    fn remove_expired(&mut self, now: Moment) {
        let expired = self.runs.iter().filter(|(_, run)| run.expires_at <= now);
        let expired: Vec<FlowTicket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.record_end(ticket);
        }
    }
}

/// Computes the ends of stages in order. Each stage is given by its wait, its own duration and its
/// inputs, or `None` if it is done or skipped. The pieces ahead are processed while earlier stages
/// run.
fn forecast_stages<'a>(
    stages: impl Iterator<Item = Option<(Duration, Duration, &'a [usize])>>,
) -> FlowForecast {
    let mut ends: Vec<Duration> = Vec::new();
    for stage in stages {
        let end = stage.map(|(wait, duration, inputs)| {
            let inputs = inputs.iter().filter_map(|&input| ends.get(input));
            let start = inputs.max().copied().unwrap_or(Duration::ZERO);
            start.max(wait) + duration
        });
        ends.push(end.unwrap_or(Duration::ZERO));
    }
    FlowForecast { ends }
}
