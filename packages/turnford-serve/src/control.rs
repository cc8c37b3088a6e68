//! The control thread: follows the configuration, the targets and the other nodes.

mod backup;
mod config;
mod context;
mod follow;
mod ledger;
mod members;
mod notify;
mod peers;
mod source;
mod suspects;
mod suspend;
mod targets;
mod view;

use std::future::Future;
use std::sync::Arc;

use async_net::TcpListener;

use turnford_policy::ClientLimits;

use crate::accept::answer_metrics;
use crate::accept::answer_readiness;
use crate::acceptor::accept_connections;
use crate::acceptor::Acceptor;
use crate::shared::ServeShared;
use context::ControlContext;

/// Maximum header size of a probe or a metrics request, in bytes.
const MAX_HEADER_BYTES: usize = 8192;

fn probe_limits() -> ClientLimits {
    ClientLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        ..ClientLimits::default()
    }
}

/// Listeners of the control thread.
pub(crate) struct ControlListeners {
    /// Accepts the platform's readiness probe.
    pub(crate) ready: TcpListener,
    /// Accepts metrics readers.
    pub(crate) metrics: TcpListener,
    /// Accepts other nodes.
    pub(crate) inner: TcpListener,
}

/// Runs the control tasks of a node until `stop` completes.
pub(crate) fn run_control(
    shared: Arc<ServeShared>,
    listeners: ControlListeners,
    stop: impl Future<Output = ()>,
) {
    let context = ControlContext::new(shared.clone());
    let executor = context.executor.clone();
    // These connections are few and short; they end with the process.
    let (_open, closing) = async_channel::bounded::<()>(1);
    let probe_shared = shared.clone();
    let handler = move |request| {
        let response = answer_readiness(&probe_shared, request);
        async move { response }
    };
    let acceptor = Acceptor {
        executor: executor.clone(),
        listener: listeners.ready,
        closing: closing.clone(),
        deliveries: Arc::default(),
    };
    let probes = accept_connections(acceptor, probe_limits, |_| (), || Some(()), handler);
    executor.spawn(probes).detach();
    let handler = move |request| {
        let response = answer_metrics(&shared, request);
        async move { response }
    };
    let acceptor = Acceptor {
        executor: executor.clone(),
        listener: listeners.metrics,
        closing,
        deliveries: Arc::default(),
    };
    let readers = accept_connections(acceptor, probe_limits, |_| (), || Some(()), handler);
    executor.spawn(readers).detach();
    let peers = peers::serve_peers(context.clone(), listeners.inner);
    executor.spawn(peers).detach();
    executor
        .spawn(source::follow_view(context.clone()))
        .detach();
    executor
        .spawn(view::pull_initial_view(context.clone()))
        .detach();
    executor
        .spawn(targets::expire_lapsed(context.clone()))
        .detach();
    executor
        .spawn(members::follow_members(context.clone()))
        .detach();
    executor
        .spawn(suspects::persist_suspects(context.clone()))
        .detach();
    executor
        .spawn(backup::back_up_streams(context.clone()))
        .detach();
    executor
        .spawn(ledger::keep_ledger(context.clone()))
        .detach();
    executor
        .spawn(suspend::watch_suspend(context.clone()))
        .detach();
    executor.spawn(notify::notify_updates(context)).detach();
    async_io::block_on(executor.run(stop));
}
