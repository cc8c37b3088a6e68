//! A running node: its threads and its planned stop.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;

use turnford_config::ServeSettings;
use turnford_http::bind_listener;
use turnford_policy::SystemClock;
use turnford_policy::ThreadHeartbeat;

use crate::accept::admit_client;
use crate::accept::handle_client;
use crate::accept::record_accept;
use crate::acceptor::accept_connections;
use crate::acceptor::Acceptor;
use crate::body_budget::BodyBudget;
use crate::control::run_control;
use crate::control::ControlListeners;
use crate::crash_updates::pull_initial_crashes;
use crate::crash_updates::sync_crashes;
use crate::leaving::probe_leaving;
use crate::ledger_channel::LedgerChannel;
use crate::limit_sync::maintain_limits;
use crate::links::probe_lost_links;
use crate::loop_monitor::monitor_loop;
use crate::memory::usable_memory;
use crate::metrics::ServeMetrics;
use crate::shared::RouteView;
use crate::shared::ServeShared;
use crate::stream_backup::back_up_streams;
use crate::stream_backup::StreamBackup;
use crate::suspect_channel::SuspectChannel;
use crate::traffic::close_idle_connections;
use crate::traffic::follow_changes;
use crate::traffic::Traffic;
use crate::work::serve_work;

/// Interval for polling whether running requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time until the platform stops sending new connections: it probes every second and needs two
/// failed probes.
const READINESS_DELAY: Duration = Duration::from_millis(2500);

/// Time for the last refusals and relayed bytes to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A running node that serves routes.
pub struct ServeNode {
    shared: Arc<ServeShared>,
    /// Closed to close the connections of clients after their responses.
    closing: Sender<()>,
    /// Closed to end requests that are not running on a target.
    ending: Sender<()>,
    /// Closed or dropped to end the threads.
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ServeNode {
    /// Starts a node. Port 0 lets the system choose a port, which [`ServeNode::settings`] returns.
    ///
    ///
    /// # Errors
    ///
    ///
    /// Returns the system's error if an address can't be bound or a thread can't be started.
    pub fn start(mut settings: ServeSettings) -> io::Result<Self> {
        let listener = bind_listener(settings.listen)?;
        let listeners = ControlListeners {
            ready: bind_listener(settings.ready)?,
            metrics: bind_listener(settings.metrics)?,
            inner: bind_listener(settings.inner)?,
        };
        let work = bind_listener(settings.work)?;
        settings.listen = listener.local_addr()?;
        settings.ready = listeners.ready.local_addr()?;
        settings.metrics = listeners.metrics.local_addr()?;
        settings.inner = listeners.inner.local_addr()?;
        settings.work = work.local_addr()?;
        let (changes, changed) = async_channel::bounded(1);
        let shared = Arc::new(ServeShared {
            settings,
            clock: Arc::new(SystemClock::new()),
            started: unix_time_ms(),
            view: ArcSwap::from_pointee(RouteView::default()),
            changes,
            draining: AtomicBool::new(false),
            stop_started_at: AtomicU64::new(0),
            heartbeat: ThreadHeartbeat::default(),
            has_queried_members: AtomicBool::new(false),
            has_crash_snapshot: AtomicBool::new(false),
            has_view_snapshot: AtomicBool::new(false),
            is_relieved: AtomicBool::new(false),
            suspects: SuspectChannel::default(),
            ledger_requests: LedgerChannel::default(),
            stream_backup: StreamBackup::default(),
            was_suspended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            deliveries: Arc::default(),
            metrics: ServeMetrics::new(),
            bodies: BodyBudget::for_memory(usable_memory()),
        });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (closing, closed) = async_channel::bounded::<()>(1);
        let (ending, ended) = async_channel::bounded::<()>(1);
        let control = {
            let shared = shared.clone();
            let stopped = stopped.clone();
            spawn_thread("control", move || {
                run_control(shared, listeners, wait_stop(stopped));
            })?
        };
        let traffic = {
            let shared = shared.clone();
            spawn_thread("traffic", move || {
                let listeners = TrafficListeners { listener, work };
                let signals = TrafficSignals {
                    changed,
                    closing: closed,
                    ending: ended,
                };
                run_traffic(shared, listeners, signals, wait_stop(stopped));
            })?
        };
        log::info!(
            "start node={} hall={} listen={}",
            shared.settings.name,
            shared.settings.hall,
            shared.settings.listen
        );
        Ok(Self {
            shared,
            closing,
            ending,
            stop,
            threads: vec![control, traffic],
        })
    }

    /// Returns the settings, with the ports that the system chose.
    pub fn settings(&self) -> &ServeSettings {
        &self.shared.settings
    }

    /// Returns whether the node accepts requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Sets the metric of log lines that the logger dropped.
    pub fn set_log_drops(&self, drops: u64) {
        self.shared.metrics.log_drops.set(drops);
    }

    /// Stops as planned: reports the node as not ready, serves the requests that still arrive, and waits until their
    /// clients have received the responses. Returns how many requests, or connections with responses, were left at
    /// the end of the grace time.
    pub async fn drain(&self) -> u64 {
        log::info!("planned stop started: not ready for new connections");
        self.shared.begin_stop();
        // Wakes the traffic thread, which hands its duties over. A full channel already holds a
        // wake-up.
        let _ = self.shared.changes.try_send(());
        let started_at = self.shared.now();
        let deadline = self.shared.exit_deadline().unwrap_or(started_at);
        let settled = (started_at + READINESS_DELAY).min(deadline);
        loop {
            let now = self.shared.now();
            if now >= settled {
                // Idle connections close now, the others after their responses.
                self.closing.close();
            }
            if now >= deadline || (now >= settled && self.unfinished() == 0) {
                break;
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        self.ending.close();
        Timer::after(FLUSH_DELAY).await;
        self.unfinished()
    }

    /// Returns the number of requests and relayed calls that run, or that of connections of clients if it is larger.
    fn unfinished(&self) -> u64 {
        let running = self.shared.running.load(Ordering::SeqCst);
        running.max(self.shared.deliveries.count())
    }

    /// Ends the node's threads immediately. Requests that still run are cut; a planned stop calls
    /// [`ServeNode::drain`] first.
    pub fn stop(mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of node {} panicked", self.shared.settings.name);
            }
        }
    }
}

/// Returns the time of day in milliseconds since 1970, or 0 if the clock is set before that.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

async fn wait_stop(stopped: Receiver<()>) {
    // Nothing is ever sent; the closed channel is the signal.
    let _ = stopped.recv().await;
}

/// Listeners of the traffic thread.
struct TrafficListeners {
    /// Accepts clients.
    listener: TcpListener,
    /// Accepts work from other nodes.
    work: TcpListener,
}

/// Signals to the traffic thread.
struct TrafficSignals {
    /// Receives a message for each change of the view.
    changed: Receiver<()>,
    /// Closed when connections of clients have to close.
    closing: Receiver<()>,
    /// Closed when the process is about to end.
    ending: Receiver<()>,
}

/// Serves clients and other nodes on this thread until `stop` completes.
fn run_traffic(
    shared: Arc<ServeShared>,
    listeners: TrafficListeners,
    signals: TrafficSignals,
    stop: impl Future<Output = ()>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let traffic = Traffic::new(executor.clone(), shared, signals.ending);
    executor
        .spawn(follow_changes(traffic.clone(), signals.changed))
        .detach();
    executor
        .spawn(close_idle_connections(traffic.clone()))
        .detach();
    executor
        .spawn(serve_work(traffic.clone(), listeners.work))
        .detach();
    executor
        .spawn(pull_initial_crashes(traffic.clone()))
        .detach();
    executor.spawn(back_up_streams(traffic.clone())).detach();
    executor.spawn(sync_crashes(traffic.clone())).detach();
    executor.spawn(probe_leaving(traffic.clone())).detach();
    executor.spawn(maintain_limits(traffic.clone())).detach();
    executor.spawn(probe_lost_links(traffic.clone())).detach();
    executor.spawn(monitor_loop(traffic.clone())).detach();
    let listener = listeners.listener;
    let deliveries = traffic.shared.deliveries.clone();
    let limits_traffic = traffic.clone();
    let limits = move || limits_traffic.current_view().config.limits;
    let event_traffic = traffic.clone();
    let on_event = move |event| record_accept(&event_traffic, event);
    let gate_traffic = traffic.clone();
    let admit = move || admit_client(&gate_traffic);
    let handler = move |request| handle_client(traffic.clone(), request);
    let acceptor = Acceptor {
        executor: executor.clone(),
        listener,
        closing: signals.closing,
        deliveries,
    };
    let accept = accept_connections(acceptor, limits, on_event, admit, handler);
    executor.spawn(accept).detach();
    async_io::block_on(executor.run(stop));
}
