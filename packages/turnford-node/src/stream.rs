//! Answers as server-sent events.

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
use crate::answer::RequestEnd;
use crate::runner::run_request;

/// Tokens that may wait for a slow caller.
const TOKEN_QUEUE: usize = 64;

/// The request while its events are sent. Dropping it cancels the request.
struct EventSource {
    run: Option<Pin<Box<dyn Future<Output = RequestEnd> + Send>>>,
    tokens: Receiver<String>,
    end: Option<RequestEnd>,
    trace: AttemptId,
}

/// What comes next.
enum EventStep {
    Token(String),
    End(RequestEnd),
}

/// Runs a request as the body of its answer: an event a token, and a last event with the code.
pub(crate) fn stream_request(request: AdmittedRequest) -> HttpResponse {
    let (sender, tokens) = async_channel::bounded(TOKEN_QUEUE);
    let trace = request.trace;
    let source = EventSource {
        run: Some(Box::pin(run_request(request, Some(sender)))),
        tokens,
        end: None,
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
        if self.run.is_none() && self.end.is_none() {
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
            let end = async { EventStep::End(run.await) };
            match token.or(end).await {
                EventStep::Token(token) => return Some(token_event(&token)),
                EventStep::End(end) => {
                    self.run = None;
                    self.end = Some(end);
                }
            }
        }
        if let Ok(token) = self.tokens.try_recv() {
            return Some(token_event(&token));
        }
        let end = self.end.take()?;
        let mut event = b"event: end\ndata: ".to_vec();
        event.extend(end.json(self.trace, false));
        event.extend(b"\n\n");
        Some(event)
    }
}

fn token_event(token: &str) -> Vec<u8> {
    let data = json!({ "token": token });
    format!("data: {data}\n\n").into_bytes()
}
