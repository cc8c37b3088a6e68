//! Polls the engines' cache events. They arrive late and with gaps, so they serve only as hints.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use turnford_policy::ServiceId;
use turnford_policy::TargetId;

use super::context::ControlContext;

/// Interval between polling rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Polls every engine for its cache events for as long as the node runs.
pub(super) async fn poll_cache_events(context: Rc<ControlContext>) {
    let mut last: HashMap<TargetId, u64> = HashMap::new();
    loop {
        Timer::after(ROUND_INTERVAL).await;
        for (service, pool) in context.state.pools.load_full().iter() {
            let engines: Vec<TargetId> = pool.with(|_, pool| {
                let views = pool
                    .views()
                    .iter()
                    .filter(|view| !view.facts.models.is_empty());
                views.map(|view| view.facts.id.clone()).collect()
            });
            for engine in engines {
                let after = last.get(&engine).copied().unwrap_or(0);
                let newest = fetch_events(&context, service, &engine, after).await;
                last.insert(engine, newest);
            }
        }
    }
}

/// Applies the events after a number and returns the newest number.
async fn fetch_events(
    context: &ControlContext,
    service: &ServiceId,
    engine: &TargetId,
    after: u64,
) -> u64 {
    let Some(address) = context.state.addresses.load().get(engine).copied() else {
        return after;
    };
    let Ok(response) = context.state.targets.cache_events(address, after).await else {
        return after;
    };
    let (Some(first), Some(last)) = (response.events.first(), response.events.last()) else {
        return after;
    };
    let newest = last.number;
    let gap = first.number > after + 1;
    if let Some(pool) = context.state.pool(service) {
        pool.with(|_, pool| {
            if gap {
                pool.clear_prefixes(engine);
            }
            for event in &response.events {
                pool.apply_cache_event(engine, event.prefix, event.present);
            }
        });
    }
    newest
}
