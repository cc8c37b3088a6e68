//! The targets as they list themselves in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use turnford_adapter::decode_target;
use turnford_adapter::StoreEvent;
use turnford_adapter::StoreList;
use turnford_adapter::StoreObject;
use turnford_adapter::TARGET_KIND;
use turnford_policy::Moment;
use turnford_policy::TargetId;
use turnford_policy::TargetSpec;

use super::context::ControlContext;
use super::follow::follow_kind;
use super::follow::FollowedKind;
use super::follow::StoreNews;
use crate::shared::RouteView;

/// Time after the store's return in which targets whose entries lapsed meanwhile write them anew.
/// From the users' letter: about two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2200);

/// Least time that the store is away for entries to lapse: three missed heartbeats make one lapse,
/// the last of which may have been before.
const LAPSE_SPAN: Duration = Duration::from_millis(1500);

/// Pause between looks for lapsed targets that did not return.
const LAPSE_PAUSE: Duration = Duration::from_millis(200);

/// What is known of the targets.
#[derive(Default)]
pub(super) struct TargetList {
    targets: BTreeMap<TargetId, TargetSpec>,
    /// Targets whose entries were missing after the store's return, and when they count as gone.
    lapsed: BTreeMap<TargetId, Moment>,
    /// When the store was lost last.
    lost_at: Moment,
    /// Until when a missing entry may only have lapsed.
    returning_until: Moment,
    /// Revision of the store up to which changes are known.
    revision: u64,
}

impl TargetList {
    /// Returns the revision of the store up to which changes are known.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    fn put(&mut self, object: &StoreObject) {
        match decode_target(object) {
            Ok(target) => {
                self.lapsed.remove(&target.id);
                let old = self.targets.insert(target.id.clone(), target.clone());
                log_target(old.as_ref(), &target);
            }
            Err(problem) => {
                log::error!("target refused: {problem}");
                self.targets.remove(object.name.as_str());
            }
        }
    }

    /// Drops a target, or waits for its return where its entry may only have lapsed.
    fn remove(&mut self, now: Moment, id: &str) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if now < self.returning_until && !target.leaving {
            let until = self.returning_until;
            self.lapsed.entry(target.id.clone()).or_insert(until);
            return;
        }
        log::info!("target={id} service={} is gone", target.service);
        self.targets.remove(id);
        self.lapsed.remove(id);
    }

    fn take_list(&mut self, now: Moment, list: &StoreList) {
        self.revision = self.revision.max(list.revision);
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for object in &list.objects {
            self.put(object);
        }
        for name in names {
            if !list.objects.iter().any(|object| *object.name == *name) {
                self.remove(now, &name);
            }
        }
    }

    fn take_events(&mut self, now: Moment, events: &[StoreEvent], revision: u64) {
        if !events.is_empty() {
            self.revision = self.revision.max(revision);
        }
        for event in events {
            if event.is_gone {
                self.remove(now, &event.object.name);
            } else {
                self.put(&event.object);
            }
        }
    }

    /// Takes all targets as a peer knows them at a revision.
    fn adopt(&mut self, now: Moment, revision: u64, targets: Vec<TargetSpec>) {
        self.revision = revision;
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in names {
            if !targets.iter().any(|target| target.id == name) {
                self.remove(now, &name);
            }
        }
        for target in targets {
            self.lapsed.remove(&target.id);
            let old = self.targets.insert(target.id.clone(), target.clone());
            log_target(old.as_ref(), &target);
        }
    }

    /// Drops lapsed targets that did not return; true if there were any.
    fn expire(&mut self, now: Moment) -> bool {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            log::info!("target={id} did not return after the store did");
            self.lapsed.remove(id);
            self.targets.remove(id);
        }
        !due.is_empty()
    }
}

fn log_target(old: Option<&TargetSpec>, target: &TargetSpec) {
    if old == Some(target) {
        return;
    }
    log::info!(
        "target={} service={} address={} hall={} leaving={}",
        target.id,
        target.service,
        target.address,
        target.hall,
        target.leaving
    );
}

/// Follows the targets for as long as the node runs.
pub(super) async fn follow_targets(context: Rc<ControlContext>) {
    let expire = expire_lapsed(context.clone());
    context.executor.spawn(expire).detach();
    let heard = context.clone();
    let hear = move |news| {
        let now = heard.now();
        let mut list = heard.targets.borrow_mut();
        match news {
            StoreNews::List(objects) => list.take_list(now, &objects),
            StoreNews::Events(events, revision) => list.take_events(now, &events, revision),
            StoreNews::Lost => {
                if !heard.are_targets_lost.replace(true) {
                    list.lost_at = now;
                }
            }
            StoreNews::Regained => {
                heard.are_targets_lost.set(false);
                if now.saturating_sub(list.lost_at) >= LAPSE_SPAN {
                    list.returning_until = now + RETURN_SPAN;
                }
            }
        }
        drop(list);
        publish(&heard);
    };
    let kind = FollowedKind {
        kind: TARGET_KIND,
        revision: |context| &context.target_revision,
    };
    follow_kind(context, kind, hear).await;
}

/// Takes the targets that a peer knows, if they are newer.
pub(super) fn adopt_targets(
    context: &ControlContext,
    peer: SocketAddr,
    revision: u64,
    targets: Vec<TargetSpec>,
) {
    let now = context.now();
    let mut list = context.targets.borrow_mut();
    if revision <= list.revision {
        return;
    }
    log::info!(
        "targets of peer {peer} taken: revision={revision} before={}",
        list.revision
    );
    list.adopt(now, revision, targets);
    drop(list);
    context.target_revision.set(Some(revision));
    publish(context);
}

async fn expire_lapsed(context: Rc<ControlContext>) {
    loop {
        Timer::after(LAPSE_PAUSE).await;
        let now = context.now();
        if context.targets.borrow_mut().expire(now) {
            publish(&context);
        }
    }
}

fn publish(context: &ControlContext) {
    let list = context.targets.borrow();
    let shared = &context.shared;
    if *shared.view.load().targets == list.targets {
        return;
    }
    shared.metrics.targets.set(list.targets.len() as u64);
    let targets = Arc::new(list.targets.clone());
    shared.set_view(|view| RouteView {
        targets: targets.clone(),
        ..view.clone()
    });
    context.note_learned();
}
