//! The targets as they list themselves in the store.

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
use super::follow::StoreNews;
use crate::shared::RouteView;

/// Pause between looks for lapsed targets that did not return.
const LAPSE_PAUSE: Duration = Duration::from_millis(200);

/// Follows the targets in the store until this is dropped.
pub(super) async fn follow_targets(context: Rc<ControlContext>) {
    let heard = context.clone();
    let hear = move |news| {
        take_news(&heard, &news);
        if publish(&heard) {
            heard.note_learned();
        }
    };
    let kind = FollowedKind {
        kind: TARGET_KIND,
        state: |context| &context.target_state,
    };
    follow_kind(context, kind, hear).await;
}

fn take_news(context: &ControlContext, news: &StoreNews) {
    let now = context.now();
    let mut list = context.targets.borrow_mut();
    match news {
        StoreNews::List(objects) => {
            let entries = objects.objects.iter().filter_map(decode_entry);
            list.replace_all(now, objects.position, entries.collect());
        }
        StoreNews::Events(events, place) => {
            list.advance_to(*place);
            for event in events {
                let name = &event.object.name;
                match decode_entry(&event.object) {
                    _ if event.is_deleted => list.remove(now, name),
                    Some(target) => list.put(target),
                    None => list.remove_invalid(name),
                }
            }
        }
        StoreNews::Lost => list.record_store_lost(now),
        StoreNews::Regained => list.record_store_recovered(now),
    }
}

fn decode_entry(object: &StoreObject) -> Option<TargetSpec> {
    let decoded = decode_target(object);
    decoded
        .map_err(|problem| log::error!("target refused: {problem}"))
        .ok()
}

/// Drops lapsed targets that did not return, for as long as the node runs.
pub(super) async fn expire_lapsed(context: Rc<ControlContext>) {
    loop {
        Timer::after(LAPSE_PAUSE).await;
        let now = context.now();
        let expired = context.targets.borrow_mut().expire(now);
        for id in &expired.removed {
            log::info!("target={id} did not return after the store did");
        }
        for id in &expired.reinstated {
            log::info!("target={id} lives, though it was gone before the store came back");
        }
        if expired != ExpiredTargets::default() {
            publish(&context);
        }
    }
}

/// Tells the traffic thread which targets there are; true if they changed.
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
    let place = list.position();
    for (id, target) in list.targets() {
        if old.get(id) != Some(target) {
            log::info!(
                "target={id} service={} address={} hall={} leaving={} born={} place={place}",
                target.service,
                target.address,
                target.hall,
                target.leaving,
                target.process_start
            );
        }
    }
    for (id, target) in old.iter() {
        if !list.targets().contains_key(id) {
            let service = &target.service;
            log::info!("target={id} service={service} is gone: place={place}");
        }
    }
}
