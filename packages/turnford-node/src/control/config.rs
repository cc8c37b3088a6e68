//! Follows the configuration: a few nodes per hall watch the platform and notify the others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use turnford_fleet::rank_members;
use turnford_fleet::ConfigChange;
use turnford_fleet::ConfigDigest;
use turnford_fleet::ConfigEnvelope;
use turnford_fleet::Duty;
use turnford_fleet::Rumor;
use turnford_platform::ObjectList;
use turnford_platform::PlatformError;
use turnford_wire::PeerReply;
use turnford_wire::PeerRequest;

use super::context::ControlContext;
use super::update_ready;
use crate::metrics::NodeEvent;
use crate::snapshot::ConfigSnapshot;
use crate::state::NodeState;

/// Key prefix of configuration objects.
const CONFIG_PREFIX: &str = "config/";

/// Number of nodes per hall that watch the platform.
const WATCHER_COUNT: usize = 2;

/// Duration of one watch call. Each call counts against the platform's call budget.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks for whether this node has become a watcher.
const DUTY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Backoff after the first error; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after errors.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Mean interval between reads by nodes that don't watch, in case all notifications were lost.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_secs(180);

/// Time limit of a pull of one page of changes.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the changes on one page, in bytes.
const MAX_PAGE_BYTES: usize = 100_000;

/// Maximum number of changes on one page.
const MAX_PAGE_CHANGES: usize = 500;

/// Lists the configuration and then watches it while this node is a watcher. Lists again when the
/// platform no longer has the history since the watch's position.
pub(super) async fn watch_config(context: Rc<ControlContext>) {
    let mut listed = false;
    let mut pause = MIN_BACKOFF;
    loop {
        let alone = context.fleet_count() == 1;
        if !alone && !is_watcher(&context) && context.view.borrow().complete_to() > 0 {
            listed = false;
            Timer::after(DUTY_POLL_INTERVAL).await;
            continue;
        }
        let after = context.view.borrow().complete_to();
        let response = if listed {
            context
                .objects
                .watch(CONFIG_PREFIX, after, WATCH_TIMEOUT)
                .await
        } else {
            context.objects.list(CONFIG_PREFIX).await
        };
        match response {
            Ok(list) => {
                apply_list(&context, &list);
                listed = true;
                pause = MIN_BACKOFF;
            }
            Err(error) => {
                log::warn!("configuration can't be read: {error}");
                listed = listed && error != PlatformError::HistoryExpired;
                Timer::after(context.jitter(pause)).await;
                pause = (pause * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads the configuration periodically, independent of notifications.
pub(super) async fn poll_config(context: Rc<ControlContext>) {
    loop {
        Timer::after(context.jitter(CONFIG_POLL_INTERVAL)).await;
        if is_watcher(&context) {
            continue;
        }
        if let Ok(list) = context.objects.list(CONFIG_PREFIX).await {
            apply_list(&context, &list);
        }
    }
}

/// Compares a peer's configuration with this node's and pulls missing changes.
pub(super) fn compare_digest(context: &Rc<ControlContext>, peer: SocketAddr, digest: ConfigDigest) {
    let own = context.view.borrow().digest();
    // The checksum reveals differences between two nodes with the same newest change.
    let ahead = digest.complete_to > own.complete_to || digest.newest > own.newest;
    let differs = digest.newest == own.newest && digest.checksum != own.checksum;
    if ahead || differs {
        context
            .executor
            .spawn(pull_changes(context.clone(), peer, differs))
            .detach();
    }
}

/// Handles a pull request by returning one page.
pub(super) fn handle_config_pull(context: &ControlContext, after: u64) -> PeerReply {
    let view = context.view.borrow();
    let mut changes = view.changes_after(after, MAX_PAGE_CHANGES);
    let mut bytes = 0;
    let fitting = changes.iter().take_while(|change| {
        bytes += change.key.len() + change.text.as_ref().map_or(0, String::len);
        bytes <= MAX_PAGE_BYTES
    });
    let fitting = fitting.count().max(1);
    let is_truncated = fitting < changes.len() || changes.len() == MAX_PAGE_CHANGES;
    changes.truncate(fitting);
    let last = changes.last().map_or(after, |change| change.version);
    let complete_to = if is_truncated {
        last.min(view.complete_to())
    } else {
        view.complete_to()
    };
    PeerReply::Config {
        changes,
        complete_to,
    }
}

/// Applies changes from peers.
pub(super) fn apply_changes(context: &ControlContext, changes: Vec<ConfigChange>) {
    let mut changed = false;
    for change in changes {
        changed |= context.view.borrow_mut().apply(change);
    }
    if changed {
        activate_config(&context.state, context);
    }
    update_ready(&context.state);
}

/// Pulls pages until one brings nothing new.
async fn pull_changes(context: Rc<ControlContext>, peer: SocketAddr, from_start: bool) {
    let mut after = if from_start {
        0
    } else {
        context.view.borrow().complete_to()
    };
    loop {
        let request = PeerRequest::ConfigPull { after };
        let reply = context.peers.call(peer, &request, PULL_TIMEOUT).await;
        let Ok(PeerReply::Config {
            changes,
            complete_to,
        }) = reply
        else {
            return;
        };
        let last = changes.last().map(|change| change.version);
        apply_changes(&context, changes);
        context.view.borrow_mut().advance_complete_to(complete_to);
        match last {
            Some(last) if last > after => after = last,
            _ => return,
        }
    }
}

fn is_watcher(context: &ControlContext) -> bool {
    let members = context.members.borrow();
    let own = members.own();
    let hall = own.hall.clone();
    let others = members.live().filter(|record| record.update.hall == hall);
    let others = others.map(|record| record.update.name.as_str());
    let names = others.chain(std::iter::once(own.name.as_str()));
    let ranked = rank_members(&Duty::Watch(hall.clone()), names, WATCHER_COUNT);
    ranked.contains(&own.name.as_str())
}

/// Applies a list from the platform and publishes new changes to the other nodes.
fn apply_list(context: &Rc<ControlContext>, list: &ObjectList) {
    let mut updates = Vec::new();
    for object in &list.objects {
        let value = object.value.as_deref().unwrap_or("");
        let Some(envelope) = ConfigEnvelope::decode(value) else {
            log::error!("{} version {} can't be decoded", object.key, object.version);
            continue;
        };
        let change = ConfigChange {
            key: object.key.clone(),
            version: object.version,
            text: envelope.text,
        };
        if context.view.borrow_mut().apply(change.clone()) {
            updates.push(Rumor::Config(change));
        }
    }
    let first = context.view.borrow().complete_to() == 0;
    context.view.borrow_mut().advance_complete_to(list.revision);
    if !updates.is_empty() {
        activate_config(&context.state, context);
    }
    // The first list isn't published: nodes that lack a part of it pull it.
    if !first {
        super::rumors::publish_rumors(context, updates);
    }
    update_ready(&context.state);
}

/// Activates the current view for new requests. The active version never decreases.
fn activate_config(state: &NodeState, context: &ControlContext) {
    let before = state.config.load();
    let snapshot = ConfigSnapshot::build(&context.view.borrow(), &before);
    if snapshot.version < before.version {
        state.metrics.record_event(NodeEvent::Invariant);
        debug_assert!(false, "configuration would revert");
        return;
    }
    log::info!("configuration version {} activated", snapshot.version);
    state.metrics.record_event(NodeEvent::ConfigApplied);
    state.config.store(Arc::new(snapshot));
    super::shares::apply_limits(context);
}
