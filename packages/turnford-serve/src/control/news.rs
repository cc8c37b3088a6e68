//! News between nodes: who knows a newer configuration or newer targets, and how to get them.
//!
//! The store is the usual source. Peers matter to a node that the store turns away, or whose watch
//! went silent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use serde_json::Value;

use turnford_policy::TargetSpec;
use turnford_wire::RouteReply;
use turnford_wire::RouteRequest;
use turnford_wire::TargetEntry;
use turnford_wire::ViewMark;

use super::config::take_spec;
use super::context::ControlContext;
use super::targets::adopt_targets;

/// Nodes that each node tells of something new; in a few rounds all know.
const NEWS_FANOUT: usize = 3;

/// Time in which changes are gathered into one piece of news.
const NEWS_PAUSE: Duration = Duration::from_millis(40);

/// Time that a node's own watch has before it asks a peer that knows more.
const WATCH_PATIENCE: Duration = Duration::from_millis(800);

/// Longest wait for a peer's answer.
const PULL_LIMIT: Duration = Duration::from_millis(1000);

/// Longest wait for a peer to note news.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// Tells a few peers when this node has learned something.
pub(super) async fn spread_news(context: Rc<ControlContext>) {
    let mut told = ViewMark::default();
    loop {
        context.learned.1.recv().await.ok();
        Timer::after(NEWS_PAUSE).await;
        let mark = context.mark();
        if mark == told {
            continue;
        }
        told = mark;
        let from = context.shared.settings.inner;
        let peers = context.members.borrow_mut().sample(NEWS_FANOUT);
        for peer in peers {
            let context = context.clone();
            let executor = context.executor.clone();
            let tell = async move {
                let news = RouteRequest::News { from, mark };
                let call = context.peers.call(peer.address, &news, NEWS_LIMIT);
                // A peer that does not hear it learns it from the store or by a ping.
                let _: Result<RouteReply, _> = call.await;
            };
            executor.spawn(tell).detach();
        }
    }
}

/// Asks a peer that knows more than this node, at once where the store is away.
pub(super) fn compare_mark(context: &Rc<ControlContext>, peer: SocketAddr, mark: ViewMark) {
    let own = context.mark();
    if mark.config > own.config {
        let pull = pull_config(context.clone(), peer, mark.config);
        context.executor.spawn(pull).detach();
    }
    if mark.targets > own.targets {
        let pull = pull_targets(context.clone(), peer, mark.targets);
        context.executor.spawn(pull).detach();
    }
}

async fn pull_config(context: Rc<ControlContext>, peer: SocketAddr, version: u64) {
    if !context.is_config_lost.get() {
        Timer::after(WATCH_PATIENCE).await;
    }
    let after = context.mark().config;
    if after >= version || context.pulls_config.replace(true) {
        return;
    }
    let request = RouteRequest::ConfigPull { after };
    let reply = context.peers.call(peer, &request, PULL_LIMIT).await;
    context.pulls_config.set(false);
    let Ok(RouteReply::Config(Some(text))) = reply else {
        return;
    };
    match serde_json::from_str::<Value>(&text) {
        Ok(spec) => take_spec(&context, &spec, &format!("peer {peer}")),
        Err(error) => log::error!("configuration of peer {peer} refused: {error}"),
    }
}

async fn pull_targets(context: Rc<ControlContext>, peer: SocketAddr, revision: u64) {
    if !context.are_targets_lost.get() {
        Timer::after(WATCH_PATIENCE).await;
    }
    let after = context.mark().targets;
    if after >= revision || context.pulls_targets.replace(true) {
        return;
    }
    let request = RouteRequest::TargetPull { after };
    let reply = context.peers.call(peer, &request, PULL_LIMIT).await;
    context.pulls_targets.set(false);
    if let Ok(RouteReply::Targets(Some((revision, entries)))) = reply {
        let targets = entries.into_iter().map(target_spec);
        adopt_targets(&context, peer, revision, targets.collect());
    }
}

/// Answers a configuration pull.
pub(super) fn answer_config_pull(context: &ControlContext, after: u64) -> RouteReply {
    let is_newer = context.mark().config > after;
    let text = context.config_spec.borrow().as_ref().map(Value::to_string);
    RouteReply::Config(text.filter(|_| is_newer))
}

/// Answers a target pull.
pub(super) fn answer_target_pull(context: &ControlContext, after: u64) -> RouteReply {
    let revision = context.mark().targets;
    if revision <= after {
        return RouteReply::Targets(None);
    }
    let targets = context.shared.view.load().targets.clone();
    let entries = targets.values().map(target_entry);
    RouteReply::Targets(Some((revision, entries.collect())))
}

fn target_entry(target: &TargetSpec) -> TargetEntry {
    TargetEntry {
        id: target.id.to_string(),
        service: target.service.to_string(),
        address: target.address,
        hall: target.hall.to_string(),
        slots: target.slots,
        leaving: target.leaving,
    }
}

fn target_spec(entry: TargetEntry) -> TargetSpec {
    TargetSpec {
        id: entry.id.into(),
        service: entry.service.into(),
        address: entry.address,
        hall: entry.hall.into(),
        slots: entry.slots,
        leaving: entry.leaving,
    }
}
