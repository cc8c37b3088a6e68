//! Event streams that are relayed as they arrive.

use std::rc::Rc;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Response;
use http_body_util::BodyExt;

use turnford_policy::ResultCode;
use turnford_policy::TargetSpec;

use crate::answer::proxied_response;
use crate::answer::BodyTruncated;
use crate::answer::ResponseBody;
use crate::crash::record_clean_end;
use crate::crash::BrokenCall;
use crate::crash_check::check_broken_call;
use crate::links::record_contact;
use crate::metrics::ServiceEvent;
use crate::placed_run::PlacedRun;
use crate::record::RequestRecord;
use crate::resume::complete_stream;
use crate::resume::record_source;
use crate::service_context::ServiceContext;
use crate::target_body::TargetBody;
use crate::target_body::TargetBodyError;
use crate::target_response::TargetResponse;
use crate::traffic::Traffic;

/// Number of chunks buffered for a slow client before the target is throttled.
const MAX_BUFFERED_CHUNKS: usize = 8;

type ChunkSender = Sender<Result<Bytes, BodyTruncated>>;

/// Returns the client's response, whose body a task relays.
pub(crate) fn relay_stream(
    traffic: &Rc<Traffic>,
    record: &Rc<RequestRecord>,
    context: &Rc<ServiceContext>,
    placed: PlacedRun,
    response: TargetResponse,
) -> Response<ResponseBody> {
    let (parts, body, remainder) = response.into_stream();
    let (sender, chunks) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    let recorded = {
        let (traffic, record) = (traffic.clone(), record.clone());
        let target = placed.target.clone();
        async move { record_source(&traffic, &record, &target).await }
    };
    let recorded = traffic.executor.spawn(recorded);
    let relay = {
        let traffic = traffic.clone();
        let record = record.clone();
        let context = context.clone();
        async move {
            let on_chunk = || {
                if remainder.is_direct() {
                    record_contact(&traffic, &placed.target.id);
                }
            };
            // Once the client has an event, other nodes have to know which version began the stream.
            recorded.await;
            let relayed = relay_chunks(&record, &context, &placed, body, &sender, on_chunk);
            // A client that doesn't read must not hold the target either.
            let late = async {
                record.wait_deadline().await;
                RelayOutcome::Late
            };
            let outcome = relayed.or(late).await;
            if outcome == RelayOutcome::Late {
                record.trace(format_args!("the deadline passed during the stream"));
            }
            if outcome == RelayOutcome::Completed {
                complete_stream(&traffic, &record);
                remainder.finish(&traffic);
                record_clean_end(&traffic, &record.crash_keys());
                record.end(ResultCode::Done, "");
                return;
            }
            if outcome == RelayOutcome::TargetDisconnected {
                record_broken_stream(&traffic, &context, &placed.target);
                let call = BrokenCall {
                    keys: record.crash_keys(),
                    target: placed.target.clone(),
                    is_alone: placed.is_alone,
                    has_started: true,
                    at: traffic.shared.now(),
                };
                // The check goes on after the client's response has ended.
                let check = check_broken_call(traffic.clone(), context, call, placed);
                traffic.executor.spawn(check).detach();
            }
            record.end(ResultCode::StreamBroken, "the stream was truncated");
            drop(remainder);
            // The client may have disconnected.
            let _ = sender.send(Err(BodyTruncated)).await;
        }
    };
    let task = traffic.executor.spawn(relay);
    proxied_response(&parts, ResponseBody::streamed(chunks, task))
}

fn record_broken_stream(traffic: &Traffic, context: &ServiceContext, target: &TargetSpec) {
    context.targets.borrow_mut().record_failure(&target.id);
    let metrics = &traffic.shared.metrics;
    metrics.record_service_event(&target.service, ServiceEvent::CallFailed);
}

/// How the relay of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    Completed,
    TargetDisconnected,
    /// The deadline passed.
    Late,
    /// The client disconnected.
    Stopped,
}

/// Relays a body until it ends.
async fn relay_chunks(
    record: &RequestRecord,
    context: &ServiceContext,
    placed: &PlacedRun,
    mut body: TargetBody,
    sender: &ChunkSender,
    on_chunk: impl Fn(),
) -> RelayOutcome {
    let mut is_first = true;
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(TargetBodyError::Late)) => return RelayOutcome::Late,
            Some(Err(error)) => {
                record.ends_between_events.set(body.is_between_events());
                record.trace(format_args!("the target disconnected: {error}"));
                return RelayOutcome::TargetDisconnected;
            }
            None => {
                record.ends_between_events.set(body.is_between_events());
                return RelayOutcome::Completed;
            }
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        on_chunk();
        record.record_event();
        if std::mem::take(&mut is_first) {
            record.trace(format_args!("first event"));
            record.record_first_byte();
            context.record_final_call(
                record.attributes.unique_tokens(),
                record.final_call_elapsed(),
            );
            placed.report_first_event();
        }
        if sender.send(Ok(chunk)).await.is_err() {
            return RelayOutcome::Stopped;
        }
    }
}
