//! Server side of clients' connections, over `hyper`: persistent connections whose handler is dropped when
//! the client disconnects.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use async_channel::Receiver;
use async_net::TcpStream;
use futures_lite::future;
use http::header::CONTENT_LENGTH;
use http::Request;
use http::Response;
use http::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::connection_state::ConnectionLimits;
use crate::connection_state::ConnectionPhase;
use crate::connection_state::ConnectionState;
use crate::connection_state::GuardedBody;
use crate::connection_state::PhaseTimer;
use crate::connection_state::TrackedStream;
use crate::reset::reset_on_close;

/// Minimum size of the read buffer that `hyper` accepts, in bytes.
const MIN_READ_BUFFER: usize = 8192;

/// Serves a client's connection until it closes.
///
/// The handler's future and the body it returned are dropped as soon as the client disconnects. A body that
/// ends with an error ends the connection once everything before the error was sent, without the end that
/// the response's framing requires; where that is the end of the connection, by a reset. Once `closing`
/// resolves, the connection closes after the current response, or at once if it is idle. A connection is also
/// closed if it stays idle or receives a request head for too long; `limits` is evaluated again for each phase.
pub async fn serve_client<L, F, Fut, B>(
    stream: TcpStream,
    limits: L,
    closing: Receiver<()>,
    handler: Rc<F>,
) where
    L: Fn() -> ConnectionLimits,
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Unpin,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to configure a connection of a client: {error}");
        return;
    }
    let state = ConnectionState::new();
    let busy = state.clone();
    let service = service_fn(move |request| {
        let guard = busy.serve();
        let version = request.version();
        let response = handler(request);
        async move {
            let response = response.await;
            let ends_with_connection = ends_with_connection(version, &response);
            Ok::<_, Infallible>(
                response.map(|body| GuardedBody::new(body, guard, ends_with_connection)),
            )
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits().max_header_bytes.max(MIN_READ_BUFFER));
    builder.auto_date_header(false);
    let socket = stream.clone();
    let stream = TrackedStream::new(stream, state.clone());
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut timer = PhaseTimer::new(state.clone(), limits);
    let mut connection = pin!(connection);
    let mut closing = pin!(closing.recv());
    let mut is_closing = false;
    let served = future::poll_fn(|context| {
        if !is_closing && closing.as_mut().poll(context).is_ready() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
        if let Poll::Ready(served) = connection.as_mut().poll(context) {
            return Poll::Ready(served);
        }
        match timer.poll_expired(context) {
            // No request is in progress, so the connection closes at once.
            Poll::Ready(ConnectionPhase::Idle) if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                connection.as_mut().poll(context)
            }
            Poll::Ready(phase) => {
                log::debug!("closing a connection of a client: phase {phase:?} timed out");
                Poll::Ready(Ok(()))
            }
            Poll::Pending => Poll::Pending,
        }
    });
    if let Err(error) = served.await {
        log::debug!("connection of a client failed: {error}");
    }
    if state.needs_reset() {
        reset_on_close(&socket).await;
    }
}

/// Returns whether a response has neither a length nor chunks.
fn ends_with_connection<B: Body>(version: Version, response: &Response<B>) -> bool {
    let has_length = response.headers().contains_key(CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some();
    version < Version::HTTP_11 && !has_length
}
