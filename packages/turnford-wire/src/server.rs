//! The answering side.

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
use http::Response;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use turnford_http::configure_stream;
use turnford_http::ResponseTimeouts;

use crate::body::read_body;
use crate::decode_frame;
use crate::encode_frame;

/// Pause after a connection could not be taken, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long the bytes of a call may take; its head is there.
const CALL_LIMIT: ResponseTimeouts = ResponseTimeouts::new(Duration::ZERO);

/// Most calls at a time on one connection.
const STREAM_LIMIT: u32 = 256;

/// What becomes of a call's handler once its caller gives the call up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// It goes on to its end.
    Finish,
    /// It is dropped.
    Drop,
}

/// Takes the connections of peers for as long as the process runs, and serves each in a task.
pub async fn accept_peers<Q, R, F, Fut>(
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
    given_up: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + Clone + 'static,
    Fut: Future<Output = R> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection of a node can't be taken: {error}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = configure_stream(&stream) {
            log::debug!("a connection of a node can't be set up: {error}");
            continue;
        }
        let serve = serve_peer(stream, executor.clone(), given_up, refusal, handler.clone());
        executor.spawn(serve).detach();
    }
}

/// Serves one peer's connection until it ends. A frame that is not understood is answered by
/// `refusal`.
async fn serve_peer<Q, R, F, Fut>(
    stream: TcpStream,
    executor: Rc<LocalExecutor<'static>>,
    given_up: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()> + 'static,
    R: Encode + 'static,
    F: Fn(Q) -> Fut + Clone + 'static,
    Fut: Future<Output = R> + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(STREAM_LIMIT);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream.compat()).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let answer = answer_call(
            request.into_body(),
            respond,
            given_up,
            refusal,
            handler.clone(),
        );
        executor.spawn(answer).detach();
    }
}

async fn answer_call<Q, R, F, Fut>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    given_up: CancelPolicy,
    refusal: fn() -> R,
    handler: F,
) where
    Q: Decode<()>,
    R: Encode,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = R>,
{
    let frame = match read_body(body, &CALL_LIMIT).await {
        Ok(frame) => frame,
        Err(fault) => {
            log::debug!("an inner call broke off: {fault}");
            return;
        }
    };
    // A frame that is not understood is refused; the connection goes on.
    let reply = match decode_frame(&frame) {
        Ok(request) => {
            let reset = poll_fn(|context| respond.poll_reset(context));
            let given_up = async {
                // Whether reset or broken off, nobody waits for the reply any more.
                let _ = reset.await;
                if given_up == CancelPolicy::Finish {
                    std::future::pending::<()>().await;
                }
                None
            };
            let reply = async { Some(handler(request).await) };
            match reply.or(given_up).await {
                Some(reply) => reply,
                None => return,
            }
        }
        Err(fault) => {
            log::warn!("inner call refused: {fault}");
            refusal()
        }
    };
    let Ok(frame) = encode_frame(&reply) else {
        log::error!("an inner reply is over the bound of a frame");
        return;
    };
    let Ok(mut stream) = respond.send_response(Response::new(()), false) else {
        return;
    };
    // A peer that is gone needs no answer.
    let _ = stream.send_data(Bytes::from(frame), true);
}
