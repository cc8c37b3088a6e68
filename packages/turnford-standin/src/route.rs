//! Stand-ins for the users' platform: its store, and the targets of its routes.
//!
//! They implement the platform's wire protocol and therefore use its names. Apart from the protocol
//! they only inject faults and record what they receive.

mod endless;
mod faulty_stream;
mod listener;
mod meta;
mod piece;
mod raw;
mod run;
mod signals;
mod site;
mod target;

pub use endless::EndlessResponse;
pub use faulty_stream::StallPoint;
pub use meta::EndpointState;
pub use meta::MetaSnapshot;
pub use meta::MetaStore;
pub use raw::RawEnd;
pub use raw::RawResponse;
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
pub use target::TargetIdentity;
pub use target::TargetRole;
