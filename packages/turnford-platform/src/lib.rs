//! Clients of the platform's services: the object API, the VM list and the weight store.
//!
//! Each call counts against a budget, because the platform's rate limits grow more slowly than the fleet.
//! Every error tells whether a write may have taken effect.

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

/// Version of an object: the revision of its last write. Revisions increase over all objects.
pub type ObjectVersion = u64;

/// Maximum size of a value in the object API, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;
