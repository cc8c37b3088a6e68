//! Follows the configuration: a few nodes of each hall watch the platform, the others are told.

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
use super::note_ready;
use crate::metrics::NodeEvent;
use crate::snapshot::ConfigSnapshot;
use crate::state::NodeState;

/// Prefix of configuration objects.
const CONFIG_PREFIX: &str = "config/";

/// Nodes of a hall that watch.
const WATCHER_COUNT: usize = 2;

/// Wait of one watch; each counts as a call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause between looks whether this node became a watcher.
const DUTY_PAUSE: Duration = Duration::from_millis(500);

/// First pause after a fault; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after faults.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Mean pause between reads by nodes that do not watch, in case all word got lost.
const CHECK_PAUSE: Duration = Duration::from_secs(180);

/// Longest wait for a page of changes.
const PULL_LIMIT: Duration = Duration::from_secs(1);

/// Bytes of changes on one page.
const PAGE_BYTES: usize = 100_000;

/// Changes on one page.
const PAGE_CHANGES: usize = 500;

/// Lists, then watches while this node has the duty, and lists again when the watch lost its place.
pub(super) async fn follow_config(context: Rc<ControlContext>) {
    let mut listed = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let alone = context.fleet_count() == 1;
        if !alone && !is_watcher(&context) && context.view.borrow().complete_to() > 0 {
            listed = false;
            Timer::after(DUTY_PAUSE).await;
            continue;
        }
        let after = context.view.borrow().complete_to();
        let answer = if listed {
            context
                .objects
                .watch(CONFIG_PREFIX, after, WATCH_WAIT)
                .await
        } else {
            context.objects.list(CONFIG_PREFIX).await
        };
        match answer {
            Ok(list) => {
                apply_list(&context, &list);
                listed = true;
                pause = FIRST_PAUSE;
            }
            Err(fault) => {
                log::warn!("configuration can't be read: {fault}");
                listed = listed && fault != PlatformError::HistoryExpired;
                Timer::after(context.jitter(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads the configuration now and then, whatever others say.
pub(super) async fn check_config(context: Rc<ControlContext>) {
    loop {
        Timer::after(context.jitter(CHECK_PAUSE)).await;
        if is_watcher(&context) {
            continue;
        }
        if let Ok(list) = context.objects.list(CONFIG_PREFIX).await {
            apply_list(&context, &list);
        }
    }
}

/// Compares a peer's configuration with this node's, and pulls what is missing.
pub(super) fn compare_mark(context: &Rc<ControlContext>, peer: SocketAddr, mark: ConfigDigest) {
    let own = context.view.borrow().digest();
    // The checksum finds a gap between two nodes that have seen the same newest change.
    let ahead = mark.complete_to > own.complete_to || mark.newest > own.newest;
    let differs = mark.newest == own.newest && mark.checksum != own.checksum;
    if ahead || differs {
        context
            .executor
            .spawn(pull_changes(context.clone(), peer, differs))
            .detach();
    }
}

/// Answers a pull with one page.
pub(super) fn answer_pull(context: &ControlContext, after: u64) -> PeerReply {
    let view = context.view.borrow();
    let mut changes = view.changes_after(after, PAGE_CHANGES);
    let mut bytes = 0;
    let fitting = changes.iter().take_while(|change| {
        bytes += change.key.len() + change.text.as_ref().map_or(0, String::len);
        bytes <= PAGE_BYTES
    });
    let fitting = fitting.count().max(1);
    let cut = fitting < changes.len() || changes.len() == PAGE_CHANGES;
    changes.truncate(fitting);
    let last = changes.last().map_or(after, |change| change.version);
    let complete_to = if cut {
        last.min(view.complete_to())
    } else {
        view.complete_to()
    };
    PeerReply::Config {
        changes,
        complete_to,
    }
}

/// Takes changes from peers.
pub(super) fn apply_changes(context: &ControlContext, changes: Vec<ConfigChange>) {
    let mut changed = false;
    for change in changes {
        changed |= context.view.borrow_mut().apply(change);
    }
    if changed {
        put_in_force(&context.state, context);
    }
    note_ready(&context.state);
}

/// Pulls pages until a short one.
async fn pull_changes(context: Rc<ControlContext>, peer: SocketAddr, from_start: bool) {
    let mut after = if from_start {
        0
    } else {
        context.view.borrow().complete_to()
    };
    loop {
        let request = PeerRequest::ConfigPull { after };
        let reply = context.peers.call(peer, &request, PULL_LIMIT).await;
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

/// Takes what the platform said, and tells the others what is new.
fn apply_list(context: &Rc<ControlContext>, list: &ObjectList) {
    let mut news = Vec::new();
    for object in &list.objects {
        let value = object.value.as_deref().unwrap_or("");
        let Some(envelope) = ConfigEnvelope::decode(value) else {
            log::error!("{} version {} is not readable", object.key, object.version);
            continue;
        };
        let change = ConfigChange {
            key: object.key.clone(),
            version: object.version,
            text: envelope.text,
        };
        if context.view.borrow_mut().apply(change.clone()) {
            news.push(Rumor::Config(change));
        }
    }
    let first = context.view.borrow().complete_to() == 0;
    context.view.borrow_mut().advance_complete_to(list.revision);
    if !news.is_empty() {
        put_in_force(&context.state, context);
    }
    // What the first list holds is no news: those who miss it pull it.
    if !first {
        super::rumors::tell_rumors(context, news);
    }
    note_ready(&context.state);
}

/// Makes a view the configuration of new requests. Its version only rises.
fn put_in_force(state: &NodeState, context: &ControlContext) {
    let before = state.config.load();
    let snapshot = ConfigSnapshot::build(&context.view.borrow(), &before);
    if snapshot.version < before.version {
        state.metrics.note(NodeEvent::Invariant);
        debug_assert!(false, "configuration would revert");
        return;
    }
    log::info!("configuration version {} in force", snapshot.version);
    state.metrics.note(NodeEvent::ConfigApplied);
    state.config.store(Arc::new(snapshot));
    super::shares::apply_limits(context);
}
