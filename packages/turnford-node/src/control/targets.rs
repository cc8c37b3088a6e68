//! Polls the VM list and the targets' load reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use turnford_fleet::Rumor;
use turnford_platform::VmEntry;
use turnford_platform::VmState;
use turnford_policy::LoadReport;
use turnford_policy::ServiceId;
use turnford_policy::TargetFacts;
use turnford_policy::TargetId;

use super::context::ControlContext;
use super::rumors::publish_rumors;
use super::update_ready;
use crate::inbox::LeavingSignal;
use crate::stage_pool::StagePool;
use crate::state::AddressMap;
use crate::state::NodeState;
use crate::state::PoolMap;

/// Interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between rounds of load reports while they are the only source for the load from other
/// nodes.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between rounds of load reports while the digests of all peers bring the same data
/// sooner.
const RELAXED_REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Assumed one-way delay within a hall, between halls of a region, and between regions.
const ONE_WAY_DELAYS: [Duration; 3] = [
    Duration::from_micros(100),
    Duration::from_micros(600),
    Duration::from_millis(15),
];

/// Polls the VM list. After a failed read the last list remains in use.
pub(super) async fn poll_targets(context: Rc<ControlContext>) {
    let mut last: Vec<VmEntry> = Vec::new();
    loop {
        match context.vms.list().await {
            Ok(list) if list != last => {
                apply_list(&context, &list);
                last = list;
                update_ready(&context.state);
            }
            Ok(_) => (),
            Err(error) => log::warn!("can't read the VM list: {error}"),
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Fetches the load reports of all targets, concurrently within a round.
pub(super) async fn poll_reports(context: Rc<ControlContext>) {
    loop {
        let relaxed = context.digests_complete.get();
        Timer::after(if relaxed {
            RELAXED_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        })
        .await;
        let mut tasks = Vec::new();
        for (service, pool) in context.state.pools.load().iter() {
            for target in live_targets(pool) {
                let task = fetch_report(context.clone(), service.clone(), target);
                tasks.push(context.executor.spawn(task));
            }
        }
        for task in tasks {
            task.await;
        }
    }
}

/// Announces targets that request threads have found leaving.
pub(super) async fn relay_signals(context: Rc<ControlContext>, signals: Receiver<LeavingSignal>) {
    while let Ok(signal) = signals.recv().await {
        announce_leaving(&context, &signal.service, &signal.target, "its refusal");
    }
}

async fn fetch_report(context: Rc<ControlContext>, service: ServiceId, target: TargetId) {
    let state = &context.state;
    let Some(address) = state.addresses.load().get(&target).copied() else {
        return;
    };
    let Ok(report) = state.targets.report(address).await else {
        return;
    };
    let Some(pool) = state.pool(&service) else {
        return;
    };
    let is_newly_leaving = pool.with(|now, pool| {
        let taken_at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let inflight = report.running.saturating_add(report.queued);
        pool.apply_report(&target, LoadReport { inflight, taken_at });
        if pool.apply_models(&target, &report.models) {
            log::info!(
                "target {target} has the models {}",
                report.models.join(", ")
            );
        }
        if !report.leaving && pool.mark_active(&target, taken_at) {
            log::info!("target {target} is active again, according to its own report");
        }
        report.leaving && pool.mark_leaving(now, &target)
    });
    if is_newly_leaving {
        announce_leaving(&context, &service, &target, "its own report");
    }
}

/// Marks a target as leaving on this node and announces it to the others.
fn announce_leaving(context: &Rc<ControlContext>, service: &str, target: &str, source: &str) {
    if let Some(pool) = context.state.pool(service) {
        pool.with(|now, pool| pool.mark_leaving(now, target));
    }
    log::info!("target {target} is leaving, according to {source}");
    let rumor = Rumor::Leaving {
        service: service.to_owned(),
        target: target.to_owned(),
        event: rand::random(),
    };
    publish_rumors(context, vec![rumor]);
}

fn live_targets(pool: &StagePool) -> Vec<TargetId> {
    pool.with(|_, pool| {
        let listed = pool.views().iter().filter(|view| !view.listed_leaving);
        listed.map(|view| view.facts.id.clone()).collect()
    })
}

fn apply_list(context: &Rc<ControlContext>, list: &[VmEntry]) {
    let state = &context.state;
    let mut by_service: HashMap<ServiceId, Vec<TargetFacts>> = HashMap::new();
    let mut addresses = AddressMap::new();
    for entry in list {
        let service: ServiceId = Arc::from(entry.service.as_str());
        let facts = facts_of(state, entry);
        addresses.insert(facts.id.clone(), entry.address);
        by_service.entry(service).or_default().push(facts);
    }
    // Targets that are no longer listed may still run calls of this node.
    let old = state.addresses.load();
    for (target, address) in old.iter() {
        addresses.entry(target.clone()).or_insert(*address);
    }
    state.addresses.store(Arc::new(addresses));
    let mut pools: PoolMap = (**state.pools.load()).clone();
    for service in by_service.keys() {
        pools.entry(service.clone()).or_insert_with(|| {
            let settings = state.pool_settings.clone();
            Arc::new(StagePool::new(settings, state.clock.clone()))
        });
    }
    for (service, pool) in &pools {
        let facts = by_service.remove(service).unwrap_or_default();
        pool.with(|_, pool| pool.apply_list(facts));
    }
    log::info!(
        "VM list: {} targets in {} services",
        list.len(),
        pools.len()
    );
    state.pools.store(Arc::new(pools));
    mark_leaving(context, list);
}

fn mark_leaving(context: &Rc<ControlContext>, list: &[VmEntry]) {
    for entry in list {
        let Some(pool) = context.state.pool(&entry.service) else {
            continue;
        };
        let leaving = entry.state == VmState::Leaving;
        if pool.with(|now, pool| pool.apply_listed_leaving(now, &entry.name, leaving)) {
            announce_leaving(context, &entry.service, &entry.name, "the VM list");
        }
    }
}

fn facts_of(state: &NodeState, entry: &VmEntry) -> TargetFacts {
    let settings = &state.settings;
    let [hall, region, far] = ONE_WAY_DELAYS;
    let delay = if entry.hall == *settings.hall {
        hall
    } else if entry.region == *settings.region {
        region
    } else {
        far
    };
    TargetFacts {
        id: Arc::from(entry.name.as_str()),
        hardware: Arc::from(entry.hardware.as_str()),
        slots: entry.slots,
        cost: entry.cost,
        one_way_delay: delay,
        models: entry
            .models
            .iter()
            .map(|model| Arc::from(model.as_str()))
            .collect(),
    }
}
