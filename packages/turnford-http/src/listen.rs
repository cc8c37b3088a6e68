//! Server side of clients' connections, over `hyper`: persistent connections whose handler is dropped when
//! the client disconnects.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
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
use hyper::server::conn::http1::Connection;
use hyper::service::service_fn;
use hyper::service::HttpService;
use smol_hyper::rt::FuturesIo;

use crate::connection_state::ConnectionLimits;
use crate::connection_state::ConnectionPhase;
use crate::connection_state::ConnectionState;
use crate::connection_state::GuardedBody;
use crate::connection_state::PhaseTimer;
use crate::connection_state::TrackedStream;
use crate::delivery::DeliveryCounter;
use crate::reset::wait_acknowledged;

/// Minimum size of the read buffer that `hyper` accepts, in bytes.
const MIN_READ_BUFFER: usize = 8192;

/// Sequence numbers that the shutdown of a connection takes, which its peer acknowledges like a byte.
const SHUTDOWN_LENGTH: i32 = 1;

/// How serving a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServedEnd {
    /// Its responses were sent, and its writing side was shut down.
    ShutDown,
    /// It failed, or a phase other than the sending timed out.
    Failed,
    /// The client has not read a response in time.
    Unread,
}

/// Serves a client's connection until it closes.
///
/// The handler's future and the body it returned are dropped as soon as the client disconnects. A body that
/// ends with an error ends the connection once everything before the error was sent, without the end that
/// the response's framing requires; where that is the end of the connection, by a reset. Once `closing`
/// resolves, the connection closes after the current response, or at once if it is idle; `deliveries` counts it
/// until its client's system has received what was sent. A connection is also closed if it stays idle, receives a
/// request head for too long, or has a response that its client does not read; `limits` is evaluated again for each
/// phase.
pub async fn serve_client<L, F, Fut, B>(
    stream: TcpStream,
    limits: L,
    closing: Receiver<()>,
    deliveries: Arc<DeliveryCounter>,
    handler: Rc<F>,
) where
    L: Fn() -> ConnectionLimits,
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>> + Unpin,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to configure a connection of a client: {error}");
        return;
    }
    let state = ConnectionState::new(stream.clone(), deliveries);
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
    let tracked = FuturesIo::new(TrackedStream::new(stream.clone(), state.clone()));
    let connection = builder.serve_connection(tracked, service);
    let timer = PhaseTimer::new(state.clone(), limits);
    // What was not sent is released before the rest is waited for.
    match run_connection(connection, &state, timer, closing).await {
        ServedEnd::ShutDown => wait_acknowledged(&stream, SHUTDOWN_LENGTH).await,
        ServedEnd::Failed => wait_acknowledged(&stream, 0).await,
        ServedEnd::Unread => state.set_reset(true),
    }
}

/// Serves a connection until all its responses are sent, it fails or a phase times out.
async fn run_connection<S, B, L>(
    connection: Connection<FuturesIo<TrackedStream>, S>,
    state: &ConnectionState,
    mut timer: PhaseTimer<L>,
    closing: Receiver<()>,
) -> ServedEnd
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    L: Fn() -> ConnectionLimits,
{
    let mut connection = pin!(connection);
    let mut closing = pin!(closing.recv());
    let mut is_ending = false;
    let served = future::poll_fn(|context| {
        if !state.is_closing() && closing.as_mut().poll(context).is_ready() {
            is_ending = true;
            state.begin_close();
            connection.as_mut().graceful_shutdown();
        }
        if let Poll::Ready(served) = connection.as_mut().poll(context) {
            return Poll::Ready(Ok(served));
        }
        match timer.poll_expired(context) {
            // No request is in progress, so the connection closes at once.
            Poll::Ready(ConnectionPhase::Idle) if !is_ending => {
                is_ending = true;
                connection.as_mut().graceful_shutdown();
                connection.as_mut().poll(context).map(Ok)
            }
            Poll::Ready(phase) => Poll::Ready(Err(phase)),
            Poll::Pending => Poll::Pending,
        }
    });
    match served.await {
        Ok(Ok(())) => ServedEnd::ShutDown,
        Ok(Err(error)) => {
            log::debug!("connection of a client failed: {error}");
            ServedEnd::Failed
        }
        Err(phase) => {
            log::debug!("closing a connection of a client: phase {phase:?} timed out");
            if phase == ConnectionPhase::Sending {
                ServedEnd::Unread
            } else {
                ServedEnd::Failed
            }
        }
    }
}

/// Returns whether a response has neither a length nor chunks.
fn ends_with_connection<B: Body>(version: Version, response: &Response<B>) -> bool {
    let has_length = response.headers().contains_key(CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some();
    version < Version::HTTP_11 && !has_length
}
