//! Accepts connections of a listener.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::future;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use turnford_http::reset_unread;
use turnford_http::serve_client;
use turnford_http::ConnectionLimits;
use turnford_http::DeliveryCounter;
use turnford_policy::ClientLimits;

use crate::answer::ResponseBody;

/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Work on new connections before other tasks run, and the parts of it that a connection takes.
const PASS_BUDGET: u32 = 64;
const ACCEPT_COST: u32 = 8;
const REJECT_COST: u32 = 1;

/// A listener and what its connections need.
pub(crate) struct Acceptor {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) listener: TcpListener,
    /// Closed when connections have to end after their responses.
    pub(crate) closing: Receiver<()>,
    /// Counts the connections until they have ended.
    pub(crate) deliveries: Arc<DeliveryCounter>,
}

impl Acceptor {
    /// Accepts the next connection. Calls `on_idle` whenever none has come for a while.
    async fn accept(&self, on_idle: impl Fn()) -> TcpStream {
        loop {
            let idle = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                None
            };
            let accepted = async { Some(self.listener.accept().await) };
            match accepted.or(idle).await {
                None => on_idle(),
                Some(Ok((stream, _))) => return stream,
                Some(Err(error)) => {
                    log_accept_error(&error);
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts a connection if one waits in the kernel's queue.
    async fn try_accept(&self) -> Option<TcpStream> {
        let accepted = future::poll_once(self.listener.accept()).await?;
        let accepted = accepted.inspect_err(log_accept_error);
        accepted.ok().map(|(stream, _)| stream)
    }
}

/// What happens on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptEvent {
    /// No connection has come for a while.
    Idle,
    /// Connections were accepted.
    Accepted {
        /// Whether further ones wait.
        has_more: bool,
    },
}

/// Accepts connections and serves each in a task. Keeps what `admit` returns while a connection is
/// open; one for which it returns `None` is reset before anything is read from it.
pub(crate) async fn accept_connections<G, F, Fut>(
    acceptor: Acceptor,
    limits: impl Fn() -> ClientLimits + Clone + 'static,
    on_event: impl Fn(AcceptEvent),
    admit: impl Fn() -> Option<G>,
    handler: F,
) where
    G: 'static,
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let mut next = Some(acceptor.accept(|| on_event(AcceptEvent::Idle)).await);
        let mut budget = PASS_BUDGET;
        while let Some(stream) = next {
            let cost = match admit() {
                Some(guard) => {
                    let limits = limits.clone();
                    let limits = move || connection_limits(&limits());
                    let closing = acceptor.closing.clone();
                    let deliveries = acceptor.deliveries.clone();
                    let serve = serve_client(stream, limits, closing, deliveries, handler.clone());
                    let serve = async move {
                        serve.await;
                        drop(guard);
                    };
                    acceptor.executor.spawn(serve).detach();
                    ACCEPT_COST
                }
                None => {
                    reset_unread(stream);
                    REJECT_COST
                }
            };
            budget = budget.saturating_sub(cost);
            if budget == 0 {
                budget = PASS_BUDGET;
                on_event(AcceptEvent::Accepted { has_more: true });
                future::yield_now().await;
            }
            next = acceptor.try_accept().await;
        }
        on_event(AcceptEvent::Accepted { has_more: false });
    }
}

fn connection_limits(limits: &ClientLimits) -> ConnectionLimits {
    ConnectionLimits {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

fn log_accept_error(error: &io::Error) {
    log::warn!("failed to accept a connection: {error}");
}
