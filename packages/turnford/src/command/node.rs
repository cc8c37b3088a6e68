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

/// Interval at which the main thread checks for a planned stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the last request ended for its response to reach the client.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs a node until it is drained.
pub(super) fn run_node(arguments: &NodeArgs) -> ExitStatus {
    let Some(text) = super::read_file(&arguments.config) else {
        return ExitStatus::Failed;
    };
    let file = arguments.config.display().to_string();
    let settings = match NodeSettings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            return ExitStatus::Failed;
        }
    };
    if let Err(message) = start_logging(&settings.log) {
        eprintln!("{message}");
        return ExitStatus::Failed;
    }
    let options = node_options(arguments.policy, arguments.admits);
    let stop_requested = match catch_signals() {
        Ok(stop_requested) => stop_requested,
        Err(error) => {
            eprintln!("signal handlers can't be installed: {error}");
            return ExitStatus::Failed;
        }
    };
    match Node::start(settings, options) {
        Ok(node) => async_io::block_on(run_until_drained(node, &stop_requested)),
        Err(error) => {
            log::error!("the node can't start: {error}");
            eprintln!("{file}: the node can't start: {error}");
            ExitStatus::Failed
        }
    }
}

/// Returns the options for a policy; the baseline policies use neither queues nor health checks.
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

/// Returns a flag that is set by SIGTERM and SIGINT.
fn catch_signals() -> std::io::Result<Arc<AtomicBool>> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    Ok(stop_requested)
}

async fn run_until_drained(node: Node, stop_requested: &AtomicBool) -> ExitStatus {
    while !node.is_draining() && !stop_requested.load(Ordering::SeqCst) {
        Timer::after(STOP_CHECK_INTERVAL).await;
    }
    let unfinished = node.drain().await;
    Timer::after(FLUSH_TIME).await;
    node.stop();
    if unfinished > 0 {
        log::error!(
            "planned stop: {unfinished} requests still running at the end of the grace period"
        );
        return ExitStatus::DrainTimeout;
    }
    log::info!("planned stop: all requests ended");
    ExitStatus::Success
}
