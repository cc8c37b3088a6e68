//! Client of the object API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use turnford_http::BufferedResponse;

use crate::connection::PlatformConnection;
use crate::CallBudget;
use crate::ObjectVersion;
use crate::PlatformError;
use crate::VALUE_LIMIT;

/// Header with the version of an object.
const VERSION_HEADER: &str = "object-version";

/// Header with the version that a write expects.
const GUARD_HEADER: &str = "if-version";

/// Header with the time since the platform was last restored from a backup, in milliseconds, or
/// [`NEVER_RESTORED`].
const RESTORED_HEADER: &str = "object-restored-ms";

/// Value of [`RESTORED_HEADER`] if the platform was never restored.
const NEVER_RESTORED: &str = "never";

/// Timeout for a response, except to a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the wait of a watch after which it times out.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGuard {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    At(ObjectVersion),
}

impl VersionGuard {
    /// Returns the precondition for an object last seen at `version`; 0 means that it did not exist.
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

/// Value of an object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectValue {
    /// Version of the value.
    pub version: ObjectVersion,
    /// Content of the value.
    pub bytes: Vec<u8>,
}

/// An object in the response to a list or watch. Only text values are transferred.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEvent {
    /// Key of the object.
    pub key: String,
    /// Version after the change.
    pub version: ObjectVersion,
    /// Value; `None` if the object was deleted or its value is not text.
    pub value: Option<String>,
}

/// Response to a list or watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision up to which the response is complete.
    pub revision: ObjectVersion,
    /// Objects, sorted by version.
    pub objects: Vec<ObjectEvent>,
}

/// Client of the object API.
#[derive(Clone)]
pub struct ObjectClient {
    connection: PlatformConnection,
    /// Time since the platform's last restore, as of the most recent response.
    restored_ago: Arc<Mutex<Option<Duration>>>,
}

impl ObjectClient {
    /// Creates a client.
    pub fn new(address: SocketAddr, budget: Arc<CallBudget>) -> Self {
        Self {
            connection: PlatformConnection::new(address, budget),
            restored_ago: Arc::default(),
        }
    }

    /// Returns the budget of the client's calls.
    pub fn budget(&self) -> &CallBudget {
        &self.connection.budget
    }

    /// Returns the time between the platform's last restore from a backup and its most recent response to a
    /// read or write of an object; `None` if that response did not include it.
    pub fn restored_ago(&self) -> Option<Duration> {
        *self
            .restored_ago
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_restored(&self, response: &BufferedResponse) {
        let reported = response.header(RESTORED_HEADER).and_then(parse_restored);
        let mut known = self
            .restored_ago
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = reported;
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] if the object does not exist, or the error of the call.
    pub async fn get(&self, key: &str) -> Result<ObjectValue, PlatformError> {
        let request = self
            .connection
            .read(Method::GET, &format!("/objects/{key}"))?;
        let response = self.connection.send(request, CALL_TIMEOUT).await?;
        self.record_restored(&response);
        match response.status {
            200 => Ok(ObjectValue {
                version: parse_version(&response)?,
                bytes: response.body,
            }),
            404 => Err(PlatformError::NotFound),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Writes an object if the precondition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the precondition does not hold. After
    /// [`PlatformError::ResponseLost`] the write may have taken effect; the caller has to read the object and
    /// look for the id of its own write.
    pub async fn put(
        &self,
        key: &str,
        guard: VersionGuard,
        bytes: Vec<u8>,
    ) -> Result<ObjectVersion, PlatformError> {
        if bytes.len() > VALUE_LIMIT {
            return Err(PlatformError::TooLarge);
        }
        let mut request = self
            .connection
            .write(Method::PUT, &format!("/objects/{key}"))?;
        request.insert_header(GUARD_HEADER, guard.header());
        request.set_body(bytes);
        let response = self.connection.send(request, CALL_TIMEOUT).await?;
        self.record_restored(&response);
        match response.status {
            200 => parse_version(&response),
            409 => Err(PlatformError::Conflict {
                current: parse_version(&response)?,
            }),
            // With status 503 nothing was written; any other status leaves the outcome unknown.
            503 => Err(PlatformError::Unavailable),
            _ => Err(PlatformError::Malformed),
        }
    }

    /// Deletes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`ObjectClient::put`], and [`PlatformError::NotFound`] if the object does
    /// not exist.
    pub async fn delete(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError> {
        let mut request = self
            .connection
            .write(Method::DELETE, &format!("/objects/{key}"))?;
        request.insert_header(GUARD_HEADER, version.to_string());
        let response = self.connection.send(request, CALL_TIMEOUT).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(PlatformError::NotFound),
            409 => Err(PlatformError::Conflict {
                current: parse_version(&response)?,
            }),
            503 => Err(PlatformError::Unavailable),
            _ => Err(PlatformError::Malformed),
        }
    }

    /// Lists the objects whose keys begin with a prefix.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let request = self
            .connection
            .read(Method::GET, &format!("/list?prefix={prefix}"))?;
        let response = self.connection.send(request, CALL_TIMEOUT).await?;
        parse_list(&response)
    }

    /// Waits up to `wait` for changes after a revision of objects whose keys begin with a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::HistoryExpired`] if the objects must be listed again. A watch without a
    /// response after its wait is an error as well, because its connection may be dead.
    pub async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectList, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let request = self.connection.read(Method::GET, &path)?;
        let timeout = wait + WATCH_GRACE;
        let response = self.connection.send(request, timeout).await?;
        if response.status == 410 {
            return Err(PlatformError::HistoryExpired);
        }
        parse_list(&response)
    }
}

fn parse_restored(text: &str) -> Option<Duration> {
    if text == NEVER_RESTORED {
        return Some(Duration::MAX);
    }
    match text.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(error) => {
            log::warn!("invalid value {text:?} of header {RESTORED_HEADER}: {error}");
            None
        }
    }
}

fn parse_version(response: &BufferedResponse) -> Result<ObjectVersion, PlatformError> {
    let text = response.header(VERSION_HEADER);
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or(PlatformError::Malformed)
}

fn parse_list(response: &BufferedResponse) -> Result<ObjectList, PlatformError> {
    if response.status != 200 {
        return Err(PlatformError::Unavailable);
    }
    serde_json::from_slice(&response.body).map_err(|_| PlatformError::Malformed)
}
