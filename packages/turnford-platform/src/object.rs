//! The object API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use turnford_http::BufferedResponse;

use crate::connection::PlatformLink;
use crate::CallBudget;
use crate::ObjectVersion;
use crate::PlatformError;
use crate::VALUE_LIMIT;

/// Header with an object's version.
const VERSION_HEADER: &str = "object-version";

/// Header with the version that a write expects.
const GUARD_HEADER: &str = "if-version";

/// Header with the milliseconds since the platform last came back from a copy, or [`NEVER_RESTORED`].
const RESTORED_HEADER: &str = "object-restored-ms";

/// Value of that header where the platform never did.
const NEVER_RESTORED: &str = "never";

/// Longest wait for an answer other than a watch's.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Added to a watch's wait before it counts as silent.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGuard {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    At(ObjectVersion),
}

impl VersionGuard {
    /// Returns the guard for an object last seen at a version; 0 means that it was absent.
    pub fn from_version(version: ObjectVersion) -> Self {
        if version == 0 {
            return VersionGuard::Absent;
        }
        VersionGuard::At(version)
    }

    fn header(self) -> String {
        match self {
            VersionGuard::Absent => "0".to_owned(),
            VersionGuard::At(version) => version.to_string(),
        }
    }
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectValue {
    /// Version of the value.
    pub version: ObjectVersion,
    /// Bytes of the value.
    pub bytes: Vec<u8>,
}

/// One object of a list or watch; a text value only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEvent {
    /// Key of the object.
    pub key: String,
    /// Version after the change.
    pub version: ObjectVersion,
    /// Value; `None` if the object was deleted or its value is no text.
    pub value: Option<String>,
}

/// Answer to a list or watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision up to which the answer is complete.
    pub revision: ObjectVersion,
    /// Objects, in the order of their versions.
    pub objects: Vec<ObjectEvent>,
}

/// Client of the object API.
#[derive(Clone)]
pub struct ObjectClient {
    link: PlatformLink,
    /// What the newest answer told of the platform's last return from a copy.
    restored_ago: Arc<Mutex<Option<Duration>>>,
}

impl ObjectClient {
    /// Makes a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        Self {
            link: PlatformLink::new(address, budget),
            restored_ago: Arc::default(),
        }
    }

    /// Returns the budget that the client's calls count against.
    pub fn budget(&self) -> &CallBudget {
        &self.link.budget
    }

    /// Returns how long before its newest answer to a read or write of an object the platform last came
    /// back from a copy; `None` if that answer did not tell.
    pub fn restored_ago(&self) -> Option<Duration> {
        *self
            .restored_ago
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn note_restored(&self, answer: &BufferedResponse) {
        let told = answer.header(RESTORED_HEADER).and_then(parse_restored);
        let mut known = self
            .restored_ago
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = told;
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] if there is none, or the fault of the call.
    pub async fn get(&self, key: &str) -> Result<ObjectValue, PlatformError> {
        let request = self.link.read(Method::GET, &format!("/objects/{key}"))?;
        let answer = self.link.send(request, CALL_LIMIT).await?;
        self.note_restored(&answer);
        match answer.status {
            200 => Ok(ObjectValue {
                version: version_of(&answer)?,
                bytes: answer.body,
            }),
            404 => Err(PlatformError::NotFound),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Writes one object if the guard holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the guard does not hold. After
    /// [`PlatformError::ResponseLost`] the write may have taken effect; the caller reads the object
    /// and looks for its own mark.
    pub async fn put(
        &self,
        key: &str,
        guard: VersionGuard,
        bytes: Vec<u8>,
    ) -> Result<ObjectVersion, PlatformError> {
        if bytes.len() > VALUE_LIMIT {
            return Err(PlatformError::TooLarge);
        }
        let mut request = self.link.write(Method::PUT, &format!("/objects/{key}"))?;
        request.insert_header(GUARD_HEADER, guard.header());
        request.set_body(bytes);
        let answer = self.link.send(request, CALL_LIMIT).await?;
        self.note_restored(&answer);
        match answer.status {
            200 => version_of(&answer),
            409 => Err(PlatformError::Conflict {
                current: version_of(&answer)?,
            }),
            // A store that answers 503 has not written; any other answer leaves it open.
            503 => Err(PlatformError::Unavailable),
            _ => Err(PlatformError::Malformed),
        }
    }

    /// Deletes one object if it has a version.
    ///
    /// # Errors
    ///
    /// As [`ObjectClient::put`].
    pub async fn delete(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError> {
        let mut request = self
            .link
            .write(Method::DELETE, &format!("/objects/{key}"))?;
        request.insert_header(GUARD_HEADER, version.to_string());
        let answer = self.link.send(request, CALL_LIMIT).await?;
        match answer.status {
            200 => Ok(()),
            404 => Err(PlatformError::NotFound),
            409 => Err(PlatformError::Conflict {
                current: version_of(&answer)?,
            }),
            503 => Err(PlatformError::Unavailable),
            _ => Err(PlatformError::Malformed),
        }
    }

    /// Lists the objects below a prefix.
    ///
    /// # Errors
    ///
    /// Returns the fault of the call.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let request = self
            .link
            .read(Method::GET, &format!("/list?prefix={prefix}"))?;
        let answer = self.link.send(request, CALL_LIMIT).await?;
        parse_list(&answer)
    }

    /// Waits up to `wait` for changes below a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::HistoryExpired`] if the list must be read again. A watch that stays
    /// silent past its wait is a fault, too: it may be dead.
    pub async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectList, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let request = self.link.read(Method::GET, &path)?;
        let limit = wait + WATCH_GRACE;
        let answer = self.link.send(request, limit).await?;
        if answer.status == 410 {
            return Err(PlatformError::HistoryExpired);
        }
        parse_list(&answer)
    }
}

fn parse_restored(text: &str) -> Option<Duration> {
    if text == NEVER_RESTORED {
        return Some(Duration::MAX);
    }
    match text.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(fault) => {
            log::warn!("{RESTORED_HEADER}: {text:?} is no number of milliseconds: {fault}");
            None
        }
    }
}

fn version_of(answer: &BufferedResponse) -> Result<ObjectVersion, PlatformError> {
    let text = answer.header(VERSION_HEADER);
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or(PlatformError::Malformed)
}

fn parse_list(answer: &BufferedResponse) -> Result<ObjectList, PlatformError> {
    if answer.status != 200 {
        return Err(PlatformError::Unavailable);
    }
    serde_json::from_slice(&answer.body).map_err(|_| PlatformError::Malformed)
}
