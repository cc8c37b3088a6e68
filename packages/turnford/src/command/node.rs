//! `turnford node`.

use std::time::Duration;

use async_io::Timer;
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
    match Node::start(settings, options) {
        Ok(node) => async_io::block_on(run_until_drained(node)),
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
        pool.holds = false;
        pool.health = None;
    }
    let admits = admits && policy == RoutingPolicy::Estimated;
    NodeOptions { pool, admits }
}

async fn run_until_drained(node: Node) -> ExitStatus {
    while !node.is_draining() {
        Timer::after(STOP_PAUSE).await;
    }
    let cut = node.drain().await;
    Timer::after(FLUSH_PAUSE).await;
    node.stop();
    if cut > 0 {
        log::error!("planned stop: {cut} requests still ran at the end of the grace time");
        return ExitStatus::Cut;
    }
    log::info!("planned stop: every request ended");
    ExitStatus::Done
}
