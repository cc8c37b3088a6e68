//! Configuration changes by operators.
//!
//! Writes are conditional on the object's version. If the response to a write is lost, the object is
//! read back to determine whether the write took effect.

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

/// Reads after a lost response before the outcome is reported as unknown.
const READ_BACK_ATTEMPTS: u32 = 20;

/// Pause between those reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was written with this version.
    Accepted(ObjectVersion),
    /// The object already has this text; nothing was written.
    Unchanged(ObjectVersion),
    /// Another change was written first; nothing was written.
    Conflict {
        /// Version on which the change was conditional.
        expected: ObjectVersion,
        /// Version that the object has.
        current: ObjectVersion,
    },
    /// The platform call failed; nothing was written.
    Rejected(PlatformError),
    /// The response was lost and reading the object back didn't determine the outcome.
    Unknown,
}

impl fmt::Display for ChangeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeOutcome::Accepted(version) => write!(f, "accepted as version {version}"),
            ChangeOutcome::Unchanged(version) => write!(f, "unchanged, version {version}"),
            ChangeOutcome::Conflict { expected, current } => write!(
                f,
                "not accepted: the object has version {current}, expected {expected}; another \
                 change was written first"
            ),
            ChangeOutcome::Rejected(error) => write!(f, "not accepted: {error}"),
            ChangeOutcome::Unknown => f.write_str(
                "unknown: the platform's response was lost and the outcome can't be determined; \
                 check with 'turnford history'",
            ),
        }
    }
}

/// A change that an operator requests.
pub struct ChangeRequest<'a> {
    /// Key of the object.
    pub key: &'a str,
    /// New text; `None` deletes the object.
    pub text: Option<String>,
    /// Author recorded with the change.
    pub author: &'a str,
    /// Version that the object must have; `None` takes the version that the first read returns.
    pub expected: Option<ObjectVersion>,
}

/// Reads an object and its version; an absent object has version 0.
///
/// # Errors
///
/// Returns the error of the call, or [`PlatformError::Malformed`] if the value isn't an envelope.
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
        Err(error) => Err(error),
    }
}

/// Writes a change unless the object was changed concurrently.
pub async fn change_object(objects: &ObjectClient, request: ChangeRequest<'_>) -> ChangeOutcome {
    let (current, envelope) = match read_envelope(objects, request.key).await {
        Ok(found) => found,
        Err(error) => return ChangeOutcome::Rejected(error),
    };
    let expected = request.expected.unwrap_or(current);
    if expected != current {
        return ChangeOutcome::Conflict { expected, current };
    }
    if current != 0 && envelope.text == request.text {
        return ChangeOutcome::Unchanged(current);
    }
    let write_id = format!("{:032x}", rand::random::<u128>());
    let change = EnvelopeChange {
        write_id: write_id.clone(),
        author: request.author.to_owned(),
        action: if request.text.is_some() {
            "apply"
        } else {
            "delete"
        }
        .to_owned(),
        at: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |duration| duration.as_secs()),
        replaced: current,
    };
    let changed = envelope.changed(request.text, change).encode();
    let guard = VersionGuard::from_version(current);
    match objects.put(request.key, guard, changed.into_bytes()).await {
        Ok(version) => ChangeOutcome::Accepted(version),
        Err(PlatformError::Conflict { current }) => ChangeOutcome::Conflict { expected, current },
        Err(error) if error.may_have_written() => {
            read_back_outcome(objects, request.key, &write_id, current).await
        }
        Err(error) => ChangeOutcome::Rejected(error),
    }
}

/// Determines by the write id whether a write whose response was lost took effect.
async fn read_back_outcome(
    objects: &ObjectClient,
    key: &str,
    write_id: &str,
    before: ObjectVersion,
) -> ChangeOutcome {
    for _ in 0..READ_BACK_ATTEMPTS {
        Timer::after(READ_BACK_INTERVAL).await;
        let Ok((version, envelope)) = read_envelope(objects, key).await else {
            continue;
        };
        if envelope.has_write(write_id) {
            return ChangeOutcome::Accepted(version);
        }
        if version != before && !envelope.is_truncated() {
            // Another change replaced the version on which the lost write was conditional.
            return ChangeOutcome::Conflict {
                expected: before,
                current: version,
            };
        }
        if version != before {
            return ChangeOutcome::Unknown;
        }
        // The write may still arrive; only a change of the version rules it out.
    }
    ChangeOutcome::Unknown
}
