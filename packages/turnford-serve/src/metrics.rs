//! Counters and histograms of a node that serves routes.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use turnford_policy::ResultCode;

/// Upper bound of the smallest bucket of time histograms, in seconds.
const SMALLEST_BUCKET: f64 = 0.005;

/// Number of buckets of time histograms; each is twice as wide as the one before.
const BUCKET_COUNT: u16 = 13;

/// Upper bound of the smallest bucket of the loop delay, in seconds.
const SMALLEST_DELAY_BUCKET: f64 = 0.001;

/// Number of buckets of the loop delay; each is twice as wide as the one before.
const DELAY_BUCKET_COUNT: u16 = 12;

/// Labels of a request's end. Accounts and ranks come from the configuration, so their set is
/// bounded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    account: String,
    rank: u32,
    code: u32,
}

/// Labels of a request's latency.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    account: String,
    rank: u32,
}

/// Labels of a service's events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    event: &'static str,
}

/// Events that are counted per service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ServiceEvent {
    /// A request was sent to a target for the first time.
    Sent,
    /// A request or piece may be sent once more.
    Repeated,
    /// A retry was denied because the retry budget of the window was used up.
    RepeatDenied,
    /// A target refused a call without running it.
    NotRun,
    /// A response has a status that promises that the request has not run, but the target did not say so.
    UnmarkedRefusal,
    /// A response was missing, truncated or malformed.
    CallFailed,
    /// A response belonged to another request.
    AttemptMismatch,
    /// A connection was opened.
    Connected,
    /// A call with a batch of pieces was sent.
    Batch,
    /// A target announced in a response that it leaves.
    AnnouncedLeaving,
    /// A target refused a call and requested a backoff.
    RequestedBackoff,
    /// A target announced in a response a limit for all nodes together.
    AnnouncedLimit,
    /// This node acquired a permit for a call to a limited target.
    Permit,
    /// A call was not sent because no permit was available.
    Limited,
    /// Another node sent a call for this one.
    Relayed,
    /// This node sent a call for another one.
    RelayedForPeer,
    /// A client resumed a stream whose version is known.
    Resumed,
    /// A client's attempt to resume a stream was refused, as its version is not known or gone.
    ResumeRefused,
    /// A stream began whose version no other node keeps.
    StreamNotRecorded,
    /// A stream began at a version that the ledger does not contain yet.
    VersionNotStored,
    /// A target's process is not the one of its store entry.
    ProcessReplaced,
    /// A response was given up because of its size.
    Oversized,
}

impl ServiceEvent {
    fn label(self) -> &'static str {
        match self {
            ServiceEvent::Sent => "sent",
            ServiceEvent::Repeated => "repeated",
            ServiceEvent::RepeatDenied => "repeat-denied",
            ServiceEvent::NotRun => "not-run",
            ServiceEvent::UnmarkedRefusal => "unmarked-refusal",
            ServiceEvent::CallFailed => "broken",
            ServiceEvent::AttemptMismatch => "other-attempt",
            ServiceEvent::Connected => "connected",
            ServiceEvent::Batch => "batch",
            ServiceEvent::AnnouncedLeaving => "said-leaving",
            ServiceEvent::RequestedBackoff => "asked-for-rest",
            ServiceEvent::AnnouncedLimit => "named-limit",
            ServiceEvent::Permit => "permit",
            ServiceEvent::Limited => "limited",
            ServiceEvent::Relayed => "relayed",
            ServiceEvent::RelayedForPeer => "relayed-for-peer",
            ServiceEvent::Resumed => "resumed",
            ServiceEvent::ResumeRefused => "resume-refused",
            ServiceEvent::StreamNotRecorded => "stream-not-recorded",
            ServiceEvent::VersionNotStored => "version-not-stored",
            ServiceEvent::ProcessReplaced => "process-replaced",
            ServiceEvent::Oversized => "oversized",
        }
    }
}

/// All metrics of a node.
pub(crate) struct ServeMetrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    first_byte_time: Family<ClassLabels, Histogram, fn() -> Histogram>,
    request_time: Family<ClassLabels, Histogram, fn() -> Histogram>,
    services: Family<ServiceLabels, Counter>,
    pub(crate) running: Gauge<u64, AtomicU64>,
    pub(crate) config_version: Gauge<u64, AtomicU64>,
    pub(crate) targets: Gauge<u64, AtomicU64>,
    pub(crate) members: Gauge<u64, AtomicU64>,
    pub(crate) store_calls: Gauge<u64, AtomicU64>,
    /// Bytes of responses of the store and of other nodes that were abandoned before their end.
    pub(crate) abandoned_bytes: Counter,
    /// Crashes of targets during requests of this node.
    pub(crate) target_crashes: Counter,
    /// Known requests during which targets crashed, and those of them that are refused.
    pub(crate) suspects: Gauge<u64, AtomicU64>,
    pub(crate) refused_suspects: Gauge<u64, AtomicU64>,
    /// Targets whose calls need permits, as known to this node.
    pub(crate) limited_targets: Gauge<u64, AtomicU64>,
    /// Calls per second that this node allocates to all nodes, and requests queued for them.
    pub(crate) limit_rate: Gauge<f64, AtomicU64>,
    pub(crate) limit_queue: Gauge<u64, AtomicU64>,
    /// Targets that other nodes reach and this one does not.
    pub(crate) lost_targets: Gauge<u64, AtomicU64>,
    /// 1 while this node reaches none of several targets.
    pub(crate) isolated: Gauge<u64, AtomicU64>,
    /// Services whose targets fail when they reject too many requests.
    pub(crate) brittle_services: Gauge<u64, AtomicU64>,
    /// Targets that are expected to repeat responses.
    pub(crate) repeating_targets: Gauge<u64, AtomicU64>,
    pub(crate) log_drops: Gauge<u64, AtomicU64>,
    /// Open connections of clients.
    pub(crate) client_connections: Gauge<u64, AtomicU64>,
    /// Connections of clients that were accepted.
    pub(crate) accepted_connections: Counter,
    /// Connections of clients that were rejected before they were read.
    pub(crate) rejected_connections: Counter,
    /// 1 while connections are accepted at a limited rate.
    pub(crate) saturated: Gauge<u64, AtomicU64>,
    /// Bytes of buffered bodies, and those that they may use.
    pub(crate) body_bytes: Gauge<u64, AtomicU64>,
    pub(crate) body_bytes_limit: Gauge<u64, AtomicU64>,
    /// Requests refused for lack of room for their bodies.
    pub(crate) refused_bodies: Counter,
    /// Delay of timers on the traffic thread.
    loop_delay: Histogram,
}

impl ServeMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("turnford"),
            ends: Family::default(),
            first_byte_time: Family::new_with_constructor(time_histogram),
            request_time: Family::new_with_constructor(time_histogram),
            services: Family::default(),
            running: Gauge::default(),
            config_version: Gauge::default(),
            targets: Gauge::default(),
            members: Gauge::default(),
            store_calls: Gauge::default(),
            abandoned_bytes: Counter::default(),
            target_crashes: Counter::default(),
            suspects: Gauge::default(),
            refused_suspects: Gauge::default(),
            limited_targets: Gauge::default(),
            limit_rate: Gauge::default(),
            limit_queue: Gauge::default(),
            lost_targets: Gauge::default(),
            isolated: Gauge::default(),
            brittle_services: Gauge::default(),
            repeating_targets: Gauge::default(),
            log_drops: Gauge::default(),
            client_connections: Gauge::default(),
            accepted_connections: Counter::default(),
            rejected_connections: Counter::default(),
            saturated: Gauge::default(),
            body_bytes: Gauge::default(),
            body_bytes_limit: Gauge::default(),
            refused_bodies: Counter::default(),
            loop_delay: Histogram::new(exponential_buckets(
                SMALLEST_DELAY_BUCKET,
                2.0,
                DELAY_BUCKET_COUNT,
            )),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that ended, by code",
            self.ends.clone(),
        );
        registry.register(
            "head_seconds",
            "Time until the first byte of an answer",
            self.first_byte_time.clone(),
        );
        registry.register(
            "request_seconds",
            "Time until a request ended",
            self.request_time.clone(),
        );
        registry.register(
            "service_events",
            "What happened with a service's targets",
            self.services.clone(),
        );
        registry.register("running", "Requests under way", self.running.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register("targets", "Targets known", self.targets.clone());
        registry.register("members", "Other nodes alive", self.members.clone());
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "abandoned_bytes",
            "Bytes of answers of the store and of other nodes given up before their end",
            self.abandoned_bytes.clone(),
        );
        registry.register(
            "target_crashes",
            "Crashes of targets under requests of this node",
            self.target_crashes.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests under which targets crashed, as this node knows them",
            self.suspects.clone(),
        );
        registry.register(
            "refused_requests",
            "Of these, requests that are refused since they crash targets",
            self.refused_suspects.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets with a limit for all nodes together",
            self.limited_targets.clone(),
        );
        registry.register(
            "limit_rate",
            "Calls a second to such targets that this node gives out to all nodes",
            self.limit_rate.clone(),
        );
        registry.register(
            "limit_line",
            "Requests of all nodes that wait for such calls at this node",
            self.limit_queue.clone(),
        );
        registry.register(
            "lost_targets",
            "Targets that other nodes reach and this node doesn't",
            self.lost_targets.clone(),
        );
        registry.register(
            "isolated",
            "1 while this node reaches none of several targets",
            self.isolated.clone(),
        );
        registry.register(
            "brittle_services",
            "Services whose targets fall over when they reject too much",
            self.brittle_services.clone(),
        );
        registry.register(
            "repeating_targets",
            "Targets that were lately observed to repeat responses",
            self.repeating_targets.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that the full queue dropped",
            self.log_drops.clone(),
        );
        registry.register(
            "client_connections",
            "Open connections of clients",
            self.client_connections.clone(),
        );
        registry.register(
            "accepted_connections",
            "Connections of clients that were accepted",
            self.accepted_connections.clone(),
        );
        registry.register(
            "rejected_connections",
            "Connections of clients that were closed before anything was read from them",
            self.rejected_connections.clone(),
        );
        registry.register(
            "saturated",
            "1 while this node has less processor time than its clients need",
            self.saturated.clone(),
        );
        registry.register(
            "body_bytes",
            "Bytes of buffered requests and responses",
            self.body_bytes.clone(),
        );
        registry.register(
            "body_bytes_limit",
            "Bytes that buffered requests and responses may use",
            self.body_bytes_limit.clone(),
        );
        registry.register(
            "refused_bodies",
            "Requests that were refused for lack of room for their bodies",
            self.refused_bodies.clone(),
        );
        registry.register(
            "loop_delay_seconds",
            "Delay of timers on the thread that serves clients",
            self.loop_delay.clone(),
        );
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&self, account: &str, rank: u8, code: ResultCode, time: Duration) {
        let labels = EndLabels {
            account: account.to_owned(),
            rank: u32::from(rank),
            code: u32::from(code.number()),
        };
        self.ends.get_or_create(&labels).inc();
        let class = class_labels(account, rank);
        let histogram = self.request_time.get_or_create(&class);
        histogram.observe(time.as_secs_f64());
    }

    /// Records the time until the first byte of a response.
    pub(crate) fn record_first_byte(&self, account: &str, rank: u8, time: Duration) {
        let class = class_labels(account, rank);
        let histogram = self.first_byte_time.get_or_create(&class);
        histogram.observe(time.as_secs_f64());
    }

    /// Records the delay of a timer on the traffic thread.
    pub(crate) fn record_loop_delay(&self, delay: Duration) {
        self.loop_delay.observe(delay.as_secs_f64());
    }

    /// Records an event of a service.
    pub(crate) fn record_service_event(&self, service: &str, event: ServiceEvent) {
        self.record_service_events(service, event, 1);
    }

    /// Counts this number of events of a service.
    pub(crate) fn record_service_events(&self, service: &str, event: ServiceEvent, count: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
            event: event.label(),
        };
        self.services.get_or_create(&labels).inc_by(count as u64);
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("failed to encode metrics: {error}");
        }
        text
    }
}

fn class_labels(account: &str, rank: u8) -> ClassLabels {
    ClassLabels {
        account: account.to_owned(),
        rank: u32::from(rank),
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKET_COUNT))
}
