//! Status report for operators, as this node sees the fleet.

use std::sync::atomic::Ordering;

use http::StatusCode;
use serde_json::json;
use serde_json::Value;
use turnford_http::HttpResponse;
use turnford_policy::HealthState;
use turnford_policy::Moment;
use turnford_policy::ServicePool;
use turnford_policy::TargetView;

use crate::state::NodeState;

/// Builds the JSON status response.
pub(crate) fn node_status(state: &NodeState) -> HttpResponse {
    let config = state.config.load();
    let pools = state.pools.load();
    let mut services = serde_json::Map::new();
    for (service, pool) in pools.iter() {
        services.insert(service.to_string(), pool.with(pool_status));
    }
    let counts = state.budget.counts();
    let status = json!({
        "node": &*state.settings.name,
        "hall": &*state.settings.hall,
        "region": &*state.settings.region,
        "incarnation": format!("{:016x}", state.attempts.incarnation()),
        "ready": state.ready.load(Ordering::SeqCst),
        "draining": state.draining.load(Ordering::SeqCst),
        "running": state.running.load(Ordering::SeqCst),
        "config_version": config.version,
        "members": state.metrics.members.get(),
        "lent_groups": state.metrics.lent_groups.get(),
        "templates": config.templates.len(),
        "accounts": config.accounts.len(),
        "platform_calls": { "reads": counts.reads, "writes": counts.writes,
            "refused": counts.refused },
        "services": services,
    });
    let mut response = HttpResponse::new(StatusCode::OK);
    response.set_body(status.to_string());
    response.insert_header("content-type", "application/json");
    response
}

fn pool_status(now: Moment, pool: &mut ServicePool) -> Value {
    let summary = pool.summary(now);
    let targets: Vec<Value> = pool
        .views()
        .iter()
        .map(|view| target_status(now, view))
        .collect();
    json!({
        "slots": summary.slots,
        "own": summary.inflight,
        "held": summary.queued,
        "backlog_s": summary.backlog,
        "targets": targets,
    })
}

fn target_status(now: Moment, view: &TargetView) -> Value {
    let health = match view.health.state {
        HealthState::Healthy => "healthy",
        HealthState::Ejected(_) => "ejected",
        HealthState::Probation(_) => "probation",
    };
    json!({
        "name": &*view.facts.id,
        "hardware": &*view.facts.hardware,
        "models": view.facts.models.iter().map(|model| &**model).collect::<Vec<&str>>(),
        "own": view.own_inflight(),
        "inflight": view.inflight(now),
        "report_age_ms": view.report_age(now).map(|age| age.as_millis() as u64),
        "leaving": view.leaving,
        "health": health,
        "failure": view.health.failure_rate(),
        "slowness": view.health.slowness(),
    })
}
