//! Streams that clients resume: only targets of the software version that began a stream may go on
//! with it.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::zip;

use turnford_fleet::find_version;
use turnford_fleet::stream_key;
use turnford_fleet::stream_origin;
use turnford_fleet::StreamAnswer;
use turnford_fleet::StreamKey;
use turnford_fleet::StreamRecord;
use turnford_fleet::StreamVerdict;
use turnford_fleet::VersionKnowledge;
use turnford_fleet::VersionUse;
use turnford_policy::CallKind;
use turnford_policy::ResultCode;
use turnford_policy::ServiceId;
use turnford_policy::SoftwareVersion;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;
use turnford_wire::WorkReply;

use crate::ledger_channel::LedgerView;
use crate::metrics::ServiceEvent;
use crate::record::RequestRecord;
use crate::service_context::ServiceContext;
use crate::traffic::Traffic;

/// Time after a client's deadline for which the record of its stream is kept.
const RECORD_GRACE: Duration = Duration::from_secs(2);

/// Time for which a node that resumes a stream waits until it has read the ledger. Reads may have to
/// wait for the end of the interval between two.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which the first event waits until the ledger contains the version of its stream.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(200);

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
    let services = services_of(record);
    let own = traffic.streams.lookup(key);
    let found = traffic.streams.find_origin(key, &services, own);
    if let Some(source) = recorded_source(traffic, record, found.await)? {
        return Ok(source);
    }
    if let Some(source) = prove_sole_source(traffic, record).await? {
        return Ok(source);
    }
    let found = traffic.streams.find_moved_origin(key, &services);
    let source = recorded_source(traffic, record, found.await)?;
    let reason = "the version that began the stream is not known";
    source.ok_or(ResumeRefusal::unknown(reason))
}

/// Returns the source that records name, or `None` if there is no record.
///
/// # Errors
///
/// Returns why the stream can't be resumed although there are records.
fn recorded_source(
    traffic: &Traffic,
    record: &RequestRecord,
    verdict: StreamVerdict,
) -> Result<Option<StreamSource>, ResumeRefusal> {
    match verdict {
        StreamVerdict::Recorded(origin, age_ms) => {
            let source = source_of(traffic, record, origin);
            let source = source.ok_or_else(ResumeRefusal::version_gone)?;
            log_source(record, &source, format_args!("record age_ms={age_ms}"));
            Ok(Some(source))
        }
        StreamVerdict::Conflicting => Err(ResumeRefusal::unknown(
            "attempts with this id began streams at different versions",
        )),
        StreamVerdict::Unknown => Ok(None),
    }
}

/// Finds the source of a stream without records, if each of the route's services can have begun it at one
/// version only. The ledger is read for this, as the known copy may lack a version that other nodes
/// use already.
///
/// # Errors
///
/// Returns that no target of that version is left.
async fn prove_sole_source(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
) -> Result<Option<StreamSource>, ResumeRefusal> {
    let known = traffic.shared.view.load().ledger.clone();
    if !known.is_reachable || (known.ledger.is_some() && !is_proved_sole(traffic, record, &known)) {
        return Ok(None);
    }
    let channel = &traffic.shared.ledger_requests;
    let Some(current) = channel.request(None, CONFIRM_TIMEOUT).await else {
        return Ok(None);
    };
    // Targets may have changed while the ledger was read.
    traffic.current_view();
    if !is_proved_sole(traffic, record, &current) {
        return Ok(None);
    }
    let service = record.route.draw_service(traffic.random());
    let service = service.ok_or_else(ResumeRefusal::version_gone)?;
    let version = current.sole_version(service);
    let version = version.ok_or_else(ResumeRefusal::version_gone)?;
    let source = StreamSource {
        service: service.clone(),
        version: version.into(),
    };
    log_source(record, &source, format_args!("ledger era={}", current.era));
    Ok(Some(source))
}

/// Returns whether a ledger names a single version for each of a route's services, and no target of
/// another one is listed.
fn is_proved_sole(traffic: &Traffic, record: &RequestRecord, ledger: &LedgerView) -> bool {
    let mut shares = record.route.shares.iter();
    shares.all(|share| {
        let context = traffic.service(&share.service);
        let version = ledger.sole_version(&share.service);
        context
            .zip(version)
            .is_some_and(|(context, version)| context.has_only_version(version))
    })
}

fn services_of(record: &RequestRecord) -> Vec<String> {
    let shares = record.route.shares.iter();
    shares.map(|share| share.service.to_string()).collect()
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

/// Returns the service of the route, and its version, whose origin a record names, if it has a
/// target.
fn source_of(traffic: &Traffic, record: &RequestRecord, origin: u64) -> Option<StreamSource> {
    let mut shares = record.route.shares.iter();
    shares.find_map(|share| {
        let context = traffic.service(&share.service)?;
        let table = context.targets.borrow();
        let versions = table
            .all_targets()
            .filter_map(|target| target.version.as_ref());
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

/// Returns what nodes of older builds believe of a service's versions.
fn version_knowledge(traffic: &Traffic, service: &str) -> VersionKnowledge {
    let view = traffic.shared.view.load();
    let context = traffic.service(service);
    if view.ledger.ledger.is_none() || context.is_none() {
        return VersionKnowledge::Recent;
    }
    let is_sole = context.is_some_and(|context| context.is_sole.get());
    let version = view.ledger.sole_version(service).filter(|_| is_sole);
    version.map_or(VersionKnowledge::Mixed, |version| {
        VersionKnowledge::Sole(version.to_owned())
    })
}

/// Answers another node's question about a stream.
pub(crate) fn answer_query(traffic: &Traffic, key: StreamKey, services: &[String]) -> WorkReply {
    let versions = services.iter();
    let versions = versions.map(|service| version_knowledge(traffic, service));
    WorkReply::Stream(StreamAnswer {
        lookup: traffic.streams.lookup(key),
        versions: versions.collect(),
    })
}

/// Returns the targets of a service that may not go on with a stream.
pub(crate) fn unsuitable_targets(context: &ServiceContext, source: &StreamSource) -> Vec<TargetId> {
    let table = context.targets.borrow();
    let others = table
        .open_targets()
        .filter(|target| target.version.as_ref() != Some(&source.version));
    others.map(|target| target.id.clone()).collect()
}

/// Records the service and version of a stream that a target has begun. Waits until the ledger
/// contains the version and, unless that proves it alone, until other nodes keep the record.
pub(crate) async fn record_source(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    target: &TargetSpec,
) {
    let Some(stream) = new_record(record, target) else {
        return;
    };
    traffic.streams.begin(stream);
    let admit = admit_version(traffic, record, target);
    let announce = announce_record(traffic, record, target, stream);
    zip(admit, announce).await;
}

/// Has the ledger contain the version of a stream.
async fn admit_version(traffic: &Rc<Traffic>, record: &RequestRecord, target: &TargetSpec) {
    let used = VersionUse {
        service: target.service.to_string(),
        version: target.version.as_deref().map(str::to_owned),
        lifetime: stream_lifetime(record),
    };
    if traffic.shared.view.load().ledger.admits(&used) {
        return;
    }
    let channel = &traffic.shared.ledger_requests;
    if channel.request(Some(used), ADMIT_TIMEOUT).await.is_none() {
        record.trace(format_args!(
            "the version of {} is not in the ledger yet",
            target.id
        ));
        let metrics = &traffic.shared.metrics;
        metrics.record_service_event(&target.service, ServiceEvent::VersionNotStored);
    }
}

/// Has other nodes keep the record of a stream, unless its version is known without it.
async fn announce_record(
    traffic: &Rc<Traffic>,
    record: &RequestRecord,
    target: &TargetSpec,
    stream: StreamRecord,
) {
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
    let lifetime = stream_lifetime(record).min(MAX_RECORD_LIFETIME).as_millis();
    Some(StreamRecord {
        key: stream_key_of(record),
        origin: stream_origin(&target.service, version),
        lifetime_ms: u32::try_from(lifetime).unwrap_or(u32::MAX),
    })
}

/// Returns the time within which the client of a stream may resume it.
fn stream_lifetime(record: &RequestRecord) -> Duration {
    let client_timeout = record.attributes.client_timeout;
    let lifetime = client_timeout.unwrap_or(record.route.timeout);
    lifetime.saturating_add(RECORD_GRACE)
}

/// Returns whether the version of a route's streams is known without a record.
fn is_sole(traffic: &Traffic, record: &RequestRecord) -> bool {
    let mut shares = record.route.shares.iter();
    shares.all(|share| {
        let context = traffic.service(&share.service);
        context.is_some_and(|context| context.is_sole.get())
    })
}

/// Records that a stream ended as a whole.
pub(crate) fn complete_stream(traffic: &Traffic, record: &RequestRecord) {
    traffic.streams.complete(stream_key_of(record));
}
