//! The configuration of routes, services and accounts, and the targets that serve them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::AccountId;
use crate::ClassRank;
use crate::ServiceId;
use crate::TargetId;

/// Everything that one version of the configuration says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version; rises with each change.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Arc<RouteSpec>>,
    /// Services that routes and stages name.
    pub services: Vec<Arc<ServiceSpec>>,
    /// What a client may send.
    pub limits: ClientLimits,
    /// Accounts; `None` where requests need no key.
    pub accounts: Option<Vec<AccountSpec>>,
}

impl RouteConfig {
    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// Whether and how a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// Answers with a stream of events.
    Stream,
}

/// A route: which requests it takes, and where they run.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Kind of its calls.
    pub kind: CallKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most; for streams, until the first event.
    pub latency_objective: Duration,
    /// Longest pause between the events of a stream that is still in time.
    pub gap_objective: Option<Duration>,
    /// Time after which clients leave a stream that has no event yet.
    pub first_event_timeout: Option<Duration>,
    /// Rank of its requests; 0 goes first.
    pub rank: ClassRank,
    /// Services that share its requests, by weight.
    pub shares: Vec<ServiceShare>,
    /// Most targets that one request may be sent to.
    pub max_targets: u32,
    /// Work done before the request itself runs.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
}

impl RouteSpec {
    /// Tells whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a request, drawn by weight with a number from 0 to below 1.
    pub fn draw_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceId,
    /// Weight against the other parts.
    pub weight: f64,
}

/// A stage of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// Service whose targets run its pieces.
    pub service: ServiceId,
    /// Stages whose results it needs, by number.
    pub after: Vec<usize>,
    /// Size of a result, in bytes, roughly.
    pub result_bytes: u64,
}

/// A service: targets that do the same.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceId,
    /// Path at which its targets tell whether they are well.
    pub health_path: Arc<str>,
    /// Most connections that one target takes, from all nodes together.
    pub connection_limit: usize,
    /// Present where the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// Present where the targets run pieces of stages.
    pub batch: Option<BatchSpec>,
}

/// What one model engine can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at a time.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub cache_tokens: u64,
}

/// What one target of a stage can do.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSpec {
    /// Calls at work at a time.
    pub slots: usize,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Most pieces in a call.
    pub max_pieces: usize,
    /// Time of a call without its pieces.
    pub call_overhead: Duration,
    /// Time that each piece adds, roughly.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub result_capacity: u64,
    /// Time that a result is kept after its call.
    pub result_ttl: Duration,
}

/// What a client may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// What holds until a configuration is known: the usual sizes of HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Name.
    pub name: AccountId,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Rank that goes before that of the route.
    pub rank: Option<ClassRank>,
}

/// Start of a target's process, in milliseconds of the time of day.
pub type ProcessStart = u64;

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Its id; a target that starts again may have the same.
    pub id: TargetId,
    /// Start of its process, in milliseconds of the time of day; 0 where it does not tell.
    pub process_start: ProcessStart,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Hall that it stands in.
    pub hall: Arc<str>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Orders that its process took so far; a process that starts again begins anew.
    pub orders: u64,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

impl TargetSpec {
    /// Tells whether an older entry of the same id is of the same process. Where its start is not told,
    /// fewer orders than before tell of another.
    pub fn is_same_process(&self, older: &TargetSpec) -> bool {
        self.process_start == older.process_start
            && (self.process_start != 0 || self.orders >= older.orders)
    }
}
