//! Pieces of stages at a target.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_io::Timer;
use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;

use super::meta::json_answer;
use super::run::RouteRun;
use super::run::RunKind;
use super::target::lock;
use super::target::refusal;
use super::target::TargetFault;
use super::target::TargetRole;
use super::target::TargetState;
use super::target::SILENCE;

/// The turn of the call at work; it goes on to the next call also where the caller left.
struct TurnGuard<'a> {
    turns: &'a async_channel::Sender<()>,
}

impl Drop for TurnGuard<'_> {
    fn drop(&mut self) {
        // The channel has room for its one turn.
        let _ = self.turns.try_send(());
    }
}

impl TargetState {
    pub(super) fn release(&self, call: &BufferedRequest) -> HttpResponse {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        for handle in body["handles"].as_array().into_iter().flatten() {
            let handle = handle.as_str().unwrap_or("").to_owned();
            // The handle holds the id of the try that it was made for.
            let attempt = handle.split('/').nth(1).unwrap_or("");
            let attempt = attempt.split('.').next().unwrap_or("").to_owned();
            self.journal.add(RouteRun {
                kind: RunKind::Release(handle),
                ..self.run(call, attempt, RunKind::Request)
            });
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    pub(super) async fn run_pieces(
        self: &Arc<Self>,
        call: &BufferedRequest,
    ) -> Option<HttpResponse> {
        let TargetRole::Stage {
            call_overhead: call_span,
            piece_time: piece_span,
        } = self.role
        else {
            return Some(HttpResponse::new(StatusCode::NOT_FOUND));
        };
        let body: Value = serde_json::from_slice(&call.body).ok()?;
        let items = body["items"].as_array()?.clone();
        let fault = self.next_fault();
        if let Some(answer) = fault.as_ref().and_then(refusal) {
            return Some(answer);
        }
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        if self.turn.recv().await.is_err() {
            return None;
        }
        let turn = TurnGuard { turns: &self.turns };
        if self.crashes_under_piece(&items) {
            self.note_lost(call, &items, number);
            self.crash_soon();
            Timer::after(SILENCE).await;
            return None;
        }
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        Timer::after(call_span + piece_span * count).await;
        drop(turn);
        let results = items.iter().map(|item| self.run_piece(call, item, number));
        let results: Vec<Value> = results.collect();
        match fault {
            Some(TargetFault::Disconnect) => None,
            Some(TargetFault::Fail) => {
                let failed = results.iter().map(|_| json!({ "reason": "error" }));
                let failed: Vec<Value> = failed.collect();
                Some(json_answer(StatusCode::OK, &json!({ "items": failed })))
            }
            _ => Some(json_answer(StatusCode::OK, &json!({ "items": results }))),
        }
    }

    /// Notes the pieces of a call under which the target crashes.
    fn note_lost(&self, call: &BufferedRequest, items: &[Value], number: u64) {
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

    fn crashes_under_piece(&self, items: &[Value]) -> bool {
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
