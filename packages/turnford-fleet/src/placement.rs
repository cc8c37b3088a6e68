//! Placement of models on targets by demand.

use std::collections::BTreeMap;

use crate::OrderKind;
use crate::TargetOrder;

/// Fraction of a model's slots that may be busy before another target loads the model.
const TARGET_UTILIZATION: f64 = 0.7;

/// A target as seen by the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelTarget {
    /// Name of the target.
    pub name: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Models and adapters that are loaded.
    pub models: Vec<String>,
    /// Maximum number of loaded models and adapters.
    pub model_capacity: usize,
}

/// Returns the orders that adapt the targets to a demand, given in busy slots by model.
///
/// Each round loads a model on at most one more target, so that the effect of an order is observed
/// before the next one. A model is unloaded only to make room for another, and never from its last
/// target.
pub fn plan_orders(demand: &BTreeMap<String, f64>, targets: &[ModelTarget]) -> Vec<TargetOrder> {
    let mut shortages: Vec<(f64, &str)> = demand
        .iter()
        .map(|(model, busy)| {
            (
                busy / TARGET_UTILIZATION - capacity(model, demand, targets),
                model.as_str(),
            )
        })
        .filter(|(shortage, _)| *shortage > 0.0)
        .collect();
    shortages.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut orders: Vec<TargetOrder> = Vec::new();
    for (_, model) in shortages {
        let free = targets.iter().filter(|target| {
            let is_chosen = orders.iter().any(|order| order.target == target.name);
            !is_chosen && !target.models.iter().any(|present| present == model)
        });
        let best = free.min_by(|left, right| {
            let load = |target: &ModelTarget| target_load(target, demand, targets);
            load(left)
                .total_cmp(&load(right))
                .then_with(|| left.name.cmp(&right.name))
        });
        if let Some(target) = best {
            orders.extend(order_for(target, model, demand, targets));
        }
    }
    orders
}

/// Returns the order that loads a model, or the unload order that first makes room for it.
fn order_for(
    target: &ModelTarget,
    model: &str,
    demand: &BTreeMap<String, f64>,
    targets: &[ModelTarget],
) -> Option<TargetOrder> {
    let order = |kind, model: &str| TargetOrder {
        target: target.name.clone(),
        kind,
        model: model.to_owned(),
    };
    if target.models.len() < target.model_capacity {
        return Some(order(OrderKind::Load, model));
    }
    let others: Vec<ModelTarget> = targets
        .iter()
        .filter(|other| other.name != target.name)
        .cloned()
        .collect();
    let removable = target.models.iter().filter(|present| {
        let is_elsewhere = others.iter().any(|other| other.models.contains(present));
        let busy = demand.get(*present).copied().unwrap_or(0.0);
        is_elsewhere && busy / TARGET_UTILIZATION <= capacity(present, demand, &others)
    });
    let least = removable.min_by(|left, right| {
        let busy = |model: &String| demand.get(model).copied().unwrap_or(0.0);
        busy(left).total_cmp(&busy(right))
    });
    least.map(|model| order(OrderKind::Unload, model))
}

/// Returns the number of slots that serve a model. A target's slots are divided among its models in
/// proportion to their demand.
fn capacity(model: &str, demand: &BTreeMap<String, f64>, targets: &[ModelTarget]) -> f64 {
    let holders = targets
        .iter()
        .filter(|target| target.models.iter().any(|present| present == model));
    let own = demand.get(model).copied().unwrap_or(0.0);
    holders
        .map(|target| {
            let all: f64 = target
                .models
                .iter()
                .map(|present| demand.get(present).copied().unwrap_or(0.0))
                .sum();
            f64::from(target.slots) * own / all.max(own).max(1e-9)
        })
        .sum()
}

/// Returns the load of a target's models, relative to its slots.
fn target_load(
    target: &ModelTarget,
    demand: &BTreeMap<String, f64>,
    targets: &[ModelTarget],
) -> f64 {
    let parts = target.models.iter().map(|model| {
        let holders = targets
            .iter()
            .filter(|other| other.models.contains(model))
            .count();
        demand.get(model).copied().unwrap_or(0.0) / holders.max(1) as f64
    });
    parts.sum::<f64>() / f64::from(target.slots.max(1))
}
