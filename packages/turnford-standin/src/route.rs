//! Stand-ins of the users' platform: its store, and the targets that its routes reach.
//!
//! They speak what the platform speaks, so they know its names; what they do beyond that is small.

mod door;
mod meta;
mod piece;
mod run;
mod site;
mod target;
mod word;

pub use meta::EndpointState;
pub use meta::MetaSnapshot;
pub use meta::MetaStore;
pub use run::RouteJournal;
pub use run::RouteRun;
pub use run::RunKind;
pub use site::RouteCall;
pub use site::RouteSite;
pub use target::RouteTarget;
pub use target::TargetFault;
pub use target::TargetRole;
pub use word::limit_allowance;
pub use word::max_window_calls;
pub use word::TargetArrival;
pub use word::BACKOFF_GRACE;
pub use word::LIMIT_GRACE;
pub use word::LIMIT_WINDOW;
