//! How the nodes act together: configuration versions, membership, duties, claims, leases, shares
//! and digests.
//!
//! State machines only: events and the time go in, actions come out. What must be agreed goes
//! through conditional updates of the platform's objects; everything else may be lost at any time.

mod config;
mod envelope;

pub use config::ConfigChange;
pub use config::ConfigView;
pub use envelope::ConfigEnvelope;
pub use envelope::EnvelopeChange;

/// Name of a node, unique in the fleet.
pub type NodeName = std::sync::Arc<str>;

/// Version of an object at the platform, rising over all objects.
pub type Version = u64;
