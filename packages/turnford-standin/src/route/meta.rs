//! The platform's store: objects by kind and name, watches, and a history that can be forgotten.

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

/// Pause between looks for changes while a watch waits.
const WATCH_PAUSE: Duration = Duration::from_millis(5);

/// Objects on one page of a list.
const PAGE_SIZE: usize = 500;

/// How the store treats those who come through one door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves them.
    Open,
    /// It turns them away.
    Unavailable,
    /// It says nothing.
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
    is_gone: bool,
}

/// What a store holds at a moment.
#[derive(Clone, Debug, Default)]
pub struct MetaSnapshot {
    revision: u64,
    objects: BTreeMap<(String, String), MetaObject>,
    changes: Vec<MetaChange>,
    /// Revision up to which history is forgotten.
    forgotten: u64,
}

#[derive(Debug, Default)]
struct MetaState {
    held: MetaSnapshot,
    /// How often it came back from a copy.
    era: u64,
    doors: Vec<EndpointState>,
    /// Calls through each door.
    calls: Vec<u64>,
}

/// A running store.
#[derive(Clone, Debug, Default)]
pub struct MetaStore {
    state: Arc<Mutex<MetaState>>,
}

impl MetaStore {
    /// Makes a store without objects and doors.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens a door: an address whose callers can be treated apart from others.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn open_endpoint(&self, executor: &SharedExecutor) -> io::Result<(usize, SocketAddr)> {
        let door = {
            let mut state = self.lock();
            state.doors.push(EndpointState::Open);
            state.calls.push(0);
            state.doors.len() - 1
        };
        let store = self.clone();
        let address = serve(0, executor, move |call| {
            let store = store.clone();
            async move { store.handle(door, call).await }
        })?;
        Ok((door, address))
    }

    /// Sets how those who come through a door are treated.
    pub fn set_endpoint(&self, door: usize, to: EndpointState) {
        self.lock().doors[door] = to;
    }

    /// Returns the number of calls that came through a door, those turned away among them.
    pub fn calls(&self, door: usize) -> u64 {
        self.lock().calls[door]
    }

    /// Writes an object; each write is a change.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().held.put(kind, name, spec);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().held.remove(kind, name);
    }

    /// Returns the names of a kind's objects.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let names = state.held.objects.keys().filter(|(other, _)| other == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// Forgets all changes so far.
    pub fn compact_history(&self) {
        let held = &mut self.lock().held;
        held.forgotten = held.revision;
        held.changes.clear();
    }

    /// Returns a copy of what the store holds.
    pub fn snapshot(&self) -> MetaSnapshot {
        self.lock().held.clone()
    }

    /// Has the store come back from a copy: what was written since is gone, and revisions that were given
    /// out since are given out again.
    pub fn restore(&self, copy: MetaSnapshot) {
        let mut state = self.lock();
        state.held = copy;
        state.era += 1;
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.lock().held.revision
    }

    fn lock(&self) -> MutexGuard<'_, MetaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, door: usize, call: BufferedRequest) -> Option<HttpResponse> {
        let mut answer = self.answer(door, call).await?;
        answer.insert_header("store-era", self.lock().era.to_string());
        Some(answer)
    }

    async fn answer(&self, door: usize, call: BufferedRequest) -> Option<HttpResponse> {
        let state = {
            let mut state = self.lock();
            state.calls[door] += 1;
            state.doors[door]
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
        let answer = match (call.method.as_str(), name) {
            ("GET", None) if call.query("watch").is_some() => self.watch(&kind, &call).await,
            ("GET", None) => self.list(&kind, call.query("after_revision").unwrap_or("")),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.create(&kind, &call),
            ("PUT", Some(name)) => self.replace(&kind, &name, &call),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                json_answer(StatusCode::OK, &json!({}))
            }
            _ => HttpResponse::new(StatusCode::NOT_FOUND),
        };
        Some(answer)
    }

    fn list(&self, kind: &str, after: &str) -> HttpResponse {
        let held = &self.lock().held;
        let objects = held.objects.iter();
        let mut items: Vec<Value> = objects
            .filter(|((other, name), _)| other == kind && name.as_str() > after)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        let truncated = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let body = json!({
            "items": items, "truncated": truncated, "timestamp": held.revision,
        });
        json_answer(StatusCode::OK, &body)
    }

    fn get(&self, kind: &str, name: &str) -> HttpResponse {
        let held = &self.lock().held;
        match held.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => json_answer(StatusCode::OK, &object_json(name, object)),
            None => HttpResponse::new(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, kind: &str, call: &BufferedRequest) -> HttpResponse {
        let from = call.query_number("watch", 0);
        let wait = Duration::from_millis(call.query_number("wait_ms", 0));
        let begun = Instant::now();
        loop {
            if let Some(answer) = self.changes_since(kind, from, begun.elapsed() >= wait) {
                return answer;
            }
            Timer::after(WATCH_PAUSE).await;
        }
    }

    /// Returns the answer to a watch, `None` while it waits.
    fn changes_since(&self, kind: &str, from: u64, is_over: bool) -> Option<HttpResponse> {
        let held = &self.lock().held;
        if from < held.forgotten || from > held.revision {
            return Some(HttpResponse::new(StatusCode::GONE));
        }
        let changes = held.changes.iter();
        let events: Vec<Value> = changes
            .filter(|change| change.kind == kind && change.revision > from)
            .map(|change| {
                let object = object_json(&change.name, &change.object);
                json!({ "deleted": change.is_gone, "object": object })
            })
            .collect();
        if events.is_empty() && !is_over {
            return None;
        }
        let body = json!({ "events": events, "timestamp": held.revision });
        Some(json_answer(StatusCode::OK, &body))
    }

    fn create(&self, kind: &str, call: &BufferedRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let Some(name) = body["metadata"]["name"].as_str() else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let held = &mut self.lock().held;
        let key = (kind.to_owned(), name.to_owned());
        if held.objects.contains_key(&key) {
            return HttpResponse::new(StatusCode::CONFLICT);
        }
        held.put(kind, name, body["specification"].clone());
        json_answer(StatusCode::OK, &json!({}))
    }

    fn replace(&self, kind: &str, name: &str, call: &BufferedRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return HttpResponse::new(StatusCode::BAD_REQUEST);
        };
        let held = &mut self.lock().held;
        let key = (kind.to_owned(), name.to_owned());
        if !held.objects.contains_key(&key) {
            return HttpResponse::new(StatusCode::NOT_FOUND);
        }
        held.put(kind, name, body["specification"].clone());
        json_answer(StatusCode::OK, &json!({}))
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
        self.note(kind, name, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.note(kind, name, object, true);
        }
    }

    fn note(&mut self, kind: &str, name: &str, object: MetaObject, is_gone: bool) {
        self.changes.push(MetaChange {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            is_gone,
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

pub(super) fn json_answer(status: StatusCode, body: &Value) -> HttpResponse {
    let mut answer = HttpResponse::new(status);
    answer.insert_header("content-type", "application/json");
    answer.set_body(body.to_string());
    answer
}
