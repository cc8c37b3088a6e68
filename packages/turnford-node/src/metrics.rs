//! Counters and histograms, served as OpenMetrics text.

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

/// Smallest bucket of time histograms, in seconds.
const SMALLEST_BUCKET: f64 = 0.001;

/// Number of buckets of time histograms; each is twice as wide as the one before.
const BUCKET_COUNT: u16 = 16;

/// Labels of the request counter. Accounts come from the configuration, which bounds the label set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    account: String,
    class: u32,
    code: u32,
}

/// Labels of the request time histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
    class: u32,
}

/// Labels of the stage histograms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    service: String,
    stage: String,
}

/// Label of the event counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

/// Events that are counted by name.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NodeEvent {
    /// A response to another attempt was discarded.
    AttemptMismatch,
    /// A stage was retried.
    Retry,
    /// A token stream was resumed at another target.
    Resume,
    /// A client disconnected before its request ended.
    CallerGone,
    /// An internal invariant was violated.
    Invariant,
    /// A new configuration was activated.
    ConfigApplied,
}

impl NodeEvent {
    fn label(self) -> &'static str {
        match self {
            NodeEvent::AttemptMismatch => "other-attempt",
            NodeEvent::Retry => "retry",
            NodeEvent::Resume => "resume",
            NodeEvent::CallerGone => "caller-gone",
            NodeEvent::Invariant => "invariant",
            NodeEvent::ConfigApplied => "config-applied",
        }
    }
}

/// Metrics of one node.
pub(crate) struct NodeMetrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    request_time: Family<AccountLabels, Histogram, fn() -> Histogram>,
    stage_time: Family<StageLabels, Histogram, fn() -> Histogram>,
    stage_wait: Family<StageLabels, Histogram, fn() -> Histogram>,
    events: Family<EventLabels, Counter>,
    pub(crate) running: Gauge,
    pub(crate) config_version: Gauge<u64, AtomicU64>,
    pub(crate) members: Gauge,
    pub(crate) lent_groups: Gauge,
    pub(crate) frame_bytes: Gauge<u64, AtomicU64>,
    pub(crate) platform_reads: Gauge<u64, AtomicU64>,
    pub(crate) platform_writes: Gauge<u64, AtomicU64>,
}

impl NodeMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("turnford"),
            ends: Family::default(),
            request_time: Family::new_with_constructor(time_histogram),
            stage_time: Family::new_with_constructor(time_histogram),
            stage_wait: Family::new_with_constructor(time_histogram),
            events: Family::default(),
            running: Gauge::default(),
            config_version: Gauge::default(),
            members: Gauge::default(),
            lent_groups: Gauge::default(),
            frame_bytes: Gauge::default(),
            platform_reads: Gauge::default(),
            platform_writes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Records the end of a request and its duration.
    pub(crate) fn record_end(&self, account: &str, class: u8, code: ResultCode, time: Duration) {
        let class = u32::from(class);
        let labels = EndLabels {
            account: account.to_owned(),
            class,
            code: u32::from(code.number()),
        };
        self.ends.get_or_create(&labels).inc();
        let labels = AccountLabels {
            account: account.to_owned(),
            class,
        };
        self.request_time
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Records the queueing time and the run time of a stage.
    pub(crate) fn record_stage(&self, service: &str, stage: &str, wait: Duration, run: Duration) {
        let labels = StageLabels {
            service: service.to_owned(),
            stage: stage.to_owned(),
        };
        self.stage_wait
            .get_or_create(&labels)
            .observe(wait.as_secs_f64());
        self.stage_time
            .get_or_create(&labels)
            .observe(run.as_secs_f64());
    }

    /// Counts an event.
    pub(crate) fn record_event(&self, event: NodeEvent) {
        let event = event.label();
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Encodes all metrics as OpenMetrics text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` is infallible.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let ends = self.ends.clone();
        registry.register(
            "requests",
            "Ended requests by account, class and code",
            ends,
        );
        let time = self.request_time.clone();
        registry.register("request_seconds", "Time of whole requests", time);
        let time = self.stage_time.clone();
        registry.register("stage_seconds", "Time of stages at their targets", time);
        let wait = self.stage_wait.clone();
        registry.register("stage_wait_seconds", "Time that stages were held", wait);
        registry.register("events", "Counted events", self.events.clone());
        registry.register("running", "Requests running", self.running.clone());
        let version = self.config_version.clone();
        registry.register(
            "config_version",
            "Highest configuration version in force",
            version,
        );
        registry.register(
            "members",
            "Nodes thought alive, this one among them",
            self.members.clone(),
        );
        let lent = self.lent_groups.clone();
        registry.register(
            "lent_groups",
            "Account groups that this node lends for",
            lent,
        );
        let bytes = self.frame_bytes.clone();
        registry.register(
            "frame_bytes",
            "Bytes of inner calls made and their answers",
            bytes,
        );
        let reads = self.platform_reads.clone();
        registry.register("platform_reads", "Calls to the platform that read", reads);
        let writes = self.platform_writes.clone();
        registry.register(
            "platform_writes",
            "Calls to the platform that write",
            writes,
        );
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKET_COUNT))
}
