//! The targets as they list themselves in the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use super::follow::StoreNews;
use crate::shared::RouteView;

/// Time after the store's return in which targets whose entries lapsed meanwhile write them anew.
/// From the users' letter: about two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2200);

/// Pause between looks for lapsed targets that did not return.
const LAPSE_PAUSE: Duration = Duration::from_millis(200);

/// What is known of the targets.
#[derive(Default)]
struct TargetList {
    targets: BTreeMap<TargetId, TargetSpec>,
    /// Targets whose entries were missing after the store's return, and when they count as gone.
    lapsed: BTreeMap<TargetId, Moment>,
    /// Until when a missing entry may only have lapsed.
    returning_until: Moment,
}

impl TargetList {
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

    fn take_events(&mut self, now: Moment, events: &[StoreEvent]) {
        for event in events {
            if event.is_gone {
                self.remove(now, &event.object.name);
            } else {
                self.put(&event.object);
            }
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
    let list = Rc::new(RefCell::new(TargetList::default()));
    let expire = expire_lapsed(context.clone(), list.clone());
    context.executor.spawn(expire).detach();
    let follow = context.clone();
    let hear = move |news| {
        let now = context.now();
        match news {
            StoreNews::List(objects) => list.borrow_mut().take_list(now, &objects),
            StoreNews::Events(events) => list.borrow_mut().take_events(now, &events),
            StoreNews::Lost(_) => return,
            StoreNews::Regained => {
                list.borrow_mut().returning_until = now + RETURN_SPAN;
                return;
            }
        }
        publish(&context, &list.borrow());
    };
    follow_kind(follow, TARGET_KIND, hear).await;
}

async fn expire_lapsed(context: Rc<ControlContext>, list: Rc<RefCell<TargetList>>) {
    loop {
        Timer::after(LAPSE_PAUSE).await;
        let now = context.now();
        if list.borrow_mut().expire(now) {
            publish(&context, &list.borrow());
        }
    }
}

fn publish(context: &ControlContext, list: &TargetList) {
    let shared = &context.shared;
    if *shared.view.load().targets == list.targets {
        return;
    }
    shared.metrics.targets.set(list.targets.len() as u64);
    let targets = Arc::new(list.targets.clone());
    shared.set_view(|view| RouteView {
        config: view.config.clone(),
        table: view.table.clone(),
        targets: targets.clone(),
        fleet: view.fleet,
    });
}
