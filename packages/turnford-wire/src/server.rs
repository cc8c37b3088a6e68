//! The answering side.

use std::future::Future;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_net::TcpStream;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::Response;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::decode_request;
use crate::encode_reply;
use crate::PeerReply;
use crate::PeerRequest;
use crate::FRAME_LIMIT;

/// Most calls at a time on one connection.
const STREAM_LIMIT: u32 = 256;

/// Serves one peer's connection until it ends.
pub async fn serve_peer<F, Fut>(stream: TcpStream, executor: Rc<LocalExecutor<'static>>, handler: F)
where
    F: Fn(PeerRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = PeerReply> + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(STREAM_LIMIT);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream.compat()).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let answer = answer_call(request.into_body(), respond, handler.clone());
        executor.spawn(answer).detach();
    }
}

async fn answer_call<F, Fut>(body: RecvStream, mut respond: SendResponse<Bytes>, handler: F)
where
    F: Fn(PeerRequest) -> Fut,
    Fut: Future<Output = PeerReply>,
{
    let Some(frame) = read_body(body).await else {
        return;
    };
    // A frame that is not understood is refused; the connection goes on.
    let reply = match decode_request(&frame) {
        Ok(request) => handler(request).await,
        Err(fault) => {
            log::warn!("inner call refused: {fault}");
            PeerReply::Refused
        }
    };
    let Ok(frame) = encode_reply(&reply) else {
        return;
    };
    let Ok(mut stream) = respond.send_response(Response::new(()), false) else {
        return;
    };
    // A peer that is gone needs no answer.
    let _ = stream.send_data(Bytes::from(frame), true);
}

/// Reads a body of bounded size; `None` if it breaks or is too large.
pub(crate) async fn read_body(mut body: RecvStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > FRAME_LIMIT {
            return None;
        }
        body.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(bytes)
}
