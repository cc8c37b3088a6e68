//! The control thread: configuration, targets and their reports.

mod config;
mod targets;

use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use turnford_platform::ObjectClient;
use turnford_platform::VmClient;

use crate::state::NodeState;

/// Pause between looks whether held work can be served.
const PUMP_PAUSE: Duration = Duration::from_millis(5);

/// Runs all control work of a node; returns when `stop` does.
pub(crate) fn run_control(state: Arc<NodeState>, stop: impl Future<Output = ()>) {
    let executor = LocalExecutor::new();
    let objects = ObjectClient::new(state.settings.objects, state.budget.clone());
    let vms = VmClient::new(state.settings.vms, state.budget.clone());
    executor
        .spawn(config::follow_config(state.clone(), objects))
        .detach();
    executor
        .spawn(targets::follow_targets(state.clone(), vms))
        .detach();
    executor.spawn(targets::follow_reports(state)).detach();
    async_io::block_on(executor.run(stop));
}

/// Serves held work on a timer, for deadlines that pass while no call ends.
pub(crate) async fn pump_pools(state: Arc<NodeState>) {
    loop {
        Timer::after(PUMP_PAUSE).await;
        for pool in state.pools.load().values() {
            pool.pump();
        }
    }
}

/// Notes that the node can serve once both configuration and targets are known.
fn note_ready(state: &NodeState) {
    let known = !state.config.load().accounts.is_empty() && !state.pools.load().is_empty();
    if known && !state.ready.swap(true, Ordering::SeqCst) {
        log::info!(
            "ready: configuration version {}",
            state.config.load().version
        );
    }
}
