//! Streams that clients resume: only targets of the software version that began a stream may go on
//! with it.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use turnford_fleet::find_version;
use turnford_fleet::stream_key;
use turnford_fleet::stream_origin;
use turnford_fleet::StreamAnswer;
use turnford_fleet::StreamKey;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamVerdict;
use turnford_fleet::VersionKnowledge;
use turnford_policy::CallKind;
use turnford_policy::ResultCode;
use turnford_policy::ServiceId;
use turnford_policy::SoftwareVersion;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::WorkReply;

use crate::metrics::ServiceEvent;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time after a client's deadline for which the record of its stream is kept.
const RECORD_GRACE: Duration = Duration::from_secs(2);

/// Interval at which a process asks for versions that it does not know.
const ADOPTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which it does so. After that, it has known them for the length of most streams itself.
const ADOPTION_PERIOD: Duration = Duration::from_secs(30);

/// Maximum time for which the record of a stream is kept, whatever deadline its client states.
const MAX_RECORD_LIFETIME: Duration = Duration::from_secs(120);

/// Service and software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamSource {
    pub(crate) service: ServiceId,
    pub(crate) version: SoftwareVersion,
}

/// Why a stream is not resumed.
pub(crate) struct ResumeRefusal {
    pub(crate) code: ResultCode,
    pub(crate) reason: &'static str,
}

impl ResumeRefusal {
    fn unknown(reason: &'static str) -> Self {
        Self {
            code: ResultCode::StreamUnknown,
            reason,
        }
    }

    pub(crate) fn version_gone() -> Self {
        Self {
            code: ResultCode::VersionGone,
            reason: "no target of the version that began the stream is left",
        }
    }
}

/// Returns whether a request may receive events that follow those of an earlier attempt.
fn is_resumed(record: &RequestRecord) -> bool {
    let attributes = &record.attributes;
    let continues = attributes.resumes.is_some() || attributes.last_event_id.is_some();
    record.route.kind == CallKind::Stream && continues
}

/// Finds the service and version that began the stream that a request resumes. Returns `None` for
/// other requests.
///
/// # Errors
///
/// Returns why the stream can't be resumed.
pub(crate) async fn find_source(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
) -> Result<Option<StreamSource>, ResumeRefusal> {
    if !is_resumed(record) {
        return Ok(None);
    }
    let found = ask_source(traffic, record).await;
    for share in &record.route.shares {
        let event = match &found {
            Ok(_) => ServiceEvent::Resumed,
            Err(_) => ServiceEvent::ResumeRefused,
        };
        let metrics = &traffic.shared.metrics;
        metrics.record_service_event(&share.service, event);
    }
    found.map(Some)
}

async fn ask_source(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
) -> Result<StreamSource, ResumeRefusal> {
    let key = stream_key_of(record);
    let shares = record.route.shares.iter();
    let services: Vec<String> = shares.map(|share| share.service.to_string()).collect();
    let own = answer_of(traffic, key, &services);
    match traffic.streams.find_origin(key, &services, own).await {
        StreamVerdict::Recorded(origin, age_ms) => {
            let source = source_of(traffic, record, origin);
            let source = source.ok_or_else(ResumeRefusal::version_gone)?;
            log_source(record, &source, format_args!("record age_ms={age_ms}"));
            Ok(source)
        }
        StreamVerdict::Sole(versions) => {
            let drawn = record.route.draw_service(traffic.random());
            let mut pairs = record.route.shares.iter().zip(versions);
            let found = pairs.find(|(share, _)| Some(&share.service) == drawn);
            let (share, version) = found.ok_or_else(ResumeRefusal::version_gone)?;
            let source = StreamSource {
                service: share.service.clone(),
                version,
            };
            log_source(record, &source, format_args!("sole"));
            Ok(source)
        }
        StreamVerdict::Conflicting => Err(ResumeRefusal::unknown(
            "attempts with this id began streams at different versions",
        )),
        StreamVerdict::Unknown => Err(ResumeRefusal::unknown(
            "the version that began the stream is not known",
        )),
    }
}

fn log_source(record: &RequestRecord, source: &StreamSource, proof: std::fmt::Arguments<'_>) {
    log::info!(
        "request={} resumes={} service={} version={} proof={proof}",
        record.attributes.attempt,
        record.attributes.resumes.as_deref().unwrap_or("-"),
        source.service,
        source.version
    );
}

/// Returns the service of the route, and its version, whose origin a record names.
fn source_of(traffic: &Traffic, record: &RequestRecord, origin: u64) -> Option<StreamSource> {
    let now = traffic.shared.now();
    let mut shares = record.route.shares.iter();
    shares.find_map(|share| {
        let context = traffic.service(&share.service)?;
        let history = context.versions.borrow();
        let versions = history.known_versions(now, context.version_window.get());
        let version = find_version(origin, &share.service, versions)?;
        Some(StreamSource {
            service: share.service.clone(),
            version,
        })
    })
}

/// Returns the key of the stream that a request begins or resumes.
fn stream_key_of(record: &RequestRecord) -> StreamKey {
    let attributes = &record.attributes;
    let attempt = attributes.resumes.as_deref().unwrap_or(&attributes.attempt);
    stream_key(record.account.as_deref().unwrap_or(""), attempt)
}

/// Returns what this node knows of a stream and of the services that may have begun it.
fn answer_of(traffic: &Traffic, key: StreamKey, services: &[String]) -> StreamAnswer {
    let versions = services
        .iter()
        .map(|service| version_knowledge(traffic, service));
    StreamAnswer {
        lookup: traffic.streams.lookup(key),
        versions: versions.collect(),
    }
}

fn version_knowledge(traffic: &Traffic, service: &str) -> VersionKnowledge {
    let Some(context) = traffic.service(service) else {
        return VersionKnowledge::Recent;
    };
    let (now, window) = (traffic.shared.now(), context.version_window.get());
    let history = context.versions.borrow();
    match history.sole_version(now, window) {
        Some(version) => VersionKnowledge::Sole(version.to_string()),
        None if history.is_mixed(now, window) => VersionKnowledge::Mixed,
        None => VersionKnowledge::Recent,
    }
}

/// Asks other nodes for the versions of services that this process has not known for long enough. Streams
/// without a record can then be resumed here once those nodes have ended.
pub(crate) async fn adopt_versions(traffic: Rc<Traffic>) {
    let started_at = traffic.shared.now();
    while traffic.shared.now().saturating_sub(started_at) < ADOPTION_PERIOD {
        Timer::after(ADOPTION_INTERVAL).await;
        let contexts = traffic.all_services().into_iter();
        let names = contexts.map(|context| context.spec.borrow().name.to_string());
        let is_recent =
            |name: &String| version_knowledge(&traffic, name) == VersionKnowledge::Recent;
        let services: Vec<String> = names.filter(is_recent).collect();
        if services.is_empty() {
            continue;
        }
        let versions = traffic.streams.ask_versions(&services).await;
        for (service, version) in services.iter().zip(versions) {
            if let Some((context, version)) = traffic.service(service).zip(version) {
                context.versions.borrow_mut().adopt_sole(&version);
            }
        }
    }
}

/// Answers another node's question about a stream.
pub(crate) fn answer_query(traffic: &Traffic, key: StreamKey, services: &[String]) -> WorkReply {
    WorkReply::Stream(answer_of(traffic, key, services))
}

/// Returns the targets of a service that may not go on with a stream.
pub(crate) fn unsuitable_targets(context: &ServiceContext, source: &StreamSource) -> Vec<TargetId> {
    let table = context.targets.borrow();
    let others = table
        .open_targets()
        .filter(|target| target.version.as_ref() != Some(&source.version));
    others.map(|target| target.id.clone()).collect()
}

/// Records the service and version of a stream that a target has begun. Waits until other nodes keep
/// the record, unless the version is known without it.
pub(crate) async fn record_source(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    target: &TargetSpec,
) {
    let Some(stream) = new_record(record, target) else {
        return;
    };
    traffic.streams.begin(stream);
    if is_sole(traffic, record) {
        return;
    }
    if traffic.streams.announce(stream).await == 0 && !traffic.shared.view.load().members.is_empty()
    {
        record.trace(format_args!("no other node keeps the stream's version"));
        let metrics = &traffic.shared.metrics;
        metrics.record_service_event(&target.service, ServiceEvent::StreamNotRecorded);
    }
}

fn new_record(record: &RequestRecord, target: &TargetSpec) -> Option<StreamRecord> {
    let version = target.version.as_deref()?;
    if !record.route.resumable {
        return None;
    }
    let client_timeout = record.attributes.client_timeout;
    let lifetime = client_timeout.unwrap_or(record.route.timeout) + RECORD_GRACE;
    let lifetime = lifetime.min(MAX_RECORD_LIFETIME).as_millis();
    Some(StreamRecord {
        key: stream_key_of(record),
        origin: stream_origin(&target.service, version),
        lifetime_ms: u32::try_from(lifetime).unwrap_or(u32::MAX),
    })
}

/// Returns whether the version of a route's streams is known without a record.
fn is_sole(traffic: &Traffic, record: &RequestRecord) -> bool {
    let mut shares = record.route.shares.iter();
    shares.all(|share| {
        let knowledge = version_knowledge(traffic, &share.service);
        matches!(knowledge, VersionKnowledge::Sole(_))
    })
}

/// Records that a stream ended as a whole.
pub(crate) fn complete_stream(traffic: &Traffic, record: &RequestRecord) {
    traffic.streams.complete(stream_key_of(record));
}
