//! What all admitted requests still need of the stages' services, at the node that admits for all.
//!
//! A queue shows only the pieces that have come to it. A burst is first seen in the first stage while
//! a later one is what will run out, so admission counts the pieces that are yet to come as well.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::ClassRank;
use crate::Moment;
use crate::ServiceId;

/// Number of an admitted request.
pub type FlowTicket = u64;

/// Time over which the rate of a service's results is measured: some calls of each target.
const RATE_WINDOW: Duration = Duration::from_millis(800);

/// A service is busy while it has so much to do at once: only then its rate says what it is able to do.
const BUSY_SPAN: Duration = Duration::from_millis(600);

/// Weight of a window in the measured rate.
const RATE_WEIGHT: f64 = 0.5;

/// Weight of the nominal rate in each window in which the service was not busy.
const CALM_WEIGHT: f64 = 0.25;

/// Least part of the nominal rate that is reckoned with, so that a service whose targets were all
/// down is tried again.
const LEAST_RATE: f64 = 0.2;

/// Time after its deadline for which a request that nothing was heard of is remembered.
const FORGET_SPAN: Duration = Duration::from_secs(2);

/// What a service can do, by its configuration and the targets that take work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageRate {
    /// Results a second while all targets make full calls.
    pub nominal: f64,
    /// Time of a call without its pieces.
    pub call_span: Duration,
    /// Time of a piece.
    pub piece_span: Duration,
    /// Most pieces of a call.
    pub piece_limit: u32,
}

impl StageRate {
    /// Returns the time of a call of so many pieces.
    fn span(&self, pieces: u32) -> Duration {
        self.call_span + self.piece_span * pieces.min(self.piece_limit)
    }
}

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
pub struct FlowNeed {
    /// Its stages.
    pub stages: Vec<FlowStage>,
    /// Ranks of its account and its route; 0 goes first.
    pub ranks: (ClassRank, ClassRank),
    /// Time in which its stages must be done.
    pub limit: Duration,
    /// When it ends at the latest.
    pub deadline: Moment,
}

/// A stage of an admitted request that is not done.
#[derive(Clone, Debug)]
struct OpenStage {
    service: ServiceId,
    pieces: u32,
    /// Stages that have to be done before.
    inputs: Vec<usize>,
}

/// An admitted request.
#[derive(Clone, Debug)]
struct FlowRun {
    /// Its stages; `None` for one that is done or left out.
    open: Vec<Option<OpenStage>>,
    ranks: (ClassRank, ClassRank),
    forget_at: Moment,
}

/// One service.
#[derive(Clone, Debug, Default)]
struct FlowService {
    /// Pieces to be made, by the ranks of their requests.
    backlog: BTreeMap<(ClassRank, ClassRank), u64>,
    /// Of these, the pieces that no other stage has to be done for.
    ready: u64,
    /// Measured results a second, `None` before the first window.
    rate: Option<f64>,
    window_begin: Moment,
    window_done: u64,
    /// Whether there was enough to do ever since the window began.
    is_busy: bool,
}

impl FlowService {
    fn ahead(&self, ranks: (ClassRank, ClassRank)) -> u64 {
        self.backlog.range(..=ranks).map(|(_, count)| count).sum()
    }

    fn all(&self) -> u64 {
        self.backlog.values().sum()
    }

    fn rate(&self, nominal: f64) -> f64 {
        let rate = self.rate.unwrap_or(nominal);
        rate.clamp(nominal * LEAST_RATE, nominal.max(LEAST_RATE))
    }

    /// Ends the window if it is over.
    fn measure(&mut self, now: Moment, nominal: f64) {
        self.is_busy &= self.ready as f64 > nominal * BUSY_SPAN.as_secs_f64();
        let span = now.saturating_sub(self.window_begin);
        if span < RATE_WINDOW {
            return;
        }
        let old = self.rate(nominal);
        let (sample, weight) = if self.is_busy {
            (self.window_done as f64 / span.as_secs_f64(), RATE_WEIGHT)
        } else {
            (nominal, CALM_WEIGHT)
        };
        self.rate = Some(old + weight * (sample - old));
        self.window_begin = now;
        self.window_done = 0;
        self.is_busy = true;
    }

    fn add(&mut self, ranks: (ClassRank, ClassRank), stage: &OpenStage) {
        let pieces = u64::from(stage.pieces);
        *self.backlog.entry(ranks).or_default() += pieces;
        if stage.inputs.is_empty() {
            self.ready += pieces;
        }
    }

    fn take(&mut self, ranks: (ClassRank, ClassRank), stage: &OpenStage) {
        let pieces = u64::from(stage.pieces);
        if let Some(count) = self.backlog.get_mut(&ranks) {
            *count = count.saturating_sub(pieces);
        }
        if stage.inputs.is_empty() {
            self.ready = self.ready.saturating_sub(pieces);
        }
    }
}

/// All admitted requests whose stages are not done.
#[derive(Clone, Debug, Default)]
pub struct FlowBoard {
    services: HashMap<ServiceId, FlowService>,
    runs: HashMap<FlowTicket, FlowRun>,
    next_ticket: FlowTicket,
}

impl FlowBoard {
    /// Admits a request if its stages will be done in time.
    ///
    /// # Errors
    ///
    /// Returns by how much they would be late.
    pub fn admit(
        &mut self,
        now: Moment,
        need: &FlowNeed,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Result<FlowTicket, Duration> {
        self.forget_late(now);
        for stage in &need.stages {
            if let Some(rate) = rate_of(&stage.service) {
                let service = self.services.entry(stage.service.clone()).or_default();
                service.measure(now, rate.nominal);
            }
        }
        let expected = self.expected_span(need, rate_of);
        if expected > need.limit {
            return Err(expected - need.limit);
        }
        let open = need.stages.iter().map(|stage| {
            let open = OpenStage {
                service: stage.service.clone(),
                pieces: stage.pieces,
                inputs: stage.inputs.clone(),
            };
            let service = self.services.entry(stage.service.clone()).or_default();
            service.add(need.ranks, &open);
            (stage.pieces > 0).then_some(open)
        });
        let run = FlowRun {
            open: open.collect(),
            ranks: need.ranks,
            forget_at: need.deadline + FORGET_SPAN,
        };
        self.next_ticket += 1;
        self.runs.insert(self.next_ticket, run);
        Ok(self.next_ticket)
    }

    /// Returns the time until all stages of a request would be done.
    fn expected_span(
        &self,
        need: &FlowNeed,
        rate_of: impl Fn(&str) -> Option<StageRate>,
    ) -> Duration {
        let mut ends = vec![Duration::ZERO; need.stages.len()];
        for (number, stage) in need.stages.iter().enumerate() {
            let inputs = stage.inputs.iter().filter_map(|&input| ends.get(input));
            let begin = inputs.max().copied().unwrap_or(Duration::ZERO);
            let Some(rate) = rate_of(&stage.service).filter(|_| stage.pieces > 0) else {
                ends[number] = begin;
                continue;
            };
            let service = self.services.get(&stage.service);
            let ahead = service.map_or(0, |service| service.ahead(need.ranks));
            let per_second = service.map_or(rate.nominal, |service| service.rate(rate.nominal));
            // What is ahead is worked on while the stages before run.
            let reached = Duration::from_secs_f64(ahead as f64 / per_second.max(LEAST_RATE));
            ends[number] = begin.max(reached) + rate.span(stage.pieces);
        }
        ends.into_iter().max().unwrap_or(Duration::ZERO)
    }

    /// Notes that a stage of a request is done.
    pub fn note_stage(&mut self, ticket: FlowTicket, stage: usize) {
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
    pub fn note_ended(&mut self, ticket: FlowTicket) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        for stage in run.open.into_iter().flatten() {
            if let Some(service) = self.services.get_mut(&stage.service) {
                service.take(run.ranks, &stage);
            }
        }
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
            self.note_ended(ticket);
        }
    }
}
