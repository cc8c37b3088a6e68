//! RPC server: accepts connections of peers and answers their calls.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use futures_lite::future::poll_fn;
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::RecvStream;
use http::HeaderValue;
use http::Response;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use turnford_http::configure_stream;
use turnford_http::ResponseTimeouts;

use crate::body::read_body;
use crate::decode_frame;
use crate::encode_frame;
use crate::streamed::send_body;
use crate::streamed::FRAME_LENGTH_HEADER;
use crate::StreamedReply;

/// Delay before retrying after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Timeouts for reading a request body. The head has already arrived.
const REQUEST_TIMEOUTS: ResponseTimeouts = ResponseTimeouts::new(Duration::ZERO);

/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// What happens to the handler of a call that the caller cancels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// The handler runs to completion.
    Finish,
    /// The handler is dropped.
    Drop,
}

/// Accepts connections of peers for the lifetime of the process and serves each in its own task.
pub async fn accept_peers<Q, R, F, Fut>(
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
    policy: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + Clone + 'static,
    Fut: Future + 'static,
    Fut::Output: Into<StreamedReply<R>>,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept a connection of a peer: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = configure_stream(&stream) {
            log::debug!("failed to configure a connection of a peer: {error}");
            continue;
        }
        let serve = serve_peer(stream, executor.clone(), policy, refusal, handler.clone());
        executor.spawn(serve).detach();
    }
}

/// Serves a peer's connection until it closes. A frame that cannot be decoded is answered with
/// `refusal`.
async fn serve_peer<Q, R, F, Fut>(
    stream: TcpStream,
    executor: Rc<LocalExecutor<'static>>,
    policy: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + Clone + 'static,
    Fut: Future + 'static,
    Fut::Output: Into<StreamedReply<R>>,
{
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream.compat()).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let serve = serve_call(
            request.into_body(),
            respond,
            policy,
            refusal,
            handler.clone(),
        );
        executor.spawn(serve).detach();
    }
}

async fn serve_call<Q, R, F, Fut>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    policy: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()>,
    R: Encode,
    F: Fn(Q) -> Fut,
    Fut: Future,
    Fut::Output: Into<StreamedReply<R>>,
{
    let frame = match read_body(body, &REQUEST_TIMEOUTS).await {
        Ok(frame) => frame,
        Err(error) => {
            log::debug!("failed to read the request of a peer: {error}");
            return;
        }
    };
    // A frame that cannot be decoded is refused without closing the connection.
    let reply = match decode_frame(&frame) {
        Ok(request) => {
            let reset = poll_fn(|context| respond.poll_reset(context));
            let cancelled = async {
                // Whether the stream was reset or the connection lost, nobody waits for the reply.
                let _ = reset.await;
                if policy == CancelPolicy::Finish {
                    std::future::pending::<()>().await;
                }
                None
            };
            let reply = async { Some(handler(request).await.into()) };
            match reply.or(cancelled).await {
                Some(reply) => reply,
                None => return,
            }
        }
        Err(error) => {
            log::warn!("refused the request of a peer: {error}");
            StreamedReply::from(refusal())
        }
    };
    let Ok(frame) = encode_frame(&reply.reply) else {
        log::error!("reply to a peer exceeds the frame size limit");
        return;
    };
    let mut response = Response::new(());
    if reply.body.is_some() {
        let length = HeaderValue::from(frame.len());
        response.headers_mut().insert(FRAME_LENGTH_HEADER, length);
    }
    let Ok(mut stream) = respond.send_response(response, false) else {
        return;
    };
    // A send error means that the peer has disconnected, so no reply is needed.
    let sent = stream.send_data(Bytes::from(frame), reply.body.is_none());
    if let (Ok(()), Some(body)) = (sent, reply.body) {
        let expired = async {
            Timer::after(reply.timeout).await;
        };
        send_body(stream, body).or(expired).await;
    }
}
