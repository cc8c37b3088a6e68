//! The control thread: membership, configuration, targets, load digests, claims, leases, shares and
//! orders.

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

/// Interval between dispatches of queued work.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Runs all control tasks of a node until `stop` completes.
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
        .spawn(members::run_membership(context.clone()))
        .detach();
    executor
        .spawn(config::watch_config(context.clone()))
        .detach();
    executor
        .spawn(config::poll_config(context.clone()))
        .detach();
    executor
        .spawn(targets::poll_targets(context.clone()))
        .detach();
    executor
        .spawn(targets::poll_reports(context.clone()))
        .detach();
    executor
        .spawn(targets::relay_signals(context.clone(), inbox.signals))
        .detach();
    executor
        .spawn(caches::poll_cache_events(context.clone()))
        .detach();
    executor.spawn(orders::run_orders(context.clone())).detach();
    executor
        .spawn(digests::exchange_digests(context.clone()))
        .detach();
    executor
        .spawn(claims::serve_claims(context.clone(), inbox.claims))
        .detach();
    executor
        .spawn(shares::serve_share_fetches(context.clone(), inbox.shares))
        .detach();
    executor.spawn(shares::run_shares(context)).detach();
    async_io::block_on(executor.run(stop));
}

/// Dispatches queued work on a timer, for deadlines that pass while no call ends.
pub(crate) async fn dispatch_pools(state: Arc<NodeState>) {
    loop {
        Timer::after(DISPATCH_INTERVAL).await;
        for pool in state.pools.load().values() {
            pool.dispatch();
        }
    }
}

/// Marks the node as ready once configuration, targets and lenders are known.
fn update_ready(state: &NodeState) {
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
