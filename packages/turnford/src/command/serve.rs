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

/// Pause between updates of the counter of dropped log lines.
const COUNT_PAUSE: Duration = Duration::from_secs(5);

/// Time for the last log lines to be written.
const LOG_PAUSE: Duration = Duration::from_millis(50);

/// Runs a node that serves routes until it is told to stop.
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
            eprintln!("signals can't be caught: {error}");
            return ExitStatus::Failed;
        }
    };
    let node = match ServeNode::start(settings.clone()) {
        Ok(node) => node,
        Err(error) => {
            log::error!("the node can't start: {error}");
            eprintln!("{}: the node can't start: {error}", path.display());
            std::thread::sleep(LOG_PAUSE);
            return ExitStatus::Failed;
        }
    };
    let status = async_io::block_on(run_until_stopped(node, signals, &path, settings, &drops));
    std::thread::sleep(LOG_PAUSE);
    status
}

fn path_from_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

fn read_settings(path: &Path) -> Option<ServeSettings> {
    let text = super::read_file(path)?;
    match ServeSettings::parse(&path.display().to_string(), &text) {
        Ok(settings) => Some(settings),
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            None
        }
    }
}

/// The reading ends of pipes that the signals' handlers write to.
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
        log::error!("signals can't be read: {error}");
        std::future::pending::<()>().await;
    }
}

/// What the main thread waits for.
enum NodeCall {
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
            NodeCall::Stop
        };
        let reload = async {
            wait_signal(&mut signals.reload).await;
            NodeCall::Reload
        };
        let count = async {
            Timer::after(COUNT_PAUSE).await;
            NodeCall::Count
        };
        match stop.or(reload).or(count).await {
            NodeCall::Stop => break,
            NodeCall::Reload => reload_settings(path, &mut settings),
            NodeCall::Count => node.set_log_drops(drops.load(Ordering::Relaxed)),
        }
    }
    let cut = node.drain().await;
    if cut > 0 {
        log::error!("stop ends: {cut} requests still ran at the end of the grace time");
    } else {
        log::info!("stop ends: every request ended");
    }
    // The process's end closes what is left; waiting for the threads would only delay it.
    if cut > 0 {
        return ExitStatus::DrainTimeout;
    }
    node.stop();
    ExitStatus::Success
}

/// Reads the settings again, and says what changed. A file that can't be used changes nothing.
fn reload_settings(path: &Path, settings: &mut ServeSettings) {
    let Some(read) = read_settings(path) else {
        log::error!("reload refused: the settings can't be used; the old ones stay in force");
        return;
    };
    if read == *settings {
        log::info!("reload: nothing changed");
        return;
    }
    log::warn!("reload: the settings changed; addresses, name and bounds hold from the next start");
    *settings = read;
}
