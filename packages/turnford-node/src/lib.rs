//! The node that runs pipelines: HTTP interface, stage execution, control thread and graceful
//! shutdown.
//!
//! One thread owns the control state; the others serve requests. Request threads read snapshots and
//! don't block on the control state.

mod admit;
mod claim;
mod control;
mod handler;
mod inbox;
mod metrics;
mod node;
mod outcome;
mod results;
mod runner;
mod snapshot;
mod stage;
mod stage_pool;
mod state;
mod status;
mod stream;

pub use node::Node;
pub use node::NodeOptions;
