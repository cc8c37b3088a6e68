//! Stand-in for the platform's store: objects by kind and name, watches, and a change history that can
//! be compacted.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;

use crate::fleet::serve;
use crate::SharedExecutor;

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of objects on one page of a list.
const PAGE_SIZE: usize = 500;

/// How the store responds to calls at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Calls are served.
    Open,
    /// Calls get status 503.
    Unavailable,
    /// Calls get no response.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct MetaObject {
    revision: u64,
    created: u64,
    spec: Value,
}

#[derive(Clone, Debug)]
struct MetaChange {
    revision: u64,
    kind: String,
    name: String,
    object: MetaObject,
    is_deleted: bool,
}

/// A snapshot of a store's content and history.
#[derive(Clone, Debug, Default)]
pub struct MetaSnapshot {
    revision: u64,
    objects: BTreeMap<(String, String), MetaObject>,
    changes: Vec<MetaChange>,
    /// Revision up to which the history is compacted.
    compacted_to: u64,
}

#[derive(Debug, Default)]
struct MetaState {
    current: MetaSnapshot,
    /// Number of restores from a snapshot.
    era: u64,
    endpoints: Vec<EndpointState>,
    /// Number of calls at each endpoint.
    calls: Vec<u64>,
}

/// A running store.
#[derive(Clone, Debug, Default)]
pub struct MetaStore {
    state: Arc<Mutex<MetaState>>,
}

impl MetaStore {
    /// Creates a store without objects and endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens an endpoint: an address with a state of its own. Returns its index and address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn open_endpoint(&self, executor: &SharedExecutor) -> io::Result<(usize, SocketAddr)> {
        let endpoint = {
            let mut state = self.lock();
            state.endpoints.push(EndpointState::Open);
            state.calls.push(0);
            state.endpoints.len() - 1
        };
        let store = self.clone();
        let address = serve(0, executor, move |call| {
            let store = store.clone();
            async move { store.handle(endpoint, call).await }
        })?;
        Ok((endpoint, address))
    }

    /// Sets the state of an endpoint.
    pub fn set_endpoint(&self, endpoint: usize, to: EndpointState) {
        self.lock().endpoints[endpoint] = to;
    }

    /// Returns the number of calls at an endpoint, including those that got no or an error response.
    pub fn calls(&self, endpoint: usize) -> u64 {
        self.lock().calls[endpoint]
    }

    /// Writes an object; a write that changes the object gets a new revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().current.put(kind, name, spec);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().current.remove(kind, name);
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let names = state
            .current
            .objects
            .keys()
            .filter(|(other, _)| other == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// Discards the change history; watches from earlier revisions get status 410.
    pub fn compact_history(&self) {
        let current = &mut self.lock().current;
        current.compacted_to = current.revision;
        current.changes.clear();
    }

    /// Returns a snapshot of the store.
    pub fn snapshot(&self) -> MetaSnapshot {
        self.lock().current.clone()
    }

    /// Restores the store from a snapshot: later writes are lost, and their revisions are assigned again.
    pub fn restore(&self, snapshot: MetaSnapshot) {
        let mut state = self.lock();
        state.current = snapshot;
        state.era += 1;
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.lock().current.revision
    }

    fn lock(&self) -> MutexGuard<'_, MetaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, endpoint: usize, call: BufferedRequest) -> Option<HttpResponse> {
        let mut response = self.dispatch(endpoint, call).await?;
        response.insert_header("store-era", self.lock().era.to_string());
        Some(response)
    }

    async fn dispatch(&self, endpoint: usize, call: BufferedRequest) -> Option<HttpResponse> {
        let state = {
            let mut state = self.lock();
            state.calls[endpoint] += 1;
            state.endpoints[endpoint]
        };
        match state {
            EndpointState::Open => {}
            EndpointState::Unavailable => {
                return Some(HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE));
            }
            EndpointState::Unresponsive => {
                Timer::after(Duration::from_secs(60)).await;
                return None;
            }
        }
        let path = call.path.strip_prefix("/v1/objects/")?.to_owned();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path, None),
        };
        let response = match (call.method.as_str(), name) {
            ("GET", None) if call.query("watch").is_some() => self.watch(&kind, &call).await,
            ("GET", None) => self.list(&kind, call.query("after_revision").unwrap_or("")),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.create(&kind, &call),
            ("PUT", Some(name)) => self.replace(&kind, &name, &call),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                json_response(StatusCode::OK, &json!({}))
            }
            _ => HttpResponse::new(StatusCode::NOT_FOUND),
        };
        Some(response)
    }

    fn list(&self, kind: &str, after: &str) -> HttpResponse {
        let current = &self.lock().current;
        let objects = current.objects.iter();
        let mut items: Vec<Value> = objects
            .filter(|((other, name), _)| other == kind && name.as_str() > after)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        let truncated = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let body = json!({
            "items": items, "truncated": truncated, "timestamp": current.revision,
        });
        json_response(StatusCode::OK, &body)
    }

    fn get(&self, kind: &str, name: &str) -> HttpResponse {
        let current = &self.lock().current;
        match current.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => json_response(StatusCode::OK, &object_json(name, object)),
            None => HttpResponse::new(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, kind: &str, call: &BufferedRequest) -> HttpResponse {
        let from = call.query_number("watch", 0);
        let wait = Duration::from_millis(call.query_number("wait_ms", 0));
        let started_at = Instant::now();
        loop {
            if let Some(response) = self.changes_since(kind, from, started_at.elapsed() >= wait) {
                return response;
            }
            Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }

    /// Returns the response to a watch, or `None` if it has to wait further.
    fn changes_since(&self, kind: &str, from: u64, is_expired: bool) -> Option<HttpResponse> {
        let current = &self.lock().current;
        if from < current.compacted_to || from > current.revision {
            return Some(HttpResponse::new(StatusCode::GONE));
        }
        let changes = current.changes.iter();
        let events: Vec<Value> = changes
            .filter(|change| change.kind == kind && change.revision > from)
            .map(|change| {
                let object = object_json(&change.name, &change.object);
                json!({ "deleted": change.is_deleted, "object": object })
            })
            .collect();
        if events.is_empty() && !is_expired {
            return None;
        }
        let body = json!({ "events": events, "timestamp": current.revision });
        Some(json_response(StatusCode::OK, &body))
    }

    fn create(&self, kind: &str, call: &BufferedRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let Some(name) = body["metadata"]["name"].as_str() else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let current = &mut self.lock().current;
        let key = (kind.to_owned(), name.to_owned());
        if current.objects.contains_key(&key) {
            return HttpResponse::new(StatusCode::CONFLICT);
        }
        current.put(kind, name, body["specification"].clone());
        json_response(StatusCode::OK, &json!({}))
    }

    fn replace(&self, kind: &str, name: &str, call: &BufferedRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let current = &mut self.lock().current;
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = current.objects.get(&key) else {
            return HttpResponse::new(StatusCode::NOT_FOUND);
        };
        let expected = body["metadata"]["revision"].as_u64();
        if expected.is_some_and(|revision| revision != object.revision) {
            return json_response(StatusCode::CONFLICT, &object_json(name, object));
        }
        current.put(kind, name, body["specification"].clone());
        json_response(StatusCode::OK, &json!({}))
    }
}

impl MetaSnapshot {
    fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key);
        if old.is_some_and(|old| old.spec == spec) {
            return;
        }
        self.revision += 1;
        let object = MetaObject {
            revision: self.revision,
            created: old.map_or(self.revision, |old| old.created),
            spec,
        };
        self.objects.insert(key, object.clone());
        self.record_change(kind, name, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.record_change(kind, name, object, true);
        }
    }

    fn record_change(&mut self, kind: &str, name: &str, object: MetaObject, is_deleted: bool) {
        self.changes.push(MetaChange {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            is_deleted,
        });
    }
}

fn object_json(name: &str, object: &MetaObject) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": object.revision,
            "created": object.created,
            "finalizers": [],
            "deleting": false,
        },
        "specification": object.spec,
        "status": null,
    })
}

pub(super) fn json_response(status: StatusCode, body: &Value) -> HttpResponse {
    let mut response = HttpResponse::new(status);
    response.insert_header("content-type", "application/json");
    response.set_body(body.to_string());
    response
}
