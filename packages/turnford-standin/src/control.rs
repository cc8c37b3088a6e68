//! The stand-ins' control port: the VM list, the weight store, the journal and fault injection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_platform::VmEntry;
use turnford_platform::VmState;

use crate::FaultKind;
use crate::FaultSpec;
use crate::FaultTable;
use crate::Journal;

/// Weight loads per second that the weight store admits.
const LOADS_PER_SECOND: f64 = 2.0;

/// State of the control port.
pub(crate) struct ControlService {
    entries: Vec<VmEntry>,
    lag: Duration,
    faults: Arc<FaultTable>,
    journal: Arc<Journal>,
    loads: Mutex<VecDeque<Duration>>,
}

impl ControlService {
    pub(crate) fn new(
        entries: Vec<VmEntry>,
        lag: Duration,
        faults: Arc<FaultTable>,
        journal: Arc<Journal>,
    ) -> Self {
        Self {
            entries,
            lag,
            faults,
            journal,
            loads: Mutex::new(VecDeque::new()),
        }
    }

    /// Handles a call.
    pub(crate) async fn handle(&self, call: BufferedRequest) -> Option<HttpResponse> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/vms") => Some(json_response(&self.list())),
            ("GET", "/journal") => Some(json_response(&self.journal.entries())),
            ("POST", "/faults") => Some(self.add_fault(&call)),
            ("POST", path) if path.starts_with("/weights/") => Some(self.reserve_load()),
            _ => Some(HttpResponse::new(StatusCode::NOT_FOUND)),
        }
    }

    /// Returns the VM list delayed by the lag: without VMs that were dead then, and with those that were
    /// leaving marked as such.
    fn list(&self) -> Vec<VmEntry> {
        let listed_at = self.faults.elapsed().saturating_sub(self.lag);
        let mut list = Vec::new();
        for entry in &self.entries {
            let places = [
                entry.name.as_str(),
                entry.service.as_str(),
                entry.hall.as_str(),
            ];
            if self
                .faults
                .active_at(FaultKind::Die, &places, listed_at)
                .is_some()
            {
                continue;
            }
            let mut entry = entry.clone();
            if self
                .faults
                .active_at(FaultKind::Leave, &places, listed_at)
                .is_some()
            {
                entry.state = VmState::Leaving;
            }
            list.push(entry);
        }
        list
    }

    fn add_fault(&self, call: &BufferedRequest) -> HttpResponse {
        let parsed: Result<FaultSpec, _> = serde_json::from_slice(&call.body);
        match parsed {
            Ok(fault) => {
                let duration = Duration::from_millis(fault.for_ms);
                self.faults
                    .add_now(fault.kind, &fault.at, duration, fault.factor);
                HttpResponse::new(StatusCode::NO_CONTENT)
            }
            Err(error) => {
                let mut response = HttpResponse::new(StatusCode::BAD_REQUEST);
                response.set_body(error.to_string());
                response
            }
        }
    }

    fn reserve_load(&self) -> HttpResponse {
        let now = self.faults.elapsed();
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = Duration::from_secs_f64(1.0 / LOADS_PER_SECOND);
        let next = loads.back().map_or(now, |last| (*last + gap).max(now));
        loads.push_back(next);
        while loads.front().is_some_and(|load| *load + gap < now) {
            loads.pop_front();
        }
        let wait_ms = (next - now).as_millis();
        json_response(&serde_json::json!({ "wait_ms": wait_ms as u64 }))
    }
}

pub(crate) fn json_response<T: Serialize>(value: &T) -> HttpResponse {
    let mut response = HttpResponse::new(StatusCode::OK);
    match serde_json::to_vec(value) {
        Ok(bytes) => response.set_body(bytes),
        Err(error) => {
            response.set_status(StatusCode::INTERNAL_SERVER_ERROR);
            response.set_body(error.to_string());
        }
    }
    response.insert_header("content-type", "application/json");
    response
}
