//! The serving side, over `hyper`: kept connections whose handler is dropped when the client leaves.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use async_channel::Receiver;
use async_net::TcpStream;
use futures_lite::future;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::connection_state::ConnectionLimits;
use crate::connection_state::GuardedBody;
use crate::connection_state::LinkPhase;
use crate::connection_state::LinkState;
use crate::connection_state::LinkTimer;
use crate::connection_state::NotedStream;

/// Least size of the read buffer that the library accepts, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Serves one client's connection until it ends.
///
/// The handler's future, and the body that it gave, are dropped as soon as the client closes. A
/// body that ends with an error cuts the connection, so that the client never takes the answer for
/// whole. Once `closing` ends, the connection closes after the answer under way, or at once where
/// it rests. One that rests for too long, or on which a head takes too long, is closed; `limits` is asked
/// anew for each request.
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
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection of a client can't be set up: {error}");
        return;
    }
    let state = LinkState::new();
    let busy = state.clone();
    let service = service_fn(move |request| {
        let guard = busy.serve();
        let answer = handler(request);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits().max_header_bytes.max(LEAST_BUFFER));
    builder.auto_date_header(false);
    let stream = NotedStream::new(stream, state.clone());
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut timer = LinkTimer::new(state, limits);
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
        match timer.poll_over(context) {
            // Closes at once: nothing is under way.
            Poll::Ready(LinkPhase::Idle) if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                connection.as_mut().poll(context)
            }
            Poll::Ready(phase) => {
                log::debug!("a connection of a client is closed: {phase:?} for too long");
                Poll::Ready(Ok(()))
            }
            Poll::Pending => Poll::Pending,
        }
    });
    if let Err(error) = served.await {
        log::debug!("a connection of a client ended: {error}");
    }
}
