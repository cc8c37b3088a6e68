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

use crate::accept::accept_links;
use crate::accept::handle_client;
use crate::control::run_control;
use crate::control::ControlListeners;
use crate::crash_updates::pull_initial_crashes;
use crate::crash_updates::sync_crashes;
use crate::leaving::ask_leaving;
use crate::limit_sync::follow_limits;
use crate::metrics::ServeMetrics;
use crate::shared::RouteView;
use crate::shared::ServeShared;
use crate::suspect_channel::SuspectChannel;
use crate::traffic::close_idle_connections;
use crate::traffic::follow_changes;
use crate::traffic::Traffic;
use crate::work::serve_work;

/// Pause between looks whether running requests ended.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Time that the platform takes to stop sending new connections: it asks every second and needs
/// two answers.
const SETTLE_SPAN: Duration = Duration::from_millis(2500);

/// Time in which the last answers reach their clients after idle connections were told to close.
const FLUSH_SPAN: Duration = Duration::from_millis(100);

/// A running node that serves routes.
pub struct ServeNode {
    shared: Arc<ServeShared>,
    /// Closed to close the connections of clients after their answers.
    closing: Sender<()>,
    /// Closed to end requests that no target has.
    ending: Sender<()>,
    /// Dropped to end the threads.
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ServeNode {
    /// Starts a node. Port 0 lets the system choose; [`ServeNode::settings`] tells which.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address can't be bound or a thread not started.
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
            started: time_of_day(),
            view: ArcSwap::from_pointee(RouteView::default()),
            changes,
            draining: AtomicBool::new(false),
            stop_begun: AtomicU64::new(0),
            turns: ThreadHeartbeat::default(),
            has_asked_members: AtomicBool::new(false),
            has_crash_snapshot: AtomicBool::new(false),
            knows_view: AtomicBool::new(false),
            suspects: SuspectChannel::default(),
            has_slept: AtomicBool::new(false),
            running: AtomicU64::new(0),
            metrics: ServeMetrics::new(),
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

    /// Tells whether the node takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the counter of log lines that were dropped, to be kept up to date by the logger.
    pub fn set_log_drops(&self, drops: u64) {
        self.shared.metrics.log_drops.set(drops);
    }

    /// Stops as planned: says that it takes no new connections, serves what still comes, and
    /// returns how many requests still ran at the end of the grace time.
    pub async fn drain(&self) -> u64 {
        log::info!("stop begins: no new connections");
        self.shared.begin_stop();
        // The traffic thread hands its duties over; a full channel holds a wake-up already.
        let _ = self.shared.changes.try_send(());
        let begun = self.shared.now();
        let latest = self.shared.exit_deadline().unwrap_or(begun);
        let settled = (begun + SETTLE_SPAN).min(latest);
        loop {
            let running = self.shared.running.load(Ordering::SeqCst);
            let now = self.shared.now();
            if now >= settled {
                // Idle connections close; the others do after their answers.
                self.closing.close();
            }
            if now >= latest || (running == 0 && now >= settled) {
                break;
            }
            Timer::after(DRAIN_PAUSE).await;
        }
        self.ending.close();
        Timer::after(FLUSH_SPAN).await;
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Ends the node's threads at once. Requests that still run are cut; a planned stop calls
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

/// Returns the time of day in milliseconds; a clock before 1970 counts as 1970.
fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

async fn wait_stop(stopped: Receiver<()>) {
    // Nothing is ever sent; the channel's end is the word.
    let _ = stopped.recv().await;
}

/// Listeners of the traffic thread.
struct TrafficListeners {
    /// For clients.
    listener: TcpListener,
    /// For other nodes' work.
    work: TcpListener,
}

/// What the traffic thread is told.
struct TrafficSignals {
    /// A message for each change of the view.
    changed: Receiver<()>,
    /// Ends when connections of clients are to close.
    closing: Receiver<()>,
    /// Ends when the process is about to end.
    ending: Receiver<()>,
}

/// Serves clients and other nodes' work on this thread until `stop` ends.
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
    executor.spawn(sync_crashes(traffic.clone())).detach();
    executor.spawn(ask_leaving(traffic.clone())).detach();
    executor.spawn(follow_limits(traffic.clone())).detach();
    let listener = listeners.listener;
    let limiting = traffic.clone();
    let limits = move || limiting.current_view().config.limits;
    let turning = traffic.shared.clone();
    let turn = move || turning.turns.beat(turning.now());
    let handler = move |request| handle_client(traffic.clone(), request);
    let closing = signals.closing;
    let accept = accept_links(executor.clone(), listener, limits, closing, turn, handler);
    executor.spawn(accept).detach();
    async_io::block_on(executor.run(stop));
}
