//! Execution of stage pieces at a target.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_io::Timer;
use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;

use super::meta::json_response;
use super::run::RouteRun;
use super::run::RunKind;
use super::target::lock;
use super::target::rejection_for;
use super::target::TargetFault;
use super::target::TargetRole;
use super::target::TargetState;
use super::target::UNRESPONSIVE_TIME;

/// The slot of the running call; dropping it frees the slot, even if the caller disconnected.
struct SlotGuard<'a> {
    free_slots: &'a async_channel::Sender<()>,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        // The channel has capacity for its one slot.
        let _ = self.free_slots.try_send(());
    }
}

impl TargetState {
    pub(super) fn release(&self, call: &BufferedRequest) -> HttpResponse {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        for handle in body["handles"].as_array().into_iter().flatten() {
            let handle = handle.as_str().unwrap_or("").to_owned();
            // The handle contains the id of the attempt for which it was created.
            let attempt = handle.split('/').nth(1).unwrap_or("");
            let attempt = attempt.split('.').next().unwrap_or("").to_owned();
            self.journal.add(RouteRun {
                kind: RunKind::Release(handle),
                ..self.run(call, attempt, RunKind::Request)
            });
        }
        json_response(StatusCode::OK, &json!({}))
    }

    pub(super) async fn run_pieces(
        self: &Arc<Self>,
        call: &BufferedRequest,
    ) -> Option<HttpResponse> {
        let TargetRole::Stage {
            call_overhead: overhead,
            piece_time: time_per_piece,
        } = self.role
        else {
            return Some(HttpResponse::new(StatusCode::NOT_FOUND));
        };
        let body: Value = serde_json::from_slice(&call.body).ok()?;
        let items = body["items"].as_array()?.clone();
        let fault = self.next_fault();
        if let Some(response) = fault.as_ref().and_then(rejection_for) {
            return Some(response);
        }
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        if self.slot.recv().await.is_err() {
            return None;
        }
        let slot = SlotGuard {
            free_slots: &self.free_slots,
        };
        if self.crashes_on_piece(&items) {
            self.record_lost_pieces(call, &items, number);
            self.crash_soon();
            Timer::after(UNRESPONSIVE_TIME).await;
            return None;
        }
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        Timer::after(overhead + time_per_piece * count).await;
        drop(slot);
        let results = items.iter().map(|item| self.run_piece(call, item, number));
        let results: Vec<Value> = results.collect();
        match fault {
            Some(TargetFault::Disconnect) => None,
            Some(TargetFault::Fail) => {
                let failed = results.iter().map(|_| json!({ "reason": "error" }));
                let failed: Vec<Value> = failed.collect();
                Some(json_response(StatusCode::OK, &json!({ "items": failed })))
            }
            _ => Some(json_response(StatusCode::OK, &json!({ "items": results }))),
        }
    }

    /// Records the pieces of a call that crashes the target.
    fn record_lost_pieces(&self, call: &BufferedRequest, items: &[Value], number: u64) {
        for item in items {
            let kind = RunKind::Piece {
                stage: item["stage"].as_u64().unwrap_or(0),
                piece: item["piece"].as_u64().unwrap_or(0),
                call: number,
            };
            let attempt = item["id"].as_str().unwrap_or("").to_owned();
            self.journal.add(RouteRun {
                is_faulted: true,
                ..self.run(call, attempt, kind)
            });
        }
    }

    fn crashes_on_piece(&self, items: &[Value]) -> bool {
        let body = lock(&self.crash_body);
        let Some(body) = &*body else {
            return false;
        };
        let mut keys = items.iter().map(|item| item["private_key"].as_str());
        keys.any(|key| key == Some(body.as_str()))
    }

    fn run_piece(&self, call: &BufferedRequest, item: &Value, number: u64) -> Value {
        let attempt = item["id"].as_str().unwrap_or("").to_owned();
        let stage = item["stage"].as_u64().unwrap_or(0);
        let piece = item["piece"].as_u64().unwrap_or(0);
        let handle = format!("{}/{attempt}.{stage}.{piece}", self.id);
        let inputs = item["inputs"].as_array().into_iter().flatten();
        let inputs = inputs.filter_map(Value::as_str).map(str::to_owned);
        let kind = RunKind::Piece {
            stage,
            piece,
            call: number,
        };
        let run = RouteRun {
            inputs: inputs.collect(),
            is_complete: true,
            ..self.run(call, attempt, kind)
        };
        self.journal.add(run);
        json!({ "handle": handle })
    }
}
