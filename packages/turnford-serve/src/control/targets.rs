//! The targets, as they register themselves in the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::decode_target;
use turnford_adapter::StoreObject;
use turnford_adapter::TARGET_KIND;
use turnford_policy::ExpiredTargets;
use turnford_policy::TargetId;
use turnford_policy::TargetList;
use turnford_policy::TargetSpec;

use super::context::ControlContext;
use super::follow::follow_kind;
use super::follow::FollowedKind;
use super::follow::StoreUpdate;
use crate::shared::RouteView;

/// Interval for checking for lapsed targets that did not return.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the targets in the store until dropped.
pub(super) async fn follow_targets(context: Rc<ControlContext>) {
    let owned = context.clone();
    let handle = move |update| {
        apply_update(&owned, &update);
        if publish(&owned) {
            owned.signal_update();
        }
    };
    let kind = FollowedKind {
        kind: TARGET_KIND,
        state: |context| &context.target_state,
    };
    follow_kind(context, kind, handle).await;
}

fn apply_update(context: &ControlContext, update: &StoreUpdate) {
    let now = context.now();
    let mut list = context.targets.borrow_mut();
    match update {
        StoreUpdate::List(objects) => {
            let entries = objects.objects.iter().filter_map(decode_entry);
            list.replace_all(now, objects.position, entries.collect());
        }
        StoreUpdate::Events(events, position) => {
            list.advance_to(*position);
            for event in events {
                let name = &event.object.name;
                match decode_entry(&event.object) {
                    _ if event.is_deleted => list.remove(now, name),
                    Some(target) => list.put(target),
                    None => list.remove_invalid(name),
                }
            }
        }
        StoreUpdate::Lost => list.record_store_lost(now),
        StoreUpdate::Recovered => list.record_store_recovered(now),
    }
}

fn decode_entry(object: &StoreObject) -> Option<TargetSpec> {
    let decoded = decode_target(object);
    decoded
        .map_err(|error| log::error!("target refused: {error}"))
        .ok()
}

/// Removes lapsed targets that did not return, for as long as the node runs.
pub(super) async fn expire_lapsed(context: Rc<ControlContext>) {
    loop {
        Timer::after(LAPSE_CHECK_INTERVAL).await;
        let now = context.now();
        let expired = context.targets.borrow_mut().expire(now);
        for id in &expired.removed {
            log::info!("target={id} removed: it did not return after the store did");
        }
        for id in &expired.reinstated {
            log::info!(
                "target={id} reinstated: it is alive, but was removed before the store was restored"
            );
        }
        if expired != ExpiredTargets::default() {
            publish(&context);
        }
    }
}

/// Publishes the targets to the traffic thread. Returns whether they changed.
pub(super) fn publish(context: &ControlContext) -> bool {
    let list = context.targets.borrow();
    let shared = &context.shared;
    let old = shared.view.load().targets.clone();
    if *old == *list.targets() {
        return false;
    }
    log_changes(&old, &list);
    shared.metrics.targets.set(list.targets().len() as u64);
    let targets = Arc::new(list.targets().clone());
    shared.set_view(|view| RouteView {
        targets: targets.clone(),
        ..view.clone()
    });
    context.view_changed.notify(usize::MAX);
    true
}

fn log_changes(old: &BTreeMap<TargetId, TargetSpec>, list: &TargetList) {
    let position = list.position();
    for (id, target) in list.targets() {
        if old.get(id) != Some(target) {
            log::info!(
                "target={id} service={} address={} hall={} leaving={} born={} version={} place={position}",
                target.service,
                target.address,
                target.hall,
                target.leaving,
                target.process_start,
                target.version.as_deref().unwrap_or("-")
            );
        }
    }
    for (id, target) in old.iter() {
        if !list.targets().contains_key(id) {
            let service = &target.service;
            log::info!("target={id} service={service} removed: place={position}");
        }
    }
}
