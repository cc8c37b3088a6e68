//! Stand-ins of the users' platform: its store, and the targets that its routes reach.
//!
//! They speak what the platform speaks, so they know its names; what they do beyond that is small.

mod listener;
mod meta;
mod piece;
mod run;
mod signals;
mod site;
mod target;

pub use meta::EndpointState;
pub use meta::MetaSnapshot;
pub use meta::MetaStore;
pub use run::RouteJournal;
pub use run::RouteRun;
pub use run::RunKind;
pub use signals::limit_allowance;
pub use signals::max_window_calls;
pub use signals::TargetArrival;
pub use signals::BACKOFF_GRACE;
pub use signals::LIMIT_GRACE;
pub use signals::LIMIT_WINDOW;
pub use site::RouteCall;
pub use site::RouteSite;
pub use target::RouteTarget;
pub use target::TargetFault;
pub use target::TargetRole;
