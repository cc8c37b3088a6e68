//! The running node: entry, stage runner, control thread and planned stop.
//!
//! One thread holds the control state; the others carry traffic. Traffic reads snapshots and never
//! waits for control.

mod admit;
mod answer;
mod claim;
mod control;
mod entry;
mod inbox;
mod metrics;
mod node;
mod place;
mod results;
mod runner;
mod snapshot;
mod stage;
mod state;
mod status;
mod stream;

pub use node::Node;
pub use node::NodeOptions;
