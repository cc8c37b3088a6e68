//! Operators' changes of configuration: conditional, and truthful about lost answers.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_io::Timer;
use turnford_fleet::ConfigEnvelope;
use turnford_fleet::EnvelopeChange;
use turnford_platform::ObjectClient;
use turnford_platform::ObjectVersion;
use turnford_platform::PlatformError;
use turnford_platform::VersionGuard;

/// Reads tried before the outcome of a lost answer is given up as unknown.
const SETTLE_TRIES: u32 = 20;

/// Pause between those reads.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted with this version.
    Accepted(ObjectVersion),
    /// The object holds this text already; nothing was written.
    Unchanged(ObjectVersion),
    /// Another change came first; nothing was written.
    Conflict {
        /// Version that the change was bound to.
        expected: ObjectVersion,
        /// Version that the object has.
        current: ObjectVersion,
    },
    /// Nothing was written.
    Rejected(PlatformError),
    /// The answer was lost and the object could not be read back.
    Unknown,
}

impl fmt::Display for ChangeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeOutcome::Accepted(version) => write!(f, "accepted as version {version}"),
            ChangeOutcome::Unchanged(version) => write!(f, "unchanged, version {version}"),
            ChangeOutcome::Conflict { expected, current } => write!(
                f,
                "not accepted: the object has version {current}, not {expected}; another change \
                 came first"
            ),
            ChangeOutcome::Rejected(fault) => write!(f, "not accepted: {fault}"),
            ChangeOutcome::Unknown => f.write_str(
                "unknown: the platform's answer was lost and the object can't be read back; \
                 look with 'turnford history'",
            ),
        }
    }
}

/// One change that an operator wants.
pub struct ChangeRequest<'a> {
    /// Key of the object.
    pub key: &'a str,
    /// New text; `None` deletes.
    pub text: Option<String>,
    /// Who asks for the change.
    pub author: &'a str,
    /// Version that the object must have; `None` takes the one that is read first.
    pub expected: Option<ObjectVersion>,
}

/// Reads an object with its version; an absent one has version 0.
///
/// # Errors
///
/// Returns the fault of the call, or that the value is no envelope.
pub async fn read_envelope(
    objects: &ObjectClient,
    key: &str,
) -> Result<(ObjectVersion, ConfigEnvelope), PlatformError> {
    match objects.get(key).await {
        Ok(value) => {
            let text = String::from_utf8(value.bytes).map_err(|_| PlatformError::Malformed)?;
            let envelope = ConfigEnvelope::decode(&text).ok_or(PlatformError::Malformed)?;
            Ok((value.version, envelope))
        }
        Err(PlatformError::NotFound) => Ok((0, ConfigEnvelope::default())),
        Err(fault) => Err(fault),
    }
}

/// Makes a change if nobody else changed the object meanwhile.
pub async fn change_object(objects: &ObjectClient, request: ChangeRequest<'_>) -> ChangeOutcome {
    let (current, envelope) = match read_envelope(objects, request.key).await {
        Ok(found) => found,
        Err(fault) => return ChangeOutcome::Rejected(fault),
    };
    let expected = request.expected.unwrap_or(current);
    if expected != current {
        return ChangeOutcome::Conflict { expected, current };
    }
    if current != 0 && envelope.text == request.text {
        return ChangeOutcome::Unchanged(current);
    }
    let mark = format!("{:032x}", rand::random::<u128>());
    let change = EnvelopeChange {
        write_id: mark.clone(),
        author: request.author.to_owned(),
        action: if request.text.is_some() {
            "apply"
        } else {
            "delete"
        }
        .to_owned(),
        at: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_secs()),
        replaced: current,
    };
    let changed = envelope.changed(request.text, change).encode();
    let guard = VersionGuard::from_version(current);
    match objects.put(request.key, guard, changed.into_bytes()).await {
        Ok(version) => ChangeOutcome::Accepted(version),
        Err(PlatformError::Conflict { current }) => ChangeOutcome::Conflict { expected, current },
        Err(fault) if fault.may_have_written() => {
            settle(objects, request.key, &mark, current).await
        }
        Err(fault) => ChangeOutcome::Rejected(fault),
    }
}

/// Finds out by the writer's mark whether a write with a lost answer took effect.
async fn settle(
    objects: &ObjectClient,
    key: &str,
    mark: &str,
    before: ObjectVersion,
) -> ChangeOutcome {
    for _ in 0..SETTLE_TRIES {
        Timer::after(SETTLE_PAUSE).await;
        let Ok((version, envelope)) = read_envelope(objects, key).await else {
            continue;
        };
        if envelope.has_write(mark) {
            return ChangeOutcome::Accepted(version);
        }
        if version != before && !envelope.is_truncated() {
            // Another change replaced the version that the lost write was bound to.
            return ChangeOutcome::Conflict {
                expected: before,
                current: version,
            };
        }
        if version != before {
            return ChangeOutcome::Unknown;
        }
        // The write may still be on its way; only another version makes it impossible.
    }
    ChangeOutcome::Unknown
}
