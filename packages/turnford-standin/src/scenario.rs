//! Scenario files: the targets, delays, accounts and faults of one association.

use serde::Deserialize;

use crate::FaultSpec;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the association.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Region of the halls.
    pub region: String,
    /// Halls, over which targets are distributed round-robin.
    pub halls: Vec<String>,
    /// One-way delay between halls, in milliseconds.
    pub hall_delay_ms: f64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Age of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Traffic mix of the clients.
    pub traffic: Vec<TrafficSpec>,
    /// Measured rate in requests per second that fully loads the busiest service.
    pub full_rate: f64,
    /// Faults by time.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

/// Targets of one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub count: usize,
    /// Calls that a target runs concurrently.
    pub slots: u32,
    /// Fixed time of a call, in milliseconds.
    pub base_ms: f64,
    /// Time per 1,000 input tokens, in milliseconds.
    #[serde(default)]
    pub per_kilotoken_ms: f64,
    /// Time per generated token, in milliseconds.
    #[serde(default)]
    pub per_token_ms: f64,
    /// Hardware classes, assigned to targets round-robin: old and new VMs in one fleet.
    pub hardware: Vec<HardwareSpec>,
    /// Capacity of a target's prefix cache; 0 for no cache.
    #[serde(default)]
    pub cache_prefixes: usize,
    /// Whether a call must run at most once per request, which the audit checks.
    #[serde(default)]
    pub once: bool,
    /// Models present on every target at the start.
    #[serde(default)]
    pub models: Vec<String>,
    /// Maximum number of models on a target.
    #[serde(default = "default_room")]
    pub model_room: usize,
    /// Time that loading a model takes, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
    /// Whether targets reject orders whose token is lower than the highest that they have seen.
    #[serde(default)]
    pub checks_orders: bool,
}

fn default_room() -> usize {
    2
}

/// One hardware class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardwareSpec {
    /// Name of the class.
    pub name: String,
    /// Factor on all times.
    pub slowness: f64,
    /// Cost per slot and second.
    pub cost: f64,
}

/// One class of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSpec {
    /// Account; its API key is `key-` and the name.
    pub account: String,
    /// Template.
    pub template: String,
    /// Weight of this class relative to the others.
    pub weight: f64,
    /// Median input length in tokens.
    pub tokens: u32,
    /// Whether each request carries a unique request id.
    #[serde(default)]
    pub request_ids: bool,
    /// Whether responses are requested as streams.
    #[serde(default)]
    pub stream: bool,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns the parser's message, which names line and field, or the invalid value.
    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string())?;
        if scenario.halls.is_empty() || scenario.services.is_empty() {
            return Err("halls and services must not be empty".to_owned());
        }
        let invalid = scenario
            .services
            .iter()
            .find(|service| service.hardware.is_empty());
        match invalid {
            Some(service) => Err(format!("service {:?} names no hardware", service.name)),
            None => Ok(scenario),
        }
    }
}
