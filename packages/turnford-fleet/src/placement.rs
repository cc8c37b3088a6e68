//! Which targets should have which models, from demand.

use std::collections::BTreeMap;

use crate::OrderKind;
use crate::TargetOrder;

/// Part of its slots that a model's targets may have busy before another target gets it.
const FULL_PART: f64 = 0.7;

/// One target as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelTarget {
    /// Name.
    pub name: String,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Models and adapters present.
    pub models: Vec<String>,
    /// Models and adapters that it can hold.
    pub model_capacity: usize,
}

/// Returns the orders that would serve a demand, given in busy slots by model.
///
/// Each round asks for at most one more target for each model, so that the effect of one order is
/// seen before the next. A model is dropped only to make room, and never where it is the last.
pub fn plan_orders(demand: &BTreeMap<String, f64>, targets: &[ModelTarget]) -> Vec<TargetOrder> {
    let mut lacking: Vec<(f64, &str)> = demand
        .iter()
        .map(|(model, busy)| {
            (
                busy / FULL_PART - capacity(model, demand, targets),
                model.as_str(),
            )
        })
        .filter(|(lack, _)| *lack > 0.0)
        .collect();
    lacking.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut orders: Vec<TargetOrder> = Vec::new();
    for (_, model) in lacking {
        let free = targets.iter().filter(|target| {
            let chosen = orders.iter().any(|order| order.target == target.name);
            !chosen && !target.models.iter().any(|present| present == model)
        });
        let best = free.min_by(|left, right| {
            let load = |target: &ModelTarget| load_of(target, demand, targets);
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

/// Returns the load order, or first the order that makes room for it.
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
    let spare = target.models.iter().filter(|present| {
        let held = others.iter().any(|other| other.models.contains(present));
        let busy = demand.get(*present).copied().unwrap_or(0.0);
        held && busy / FULL_PART <= capacity(present, demand, &others)
    });
    let least = spare.min_by(|left, right| {
        let busy = |model: &String| demand.get(model).copied().unwrap_or(0.0);
        busy(left).total_cmp(&busy(right))
    });
    least.map(|model| order(OrderKind::Unload, model))
}

/// Returns the slots that serve a model; a target's slots are split over its models by demand.
fn capacity(model: &str, demand: &BTreeMap<String, f64>, targets: &[ModelTarget]) -> f64 {
    let holders = targets
        .iter()
        .filter(|target| target.models.iter().any(|held| held == model));
    let own = demand.get(model).copied().unwrap_or(0.0);
    holders
        .map(|target| {
            let all: f64 = target
                .models
                .iter()
                .map(|held| demand.get(held).copied().unwrap_or(0.0))
                .sum();
            f64::from(target.slots) * own / all.max(own).max(1e-9)
        })
        .sum()
}

/// Returns how busy a target's models make it.
fn load_of(target: &ModelTarget, demand: &BTreeMap<String, f64>, targets: &[ModelTarget]) -> f64 {
    let parts = target.models.iter().map(|model| {
        let holders = targets
            .iter()
            .filter(|other| other.models.contains(model))
            .count();
        demand.get(model).copied().unwrap_or(0.0) / holders.max(1) as f64
    });
    parts.sum::<f64>() / f64::from(target.slots.max(1))
}
