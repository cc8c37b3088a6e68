//! Configuration of routes, services and accounts, and the targets that serve them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::AccountId;
use crate::ClassRank;
use crate::ServiceId;
use crate::TargetId;

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Version, increased with each change.
    pub version: u64,
    /// Routes in configuration order.
    pub routes: Vec<Arc<RouteSpec>>,
    /// Services referenced by routes and stages.
    pub services: Vec<Arc<ServiceSpec>>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Accounts. `None` if requests need no key.
    pub accounts: Option<Vec<AccountSpec>>,
}

impl RouteConfig {
    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// Whether a call may be repeated, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Answered by a stream of events.
    Stream,
}

/// A route, which maps requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name of its requests.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Kind of its calls.
    pub kind: CallKind,
    /// Maximum time that a request is held.
    pub timeout: Duration,
    /// Latency within which a response is in time. For streams, until the first event.
    pub latency_objective: Duration,
    /// Maximum gap between events of a stream that is in time.
    pub gap_objective: Option<Duration>,
    /// Time after which clients abandon a stream without an event.
    pub first_event_timeout: Option<Duration>,
    /// Rank of its requests. Lower ranks go first.
    pub rank: ClassRank,
    /// Services that its requests are split over, by weight.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of targets that a request may be sent to.
    pub max_targets: u32,
    /// Stages run before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another target.
    pub resumable: bool,
}

impl RouteSpec {
    /// Returns whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a request by weight, for a random number in [0, 1).
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

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Service that gets the share.
    pub service: ServiceId,
    /// Weight relative to the other shares.
    pub weight: f64,
}

/// A stage of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// Service that runs the stage.
    pub service: ServiceId,
    /// Indices of the stages whose results are needed.
    pub after: Vec<usize>,
    /// Approximate size of a result, in bytes.
    pub result_bytes: u64,
}

/// A service, whose targets are interchangeable.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of its targets' health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that a target accepts from all nodes together.
    pub connection_limit: usize,
    /// Set if the targets are inference engines.
    pub engine: Option<EngineSpec>,
    /// Set if the targets run pieces of stages.
    pub batch: Option<BatchSpec>,
}

/// Capacity of one inference engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of concurrent requests.
    pub slots: u32,
    /// Cache for prompts and outputs, in tokens.
    pub cache_tokens: u64,
}

/// Capacity of one target that runs pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSpec {
    /// Number of concurrent calls.
    pub slots: usize,
    /// Number of calls that may wait.
    pub queue_limit: usize,
    /// Maximum number of pieces in a call.
    pub max_pieces: usize,
    /// Duration of a call without its pieces.
    pub call_overhead: Duration,
    /// Approximate duration of each piece.
    pub piece_time: Duration,
    /// Capacity for results, in bytes.
    pub result_capacity: u64,
    /// Time for which a result is stored after its call.
    pub result_ttl: Duration,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the headers.
    pub header_timeout: Duration,
    /// Idle timeout of a kept-alive connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply until a configuration is known, which are usual for HTTP
    /// servers.
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
    /// Name of the account.
    pub name: AccountId,
    /// API keys of the account.
    pub keys: Vec<String>,
    /// Rank that overrides that of the route.
    pub rank: Option<ClassRank>,
}

/// Start of a target's process, in milliseconds since the Unix epoch.
pub type ProcessStart = u64;

/// Version of the software that a target runs. Versions are equal or different; they have no order.
pub type SoftwareVersion = Arc<str>;

/// A target listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Id, which a restarted target may reuse.
    pub id: TargetId,
    /// Start of its process. 0 if not announced.
    pub process_start: ProcessStart,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Hall that it runs in.
    pub hall: Arc<str>,
    /// Number of concurrent requests.
    pub slots: u32,
    /// Number of orders that its process has accepted, reset by a restart.
    pub orders: u64,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Version of its software. `None` if the node that announced it doesn't know it.
    pub version: Option<SoftwareVersion>,
}

impl TargetSpec {
    /// Returns whether an older entry of the same id belongs to the same process. Without a known
    /// start, a lower number of orders indicates a restart.
    pub fn is_same_process(&self, older: &TargetSpec) -> bool {
        self.process_start == older.process_start
            && (self.process_start != 0 || self.orders >= older.orders)
    }
}
