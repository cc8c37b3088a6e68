//! A running node: its threads and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Timer;
use async_net::TcpListener;
use turnford_config::NodeSettings;
use turnford_http::bind_listener;
use turnford_http::serve_caller;
use turnford_http::CallerLimits;
use turnford_http::DEFAULT_BODY_LIMIT;
use turnford_policy::Clock;
use turnford_policy::PoolSettings;
use turnford_policy::SystemClock;

use crate::control::dispatch_pools;
use crate::control::run_control;
use crate::handler::handle_request;
use crate::inbox::control_channel;
use crate::state::NodeState;

/// Interval between checks for the end of running requests; also the pause after a failed `accept`.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits for callers.
const CALLER_LIMITS: CallerLimits = CallerLimits {
    max_body_bytes: DEFAULT_BODY_LIMIT,
    body_idle: Duration::from_secs(5),
    body_total: Duration::from_secs(30),
    write_idle: Duration::from_secs(10),
};

/// Options outside the settings file, for baseline runs and tests.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Settings of the stage pools.
    pub pool: PoolSettings,
    /// Whether requests that can't finish all stages by their deadline are refused.
    pub admission_control: bool,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            pool: PoolSettings::default(),
            admission_control: true,
        }
    }
}

/// A running node and the handles of its threads.
pub struct Node {
    state: Arc<NodeState>,
    address: SocketAddr,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node. With port 0 the system picks a port; [`Node::address`] returns it.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address can't be bound or a thread can't be started.
    pub fn start(mut settings: NodeSettings, options: NodeOptions) -> io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let listener = bind_listener(settings.listen)?;
        let address = listener.local_addr()?;
        let inner = bind_listener(settings.inner)?;
        settings.listen = address;
        settings.inner = inner.local_addr()?;
        settings.queue_limit = settings.queue_limit.max(1);
        let mut pool_settings = options.pool;
        pool_settings.queue_limit = settings.queue_limit;
        let incarnation: u64 = rand::random();
        pool_settings.seed ^= incarnation;
        let admission_control = options.admission_control;
        let (outbox, inbox) = control_channel();
        let state = NodeState::new(
            settings,
            pool_settings,
            admission_control,
            clock,
            incarnation,
            outbox,
        );
        let state = Arc::new(state);
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut threads = Vec::new();
        let control_state = state.clone();
        let control_stop = stopped.clone();
        threads.push(spawn_thread("control".to_owned(), move || {
            run_control(control_state, inbox, inner, wait_stop(control_stop));
        })?);
        for number in 0..state.settings.threads {
            let traffic_state = state.clone();
            let traffic_stop = stopped.clone();
            let listener = listener.clone();
            threads.push(spawn_thread(format!("traffic-{number}"), move || {
                run_traffic(traffic_state, listener, number, wait_stop(traffic_stop));
            })?);
        }
        log::info!("node {} listening on {address}", state.settings.name);
        Ok(Self {
            state,
            address,
            stop,
            threads,
        })
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the node has what it needs to serve requests: configuration, targets and
    /// lenders.
    pub fn is_ready(&self) -> bool {
        self.state.ready.load(Ordering::SeqCst)
    }

    /// Returns whether a graceful shutdown has started.
    pub fn is_draining(&self) -> bool {
        self.state.draining.load(Ordering::SeqCst)
    }

    /// Stops accepting requests and waits until the running ones end or the drain timeout passes.
    /// Returns the number of requests still running.
    pub async fn drain(&self) -> u64 {
        self.state.draining.store(true, Ordering::SeqCst);
        let started = self.state.clock.now();
        loop {
            let running = self.state.running.load(Ordering::SeqCst);
            let waited = self.state.clock.now().saturating_sub(started);
            if running == 0 || waited >= self.state.settings.drain_timeout {
                return running;
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops the node's threads immediately, which aborts requests that are still running. A
    /// graceful shutdown calls [`Node::drain`] first.
    pub fn stop(mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of node {} panicked", self.state.settings.name);
            }
        }
    }
}

fn spawn_thread(name: String, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name).spawn(run)
}

async fn wait_stop(stopped: async_channel::Receiver<()>) {
    // No message is ever sent; closing the channel signals the stop.
    let _ = stopped.recv().await;
}

/// Accepts and serves client connections on one thread.
fn run_traffic(
    state: Arc<NodeState>,
    listener: TcpListener,
    number: usize,
    stop: impl std::future::Future<Output = ()>,
) {
    let executor = Arc::new(Executor::new());
    if number == 0 {
        executor.spawn(dispatch_pools(state.clone())).detach();
    }
    let connections = executor.clone();
    let accept = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(DRAIN_POLL_INTERVAL).await;
                continue;
            };
            let state = state.clone();
            let serve = serve_caller(stream, CALLER_LIMITS, move |request| {
                handle_request(state.clone(), request)
            });
            connections.spawn(serve).detach();
        }
    };
    executor.spawn(accept).detach();
    async_io::block_on(executor.run(stop));
}
