//! Responses as server-sent events.

use std::future::Future;
use std::pin::Pin;

use async_channel::Receiver;
use futures_lite::stream::unfold;
use futures_lite::FutureExt;
use http::StatusCode;
use serde_json::json;
use turnford_http::HttpBody;
use turnford_http::HttpResponse;
use turnford_policy::AttemptId;

use crate::admit::AdmittedRequest;
use crate::outcome::RequestOutcome;
use crate::runner::run_request;

/// Capacity of the token queue between a request and a slow client.
const TOKEN_QUEUE_CAPACITY: usize = 64;

/// Source of a response's events. Dropping it cancels the request.
struct EventSource {
    run: Option<Pin<Box<dyn Future<Output = RequestOutcome> + Send>>>,
    tokens: Receiver<String>,
    outcome: Option<RequestOutcome>,
    trace: AttemptId,
}

/// Next event of a stream.
enum EventStep {
    Token(String),
    End(RequestOutcome),
}

/// Runs a request as the body of its response: one event per token and a final event with the
/// result code.
pub(crate) fn stream_request(request: AdmittedRequest) -> HttpResponse {
    let (sender, tokens) = async_channel::bounded(TOKEN_QUEUE_CAPACITY);
    let trace = request.trace;
    let source = EventSource {
        run: Some(Box::pin(run_request(request, Some(sender)))),
        tokens,
        outcome: None,
        trace,
    };
    let events = unfold(source, |mut source| async move {
        let event = source.next_event().await?;
        Some((event, source))
    });
    let mut response = HttpResponse::new(StatusCode::OK);
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("turnford-trace", trace.to_string());
    response.set_body(HttpBody::stream(events));
    response
}

impl EventSource {
    async fn next_event(&mut self) -> Option<Vec<u8>> {
        if self.run.is_none() && self.outcome.is_none() {
            return None;
        }
        if let Some(run) = self.run.as_mut() {
            let tokens = &self.tokens;
            let token = async {
                match tokens.recv().await {
                    Ok(token) => EventStep::Token(token),
                    Err(_) => futures_lite::future::pending().await,
                }
            };
            let outcome = async { EventStep::End(run.await) };
            match token.or(outcome).await {
                EventStep::Token(token) => return Some(token_event(&token)),
                EventStep::End(outcome) => {
                    self.run = None;
                    self.outcome = Some(outcome);
                }
            }
        }
        if let Ok(token) = self.tokens.try_recv() {
            return Some(token_event(&token));
        }
        let outcome = self.outcome.take()?;
        let mut event = b"event: end\ndata: ".to_vec();
        event.extend(outcome.json(self.trace, false));
        event.extend(b"\n\n");
        Some(event)
    }
}

fn token_event(token: &str) -> Vec<u8> {
    let data = json!({ "token": token });
    format!("data: {data}\n\n").into_bytes()
}
