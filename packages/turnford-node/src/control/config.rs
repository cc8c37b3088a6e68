//! Follows the configuration at the platform.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use turnford_fleet::ConfigView;
use turnford_platform::ObjectClient;
use turnford_platform::ObjectList;
use turnford_platform::PlatformFault;

use super::note_ready;
use crate::metrics::NodeEvent;
use crate::snapshot::ConfigSnapshot;
use crate::state::NodeState;

/// Prefix of configuration objects.
const CONFIG_PREFIX: &str = "config/";

/// Wait of one watch; each counts as a call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// First pause after a fault; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after faults.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Lists, then watches, and lists again when the watch lost its place.
pub(super) async fn follow_config(state: Arc<NodeState>, objects: ObjectClient) {
    let mut view = ConfigView::default();
    let mut listed = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let answer = if listed {
            objects
                .watch(CONFIG_PREFIX, view.complete_to(), WATCH_WAIT)
                .await
        } else {
            objects.list(CONFIG_PREFIX).await
        };
        match answer {
            Ok(list) => {
                apply_list(&state, &mut view, &list);
                listed = true;
                pause = FIRST_PAUSE;
            }
            Err(fault) => {
                log::warn!("configuration can't be read: {fault}");
                listed = listed && fault != PlatformFault::HistoryGone;
                Timer::after(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn apply_list(state: &NodeState, view: &mut ConfigView, list: &ObjectList) {
    let mut changed = false;
    for object in &list.objects {
        let value = object.value.as_deref().unwrap_or("");
        match view.apply_stored(&object.key, object.version, value) {
            Some(true) => changed = true,
            Some(false) => state.metrics.note(NodeEvent::ConfigOld),
            None => log::error!("{} version {} is not readable", object.key, object.version),
        }
    }
    view.note_complete(list.revision);
    if changed {
        put_in_force(state, view);
    }
    note_ready(state);
}

/// Makes a view the configuration of new requests. Its version only rises.
fn put_in_force(state: &NodeState, view: &ConfigView) {
    let before = state.config.load();
    let snapshot = ConfigSnapshot::build(view, &before);
    if snapshot.version < before.version {
        state.metrics.note(NodeEvent::Invariant);
        debug_assert!(false, "configuration would revert");
        return;
    }
    log::info!("configuration version {} in force", snapshot.version);
    let now = state.clock.now();
    {
        let mut limits = state.limits();
        for account in snapshot.accounts.values() {
            if let Some(limit) = limits.get_mut(&account.name) {
                limit.set(now, account.rate, account.concurrency);
            }
        }
    }
    state.metrics.note(NodeEvent::ConfigApplied);
    state.config.store(Arc::new(snapshot));
}
