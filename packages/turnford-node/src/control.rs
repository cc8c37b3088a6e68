//! The control thread: members, configuration, targets, digests, claims and shares.

mod caches;
mod claims;
mod config;
mod context;
mod digests;
mod leases;
mod lenders;
mod members;
mod orders;
mod peers;
mod rumors;
mod shares;
mod targets;

use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpListener;

use crate::inbox::ControlInbox;
use crate::state::NodeState;
use context::ControlContext;

/// Pause between looks whether held work can be served.
const PUMP_PAUSE: Duration = Duration::from_millis(5);

/// Runs all control work of a node; returns when `stop` does.
pub(crate) fn run_control(
    state: Arc<NodeState>,
    inbox: ControlInbox,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let context = Rc::new(ControlContext::new(state));
    let executor = context.executor.clone();
    executor
        .spawn(peers::serve_peers(context.clone(), listener))
        .detach();
    executor
        .spawn(members::follow_members(context.clone()))
        .detach();
    executor
        .spawn(config::follow_config(context.clone()))
        .detach();
    executor
        .spawn(config::check_config(context.clone()))
        .detach();
    executor
        .spawn(targets::follow_targets(context.clone()))
        .detach();
    executor
        .spawn(targets::follow_reports(context.clone()))
        .detach();
    executor
        .spawn(targets::follow_signals(context.clone(), inbox.signals))
        .detach();
    executor
        .spawn(caches::follow_caches(context.clone()))
        .detach();
    executor
        .spawn(orders::give_orders(context.clone()))
        .detach();
    executor
        .spawn(digests::exchange_digests(context.clone()))
        .detach();
    executor
        .spawn(claims::take_claims(context.clone(), inbox.claims))
        .detach();
    executor
        .spawn(shares::take_fetches(context.clone(), inbox.shares))
        .detach();
    executor.spawn(shares::follow_shares(context)).detach();
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

/// Notes that the node can serve once configuration, targets and lenders are known.
fn note_ready(state: &NodeState) {
    let known = !state.config.load().accounts.is_empty()
        && !state.pools.load().is_empty()
        && state.lenders_known.load(Ordering::SeqCst);
    if known && !state.ready.swap(true, Ordering::SeqCst) {
        log::info!(
            "ready: configuration version {}",
            state.config.load().version
        );
    }
}
