//! `turnford node`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use turnford_config::NodeSettings;
use turnford_node::Node;
use turnford_node::NodeOptions;
use turnford_policy::PoolSettings;
use turnford_policy::RoutingPolicy;

use crate::cli::NodeArgs;
use crate::exit::ExitStatus;
use crate::logging::start_logging;

/// Pause between looks for a planned stop.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Time in which the last answers reach their callers after the last request ended.
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

/// Runs a node until it was drained.
pub(super) fn run_node(arguments: &NodeArgs) -> ExitStatus {
    let Some(text) = super::read_file(&arguments.config) else {
        return ExitStatus::Failed;
    };
    let file = arguments.config.display().to_string();
    let settings = match NodeSettings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            return ExitStatus::Failed;
        }
    };
    if let Err(message) = start_logging(&settings.log) {
        eprintln!("{message}");
        return ExitStatus::Failed;
    }
    let options = node_options(arguments.policy, arguments.admits);
    let asked = match catch_signals() {
        Ok(asked) => asked,
        Err(error) => {
            eprintln!("signals can't be caught: {error}");
            return ExitStatus::Failed;
        }
    };
    match Node::start(settings, options) {
        Ok(node) => async_io::block_on(run_until_drained(node, &asked)),
        Err(error) => {
            log::error!("the node can't start: {error}");
            eprintln!("{file}: the node can't start: {error}");
            ExitStatus::Failed
        }
    }
}

/// Returns the options for a policy; baselines neither hold work nor judge health.
pub(super) fn node_options(policy: RoutingPolicy, admits: bool) -> NodeOptions {
    let mut pool = PoolSettings {
        policy,
        ..PoolSettings::default()
    };
    if policy != RoutingPolicy::Estimated {
        pool.queues_work = false;
        pool.health = None;
    }
    let admission_control = admits && policy == RoutingPolicy::Estimated;
    NodeOptions {
        pool,
        admission_control,
    }
}

/// Returns a flag that the signals of a planned stop set.
fn catch_signals() -> std::io::Result<Arc<AtomicBool>> {
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, asked.clone())?;
    }
    Ok(asked)
}

async fn run_until_drained(node: Node, asked: &AtomicBool) -> ExitStatus {
    while !node.is_draining() && !asked.load(Ordering::SeqCst) {
        Timer::after(STOP_PAUSE).await;
    }
    let cut = node.drain().await;
    Timer::after(FLUSH_PAUSE).await;
    node.stop();
    if cut > 0 {
        log::error!("planned stop: {cut} requests still ran at the end of the grace time");
        return ExitStatus::DrainTimeout;
    }
    log::info!("planned stop: every request ended");
    ExitStatus::Success
}
