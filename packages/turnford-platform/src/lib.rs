//! Clients of what the platform gives: the object API, the VM list and the weight store.
//!
//! Each call is counted against a budget, because the platform's rates grow more slowly than the
//! fleet. Every fault says whether a write can have taken effect.

mod budget;
mod connection;
mod error;
mod object;
mod vm;
mod weight;

pub use budget::CallBudget;
pub use budget::CallCounts;
pub use error::PlatformError;
pub use object::ObjectClient;
pub use object::ObjectEvent;
pub use object::ObjectList;
pub use object::ObjectValue;
pub use object::VersionGuard;
pub use vm::VmClient;
pub use vm::VmEntry;
pub use vm::VmState;
pub use weight::WeightClient;

/// Version of an object: the revision of the write that made it, rising over all objects.
pub type ObjectVersion = u64;

/// Largest value that the object API takes, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;
