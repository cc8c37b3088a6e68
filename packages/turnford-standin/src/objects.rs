//! Stand-in for the object API.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use http::StatusCode;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_platform::ObjectList;

use crate::FaultKind;
use crate::FaultTable;
use crate::ObjectStore;
use crate::StoreError;

/// Name of the platform in a [`FaultTable`].
const PLATFORM: &str = "platform";

/// Maximum wait of a watch, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// Interval at which a watch checks for changes if it isn't notified of one.
const WATCH_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// State of the object API.
pub struct ObjectService {
    store: Mutex<ObjectStore>,
    /// Time of the last restore from a snapshot.
    restored_at: Mutex<Option<Instant>>,
    faults: Arc<FaultTable>,
    watchers: Mutex<Vec<async_channel::Sender<()>>>,
}

impl ObjectService {
    pub(crate) fn new(faults: Arc<FaultTable>) -> Self {
        Self {
            store: Mutex::new(ObjectStore::default()),
            restored_at: Mutex::new(None),
            faults,
            watchers: Mutex::new(Vec::new()),
        }
    }

    /// Returns a snapshot of the store.
    pub fn snapshot(&self) -> ObjectStore {
        self.store().clone()
    }

    /// Restores the store from a snapshot: later writes are lost, and their versions are assigned again.
    pub fn restore(&self, snapshot: ObjectStore) {
        *self.store() = snapshot;
        let mut restored_at = self
            .restored_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *restored_at = Some(Instant::now());
    }

    fn restored_text(&self) -> String {
        let restored_at = self
            .restored_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        restored_at.map_or_else(
            || "never".to_owned(),
            |at| at.elapsed().as_millis().to_string(),
        )
    }

    /// Handles a call; `None` closes the connection without a response.
    pub(crate) async fn handle(&self, call: BufferedRequest) -> Option<HttpResponse> {
        if self.faults.active(FaultKind::Outage, &[PLATFORM]).is_some() {
            return Some(HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE));
        }
        let slow = self.faults.active(FaultKind::Slow, &[PLATFORM]);
        if let Some(millis) = slow {
            Timer::after(Duration::from_secs_f64(millis / 1000.0)).await;
        }
        let key = call.path.strip_prefix("/objects/").map(str::to_owned);
        let has_key = key.is_some();
        let mut response = self.dispatch(&call, key).await?;
        if has_key {
            response.insert_header("object-restored-ms", self.restored_text());
        }
        Some(response)
    }

    async fn dispatch(&self, call: &BufferedRequest, key: Option<String>) -> Option<HttpResponse> {
        match (call.method.as_str(), key) {
            ("GET", Some(key)) => Some(self.get(&key)),
            ("PUT", Some(key)) => self.write(call, |store, expected| {
                store.put(&key, expected, call.body.clone())
            }),
            ("DELETE", Some(key)) => {
                self.write(call, |store, expected| store.delete(&key, expected))
            }
            ("GET", None) if call.path == "/list" => {
                let list = self.store().list(call.query("prefix").unwrap_or(""));
                Some(json(&list))
            }
            ("GET", None) if call.path == "/watch" => Some(self.watch(call).await),
            _ => Some(HttpResponse::new(StatusCode::NOT_FOUND)),
        }
    }

    fn get(&self, key: &str) -> HttpResponse {
        let store = self.store();
        let Some((version, bytes)) = store.get(key) else {
            return HttpResponse::new(StatusCode::NOT_FOUND);
        };
        let mut response = HttpResponse::new(StatusCode::OK);
        response.insert_header("object-version", version.to_string());
        response.set_body(bytes.to_vec());
        response
    }

    /// Applies a write; drops its response afterwards if a fault requires that.
    fn write(
        &self,
        call: &BufferedRequest,
        change: impl FnOnce(&mut ObjectStore, Option<u64>) -> Result<u64, StoreError>,
    ) -> Option<HttpResponse> {
        let expected = call.header("if-version").and_then(|text| text.parse().ok());
        let result = change(&mut self.store(), expected);
        if result.is_ok() {
            self.notify_watchers();
        }
        if let Some(ratio) = self.faults.active(FaultKind::LoseAnswers, &[PLATFORM]) {
            if self.is_affected(ratio) {
                return None;
            }
        }
        let (status, version) = match result {
            Ok(version) => (StatusCode::OK, version),
            Err(StoreError::Conflict(current)) => (StatusCode::CONFLICT, current),
            Err(StoreError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, 0),
            Err(_) => (StatusCode::NOT_FOUND, 0),
        };
        let mut response = HttpResponse::new(status);
        response.insert_header("object-version", version.to_string());
        Some(response)
    }

    async fn watch(&self, call: &BufferedRequest) -> HttpResponse {
        let prefix = call.query("prefix").unwrap_or("").to_owned();
        let after = call.query_number("after", 0);
        let wait_ms = call.query_number("wait_ms", 0).min(MAX_WATCH_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.register_watcher();
            let found = self.store().changes(&prefix, after);
            let list = match found {
                Ok(list) => list,
                Err(_) => return HttpResponse::new(StatusCode::GONE),
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !list.objects.is_empty() || remaining.is_zero() {
                return json(&list);
            }
            let pause = remaining.min(WATCH_POLL_INTERVAL);
            let timer = async {
                Timer::after(pause).await;
            };
            let change = async {
                let _ = changed.recv().await;
            };
            change.or(timer).await;
        }
    }

    fn register_watcher(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut watchers = self.watchers.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|watch| !watch.is_closed());
        watchers.push(sender);
        receiver
    }

    fn notify_watchers(&self) {
        let mut watchers = self.watchers.lock().unwrap_or_else(PoisonError::into_inner);
        for watch in watchers.drain(..) {
            let _ = watch.try_send(());
        }
    }

    /// Returns whether a fault on a ratio of the writes affects the last one, spread evenly by revision.
    fn is_affected(&self, ratio: f64) -> bool {
        let revision = self.store().revision() as f64;
        (revision * ratio).floor() > ((revision - 1.0) * ratio).floor()
    }

    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn json(list: &ObjectList) -> HttpResponse {
    crate::control::json_response(list)
}
