//! Scenario files: the targets, delays, accounts and faults of one association.

use serde::Deserialize;

use crate::FaultSpec;

/// A whole scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the association.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Region of the halls.
    pub region: String,
    /// Halls; targets are spread over them in turn.
    pub halls: Vec<String>,
    /// One-way delay between halls, in milliseconds.
    pub hall_delay_ms: f64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Age of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// What callers ask for.
    pub traffic: Vec<TrafficSpec>,
    /// Requests a second that load the busiest service fully, as measured.
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
    /// Calls that a target runs at a time.
    pub slots: u32,
    /// Fixed time of a call, in milliseconds.
    pub base_ms: f64,
    /// Time for each 1,000 input tokens, in milliseconds.
    #[serde(default)]
    pub per_kilotoken_ms: f64,
    /// Time for each token generated, in milliseconds.
    #[serde(default)]
    pub per_token_ms: f64,
    /// Hardware classes in turn: old and new VMs in one fleet.
    pub hardware: Vec<HardwareSpec>,
    /// Prefixes that a target's cache holds; 0 for none.
    #[serde(default)]
    pub cache_prefixes: usize,
    /// Whether a call must run at most once for each request, which the audit checks.
    #[serde(default)]
    pub once: bool,
    /// Models present on every target at the start.
    #[serde(default)]
    pub models: Vec<String>,
    /// Models that a target can hold.
    #[serde(default = "default_room")]
    pub model_room: usize,
    /// Time that loading a model takes, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
    /// Whether targets refuse orders with a token below the highest they saw.
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
    /// Cost of one second of one slot.
    pub cost: f64,
}

/// A part of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSpec {
    /// Account; its key is `key-` and the name.
    pub account: String,
    /// Template.
    pub template: String,
    /// Part of the requests, next to the other entries' weights.
    pub weight: f64,
    /// Median input length in tokens.
    pub tokens: u32,
    /// Whether each request carries its own id.
    #[serde(default)]
    pub request_ids: bool,
    /// Whether answers are asked for as streams.
    #[serde(default)]
    pub stream: bool,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns the parser's message, which names line and field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string())?;
        if scenario.halls.is_empty() || scenario.services.is_empty() {
            return Err("halls and services must not be empty".to_owned());
        }
        let bare = scenario
            .services
            .iter()
            .find(|service| service.hardware.is_empty());
        match bare {
            Some(service) => Err(format!("service {:?} names no hardware", service.name)),
            None => Ok(scenario),
        }
    }
}
