//! The serving side, over `hyper`: kept connections whose handler is dropped when the client leaves.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

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

/// Least size of the read buffer that the library accepts, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Serves one client's connection until it ends.
///
/// The handler's future, and the body that it gave, are dropped as soon as the client closes. A
/// body that ends with an error cuts the connection, so that the client never takes the answer for
/// whole. Once `closing` ends, the connection closes after the answer under way, or at once where
/// it rests.
pub async fn serve_link<F, Fut, B>(
    stream: TcpStream,
    head_limit: usize,
    closing: Receiver<()>,
    handler: Rc<F>,
) where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection of a client can't be set up: {error}");
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_limit.max(LEAST_BUFFER));
    builder.auto_date_header(false);
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = pin!(closing.recv());
    let mut is_closing = false;
    let served = future::poll_fn(|context| {
        if !is_closing && closing.as_mut().poll(context).is_ready() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
        connection.as_mut().poll(context)
    });
    if let Err(error) = served.await {
        log::debug!("a connection of a client ended: {error}");
    }
}
