//! `turnford serve`.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

use turnford_adapter::SETTINGS_VARIABLE;
use turnford_config::ServeSettings;
use turnford_serve::ServeNode;

use crate::exit::ExitStatus;
use crate::logging::start_queue_logging;

/// Interval between updates of the metric of dropped log lines.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the log writer to write the last lines before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs a node that serves routes until SIGTERM or SIGINT.
pub(super) fn run_serve(config: Option<PathBuf>) -> ExitStatus {
    let Some(path) = config.or_else(path_from_environment) else {
        eprintln!("turnford: serve: --config is missing");
        return ExitStatus::Usage;
    };
    let Some(settings) = read_settings(&path) else {
        return ExitStatus::Failed;
    };
    let drops = Arc::new(AtomicU64::new(0));
    if let Err(message) = start_queue_logging(&settings.log, drops.clone()) {
        eprintln!("{message}");
        return ExitStatus::Failed;
    }
    let signals = match SignalPipes::open() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signal handlers can't be installed: {error}");
            return ExitStatus::Failed;
        }
    };
    let node = match ServeNode::start(settings.clone()) {
        Ok(node) => node,
        Err(error) => {
            log::error!("the node can't start: {error}");
            eprintln!("{}: the node can't start: {error}", path.display());
            std::thread::sleep(LOG_FLUSH_TIME);
            return ExitStatus::Failed;
        }
    };
    let status = async_io::block_on(run_until_stopped(node, signals, &path, settings, &drops));
    std::thread::sleep(LOG_FLUSH_TIME);
    status
}

fn path_from_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

fn read_settings(path: &Path) -> Option<ServeSettings> {
    let text = super::read_file(path)?;
    match ServeSettings::parse(&path.display().to_string(), &text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            None
        }
    }
}

/// Read ends of the pipes to which the signal handlers write.
struct SignalPipes {
    stop: Async<UnixStream>,
    reload: Async<UnixStream>,
}

impl SignalPipes {
    fn open() -> io::Result<Self> {
        Ok(Self {
            stop: catch_signals(&[SIGTERM, SIGINT])?,
            reload: catch_signals(&[SIGHUP])?,
        })
    }
}

fn catch_signals(signals: &[i32]) -> io::Result<Async<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Async::new(reader)
}

async fn wait_signal(pipe: &mut Async<UnixStream>) {
    let mut byte = [0];
    if let Err(error) = pipe.read_exact(&mut byte).await {
        log::error!("signal pipe can't be read: {error}");
        std::future::pending::<()>().await;
    }
}

/// Event that wakes the main thread.
enum MainEvent {
    Stop,
    Reload,
    Count,
}

async fn run_until_stopped(
    node: ServeNode,
    mut signals: SignalPipes,
    path: &Path,
    mut settings: ServeSettings,
    drops: &AtomicU64,
) -> ExitStatus {
    loop {
        let stop = async {
            wait_signal(&mut signals.stop).await;
            MainEvent::Stop
        };
        let reload = async {
            wait_signal(&mut signals.reload).await;
            MainEvent::Reload
        };
        let count = async {
            Timer::after(COUNT_INTERVAL).await;
            MainEvent::Count
        };
        match stop.or(reload).or(count).await {
            MainEvent::Stop => break,
            MainEvent::Reload => reload_settings(path, &mut settings),
            MainEvent::Count => node.set_log_drops(drops.load(Ordering::Relaxed)),
        }
    }
    let unfinished = node.drain().await;
    if unfinished > 0 {
        log::error!("stopped: {unfinished} requests still running at the end of the grace period");
    } else {
        log::info!("stopped: all requests ended");
    }
    // The exit of the process closes what is left; waiting for the threads would only delay it.
    if unfinished > 0 {
        return ExitStatus::DrainTimeout;
    }
    node.stop();
    ExitStatus::Success
}

/// Reloads the settings and logs whether they changed. An invalid file leaves the old ones in force.
fn reload_settings(path: &Path, settings: &mut ServeSettings) {
    let Some(read) = read_settings(path) else {
        log::error!("reload refused: invalid settings; the previous ones stay in force");
        return;
    };
    if read == *settings {
        log::info!("reload: nothing changed");
        return;
    }
    log::warn!("reload: settings changed; addresses, name and limits apply after a restart");
    *settings = read;
}
