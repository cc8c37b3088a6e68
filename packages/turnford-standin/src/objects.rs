//! The object API's stand-in.

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

/// Name of the platform in fault tables.
const PLATFORM: &str = "platform";

/// Longest wait of a watch.
const LONGEST_WATCH_MS: u64 = 60_000;

/// Pause between a watch's looks when no word of a change comes.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Shared state of the object API.
pub struct ObjectService {
    store: Mutex<ObjectStore>,
    /// When the store last came back from a copy.
    restored_at: Mutex<Option<Instant>>,
    faults: Arc<FaultTable>,
    watches: Mutex<Vec<async_channel::Sender<()>>>,
}

impl ObjectService {
    pub(crate) fn new(faults: Arc<FaultTable>) -> Self {
        Self {
            store: Mutex::new(ObjectStore::default()),
            restored_at: Mutex::new(None),
            faults,
            watches: Mutex::new(Vec::new()),
        }
    }

    /// Returns a copy of what is stored.
    pub fn snapshot(&self) -> ObjectStore {
        self.store().clone()
    }

    /// Comes back from a copy: what was written since is gone, and versions are given out again.
    pub fn restore(&self, copy: ObjectStore) {
        *self.store() = copy;
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

    /// Answers one call.
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
        let mut answer = self.answer(&call, key).await?;
        if has_key {
            answer.insert_header("object-restored-ms", self.restored_text());
        }
        Some(answer)
    }

    async fn answer(&self, call: &BufferedRequest, key: Option<String>) -> Option<HttpResponse> {
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

    /// Writes, and loses the answer afterwards where a fault says so.
    fn write(
        &self,
        call: &BufferedRequest,
        change: impl FnOnce(&mut ObjectStore, Option<u64>) -> Result<u64, StoreError>,
    ) -> Option<HttpResponse> {
        let expected = call.header("if-version").and_then(|text| text.parse().ok());
        let result = change(&mut self.store(), expected);
        if result.is_ok() {
            self.wake_watches();
        }
        if let Some(part) = self.faults.active(FaultKind::LoseAnswers, &[PLATFORM]) {
            if self.is_hit(part) {
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
        let wait_ms = call.query_number("wait_ms", 0).min(LONGEST_WATCH_MS);
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let word = self.register_watch();
            let found = self.store().changes(&prefix, after);
            let list = match found {
                Ok(list) => list,
                Err(_) => return HttpResponse::new(StatusCode::GONE),
            };
            let left = ends_at.saturating_duration_since(Instant::now());
            if !list.objects.is_empty() || left.is_zero() {
                return json(&list);
            }
            let pause = left.min(WATCH_PAUSE);
            let timer = async {
                Timer::after(pause).await;
            };
            let change = async {
                let _ = word.recv().await;
            };
            change.or(timer).await;
        }
    }

    fn register_watch(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        watches.retain(|watch| !watch.is_closed());
        watches.push(sender);
        receiver
    }

    fn wake_watches(&self) {
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        for watch in watches.drain(..) {
            let _ = watch.try_send(());
        }
    }

    /// Tells whether a fault on a part of the writes hits this one, by the revision's order.
    fn is_hit(&self, part: f64) -> bool {
        let revision = self.store().revision() as f64;
        (revision * part).floor() > ((revision - 1.0) * part).floor()
    }

    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn json(list: &ObjectList) -> HttpResponse {
    crate::control::json_response(list)
}
